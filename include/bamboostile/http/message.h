#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bamboostile::http {

struct Header
{
  std::string m_name;
  std::string m_value;
};

using Headers = std::vector<Header>;

/** Returns the value of the first header with this name, ignoring case. */
std::optional<std::string> FindHeader(const Headers& aHeaders,
                                      const std::string& aName);
bool EqualsIgnoringCase(const std::string& aLeft, const std::string& aRight);

/** Returns the headers without those that belong to one connection (RFC 9110,
 * 7.6.1), including those named by Connection, and without those that each hop
 * sets itself. */
Headers WithoutHopByHop(const Headers& aHeaders);

struct Request
{
  std::string m_method;
  /** Path and query as received. */
  std::string m_target;
  Headers m_headers;
  std::string m_body;
};

struct Response
{
  std::uint32_t m_status = 200;
  std::string m_reason;
  Headers m_headers;
  std::string m_body;
  /** Closes the connection after this response. */
  bool m_close = false;
};

} // namespace bamboostile::http
