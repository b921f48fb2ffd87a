#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace bamboostile::test {

/** A TCP server; each connection is handed to a function with its number,
 * counted from 1. */
class RawServer
{
public:
  using OnConnection = std::function<void(int aSocket, int aNumber)>;

  /** Port 0: one that the system picks. */
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

/** Reads one request head; empty at the end of the connection, or where
 * nothing comes for aPatienceMs. */
std::string ReadHead(int aSocket, int aPatienceMs = 3000);
/** Shorter where the connection ends before. */
std::string ReadBody(int aSocket, std::size_t aBytes);
void Write(int aSocket, const std::string& aText);

/** Connects and writes the text; the socket, to be closed by the caller;
 * -1 where nobody listens. */
int ConnectAndWrite(std::uint16_t aPort, const std::string& aText);

/** Connects, writes the text, and returns all that comes back until the peer
 * closes or nothing comes for aQuietMs. */
std::string Exchange(std::uint16_t aPort,
                     const std::string& aText,
                     int aQuietMs);

} // namespace bamboostile::test
