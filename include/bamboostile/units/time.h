#pragma once

#include <chrono>
#include <ctime>

namespace bamboostile {

/**
 * @brief Monotonic time of one process, handed to the decision libraries.
 *
 * It has no Now(): decision libraries are told the time with each event, so
 * that tests, benchmarks and daemons run the same code.
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
 * It counts the time in which the machine is suspended: a leader that wakes up
 * would otherwise believe in a lease that ended while it was away, and answer
 * beside its successor. The steady clock stands still meanwhile. */
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
