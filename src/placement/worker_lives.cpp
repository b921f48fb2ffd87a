#include "bamboostile/placement/workers.h"

#include <algorithm>

namespace bamboostile::placement {

namespace {

Host
HostOf(const WorkerReport& aReport)
{
  if (aReport.m_instance.Get().empty()) {
    return aReport.m_worker.m_id;
  }
  return aReport.m_instance;
}

} // namespace

const std::vector<WorkerIncarnation>&
WorkerTable::IncarnationsOf(const InstanceId& aInstance) const
{
  static const std::vector<WorkerIncarnation> kNone;
  const auto found = m_incarnations.find(aInstance);
  return found == m_incarnations.end() ? kNone : found->second;
}

bool
WorkerTable::IsAmbiguous(const InstanceId& aInstance) const
{
  const auto& incarnations = IncarnationsOf(aInstance);
  const auto isNotLost = [&](const WorkerIncarnation& aIncarnation) {
    return !Find(aIncarnation)->m_isLost;
  };
  return m_candidates.contains(aInstance) ||
         std::count_if(incarnations.begin(), incarnations.end(), isNotLost) > 1;
}

bool
WorkerTable::HasLaterIncarnation(const Worker& aWorker) const
{
  if (!m_candidates.empty() &&
      m_candidates.contains(HostOf(aWorker.m_lastReport))) {
    return true;
  }
  return HasConfirmedSuccessor(aWorker);
}

bool
WorkerTable::HasConfirmedSuccessor(const Worker& aWorker) const
{
  // Each worker has an instance of its own, and no lookup is needed.
  if (m_incarnations.size() == m_workers.size()) {
    return false;
  }
  const auto& incarnations = IncarnationsOf(aWorker.m_lastReport.m_instance);
  return std::any_of(incarnations.begin(),
                     incarnations.end(),
                     [&](const WorkerIncarnation& aIncarnation) {
                       return aIncarnation != aWorker.m_lastReport.m_worker &&
                              Find(aIncarnation)->m_firstReportAt >
                                aWorker.m_lastReportAt;
                     });
}

std::optional<WorkerIncarnation>
WorkerTable::FindOnlyIncarnation(const WorkerId& aWorker) const
{
  std::optional<WorkerIncarnation> only;
  std::size_t count = 0;
  const auto add = [&](const auto& aIncarnations, const auto& aGetIncarnation) {
    const auto first = aIncarnations.lower_bound(WorkerIncarnation{ aWorker });
    for (auto it = first; it != aIncarnations.end(); ++it) {
      const WorkerIncarnation& incarnation = aGetIncarnation(*it);
      if (incarnation.m_id != aWorker) {
        break;
      }
      only = incarnation;
      ++count;
    }
  };
  const auto fromEntry = [](const auto& aEntry) -> const WorkerIncarnation& {
    return aEntry.first;
  };
  const auto identity =
    [](const WorkerIncarnation& aIncarnation) -> const WorkerIncarnation& {
    return aIncarnation;
  };
  add(m_workers, fromEntry);
  add(m_retired.All(), identity);
  add(m_superseded.All(), identity);
  return count == 1 ? only : std::nullopt;
}

// A report of an early incarnation may arrive after that incarnation has
// ended. If it were taken for a new one, it would end the runs of a worker
// that is cut off but still running, and they would run twice. An incarnation
// therefore has to prove that it follows the current one.
WorkerTable::Admission
WorkerTable::Admit(const WorkerReport& aReport,
                   const jobs::JobTable& aBook,
                   TimePoint aNow,
                   WallTime aWall,
                   ReportResult& aResult)
{
  const WorkerIncarnation& incarnation = aReport.m_worker;
  Admission admission;
  if (!incarnation.HasStartTime()) {
    const auto next = m_workers.upper_bound(incarnation);
    const bool isStartKnown =
      next != m_workers.end() && next->first.m_id == incarnation.m_id;
    if (isStartKnown) {
      admission.m_ignored = IgnoreReason::kUnconfirmed;
    }
    return admission;
  }
  CurrentIncarnation& current = FindCurrent(aReport, aBook, aNow);
  if (current.m_incarnation != incarnation) {
    if (!IsSuccessor(aReport, current, aNow)) {
      admission.m_ignored = IgnoreReason::kUnconfirmed;
      return admission;
    }
    const TimePoint trackedSince = current.m_trackedSince;
    admission.m_health =
      Supersede(current.m_incarnation, aReport, aBook, aNow, aWall, aResult);
    m_superseded.Remove(incarnation);
    m_currentIncarnations[HostOf(aReport)] = { incarnation, trackedSince };
  }
  m_candidates.erase(HostOf(aReport));
  return admission;
}

// This leader knows only those incarnations of an earlier leader that have
// runs in the state.
WorkerTable::CurrentIncarnation&
WorkerTable::FindCurrent(const WorkerReport& aReport,
                         const jobs::JobTable& aBook,
                         TimePoint aNow)
{
  if (!m_recordedIncarnations) {
    m_recordedIncarnations.emplace();
    for (const auto& [incarnation, tasks] : aBook.TasksByWorker()) {
      m_recordedIncarnations->emplace(incarnation.m_id, incarnation);
    }
  }
  const auto [found, isNew] = m_currentIncarnations.try_emplace(
    HostOf(aReport), CurrentIncarnation{ aReport.m_worker, aNow });
  const auto recorded = m_recordedIncarnations->find(aReport.m_worker.m_id);
  if (recorded != m_recordedIncarnations->end()) {
    if (isNew && recorded->second.HasStartTime()) {
      found->second = { recorded->second, m_leaderSince };
    }
    m_recordedIncarnations->erase(recorded);
  }
  return found->second;
}

// If a host has been tracked for longer than reports can be delayed, all its
// earlier incarnations are known, and the wall-clock start time distinguishes
// the next one from one that was missed in between. Otherwise an incarnation
// proves itself by continuing to report while the current one does not. A
// superseded incarnation has lost its runs: it is accepted again only after the
// runs of its successor have ended as well.
bool
WorkerTable::IsSuccessor(const WorkerReport& aReport,
                         const CurrentIncarnation& aCurrent,
                         TimePoint aNow)
{
  const WorkerIncarnation& incarnation = aReport.m_worker;
  const auto [found, isNew] = m_candidates[HostOf(aReport)].try_emplace(
    incarnation, Candidate{ aNow, aNow, aReport.m_sequence });
  Candidate& candidate = found->second;
  if (!isNew && aReport.m_sequence <= candidate.m_sequence) {
    return false;
  }
  candidate.m_lastReportAt = aNow;
  candidate.m_sequence = aReport.m_sequence;
  const bool hasKeptReporting =
    aNow >= candidate.m_since + m_options.m_confirmIncarnationAfter;
  const Worker* worker = Find(aCurrent.m_incarnation);
  if (m_superseded.Contains(incarnation)) {
    return hasKeptReporting && (worker == nullptr || worker->m_isLost);
  }
  const bool isTrackedLongEnough =
    aNow >= aCurrent.m_trackedSince + m_options.m_maxReportDelay;
  return hasKeptReporting ||
         (isTrackedLongEnough &&
          incarnation.m_startedAt > aCurrent.m_incarnation.m_startedAt);
}

HealthRecord
WorkerTable::Supersede(WorkerIncarnation aPrevious,
                       const WorkerReport& aReport,
                       const jobs::JobTable& aBook,
                       TimePoint aNow,
                       WallTime aWall,
                       ReportResult& aResult)
{
  HealthRecord health;
  const auto lost = m_workers.find(aPrevious);
  if (lost != m_workers.end()) {
    Worker& worker = lost->second;
    if (!worker.m_isLost) {
      RecordLoss(worker, LossCause::kLaterIncarnation, aBook, aNow);
    }
    for (const jobs::TaskRef& task : worker.m_lostIsolatedRuns) {
      m_recentLosses.AddIsolated(worker.m_lastReportAt, task);
    }
    if (worker.m_lostIsolatedRuns.empty() &&
        ExemptionOf(worker) == LossExemption::kNone) {
      m_recentLosses.Add(worker.m_lastReportAt, worker.m_lastReport.m_service);
    }
    health = worker.m_health;
  } else if (const auto placed = aBook.TasksByWorker().find(aPrevious);
             placed != aBook.TasksByWorker().end()) {
    m_lost.push_back({ aPrevious,
                       aReport.m_instance,
                       LossCause::kLaterIncarnation,
                       aNow - m_leaderSince,
                       placed->second.size() });
  }
  aResult.m_ends = EndAllRuns(aPrevious, aReport.m_instance, aBook, aWall);
  KeepEvidence(aPrevious, aResult.m_ends);
  aResult.m_changed = true;
  Forget(aPrevious);
  (aPrevious.HasStartTime() ? m_superseded : m_retired).Add(aPrevious);
  aResult.m_superseded = std::move(aPrevious);
  return health;
}

void
WorkerTable::ForgetCandidates(TimePoint aNow)
{
  for (auto& [host, incarnations] : m_candidates) {
    std::erase_if(incarnations, [&](const auto& aEntry) {
      return aNow > aEntry.second.m_lastReportAt + MaxLeaseDuration();
    });
  }
  std::erase_if(m_candidates,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

// A damaged report may have named another instance since the first one, so all
// instances are searched.
void
WorkerTable::Forget(const WorkerIncarnation& aWorker)
{
  m_workers.erase(aWorker);
  for (auto& [instance, incarnations] : m_incarnations) {
    std::erase(incarnations, aWorker);
  }
  std::erase_if(m_incarnations,
                [](const auto& aEntry) { return aEntry.second.empty(); });
  std::erase_if(m_currentIncarnations, [&](const auto& aEntry) {
    return aEntry.second.m_incarnation == aWorker;
  });
}

void
WorkerTable::KeepEvidence(const WorkerIncarnation& aWorker,
                          const std::vector<jobs::EndRun>& aEnds)
{
  for (const jobs::EndRun& end : aEnds) {
    m_evidenceOfEnded[{ aWorker, end.m_task }] = end.m_evidence;
  }
}

std::vector<jobs::EndRun>
WorkerTable::Retire(const WorkerIncarnation& aWorker,
                    const jobs::JobTable& aBook,
                    WallTime aWall)
{
  m_retired.Add(aWorker);
  const Worker* worker = Find(aWorker);
  const InstanceId instance =
    worker == nullptr ? InstanceId{} : worker->m_lastReport.m_instance;
  auto ends = EndAllRuns(aWorker, instance, aBook, aWall);
  KeepEvidence(aWorker, ends);
  Forget(aWorker);
  return ends;
}

// The incarnation that an order addressed may have ended unnoticed before, and
// the next one may have reported while the order was under way. That one has
// ended too, and its pending starts will never run.
std::vector<jobs::EndRun>
WorkerTable::RetireInstance(const WorkerIncarnation& aWorker,
                            TimePoint aFirstReportBefore,
                            const jobs::JobTable& aBook,
                            WallTime aWall)
{
  std::vector<WorkerIncarnation> ended;
  if (const Worker* worker = Find(aWorker)) {
    for (const WorkerIncarnation& incarnation :
         IncarnationsOf(worker->m_lastReport.m_instance)) {
      if (incarnation != aWorker &&
          Find(incarnation)->m_firstReportAt < aFirstReportBefore) {
        ended.push_back(incarnation);
      }
    }
  }
  auto ends = Retire(aWorker, aBook, aWall);
  for (const WorkerIncarnation& incarnation : ended) {
    const auto more = Retire(incarnation, aBook, aWall);
    ends.insert(ends.end(), more.begin(), more.end());
  }
  return ends;
}

} // namespace bamboostile::placement
