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
  const std::int64_t remaining = std::int64_t{ aRun.m_count } - aRun.m_done;
  return remaining * aStep.ReservedCpu();
}

/** CPU of a worker that a task takes from others, if its memory counts in
 * proportion to CPU. */
std::int64_t
DominantCpu(const jobs::StepSpec& aStep, const jobs::Resources& aWorker)
{
  const std::int64_t byMemory =
    aWorker.m_memoryMb == 0 ? 0
                            : std::int64_t{ aStep.m_resources.m_memoryMb } *
                                aWorker.m_cpuMillis / aWorker.m_memoryMb;
  return std::max<std::int64_t>(aStep.ReservedCpu(), byMemory);
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

std::int64_t
Demand::LongRunningCpu(const jobs::Resources& aWorker) const
{
  std::int64_t cpu = 0;
  for (const TaskGroup& tasks : m_longRunningSteps) {
    cpu += std::int64_t{ tasks.m_count } * DominantCpu(*tasks.m_step, aWorker);
  }
  return cpu;
}

// Packs the largest tasks first, each on the first worker that has room. A task
// that fits on no worker of this size gets one of its own, as workers may
// differ in size.
std::size_t
Demand::MinWorkers(std::vector<TaskGroup> aTasks,
                   const jobs::Resources& aWorker)
{
  const auto needsMore = [&](const TaskGroup& aLeft, const TaskGroup& aRight) {
    return DominantCpu(*aLeft.m_step, aWorker) >
           DominantCpu(*aRight.m_step, aWorker);
  };
  std::stable_sort(aTasks.begin(), aTasks.end(), needsMore);
  std::vector<ReservedCapacity> workers;
  for (const TaskGroup& tasks : aTasks) {
    const jobs::StepSpec& step = *tasks.m_step;
    const std::uint32_t limit =
      step.m_maxPerWorker == 0 ? tasks.m_count : step.m_maxPerWorker;
    std::uint32_t remaining = tasks.m_count;
    const auto place = [&](ReservedCapacity& aUse) {
      std::uint32_t placed = 0;
      while (placed < std::min(limit, remaining) &&
             aUse.LeavesCapacityFor(aWorker, step)) {
        aUse.Add(step);
        ++placed;
      }
      remaining -= placed;
      return placed;
    };
    std::for_each(workers.begin(), workers.end(), place);
    while (remaining > 0) {
      if (place(workers.emplace_back()) == 0) {
        --remaining;
      }
    }
  }
  return workers.size();
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
      m_longRunningSteps.push_back({ &step, step.m_count });
      const std::vector<jobs::Task>& tasks = aOccurrence.m_steps[s].m_tasks;
      const bool hasStarted =
        std::any_of(tasks.begin(), tasks.end(), [](const jobs::Task& aTask) {
          return aTask.m_lastRun > RunNumber{};
        });
      if (hasStarted) {
        m_startedSteps.push_back({ &step, step.m_count });
      }
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
