#include "isolation_quota.h"
#include "run_lookup.h"
#include "target_pool.h"

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
/** Time after the retry delay from which a long-running task may join isolated
 * runs of others. They occupy their workers for up to some seconds, and tasks
 * that have to wait for a second round of them return too late. */
constexpr Millis kJoinTimeout{ 1000 };
/** Maximum number of unconfirmed isolated runs on a worker. The loss of the
 * worker makes their tasks suspect to the same degree. */
constexpr std::uint32_t kMaxUnconfirmedTogether = 2;
/** Maximum time from a loss of a long-running task to the moment from which its
 * next run no longer waits for a quiet period. A loss is noticed within 5 s,
 * and a start takes half a second, so that the task is without a run for less
 * than 9 s. */
constexpr Millis kQuietPeriodTimeout{ 3000 };
/** The same bound, counted from the end of the task's last run that a report
 * showed. It also covers starts that were lost before they ran. */
constexpr Millis kMaxWaitWithoutRun{ 8000 };
/** Number of losses from which that time doubles with each loss. A task that
 * crashes its workers where its losses cannot be told apart from others takes
 * fewer and fewer of them. */
constexpr std::size_t kMinLossesForBackoff = 5;
constexpr std::size_t kMaxBackoffDoublings = 4;
/** The same time for all other tasks, and its maximum. */
constexpr Millis kMaxQuietPeriodTimeout =
  kQuietPeriodTimeout * (1 << kMaxBackoffDoublings);
/** Time without a run from which a long-running task without a proof no longer
 * waits for its turn among the isolated runs of a pool. It may have too many
 * losses to join others, and the runs before it may take seconds each. */
constexpr Millis kMaxWaitForTurn{ 3500 };

Millis
QuietPeriodTimeout(bool aIsLongRunning, std::size_t aLosses)
{
  if (!aIsLongRunning) {
    return kMaxQuietPeriodTimeout;
  }
  const std::size_t doublings =
    aLosses < kMinLossesForBackoff ? 0 : aLosses - kMinLossesForBackoff + 1;
  return kQuietPeriodTimeout * (1 << std::min(doublings, kMaxBackoffDoublings));
}

} // namespace

// Starts that no report showed may never have run, so their losses do not
// begin the time anew.
Millis
Planner::IsolatedRun::TimeWithoutRun(WallTime aWall) const
{
  const WallTime since = m_ranUntil.value_or(m_losses.front().m_at);
  return *TimeSince(std::min(since, m_losses.back().m_at), aWall);
}

bool
Planner::IsolatedRun::MayShare() const
{
  return jobs::CanBeIsolatedTogether(m_losses) && !m_isGang;
}

// The loss of a shared worker proves nothing, so a task that one or two losses
// more may give up has its isolated run for itself.
bool
Planner::IsolatedRun::MayJoin() const
{
  return m_isLongRunning && !m_isGang && !jobs::HasProof(m_losses) &&
         jobs::HasFewLosses(m_losses);
}

bool
Planner::Target::MayBeJoinedBy(const IsolatedRun& aRun) const
{
  return m_isolatedTask && m_isJoinable && aRun.MayJoin() &&
         m_unconfirmed < kMaxUnconfirmedTogether;
}

// Members of a gang crash their workers together, so they may share one.
bool
Planner::Target::AcceptsIsolatedRunOf(const IsolatedRun& aRun) const
{
  if (!m_isolatedTask) {
    return m_unconfirmed == 0;
  }
  if (m_awaitsRestart && !aRun.m_isLongRunning) {
    return false;
  }
  const bool isSameStep =
    m_isolatedTask->m_job == aRun.m_task.m_job &&
    m_isolatedTask->m_occurrence == aRun.m_task.m_occurrence &&
    m_isolatedTask->m_step == aRun.m_task.m_step;
  return aRun.MayShare() ? m_isShared
                         : !m_isShared && aRun.m_isGang && isSameStep;
}

void
Planner::Target::AddIsolatedRun(const IsolatedRun& aRun)
{
  m_isShared = aRun.MayShare() && (!m_isolatedTask || m_isShared);
  m_isolatedTask = aRun.m_task;
  m_isJoinable = m_isJoinable && aRun.MayJoin();
  m_hasProof = m_hasProof || jobs::HasProof(aRun.m_losses);
}

