#include "run_lookup.h"

#include "bamboostile/placement/workers.h"

#include <algorithm>
#include <map>

namespace bamboostile::placement {

namespace {

/** Time after which a new leader takes a worker without a report for one that
 * may have ended. Live workers report within it. */
constexpr Duration kFirstReportTimeout = Millis{ 700 };
/** Minimum number of workers that report for each of them that a list does not
 * name: those that crashed since their last report. */
constexpr std::size_t kMinWorkersPerMissing = 8;

} // namespace

/** The instances and workers of a list. */
class WorkerTable::ListIndex
{
public:
  explicit ListIndex(const InstanceList& aList)
    : m_namesAllWorkers(aList.m_unnamedWorkerCount == 0)
  {
    for (const ListedInstance& instance : aList.m_instances) {
      const auto [found, isNew] =
        m_byInstance.try_emplace(instance.m_id, &instance);
      if (!isNew) {
        found->second = nullptr;
      }
      m_workers.insert(instance.m_worker);
    }
  }

  bool HasWorker(const WorkerId& aWorker) const
  {
    return m_workers.contains(aWorker);
  }

  /** Whether a worker that the list does not name is missing in it. Any worker
   * may be that of an entry that does not name its own. */
  bool NamesAllWorkers() const { return m_namesAllWorkers; }

  /** Whether the worker's instance is listed without it. An instance that is
   * listed twice proves nothing. */
  bool ShowsEndOf(const WorkerReport& aLastReport) const
  {
    const auto found = m_byInstance.find(aLastReport.m_instance);
    if (found == m_byInstance.end() || found->second == nullptr ||
        HasWorker(aLastReport.m_worker.m_id)) {
      return false;
    }
    const ListedInstance& listed = *found->second;
    switch (listed.m_state) {
      case InstanceState::kUnknown:
        return false;
      case InstanceState::kUp:
        return !listed.m_worker.Get().empty();
      case InstanceState::kMoving:
      case InstanceState::kMaintenance:
      case InstanceState::kDown:
        return true;
    }
    return false;
  }

private:
  /** Null for an instance that is listed more than once. */
  std::map<InstanceId, const ListedInstance*> m_byInstance;
  std::set<WorkerId> m_workers;
  bool m_namesAllWorkers;
};

namespace {

bool
HasLongRunning(const std::vector<jobs::TaskRef>& aTasks,
               const jobs::JobTable& aBook)
{
  return std::any_of(
    aTasks.begin(), aTasks.end(), [&](const jobs::TaskRef& aTask) {
      return StepOf(*aBook.Find(aTask.m_job), aTask).m_longRunning;
    });
}

} // namespace

bool
WorkerTable::NeedsList(const jobs::JobTable& aBook, TimePoint aNow) const
{
  const auto mayHaveEnded = [&](const WorkerIncarnation& aId) {
    const Worker* worker = Find(aId);
    if (worker != nullptr) {
      return !worker->m_isLost && !worker->m_listedEndAt &&
             IsUnresponsive(*worker, aNow);
    }
    return aNow >= m_leaderSince + kFirstReportTimeout && !HasEnded(aId) &&
           !m_missingTwice.contains(aId);
  };
  const auto& placed = aBook.TasksByWorker();
  return std::any_of(placed.begin(), placed.end(), [&](const auto& aEntry) {
    return mayHaveEnded(aEntry.first) && HasLongRunning(aEntry.second, aBook);
  });
}

// Each entry of a list is no older than its request. A worker that existed
// before the request, and whose instance is listed without it, has ended: an
// instance never returns to an earlier worker. A worker that reports has not
// ended, whatever instance it names. The instance of a worker that has not
// reported to this leader is unknown, so such a worker has to be missing
// altogether. Lists are read page by page, and one that shifts between two
// pages may leave out a live worker, but not twice in a row. A list that leaves
// out many workers that report proves nothing, and neither does one with an
// entry of another writer, which may stand in place of a worker's own.
void
WorkerTable::OnListed(const InstanceList& aList, const jobs::JobTable& aBook)
{
  const ListIndex index{ aList };
  for (auto& [id, worker] : m_workers) {
    if (!worker.m_isLost && !worker.m_listedEndAt &&
        IsUnresponsive(worker, aList.m_askedAt) &&
        index.ShowsEndOf(worker.m_lastReport)) {
      worker.m_listedEndAt = aList.m_askedAt;
    }
  }
  const auto missingBefore = std::exchange(m_missingOnce, {});
  m_missingTwice.clear();
  if (!index.NamesAllWorkers() || !NamesMostWorkers(index, aList.m_askedAt)) {
    return;
  }
  for (const auto& [id, tasks] : aBook.TasksByWorker()) {
    if (m_workers.contains(id) || HasEnded(id) || index.HasWorker(id.m_id)) {
      continue;
    }
    m_missingOnce.insert(id);
    if (missingBefore.contains(id)) {
      m_missingTwice.insert(id);
    }
  }
}

bool
WorkerTable::NamesMostWorkers(const ListIndex& aIndex, TimePoint aAskedAt) const
{
  std::size_t reporting = 0;
  std::size_t missing = 0;
  for (const auto& [id, worker] : m_workers) {
    if (!IsUnresponsive(worker, aAskedAt) &&
        worker.m_firstReportAt < aAskedAt) {
      ++reporting;
      missing += aIndex.HasWorker(id.m_id) ? 0 : 1;
    }
  }
  return reporting > missing * kMinWorkersPerMissing;
}

// The evidence depends on which other workers were lost at about the same time.
// Those count as unresponsive only after a while. Where a rack or more is lost
// again and again, a task that restarts sooner is lost more often, and each
// loss makes it more of a suspect. There, only tasks whose restart was lost
// with the worker are spared the rest of the lease.
bool
WorkerTable::HasListedEnd(Worker& aWorker,
                          const jobs::JobTable& aBook,
                          TimePoint aNow) const
{
  const bool isAssessable =
    aWorker.m_listedEndAt && aNow >= aWorker.m_lastReportAt +
                                       m_options.m_unresponsiveAfter +
                                       kConcurrentLossWindow;
  if (!isAssessable) {
    return false;
  }
  if (!aWorker.m_isDistinctLoss) {
    const LossCount others = CountLossesAround(aWorker,
                                               kConcurrentLossWindow,
                                               m_options.m_unresponsiveAfter,
                                               aBook,
                                               aNow);
    aWorker.m_isDistinctLoss =
      IsLossDistinct(others, CountWorkers(aWorker.m_lastReport.m_service));
  }
  return *aWorker.m_isDistinctLoss || AwaitsRestart(aWorker, aBook);
}

bool
WorkerTable::HasListedEnd(const WorkerIncarnation& aUnseen,
                          TimePoint aNow) const
{
  return m_missingTwice.contains(aUnseen) &&
         aNow >= m_leaderSince + m_options.m_unresponsiveAfter;
}

} // namespace bamboostile::placement
