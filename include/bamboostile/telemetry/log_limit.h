#pragma once

#include "bamboostile/units/time.h"

#include <cstdint>
#include <optional>
#include <utility>

namespace bamboostile::telemetry {

/**
 * @brief Admits one line of a kind per interval and counts the suppressed ones,
 * so that messages from another process cannot flood the log.
 */
class LogRateLimiter
{
public:
  explicit LogRateLimiter(Duration aInterval)
    : m_interval(aInterval)
  {
  }

  /** Returns the number of lines suppressed since the last one, or nothing if
   * this line is suppressed too. */
  std::optional<std::uint64_t> Admit(TimePoint aNow)
  {
    if (aNow < m_nextAt) {
      ++m_suppressed;
      return std::nullopt;
    }
    m_nextAt = aNow + m_interval;
    return std::exchange(m_suppressed, 0);
  }

private:
  Duration m_interval;
  TimePoint m_nextAt;
  std::uint64_t m_suppressed = 0;
};

} // namespace bamboostile::telemetry
