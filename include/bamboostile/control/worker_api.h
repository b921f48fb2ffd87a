#pragma once

#include "bamboostile/control/job_service.h"
#include "bamboostile/control/loop_bridge.h"

namespace bamboostile::control {

/**
 * @brief Handles workers' requests at a control replica's HTTP address: POST
 * /v1/workers/{id}/report and /v1/workers/{id}/leave.
 *
 * A replica that does not lead answers 503; the worker then tries the next one.
 */
class WorkerApi
{
public:
  explicit WorkerApi(JobService& aJobs)
    : m_jobs(aJobs)
    , m_bridge(&aJobs.LeaderLatencies())
  {
  }

  /** Called on the server's thread; returns false if the request is not one of
   * these. */
  bool Handle(http::Server& aServer,
              const std::shared_ptr<http::Exchange>& aExchange);

private:
  JobService& m_jobs;
  LoopBridge m_bridge;
};

} // namespace bamboostile::control
