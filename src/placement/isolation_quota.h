#pragma once

#include "bamboostile/jobs/model.h"

#include <map>
#include <set>

namespace bamboostile::placement {

/**
 * @brief Shares the workers of a pool that may have isolated runs among jobs.
 *
 * Answers how many suspects of a job may be isolated at the same time when a
 * crash makes suspects of many tasks at once. Runs that share a worker are not
 * counted.
 */
class IsolationQuota
{
public:
  explicit IsolationQuota(std::size_t aMaxWorkers)
    : m_maxWorkers(aMaxWorkers)
  {
  }

  /** The job has suspects that wait for an isolated run. */
  void AddWaiting(const JobId& aJob);
  /** aWorkers: more than one for a gang. */
  void AddRun(const jobs::TaskRef& aTask,
              bool aHasProof,
              std::size_t aWorkers = 1);
  bool MayStart(const JobId& aJob, bool aIsLongRunning) const;
  /** The job's isolated run of a task with a proof; null if there is none. */
  const jobs::TaskRef* FindRunWithProof(const JobId& aJob) const;

private:
  std::size_t ReservedForLaterJobs(bool aIsLongRunning) const;

  std::size_t m_maxWorkers = 0;
  std::size_t m_workers = 0;
  std::set<JobId> m_jobsWithRuns;
  std::set<JobId> m_jobsWithoutRuns;
  std::map<JobId, jobs::TaskRef> m_runsWithProof;
};

} // namespace bamboostile::placement
