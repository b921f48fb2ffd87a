#pragma once

#include <string>

namespace bamboostile::entry::internal {

/** SHA-256 over method, target and body: two requests with one id are the same
 * request only if all three are equal. */
std::string RequestDigest(const std::string& aMethod,
                          const std::string& aTarget,
                          const std::string& aBody);

/** Returns 128 random bits as hexadecimal text. */
std::string RandomId();

} // namespace bamboostile::entry::internal
