#include "run_lookup.h"

#include "bamboostile/jobs/crash_loop.h"

namespace bamboostile::placement {

namespace {

/** Number of instances after which a task counts as the cause of its losses,
 * even if one of the instances has lost it before. A small pool may have no
 * other instances. */
constexpr std::size_t kMinInstancesForProof = 3;

} // namespace

std::vector<jobs::TaskRef>
WorkerTable::FindUnconfirmed(const Worker& aWorker,
                             const jobs::JobTable& aBook) const
{
  std::vector<jobs::TaskRef> unconfirmed;
  for (const PendingStart& start : FindPending(aWorker, aBook)) {
    if (aWorker.m_sentAt.contains(start.m_task)) {
      unconfirmed.push_back(start.m_task);
    }
  }
  return unconfirmed;
}

LossCount
WorkerTable::CountLossesAround(const Worker& aWorker,
                               Duration aWindow,
                               Duration aSilentFor,
                               const jobs::JobTable& aBook,
                               TimePoint aNow) const
{
  const ServiceId& service = aWorker.m_lastReport.m_service;
  LossCount count =
    m_recentLosses.CountAround(aWorker.m_lastReportAt, aWindow, service);
  for (const auto& [id, other] : m_workers) {
    const bool isUnresponsive = aNow >= other.m_lastReportAt + aSilentFor;
    const bool isConcurrent =
      other.m_lastReportAt <= aWorker.m_lastReportAt + aWindow &&
      aWorker.m_lastReportAt <= other.m_lastReportAt + aWindow;
    if (&other != &aWorker && isUnresponsive && isConcurrent &&
        other.m_lostIsolatedRuns.empty() && !HasIsolatedRun(other, aBook)) {
      ++count.m_inFleet;
      count.m_inService += other.m_lastReport.m_service == service ? 1 : 0;
    }
  }
  return count;
}

std::size_t
WorkerTable::CountWorkers(const ServiceId& aService) const
{
  return static_cast<std::size_t>(
    std::count_if(m_workers.begin(), m_workers.end(), [&](const auto& aEntry) {
      const Worker& worker = aEntry.second;
      return !worker.m_isLost && worker.m_lastReport.m_service == aService &&
             !HasLaterIncarnation(worker);
    }));
}

// Losses count from their workers' last reports. They are noticed some seconds
// later, when further losses with the same cause are no longer expected.
LossActivity
WorkerTable::AssessLosses(const ServiceId& aService,
                          const jobs::JobTable& aBook,
                          TimePoint aNow) const
{
  const TimePoint since = aNow - m_options.m_quietPeriod;
  LossCount count = m_recentLosses.CountAfter(since, aService);
  for (const auto& [id, worker] : m_workers) {
    const bool isRecentLoss = worker.m_lastReportAt > since &&
                              IsUnresponsive(worker, aNow) &&
                              ExemptionOf(worker) == LossExemption::kNone &&
                              !HasIsolatedRun(worker, aBook);
    if (isRecentLoss) {
      ++count.m_inFleet;
      count.m_inService += worker.m_lastReport.m_service == aService ? 1 : 0;
    }
  }
  const std::size_t workers = CountWorkers(aService);
  if (IsMassLoss(count, workers)) {
    return LossActivity::kMass;
  }
  const bool isQuiet = aNow >= m_leaderSince + m_options.m_quietPeriod &&
                       IsLossDistinct(count, workers);
  return isQuiet ? LossActivity::kQuiet : LossActivity::kSome;
}

bool
WorkerTable::IsIsolatedRun(const jobs::TaskRef& aTask,
                           const std::vector<jobs::TaskRef>& aUnconfirmed,
                           const jobs::JobTable& aBook)
{
  const auto losses = aBook.LossesOf(aTask);
  const bool isUnconfirmed =
    std::find(aUnconfirmed.begin(), aUnconfirmed.end(), aTask) !=
    aUnconfirmed.end();
  return isUnconfirmed ? jobs::IsSuspect(losses)
                       : jobs::IsIsolatedForWholeRun(losses);
}

std::vector<jobs::TaskRef>
WorkerTable::FindIsolatedRuns(const Worker& aWorker,
                              const jobs::JobTable& aBook) const
{
  std::vector<jobs::TaskRef> isolated;
  const auto placed = aBook.TasksByWorker().find(aWorker.m_lastReport.m_worker);
  if (placed == aBook.TasksByWorker().end() ||
      aBook.TasksWithLosses().empty()) {
    return isolated;
  }
  const auto unconfirmed = FindUnconfirmed(aWorker, aBook);
  std::copy_if(placed->second.begin(),
               placed->second.end(),
               std::back_inserter(isolated),
               [&](const auto& aTask) {
                 return IsIsolatedRun(aTask, unconfirmed, aBook);
               });
  return isolated;
}

bool
WorkerTable::HasIsolatedRun(const Worker& aWorker,
                            const jobs::JobTable& aBook) const
{
  return !FindIsolatedRuns(aWorker, aBook).empty();
}

// The tasks of one job are isolated at the same time, so what strikes several
// of their workers at once, such as the loss of a rack, may strike no other.
// Members of a gang run and crash together.
bool
WorkerTable::IsLostWithSameJob(const Worker& aWorker,
                               const jobs::JobTable& aBook,
                               TimePoint aNow) const
{
  const auto isOfSameJob = [&](const jobs::TaskRef& aOther) {
    return std::any_of(aWorker.m_lostIsolatedRuns.begin(),
                       aWorker.m_lostIsolatedRuns.end(),
                       [&](const jobs::TaskRef& aTask) {
                         return aTask.m_job == aOther.m_job &&
                                !aBook.AreInSameGang(aTask, aOther);
                       });
  };
  const auto isConcurrent = [&](TimePoint aLastReportAt) {
    return aLastReportAt <= aWorker.m_lastReportAt + kConcurrentLossWindow &&
           aWorker.m_lastReportAt <= aLastReportAt + kConcurrentLossWindow;
  };
  for (const auto& [at, task] : m_recentLosses.Isolated()) {
    if (isConcurrent(at) && isOfSameJob(task)) {
      return true;
    }
  }
  return std::any_of(
    m_workers.begin(), m_workers.end(), [&](const auto& aEntry) {
      const Worker& other = aEntry.second;
      if (&other == &aWorker || !isConcurrent(other.m_lastReportAt) ||
          !IsUnresponsive(other, aNow)) {
        return false;
      }
      const auto isolated = other.m_lostIsolatedRuns.empty()
                              ? FindIsolatedRuns(other, aBook)
                              : other.m_lostIsolatedRuns;
      return std::any_of(isolated.begin(), isolated.end(), isOfSameJob);
    });
}

// Tasks that had just been started on the worker are the first suspects. Tasks
// that were already running become suspects only if no isolated run explains
// the loss. Only a crash during an isolated run, without any other start or
// concurrent loss, counts as proof. A task with many losses cannot wait for a
// moment at which no worker of a large fleet is being lost, so for it the loss
// only has to be distinct. A worker whose lease has ended may still run behind
// a broken link, and an instance on which the task was lost before may itself
// be faulty. A worker that returns before others would count as unresponsive
// may have been lost together with them. A mass loss explains the loss of any
// worker. Long-running tasks are also started between two mass losses, so for
// them a mass loss explains others for as long as a quiet period takes.
jobs::CrashEvidence
WorkerTable::AssessEvidence(const jobs::TaskRef& aTask,
                            const Worker& aWorker,
                            const LostWorker& aLost,
                            const std::vector<jobs::TaskRef>& aUnconfirmed,
                            const jobs::JobTable& aBook) const
{
  using jobs::CrashEvidence;
  const jobs::Task& task = *aBook.FindTask(aTask);
  const auto losses = aBook.LossesOf(aTask);
  const bool isShared = aLost.m_concurrentLosses > 0;
  const bool isDistinct =
    jobs::NeedsQuietPeriod(losses) ? aLost.m_isDistinct : !isShared;
  const bool isExplained =
    aLost.m_isMassLoss ||
    (aLost.m_isAmongMassLosses &&
     StepOf(*aBook.Find(aTask.m_job), aTask).m_longRunning);
  const bool isOtherInstance =
    !jobs::HasLossOn(losses, aWorker.m_lastReport.m_instance) ||
    jobs::CountInstances(losses) >= kMinInstancesForProof;
  const bool isProofOfCrash =
    aLost.m_cause != LossCause::kLeaseEnded && isDistinct && !isExplained &&
    !aLost.m_isLostWithSameJob &&
    aLost.m_unresponsiveFor >= m_options.m_unresponsiveAfter && isOtherInstance;
  const auto& placed = aBook.TasksByWorker().at(aWorker.m_lastReport.m_worker);
  const bool hasOtherIsolatedRun =
    std::any_of(placed.begin(), placed.end(), [&](const auto& aOther) {
      return aOther != aTask && !aBook.AreInSameGang(aOther, aTask) &&
             IsIsolatedRun(aOther, aUnconfirmed, aBook);
    });
  if (task.m_isStable) {
    return CrashEvidence::kNone;
  }
  if (std::find(aUnconfirmed.begin(), aUnconfirmed.end(), aTask) !=
      aUnconfirmed.end()) {
    const bool isAlone = std::all_of(
      aUnconfirmed.begin(), aUnconfirmed.end(), [&](const auto& aOther) {
        return aOther == aTask || aBook.AreInSameGang(aOther, aTask);
      });
    if (isExplained) {
      return CrashEvidence::kStartingInMassLoss;
    }
    return jobs::IsSuspect(losses) && isProofOfCrash && isAlone &&
               !hasOtherIsolatedRun
             ? CrashEvidence::kIsolated
             : CrashEvidence::kStarting;
  }
  if (!Contains(aWorker.m_lastReport.m_active, aTask, task.m_lastRun)) {
    return CrashEvidence::kNone;
  }
  const bool isIsolated = jobs::IsIsolatedForWholeRun(losses);
  if (isIsolated && isProofOfCrash && aUnconfirmed.empty() &&
      !hasOtherIsolatedRun) {
    return CrashEvidence::kIsolated;
  }
  if (isShared || isExplained) {
    return CrashEvidence::kConcurrent;
  }
  if (isIsolated && hasOtherIsolatedRun) {
    return CrashEvidence::kRunning;
  }
  if (isIsolated) {
    return isOtherInstance && aUnconfirmed.empty()
             ? CrashEvidence::kRunningIsolated
             : CrashEvidence::kNone;
  }
  return aWorker.m_lostIsolatedRuns.empty() ? CrashEvidence::kRunning
                                            : CrashEvidence::kConcurrent;
}

bool
WorkerTable::MayBeOrderedAfter(const Worker& aWorker, TimePoint aTime) const
{
  return m_orderEffects != nullptr &&
         m_orderEffects->MayOccurAfter(aWorker.m_lastReport.m_instance, aTime);
}

// The intention to order a worker away later explains nothing. A worker that a
// task has just crashed is often chosen for it, as it runs hardly anything.
LossExemption
WorkerTable::ExemptionOf(const Worker& aWorker) const
{
  if (aWorker.m_lastReport.m_draining) {
    return LossExemption::kDraining;
  }
  return MayBeOrderedAfter(aWorker, aWorker.m_lastReportAt)
           ? LossExemption::kOrdered
           : LossExemption::kNone;
}

void
WorkerTable::RecordLoss(Worker& aWorker,
                        LossCause aCause,
                        const jobs::JobTable& aBook,
                        TimePoint aNow)
{
  const WorkerIncarnation& id = aWorker.m_lastReport.m_worker;
  const auto placed = aBook.TasksByWorker().find(id);
  const auto unconfirmed = FindUnconfirmed(aWorker, aBook);
  aWorker.m_lostIsolatedRuns = FindIsolatedRuns(aWorker, aBook);
  if (placed == aBook.TasksByWorker().end()) {
    return;
  }
  const std::size_t workers = CountWorkers(aWorker.m_lastReport.m_service);
  const LossCount others = CountLossesAround(
    aWorker, kConcurrentLossWindow, m_options.m_unresponsiveAfter, aBook, aNow);
  const LossCount recent = CountLossesAround(
    aWorker, m_options.m_quietPeriod, kConcurrentLossWindow, aBook, aNow);
  const LostWorker lost{
    id,
    aWorker.m_lastReport.m_instance,
    HasLaterIncarnation(aWorker) ? LossCause::kLaterIncarnation : aCause,
    aNow - aWorker.m_lastReportAt,
    placed->second.size(),
    unconfirmed.size(),
    FindPending(aWorker, aBook).size() - unconfirmed.size(),
    others.m_inFleet,
    IsLossDistinct(others, workers),
    IsMassLoss(others.WithOneMore(), workers),
    IsMassLoss(recent.WithOneMore(), workers),
    IsLostWithSameJob(aWorker, aBook, aNow),
    ExemptionOf(aWorker)
  };
  m_lost.push_back(lost);
  if (lost.m_exemption != LossExemption::kNone) {
    return;
  }
  for (const jobs::TaskRef& ref : placed->second) {
    const auto evidence =
      AssessEvidence(ref, aWorker, lost, unconfirmed, aBook);
    if (evidence != jobs::CrashEvidence::kNone) {
      aWorker.m_evidence[ref] = evidence;
    }
  }
}

// A worker that was cut off or frozen looks like a crashed one until it reports
// again under the same start time. A single report may be a delayed one of a
// worker that crashed since it sent it; a later one was sent after the loss. A
// run that the worker ended because its lease ran out was never crashed.
std::vector<jobs::RetractLoss>
WorkerTable::FindDisprovedLosses(const Worker& aWorker,
                                 const jobs::JobTable& aBook,
                                 TimePoint aNow) const
{
  const WorkerReport& report = aWorker.m_lastReport;
  const bool isAlive =
    report.m_worker.HasStartTime() &&
    aNow >= aWorker.m_reportsSince + m_options.m_maxReportDelay;
  std::vector<jobs::RetractLoss> losses = aBook.LossesOn(report.m_worker);
  std::erase_if(losses, [&](const jobs::RetractLoss& aLoss) {
    const bool isEndedByWorker = std::any_of(
      report.m_ended.begin(), report.m_ended.end(), [&](const auto& aEnd) {
        return aEnd.m_task == aLoss.m_task && aEnd.m_run == aLoss.m_run &&
               aEnd.m_endReason == jobs::RunEnd::kLeaseExpired;
      });
    return !isAlive && !isEndedByWorker;
  });
  return losses;
}

std::vector<jobs::MarkRunStable>
WorkerTable::FindStableRuns(const jobs::JobTable& aBook, TimePoint aNow) const
{
  std::vector<jobs::MarkRunStable> stable;
  for (const auto& [id, worker] : m_workers) {
    for (const auto& [ref, progress] : worker.m_progress) {
      const bool isReady =
        progress.m_percent >= kReadyPercent &&
        worker.m_lastReportAt >= progress.m_since + m_options.m_stableAfter &&
        !IsUnresponsive(worker, aNow);
      if (isReady && IsExpected(aBook, id, ref, progress.m_run) &&
          StepOf(*aBook.Find(ref.m_job), ref).m_longRunning &&
          !aBook.FindTask(ref)->m_isStable) {
        stable.push_back({ ref, progress.m_run });
      }
    }
  }
  return stable;
}

// It is unknown what an earlier leader sent, and when. A suspect may have had
// an isolated run there; for any other task, one such loss is weak evidence.
jobs::CrashEvidence
WorkerTable::EvidenceOf(const jobs::TaskRef& aTask,
                        const WorkerIncarnation& aWorker,
                        const jobs::JobTable& aBook) const
{
  if (const Worker* worker = Find(aWorker)) {
    const auto found = worker->m_evidence.find(aTask);
    return found == worker->m_evidence.end() ? jobs::CrashEvidence::kNone
                                             : found->second;
  }
  if (HasEnded(aWorker)) {
    const auto ended = m_evidenceOfEnded.find({ aWorker, aTask });
    return ended == m_evidenceOfEnded.end() ? jobs::CrashEvidence::kNone
                                            : ended->second;
  }
  const jobs::Task& task = *aBook.FindTask(aTask);
  if (task.m_isStable) {
    return jobs::CrashEvidence::kNone;
  }
  if (!jobs::IsSuspect(task.m_losses)) {
    return jobs::CrashEvidence::kRunning;
  }
  return IsUnseenMassLoss(m_mostUnseen)
           ? jobs::CrashEvidence::kStartingInMassLoss
           : jobs::CrashEvidence::kStarting;
}

std::vector<jobs::EndRun>
WorkerTable::EndAllRuns(const WorkerIncarnation& aWorker,
                        const InstanceId& aInstance,
                        const jobs::JobTable& aBook,
                        WallTime aWall)
{
  std::vector<jobs::EndRun> ends;
  const auto placed = aBook.TasksByWorker().find(aWorker);
  if (placed == aBook.TasksByWorker().end()) {
    return ends;
  }
  const Worker* worker = Find(aWorker);
  for (const jobs::TaskRef& ref : placed->second) {
    const auto saved = m_checkpoints.find(ref);
    const RunNumber run = aBook.FindTask(ref)->m_lastRun;
    ends.push_back({ ref,
                     run,
                     jobs::RunEnd::kWorkerLost,
                     saved == m_checkpoints.end() ? "" : saved->second,
                     aWall,
                     EvidenceOf(ref, aWorker, aBook),
                     aInstance });
    if (worker != nullptr &&
        Contains(worker->m_lastReport.m_active, ref, run)) {
      ends.back().m_ranUntil = worker->m_lastReportWall;
    }
  }
  return ends;
}

void
WorkerTable::CountUnseen(const jobs::JobTable& aBook, TimePoint aNow)
{
  if (aNow < m_leaderSince + m_options.m_unresponsiveAfter) {
    return;
  }
  const auto& placed = aBook.TasksByWorker();
  const auto unseen = static_cast<std::size_t>(
    std::count_if(placed.begin(), placed.end(), [&](const auto& aEntry) {
      return !m_workers.contains(aEntry.first) && !HasEnded(aEntry.first);
    }));
  m_mostUnseen = std::max(m_mostUnseen, unseen);
}

void
WorkerTable::RecordPlannedStarts(const std::vector<jobs::Change>& aChanges)
{
  for (const jobs::Change& change : aChanges) {
    const auto* start = std::get_if<jobs::StartRun>(&change);
    const auto worker =
      start == nullptr ? m_workers.end() : m_workers.find(start->m_worker);
    if (worker != m_workers.end()) {
      worker->second.m_unsent[start->m_task] = { start->m_run };
    }
  }
}

// Starts leave with the answers to reports. One that has not left will not run
// if no later answer contains it, so a long-running task need not be away until
// the lease ends. Starts of an earlier leader may have been sent.
void
WorkerTable::WithdrawUnsent(Worker& aWorker,
                            const jobs::JobTable& aBook,
                            TimePoint aNow,
                            WallTime aWall,
                            std::vector<jobs::EndRun>& aEnds) const
{
  for (auto& [task, start] : aWorker.m_unsent) {
    start.m_isWithdrawn = start.m_isWithdrawn ||
                          (IsUnresponsive(aWorker, aNow) &&
                           StepOf(*aBook.Find(task.m_job), task).m_longRunning);
    if (start.m_isWithdrawn) {
      aEnds.push_back({ task, start.m_run, jobs::RunEnd::kStopped, "", aWall });
    }
  }
}

std::vector<jobs::EndRun>
WorkerTable::CollectLostRuns(const jobs::JobTable& aBook,
                             TimePoint aNow,
                             WallTime aWall)
{
  std::vector<jobs::EndRun> ends;
  const auto add = [&](const WorkerIncarnation& aWorker,
                       const InstanceId& aInstance) {
    auto lost = EndAllRuns(aWorker, aInstance, aBook, aWall);
    std::move(lost.begin(), lost.end(), std::back_inserter(ends));
  };
  for (auto& [id, worker] : m_workers) {
    const bool isListed = !worker.m_isLost && HasListedEnd(worker, aBook, aNow);
    if (isListed || (!worker.m_isLost && aNow > worker.m_leaseEnd)) {
      RecordLoss(worker,
                 isListed ? LossCause::kListedEnd : LossCause::kLeaseEnded,
                 aBook,
                 aNow);
      worker.m_isLost = true;
      worker.m_unsent.clear();
      worker.m_sentAt.clear();
      worker.m_unshownStarts.clear();
      worker.m_toStop.clear();
      worker.m_stopSentAt.clear();
    }
    std::erase_if(worker.m_unsent, [&, &self = id](const auto& aEntry) {
      return !IsPlaced(aBook, self, aEntry.first, aEntry.second.m_run);
    });
    if (worker.m_isLost) {
      add(id, worker.m_lastReport.m_instance);
    } else {
      WithdrawUnsent(worker, aBook, aNow, aWall, ends);
    }
  }
  ForgetCandidates(aNow);
  CountUnseen(aBook, aNow);
  std::erase_if(m_evidenceOfEnded, [&](const auto& aEntry) {
    return !aBook.TasksByWorker().contains(aEntry.first.first);
  });
  const bool knowsAllLeases = KnowsAllLeases(aNow);
  for (const auto& [id, tasks] : aBook.TasksByWorker()) {
    if (m_workers.contains(id)) {
      continue;
    }
    // The run was placed before the proof of the incarnation's end arrived, and
    // it was never sent; or its end was proposed and is not committed yet.
    if (HasEnded(id)) {
      add(id, InstanceId{});
    } else if (const bool isListed = HasListedEnd(id, aNow);
               isListed || knowsAllLeases) {
      if (isListed) {
        m_endedUnseen.try_emplace(id, aNow);
      }
      m_lost.push_back(
        { id,
          InstanceId{},
          isListed ? LossCause::kListedEnd : LossCause::kNeverReported,
          aNow - m_leaderSince,
          tasks.size() });
      add(id, InstanceId{});
    }
  }
  return ends;
}

} // namespace bamboostile::placement
