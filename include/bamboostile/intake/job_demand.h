#pragma once

#include "bamboostile/placement/durations.h"

namespace bamboostile::intake {

/** What a job asks of its pool. CPU is in thousandths of a core, work in that
 * times ms. */
struct JobDemand
{
  Millis m_criticalPath{};
  std::int64_t m_work = 0;
  /** CPU of the tasks that can start at once, and of the largest of them. */
  std::int64_t m_firstCpu = 0;
  std::int64_t m_largestCpu = 0;
  /** CPU of the widest gang: all of it has to be free at the same time. */
  std::int64_t m_gangCpu = 0;
  /** Long-running or scheduled: no end is expected of it. */
  bool m_isExempt = false;
};

JobDemand DemandOf(const jobs::JobSpec& aSpec,
                   const placement::DurationEstimator& aDurations);

} // namespace bamboostile::intake
