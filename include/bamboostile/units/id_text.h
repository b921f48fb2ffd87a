#pragma once

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace bamboostile {

constexpr std::size_t kMaxIdBytes = 128;

/** What IsIdText() allows, for error messages. */
constexpr const char* kIdTextAllowed =
  "1 to 128 visible ASCII characters, no slash";

/** Whether a text from outside may be an id: ids are kept in the replicated
 * state for each task and run, and are written as JSON. */
inline bool
IsIdText(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxIdBytes &&
         std::all_of(aText.begin(), aText.end(), [](char aChar) {
           return aChar > ' ' && aChar < '\x7f' && aChar != '/';
         });
}

} // namespace bamboostile
