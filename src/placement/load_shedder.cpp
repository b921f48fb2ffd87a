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
Describe(Shedding aLevel) noexcept
{
  switch (aLevel) {
    case Shedding::kNothing:
      return "nothing";
    case Shedding::kInstances:
      return "orders for instances";
    case Shedding::kPlacing:
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
LoadShedder::OnWaited(Duration aWaited, TimePoint aNow)
{
  AdvanceWindow(aNow);
  m_current.m_maxWait = std::max(m_current.m_maxWait, aWaited);
}

Shedding
LoadShedder::Level(TimePoint aNow) const
{
  const auto maxWaitOf = [&](const Window& aWindow) {
    return aNow < aWindow.m_since + 2 * kWindow ? aWindow.m_maxWait
                                                : Duration{};
  };
  const Duration maxWait =
    std::max(maxWaitOf(m_current), maxWaitOf(m_previous));
  if (maxWait >= kVeryHighWait) {
    return Shedding::kPlacing;
  }
  return maxWait >= kHighWait ? Shedding::kInstances : Shedding::kNothing;
}

int
ReportStretch(Shedding aLevel) noexcept
{
  switch (aLevel) {
    case Shedding::kNothing:
      return 1;
    case Shedding::kInstances:
      return 2;
    case Shedding::kPlacing:
      return 4;
  }
  return 1;
}

} // namespace bamboostile::placement
