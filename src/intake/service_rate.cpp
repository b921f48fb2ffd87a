#include "bamboostile/intake/service_rate.h"

#include <algorithm>

namespace bamboostile::intake {

namespace {

/** Length of one measurement: some tens of passes under load, and about the
 * duration of a task, so that the starts of a moment do not count as a rate. */
constexpr Duration kWindow = Millis{ 1000 };
/** Weight of a measurement in the mean: it follows a change in about three. */
constexpr double kWeight = 0.3;
/** Callers' estimates of durations may be wrong by nine tenths, and the rate is
 * wrong by as much until runs of the image have ended. */
constexpr double kMinRate = 0.2;
constexpr double kMaxRate = 4;

} // namespace

// New workers are filled at once, which says nothing about the rate at which
// busy ones become free. So a pass that finds more CPU begins a new window.
void
ServiceRate::OnPass(bool aIsFull,
                    std::int64_t aStartedWork,
                    std::int64_t aCpu,
                    TimePoint aNow)
{
  if (!aIsFull || !m_wasFull || aCpu > m_cpu || aCpu <= 0) {
    m_wasFull = aIsFull && aCpu > 0;
    m_since = aNow;
    m_cpu = aCpu;
    m_startedWork = 0;
    return;
  }
  m_startedWork += aStartedWork;
  const Duration elapsed = aNow - m_since;
  if (elapsed < kWindow) {
    return;
  }
  const double capacity =
    static_cast<double>(m_cpu) * static_cast<double>(ToMillis(elapsed).count());
  const double measured = std::clamp(
    static_cast<double>(m_startedWork) / capacity, kMinRate, kMaxRate);
  m_rate += (measured - m_rate) * kWeight;
  m_since = aNow;
  m_cpu = aCpu;
  m_startedWork = 0;
}

} // namespace bamboostile::intake
