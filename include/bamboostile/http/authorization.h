#pragma once

#include "bamboostile/http/message.h"

#include <string_view>

namespace bamboostile::http {

/**
 * Returns the token of `Authorization: Bearer TOKEN`. Empty unless there is
 * exactly one such header, in this spelling, with a token of visible ASCII
 * characters and acceptable length.
 */
std::string_view BearerToken(const Headers& aHeaders);

/** Returns the header that a 401 response must carry (RFC 9110, 11.6.1). */
Header BearerChallenge();

} // namespace bamboostile::http
