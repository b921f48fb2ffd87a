#pragma once

#include <string>

namespace bamboostile::entry::internal {

/** SHA-256 over method, target and body: two requests under one id are the
 * same only if all three are. */
std::string RequestDigest(const std::string& aMethod,
                          const std::string& aTarget,
                          const std::string& aBody);

/** 128 random bits as text. */
std::string RandomId();

} // namespace bamboostile::entry::internal
