#include "due_occurrences.h"

#include <algorithm>

namespace bamboostile::placement {

std::size_t
CountDue(const jobs::Job& aJob, WallTime aWall, std::size_t aMax)
{
  const std::int64_t elapsed = aWall.Get() - aJob.m_spec.m_startAt.Get();
  if (elapsed < 0) {
    return 0;
  }
  const std::int64_t interval =
    std::max<std::int64_t>(1, aJob.m_spec.m_interval.count());
  const std::int64_t due =
    std::min<std::int64_t>(aJob.m_spec.m_repeatCount, elapsed / interval + 1);
  const std::int64_t open = due - std::int64_t{ aJob.m_firstOccurrence };
  return std::min(aMax,
                  static_cast<std::size_t>(std::max<std::int64_t>(0, open)));
}

std::size_t
FindFairLimit(std::vector<std::size_t> aNeeds, std::size_t aTotal)
{
  std::sort(aNeeds.begin(), aNeeds.end());
  std::size_t left = aTotal;
  for (std::size_t i = 0; i < aNeeds.size(); ++i) {
    const std::size_t share = left / (aNeeds.size() - i);
    if (aNeeds[i] > share) {
      return std::max<std::size_t>(1, share);
    }
    left -= aNeeds[i];
  }
  return std::max<std::size_t>(1, aTotal);
}

} // namespace bamboostile::placement