void
Planner::FindIsolatedRuns(const Worker& aWorker,
                          const std::vector<jobs::TaskRef>& aPlaced,
                          const jobs::JobTable& aBook,
                          Target& aTarget) const
{
  for (const jobs::TaskRef& ref : aPlaced) {
    const jobs::Task& task = *aBook.FindTask(ref);
    auto losses = aBook.LossesOf(ref);
    const bool isConfirmed =
      Contains(aWorker.m_lastReport.m_active, ref, task.m_lastRun);
    aTarget.m_unconfirmed += isConfirmed ? 0 : 1;
    const bool isOnTrial = isConfirmed ? jobs::IsIsolatedForWholeRun(losses)
                                       : jobs::IsSuspect(losses);
    if (isOnTrial) {
      const jobs::StepSpec& step = StepOf(*aBook.Find(ref.m_job), ref);
      aTarget.AddIsolatedRun(
        { ref, std::move(losses), step.m_gang, step.m_longRunning });
    }
  }
}

// An isolated run that crashes its worker should stop little other work and be
// conclusive, so nothing else is started there until a report confirms the run.
// An instance that crashes under every task is always the emptiest. Therefore
// an isolated run prefers instances on which the task has not been lost yet, as
// long as the pool has such instances that may run it.
Planner::Target*
Planner::ChooseForIsolatedRun(const IsolatedRun& aRun,
                              const jobs::StepSpec& aStep,
                              const TasksPerWorker& aTasksPerWorker,
                              Millis aTimeSinceDelay,
                              Pool& aPool) const
{
  const auto wasLostOnInstance = [&](const Target& aTarget) {
    return jobs::HasLossOn(aRun.m_losses,
                           aTarget.m_worker->m_lastReport.m_instance);
  };
  const auto isFragile = [](const Target& aTarget) {
    return aTarget.m_hostsLongRunning || aTarget.m_hostsGang;
  };
  const auto rank = [&](const Target& aTarget) {
    return std::make_tuple(!aTarget.m_isShared,
                           wasLostOnInstance(aTarget),
                           aStep.m_longRunning &&
                             aTarget.m_lossRisk == LossRisk::kReportOverdue,
                           isFragile(aTarget),
                           aTarget.m_runs);
  };
  const bool allowsFragile =
    aStep.m_longRunning || aTimeSinceDelay >= kFragileWorkerTimeout;
  const bool allowsSameInstance =
    aTimeSinceDelay >= (aStep.m_longRunning ? kLongRunningSameInstanceTimeout
                                            : kSameInstanceTimeout) ||
    std::none_of(aPool.Targets().begin(),
                 aPool.Targets().end(),
                 [&](const Target& aTarget) {
                   return !wasLostOnInstance(aTarget) &&
                          IsEligible(aStep, aTasksPerWorker, aTarget);
                 });
  const bool mayIsolateAnother =
    !aRun.MayShare() ||
    CountIsolatedWorkers(aPool, true) < MaxIsolatedWorkers(aPool);
  Target* best = nullptr;
  for (Target& target : aPool.Targets()) {
    const bool isExcluded =
      !target.m_isolatedTask &&
      (!mayIsolateAnother ||
       (target.m_isReservedForRestart && !aStep.m_longRunning) ||
       (isFragile(target) && !allowsFragile) ||
       (wasLostOnInstance(target) && !allowsSameInstance));
    if (isExcluded || target.m_mayBeOrdered ||
        !target.AcceptsIsolatedRunOf(aRun) || !target.Fits(aStep) ||
        !IsEligible(aStep, aTasksPerWorker, target)) {
      continue;
    }
    if (best == nullptr || rank(target) < rank(*best)) {
      best = &target;
    }
  }
  return best;
}

