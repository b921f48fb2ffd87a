#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bamboostile::storage::internal {

/** Magic, length, checksum of the body, checksum of these three. */
constexpr std::size_t kFrameHeaderBytes = 16;

std::string Seal(const std::string& aBody);

enum class FrameState
{
  kGood,
  /** It runs past the end of the file. */
  kShort,
  kBad,
};

struct FrameAt
{
  FrameState m_state = FrameState::kBad;
  std::string_view m_body;
  std::size_t m_end = 0;
};

FrameAt ReadFrame(std::string_view aFile, std::size_t aOffset);

/** Finds a sound frame after aOffset: proof that what lies at aOffset was
 * damaged later, and was not the last write. */
std::optional<std::size_t> FindLaterFrame(std::string_view aFile,
                                          std::size_t aOffset);

} // namespace bamboostile::storage::internal
