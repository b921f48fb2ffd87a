#include "crowd.h"

#include <algorithm>
#include <cstdio>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bamboostile::test {

namespace {

/** Bytes that one client writes before the next one does. */
constexpr std::size_t kWriteBytes = std::size_t{ 256 } * 1024;
/** A peer that reads nothing for so long doesn't read. */
constexpr int kStallMs = 2'000;

sockaddr_in
ToSocketAddress(const std::string& aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
    htons(static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))));
  inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

} // namespace

Crowd::Crowd(const std::string& aAddress, std::size_t aClients)
{
  const sockaddr_in address = ToSocketAddress(aAddress);
  for (std::size_t i = 0; i < aClients; ++i) {
    const int connection =
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const bool isRefused = connect(connection,
                                   reinterpret_cast<const sockaddr*>(&address),
                                   sizeof(address)) != 0 &&
                           errno != EINPROGRESS;
    if (isRefused) {
      close(connection);
    } else {
      m_sockets.push_back(connection);
    }
  }
}

Crowd::~Crowd()
{
  std::for_each(m_sockets.begin(), m_sockets.end(), close);
}

void
Crowd::Write(const std::string& aText)
{
  std::vector<std::size_t> written(m_sockets.size());
  std::vector<pollfd> waiting;
  for (const int connection : m_sockets) {
    waiting.push_back({ connection, POLLOUT, 0 });
  }
  // A negative descriptor is ignored by poll().
  const auto isOpen = [](const pollfd& aEntry) { return aEntry.fd >= 0; };
  while (std::any_of(waiting.begin(), waiting.end(), isOpen) &&
         poll(waiting.data(), waiting.size(), kStallMs) > 0) {
    for (std::size_t i = 0; i < waiting.size(); ++i) {
      if (waiting[i].fd < 0 || waiting[i].revents == 0) {
        continue;
      }
      const auto sent = send(waiting[i].fd,
                             aText.data() + written[i],
                             std::min(kWriteBytes, aText.size() - written[i]),
                             MSG_NOSIGNAL);
      written[i] += sent > 0 ? static_cast<std::size_t>(sent) : 0;
      const bool isClosed = sent < 0 && errno != EAGAIN;
      if (isClosed || written[i] == aText.size()) {
        waiting[i].fd = -1;
      }
    }
  }
}

std::string
PostHead(const std::string& aTarget, const std::string& aFields)
{
  return "POST " + aTarget + " HTTP/1.1\r\nHost: host\r\n" + aFields + "\r\n";
}

std::string
Chunks(const std::string& aBody, std::size_t aChunkBytes)
{
  std::string text;
  for (std::size_t at = 0; at < aBody.size(); at += aChunkBytes) {
    const std::size_t size = std::min(aBody.size() - at, aChunkBytes);
    char head[20];
    std::snprintf(head, sizeof(head), "%zx\r\n", size);
    text.append(head).append(aBody, at, size).append("\r\n");
  }
  return text;
}

} // namespace bamboostile::test
