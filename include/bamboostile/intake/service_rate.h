#pragma once

#include "bamboostile/units/time.h"

#include <cstdint>

namespace bamboostile::intake {

/**
 * @brief Measures how fast a full pool starts work: started work per time, as a
 * multiple of the pool's CPU.
 *
 * It is 1 where estimates of durations are right and each core gets its next
 * task at once. It is below 1 where the leader sends starts late, as cores
 * are idle meanwhile, or where tasks take longer than estimated.
 */
class ServiceRate
{
public:
  /** aStartedWork: that of the pass, in thousandths of a core times ms; aCpu in
   * thousandths of a core. */
  void OnPass(bool aIsFull,
              std::int64_t aStartedWork,
              std::int64_t aCpu,
              TimePoint aNow);
  double Get() const { return m_rate; }

private:
  double m_rate = 1;
  bool m_wasFull = false;
  TimePoint m_since;
  std::int64_t m_cpu = 0;
  std::int64_t m_startedWork = 0;
};

} // namespace bamboostile::intake
