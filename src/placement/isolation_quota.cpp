#include "isolation_quota.h"

#include <algorithm>

namespace bamboostile::placement {

namespace {

/** One of this many workers is reserved for jobs whose suspects come later. */
constexpr std::size_t kReservationDivisor = 4;
/** Minimum number of workers reserved in the same way from tasks that are not
 * long-running. In a small pool, all suspects of one job at a time would leave
 * no worker to other jobs. */
constexpr std::size_t kMinReserved = 3;

} // namespace

void
IsolationQuota::AddWaiting(const JobId& aJob)
{
  if (!m_jobsWithRuns.contains(aJob)) {
    m_jobsWithoutRuns.insert(aJob);
  }
}

void
IsolationQuota::AddRun(const jobs::TaskRef& aTask,
                       bool aHasProof,
                       std::size_t aWorkers)
{
  m_workers += aWorkers;
  m_jobsWithRuns.insert(aTask.m_job);
  m_jobsWithoutRuns.erase(aTask.m_job);
  if (aHasProof) {
    m_runsWithProof.try_emplace(aTask.m_job, aTask);
  }
}

// Most suspects are healthy: a crash makes suspects of all tasks that had just
// been started there. One after the other, the tasks of a job would wait in
// proportion to the damage. But a crashing task occupies its worker for
// seconds, so further runs of a job leave workers to other jobs.
bool
IsolationQuota::MayStart(const JobId& aJob, bool aIsLongRunning) const
{
  if (!m_jobsWithRuns.contains(aJob)) {
    return m_workers < m_maxWorkers;
  }
  const std::size_t reserved =
    m_jobsWithoutRuns.size() + ReservedForLaterJobs(aIsLongRunning);
  return m_workers + reserved < m_maxWorkers;
}

std::size_t
IsolationQuota::ReservedForLaterJobs(bool aIsLongRunning) const
{
  const std::size_t share =
    (m_maxWorkers + kReservationDivisor - 1) / kReservationDivisor;
  return aIsLongRunning ? share : std::max(share, kMinReserved);
}

const jobs::TaskRef*
IsolationQuota::FindRunWithProof(const JobId& aJob) const
{
  const auto found = m_runsWithProof.find(aJob);
  return found == m_runsWithProof.end() ? nullptr : &found->second;
}

} // namespace bamboostile::placement
