#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bamboostile::storage::internal {

/** Magic number, length, checksum of the body, checksum of these three. */
constexpr std::size_t kFrameHeaderBytes = 16;

std::string MakeFrame(const std::string& aBody);

enum class FrameState
{
  kValid,
  /** The frame extends past the end of the file. */
  kTruncated,
  kInvalid,
};

struct FrameReadResult
{
  FrameState m_state = FrameState::kInvalid;
  std::string_view m_body;
  std::size_t m_end = 0;
};

FrameReadResult ReadFrame(std::string_view aFile, std::size_t aOffset);

/** Finds a valid frame after aOffset. Its presence proves that the data at
 * aOffset was damaged later and is not an incomplete last write. */
std::optional<std::size_t> FindNextValidFrame(std::string_view aFile,
                                              std::size_t aOffset);

} // namespace bamboostile::storage::internal
