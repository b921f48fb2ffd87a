#pragma once

#include "bamboostile/schema/text.h"

#include <capnp/blob.h>

#include <string>

namespace bamboostile::wire {

inline std::string
ToString(capnp::Text::Reader aText)
{
  return { aText.begin(), aText.size() };
}

inline std::string
ToString(capnp::Data::Reader aData)
{
  return { reinterpret_cast<const char*>(aData.begin()), aData.size() };
}

inline capnp::Data::Reader
ToData(const std::string& aBytes)
{
  return { reinterpret_cast<const kj::byte*>(aBytes.data()), aBytes.size() };
}

} // namespace bamboostile::wire
