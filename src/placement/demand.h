#pragma once

#include "bamboostile/fleet/state.h"
#include "bamboostile/placement/unplaced_tasks.h"
#include "bamboostile/placement/workers.h"

#include <vector>

namespace bamboostile::placement {

/** Demand of tasks that end by themselves. */
struct Load
{
  /** CPU times duration, in thousandths of a core times ms. */
  std::int64_t m_work = 0;
  /** CPU that tasks can use concurrently, in thousandths of a core. */
  std::int64_t m_maxConcurrentCpu = 0;

  /** Returns the CPU that completes the work in aTime, but no more than can be
   * used concurrently. */
  std::int64_t CpuToFinishIn(Millis aTime) const;
};

/** Demand of all jobs of a service. */
struct Demand
{
  /** Jobs that can still be done in time. */
  Load m_onTime;
  /** Jobs that are late, but whose callers still wait. */
  Load m_late;
  std::vector<TaskGroup> m_longRunningSteps;
  /** Those of them that have had runs. */
  std::vector<TaskGroup> m_startedSteps;
  /** Work of the jobs accepted since the last tick, in the unit of Load. */
  std::int64_t m_arrivedWork = 0;
  /** Suspects that each need a worker of their own for an isolated run. */
  std::size_t m_isolatedRuns = 0;

  /** aEstimates: how long a task of each step takes. */
  void Add(const jobs::Job& aJob,
           const fleet::QueueRoute& aRoute,
           const std::vector<Millis>& aEstimates,
           WallTime aWall);

  /** A scheduled job does not count: it is known ahead of its start, and its
   * occurrences are demand when they are due. */
  void AddArrival(const jobs::Job& aJob, const std::vector<Millis>& aEstimates);

  void AddIsolatedRuns(const jobs::Job& aJob);

  /** CPU of workers of this size that long-running tasks reserve, in
   * thousandths of a core; memory counts in proportion. */
  std::int64_t LongRunningCpu(const jobs::Resources& aWorker) const;
  /** Number of workers of this size on which all of the tasks fit, given the
   * limits per worker of their steps. */
  static std::size_t MinWorkers(std::vector<TaskGroup> aTasks,
                                const jobs::Resources& aWorker);

private:
  /** Adds tasks that end by themselves to aLoad, long-running ones to this. */
  void Add(const jobs::Job& aJob,
           const jobs::Occurrence& aOccurrence,
           const std::vector<Millis>& aEstimates,
           Load& aLoad);
};

} // namespace bamboostile::placement