Planner::Target*
Planner::ChooseToJoin(const IsolatedRun& aRun,
                      const jobs::StepSpec& aStep,
                      const TasksPerWorker& aTasksPerWorker,
                      Pool& aPool) const
{
  const auto rank = [](const Target& aTarget) {
    return std::make_pair(aTarget.m_unconfirmed, aTarget.m_runs);
  };
  Target* best = nullptr;
  for (Target& target : aPool.Targets()) {
    const bool isFit = target.MayBeJoinedBy(aRun) && !target.m_mayBeOrdered &&
                       target.Fits(aStep) &&
                       IsEligible(aStep, aTasksPerWorker, target);
    if (isFit && (best == nullptr || rank(target) < rank(*best))) {
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
  return static_cast<std::size_t>(std::count_if(
    aPool.Targets().begin(), aPool.Targets().end(), [&](const Target& aTarget) {
      return aTarget.m_isolatedTask && aTarget.m_isShared == aIsShared;
    }));
}

std::size_t
Planner::MaxIsolatedWorkers(const Pool& aPool)
{
  return std::max<std::size_t>(1, aPool.Targets().size() / kIsolationDivisor);
}

// Tasks with a proof run one at a time, as the next proof gives the job up: a
// job whose every task crashes its worker takes one more worker then, not one
// for each task.
std::optional<WaitingTask>
Planner::FindIsolationLimit(const IsolatedRun& aRun,
                            const IsolationQuota& aQuota)
{
  if (aRun.MayShare()) {
    return std::nullopt;
  }
  const JobId& job = aRun.m_task.m_job;
  const jobs::TaskRef* other = aQuota.FindRunWithProof(job);
  if (other != nullptr && jobs::HasProof(aRun.m_losses)) {
    WaitingTask waiting{ WaitReason::kOtherRunOfJob };
    waiting.m_blockedBy = *other;
    return waiting;
  }
  if (!aQuota.MayStart(job, aRun.m_isLongRunning)) {
    return WaitingTask{ WaitReason::kIsolationLimit };
  }
  return std::nullopt;
}

// If the wall clock was set back, the delay counts as ended, so that the task
// is not held up for long.
std::optional<Millis>
Planner::TimeSinceRetryDelay(const IsolatedRun& aRun, WallTime aWall)
{
  const Millis sinceLoss{ aWall.Get() - aRun.m_losses.back().m_at.Get() };
  const Millis delay = ToMillis(jobs::RetryDelay(aRun.m_task, aRun.m_losses));
  if (sinceLoss < Millis::zero()) {
    return Millis::zero();
  }
  const Millis waited =
    aRun.m_isLongRunning ? aRun.TimeWithoutRun(aWall) : sinceLoss;
  return waited < delay ? std::nullopt : std::optional{ waited - delay };
}

// The loss of an isolated run says most in a quiet period. But in a small pool,
// or a bad hour, there may be none for as long as workers go on being lost, and
// their losses must not keep a healthy task away for good. Without a bound on
// the time without a run, each start that is lost before it runs would add
// another wait. While a large part of the service is being lost, the next run
// would most likely be lost as well, and a task that is lost often enough looks
// like one that crashes its workers.
bool
Planner::MustAwaitQuietPeriod(const IsolatedRun& aRun,
                              LossActivity aActivity,
                              WallTime aWall)
{
  const std::vector<jobs::WorkerLoss>& losses = aRun.m_losses;
  const Millis sinceLoss{ aWall.Get() - losses.back().m_at.Get() };
  if (aActivity == LossActivity::kQuiet || !jobs::NeedsQuietPeriod(losses) ||
      sinceLoss < Millis::zero()) {
    return false;
  }
  if (aActivity == LossActivity::kMass) {
    return sinceLoss < kMaxQuietPeriodTimeout;
  }
  const bool isOverdue = aRun.m_isLongRunning && aRun.m_ranUntil &&
                         losses.size() < kMinLossesForBackoff &&
                         aRun.TimeWithoutRun(aWall) >= kMaxWaitWithoutRun;
  return !isOverdue &&
         sinceLoss < QuietPeriodTimeout(aRun.m_isLongRunning, losses.size());
}

std::vector<Planner::IsolatedRun>
Planner::FindSuspects(const Candidate& aCandidate)
{
  std::vector<IsolatedRun> suspects;
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
      suspects.push_back({ aCandidate.TaskAt(i),
                           std::move(losses),
                           step.m_gang,
                           step.m_longRunning,
                           run.m_tasks[i].m_ranUntil });
    }
  }
  std::stable_sort(suspects.begin(),
                   suspects.end(),
                   [](const IsolatedRun& aLeft, const IsolatedRun& aRight) {
                     return aLeft.m_losses.size() < aRight.m_losses.size();
                   });
  return suspects;
}

// A task that merely shared a worker with a crashing one passes its isolated
// run at once, whereas a task that crashes its workers occupies each for
// seconds. Tasks with the fewest losses go first; otherwise crashing tasks
// would be retried before them again and again.
std::vector<Planner::SuspectStep>
Planner::OrderSuspects(std::vector<Candidate>::const_iterator aFrom,
                       std::vector<Candidate>::const_iterator aTo,
                       const jobs::JobTable& aBook)
{
  std::vector<SuspectStep> steps;
  if (aBook.TasksWithLosses().empty()) {
    return steps;
  }
  for (auto it = aFrom; it != aTo; ++it) {
    if (!aBook.HasLosses(it->m_job->m_id)) {
      continue;
    }
    auto suspects = FindSuspects(*it);
    if (suspects.empty()) {
      continue;
    }
    const auto& tasks =
      it->m_job->m_occurrences.at(it->m_occurrence).m_steps[it->m_step].m_tasks;
    steps.push_back(
      { *it, std::move(suspects), 0, CountTasksPerWorker(tasks), {} });
  }
  std::stable_sort(steps.begin(),
                   steps.end(),
                   [](const SuspectStep& aLeft, const SuspectStep& aRight) {
                     return aLeft.m_suspects.front().m_losses.size() <
                            aRight.m_suspects.front().m_losses.size();
                   });
  return steps;
}

