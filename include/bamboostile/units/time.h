#pragma once

#include <chrono>
#include <ctime>

namespace bamboostile {

/**
 * @brief Monotonic clock of one process for the decision libraries.
 *
 * It has no Now(): decision libraries receive the time with each event, so that
 * tests, benchmarks and daemons run the same code.
 */
struct MonotonicClock
{
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock, duration>;
  static constexpr bool is_steady = true;
};

using Duration = MonotonicClock::duration;
using TimePoint = MonotonicClock::time_point;
using Millis = std::chrono::milliseconds;

/** Reads the machine's monotonic clock. Only adapters and programs call it.
 *
 * Unlike the steady clock, it includes the time in which the machine is
 * suspended. Otherwise a leader that resumes would trust a lease that ended
 * meanwhile and answer concurrently with its successor. */
inline TimePoint
MonotonicNow()
{
  std::timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint{ std::chrono::duration_cast<Duration>(
    std::chrono::seconds{ now.tv_sec } +
    std::chrono::nanoseconds{ now.tv_nsec }) };
}

inline Millis
ToMillis(Duration aDuration)
{
  return std::chrono::duration_cast<Millis>(aDuration);
}

} // namespace bamboostile
