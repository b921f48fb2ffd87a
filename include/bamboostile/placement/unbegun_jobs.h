#pragma once

#include "bamboostile/placement/workers.h"

#include <map>

namespace bamboostile::placement {

/**
 * @brief Counts the jobs that are started in the state, though none of their
 * runs has begun as far as this leader knows.
 *
 * A start may be placed on a worker that has crashed, or its order may be lost
 * on the way. Only a report that shows the run, or its end, tells that it has
 * begun. Scheduled jobs are left out, as they are never pending.
 */
std::map<QueueId, std::uint64_t> CountUnbegunJobs(const jobs::JobTable& aBook,
                                                  const WorkerTable& aWorkers);

} // namespace bamboostile::placement
