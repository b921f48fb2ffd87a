#include "bamboostile/placement/planner.h"

#include "due_occurrences.h"
#include "run_lookup.h"
#include "target_pool.h"

#include "bamboostile/jobs/crash_loop.h"
#include "bamboostile/units/id_text.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <tuple>

namespace bamboostile::placement {

namespace {

/** One worker per this many is reserved for large tasks that do not fit, but at
 * least one. A reserved worker stands idle while other tasks wait. */
constexpr std::size_t kWorkersPerReservation = 16;
/** Pools of fewer workers than this reserve none. */
constexpr std::size_t kMinPoolSizeForReservation = 4;
/** At most one worker per this many has isolated runs or is reserved for
 * long-running tasks that have lost their runs. */
constexpr std::size_t kWorkersPerRestart = 2;
/** A task is large if it needs more than a fourth of a worker, or any
 * accelerator. Capacity that smaller tasks leave free, or free when they end,
 * often adds up to a fourth. */
constexpr std::int64_t kLargeTaskDivisor = 4;

/** Margin, in percent of the remaining critical path, before a job counts as
 * late: its longest task takes this much longer than the mean of its image. */
constexpr std::int64_t kDurationMarginPercent = 30;
/** Time from placing a task to recording its end, in addition to its work. */
constexpr Millis kStepOverhead{ 250 };

/** A worker gets at most one task per this many tasks of a long-running step,
 * as far as other workers have free capacity, so that the loss of a worker
 * stops no more than that. */
constexpr std::uint32_t kSpreadDivisor = 8;

/** Number of tasks in a repeated job's occurrences that are considered at a
 * time. */
constexpr std::size_t kMaxOpenTasksOfJob = 10'000;
/** Number of steps of due occurrences, of all repeated jobs together, that a
 * pass considers. The leader renews its lease between passes. */
constexpr std::size_t kMaxDueStepsOfPass = 10'000;
/** The largest step that a caller may submit. */
constexpr std::uint32_t kMaxTasksOfStep = 10'000;

std::uint32_t
SpreadLimit(const jobs::StepSpec& aStep)
{
  return (aStep.m_count + kSpreadDivisor - 1) / kSpreadDivisor;
}

bool
HostsLongRunning(const jobs::JobTable& aBook, const WorkerIncarnation& aWorker)
{
  const auto use = aBook.UseByWorker().find(aWorker);
  return use != aBook.UseByWorker().end() && use->second.m_longRunning > 0;
}

/** Tasks of other steps are packed. */
bool
IsSpread(const jobs::StepSpec& aStep)
{
  return aStep.m_longRunning || aStep.m_bestEffort;
}

/** Counts the tasks from aFirst on that wait and are no suspects; aTasks is
 * null if none has started. */
std::uint32_t
CountWaiting(const jobs::StepSpec& aStep,
             const std::vector<jobs::Task>* aTasks,
             std::uint32_t aFirst)
{
  if (aTasks == nullptr) {
    return aStep.m_count - aFirst;
  }
  return static_cast<std::uint32_t>(std::count_if(
    aTasks->begin() + aFirst, aTasks->end(), [](const jobs::Task& aTask) {
      return aTask.m_phase == jobs::TaskPhase::kWaiting &&
             !jobs::IsSuspect(aTask.m_losses);
    }));
}

/** Counts the tasks from aFirst on that wait, have been started before and are
 * no suspects. */
std::size_t
CountRestarts(const std::vector<jobs::Task>& aTasks, std::uint32_t aFirst)
{
  return static_cast<std::size_t>(std::count_if(
    aTasks.begin() + aFirst, aTasks.end(), [](const jobs::Task& aTask) {
      return aTask.m_phase == jobs::TaskPhase::kWaiting &&
             aTask.m_lastRun > RunNumber{} && !jobs::IsSuspect(aTask.m_losses);
    }));
}

} // namespace

const char*
Describe(WaitReason aReason) noexcept
{
  switch (aReason) {
    case WaitReason::kNoCapacity:
      return "no worker has room";
    case WaitReason::kWorkspaceCap:
      return "its workspace is at its cap";
    case WaitReason::kRetryDelay:
      return "delay after a lost worker";
    case WaitReason::kQuietPeriod:
      return "other workers are being lost";
    case WaitReason::kOtherRunOfJob:
      return "another isolated run of its job goes on";
    case WaitReason::kIsolationLimit:
      return "too many workers have isolated runs";
    case WaitReason::kNoWorkerForIsolatedRun:
      return "no worker for an isolated run";
    case WaitReason::kNoMemory:
      return "no memory for the states of its tasks";
  }
  return "unknown";
}

bool
Planner::Candidate::CheckCap(Plan& aPlan) const
{
  if (m_account == nullptr || m_account->MayStart(ChargeOf(Step()))) {
    return true;
  }
  m_account->Defer(ChargeOf(Step()));
  aPlan.m_atCap.insert_or_assign(m_job->m_workspace, *m_account);
  return false;
}

void
Planner::Candidate::AddWaiting(std::uint32_t aIndex,
                               const jobs::Task& aTask,
                               WaitReason aReason,
                               WallTime aWall,
                               Plan& aPlan) const
{
  if (m_isLongRunning) {
    WaitingTask waiting{ aReason, true };
    waiting.m_withoutRun = TimeSince(aTask.m_ranUntil, aWall);
    aPlan.m_waiting.insert_or_assign(TaskAt(aIndex), std::move(waiting));
  }
}

// The wall clock may have been set back.
std::optional<Millis>
Planner::TimeSince(std::optional<WallTime> aTime, WallTime aWall)
{
  if (!aTime) {
    return std::nullopt;
  }
  return std::max(Millis::zero(), Millis{ aWall.Get() - aTime->Get() });
}

void
Planner::Candidate::AddUnplaced(std::uint32_t aIndex,
                                std::uint32_t aCount,
                                const TasksPerWorker& aTasksPerWorker,
                                Pool& aPool,
                                Plan& aPlan) const
{
  aPlan.m_unplaced[TaskAt(0)].Add(
    { aCount,
      aPool.CountWithoutRoom(Step(), aCount, aTasksPerWorker),
      aIndex });
}

void
Planner::Candidate::ChargeStart() const
{
  if (m_account != nullptr) {
    m_account->Add(ChargeOf(Step()));
  }
}

std::size_t
Planner::Candidate::BytesOfNewTasks() const
{
  const auto found = m_job->m_occurrences.find(m_occurrence);
  const bool hasTasks = found != m_job->m_occurrences.end() &&
                        found->second.m_steps[m_step].HasTasks();
  return hasTasks ? 0
                  : jobs::JobTable::BytesOfTasks(m_job->m_id.Get().size(),
                                                 Step().m_count);
}

bool
Planner::Candidate::HasRoomForTasks(const Plan& aPlan) const
{
  return BytesOfNewTasks() <= aPlan.m_roomForTasks;
}

void
Planner::Candidate::ChargeTasks(Plan& aPlan) const
{
  aPlan.m_roomForTasks -= std::min(aPlan.m_roomForTasks, BytesOfNewTasks());
}

Planner::CriticalPaths
Planner::FindCriticalPaths(const jobs::Job& aJob,
                           const jobs::Occurrence* aProgress) const
{
  const std::vector<jobs::StepSpec>& steps = aJob.m_spec.m_steps;
  std::vector<CriticalPaths> finishTimes;
  finishTimes.reserve(steps.size());
  CriticalPaths latestFinish;
  for (std::size_t stepIndex = 0; stepIndex < steps.size(); ++stepIndex) {
    const jobs::StepSpec& step = steps[stepIndex];
    CriticalPaths& finish = finishTimes.emplace_back();
    for (const std::uint32_t dependency : step.m_dependsOn) {
      finish.ExtendTo(finishTimes[dependency]);
    }
    const Millis estimate = m_durations.Estimate(step);
    finish.m_whole += estimate;
    if (aProgress == nullptr || !aProgress->m_steps[stepIndex].IsDone()) {
      finish.m_remaining += estimate;
    }
    latestFinish.ExtendTo(finish);
  }
  return latestFinish;
}

Planner::Pools
Planner::FindTargets(const fleet::State& aState,
                     const WorkerTable& aWorkers,
                     const std::set<WorkerIncarnation>& aCordoned,
                     bool aAssessesRisks,
                     TimePoint aNow) const
{
  Pools pools;
  const jobs::JobTable& book = aState.Jobs();
  const bool hasSuspects = book.HasSuspects();
  for (const auto& [id, worker] : aWorkers.Workers()) {
    const bool isProbed =
      !worker.m_unsent.empty() || !worker.m_unshownStarts.empty();
    const bool isExcluded = !worker.IsUsable(aNow) || aCordoned.contains(id) ||
                            worker.m_reservedByUntracked.m_isUnknown ||
                            aWorkers.HasLaterIncarnation(worker) ||
                            (worker.IsOnProbation() && isProbed);
    if (isExcluded) {
      if (!worker.m_isLost) {
        pools[worker.m_lastReport.m_service].AddExcluded();
      }
      continue;
    }
    const jobs::Resources& capacity = worker.m_lastReport.m_capacity;
    const ReservedCapacity& untrackedUse = worker.m_reservedByUntracked;
    Target target{ &worker,
                   capacity.m_cpuMillis - untrackedUse.m_cpuMillis,
                   capacity.m_memoryMb - untrackedUse.m_memoryMb,
                   capacity.m_accelerators - untrackedUse.m_accelerators };
    target.m_isUnresponsive = aWorkers.IsUnresponsive(worker, aNow);
    target.m_isOnProbation = worker.IsOnProbation();
    if (aAssessesRisks) {
      target.m_lossRisk = aWorkers.AssessRisk(worker, book, aNow);
    }
    target.m_mayBeOrdered =
      hasSuspects && aWorkers.MayBeOrderedAfter(worker, aNow);
    const auto use = book.UseByWorker().find(id);
    if (use != book.UseByWorker().end()) {
      target.Allocate(use->second);
      target.m_awaitsRestart =
        use->second.m_longRunning > 0 && aWorkers.AwaitsRestart(worker, book);
      if (hasSuspects) {
        FindIsolatedRuns(worker, book.TasksByWorker().at(id), book, target);
      }
    }
    pools[worker.m_lastReport.m_service].Add(std::move(target));
  }
  return pools;
}

void
Planner::AddCandidates(const jobs::Job& aJob,
                       const fleet::QueueRoute& aRoute,
                       std::uint32_t aOccurrence,
                       WallTime aReadyAt,
                       WallTime aWall,
                       const CriticalPaths* aUnbegunPaths,
                       std::vector<Candidate>& aCandidates) const
{
  const auto found = aJob.m_occurrences.find(aOccurrence);
  const jobs::Occurrence* progress =
    found == aJob.m_occurrences.end() ? nullptr : &found->second;
  const auto isReady = [&](std::size_t aStep) {
    const jobs::StepSpec& step = aJob.m_spec.m_steps[aStep];
    return progress == nullptr
             ? step.m_dependsOn.empty()
             : progress->m_steps[aStep].Waiting() > 0 &&
                 jobs::JobTable::AreDependenciesDone(*progress, step);
  };
  std::uint32_t stepIndex = 0;
  const auto stepCount = static_cast<std::uint32_t>(aJob.m_spec.m_steps.size());
  while (stepIndex < stepCount && !isReady(stepIndex)) {
    ++stepIndex;
  }
  if (stepIndex == stepCount) {
    return;
  }
  const CriticalPaths paths = progress == nullptr && aUnbegunPaths != nullptr
                                ? *aUnbegunPaths
                                : FindCriticalPaths(aJob, progress);
  const auto criticalPath = static_cast<double>(paths.m_whole.count());
  const std::int64_t due =
    aReadyAt.Get() +
    static_cast<std::int64_t>(criticalPath * aRoute.m_stretch) +
    aRoute.m_objective.count();
  const std::int64_t expectedEnd =
    aWall.Get() +
    paths.m_remaining.count() * (100 + kDurationMarginPercent) / 100 +
    kStepOverhead.count();
  const bool isLate =
    expectedEnd > due && m_mechanisms.Has(Mechanism::kLateLast);
  for (; stepIndex < stepCount; ++stepIndex) {
    if (isReady(stepIndex)) {
      const jobs::StepSpec& step = aJob.m_spec.m_steps[stepIndex];
      aCandidates.push_back({ &aJob,
                              &aRoute,
                              aOccurrence,
                              stepIndex,
                              step.m_longRunning,
                              isLate && !step.m_longRunning,
                              WallTime{ due } });
      if (step.m_longRunning && progress != nullptr) {
        aCandidates.back().m_withoutRunSince =
          FindEarliestEnd(progress->m_steps[stepIndex]);
      }
    }
  }
}

std::optional<WallTime>
Planner::FindEarliestEnd(const jobs::StepRun& aStep)
{
  std::optional<WallTime> earliest;
  for (const jobs::Task& task : aStep.m_tasks) {
    if (task.m_phase != jobs::TaskPhase::kWaiting) {
      continue;
    }
    std::optional<WallTime> end = task.m_ranUntil;
    if (!end && !task.m_losses.empty()) {
      end = task.m_losses.front().m_at;
    }
    if (end && (!earliest || *end < *earliest)) {
      earliest = end;
    }
  }
  return earliest;
}

// Due occurrences pile up while workers are missing. The first ones are enough
// to keep a pool busy; with all of them, a pass would take as long as the
// backlog is, and the leader would lose its lease meanwhile.
void
Planner::AddDueOccurrences(const jobs::Job& aJob,
                           const fleet::QueueRoute& aRoute,
                           WallTime aWall,
                           std::size_t aMaxSteps,
                           std::vector<Candidate>& aCandidates) const
{
  const CriticalPaths unbegunPaths = FindCriticalPaths(aJob, nullptr);
  const std::size_t candidatesBefore = aCandidates.size();
  const std::int64_t elapsed = aWall.Get() - aJob.m_spec.m_startAt.Get();
  const std::int64_t interval =
    std::max<std::int64_t>(1, aJob.m_spec.m_interval.count());
  std::size_t openTasks = 0;
  for (std::uint32_t number = aJob.m_firstOccurrence;
       number < aJob.m_spec.m_repeatCount && number * interval <= elapsed &&
       openTasks < kMaxOpenTasksOfJob &&
       aCandidates.size() < candidatesBefore + aMaxSteps;
       ++number) {
    const auto found = aJob.m_occurrences.find(number);
    const bool isDone =
      found != aJob.m_occurrences.end() &&
      found->second.m_stepsDone == found->second.m_steps.size();
    if (!isDone) {
      openTasks += std::accumulate(aJob.m_spec.m_steps.begin(),
                                   aJob.m_spec.m_steps.end(),
                                   std::size_t{ 0 },
                                   [](std::size_t aSum, const auto& aStep) {
                                     return aSum + aStep.m_count;
                                   });
      const WallTime scheduledAt{ aJob.m_spec.m_startAt.Get() +
                                  number * interval };
      AddCandidates(
        aJob, aRoute, number, scheduledAt, aWall, &unbegunPaths, aCandidates);
    }
  }
}

std::vector<Planner::Candidate>
Planner::FindCandidates(const fleet::State& aState, WallTime aWall) const
{
  std::vector<std::pair<const jobs::Job*, const fleet::QueueRoute*>> startable;
  std::vector<std::size_t> dueSteps;
  const jobs::JobTable& book = aState.Jobs();
  const fleet::RouteTable& routes = aState.Routes();
  for (const auto& [order, id] : book.StartableJobs()) {
    const jobs::Job& job = *book.Find(id);
    const auto route = aState.RouteLookup().Find(job.m_queue);
    // A route with an advice policy lets the advice of a service decide which
    // workers may run a step, so nothing may start without that advice.
    if (!route || routes.m_routes[*route].m_advice) {
      continue;
    }
    startable.emplace_back(&job, &routes.m_routes[*route]);
    if (job.m_spec.m_repeatCount > 0) {
      dueSteps.push_back(CountDue(job, aWall, kMaxOpenTasksOfJob) *
                         job.m_spec.m_steps.size());
    }
  }
  const std::size_t maxSteps =
    FindFairLimit(std::move(dueSteps), kMaxDueStepsOfPass);
  std::vector<Candidate> candidates;
  for (const auto& [job, queue] : startable) {
    if (job->m_spec.m_repeatCount == 0) {
      AddCandidates(
        *job, *queue, 0, job->m_acceptedAt, aWall, nullptr, candidates);
    } else {
      AddDueOccurrences(*job, *queue, aWall, maxSteps, candidates);
    }
  }
  return SortCandidates(candidates);
}

// The candidates come in order of their jobs, occurrences and steps, so that
// their positions decide between equals. Short keys of their own are several
// times faster to sort than the candidates.
std::vector<Planner::Candidate>
Planner::SortCandidates(const std::vector<Candidate>& aCandidates)
{
  using Key = std::
    tuple<bool, WallTime, bool, bool, std::uint32_t, WallTime, std::size_t>;
  const WallTime never{ std::numeric_limits<WallTime::Value>::max() };
  std::vector<Key> keys;
  keys.reserve(aCandidates.size());
  for (const Candidate& candidate : aCandidates) {
    keys.emplace_back(!candidate.m_isLongRunning,
                      candidate.m_withoutRunSince.value_or(never),
                      candidate.m_job->m_isBeyondShare,
                      candidate.m_isLate,
                      candidate.m_route->m_priority,
                      candidate.m_due,
                      keys.size());
  }
  std::sort(keys.begin(), keys.end());
  std::vector<Candidate> sorted;
  sorted.reserve(keys.size());
  for (const Key& key : keys) {
    sorted.push_back(aCandidates[std::get<std::size_t>(key)]);
  }
  return sorted;
}

std::uint32_t
Planner::TasksOnWorker(const WorkerIncarnation& aWorker,
                       const TasksPerWorker& aTasksPerWorker)
{
  if (aTasksPerWorker.empty()) {
    return 0;
  }
  const auto found = aTasksPerWorker.find(aWorker);
  return found == aTasksPerWorker.end() ? 0 : found->second;
}

bool
Planner::IsAllowed(const jobs::StepSpec& aStep,
                   std::uint32_t aTasksOnWorker,
                   const Target& aTarget)
{
  const auto& labels = aTarget.m_worker->m_lastReport.m_labels;
  return (aStep.m_requiredLabel.empty() ||
          labels.contains(aStep.m_requiredLabel)) &&
         (aStep.m_maxPerWorker == 0 || aTasksOnWorker < aStep.m_maxPerWorker);
}

Planner::Target*
Planner::Choose(const jobs::StepSpec& aStep,
                const TasksPerWorker& aTasksPerWorker,
                Pool& aPool) const
{
  if (m_search == Search::kScan) {
    return ChooseByScan(aStep, aTasksPerWorker, aPool);
  }
  if (aPool.IsKnownToFail(aStep)) {
    return nullptr;
  }
  const bool isPacked =
    !IsSpread(aStep) && m_mechanisms.Has(Mechanism::kPacking);
  Target* target = isPacked ? aPool.FindTightest(aStep, aTasksPerWorker)
                            : ChooseByScan(aStep, aTasksPerWorker, aPool);
  const bool isLimited = aStep.m_maxPerWorker > 0 && !aTasksPerWorker.empty();
  if (target == nullptr && !isLimited) {
    aPool.RecordFailure(aStep);
  }
  return target;
}

Planner::Target*
Planner::ChooseByScan(const jobs::StepSpec& aStep,
                      const TasksPerWorker& aTasksPerWorker,
                      Pool& aPool) const
{
  Target* best = nullptr;
  auto bestRank = std::make_tuple(true,
                                  LossRisk::kReportOverdue,
                                  true,
                                  true,
                                  true,
                                  true,
                                  true,
                                  true,
                                  std::int64_t{});
  for (Target& target : aPool.Targets()) {
    const WorkerReport& report = target.m_worker->m_lastReport;
    if (!target.MayStart(aStep)) {
      continue;
    }
    const std::uint32_t tasksOnWorker =
      TasksOnWorker(report.m_worker, aTasksPerWorker);
    if (!IsAllowed(aStep, tasksOnWorker, target)) {
      continue;
    }
    const bool isFarFromData = !aStep.m_preferredRack.Get().empty() &&
                               aStep.m_preferredRack != report.m_rack;
    // Best-effort tasks disturb tasks with a latency target on the same worker.
    const bool interferes =
      aStep.m_bestEffort && target.m_hostsLatencySensitive;
    // Long-running tasks are spread, so that the loss of one worker stops few
    // of them, but preferably over workers that already host some, or else run
    // something: one on each worker would keep the whole pool from ever being
    // idle. Other tasks are packed, so that free capacity for large tasks is
    // not fragmented.
    const bool isSpread = IsSpread(aStep);
    const bool isCrowded = isSpread && tasksOnWorker >= SpreadLimit(aStep);
    const bool isEmpty =
      isSpread && m_mechanisms.Has(Mechanism::kSharing) &&
      target.m_freeCpuMillis == report.m_capacity.m_cpuMillis;
    const bool isNewHost = isSpread && m_mechanisms.Has(Mechanism::kSharing) &&
                           !target.m_hostsLongRunning;
    const bool isPacked = !isSpread && m_mechanisms.Has(Mechanism::kPacking);
    const std::int64_t cpuLeft = target.m_freeCpuMillis - aStep.ReservedCpu();
    // A worker that a task has just crashed is often the one with the most free
    // CPU. A long-running task that is started there is away until the loss is
    // noticed, and no bound holds for several such starts in a row. But
    // avoiding these workers must not put a whole step on one of the others.
    const LossRisk risk =
      aStep.m_longRunning ? target.m_lossRisk : LossRisk::kNone;
    const bool isRecent = risk == LossRisk::kRecentRun;
    const auto rank = std::make_tuple(aStep.m_longRunning && isCrowded,
                                      isRecent ? LossRisk::kNone : risk,
                                      isFarFromData,
                                      interferes,
                                      isCrowded,
                                      isRecent,
                                      isNewHost,
                                      isEmpty,
                                      isPacked ? cpuLeft : -cpuLeft);
    if (best == nullptr || rank < bestRank) {
      best = &target;
      bestRank = rank;
    }
  }
  return best;
}

// A large task that does not fit would starve, because small tasks take all
// capacity that becomes free, so the emptiest worker that may run it is
// reserved for it.
void
Planner::ReserveEmptiest(const jobs::StepSpec& aStep,
                         const TasksPerWorker& aTasksPerWorker,
                         Pool& aPool) const
{
  if (!m_mechanisms.Has(Mechanism::kRoomForLarge)) {
    return;
  }
  const std::vector<Target>& targets = aPool.Targets();
  const std::size_t maxReserved =
    std::max<std::size_t>(1, targets.size() / kWorkersPerReservation);
  if (targets.size() < kMinPoolSizeForReservation ||
      aPool.CountReserved() >= maxReserved) {
    return;
  }
  Target* emptiest = aPool.FindEmptiest(aStep, aTasksPerWorker);
  if (emptiest == nullptr) {
    return;
  }
  const jobs::Resources& capacity = emptiest->m_worker->m_lastReport.m_capacity;
  const jobs::Resources& needs = aStep.m_resources;
  const bool isLarge =
    aStep.ReservedCpu() * kLargeTaskDivisor > capacity.m_cpuMillis ||
    needs.m_memoryMb * kLargeTaskDivisor > capacity.m_memoryMb ||
    needs.m_accelerators > 0;
  if (isLarge) {
    aPool.Reserve(*emptiest);
  }
}

// All tasks of a step that have lost their runs wait for room at the same time.
// If room were kept for one of them in each pass, they would restart one after
// the other, each after the runs of another worker have ended.
void
Planner::ReserveForRestarts(const jobs::StepSpec& aStep,
                            std::size_t aCount,
                            TasksPerWorker aTasksPerWorker,
                            Pool& aPool) const
{
  if (!m_mechanisms.Has(Mechanism::kRoomForLarge)) {
    return;
  }
  const std::size_t isolated =
    CountIsolatedWorkers(aPool, true) + CountIsolatedWorkers(aPool, false);
  const std::size_t maxWithheld =
    std::max<std::size_t>(1, aPool.Targets().size() / kWorkersPerRestart);
  while (aCount > 0 && aPool.CountReserved() + isolated < maxWithheld) {
    Target* emptiest = aPool.FindEmptiest(aStep, aTasksPerWorker);
    if (emptiest == nullptr) {
      return;
    }
    aPool.ReserveForRestart(*emptiest);
    std::uint32_t& tasksOnWorker =
      aTasksPerWorker[emptiest->m_worker->m_lastReport.m_worker];
    const std::uint32_t limit = aStep.m_maxPerWorker == 0
                                  ? SpreadLimit(aStep)
                                  : aStep.m_maxPerWorker - tasksOnWorker;
    aCount -= std::min(aCount, emptiest->CountFitting(aStep, limit));
  }
}

void
Planner::Place(const Candidate& aCandidate,
               const jobs::JobTable& aBook,
               WallTime aWall,
               Pool& aPool,
               Plan& aPlan) const
{
  const jobs::StepSpec& step =
    aCandidate.m_job->m_spec.m_steps[aCandidate.m_step];
  if (step.m_gang) {
    if (!PlaceGang(aCandidate, std::nullopt, aPool, aPlan)) {
      AddUnplacedGang(aCandidate, aBook, aWall, aPool, aPlan);
    }
    return;
  }
  const auto found =
    aCandidate.m_job->m_occurrences.find(aCandidate.m_occurrence);
  static const jobs::Task kNeverStarted;
  TasksPerWorker tasksPerWorker;
  const bool isNew = found == aCandidate.m_job->m_occurrences.end();
  const std::vector<jobs::Task>* tasks =
    isNew || !found->second.m_steps[aCandidate.m_step].HasTasks()
      ? nullptr
      : &found->second.m_steps[aCandidate.m_step].m_tasks;
  if ((step.m_maxPerWorker > 0 || step.m_longRunning) && tasks != nullptr) {
    tasksPerWorker = CountTasksPerWorker(*tasks);
  }
  if (!aCandidate.HasRoomForTasks(aPlan)) {
    aCandidate.AddWaiting(
      0, kNeverStarted, WaitReason::kNoMemory, aWall, aPlan);
    return;
  }
  bool hasStarted = false;
  for (std::uint32_t i = 0; i < step.m_count; ++i) {
    const jobs::Task& task = tasks == nullptr ? kNeverStarted : (*tasks)[i];
    if (task.m_phase != jobs::TaskPhase::kWaiting ||
        jobs::IsSuspect(task.m_losses)) {
      continue;
    }
    // No limit was in force while the queue had no route.
    if (!step.m_longRunning &&
        task.m_failures >= aCandidate.m_route->m_maxAttempts) {
      aPlan.m_changes.emplace_back(
        jobs::FailJob{ aCandidate.m_job->m_id,
                       jobs::NameOf(aCandidate.TaskAt(i)) + " failed " +
                         std::to_string(task.m_failures) + " times",
                       aWall });
      return;
    }
    if (!aCandidate.CheckCap(aPlan)) {
      aCandidate.AddWaiting(i, task, WaitReason::kWorkspaceCap, aWall, aPlan);
      return;
    }
    Target* target = Choose(step, tasksPerWorker, aPool);
    if (target == nullptr) {
      aCandidate.AddWaiting(i, task, WaitReason::kNoCapacity, aWall, aPlan);
      if (step.m_longRunning) {
        aPlan.m_waiting.at(aCandidate.TaskAt(i)).m_workers =
          aPool.CountWorkers(step, tasksPerWorker, aBook);
        aCandidate.AddUnplaced(
          i, CountWaiting(step, tasks, i), tasksPerWorker, aPool, aPlan);
      }
      aPlan.m_fullServices.insert(aCandidate.m_route->m_service);
      const std::size_t restarts =
        aCandidate.m_withoutRunSince ? CountRestarts(*tasks, i) : 0;
      if (restarts > 0) {
        ReserveForRestarts(step, restarts, tasksPerWorker, aPool);
      } else if (!aCandidate.m_isLate) {
        ReserveEmptiest(step, tasksPerWorker, aPool);
      }
      return;
    }
    const RunNumber run{ task.m_lastRun.Get() + 1 };
    aPool.Start(*target, step, run);
    aCandidate.ChargeStart();
    if (!std::exchange(hasStarted, true)) {
      aCandidate.ChargeTasks(aPlan);
    }
    const WorkerIncarnation& worker = target->m_worker->m_lastReport.m_worker;
    if (step.m_maxPerWorker > 0 || IsSpread(step)) {
      ++tasksPerWorker[worker];
    }
    aPlan.m_changes.emplace_back(
      jobs::StartRun{ aCandidate.TaskAt(i), run, worker });
  }
}

// Starts all members of the gang or none: a member that waits for the others
// would hold its capacity without using it.
bool
Planner::PlaceGang(const Candidate& aCandidate,
                   std::optional<Millis> aTimeSinceDelay,
                   Pool& aPool,
                   Plan& aPlan) const
{
  const jobs::StepSpec& step =
    aCandidate.m_job->m_spec.m_steps[aCandidate.m_step];
  const auto found =
    aCandidate.m_job->m_occurrences.find(aCandidate.m_occurrence);
  if (!aCandidate.HasRoomForTasks(aPlan)) {
    return false;
  }
  RunNumber lastRun;
  std::vector<jobs::WorkerLoss> losses;
  if (found != aCandidate.m_job->m_occurrences.end()) {
    const jobs::StepRun& state = found->second.m_steps[aCandidate.m_step];
    losses = jobs::LossesOf(step, state, 0);
    if (state.m_running > 0 ||
        jobs::IsSuspect(losses) != aTimeSinceDelay.has_value()) {
      return false;
    }
    for (const jobs::Task& task : state.m_tasks) {
      lastRun = std::max(lastRun, task.m_lastRun);
    }
  }
  std::vector<jobs::Change> starts;
  Candidate tentative = aCandidate;
  workspaces::Account account;
  if (aCandidate.m_account != nullptr) {
    account = *aCandidate.m_account;
    tentative.m_account = &account;
  }
  aPool.BeginTrial();
  if (!PlaceMembers(tentative,
                    losses,
                    aTimeSinceDelay,
                    RunNumber{ lastRun.Get() + 1 },
                    aPool,
                    aPlan,
                    starts)) {
    aPool.Rollback();
    return false;
  }
  aPool.Commit();
  if (aCandidate.m_account != nullptr) {
    *aCandidate.m_account = account;
  }
  aCandidate.ChargeTasks(aPlan);
  std::move(starts.begin(), starts.end(), std::back_inserter(aPlan.m_changes));
  return true;
}

void
Planner::AddUnplacedGang(const Candidate& aCandidate,
                         const jobs::JobTable& aBook,
                         WallTime aWall,
                         Pool& aPool,
                         Plan& aPlan)
{
  const jobs::StepSpec& step = aCandidate.Step();
  const bool isAtCap = aPlan.m_atCap.contains(aCandidate.m_job->m_workspace);
  if (!step.m_longRunning || isAtCap ||
      aCandidate.CountWaiting() < step.m_count) {
    return;
  }
  static const jobs::Task kNeverStarted;
  const auto found =
    aCandidate.m_job->m_occurrences.find(aCandidate.m_occurrence);
  const jobs::Task& first =
    found == aCandidate.m_job->m_occurrences.end()
      ? kNeverStarted
      : found->second.m_steps[aCandidate.m_step].TaskAt(0);
  if (found != aCandidate.m_job->m_occurrences.end() &&
      jobs::IsSuspect(
        jobs::LossesOf(step, found->second.m_steps[aCandidate.m_step], 0))) {
    return;
  }
  aCandidate.AddWaiting(0, first, WaitReason::kNoCapacity, aWall, aPlan);
  aPlan.m_waiting.at(aCandidate.TaskAt(0)).m_workers =
    aPool.CountWorkers(step, {}, aBook);
  aCandidate.AddUnplaced(0, step.m_count, {}, aPool, aPlan);
}

bool
Planner::PlaceMembers(const Candidate& aCandidate,
                      const std::vector<jobs::WorkerLoss>& aLosses,
                      std::optional<Millis> aTimeSinceDelay,
                      RunNumber aRun,
                      Pool& aPool,
                      Plan& aPlan,
                      std::vector<jobs::Change>& aStarts) const
{
  const jobs::StepSpec& step = aCandidate.Step();
  TasksPerWorker tasksPerWorker;
  for (std::uint32_t i = 0; i < step.m_count; ++i) {
    if (!aCandidate.CheckCap(aPlan)) {
      return false;
    }
    const IsolatedRun run{
      aCandidate.TaskAt(i), aLosses, true, step.m_longRunning
    };
    Target* target = aTimeSinceDelay
                       ? ChooseForIsolatedRun(
                           run, step, tasksPerWorker, *aTimeSinceDelay, aPool)
                       : Choose(step, tasksPerWorker, aPool);
    if (target == nullptr) {
      return false;
    }
    aPool.Start(*target, step, aRun);
    aCandidate.ChargeStart();
    if (aTimeSinceDelay) {
      aPool.AddIsolatedRun(*target, run);
    }
    const WorkerIncarnation& worker = target->m_worker->m_lastReport.m_worker;
    ++tasksPerWorker[worker];
    aStarts.emplace_back(jobs::StartRun{ run.m_task, aRun, worker });
  }
  return true;
}

bool
Planner::MayMoveAway(const jobs::TaskRef& aTask,
                     const fleet::State& aState,
                     const WorkerTable& aWorkers,
                     const Worker& aFrom,
                     TimePoint aNow,
                     const Plan& aPlan)
{
  const jobs::Job& job = *aState.Jobs().Find(aTask.m_job);
  const jobs::Task& task = *aState.Jobs().FindTask(aTask);
  const bool isMovable = job.m_spec.m_steps[aTask.m_step].m_longRunning &&
                         job.m_state == jobs::JobState::kActive &&
                         aWorkers.FindRun(aTask, task) != nullptr &&
                         !aFrom.m_toStop.contains({ aTask, task.m_lastRun });
  const bool isFirstOfStep = std::none_of(
    aPlan.m_stops.begin(), aPlan.m_stops.end(), [&](const StopOrder& aStop) {
      return aStop.m_task.m_job == aTask.m_job &&
             aStop.m_task.m_step == aTask.m_step;
    });
  if (!isMovable || !isFirstOfStep) {
    return false;
  }
  // A draining worker leaves anyway, so the disruption budget does not apply.
  // But if another task of the step is being stopped, both would be down at
  // once.
  return aFrom.m_lastReport.m_draining ? !aWorkers.IsAnyStopping(job, aTask)
                                       : aWorkers.MayDisrupt(job, aTask, aNow);
}

Planner::TasksPerWorker
Planner::CountTasksPerWorker(const std::vector<jobs::Task>& aTasks)
{
  TasksPerWorker tasksPerWorker;
  for (const jobs::Task& task : aTasks) {
    if (task.m_phase == jobs::TaskPhase::kRunning) {
      ++tasksPerWorker[task.m_worker];
    }
  }
  return tasksPerWorker;
}

// Moves long-running tasks off draining and cordoned workers before these leave
// the pool. A stop is ordered only if another worker can take the task, so that
// the task runs again within about a second.
void
Planner::MoveLongRunningTasks(const fleet::State& aState,
                              const WorkerTable& aWorkers,
                              const std::set<WorkerIncarnation>& aCordoned,
                              TimePoint aNow,
                              Pools& aPools,
                              Plan& aPlan) const
{
  const jobs::JobTable& book = aState.Jobs();
  const bool hasTasksToMove = std::any_of(
    aWorkers.Workers().begin(),
    aWorkers.Workers().end(),
    [&](const auto& aEntry) {
      const auto& [id, worker] = aEntry;
      return (worker.m_lastReport.m_draining || aCordoned.contains(id)) &&
             HostsLongRunning(book, id);
    });
  if (!hasTasksToMove) {
    return;
  }
  for (const auto& [worker, tasks] : book.TasksByWorker()) {
    const Worker* from = aWorkers.Find(worker);
    const bool leaves = from != nullptr && (from->m_lastReport.m_draining ||
                                            aCordoned.contains(worker));
    if (!leaves) {
      continue;
    }
    for (const jobs::TaskRef& ref : tasks) {
      if (!MayMoveAway(ref, aState, aWorkers, *from, aNow, aPlan)) {
        continue;
      }
      const jobs::Job& job = *book.Find(ref.m_job);
      const jobs::StepSpec& step = job.m_spec.m_steps[ref.m_step];
      const auto& tasksOfStep =
        job.m_occurrences.at(ref.m_occurrence).m_steps[ref.m_step].m_tasks;
      Pool& pool = aPools[from->m_lastReport.m_service];
      Target* target = Choose(step, CountTasksPerWorker(tasksOfStep), pool);
      if (target != nullptr) {
        pool.Allocate(*target, step);
        aPlan.m_stops.push_back({ ref, book.FindTask(ref)->m_lastRun });
      }
    }
  }
}

void
Planner::ListRestarts(const jobs::JobTable& aBook,
                      const WorkerTable& aWorkers,
                      TimePoint aNow,
                      WallTime aWall,
                      Plan& aPlan)
{
  std::unordered_map<WorkerIncarnation, std::size_t> starts;
  for (const jobs::Change& change : aPlan.m_changes) {
    if (const auto* start = std::get_if<jobs::StartRun>(&change)) {
      ++starts[start->m_worker];
    }
  }
  for (const jobs::Change& change : aPlan.m_changes) {
    const auto* start = std::get_if<jobs::StartRun>(&change);
    if (start == nullptr ||
        !IsRestart(StepOf(*aBook.Find(start->m_task.m_job), start->m_task),
                   start->m_run)) {
      continue;
    }
    const Worker& worker = *aWorkers.Find(start->m_worker);
    const jobs::Task& task = *aBook.FindTask(start->m_task);
    aPlan.m_restarts.push_back({ start->m_task,
                                 start->m_run,
                                 start->m_worker,
                                 aWorkers.AssessRisk(worker, aBook, aNow),
                                 ToMillis(aNow - worker.m_lastReportAt),
                                 TimeSince(task.m_ranUntil, aWall),
                                 task.m_losses.size(),
                                 starts.at(start->m_worker) - 1 });
  }
}

// Tasks that run make room when they end. If none runs, the largest step may
// begin all the same.
std::size_t
Planner::RoomForTasks(const jobs::JobTable& aBook) const
{
  const std::size_t room = m_memory.RoomForTasks(aBook.Bytes());
  return aBook.TasksByWorker().empty()
           ? std::max(
               room, jobs::JobTable::BytesOfTasks(kMaxIdBytes, kMaxTasksOfStep))
           : room;
}

Plan
Planner::ComputePlan(const fleet::State& aState,
                     const WorkerTable& aWorkers,
                     const std::set<WorkerIncarnation>& aCordoned,
                     TimePoint aNow,
                     WallTime aWall)
{
  Plan plan;
  plan.m_roomForTasks = RoomForTasks(aState.Jobs());
  std::vector<Candidate> candidates = FindCandidates(aState, aWall);
  const bool hasLongRunning =
    !candidates.empty() && candidates.front().m_isLongRunning;
  Pools pools = FindTargets(aState, aWorkers, aCordoned, hasLongRunning, aNow);
  plan.m_accounts = ComputeAccounts(aState, aWorkers, aNow);
  if (!plan.m_accounts.IsEmpty()) {
    for (Candidate& candidate : candidates) {
      candidate.m_account = plan.m_accounts.Find(candidate.m_job->m_workspace);
    }
  }
  const auto firstNotLongRunning = std::find_if(
    candidates.cbegin(), candidates.cend(), [](const Candidate& aCandidate) {
      return !aCandidate.m_isLongRunning;
    });
  const auto firstNotRestarted = std::find_if(
    candidates.cbegin(), firstNotLongRunning, [](const Candidate& aCandidate) {
      return !aCandidate.m_withoutRunSince;
    });
  std::map<ServiceId, LossActivity> activities;
  const auto assessLosses = [&](const ServiceId& aService) {
    const auto [found, isNew] = activities.try_emplace(aService);
    if (isNew) {
      found->second = aWorkers.AssessLosses(aService, aState.Jobs(), aNow);
    }
    return found->second;
  };
  std::unordered_map<const fleet::QueueRoute*, Pool*> poolOfRoute;
  const auto placeAll = [&](auto aFrom, auto aTo) {
    for (auto it = aFrom; it != aTo; ++it) {
      Pool*& pool = poolOfRoute[it->m_route];
      if (pool == nullptr) {
        pool = &pools[it->m_route->m_service];
      }
      Place(*it, aState.Jobs(), aWall, *pool, plan);
    }
    PlaceSuspects(OrderSuspects(aFrom, aTo, aState.Jobs()),
                  aState.Jobs(),
                  assessLosses,
                  aWall,
                  pools,
                  plan);
  };
  placeAll(candidates.cbegin(), firstNotRestarted);
  placeAll(firstNotRestarted, firstNotLongRunning);
  MoveLongRunningTasks(aState, aWorkers, aCordoned, aNow, pools, plan);
  placeAll(firstNotLongRunning, candidates.cend());
  ListRestarts(aState.Jobs(), aWorkers, aNow, aWall, plan);
  if (m_mechanisms.Has(Mechanism::kAdmission)) {
    SumLoads(candidates, pools, aState.Jobs(), plan);
  }
  return plan;
}

} // namespace bamboostile::placement
