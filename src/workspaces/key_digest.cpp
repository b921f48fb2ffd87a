#include "bamboostile/workspaces/key_digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <array>

namespace bamboostile::workspaces {

KeyDigest
DigestKey(std::string_view aKey)
{
  if (aKey.empty()) {
    return {};
  }
  constexpr const char* kDigits = "0123456789abcdef";
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  EVP_Digest(
    aKey.data(), aKey.size(), digest.data(), &length, EVP_sha256(), nullptr);
  std::string text;
  text.reserve(std::size_t{ 2 } * length);
  for (unsigned int i = 0; i < length; ++i) {
    text += kDigits[digest[i] >> 4];
    text += kDigits[digest[i] & 0xF];
  }
  return KeyDigest{ std::move(text) };
}

bool
EqualsInConstantTime(const KeyDigest& aLeft, const KeyDigest& aRight)
{
  const std::string& left = aLeft.Get();
  const std::string& right = aRight.Get();
  return left.size() == right.size() &&
         CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace bamboostile::workspaces
