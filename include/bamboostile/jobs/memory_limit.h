#pragma once

#include <cstddef>
#include <cstdint>

namespace bamboostile::jobs {

/** What the limit says about one more job. */
enum class MemoryVerdict : std::uint8_t
{
  kFits,
  /** It fits once other jobs have ended and are no longer kept. */
  kFull,
  kNeverFits,
};

/**
 * @brief Bounds what accepted jobs take in memory, as JobTable::Bytes() counts
 * it, however many tasks, occurrences or bytes of text they have.
 *
 * Jobs are accepted up to a part of the limit. The rest is for the states of
 * tasks, which exist while a step is in progress: a step is not begun while
 * there is no room for them.
 */
class MemoryLimit
{
public:
  /** No limit. */
  MemoryLimit() = default;
  /** aMemoryBytes: what the process may use for everything. */
  explicit MemoryLimit(std::size_t aMemoryBytes);

  bool IsSet() const { return m_jobBytes > 0; }
  /** aUsed: bytes of all jobs, accepted or proposed; aJob: of one more. */
  MemoryVerdict Assess(std::size_t aUsed, std::size_t aJob) const;
  /** Returns how many bytes of tasks new steps may add. */
  std::size_t RoomForTasks(std::size_t aUsed) const;
  /** Up to this many bytes jobs are accepted. */
  std::size_t MaxAcceptedBytes() const;

private:
  /** 0 for no limit. */
  std::size_t m_jobBytes = 0;
};

} // namespace bamboostile::jobs
