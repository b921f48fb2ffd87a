#include "frame.h"

#include <boost/crc.hpp>

#include <array>
#include <cstring>

namespace bamboostile::storage::internal {

namespace {

constexpr std::uint32_t kMagic = 0x46424D42;

std::uint32_t
Checksum(std::string_view aBytes)
{
  boost::crc_32_type crc;
  crc.process_bytes(aBytes.data(), aBytes.size());
  return crc.checksum();
}

std::uint32_t
WordAt(std::string_view aBytes, std::size_t aOffset)
{
  std::uint32_t word = 0;
  std::memcpy(&word, aBytes.data() + aOffset, sizeof(word));
  return word;
}

} // namespace

std::string
MakeFrame(const std::string& aBody)
{
  std::array<std::uint32_t, 4> header{
    kMagic, static_cast<std::uint32_t>(aBody.size()), Checksum(aBody), 0
  };
  const std::string_view checked{ reinterpret_cast<const char*>(header.data()),
                                  3 * sizeof(std::uint32_t) };
  header[3] = Checksum(checked);
  std::string frame{ reinterpret_cast<const char*>(header.data()),
                     kFrameHeaderBytes };
  frame += aBody;
  return frame;
}

FrameReadResult
ReadFrame(std::string_view aFile, std::size_t aOffset)
{
  if (aFile.size() - aOffset < kFrameHeaderBytes) {
    return { FrameState::kTruncated, {}, aFile.size() };
  }
  const std::string_view rest = aFile.substr(aOffset);
  const bool isHeaderValid =
    WordAt(rest, 0) == kMagic &&
    WordAt(rest, 12) == Checksum(rest.substr(0, 3 * sizeof(std::uint32_t)));
  if (!isHeaderValid) {
    return { FrameState::kInvalid, {}, aFile.size() };
  }
  const std::size_t length = WordAt(rest, 4);
  if (rest.size() - kFrameHeaderBytes < length) {
    return { FrameState::kTruncated, {}, aFile.size() };
  }
  const std::string_view body = rest.substr(kFrameHeaderBytes, length);
  const bool isBodyValid = WordAt(rest, 8) == Checksum(body);
  return { isBodyValid ? FrameState::kValid : FrameState::kInvalid,
           body,
           aOffset + kFrameHeaderBytes + length };
}

std::optional<std::size_t>
FindNextValidFrame(std::string_view aFile, std::size_t aOffset)
{
  std::array<char, sizeof(kMagic)> magic{};
  std::memcpy(magic.data(), &kMagic, sizeof(kMagic));
  const std::string_view pattern{ magic.data(), magic.size() };
  std::size_t at = aFile.find(pattern, aOffset + 1);
  while (at != std::string_view::npos) {
    if (ReadFrame(aFile, at).m_state == FrameState::kValid) {
      return at;
    }
    at = aFile.find(pattern, at + 1);
  }
  return std::nullopt;
}

} // namespace bamboostile::storage::internal
