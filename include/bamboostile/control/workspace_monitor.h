#pragma once

#include "bamboostile/fleet/state.h"
#include "bamboostile/placement/workers.h"
#include "bamboostile/telemetry/metrics.h"
#include "bamboostile/workspaces/accounts.h"

#include <map>
#include <string>

namespace bamboostile::control {

/**
 * @brief What this leader observes of workspaces, for operators: which are at
 * their cap, and how many of their calls were accepted and refused.
 */
class WorkspaceMonitor
{
public:
  void OnAccepted(const WorkspaceId& aWorkspace);
  void OnRefused(const WorkspaceId& aWorkspace);

  /** Logs workspaces that reach their cap or are below it again. aAtCap: those
   * with tasks that wait for it. */
  void OnPlanned(const std::map<WorkspaceId, workspaces::Account>& aAtCap,
                 std::uint64_t aVersion,
                 TimePoint aNow);

  /** Returns the workspaces with share, cap and use as a JSON document. */
  std::string Report(const fleet::State& aState,
                     const placement::WorkerTable& aWorkers,
                     TimePoint aNow) const;

  /** Sets the metrics of each workspace, of at most kMaxWorkspaces. */
  void Export(const fleet::State& aState,
              const placement::WorkerTable& aWorkers,
              TimePoint aNow,
              telemetry::Metrics& aMetrics) const;

  /** Bounds the memory of whatever reads the metrics. */
  static constexpr std::size_t kMaxWorkspaces = 1000;

private:
  struct Counts
  {
    std::uint64_t m_accepted = 0;
    std::uint64_t m_refused = 0;
  };

  /** When tasks of a workspace first and last waited for its cap. */
  struct AtCap
  {
    TimePoint m_since;
    TimePoint m_lastAt;
  };

  Counts CountsOf(const WorkspaceId& aWorkspace) const;

  std::map<WorkspaceId, Counts> m_counts;
  std::map<WorkspaceId, AtCap> m_atCap;
};

} // namespace bamboostile::control
