#include "raw_server.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bamboostile::test {

namespace {

constexpr int kPollMs = 20;

sockaddr_in
Loopback(std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

bool
IsReadable(int aSocket, int aMillis)
{
  pollfd descriptor{ aSocket, POLLIN, 0 };
  return poll(&descriptor, 1, aMillis) > 0;
}

} // namespace

RawServer::RawServer(OnConnection aOnConnection, std::uint16_t aPort)
  : m_onConnection(std::move(aOnConnection))
  , m_listener(socket(AF_INET, SOCK_STREAM, 0))
{
  const int reuse = 1;
  setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
  sockaddr_in address = Loopback(aPort);
  bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  listen(m_listener, 16);
  socklen_t length = sizeof(address);
  getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &length);
  m_port = ntohs(address.sin_port);
  m_acceptor = std::thread([this]() {
    while (!m_stop) {
      if (!IsReadable(m_listener, kPollMs)) {
        continue;
      }
      const int connection = accept(m_listener, nullptr, nullptr);
      const int number = ++m_connections;
      m_threads.emplace_back([this, connection, number]() {
        m_onConnection(connection, number);
        close(connection);
      });
    }
  });
}

RawServer::~RawServer()
{
  m_stop = true;
  m_acceptor.join();
  for (std::thread& thread : m_threads) {
    thread.join();
  }
  close(m_listener);
}

std::string
RawServer::Address() const
{
  return "127.0.0.1:" + std::to_string(m_port);
}

std::string
ReadHead(int aSocket, int aTimeoutMs)
{
  std::string head;
  char byte = 0;
  while (!head.ends_with("\r\n\r\n")) {
    if (!IsReadable(aSocket, aTimeoutMs) || read(aSocket, &byte, 1) <= 0) {
      return "";
    }
    head += byte;
  }
  return head;
}

std::string
ReadBody(int aSocket, std::size_t aBytes)
{
  std::string body(aBytes, '\0');
  std::size_t received = 0;
  while (received < aBytes) {
    const ssize_t count =
      read(aSocket, body.data() + received, aBytes - received);
    if (count <= 0) {
      break;
    }
    received += static_cast<std::size_t>(count);
  }
  body.resize(received);
  return body;
}

void
Write(int aSocket, const std::string& aText)
{
  (void)!send(aSocket, aText.data(), aText.size(), MSG_NOSIGNAL);
}

int
ConnectAndWrite(std::uint16_t aPort, const std::string& aText)
{
  const int connection = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = Loopback(aPort);
  if (connect(connection,
              reinterpret_cast<sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(connection);
    return -1;
  }
  Write(connection, aText);
  return connection;
}

std::string
Exchange(std::uint16_t aPort, const std::string& aText, int aIdleTimeoutMs)
{
  const int connection = ConnectAndWrite(aPort, aText);
  if (connection < 0) {
    return {};
  }
  std::string answer;
  char buffer[4096];
  while (IsReadable(connection, aIdleTimeoutMs)) {
    const ssize_t count = read(connection, buffer, sizeof(buffer));
    if (count <= 0) {
      answer += "<closed>";
      break;
    }
    answer.append(buffer, static_cast<std::size_t>(count));
  }
  close(connection);
  return answer;
}

} // namespace bamboostile::test
