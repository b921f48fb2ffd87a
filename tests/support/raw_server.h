#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace bamboostile::test {

/** A TCP server that passes each connection to a function, with the number of
 * the connection, counted from 1. */
class RawServer
{
public:
  using OnConnection = std::function<void(int aSocket, int aNumber)>;

  /** With port 0, the system picks a port. */
  explicit RawServer(OnConnection aOnConnection, std::uint16_t aPort = 0);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  std::string Address() const;
  int Connections() const { return m_connections; }

private:
  OnConnection m_onConnection;
  int m_listener = -1;
  std::uint16_t m_port = 0;
  std::atomic<bool> m_stop = false;
  std::atomic<int> m_connections = 0;
  std::vector<std::thread> m_threads;
  std::thread m_acceptor;
};

/** Reads one request head; returns an empty string if the connection ends or
 * nothing arrives for aTimeoutMs. */
std::string ReadHead(int aSocket, int aTimeoutMs = 3000);
/** Reads aBytes, or fewer if the connection ends before. */
std::string ReadBody(int aSocket, std::size_t aBytes);
void Write(int aSocket, const std::string& aText);

/** Connects and writes the text. Returns the socket, which the caller must
 * close, or -1 if nobody listens. */
int ConnectAndWrite(std::uint16_t aPort, const std::string& aText);

/** Connects, writes the text, and returns everything that is received until
 * the peer closes or nothing arrives for aIdleTimeoutMs. */
std::string Exchange(std::uint16_t aPort,
                     const std::string& aText,
                     int aIdleTimeoutMs);

} // namespace bamboostile::test
