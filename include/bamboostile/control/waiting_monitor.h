#pragma once

#include "bamboostile/placement/planner.h"
#include "bamboostile/telemetry/metrics.h"

namespace bamboostile::control {

/** Logs why long-running tasks wait, and exports how many do, and how long. */
class WaitingMonitor
{
public:
  void OnPlanned(const std::map<jobs::TaskRef, placement::WaitReason>& aWaiting,
                 TimePoint aNow);
  void Export(TimePoint aNow, telemetry::Metrics& aMetrics) const;

private:
  struct Waiting
  {
    TimePoint m_since;
    /** No line on the task is written before. */
    TimePoint m_quietUntil;
    /** The reason last logged. */
    std::optional<placement::WaitReason> m_logged;
  };

  std::map<jobs::TaskRef, Waiting> m_waiting;
};

} // namespace bamboostile::control
