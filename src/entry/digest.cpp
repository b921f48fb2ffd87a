#include "digest.h"

#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>
#include <memory>

namespace bamboostile::entry::internal {

std::string
RequestDigest(const std::string& aMethod,
              const std::string& aTarget,
              const std::string& aBody)
{
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(
    EVP_MD_CTX_new(), EVP_MD_CTX_free);
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
  for (const std::string* part : { &aMethod, &aTarget, &aBody }) {
    // Each part is preceded by its length, so that splitting the same bytes
    // differently gives a different digest.
    const std::uint64_t size = part->size();
    EVP_DigestUpdate(context.get(), &size, sizeof(size));
    EVP_DigestUpdate(context.get(), part->data(), part->size());
  }
  EVP_DigestFinal_ex(context.get(), digest.data(), &length);
  return { reinterpret_cast<const char*>(digest.data()), length };
}

std::string
RandomId()
{
  constexpr std::size_t kBytes = 16;
  constexpr const char* kDigits = "0123456789abcdef";
  std::array<unsigned char, kBytes> bytes{};
  RAND_bytes(bytes.data(), kBytes);
  std::string text;
  for (const unsigned char byte : bytes) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 0xF];
  }
  return text;
}

} // namespace bamboostile::entry::internal
