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
RecentLosses::Add(TimePoint aHeardAt, bool aWhileStarting)
{
  std::erase_if(m_losses, [&](const Loss& aOne) {
    return aOne.m_heardAt + kKeepLosses < aHeardAt;
  });
  m_losses.push_back({ aHeardAt, aWhileStarting });
}

std::size_t
RecentLosses::CountUnprovoked(TimePoint aAround) const
{
  return static_cast<std::size_t>(
    std::count_if(m_losses.begin(), m_losses.end(), [&](const Loss& aOne) {
      return !aOne.m_whileStarting &&
             aOne.m_heardAt <= aAround + kLostTogether &&
             aAround <= aOne.m_heardAt + kLostTogether;
    }));
}

} // namespace bamboostile::placement
