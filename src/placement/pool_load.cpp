#include "target_pool.h"

#include <algorithm>

namespace bamboostile::placement {

namespace {

constexpr std::int64_t kMilliPerCore = 1000;

/** Work of the occurrence's waiting tasks, also of steps that are not ready. */
std::int64_t
WaitingWorkOf(const jobs::Job& aJob,
              std::uint32_t aOccurrence,
              const DurationEstimator& aDurations)
{
  const auto found = aJob.m_occurrences.find(aOccurrence);
  std::int64_t work = 0;
  for (std::size_t s = 0; s < aJob.m_spec.m_steps.size(); ++s) {
    const jobs::StepSpec& step = aJob.m_spec.m_steps[s];
    const std::uint32_t waiting = found == aJob.m_occurrences.end()
                                    ? step.m_count
                                    : found->second.m_steps[s].Waiting();
    if (!step.m_longRunning && waiting > 0) {
      work += waiting * step.ReservedCpu() * aDurations.Estimate(step).count();
    }
  }
  return work;
}

} // namespace

// Memory counts in proportion to CPU: cores whose memory is in use are not
// free.
void
Planner::Target::AddTo(PoolLoad& aLoad) const
{
  if (m_isUnresponsive) {
    return;
  }
  const jobs::Resources& capacity = m_worker->m_lastReport.m_capacity;
  aLoad.m_cpu += capacity.m_cpuMillis - m_longRunningUse.m_cpuMillis;
  if (m_isReserved || m_isolatedTask || capacity.m_memoryMb == 0) {
    return;
  }
  const std::int64_t byMemory =
    m_freeMemoryMb * capacity.m_cpuMillis / capacity.m_memoryMb;
  const std::int64_t free = std::min(m_freeCpuMillis, byMemory);
  const std::int64_t whole = free > 0 ? free - free % kMilliPerCore : 0;
  aLoad.m_freeCpu += whole;
  aLoad.m_largestFreeCpu = std::max(aLoad.m_largestFreeCpu, whole);
}

std::uint32_t
Planner::Candidate::CountWaiting() const
{
  const auto found = m_job->m_occurrences.find(m_occurrence);
  return found == m_job->m_occurrences.end()
           ? Step().m_count
           : found->second.m_steps[m_step].Waiting();
}

// The candidates of a job follow each other. A job all of whose ready tasks
// have started is left out, with its later steps: finding those jobs in each
// pass would need a visit of all of them, and the correction of the estimate
// covers their work. Jobs of workspaces at their cap are left out as they do
// not wait for capacity.
void
Planner::SumLoads(const std::vector<Candidate>& aCandidates,
                  const Pools& aPools,
                  const jobs::JobTable& aBook,
                  Plan& aPlan) const
{
  for (const auto& [service, pool] : aPools) {
    PoolLoad& load = aPlan.m_loads[service];
    for (const Target& target : pool.Targets()) {
      target.AddTo(load);
    }
  }
  struct Started
  {
    std::uint32_t m_tasks = 0;
    std::int64_t m_work = 0;
  };
  std::unordered_map<const jobs::Job*, Started> startedByJob;
  for (const jobs::Change& change : aPlan.m_changes) {
    if (const auto* start = std::get_if<jobs::StartRun>(&change)) {
      const jobs::Job* job = aBook.Find(start->m_task.m_job);
      const jobs::StepSpec& step = job->m_spec.m_steps[start->m_task.m_step];
      if (!step.m_longRunning) {
        Started& started = startedByJob[job];
        ++started.m_tasks;
        started.m_work +=
          step.ReservedCpu() * m_durations.Estimate(step).count();
      }
    }
  }
  for (auto it = aCandidates.begin(); it != aCandidates.end();) {
    const Candidate& first = *it;
    const jobs::Job* job = first.m_job;
    std::uint32_t ready = 0;
    while (it != aCandidates.end() && it->m_job == job &&
           it->m_occurrence == first.m_occurrence &&
           it->m_isLongRunning == first.m_isLongRunning) {
      ready += it->CountWaiting();
      ++it;
    }
    if (first.m_isLongRunning) {
      continue;
    }
    PoolLoad& load = aPlan.m_loads[first.m_route->m_service];
    Started started;
    if (const auto node = startedByJob.extract(job)) {
      started = node.mapped();
    }
    load.m_startedWork += started.m_work;
    const bool waits = ready > started.m_tasks;
    if (!waits ||
        (!aPlan.m_atCap.empty() && aPlan.m_atCap.contains(job->m_workspace))) {
      continue;
    }
    WaitingWork& waiting = load.m_waiting[first.m_route->m_priority];
    std::int64_t& sum = job->m_isBeyondShare ? waiting.m_beyondShare
                        : first.m_isLate     ? waiting.m_late
                                             : waiting.m_onTime;
    const std::int64_t work =
      WaitingWorkOf(*job, first.m_occurrence, m_durations);
    sum += std::max<std::int64_t>(0, work - started.m_work);
  }
}

} // namespace bamboostile::placement
