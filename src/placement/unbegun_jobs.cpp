#include "bamboostile/placement/unbegun_jobs.h"

#include "run_lookup.h"

#include <algorithm>
#include <set>

namespace bamboostile::placement {

namespace {

/** Returns whether the worker's last report shows the run; the end of a run is
 * shown until it is committed. */
bool
IsShown(const Worker* aWorker, const jobs::TaskRef& aTask, RunNumber aRun)
{
  return aWorker != nullptr &&
         (Contains(aWorker->m_lastReport.m_active, aTask, aRun) ||
          Contains(aWorker->m_lastReport.m_ended, aTask, aRun));
}

bool
HasBegun(const jobs::Job& aJob, const WorkerTable& aWorkers)
{
  const auto& steps = aJob.m_occurrences.at(0).m_steps;
  for (std::uint32_t step = 0; step < steps.size(); ++step) {
    if (steps[step].m_done > 0) {
      return true;
    }
    for (std::uint32_t i = 0; i < steps[step].m_tasks.size(); ++i) {
      const jobs::Task& task = steps[step].m_tasks[i];
      const bool isShown = task.m_phase == jobs::TaskPhase::kRunning &&
                           IsShown(aWorkers.Find(task.m_worker),
                                   { aJob.m_id, 0, step, i },
                                   task.m_lastRun);
      if (isShown || jobs::HasProgress(task)) {
        return true;
      }
    }
  }
  return false;
}

} // namespace

std::map<QueueId, std::uint64_t>
CountUnbegunJobs(const jobs::JobTable& aBook, const WorkerTable& aWorkers)
{
  std::set<const jobs::Job*> candidates;
  for (const auto& [incarnation, tasks] : aBook.TasksByWorker()) {
    const Worker* worker = aWorkers.Find(incarnation);
    for (const jobs::TaskRef& ref : tasks) {
      if (!IsShown(worker, ref, aBook.FindTask(ref)->m_lastRun)) {
        candidates.insert(aBook.Find(ref.m_job));
      }
    }
  }
  std::map<QueueId, std::uint64_t> unbegun;
  for (const jobs::Job* job : candidates) {
    const bool isCounted = job->m_state == jobs::JobState::kActive &&
                           job->m_spec.m_repeatCount == 0 && job->m_started;
    if (isCounted && !HasBegun(*job, aWorkers)) {
      ++unbegun[job->m_queue];
    }
  }
  return unbegun;
}

} // namespace bamboostile::placement
