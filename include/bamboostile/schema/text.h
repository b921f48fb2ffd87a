#pragma once

#include <capnp/blob.h>

#include <string>

namespace bamboostile {

/** Returns the whole text, as setters of Cap'n Proto messages take it. It is
 * valid for as long as aText. */
inline capnp::Text::Reader
ToText(const std::string& aText)
{
  return { aText.data(), aText.size() };
}

} // namespace bamboostile

// The conversion of Cap'n Proto takes a std::string by its c_str(), and cuts it
// at the first U+0000.
template<>
kj::StringPtr::StringPtr(const std::string&) = delete;
template<>
capnp::Text::Reader::Reader(const std::string&) = delete;
