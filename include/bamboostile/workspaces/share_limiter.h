#pragma once

#include "bamboostile/units/time.h"
#include "bamboostile/workspaces/directory.h"
#include "bamboostile/workspaces/model.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bamboostile::workspaces {

/** How a job that a workspace submits now relates to its share. */
struct ShareUse
{
  /** The workspace has sent more jobs than its weight covers. */
  bool m_isBeyond = false;
  /** Set if it has sent so many more that another one would not be served in
   * time while the capacity is in use: time until one may be. */
  std::optional<Millis> m_retryAfter;
};

/** A job of a workspace, as the replicated state has it. */
struct AcceptedJob
{
  WorkspaceId m_workspace;
  /** Rank in order of acceptance. */
  std::uint64_t m_order = 0;
  /** Wall-clock time since 1970, by the clock of the leader of that time. */
  Millis m_acceptedAt{};
};

/**
 * @brief Measures the jobs of each workspace against its weight, in jobs per
 * second: a token bucket that holds a second's jobs and may be overdrawn.
 */
class ShareLimiter
{
public:
  ShareUse Assess(const WorkspaceId& aWorkspace,
                  double aWeight,
                  TimePoint aNow);
  /** Counts a job that was accepted. */
  void Charge(const WorkspaceId& aWorkspace, double aWeight, TimePoint aNow);

  /** Returns the limiter of a new leader: charges the given jobs by the weights
   * in force. aWall: the wall-clock time at aNow. */
  static ShareLimiter Rebuild(std::vector<AcceptedJob> aJobs,
                              const Directory& aDirectory,
                              Millis aWall,
                              TimePoint aNow);

private:
  struct Bucket
  {
    double m_tokens = 0;
    TimePoint m_refilledAt;
  };

  Bucket& Refill(const WorkspaceId& aWorkspace, double aWeight, TimePoint aNow);

  std::unordered_map<WorkspaceId, Bucket> m_buckets;
};

} // namespace bamboostile::workspaces
