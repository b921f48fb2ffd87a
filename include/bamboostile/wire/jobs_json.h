#pragma once

#include "bamboostile/jobs/calls.h"
#include "bamboostile/json/fields.h"
#include "bamboostile/placement/workers.h"

namespace bamboostile::wire {

/** The JSON of jobs and of workers' reports, as docs/INTERFACE.md has it. */
std::optional<jobs::JobSpec> ReadJobSpec(const std::string& aBody,
                                         json::BadField& aBad);
/** The life that says it ends now. */
std::optional<WorkerLife> ReadWorkerLeave(const std::string& aWorker,
                                          const std::string& aBody,
                                          json::BadField& aBad);
std::optional<placement::WorkerReport> ReadWorkerReport(
  const std::string& aWorker,
  const std::string& aBody,
  json::BadField& aBad);
std::string WriteOrders(const placement::Orders& aOrders, Term aFencingToken);
const char* NameOf(jobs::JobView aView) noexcept;

} // namespace bamboostile::wire
