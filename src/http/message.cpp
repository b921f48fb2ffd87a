#include "bamboostile/http/message.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <sstream>

namespace bamboostile::http {

namespace {

constexpr std::array<const char*, 10> kHopByHop{ "connection",
                                                 "keep-alive",
                                                 "proxy-authenticate",
                                                 "proxy-authorization",
                                                 "proxy-connection",
                                                 "te",
                                                 "trailer",
                                                 "transfer-encoding",
                                                 "upgrade",
                                                 "content-length" };

std::string
Trim(const std::string& aText)
{
  const auto begin = aText.find_first_not_of(" \t");
  const auto end = aText.find_last_not_of(" \t");
  return begin == std::string::npos ? "" : aText.substr(begin, end - begin + 1);
}

} // namespace

bool
EqualsIgnoringCase(const std::string& aLeft, const std::string& aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](unsigned char aLeftChar, unsigned char aRightChar) {
                      return std::tolower(aLeftChar) ==
                             std::tolower(aRightChar);
                    });
}

std::optional<std::string>
FindHeader(const Headers& aHeaders, const std::string& aName)
{
  for (const Header& header : aHeaders) {
    if (EqualsIgnoringCase(header.m_name, aName)) {
      return header.m_value;
    }
  }
  return std::nullopt;
}

Headers
WithoutHopByHop(const Headers& aHeaders)
{
  std::vector<std::string> dropped(kHopByHop.begin(), kHopByHop.end());
  for (const Header& header : aHeaders) {
    if (EqualsIgnoringCase(header.m_name, "connection")) {
      std::istringstream tokens(header.m_value);
      std::string token;
      while (std::getline(tokens, token, ',')) {
        dropped.push_back(Trim(token));
      }
    }
  }
  Headers kept;
  for (const Header& header : aHeaders) {
    const bool isDropped = std::any_of(
      dropped.begin(), dropped.end(), [&](const std::string& aName) {
        return EqualsIgnoringCase(aName, header.m_name);
      });
    if (!isDropped) {
      kept.push_back(header);
    }
  }
  return kept;
}

} // namespace bamboostile::http
