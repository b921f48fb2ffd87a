#pragma once

#include <optional>
#include <string>

namespace bamboostile::fleet {

/** Returns the bytes in zlib's format, preceded by their number; nullopt if
 * there is no memory for that. */
std::optional<std::string> Deflate(const std::string& aBytes);
/** Returns nullopt if the bytes are damaged; does not throw. */
std::optional<std::string> Inflate(const std::string& aBytes);

} // namespace bamboostile::fleet
