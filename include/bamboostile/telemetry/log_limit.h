#pragma once

#include "bamboostile/units/time.h"

#include <cstdint>
#include <optional>
#include <utility>

namespace bamboostile::telemetry {

/**
 * @brief Lets one line of a kind through in each interval and counts the
 * others, so that what another process sends cannot fill the log.
 */
class LogLimit
{
public:
  explicit LogLimit(Duration aInterval)
    : m_interval(aInterval)
  {
  }

  /** How many were left out since the last line; nothing where this one is. */
  std::optional<std::uint64_t> Admit(TimePoint aNow)
  {
    if (aNow < m_next) {
      ++m_leftOut;
      return std::nullopt;
    }
    m_next = aNow + m_interval;
    return std::exchange(m_leftOut, 0);
  }

private:
  Duration m_interval;
  TimePoint m_next;
  std::uint64_t m_leftOut = 0;
};

} // namespace bamboostile::telemetry
