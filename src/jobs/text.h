#pragma once

#include "bamboostile/schema/text.h"

#include <capnp/blob.h>

#include <string>

namespace bamboostile::jobs {

inline std::string
Text(capnp::Text::Reader aText)
{
  return { aText.begin(), aText.size() };
}

} // namespace bamboostile::jobs
