#include "bamboostile/placement/losses.h"

#include <algorithm>

namespace bamboostile::placement {

namespace {

/** Longer than it takes to notice any loss. */
constexpr Duration kKeepLosses = std::chrono::seconds{ 15 };

} // namespace

const char*
Describe(LossCause aCause) noexcept
{
  switch (aCause) {
    case LossCause::kLaterLife:
      return "a later life of its instance reports";
    case LossCause::kLeaseEnded:
      return "its lease ended";
    case LossCause::kNeverHeard:
      return "this leader never heard of it";
  }
  return "unknown";
}

void
RecentLosses::Add(TimePoint aHeardAt)
{
  std::erase_if(m_heardAt,
                [&](TimePoint aOne) { return aOne + kKeepLosses < aHeardAt; });
  m_heardAt.push_back(aHeardAt);
}

std::size_t
RecentLosses::CountAround(TimePoint aMoment) const
{
  return static_cast<std::size_t>(
    std::count_if(m_heardAt.begin(), m_heardAt.end(), [&](TimePoint aOne) {
      return aOne <= aMoment + kLostTogether && aMoment <= aOne + kLostTogether;
    }));
}

} // namespace bamboostile::placement
