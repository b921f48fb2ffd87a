#include "bamboostile/placement/losses.h"

#include <algorithm>

namespace bamboostile::placement {

namespace {

/** How long a loss is kept. Noticing any loss takes less time. */
constexpr Duration kLossRetention = std::chrono::seconds{ 15 };

} // namespace

const char*
Describe(LossCause aCause) noexcept
{
  switch (aCause) {
    case LossCause::kLaterIncarnation:
      return "a later life of its instance reports";
    case LossCause::kLeaseEnded:
      return "its lease ended";
    case LossCause::kNeverReported:
      return "this leader never heard of it";
  }
  return "unknown";
}

void
RecentLosses::Add(TimePoint aLastReportAt)
{
  std::erase_if(m_lastReportsAt, [&](TimePoint aLoss) {
    return aLoss + kLossRetention < aLastReportAt;
  });
  m_lastReportsAt.push_back(aLastReportAt);
}

std::size_t
RecentLosses::CountAround(TimePoint aMoment) const
{
  return static_cast<std::size_t>(std::count_if(
    m_lastReportsAt.begin(), m_lastReportsAt.end(), [&](TimePoint aLoss) {
      return aLoss <= aMoment + kConcurrentLossWindow &&
             aMoment <= aLoss + kConcurrentLossWindow;
    }));
}

} // namespace bamboostile::placement
