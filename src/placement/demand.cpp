#include "demand.h"

#include "bamboostile/jobs/crash_loop.h"

#include <algorithm>

namespace bamboostile::placement {

namespace {

/** Age, in multiples of its objective, after which a job counts as late. With
 * the stretch of its chain it is due after one and a half. */
constexpr std::int64_t kLateAfterObjectives = 2;
/** Age, in the same unit, after which its caller is assumed to have given up.
 */
constexpr std::int64_t kAbandonedAfterObjectives = 5;
/** Percentage of the CPU of all tasks of the active steps that is in use at any
 * moment: the tasks end one by one. */
constexpr std::int64_t kInUsePercent = 85;

/** CPU of a step's unfinished tasks, in thousandths of a core. */
std::int64_t
RemainingCpu(const jobs::StepSpec& aStep, const jobs::StepRun& aRun)
{
  const std::int64_t remaining =
    static_cast<std::int64_t>(aRun.m_tasks.size()) - aRun.m_done;
  return remaining * aStep.ReservedCpu();
}

} // namespace

// A step waits for the steps it depends on, however many instances there are:
// instances beyond the concurrent use would be moved and paid for, but idle.
std::int64_t
Load::CpuToFinishIn(Millis aTime) const
{
  constexpr int kPercent = 100;
  return std::min(m_work / aTime.count(),
                  m_maxConcurrentCpu * kInUsePercent / kPercent);
}

void
Demand::AddLongRunning(const jobs::StepSpec& aStep)
{
  m_longRunningCpu += std::int64_t{ aStep.m_count } * aStep.ReservedCpu();
  const std::size_t minWorkers =
    aStep.m_maxPerWorker == 0
      ? 1
      : (aStep.m_count + aStep.m_maxPerWorker - 1) / aStep.m_maxPerWorker;
  m_minWorkers = std::max(m_minWorkers, minWorkers);
}

void
Demand::AddArrival(const jobs::Job& aJob, const std::vector<Millis>& aEstimates)
{
  if (aJob.m_spec.m_repeatCount != 0) {
    return;
  }
  for (std::size_t s = 0; s < aJob.m_spec.m_steps.size(); ++s) {
    const jobs::StepSpec& step = aJob.m_spec.m_steps[s];
    if (!step.m_longRunning) {
      m_arrivedWork += std::int64_t{ step.m_count } * step.ReservedCpu() *
                       aEstimates[s].count();
    }
  }
}

// Counts suspects regardless of their job's age: until an isolated run shows
// which of them crashes its workers, they delay the pool's healthy work.
void
Demand::AddIsolatedRuns(const jobs::Job& aJob)
{
  for (const auto& [number, occurrence] : aJob.m_occurrences) {
    for (std::size_t s = 0; s < occurrence.m_steps.size(); ++s) {
      const jobs::StepRun& run = occurrence.m_steps[s];
      for (std::uint32_t i = 0; i < run.m_tasks.size(); ++i) {
        const auto losses = jobs::LossesOf(aJob.m_spec.m_steps[s], run, i);
        const bool needsIsolation =
          jobs::IsSuspect(losses) && !jobs::CanBeIsolatedTogether(losses);
        const bool isDone = run.m_tasks[i].m_phase == jobs::TaskPhase::kDone;
        m_isolatedRuns += needsIsolation && !isDone ? 1 : 0;
      }
    }
  }
}

// The next step of a job counts as if it were active already, if it is the
// wider one: an instance that is ordered now arrives by the time the step
// begins.
void
Demand::Add(const jobs::Job& aJob,
            const jobs::Occurrence& aOccurrence,
            const std::vector<Millis>& aEstimates,
            Load& aLoad)
{
  std::int64_t activeCpu = 0;
  std::int64_t nextCpu = 0;
  for (std::size_t s = 0; s < aOccurrence.m_steps.size(); ++s) {
    const jobs::StepSpec& step = aJob.m_spec.m_steps[s];
    if (step.m_longRunning) {
      AddLongRunning(step);
      continue;
    }
    const std::int64_t cpu = RemainingCpu(step, aOccurrence.m_steps[s]);
    if (cpu == 0) {
      continue;
    }
    aLoad.m_work += cpu * aEstimates[s].count();
    if (jobs::JobTable::AreDependenciesDone(aOccurrence, step)) {
      activeCpu += cpu;
    } else {
      nextCpu = std::max(nextCpu, cpu);
    }
  }
  aLoad.m_maxConcurrentCpu += std::max(activeCpu, nextCpu);
}

void
Demand::Add(const jobs::Job& aJob,
            const fleet::QueueRoute& aRoute,
            const std::vector<Millis>& aEstimates,
            WallTime aWall)
{
  const std::int64_t age = aWall.Get() - aJob.m_acceptedAt.Get();
  const std::int64_t objective = aRoute.m_objective.count();
  Load abandoned;
  Load* load = &abandoned;
  if (age <= kLateAfterObjectives * objective) {
    load = &m_onTime;
  } else if (age <= kAbandonedAfterObjectives * objective) {
    load = &m_late;
  }
  // Long-running steps count regardless of their job's age.
  for (const auto& [number, occurrence] : aJob.m_occurrences) {
    Add(aJob, occurrence, aEstimates, *load);
  }
}

} // namespace bamboostile::placement
