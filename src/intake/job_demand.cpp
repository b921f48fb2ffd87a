#include "bamboostile/intake/job_demand.h"

#include <algorithm>

namespace bamboostile::intake {

JobDemand
DemandOf(const jobs::JobSpec& aSpec,
         const placement::DurationEstimator& aDurations)
{
  JobDemand demand;
  demand.m_isExempt = aSpec.m_repeatCount > 0;
  std::vector<Millis> ends;
  for (const jobs::StepSpec& step : aSpec.m_steps) {
    Millis end{};
    for (const std::uint32_t dependency : step.m_dependsOn) {
      end = std::max(end, ends[dependency]);
    }
    const Millis duration = aDurations.Estimate(step);
    ends.push_back(end + duration);
    demand.m_criticalPath = std::max(demand.m_criticalPath, ends.back());
    demand.m_isExempt = demand.m_isExempt || step.m_longRunning;
    const std::int64_t cpu = step.m_count * step.ReservedCpu();
    demand.m_work += cpu * duration.count();
    if (step.m_dependsOn.empty()) {
      demand.m_firstCpu += cpu;
      demand.m_largestCpu = std::max(demand.m_largestCpu, step.ReservedCpu());
    }
    if (step.m_gang) {
      demand.m_gangCpu = std::max(demand.m_gangCpu, cpu);
    }
  }
  return demand;
}

} // namespace bamboostile::intake
