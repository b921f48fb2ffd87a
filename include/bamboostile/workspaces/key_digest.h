#pragma once

#include "bamboostile/workspaces/model.h"

#include <string_view>

namespace bamboostile::workspaces {

/** Returns the digest of a key; an empty one for an empty key. */
KeyDigest DigestKey(std::string_view aKey);

/** Compares in a time that does not depend on the content. */
bool EqualsInConstantTime(const KeyDigest& aLeft, const KeyDigest& aRight);

} // namespace bamboostile::workspaces
