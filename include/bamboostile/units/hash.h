#pragma once

#include <cstdint>
#include <string_view>

namespace bamboostile {

/** FNV-1a hash, the same on every machine and in every build: all processes
 * must compute the same owner from the same id. Not collision-resistant against
 * hostile input. */
class StableHash
{
public:
  StableHash& Add(std::string_view aBytes)
  {
    for (const char c : aBytes) {
      AddByte(static_cast<unsigned char>(c));
    }
    return *this;
  }

  StableHash& Add(std::uint64_t aNumber)
  {
    for (std::size_t i = 0; i < sizeof(aNumber); ++i) {
      AddByte(aNumber & kByteMask);
      aNumber >>= kByteBits;
    }
    return *this;
  }

  std::uint64_t Get() const { return m_value; }

private:
  static constexpr std::uint64_t kOffset = 14695981039346656037ULL;
  static constexpr std::uint64_t kPrime = 1099511628211ULL;
  static constexpr std::uint64_t kByteMask = 0xFF;
  static constexpr int kByteBits = 8;

  void AddByte(std::uint64_t aByte) { m_value = (m_value ^ aByte) * kPrime; }

  std::uint64_t m_value = kOffset;
};

} // namespace bamboostile
