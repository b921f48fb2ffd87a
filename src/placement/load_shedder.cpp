#include "bamboostile/placement/load_shedder.h"

#include <algorithm>

namespace bamboostile::placement {

namespace {

/** A wait counts for one to two of these: long enough for reports that were
 * put off to stay away, short beside a peak of some seconds. */
constexpr Duration kSpan = Millis{ 500 };
/** Above what reports wait in a peak that the leader keeps up with, and well
 * before their answers come too late for the workers. */
constexpr Duration kFull = Millis{ 150 };
constexpr Duration kVeryFull = Millis{ 300 };

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
LoadShedder::Roll(TimePoint aNow)
{
  if (aNow < m_current.m_since + kSpan) {
    return;
  }
  const bool isNext = aNow < m_current.m_since + 2 * kSpan;
  m_before = isNext ? m_current : Span{ aNow, Duration{} };
  m_current = { aNow, Duration{} };
}

void
LoadShedder::OnWaited(Duration aWaited, TimePoint aNow)
{
  Roll(aNow);
  m_current.m_longest = std::max(m_current.m_longest, aWaited);
}

Shedding
LoadShedder::Level(TimePoint aNow) const
{
  const auto longestOf = [&](const Span& aSpan) {
    return aNow < aSpan.m_since + 2 * kSpan ? aSpan.m_longest : Duration{};
  };
  const Duration longest = std::max(longestOf(m_current), longestOf(m_before));
  if (longest >= kVeryFull) {
    return Shedding::kPlacing;
  }
  return longest >= kFull ? Shedding::kInstances : Shedding::kNothing;
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
