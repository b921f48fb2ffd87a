#pragma once

#include "bamboostile/fleet/state.h"
#include "bamboostile/placement/workers.h"

#include <optional>

namespace bamboostile::placement {

/** Returns why a report is not taken for one of this fleet's workers, or
 * nothing if it is, or if there are no routes to tell it by. aKnown: the
 * incarnation that the report names, or null if it has not reported to this
 * leader. */
std::optional<IgnoreReason> CheckOrigin(const WorkerReport& aReport,
                                        const fleet::State& aState,
                                        const Worker* aKnown);

/** Removes the entries of pools that are not of this fleet, if there are
 * routes. Each of them counts as one that names no worker. */
void RemoveForeignEntries(ListedInstances& aList, const fleet::State& aState);

} // namespace bamboostile::placement
