#include "bamboostile/placement/load_shedder.h"

#include <algorithm>

namespace bamboostile::placement {

namespace {

/** A wait counts for one to two windows. That is long enough for reports that
 * were asked for later to stay away, and short compared with a peak of some
 * seconds. */
constexpr Duration kWindow = Millis{ 500 };
/** Waits above those in a peak that the leader can handle, and well below
 * those at which answers reach workers too late. */
constexpr Duration kHighWait = Millis{ 150 };
constexpr Duration kVeryHighWait = Millis{ 300 };

} // namespace

const char*
Describe(SheddingLevel aLevel) noexcept
{
  switch (aLevel) {
    case SheddingLevel::kNone:
      return "nothing";
    case SheddingLevel::kInstances:
      return "orders for instances";
    case SheddingLevel::kPlacement:
      return "orders for instances and passes of placing";
  }
  return "unknown";
}

void
LoadShedder::AdvanceWindow(TimePoint aNow)
{
  if (aNow < m_current.m_since + kWindow) {
    return;
  }
  const bool isAdjacent = aNow < m_current.m_since + 2 * kWindow;
  m_previous = isAdjacent ? m_current : Window{ aNow, Duration{} };
  m_current = { aNow, Duration{} };
}

void
LoadShedder::RecordWait(Duration aWaited, TimePoint aNow)
{
  AdvanceWindow(aNow);
  m_current.m_maxWait = std::max(m_current.m_maxWait, aWaited);
}

SheddingLevel
LoadShedder::Level(TimePoint aNow) const
{
  const auto maxWaitOf = [&](const Window& aWindow) {
    return aNow < aWindow.m_since + 2 * kWindow ? aWindow.m_maxWait
                                                : Duration{};
  };
  const Duration maxWait =
    std::max(maxWaitOf(m_current), maxWaitOf(m_previous));
  if (maxWait >= kVeryHighWait) {
    return SheddingLevel::kPlacement;
  }
  return maxWait >= kHighWait ? SheddingLevel::kInstances
                              : SheddingLevel::kNone;
}

int
ReportIntervalFactor(SheddingLevel aLevel) noexcept
{
  switch (aLevel) {
    case SheddingLevel::kNone:
      return 1;
    case SheddingLevel::kInstances:
      return 2;
    case SheddingLevel::kPlacement:
      return 4;
  }
  return 1;
}

} // namespace bamboostile::placement
