#pragma once

#include "bamboostile/placement/planner.h"
#include "bamboostile/telemetry/metrics.h"

namespace bamboostile::control {

/** Logs why suspects and long-running tasks wait, for how long, and where
 * long-running tasks restart, and exports how many wait. */
class WaitingMonitor
{
public:
  void OnPlanned(
    const std::map<jobs::TaskRef, placement::WaitingTask>& aWaiting,
    TimePoint aNow);
  /** aRestarts: of one pass. */
  static void OnRestarted(const std::vector<placement::Restart>& aRestarts);
  /** aLongestWithoutRun: of the long-running tasks that do not wait. */
  void Export(TimePoint aNow,
              telemetry::Metrics& aMetrics,
              Millis aLongestWithoutRun = {}) const;

private:
  struct Waiting
  {
    TimePoint m_since;
    placement::WaitingTask m_last;
    /** No line on the task is written before. */
    TimePoint m_quietUntil;
    /** A line is due from then on, also if the reason is the same. */
    TimePoint m_repeatAt;
    /** The reason last logged. */
    std::optional<placement::WaitReason> m_logged;

    Duration WaitedAt(TimePoint aNow) const;
  };

  static void Log(const char* aMessage,
                  const jobs::TaskRef& aTask,
                  const Waiting& aWaiting,
                  TimePoint aNow);

  std::map<jobs::TaskRef, Waiting> m_waiting;
};

} // namespace bamboostile::control