void
Planner::PlaceSuspects(
  std::vector<SuspectStep> aSteps,
  const jobs::JobTable& aBook,
  const std::function<LossActivity(const ServiceId&)>& aAssessLosses,
  WallTime aWall,
  Pools& aPools,
  Plan& aPlan) const
{
  std::map<ServiceId, IsolationQuota> quotas;
  for (SuspectStep& step : aSteps) {
    const ServiceId& service = step.m_candidate.m_route->m_service;
    IsolationQuota& quota =
      quotas.try_emplace(service, MakeQuota(aPools[service])).first->second;
    if (NeedsWorkerOfItsOwn(step)) {
      quota.AddWaiting(step.m_candidate.m_job->m_id);
    }
  }
  for (bool hasPlaced = true; hasPlaced;) {
    hasPlaced = false;
    for (SuspectStep& step : aSteps) {
      const ServiceId& service = step.m_candidate.m_route->m_service;
      hasPlaced = PlaceNextSuspect(step,
                                   aBook,
                                   aAssessLosses(service),
                                   aWall,
                                   quotas.at(service),
                                   aPools[service],
                                   aPlan) ||
                  hasPlaced;
    }
  }
}

bool
Planner::NeedsWorkerOfItsOwn(const SuspectStep& aStep)
{
  const Candidate& candidate = aStep.m_candidate;
  const bool isAtCap =
    candidate.m_account != nullptr &&
    !candidate.m_account->MayStart(ChargeOf(candidate.Step()));
  return !isAtCap &&
         std::any_of(aStep.m_suspects.begin(),
                     aStep.m_suspects.end(),
                     [](const IsolatedRun& aRun) { return !aRun.MayShare(); });
}

IsolationQuota
Planner::MakeQuota(const Pool& aPool)
{
  IsolationQuota quota{ MaxIsolatedWorkers(aPool) };
  for (const Target& target : aPool.Targets()) {
    if (target.m_isolatedTask && !target.m_isShared) {
      quota.AddRun(*target.m_isolatedTask, target.m_hasProof);
    }
  }
  return quota;
}

bool
Planner::PlaceNextSuspect(SuspectStep& aStep,
                          const jobs::JobTable& aBook,
                          LossActivity aActivity,
                          WallTime aWall,
                          IsolationQuota& aQuota,
                          Pool& aPool,
                          Plan& aPlan) const
{
  while (aStep.m_next < aStep.m_suspects.size()) {
    const IsolatedRun& run = aStep.m_suspects[aStep.m_next++];
    if (jobs::IsLikelyCrasher(run.m_losses)) {
      aPlan.m_changes.emplace_back(
        jobs::FailJob{ run.m_task.m_job,
                       jobs::DescribeCrashes(run.m_task, run.m_losses),
                       aWall });
      aStep.m_next = aStep.m_suspects.size();
      return false;
    }
    auto waiting =
      PlaceSuspect(aStep, run, aActivity, aWall, aQuota, aPool, aPlan);
    if (waiting) {
      waiting->m_isLongRunning = aStep.m_candidate.m_isLongRunning;
      waiting->m_sinceLoss =
        Millis{ aWall.Get() - run.m_losses.back().m_at.Get() };
      waiting->m_withoutRun = TimeSince(run.m_ranUntil, aWall);
      if (run.m_isLongRunning &&
          waiting->m_reason == WaitReason::kNoWorkerForIsolatedRun) {
        waiting->m_workers = aPool.CountWorkers(
          aStep.m_candidate.Step(), aStep.m_tasksPerWorker, aBook);
        const jobs::StepSpec& spec = aStep.m_candidate.Step();
        aStep.m_candidate.AddUnplaced(run.m_task.m_index,
                                      spec.m_gang ? spec.m_count : 1,
                                      aStep.m_tasksPerWorker,
                                      aPool,
                                      aPlan);
        ReserveForRestarts(
          aStep.m_candidate.Step(), 1, aStep.m_tasksPerWorker, aPool);
      }
      aPlan.m_waiting.insert_or_assign(run.m_task, std::move(*waiting));
    } else if (!run.MayShare()) {
      return true;
    }
  }
  return false;
}

