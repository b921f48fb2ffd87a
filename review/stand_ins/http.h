#pragma once

#include "record.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

/** A minimal HTTP/1.1 client and server on blocking sockets. */
namespace review {

struct Message
{
  /** Request line or status line. */
  std::string m_first;
  /** Names are in lower case. */
  std::map<std::string, std::string> m_headers;
  std::string m_body;

  int Status() const { return std::atoi(m_first.substr(9, 3).c_str()); }
};

enum class ReadEnd
{
  kComplete,
  kTimedOut,
  /** The peer closed or reset the connection before a whole message. */
  kClosed,
};

inline sockaddr_in
ParseAddress(const std::string& aAddress)
{
  const auto colon = aAddress.find(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
    htons(static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))));
  inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

/** A connection that keeps its unread bytes between messages. */
class Connection
{
public:
  Connection() = default;
  explicit Connection(int aSocket)
    : m_socket(aSocket)
  {
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool IsOpen() const { return m_socket >= 0; }

  bool Open(const std::string& aAddress, Millis aTimeout)
  {
    Close();
    m_socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in address = ParseAddress(aAddress);
    const int started = connect(
      m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    if (started != 0 && errno != EINPROGRESS) {
      Close();
      return false;
    }
    int error = 0;
    socklen_t size = sizeof(error);
    if (!Wait(POLLOUT, Clock::now() + aTimeout) ||
        getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      Close();
      return false;
    }
    const int on = 1;
    setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return true;
  }

  void Close()
  {
    if (m_socket >= 0) {
      close(m_socket);
    }
    m_socket = -1;
    m_unread.clear();
  }

  bool Send(const std::string& aBytes)
  {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      const auto count = send(
        m_socket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (count > 0) {
        sent += static_cast<std::size_t>(count);
      } else if (errno != EAGAIN ||
                 !Wait(POLLOUT, Clock::now() + Millis{ 1000 })) {
        return false;
      }
    }
    return true;
  }

  ReadEnd Receive(Message& aMessage, Clock::time_point aDeadline)
  {
    while (!TakeMessage(aMessage)) {
      if (!Wait(POLLIN, aDeadline)) {
        return ReadEnd::kTimedOut;
      }
      char bytes[16 * 1024];
      const auto count = recv(m_socket, bytes, sizeof(bytes), 0);
      if (count > 0) {
        m_unread.append(bytes, static_cast<std::size_t>(count));
      } else if (count == 0 || errno != EAGAIN) {
        return ReadEnd::kClosed;
      }
    }
    return ReadEnd::kComplete;
  }

private:
  bool Wait(short aEvents, Clock::time_point aDeadline) const
  {
    const auto left = std::chrono::duration_cast<Millis>(
      aDeadline - Clock::now() + Millis{ 1 });
    pollfd poll_{ m_socket, aEvents, 0 };
    return left.count() > 0 &&
           poll(&poll_, 1, static_cast<int>(left.count())) > 0;
  }

  bool TakeMessage(Message& aMessage)
  {
    const auto headEnd = m_unread.find("\r\n\r\n");
    if (headEnd == std::string::npos) {
      return false;
    }
    Message message;
    std::size_t at = m_unread.find("\r\n");
    message.m_first = m_unread.substr(0, at);
    while (at < headEnd) {
      const std::size_t from = at + 2;
      at = m_unread.find("\r\n", from);
      const std::size_t colon = m_unread.find(':', from);
      std::string name = m_unread.substr(from, colon - from);
      std::transform(name.begin(), name.end(), name.begin(), ::tolower);
      const std::size_t value = m_unread.find_first_not_of(' ', colon + 1);
      message.m_headers[name] = m_unread.substr(value, at - value);
    }
    const auto length = message.m_headers.find("content-length");
    const std::size_t size =
      length == message.m_headers.end() ? 0 : std::stoul(length->second);
    if (m_unread.size() < headEnd + 4 + size) {
      return false;
    }
    message.m_body = m_unread.substr(headEnd + 4, size);
    m_unread.erase(0, headEnd + 4 + size);
    aMessage = std::move(message);
    return true;
  }

  int m_socket = -1;
  std::string m_unread;
};

inline std::string
WriteRequest(const std::string& aMethod,
             const std::string& aTarget,
             const std::string& aHost,
             const std::string& aBody,
             const std::string& aMoreHeaders = "")
{
  std::string text = aMethod + " " + aTarget + " HTTP/1.1\r\nHost: " + aHost +
                     "\r\n" + aMoreHeaders;
  if (!aBody.empty() || aMethod == "POST") {
    text += "Content-Type: application/json\r\nContent-Length: " +
            std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + aBody;
}

/** Sends one request on a new connection; nothing without a whole answer. */
inline std::optional<Message>
Call(const std::string& aAddress, const std::string& aRequest, Millis aTimeout)
{
  const auto deadline = Clock::now() + aTimeout;
  Connection connection;
  Message answer;
  if (connection.Open(aAddress, aTimeout) && connection.Send(aRequest) &&
      connection.Receive(answer, deadline) == ReadEnd::kComplete) {
    return answer;
  }
  return std::nullopt;
}

/** Answers one request at a time on each connection. */
class Server
{
public:
  using Handler = std::function<std::pair<int, std::string>(const Message&)>;

  Server(std::string aAddress, Handler aHandler)
    : m_address(std::move(aAddress))
    , m_handler(std::move(aHandler))
  {
  }

  ~Server()
  {
    m_stop = true;
    if (m_accepting.joinable()) {
      m_accepting.join();
    }
    for (std::thread& serving : m_serving) {
      serving.join();
    }
    if (m_listener >= 0) {
      close(m_listener);
    }
  }

  bool Start()
  {
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = ParseAddress(m_address);
    if (bind(m_listener,
             reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
        listen(m_listener, 64) != 0) {
      return false;
    }
    m_accepting = std::thread([this]() { Accept(); });
    return true;
  }

private:
  void Accept()
  {
    while (!m_stop) {
      pollfd poll_{ m_listener, POLLIN, 0 };
      if (poll(&poll_, 1, 100) <= 0) {
        continue;
      }
      const int socket = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK);
      if (socket >= 0) {
        m_serving.emplace_back([this, socket]() { Serve(socket); });
      }
    }
  }

  void Serve(int aSocket)
  {
    Connection connection(aSocket);
    while (!m_stop) {
      Message request;
      const ReadEnd end =
        connection.Receive(request, Clock::now() + Millis{ 100 });
      if (end == ReadEnd::kTimedOut) {
        continue;
      }
      if (end == ReadEnd::kClosed) {
        return;
      }
      const auto [status, body] = m_handler(request);
      connection.Send("HTTP/1.1 " + std::to_string(status) +
                      " Status\r\nContent-Type: application/json\r\n"
                      "Content-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body);
    }
  }

  std::string m_address;
  Handler m_handler;
  int m_listener = -1;
  std::atomic<bool> m_stop = false;
  std::thread m_accepting;
  std::vector<std::thread> m_serving;
};

} // namespace review
