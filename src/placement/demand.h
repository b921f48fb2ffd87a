#pragma once

#include "bamboostile/fleet/state.h"
#include "bamboostile/placement/durations.h"

namespace bamboostile::placement {

/** What tasks that end by themselves ask for. */
struct Load
{
  /** CPU times duration, in thousandths of a core times ms. */
  std::int64_t m_work = 0;
  /** CPU that can be in use at once, in thousandths of a core. */
  std::int64_t m_atOnce = 0;

  /** CPU that works it off in that time, but no more than can be in use. */
  std::int64_t CpuToWorkOffIn(Millis aTime) const;
};

/** What the jobs of one service ask for. */
struct Demand
{
  /** What can still be in time, and what is late. */
  Load m_fresh;
  Load m_late;
  std::int64_t m_longRunningCpu = 0;
  /** Workers that long-running tasks need to stay apart. */
  std::size_t m_spread = 0;
  /** Tasks that each need a worker to themselves to be tried on. */
  std::size_t m_trials = 0;

  void Add(const jobs::Job& aJob,
           const fleet::QueueRoute& aRoute,
           const Durations& aDurations,
           WallTime aWall);

  void AddTrials(const jobs::Job& aJob);

private:
  void AddLongRunning(const jobs::StepSpec& aStep);
  /** Adds to aLoad what ends by itself, to this what does not. */
  void Add(const jobs::Job& aJob,
           const jobs::Occurrence& aOccurrence,
           const Durations& aDurations,
           Load& aLoad);
};

} // namespace bamboostile::placement