std::optional<WaitingTask>
Planner::PlaceSuspect(SuspectStep& aStep,
                      const IsolatedRun& aRun,
                      LossActivity aActivity,
                      WallTime aWall,
                      IsolationQuota& aQuota,
                      Pool& aPool,
                      Plan& aPlan) const
{
  const Candidate& candidate = aStep.m_candidate;
  const jobs::StepSpec& step = candidate.Step();
  if (MustAwaitQuietPeriod(aRun, aActivity, aWall)) {
    return WaitingTask{ WaitReason::kQuietPeriod };
  }
  const auto timeSinceDelay = TimeSinceRetryDelay(aRun, aWall);
  if (!timeSinceDelay) {
    return WaitingTask{ WaitReason::kRetryDelay };
  }
  auto limit = FindIsolationLimit(aRun, aQuota);
  if (limit && limit->m_reason == WaitReason::kIsolationLimit &&
      step.m_longRunning && !step.m_gang && !jobs::HasProof(aRun.m_losses) &&
      aRun.TimeWithoutRun(aWall) >= kMaxWaitForTurn) {
    limit.reset();
  }
  if (limit && (step.m_gang || *timeSinceDelay < kJoinTimeout)) {
    return limit;
  }
  if (!candidate.CheckCap(aPlan)) {
    aStep.m_next = aStep.m_suspects.size();
    return WaitingTask{ WaitReason::kWorkspaceCap };
  }
  if (step.m_gang) {
    aStep.m_next = aStep.m_suspects.size();
    return PlaceSuspectGang(
      candidate, aRun, *timeSinceDelay, aQuota, aPool, aPlan);
  }
  Target* target = limit
                     ? ChooseToJoin(aRun, step, aStep.m_tasksPerWorker, aPool)
                     : ChooseForSuspect(aStep, aRun, *timeSinceDelay, aPool);
  if (target == nullptr) {
    return limit ? std::move(limit)
                 : WaitingTask{ WaitReason::kNoWorkerForIsolatedRun };
  }
  if (!limit && !aRun.MayShare()) {
    aQuota.AddRun(aRun.m_task, jobs::HasProof(aRun.m_losses));
  }
  StartIsolatedRun(aStep, aRun, *target, aPool, aPlan);
  return std::nullopt;
}

std::optional<WaitingTask>
Planner::PlaceSuspectGang(const Candidate& aCandidate,
                          const IsolatedRun& aRun,
                          Millis aTimeSinceDelay,
                          IsolationQuota& aQuota,
                          Pool& aPool,
                          Plan& aPlan) const
{
  const std::size_t before = CountIsolatedWorkers(aPool, false);
  if (!PlaceGang(aCandidate, aTimeSinceDelay, aPool, aPlan)) {
    return WaitingTask{ WaitReason::kNoWorkerForIsolatedRun };
  }
  aQuota.AddRun(aRun.m_task,
                jobs::HasProof(aRun.m_losses),
                CountIsolatedWorkers(aPool, false) - before);
  return std::nullopt;
}

// If a suspect that may run on any instance finds no worker, the others of its
// step need not search the pool.
Planner::Target*
Planner::ChooseForSuspect(SuspectStep& aStep,
                          const IsolatedRun& aRun,
                          Millis aTimeSinceDelay,
                          Pool& aPool) const
{
  if (aStep.m_noWorkerIfShared.contains(aRun.MayShare())) {
    return nullptr;
  }
  Target* target = ChooseForIsolatedRun(aRun,
                                        aStep.m_candidate.Step(),
                                        aStep.m_tasksPerWorker,
                                        aTimeSinceDelay,
                                        aPool);
  if (target == nullptr && aTimeSinceDelay >= kSameInstanceTimeout) {
    aStep.m_noWorkerIfShared.insert(aRun.MayShare());
  }
  return target;
}

void
Planner::StartIsolatedRun(SuspectStep& aStep,
                          const IsolatedRun& aRun,
                          Target& aTarget,
                          Pool& aPool,
                          Plan& aPlan)
{
  const Candidate& candidate = aStep.m_candidate;
  const WorkerIncarnation& worker = aTarget.m_worker->m_lastReport.m_worker;
  const jobs::Task& task =
    candidate.m_job->m_occurrences.at(candidate.m_occurrence)
      .m_steps[candidate.m_step]
      .m_tasks[aRun.m_task.m_index];
  const RunNumber run{ task.m_lastRun.Get() + 1 };
  aPool.Start(aTarget, candidate.Step(), run);
  candidate.ChargeStart();
  aPool.AddIsolatedRun(aTarget, aRun);
  ++aStep.m_tasksPerWorker[worker];
  aPlan.m_changes.emplace_back(jobs::StartRun{ aRun.m_task, run, worker });
}

} // namespace bamboostile::placement
