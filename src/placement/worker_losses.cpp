#include "run_lookup.h"

#include "bamboostile/jobs/crash_loop.h"

namespace bamboostile::placement {

namespace {

/** Lost on so many, a task is to blame and not one of its instances: a small
 * pool has no other. */
constexpr std::size_t kInstancesOfProof = 3;

} // namespace

std::vector<jobs::TaskRef>
WorkerTable::FindUnshown(const Worker& aWorker, const jobs::Book& aBook) const
{
  std::vector<jobs::TaskRef> unshown;
  for (const PendingStart& start : FindPending(aWorker, aBook)) {
    if (aWorker.m_sentAt.contains(start.m_task)) {
      unshown.push_back(start.m_task);
    }
  }
  return unshown;
}

std::size_t
WorkerTable::CountLostBeside(const Worker& aWorker,
                             const jobs::Book& aBook,
                             TimePoint aNow) const
{
  std::size_t count = m_recentLosses.CountAround(aWorker.m_heardAt);
  for (const auto& [id, other] : m_workers) {
    const bool isSilent = IsInDoubt(other, aNow);
    const bool isTogether =
      other.m_heardAt <= aWorker.m_heardAt + kLostTogether &&
      aWorker.m_heardAt <= other.m_heardAt + kLostTogether;
    if (&other != &aWorker && isSilent && isTogether && !other.m_lostInTrial &&
        !HasTrial(other, aBook)) {
      ++count;
    }
  }
  return count;
}

bool
WorkerTable::IsCalm(const jobs::Book& aBook, TimePoint aNow) const
{
  const TimePoint since = std::max(m_lastLossAt, m_leaderSince);
  const auto isInDoubt = [&](const auto& aEntry) {
    const Worker& worker = aEntry.second;
    return !worker.m_silent && IsInDoubt(worker, aNow) &&
           !HasTrial(worker, aBook);
  };
  return aNow >= since + m_options.m_calmAfter &&
         std::none_of(m_workers.begin(), m_workers.end(), isInDoubt);
}

bool
WorkerTable::IsOnTrial(const jobs::TaskRef& aTask,
                       const std::vector<jobs::TaskRef>& aUnshown,
                       const jobs::Book& aBook)
{
  const auto losses = aBook.LossesOf(aTask);
  const bool isUnshown =
    std::find(aUnshown.begin(), aUnshown.end(), aTask) != aUnshown.end();
  return isUnshown ? jobs::IsSuspect(losses) : jobs::IsTriedThroughout(losses);
}

bool
WorkerTable::HasTrial(const Worker& aWorker, const jobs::Book& aBook) const
{
  const auto placed = aBook.Placed().find(aWorker.m_last.m_worker);
  if (placed == aBook.Placed().end() || aBook.LostWithWorkers().empty()) {
    return false;
  }
  const auto unshown = FindUnshown(aWorker, aBook);
  return std::any_of(
    placed->second.begin(), placed->second.end(), [&](const auto& aTask) {
      return IsOnTrial(aTask, unshown, aBook);
    });
}

// Whatever had just been started there is the first suspect; what was at work
// is one only where no trial explains the loss. Only a crash in a trial, with
// no other start and no other loss beside it, counts as proof: a lapsed lease
// may be that of a worker which lives behind a cut link, and an instance that
// the task was lost on before may be the one to blame. A worker that is back
// sooner than others would look silent may have gone together with them.
jobs::CrashEvidence
WorkerTable::JudgeTask(const jobs::TaskRef& aTask,
                       const Worker& aWorker,
                       const LostWorker& aLost,
                       const std::vector<jobs::TaskRef>& aUnshown,
                       const jobs::Book& aBook) const
{
  using jobs::CrashEvidence;
  const jobs::Task& task = *aBook.FindTask(aTask);
  const auto losses = aBook.LossesOf(aTask);
  const bool isProofOfCrash =
    aLost.m_cause == LossCause::kLaterLife &&
    aLost.m_silentFor >= m_options.m_doubtAfter &&
    (!jobs::WasLostOn(losses, aWorker.m_last.m_instance) ||
     jobs::CountInstances(losses) >= kInstancesOfProof);
  const bool isShared = aLost.m_lostBeside > 0;
  const auto& placed = aBook.Placed().at(aWorker.m_last.m_worker);
  const bool hasTrialBeside =
    std::any_of(placed.begin(), placed.end(), [&](const auto& aOther) {
      return aOther != aTask && !aBook.AreOneGang(aOther, aTask) &&
             IsOnTrial(aOther, aUnshown, aBook);
    });
  if (task.m_settled) {
    return CrashEvidence::kNone;
  }
  if (std::find(aUnshown.begin(), aUnshown.end(), aTask) != aUnshown.end()) {
    const bool isAlone =
      std::all_of(aUnshown.begin(), aUnshown.end(), [&](const auto& aOther) {
        return aOther == aTask || aBook.AreOneGang(aOther, aTask);
      });
    return jobs::IsSuspect(losses) && isProofOfCrash && isAlone && !isShared &&
               !hasTrialBeside
             ? CrashEvidence::kAlone
             : CrashEvidence::kStarting;
  }
  if (!Contains(aWorker.m_last.m_active, aTask, task.m_lastRun)) {
    return CrashEvidence::kNone;
  }
  if (isShared) {
    return CrashEvidence::kShared;
  }
  const bool isTried = jobs::IsTriedThroughout(losses);
  if (isTried && isProofOfCrash && aUnshown.empty() && !hasTrialBeside) {
    return CrashEvidence::kAlone;
  }
  if (isTried) {
    return hasTrialBeside ? CrashEvidence::kRunning : CrashEvidence::kNone;
  }
  return aWorker.m_lostInTrial ? CrashEvidence::kShared
                               : CrashEvidence::kRunning;
}

void
WorkerTable::NoteLoss(Worker& aWorker,
                      LossCause aCause,
                      const jobs::Book& aBook,
                      TimePoint aNow)
{
  const WorkerLife& id = aWorker.m_last.m_worker;
  const auto placed = aBook.Placed().find(id);
  const auto unshown = FindUnshown(aWorker, aBook);
  aWorker.m_lostInTrial = HasTrial(aWorker, aBook);
  if (!aWorker.m_lostInTrial) {
    m_lastLossAt = aNow;
  }
  if (placed == aBook.Placed().end()) {
    return;
  }
  const LostWorker lost{ id,
                         aWorker.m_last.m_instance,
                         HasLaterLife(aWorker) ? LossCause::kLaterLife : aCause,
                         aNow - aWorker.m_heardAt,
                         placed->second.size(),
                         unshown.size(),
                         CountLostBeside(aWorker, aBook, aNow) };
  m_lost.push_back(lost);
  if (aWorker.m_last.m_draining || m_cordoned.contains(id)) {
    return;
  }
  for (const jobs::TaskRef& ref : placed->second) {
    const auto evidence = JudgeTask(ref, aWorker, lost, unshown, aBook);
    if (evidence != jobs::CrashEvidence::kNone) {
      aWorker.m_evidence[ref] = evidence;
    }
  }
}

std::vector<jobs::SettleRun>
WorkerTable::FindSettled(const jobs::Book& aBook, TimePoint aNow) const
{
  std::vector<jobs::SettleRun> settled;
  for (const auto& [id, worker] : m_workers) {
    for (const auto& [ref, progress] : worker.m_progress) {
      const bool isAtWork =
        progress.m_percent >= kAtWorkPercent &&
        worker.m_heardAt >= progress.m_since + m_options.m_settledAfter &&
        !IsInDoubt(worker, aNow);
      if (isAtWork && IsExpected(aBook, id, ref, progress.m_run) &&
          StepOf(*aBook.Find(ref.m_job), ref).m_longRunning &&
          !aBook.FindTask(ref)->m_settled) {
        settled.push_back({ ref, progress.m_run });
      }
    }
  }
  return settled;
}

// What an earlier leader sent, and when, is not known. A suspect may have been
// on trial there; of any other task one such loss says little.
jobs::CrashEvidence
WorkerTable::EvidenceOf(const jobs::TaskRef& aTask,
                        const WorkerLife& aWorker,
                        const jobs::Book& aBook) const
{
  if (const Worker* worker = Find(aWorker)) {
    const auto found = worker->m_evidence.find(aTask);
    return found == worker->m_evidence.end() ? jobs::CrashEvidence::kNone
                                             : found->second;
  }
  const jobs::Task& task = *aBook.FindTask(aTask);
  if (task.m_settled || IsGone(aWorker)) {
    return jobs::CrashEvidence::kNone;
  }
  return jobs::IsSuspect(task.m_losses) ? jobs::CrashEvidence::kStarting
                                        : jobs::CrashEvidence::kRunning;
}

std::vector<jobs::EndRun>
WorkerTable::EndAll(const WorkerLife& aWorker,
                    const InstanceId& aInstance,
                    const jobs::Book& aBook,
                    WallTime aWall)
{
  std::vector<jobs::EndRun> ends;
  const auto placed = aBook.Placed().find(aWorker);
  if (placed == aBook.Placed().end()) {
    return ends;
  }
  for (const jobs::TaskRef& ref : placed->second) {
    const auto saved = m_checkpoints.find(ref);
    ends.push_back({ ref,
                     aBook.FindTask(ref)->m_lastRun,
                     jobs::RunEnd::kWorkerLost,
                     saved == m_checkpoints.end() ? "" : saved->second,
                     aWall,
                     EvidenceOf(ref, aWorker, aBook),
                     aInstance });
  }
  return ends;
}

std::vector<jobs::EndRun>
WorkerTable::FindLost(const jobs::Book& aBook, TimePoint aNow, WallTime aWall)
{
  std::vector<jobs::EndRun> ends;
  const auto add = [&](const WorkerLife& aWorker, const InstanceId& aInstance) {
    auto lost = EndAll(aWorker, aInstance, aBook, aWall);
    std::move(lost.begin(), lost.end(), std::back_inserter(ends));
  };
  for (auto& [id, worker] : m_workers) {
    if (!worker.m_silent && aNow > worker.m_leaseEnd) {
      NoteLoss(worker, LossCause::kLeaseEnded, aBook, aNow);
      worker.m_silent = true;
      worker.m_sentAt.clear();
      worker.m_toStop.clear();
    }
    if (worker.m_silent) {
      add(id, worker.m_last.m_instance);
    }
  }
  ForgetContenders(aNow);
  const bool knowsAllLeases = KnowsAllLeases(aNow);
  for (const auto& [id, tasks] : aBook.Placed()) {
    if (m_workers.contains(id)) {
      continue;
    }
    // Placed while the proof of the life's end was on its way: never sent.
    if (IsGone(id)) {
      add(id, InstanceId{});
    } else if (knowsAllLeases) {
      m_lost.push_back({ id,
                         InstanceId{},
                         LossCause::kNeverHeard,
                         aNow - m_leaderSince,
                         tasks.size() });
      add(id, InstanceId{});
    }
  }
  return ends;
}

} // namespace bamboostile::placement
