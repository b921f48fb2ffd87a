#include "demand.h"

#include "bamboostile/jobs/crash_loop.h"

#include <algorithm>

namespace bamboostile::placement {

namespace {

/** Objectives since its acceptance after which a job is taken for late: with
 * the stretch of its chain it is due after one and a half; */
constexpr std::int64_t kLateAfterObjectives = 2;
/** and for given up by its caller. */
constexpr std::int64_t kGivenUpAfterObjectives = 5;
/** Of the CPU of all tasks of the steps at work: they end one by one, so less
 * than that is in use at any moment. */
constexpr std::int64_t kInUsePercent = 85;

/** CPU of a step's tasks that are not done. */
std::int64_t
RemainingCpu(const jobs::StepSpec& aStep, const jobs::StepRun& aRun)
{
  const std::int64_t left =
    static_cast<std::int64_t>(aRun.m_tasks.size()) - aRun.m_done;
  return left * aStep.CountedCpu();
}

} // namespace

// A step waits for those before it however many instances there are: beyond
// what can be in use at once they would stand by, moved and paid for.
std::int64_t
Load::CpuToWorkOffIn(Millis aTime) const
{
  constexpr int kPercent = 100;
  return std::min(m_work / aTime.count(), m_atOnce * kInUsePercent / kPercent);
}

void
Demand::AddLongRunning(const jobs::StepSpec& aStep)
{
  m_longRunningCpu += std::int64_t{ aStep.m_count } * aStep.CountedCpu();
  const std::size_t least =
    aStep.m_maxPerWorker == 0
      ? 1
      : (aStep.m_count + aStep.m_maxPerWorker - 1) / aStep.m_maxPerWorker;
  m_spread = std::max(m_spread, least);
}

// However old their job is: until a trial tells which of them crashes its
// workers, they hold up the pool's sound work.
void
Demand::AddTrials(const jobs::Job& aJob)
{
  for (const auto& [number, occurrence] : aJob.m_occurrences) {
    for (std::size_t s = 0; s < occurrence.m_steps.size(); ++s) {
      const jobs::StepRun& run = occurrence.m_steps[s];
      for (std::uint32_t i = 0; i < run.m_tasks.size(); ++i) {
        const auto losses = jobs::LossesOf(aJob.m_spec.m_steps[s], run, i);
        const bool isAlone =
          jobs::IsSuspect(losses) && !jobs::MayBeTriedTogether(losses);
        const bool isOver = run.m_tasks[i].m_phase == jobs::TaskPhase::kDone;
        m_trials += isAlone && !isOver ? 1 : 0;
      }
    }
  }
}

// The next step of a job counts as if its turn had come where it is the wider
// one: an instance that is ordered now arrives by then.
void
Demand::Add(const jobs::Job& aJob,
            const jobs::Occurrence& aOccurrence,
            const Durations& aDurations,
            Load& aLoad)
{
  std::int64_t now = 0;
  std::int64_t next = 0;
  for (std::size_t s = 0; s < aOccurrence.m_steps.size(); ++s) {
    const jobs::StepSpec& step = aJob.m_spec.m_steps[s];
    if (step.m_longRunning) {
      AddLongRunning(step);
      continue;
    }
    const std::int64_t cpu = RemainingCpu(step, aOccurrence.m_steps[s]);
    aLoad.m_work += cpu * aDurations.Estimate(step).count();
    if (jobs::Book::IsTurn(aOccurrence, step)) {
      now += cpu;
    } else {
      next = std::max(next, cpu);
    }
  }
  aLoad.m_atOnce += std::max(now, next);
}

void
Demand::Add(const jobs::Job& aJob,
            const fleet::QueueRoute& aRoute,
            const Durations& aDurations,
            WallTime aWall)
{
  const std::int64_t age = aWall.Get() - aJob.m_acceptedAt.Get();
  const std::int64_t objective = aRoute.m_objective.count();
  Load givenUp;
  Load* load = &givenUp;
  if (age <= kLateAfterObjectives * objective) {
    load = &m_fresh;
  } else if (age <= kGivenUpAfterObjectives * objective) {
    load = &m_late;
  }
  // Long-running steps count however old their job is.
  for (const auto& [number, occurrence] : aJob.m_occurrences) {
    Add(aJob, occurrence, aDurations, *load);
  }
}

} // namespace bamboostile::placement
