#pragma once

#include "commands.h"

#include <cstdint>

namespace bamboostile::cli {

std::string HexOf(std::uint64_t aValue);

/** Prints the answer to a call as the operator asked for it; failures go to
 * standard error. */
void Print(const Common& aCommon,
           const std::string& aObject,
           const std::string& aOperation,
           const Reply& aReply);

/** Opens a session of its own, of which a thread can have one at a time. */
std::optional<nlohmann::json> FetchStatus(const Common& aCommon,
                                          Reply& aFailure);

} // namespace bamboostile::cli
