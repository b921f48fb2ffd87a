#include "bamboostile/http/authorization.h"

#include <algorithm>

namespace bamboostile::http {

namespace {

constexpr std::string_view kScheme = "Bearer ";
constexpr std::size_t kMaxTokenBytes = 4096;

bool
IsTokenCharacter(char aCharacter)
{
  return aCharacter > ' ' && aCharacter <= '~';
}

} // namespace

std::string_view
BearerToken(const Headers& aHeaders)
{
  const Header* authorization = nullptr;
  for (const Header& header : aHeaders) {
    if (!EqualsIgnoringCase(header.m_name, "authorization")) {
      continue;
    }
    // Two processes may each follow another one of two headers.
    if (authorization != nullptr) {
      return {};
    }
    authorization = &header;
  }
  if (authorization == nullptr ||
      !authorization->m_value.starts_with(kScheme)) {
    return {};
  }
  const std::string_view token =
    std::string_view{ authorization->m_value }.substr(kScheme.size());
  const bool isWellFormed =
    token.size() <= kMaxTokenBytes &&
    std::all_of(token.begin(), token.end(), IsTokenCharacter);
  return isWellFormed ? token : std::string_view{};
}

Header
BearerChallenge()
{
  return { "WWW-Authenticate", "Bearer" };
}

} // namespace bamboostile::http
