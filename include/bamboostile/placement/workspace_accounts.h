#pragma once

#include "bamboostile/fleet/state.h"
#include "bamboostile/placement/workers.h"
#include "bamboostile/workspaces/accounts.h"
#include "bamboostile/workspaces/share_limiter.h"

namespace bamboostile::placement {

/** Resources of one task that count against the cap of its workspace. They
 * include the CPU of best-effort tasks, which reserve none on their worker. */
workspaces::Resources ChargeOf(const jobs::StepSpec& aStep);

/**
 * Returns what each workspace uses: all runs that have started or may start on
 * an order that was committed, and runs that workers report although the state
 * does not have them there.
 */
workspaces::Accounts ComputeAccounts(const fleet::State& aState,
                                     const WorkerTable& aWorkers,
                                     TimePoint aNow);

/** Returns the share limiter of a new leader, which counts the jobs of each
 * workspace in the state. */
workspaces::ShareLimiter RebuildShares(const fleet::State& aState,
                                       WallTime aWall,
                                       TimePoint aNow);

} // namespace bamboostile::placement
