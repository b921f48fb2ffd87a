#include "deflate.h"

#include <zlib.h>

#include <cstdint>

namespace bamboostile::fleet {

namespace {

constexpr std::size_t kSizeBytes = 4;
/** More than any command takes; a damaged size must not exhaust the memory. */
constexpr std::size_t kMaxBytes = std::size_t{ 256 } * 1024 * 1024;
constexpr unsigned kBitsPerByte = 8;

const Bytef*
BytesOf(const std::string& aBytes)
{
  return reinterpret_cast<const Bytef*>(aBytes.data());
}

} // namespace

std::optional<std::string>
Deflate(const std::string& aBytes)
{
  std::string deflated;
  for (std::size_t i = 0; i < kSizeBytes; ++i) {
    deflated += static_cast<char>(aBytes.size() >> (i * kBitsPerByte));
  }
  uLongf size = compressBound(aBytes.size());
  deflated.resize(kSizeBytes + size);
  const int result =
    compress2(reinterpret_cast<Bytef*>(deflated.data()) + kSizeBytes,
              &size,
              BytesOf(aBytes),
              aBytes.size(),
              Z_BEST_SPEED);
  if (result != Z_OK) {
    return std::nullopt;
  }
  deflated.resize(kSizeBytes + size);
  return deflated;
}

std::optional<std::string>
Inflate(const std::string& aBytes)
{
  if (aBytes.size() < kSizeBytes) {
    return std::nullopt;
  }
  std::size_t expected = 0;
  for (std::size_t i = 0; i < kSizeBytes; ++i) {
    expected |= std::size_t{ static_cast<std::uint8_t>(aBytes[i]) }
                << (i * kBitsPerByte);
  }
  if (expected > kMaxBytes) {
    return std::nullopt;
  }
  std::string inflated(expected, '\0');
  uLongf size = expected;
  const int result = uncompress(reinterpret_cast<Bytef*>(inflated.data()),
                                &size,
                                BytesOf(aBytes) + kSizeBytes,
                                aBytes.size() - kSizeBytes);
  if (result != Z_OK || size != expected) {
    return std::nullopt;
  }
  return inflated;
}

} // namespace bamboostile::fleet
