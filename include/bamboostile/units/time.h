#pragma once

#include <chrono>

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

/** Reads the machine's monotonic clock. Only adapters and programs call it. */
inline TimePoint
MonotonicNow()
{
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint{ std::chrono::duration_cast<Duration>(since) };
}

inline Millis
ToMillis(Duration aDuration)
{
  return std::chrono::duration_cast<Millis>(aDuration);
}

} // namespace bamboostile
