#include "bamboostile/placement/workers.h"

#include "bamboostile/placement/workspace_accounts.h"

#include "run_lookup.h"

#include <algorithm>
#include <utility>

namespace bamboostile::placement {

namespace {

/** Consecutive failures, without a run that ended as done, after which a
 * worker counts as faulty. Tasks that fail on their own rarely fail this often
 * in a row. */
constexpr std::uint32_t kFailuresToExclude = 3;
constexpr Duration kExclusionPeriod = Millis{ 6000 };
/** At most one worker of a service per this many is excluded for failures. */
constexpr std::size_t kWorkersPerExclusion = 4;

/** Whether the report also shows the run as active or with another end. */
bool
HasOtherReport(const WorkerReport& aReport, const EndReport& aEnd)
{
  const auto isOtherEnd = [&](const EndReport& aOther) {
    return aOther.m_number != aEnd.m_number && aOther.m_task == aEnd.m_task &&
           aOther.m_run == aEnd.m_run;
  };
  return Contains(aReport.m_active, aEnd.m_task, aEnd.m_run) ||
         std::any_of(
           aReport.m_ended.begin(), aReport.m_ended.end(), isOtherEnd);
}

// The worker was cut off until its lease had ended, or its start was
// withdrawn. An acknowledged end has to count, or its task would be done
// again.
bool
IsDoneLate(const jobs::JobTable& aBook, const EndReport& aEnd)
{
  return aEnd.m_endReason == jobs::RunEnd::kDone &&
         aBook.AcceptsLateEnd(aEnd.m_task, aEnd.m_run);
}

} // namespace

bool
IsPlaced(const jobs::JobTable& aBook,
         const WorkerIncarnation& aWorker,
         const jobs::TaskRef& aTask,
         RunNumber aRun)
{
  const jobs::Task* task = aBook.FindTask(aTask);
  return task != nullptr && task->m_phase == jobs::TaskPhase::kRunning &&
         task->m_lastRun == aRun && task->m_worker == aWorker;
}

bool
IsExpected(const jobs::JobTable& aBook,
           const WorkerIncarnation& aWorker,
           const jobs::TaskRef& aTask,
           RunNumber aRun)
{
  return IsPlaced(aBook, aWorker, aTask, aRun) ||
         IsPlaced(aBook, WorkerIncarnation{ aWorker.m_id }, aTask, aRun);
}

void
ReservedCapacity::Add(const jobs::StepSpec& aStep)
{
  m_cpuMillis += aStep.ReservedCpu();
  m_memoryMb += aStep.m_resources.m_memoryMb;
  m_accelerators += aStep.m_resources.m_accelerators;
}

bool
ReservedCapacity::LeavesCapacityFor(const jobs::Resources& aCapacity,
                                    const jobs::StepSpec& aStep) const
{
  return !m_isUnknown &&
         m_cpuMillis + aStep.ReservedCpu() <= aCapacity.m_cpuMillis &&
         m_memoryMb + aStep.m_resources.m_memoryMb <= aCapacity.m_memoryMb &&
         m_accelerators + aStep.m_resources.m_accelerators <=
           aCapacity.m_accelerators;
}

const char*
Describe(IgnoreReason aReason) noexcept
{
  switch (aReason) {
    case IgnoreReason::kStale:
      return "overtaken by a later report";
    case IgnoreReason::kWorkerEnded:
      return "its worker has ended";
    case IgnoreReason::kUnconfirmed:
      return "it may be of an earlier life";
    case IgnoreReason::kUnknownService:
      return "its service is not configured";
    case IgnoreReason::kOtherService:
      return "its worker reports for another service";
  }
  return "unknown";
}

WorkerTable::WorkerTable(LeaseOptions aOptions, TimePoint aLeaderSince)
  : m_options(aOptions)
  , m_leaderSince(aLeaderSince)
{
}

Duration
WorkerTable::MaxLeaseDuration() const
{
  return m_options.m_lease * (100 + m_options.m_driftPercent) / 100 +
         m_options.m_killMargin;
}

bool
WorkerTable::KnowsAllLeases(TimePoint aNow) const
{
  return aNow > m_leaderSince + MaxLeaseDuration();
}

const Worker*
WorkerTable::Find(const WorkerIncarnation& aWorker) const
{
  const auto found = m_workers.find(aWorker);
  return found == m_workers.end() ? nullptr : &found->second;
}

// The lease of the current incarnation may end between two reports of the next
// one, which becomes the current one only with its next report.
const Worker*
WorkerTable::FindByInstance(const InstanceId& aInstance) const
{
  const auto found = m_currentIncarnations.find(aInstance);
  if (found == m_currentIncarnations.end()) {
    return nullptr;
  }
  const Worker* current = Find(found->second.m_incarnation);
  if (current == nullptr || !current->m_isLost) {
    return current;
  }
  for (const WorkerIncarnation& id : IncarnationsOf(aInstance)) {
    const Worker* other = Find(id);
    if (!other->m_isLost) {
      return other;
    }
  }
  return current;
}

const RunReport*
WorkerTable::FindRun(const jobs::TaskRef& aTask, const jobs::Task& aState) const
{
  const Worker* worker = Find(aState.m_worker);
  if (worker == nullptr) {
    return nullptr;
  }
  for (const RunReport& run : worker->m_lastReport.m_active) {
    if (run.m_task == aTask && run.m_run == aState.m_lastRun) {
      return &run;
    }
  }
  return nullptr;
}

ReportResult
WorkerTable::OnReport(const WorkerReport& aReport,
                      const jobs::JobTable& aBook,
                      TimePoint aNow,
                      WallTime aWall)
{
  ReportResult result;
  if (m_retired.Contains(aReport.m_worker)) {
    result.m_ignored = IgnoreReason::kWorkerEnded;
    return result;
  }
  // A stale report shows an outdated state. Its worker has dropped the
  // connection and will not read the answer.
  const Worker* known = Find(aReport.m_worker);
  const bool wasOtherProgram =
    known != nullptr && known->m_isLost &&
    known->m_lastReport.m_service != aReport.m_service;
  if (wasOtherProgram) {
    Forget(aReport.m_worker);
    known = nullptr;
  }
  const auto endedUnseen = m_endedUnseen.find(aReport.m_worker);
  const bool isDelayed =
    (known != nullptr && known->m_listedEndAt &&
     aNow < *known->m_listedEndAt + m_options.m_maxReportDelay) ||
    (endedUnseen != m_endedUnseen.end() &&
     aNow < endedUnseen->second + m_options.m_maxReportDelay);
  if (isDelayed) {
    result.m_ignored = IgnoreReason::kWorkerEnded;
    return result;
  }
  if (known != nullptr &&
      aReport.m_sequence <= known->m_lastReport.m_sequence) {
    result.m_ignored = IgnoreReason::kStale;
    return result;
  }
  const Admission admission = Admit(aReport, aBook, aNow, aWall, result);
  if (admission.m_ignored) {
    result.m_ignored = admission.m_ignored;
    return result;
  }
  const auto [found, isNew] = m_workers.try_emplace(aReport.m_worker);
  Worker& worker = found->second;
  if (isNew) {
    worker.m_firstReportAt = aNow;
    worker.m_answerReceivedAt = aNow;
    worker.m_health = admission.m_health;
    if (!aReport.m_instance.Get().empty()) {
      m_incarnations[aReport.m_instance].push_back(aReport.m_worker);
    }
    result.m_changed = true;
  } else {
    TrackReceipt(worker, aReport, aNow, result);
  }
  // The answer that is about to be sent grants a lease. The worker counts as
  // holding it already: otherwise it would be taken for lost before the answer
  // is sent, and its new runs would be placed again elsewhere.
  worker.m_leaseEnd = std::max(worker.m_leaseEnd, aNow + MaxLeaseDuration());
  TrackInstance(worker, aReport, aBook, aNow, aWall, result);
  result.m_changed = result.m_changed || worker.m_isLost ||
                     worker.m_lastReport.m_draining != aReport.m_draining ||
                     worker.m_lastReport.m_capacity != aReport.m_capacity;
  const bool hadIsolatedRun = HasIsolatedRun(worker, aBook);
  if (isNew || worker.m_isLost) {
    worker.m_reportsSince = aNow;
  }
  worker.m_lastReport = aReport;
  worker.m_lastReportAt = aNow;
  worker.m_reportDueAt = aNow + kAnswerTimeout + m_options.m_reportTolerance;
  worker.m_lastReportWall = aWall;
  worker.m_isLost = false;
  worker.m_listedEndAt.reset();
  worker.m_isDistinctLoss.reset();
  worker.m_lostIsolatedRuns.clear();
  worker.m_evidence.clear();
  for (const RunReport& run : aReport.m_active) {
    if (!IsExpected(aBook, aReport.m_worker, run.m_task, run.m_run)) {
      continue;
    }
    if (!run.m_checkpoint.empty()) {
      m_checkpoints[run.m_task] = run.m_checkpoint;
    }
    if (!IsPlaced(aBook, aReport.m_worker, run.m_task, run.m_run)) {
      result.m_adopted.push_back({ run.m_task, run.m_run, aReport.m_worker });
    }
  }
  std::erase_if(worker.m_superseded,
                [&](const auto& aRun) { return aNow >= aRun.second; });
  CountActive(worker, aBook);
  TrackUnshownStarts(worker, aBook, aNow);
  result.m_changed =
    result.m_changed || (hadIsolatedRun && !HasIsolatedRun(worker, aBook));
  TrackProgress(worker, aNow);
  AcceptEnds(worker, aReport, aBook, aNow, aWall, result);
  EndLostStarts(worker, aBook, aNow, aWall, result);
  result.m_retractions = FindDisprovedLosses(worker, aBook, aNow);
  return result;
}

void
WorkerTable::TrackProgress(Worker& aWorker, TimePoint aNow)
{
  std::map<jobs::TaskRef, RunProgress> progress;
  for (const RunReport& run : aWorker.m_lastReport.m_active) {
    const auto previous = aWorker.m_progress.find(run.m_task);
    const bool isKnown = previous != aWorker.m_progress.end() &&
                         previous->second.m_run == run.m_run;
    RunProgress& current = progress[run.m_task];
    current = isKnown ? previous->second
                      : RunProgress{ run.m_run, run.m_percent, aNow, aNow };
    if (current.m_percent != run.m_percent) {
      current.m_percent = run.m_percent;
      current.m_since = aNow;
    }
  }
  aWorker.m_progress = std::move(progress);
}

// A worker may stop making progress on its tasks while it still reports as
// healthy. Their jobs would wait forever, because no lease ends and nothing
// fails. Long-running tasks stay at 100, best-effort tasks may be slowed to
// zero, and members of a gang wait for each other, so none of these is checked.
std::vector<StopOrder>
WorkerTable::FindStuckRuns(const jobs::JobTable& aBook, TimePoint aNow)
{
  constexpr int kPercent = 100;
  std::vector<StopOrder> stuck;
  if (!m_options.m_mechanisms.Has(Mechanism::kStuckRuns)) {
    return stuck;
  }
  for (auto& [id, worker] : m_workers) {
    for (const auto& [task, progress] : worker.m_progress) {
      // Spares the lookups below for all runs that made progress lately.
      if (aNow < progress.m_since + m_options.m_stuckAfter) {
        continue;
      }
      const jobs::Job* job = aBook.Find(task.m_job);
      if (worker.m_isLost || job == nullptr ||
          !IsExpected(aBook, id, task, progress.m_run) ||
          worker.m_toStop.contains({ task, progress.m_run })) {
        continue;
      }
      const jobs::StepSpec& step = StepOf(*job, task);
      const Duration onePercent = step.m_estimate / kPercent;
      const Duration timeout = std::max(m_options.m_stuckAfter, 3 * onePercent);
      if (!step.m_longRunning && !step.m_bestEffort && !step.m_gang &&
          aNow >= progress.m_since + timeout &&
          worker.m_lastReportAt > progress.m_since) {
        stuck.push_back({ task, progress.m_run });
        worker.m_toStop.insert({ task, progress.m_run });
        CountOutcome(worker, jobs::RunEnd::kFailed, aNow);
      }
    }
  }
  return stuck;
}

// An instance has one incarnation at a time: a later one proves that the
// previous one and all its runs have ended. But a report of an early
// incarnation may arrive after that incarnation has ended. If it were taken
// for a new one, it would end the runs of a worker that is cut off but still
// running, and they would run twice.
void
WorkerTable::TrackInstance(Worker& aWorker,
                           const WorkerReport& aReport,
                           const jobs::JobTable& aBook,
                           TimePoint aNow,
                           WallTime aWall,
                           ReportResult& aResult)
{
  if (aReport.m_instance.Get().empty() || aReport.m_worker.HasStartTime()) {
    return;
  }
  const CurrentIncarnation& current =
    m_currentIncarnations
      .try_emplace(aReport.m_instance,
                   CurrentIncarnation{ aReport.m_worker, aNow })
      .first->second;
  if (current.m_incarnation == aReport.m_worker) {
    return;
  }
  const WorkerIncarnation previous = current.m_incarnation;
  const Worker* known = Find(previous);
  const bool isConfirmed =
    known == nullptr || known->m_isLost ||
    (aNow >= aWorker.m_firstReportAt + m_options.m_confirmIncarnationAfter &&
     known->m_lastReportAt < aWorker.m_firstReportAt);
  if (isConfirmed) {
    aWorker.m_health =
      Supersede(previous, aReport, aBook, aNow, aWall, aResult);
    m_currentIncarnations[aReport.m_instance] = { aReport.m_worker, aNow };
  }
}

void
WorkerTable::AcceptEnds(Worker& aWorker,
                        const WorkerReport& aReport,
                        const jobs::JobTable& aBook,
                        TimePoint aNow,
                        WallTime aWall,
                        ReportResult& aResult)
{
  for (const EndReport& end : aReport.m_ended) {
    if (end.m_number <= aWorker.m_acceptedUpTo) {
      const bool isMissed =
        end.m_number <= aWorker.m_ackedUpTo &&
        IsExpected(aBook, aReport.m_worker, end.m_task, end.m_run);
      aResult.m_skippedEnds += isMissed ? 1 : 0;
      continue;
    }
    const bool isAllAcked = aWorker.m_acceptedUpTo == aWorker.m_ackedUpTo;
    aWorker.m_acceptedUpTo = end.m_number;
    // The same start was sent twice because its answer seemed lost. The worker
    // refuses the second one, and the run continues.
    const bool isSecondStart =
      end.m_endReason == jobs::RunEnd::kRefused && HasOtherReport(aReport, end);
    const bool isLate = IsDoneLate(aBook, end);
    const bool isKept =
      isLate || (!isSecondStart &&
                 IsExpected(aBook, aReport.m_worker, end.m_task, end.m_run));
    // An end that needs no commit is acknowledged at once, unless earlier ends
    // still wait for theirs.
    if (!isKept && isAllAcked) {
      aWorker.m_ackedUpTo = end.m_number;
    } else {
      m_withoutReceipt.insert(aReport.m_worker);
    }
    if (isSecondStart) {
      continue;
    }
    ForgetStop(aWorker, end.m_task, end.m_run);
    aWorker.m_superseded.erase({ end.m_task, end.m_run });
    aWorker.m_sentAt.erase(end.m_task);
    aWorker.m_rates.erase(end.m_task);
    if (!isKept) {
      continue;
    }
    if (isLate) {
      MarkSupersededRun(end.m_task, aBook, aNow);
    }
    CountOutcome(aWorker, end.m_endReason, aNow);
    m_checkpoints.erase(end.m_task);
    aResult.m_changed = true;
    aResult.m_ends.push_back(
      { end.m_task, end.m_run, end.m_endReason, end.m_checkpoint, aWall });
    aResult.m_ends.back().m_isLate = isLate;
    if (end.m_endReason != jobs::RunEnd::kRefused) {
      aResult.m_ends.back().m_ranUntil = aWall;
    }
  }
}

// The task has been started again elsewhere. That run goes on until its worker
// is told to stop it, but the state will not have it any more.
void
WorkerTable::MarkSupersededRun(const jobs::TaskRef& aTask,
                               const jobs::JobTable& aBook,
                               TimePoint aNow)
{
  const jobs::Task& task = *aBook.FindTask(aTask);
  const auto other = m_workers.find(task.m_worker);
  if (task.m_phase == jobs::TaskPhase::kRunning && other != m_workers.end()) {
    other->second.m_superseded[{ aTask, task.m_lastRun }] =
      aNow + m_options.m_maxReportDelay;
  }
}

std::vector<jobs::TaskRef>
WorkerTable::FindUntracked(const Worker& aWorker,
                           const jobs::JobTable& aBook,
                           TimePoint aNow) const
{
  std::vector<jobs::TaskRef> runs;
  const ReservedCapacity& untracked = aWorker.m_reservedByUntracked;
  const bool hasUntracked =
    untracked.m_isUnknown || untracked.m_cpuMillis > 0 ||
    untracked.m_memoryMb > 0 || untracked.m_accelerators > 0;
  if (aWorker.m_isLost || (!hasUntracked && aWorker.m_superseded.empty())) {
    return runs;
  }
  const WorkerReport& report = aWorker.m_lastReport;
  for (const RunReport& run : report.m_active) {
    if (!IsExpected(aBook, report.m_worker, run.m_task, run.m_run)) {
      runs.push_back(run.m_task);
    }
  }
  for (const auto& [run, until] : aWorker.m_superseded) {
    if (aNow < until && !Contains(report.m_active, run.first, run.second) &&
        !IsExpected(aBook, report.m_worker, run.first, run.second)) {
      runs.push_back(run.first);
    }
  }
  return runs;
}

std::vector<Receipt>
WorkerTable::TakeReceipts()
{
  std::vector<Receipt> receipts;
  for (const WorkerIncarnation& id : std::exchange(m_withoutReceipt, {})) {
    if (const Worker* worker = Find(id)) {
      receipts.push_back({ id, worker->m_acceptedUpTo });
    }
  }
  return receipts;
}

void
WorkerTable::Acknowledge(const std::vector<Receipt>& aReceipts)
{
  for (const Receipt& receipt : aReceipts) {
    const auto found = m_workers.find(receipt.m_worker);
    if (found != m_workers.end()) {
      Worker& worker = found->second;
      worker.m_ackedUpTo = std::max(worker.m_ackedUpTo, receipt.m_upTo);
    }
  }
}

void
WorkerTable::Rollback(const std::vector<Receipt>& aReceipts)
{
  for (const Receipt& receipt : aReceipts) {
    const auto found = m_workers.find(receipt.m_worker);
    if (found != m_workers.end()) {
      found->second.m_acceptedUpTo = found->second.m_ackedUpTo;
    }
  }
}

void
WorkerTable::CountOutcome(Worker& aWorker, jobs::RunEnd aEnd, TimePoint aNow)
{
  if (aEnd == jobs::RunEnd::kDone) {
    aWorker.m_health.m_consecutiveFailures = 0;
  } else if (aEnd == jobs::RunEnd::kFailed &&
             m_options.m_mechanisms.Has(Mechanism::kSettingAside) &&
             ++aWorker.m_health.m_consecutiveFailures >= kFailuresToExclude) {
    if (MayExcludeForFailures(aWorker, aNow)) {
      aWorker.m_health.m_excludedUntil = aNow + kExclusionPeriod;
    }
  } else if (aEnd == jobs::RunEnd::kRefused) {
    aWorker.m_health.m_excludedUntil = std::max(
      aWorker.m_health.m_excludedUntil, aNow + m_options.m_pauseAfterRefusal);
  }
}

// Tasks that fail on their own, or a service that they need and that is down,
// fail on any worker. If many workers seem to be faulty at once, that is the
// likelier cause, and without them their pool would lack room.
bool
WorkerTable::MayExcludeForFailures(const Worker& aWorker, TimePoint aNow) const
{
  const ServiceId& service = aWorker.m_lastReport.m_service;
  std::size_t workers = 0;
  std::size_t excluded = 0;
  for (const auto& [id, other] : m_workers) {
    const bool isOfService =
      !other.m_isLost && other.m_lastReport.m_service == service;
    const bool isExcluded =
      other.m_health.m_consecutiveFailures >= kFailuresToExclude &&
      aNow < other.m_health.m_excludedUntil;
    workers += isOfService ? 1 : 0;
    excluded += isOfService && isExcluded && &other != &aWorker ? 1 : 0;
  }
  return excluded < std::max<std::size_t>(1, workers / kWorkersPerExclusion);
}

// A run that is being stopped reserves its resources until it ends, even if
// the state has already placed it elsewhere.
void
WorkerTable::CountActive(Worker& aWorker, const jobs::JobTable& aBook) const
{
  const WorkerReport& report = aWorker.m_lastReport;
  aWorker.m_reservedByActive = {};
  aWorker.m_reservedByUntracked = {};
  const auto isExpected = [&](const auto& aRun) {
    return IsPlaced(aBook, report.m_worker, aRun.m_task, aRun.m_run);
  };
  const auto isEnded = [&](const EndReport& aEnd) {
    return isExpected(aEnd) &&
           !Contains(report.m_active, aEnd.m_task, aEnd.m_run);
  };
  aWorker.m_reportedRuns = static_cast<std::size_t>(
    std::count_if(report.m_active.begin(), report.m_active.end(), isExpected) +
    std::count_if(report.m_ended.begin(), report.m_ended.end(), isEnded));
  for (const RunReport& run : report.m_active) {
    const jobs::StepSpec* step = FindStep(aBook, run.m_task);
    if (step == nullptr) {
      aWorker.m_reservedByActive.m_isUnknown = true;
      aWorker.m_reservedByUntracked.m_isUnknown = true;
      continue;
    }
    aWorker.m_reservedByActive.Add(*step);
    if (!isExpected(run)) {
      aWorker.m_reservedByUntracked.Add(*step);
    }
  }
}

bool
WorkerTable::IsReady(const jobs::TaskRef& aTask,
                     const jobs::Task& aState,
                     TimePoint aNow) const
{
  if (aState.m_phase != jobs::TaskPhase::kRunning) {
    return false;
  }
  const Worker* worker = Find(aState.m_worker);
  const RunReport* run = FindRun(aTask, aState);
  return run != nullptr && run->m_percent >= kReadyPercent &&
         !IsUnresponsive(*worker, aNow) &&
         !worker->m_toStop.contains({ aTask, aState.m_lastRun });
}

StepAvailability
WorkerTable::AvailabilityOfOthers(const jobs::Job& aJob,
                                  const jobs::TaskRef& aTask,
                                  TimePoint aNow) const
{
  StepAvailability found;
  found.m_budget = aJob.m_spec.m_steps[aTask.m_step].m_disruptionBudget;
  const auto& occurrence = aJob.m_occurrences.at(aTask.m_occurrence);
  const auto& tasks = occurrence.m_steps[aTask.m_step].m_tasks;
  for (std::uint32_t i = 0; i < tasks.size(); ++i) {
    if (i == aTask.m_index) {
      continue;
    }
    jobs::TaskRef other = aTask;
    other.m_index = i;
    ++found.m_others;
    if (IsReady(other, tasks[i], aNow)) {
      const Duration age = aNow - Find(tasks[i].m_worker)->m_lastReportAt;
      found.m_oldestReport = std::max(found.m_oldestReport, age);
    } else {
      ++found.m_unavailable;
    }
  }
  return found;
}

// A new leader does not know which stops an earlier one has sent. It takes the
// runs that they end for ready until reports show otherwise, and would spend
// their place in the budget a second time.
bool
WorkerTable::MayDisrupt(const jobs::Job& aJob,
                        const jobs::TaskRef& aTask,
                        TimePoint aNow) const
{
  if (!aJob.m_spec.m_steps[aTask.m_step].m_disruptionBudget) {
    return true;
  }
  return aNow >= m_leaderSince + m_options.m_maxReportDelay &&
         AvailabilityOfOthers(aJob, aTask, aNow).AllowsDisruption();
}

bool
WorkerTable::IsAnyStopping(const jobs::Job& aJob,
                           const jobs::TaskRef& aTask) const
{
  const auto& occurrence = aJob.m_occurrences.at(aTask.m_occurrence);
  const auto& tasks = occurrence.m_steps[aTask.m_step].m_tasks;
  for (std::uint32_t i = 0; i < tasks.size(); ++i) {
    jobs::TaskRef other = aTask;
    other.m_index = i;
    const Worker* worker = Find(tasks[i].m_worker);
    if (worker != nullptr && !worker->m_lastReport.m_draining &&
        worker->m_toStop.contains({ other, tasks[i].m_lastRun })) {
      return true;
    }
  }
  return false;
}

void
WorkerTable::RequestStop(const jobs::TaskRef& aTask, RunNumber aRun)
{
  for (auto& [id, worker] : m_workers) {
    if (Contains(worker.m_lastReport.m_active, aTask, aRun)) {
      worker.m_toStop.insert({ aTask, aRun });
    }
  }
}

} // namespace bamboostile::placement
