#include "run_lookup.h"

#include "bamboostile/jobs/crash_loop.h"
#include "bamboostile/placement/planner.h"

#include <algorithm>
#include <tuple>

namespace bamboostile::placement {

namespace {

/** At most one worker of a pool per this many has isolated runs of one kind,
 * shared or not, at a time: they may crash it, and the other workers go on with
 * healthy work. */
constexpr std::size_t kIsolationDivisor = 2;
/** Time after the retry delay from which an isolated run may use a worker that
 * hosts long-running tasks or a gang; otherwise pools without other workers
 * would never run the suspect. Moving an instance into the pool takes less. */
constexpr Millis kFragileWorkerTimeout{ 3000 };
/** Time after the retry delay from which a long-running task may run in
 * isolation on an instance on which it was lost before. */
constexpr Millis kLongRunningSameInstanceTimeout{ 1000 };
/** The same time for all other tasks. The other instances may be occupied
 * indefinitely. */
constexpr Millis kSameInstanceTimeout{ 5000 };
/** Maximum time from the end of a long-running task's last run to the moment
 * from which its next one no longer waits for a quiet period. A loss is noticed
 * within 5 s, and a start takes half a second, so that the task is without a
 * run for less than 9 s. */
constexpr Millis kQuietPeriodTimeout{ 3000 };
/** Number of losses from which that time doubles with each loss. A task that
 * crashes its workers where its losses cannot be told apart from others takes
 * fewer and fewer of them. */
constexpr std::size_t kMinLossesForBackoff = 5;
constexpr std::size_t kMaxBackoffDoublings = 4;
/** The same time for all other tasks, and its maximum. */
constexpr Millis kMaxQuietPeriodTimeout =
  kQuietPeriodTimeout * (1 << kMaxBackoffDoublings);

Millis
QuietPeriodTimeout(const jobs::StepSpec& aStep, std::size_t aLosses)
{
  if (!aStep.m_longRunning) {
    return kMaxQuietPeriodTimeout;
  }
  const std::size_t doublings =
    aLosses < kMinLossesForBackoff ? 0 : aLosses - kMinLossesForBackoff + 1;
  return kQuietPeriodTimeout * (1 << std::min(doublings, kMaxBackoffDoublings));
}

} // namespace

bool
Planner::Target::AcceptsIsolatedRunOf(const jobs::Job& aJob,
                                      bool aIsShared) const
{
  if (m_isolatedJob == nullptr) {
    return m_unconfirmed == 0;
  }
  return aIsShared ? m_isShared : !m_isShared && m_isolatedJob == &aJob;
}

void
Planner::Target::AddIsolatedRunOf(const jobs::Job& aJob,
                                  const jobs::TaskRef& aTask,
                                  bool aIsShared)
{
  m_isShared = aIsShared && (m_isolatedJob == nullptr || m_isShared);
  m_isolatedJob = &aJob;
  m_isolatedTask = aTask;
}

void
Planner::FindIsolatedRuns(const Worker& aWorker,
                          const std::vector<jobs::TaskRef>& aPlaced,
                          const jobs::JobTable& aBook,
                          Target& aTarget) const
{
  for (const jobs::TaskRef& ref : aPlaced) {
    const jobs::Task& task = *aBook.FindTask(ref);
    const auto losses = aBook.LossesOf(ref);
    const bool isConfirmed =
      Contains(aWorker.m_lastReport.m_active, ref, task.m_lastRun);
    aTarget.m_unconfirmed += isConfirmed ? 0 : 1;
    const bool isOnTrial = isConfirmed ? jobs::IsIsolatedForWholeRun(losses)
                                       : jobs::IsSuspect(losses);
    if (isOnTrial) {
      const jobs::Job& job = *aBook.Find(ref.m_job);
      const bool isShared =
        jobs::CanBeIsolatedTogether(losses) && !StepOf(job, ref).m_gang;
      aTarget.AddIsolatedRunOf(job, ref, isShared);
    }
  }
}

// An isolated run that crashes its worker should stop little other work and be
// conclusive, so nothing else is started there until a report confirms the run.
// An instance that crashes under every task is always the emptiest. Therefore
// an isolated run prefers instances on which the task has not been lost yet, as
// long as the pool has such instances that may run it.
Planner::Target*
Planner::ChooseForIsolatedRun(const jobs::Job& aJob,
                              const jobs::StepSpec& aStep,
                              const std::vector<jobs::WorkerLoss>& aLosses,
                              const TasksPerWorker& aTasksPerWorker,
                              Millis aTimeSinceDelay,
                              bool aIsShared,
                              Pool& aPool) const
{
  const auto wasLostOnInstance = [&](const Target& aTarget) {
    return jobs::HasLossOn(aLosses, aTarget.m_worker->m_lastReport.m_instance);
  };
  const auto isFragile = [](const Target& aTarget) {
    return aTarget.m_hostsLongRunning || aTarget.m_hostsGang;
  };
  const auto rank = [&](const Target& aTarget) {
    return std::make_tuple(!aTarget.m_isShared,
                           wasLostOnInstance(aTarget),
                           isFragile(aTarget),
                           aTarget.m_runs);
  };
  const bool allowsFragile =
    aStep.m_longRunning || aTimeSinceDelay >= kFragileWorkerTimeout;
  const bool allowsSameInstance =
    aTimeSinceDelay >= (aStep.m_longRunning ? kLongRunningSameInstanceTimeout
                                            : kSameInstanceTimeout) ||
    std::none_of(aPool.begin(), aPool.end(), [&](const Target& aTarget) {
      return !wasLostOnInstance(aTarget) &&
             IsEligible(aStep, aTasksPerWorker, aTarget);
    });
  const bool mayIsolateAnother =
    !aIsShared || CountIsolatedWorkers(aPool, true) < MaxIsolatedWorkers(aPool);
  Target* best = nullptr;
  for (Target& target : aPool) {
    const bool isExcluded =
      target.m_isolatedJob == nullptr &&
      (!mayIsolateAnother || (isFragile(target) && !allowsFragile) ||
       (wasLostOnInstance(target) && !allowsSameInstance));
    if (isExcluded || target.m_mayBeOrdered ||
        !target.AcceptsIsolatedRunOf(aJob, aIsShared) || !target.Fits(aStep) ||
        !IsEligible(aStep, aTasksPerWorker, target)) {
      continue;
    }
    if (best == nullptr || rank(target) < rank(*best)) {
      best = &target;
    }
  }
  return best;
}

bool
Planner::IsEligible(const jobs::StepSpec& aStep,
                    const TasksPerWorker& aTasksPerWorker,
                    const Target& aTarget)
{
  const WorkerReport& report = aTarget.m_worker->m_lastReport;
  return IsAllowed(
           aStep, TasksOnWorker(report.m_worker, aTasksPerWorker), aTarget) &&
         ReservedCapacity{}.LeavesCapacityFor(report.m_capacity, aStep);
}

std::size_t
Planner::CountIsolatedWorkers(const Pool& aPool, bool aIsShared)
{
  return static_cast<std::size_t>(
    std::count_if(aPool.begin(), aPool.end(), [&](const Target& aTarget) {
      return aTarget.m_isolatedJob != nullptr &&
             aTarget.m_isShared == aIsShared;
    }));
}

std::size_t
Planner::MaxIsolatedWorkers(const Pool& aPool)
{
  return std::max<std::size_t>(1, aPool.size() / kIsolationDivisor);
}

std::optional<WaitingTask>
Planner::FindIsolationLimit(const jobs::Job& aJob,
                            bool aIsShared,
                            const Pool& aPool)
{
  if (aIsShared) {
    return std::nullopt;
  }
  WaitingTask waiting;
  const auto other =
    std::find_if(aPool.begin(), aPool.end(), [&](const Target& aTarget) {
      return aTarget.m_isolatedJob == &aJob && !aTarget.m_isShared;
    });
  if (other != aPool.end()) {
    waiting.m_reason = WaitReason::kOtherRunOfJob;
    waiting.m_blockedBy = other->m_isolatedTask;
    return waiting;
  }
  if (CountIsolatedWorkers(aPool, false) >= MaxIsolatedWorkers(aPool)) {
    waiting.m_reason = WaitReason::kIsolationLimit;
    return waiting;
  }
  return std::nullopt;
}

// If the wall clock was set back, the delay counts as ended, so that the task
// is not held up for long.
std::optional<Millis>
Planner::TimeSinceRetryDelay(const jobs::TaskRef& aTask,
                             const std::vector<jobs::WorkerLoss>& aLosses,
                             WallTime aWall)
{
  const Millis sinceLoss{ aWall.Get() - aLosses.back().m_at.Get() };
  const Millis delay = ToMillis(jobs::RetryDelay(aTask, aLosses));
  if (sinceLoss < Millis::zero()) {
    return Millis::zero();
  }
  return sinceLoss < delay ? std::nullopt : std::optional{ sinceLoss - delay };
}

// The loss of an isolated run says most in a quiet period. But in a small pool,
// or a bad hour, there may be none for as long as workers go on being lost, and
// their losses must not keep a healthy task away for good.
bool
Planner::MustAwaitQuietPeriod(const jobs::StepSpec& aStep,
                              const std::vector<jobs::WorkerLoss>& aLosses,
                              WallTime aWall)
{
  const Millis sinceLoss{ aWall.Get() - aLosses.back().m_at.Get() };
  return jobs::NeedsQuietPeriod(aLosses) && sinceLoss >= Millis::zero() &&
         sinceLoss < QuietPeriodTimeout(aStep, aLosses.size());
}

std::vector<Planner::SuspectTask>
Planner::FindSuspects(const Candidate& aCandidate)
{
  std::vector<SuspectTask> suspects;
  const jobs::Job& job = *aCandidate.m_job;
  const auto found = job.m_occurrences.find(aCandidate.m_occurrence);
  if (found == job.m_occurrences.end()) {
    return suspects;
  }
  const jobs::StepSpec& step = job.m_spec.m_steps[aCandidate.m_step];
  const jobs::StepRun& run = found->second.m_steps[aCandidate.m_step];
  for (std::uint32_t i = 0; i < run.m_tasks.size(); ++i) {
    auto losses = jobs::LossesOf(step, run, i);
    if (run.m_tasks[i].m_phase == jobs::TaskPhase::kWaiting &&
        jobs::IsSuspect(losses)) {
      suspects.push_back({ i, std::move(losses) });
    }
  }
  std::stable_sort(suspects.begin(),
                   suspects.end(),
                   [](const SuspectTask& aLeft, const SuspectTask& aRight) {
                     return aLeft.m_losses.size() < aRight.m_losses.size();
                   });
  return suspects;
}

// A task that merely shared a worker with a crashing one passes its isolated
// run at once, whereas a task that crashes its workers occupies each for
// seconds. Tasks with the fewest losses go first; otherwise crashing tasks
// would be retried before them again and again.
std::vector<Planner::Candidate>
Planner::OrderSuspects(std::vector<Candidate>::const_iterator aFrom,
                       std::vector<Candidate>::const_iterator aTo,
                       const jobs::JobTable& aBook)
{
  std::multimap<std::size_t, Candidate> ordered;
  for (auto it = aFrom; it != aTo; ++it) {
    if (!aBook.HasLosses(it->m_job->m_id)) {
      continue;
    }
    const auto suspects = FindSuspects(*it);
    if (!suspects.empty()) {
      ordered.emplace(suspects.front().m_losses.size(), *it);
    }
  }
  std::vector<Candidate> candidates;
  for (const auto& [losses, candidate] : ordered) {
    candidates.push_back(candidate);
  }
  return candidates;
}

void
Planner::PlaceSuspects(const Candidate& aCandidate,
                       bool aIsQuietPeriod,
                       WallTime aWall,
                       Pool& aPool,
                       Plan& aPlan) const
{
  const jobs::Job& job = *aCandidate.m_job;
  const jobs::StepSpec& step = job.m_spec.m_steps[aCandidate.m_step];
  const auto found = job.m_occurrences.find(aCandidate.m_occurrence);
  if (found == job.m_occurrences.end()) {
    return;
  }
  const jobs::StepRun& run = found->second.m_steps[aCandidate.m_step];
  TasksPerWorker tasksPerWorker = CountTasksPerWorker(run.m_tasks);
  const auto addWaiting = [&](const SuspectTask& aSuspect,
                              WaitingTask aWaiting) {
    aWaiting.m_isLongRunning = step.m_longRunning;
    aWaiting.m_sinceLoss =
      Millis{ aWall.Get() - aSuspect.m_losses.back().m_at.Get() };
    aPlan.m_waiting.insert_or_assign(aCandidate.TaskAt(aSuspect.m_index),
                                     std::move(aWaiting));
  };
  for (const SuspectTask& suspect : FindSuspects(aCandidate)) {
    const auto& [index, losses] = suspect;
    const jobs::TaskRef ref = aCandidate.TaskAt(index);
    if (!aIsQuietPeriod && MustAwaitQuietPeriod(step, losses, aWall)) {
      addWaiting(suspect, { WaitReason::kQuietPeriod });
      continue;
    }
    const auto timeSinceDelay = TimeSinceRetryDelay(ref, losses, aWall);
    if (!timeSinceDelay) {
      addWaiting(suspect, { WaitReason::kRetryDelay });
      continue;
    }
    const bool isShared = jobs::CanBeIsolatedTogether(losses) && !step.m_gang;
    if (const auto limit = FindIsolationLimit(job, isShared, aPool)) {
      addWaiting(suspect, *limit);
      continue;
    }
    if (!aCandidate.CheckCap(aPlan)) {
      addWaiting(suspect, { WaitReason::kWorkspaceCap });
      return;
    }
    if (step.m_gang) {
      PlaceGang(aCandidate, timeSinceDelay, aPool, aPlan);
      return;
    }
    Target* target = ChooseForIsolatedRun(
      job, step, losses, tasksPerWorker, *timeSinceDelay, isShared, aPool);
    if (target == nullptr) {
      addWaiting(suspect, { WaitReason::kNoWorkerForIsolatedRun });
      return;
    }
    const WorkerIncarnation& worker = target->m_worker->m_lastReport.m_worker;
    target->Allocate(step);
    aCandidate.ChargeStart();
    target->AddIsolatedRunOf(job, ref, isShared);
    ++tasksPerWorker[worker];
    aPlan.m_changes.emplace_back(jobs::StartRun{
      ref, RunNumber{ run.m_tasks[index].m_lastRun.Get() + 1 }, worker });
    if (!isShared) {
      return;
    }
  }
}

} // namespace bamboostile::placement
