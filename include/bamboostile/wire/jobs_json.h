#pragma once

#include "bamboostile/jobs/calls.h"
#include "bamboostile/json/fields.h"
#include "bamboostile/placement/workers.h"

namespace bamboostile::wire {

/** Reads a job in the JSON format that docs/INTERFACE.md specifies. */
std::optional<jobs::JobSpec> ReadJobSpec(const std::string& aBody,
                                         json::InvalidField& aBad);
/** Reads the incarnation of a worker that reports its shutdown. */
std::optional<WorkerIncarnation> ReadWorkerLeave(const std::string& aWorker,
                                                 const std::string& aBody,
                                                 json::InvalidField& aBad);
/** Reads a worker's report in the JSON format that docs/INTERFACE.md specifies.
 */
std::optional<placement::WorkerReport> ReadWorkerReport(
  const std::string& aWorker,
  const std::string& aBody,
  json::InvalidField& aBad);
std::string WriteOrders(const placement::Orders& aOrders, Term aFencingToken);
const char* NameOf(jobs::JobView aView) noexcept;

} // namespace bamboostile::wire
