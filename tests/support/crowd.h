#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace bamboostile::test {

/** Clients of one address that stay connected until they are destroyed. */
class Crowd
{
public:
  /** aAddress: a loopback "IP:port". A client that can't connect at once is
   * left out. */
  Crowd(const std::string& aAddress, std::size_t aClients);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /** Writes the text on each connection. Returns once all of it is written,
   * except on connections that the peer has closed or doesn't read. */
  void Write(const std::string& aText);

private:
  std::vector<int> m_sockets;
};

/** Returns the head of a POST to aTarget; aFields end with CRLF. */
std::string PostHead(const std::string& aTarget, const std::string& aFields);

/** Returns a body in chunks of aChunkBytes, without the last chunk, which has
 * no bytes. */
std::string Chunks(const std::string& aBody, std::size_t aChunkBytes);

} // namespace bamboostile::test
