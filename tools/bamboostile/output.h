#pragma once

#include "commands.h"

#include <cstdint>

namespace bamboostile::cli {

std::string HexOf(std::uint64_t aValue);

/** Prints the reply to a call as text or JSON, as the options ask. Text of a
 * failed call goes to standard error. */
void PrintReply(const GlobalOptions& aOptions,
                const std::string& aObject,
                const std::string& aOperation,
                const Reply& aReply);

/** Fetches the status through a session of its own. A thread can have only one
 * session at a time. */
std::optional<nlohmann::json> FetchStatus(const GlobalOptions& aOptions,
                                          Reply& aFailure);

} // namespace bamboostile::cli
