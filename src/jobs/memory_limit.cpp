#include "bamboostile/jobs/memory_limit.h"

#include <algorithm>
#include <limits>

namespace bamboostile::jobs {

namespace {

constexpr std::size_t kMiB = 1024 * 1024;
/** For the program, connections, the configuration and the log since the last
 * snapshot. */
constexpr std::size_t kFixedBytes = 64 * kMiB;
/** Number of copies of the jobs that exist while a snapshot is taken: the
 * state, its copy, its forms while it is encoded, and those on the way to the
 * disk. */
constexpr std::size_t kCopies = 8;
constexpr std::size_t kMinJobBytes = 2 * kMiB;
/** Accepted jobs may take one part of this many of the limit. */
constexpr std::size_t kAcceptedDivisor = 2;

} // namespace

MemoryLimit::MemoryLimit(std::size_t aMemoryBytes)
  : m_jobBytes(
      std::max(kMinJobBytes,
               (aMemoryBytes - std::min(aMemoryBytes, kFixedBytes)) / kCopies))
{
}

std::size_t
MemoryLimit::MaxAcceptedBytes() const
{
  return IsSet() ? m_jobBytes / kAcceptedDivisor
                 : std::numeric_limits<std::size_t>::max();
}

MemoryVerdict
MemoryLimit::Assess(std::size_t aUsed, std::size_t aJob) const
{
  const std::size_t max = MaxAcceptedBytes();
  if (aJob > max) {
    return MemoryVerdict::kNeverFits;
  }
  return aUsed > max - aJob ? MemoryVerdict::kFull : MemoryVerdict::kFits;
}

std::size_t
MemoryLimit::RoomForTasks(std::size_t aUsed) const
{
  return IsSet() ? m_jobBytes - std::min(m_jobBytes, aUsed)
                 : std::numeric_limits<std::size_t>::max();
}

} // namespace bamboostile::jobs
