#include "run_lookup.h"

#include "bamboostile/jobs/crash_loop.h"
#include "bamboostile/placement/workers.h"

#include <algorithm>

namespace bamboostile::placement {

// A worker that has crashed looks idle: none of its runs ends, and none is
// added. Until it counts as unresponsive, only its overdue report gives it
// away.
LossRisk
WorkerTable::AssessRisk(const Worker& aWorker,
                        const jobs::JobTable& aBook,
                        TimePoint aNow) const
{
  if (aNow >= aWorker.m_reportDueAt) {
    return LossRisk::kReportOverdue;
  }
  const WorkerReport& report = aWorker.m_lastReport;
  const auto placed = aBook.TasksByWorker().find(report.m_worker);
  if (placed == aBook.TasksByWorker().end()) {
    return LossRisk::kNone;
  }
  const std::vector<jobs::TaskRef>& tasks = placed->second;
  const auto isUnconfirmed = [&](const jobs::TaskRef& aTask) {
    const RunNumber run = aBook.FindTask(aTask)->m_lastRun;
    return !Contains(report.m_active, aTask, run) &&
           !Contains(report.m_ended, aTask, run);
  };
  if (std::any_of(tasks.begin(), tasks.end(), isUnconfirmed)) {
    return LossRisk::kUnconfirmedStart;
  }
  const auto isSuspect = [&](const jobs::TaskRef& aTask) {
    return aBook.HasLosses(aTask.m_job) && !aBook.FindTask(aTask)->m_isStable &&
           jobs::IsSuspect(aBook.LossesOf(aTask));
  };
  if (!aBook.TasksWithLosses().empty() &&
      std::any_of(tasks.begin(), tasks.end(), isSuspect)) {
    return LossRisk::kSuspect;
  }
  const bool hasRecent = std::any_of(
    aWorker.m_progress.begin(),
    aWorker.m_progress.end(),
    [&](const auto& aEntry) {
      return aNow < aEntry.second.m_shownSince + m_options.m_recentRunPeriod;
    });
  return hasRecent ? LossRisk::kRecentRun : LossRisk::kNone;
}

bool
WorkerTable::AwaitsRestart(const Worker& aWorker,
                           const jobs::JobTable& aBook) const
{
  const WorkerReport& report = aWorker.m_lastReport;
  const auto placed = aBook.TasksByWorker().find(report.m_worker);
  if (placed == aBook.TasksByWorker().end()) {
    return false;
  }
  return std::any_of(
    placed->second.begin(), placed->second.end(), [&](const auto& aTask) {
      const jobs::Task& task = *aBook.FindTask(aTask);
      return task.m_lastRun > RunNumber{ 1 } &&
             StepOf(*aBook.Find(aTask.m_job), aTask).m_longRunning &&
             !Contains(report.m_active, aTask, task.m_lastRun) &&
             !Contains(report.m_ended, aTask, task.m_lastRun);
    });
}

Millis
WorkerTable::LongestWithoutRun(const jobs::JobTable& aBook,
                               WallTime aWall) const
{
  std::optional<WallTime> earliest;
  for (const auto& [id, tasks] : aBook.TasksByWorker()) {
    const Worker* worker = Find(id);
    for (const jobs::TaskRef& ref : tasks) {
      const jobs::Task& task = *aBook.FindTask(ref);
      if (!StepOf(*aBook.Find(ref.m_job), ref).m_longRunning) {
        continue;
      }
      const bool isShown =
        worker != nullptr &&
        Contains(worker->m_lastReport.m_active, ref, task.m_lastRun);
      const std::optional<WallTime> until =
        isShown ? worker->m_lastReportWall : task.m_ranUntil;
      if (until && (!earliest || *until < *earliest)) {
        earliest = until;
      }
    }
  }
  return earliest ? std::max(Millis{}, Millis{ aWall.Get() - earliest->Get() })
                  : Millis{};
}

} // namespace bamboostile::placement
