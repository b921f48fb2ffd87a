#pragma once

#include "bamboostile/control/job_service.h"
#include "bamboostile/control/loop_bridge.h"

namespace bamboostile::control {

/**
 * @brief Workers' reports at a control replica's HTTP address:
 * POST /v1/workers/{id}/report and /v1/workers/{id}/leave.
 *
 * A replica that does not lead answers 503; the worker asks the next.
 */
class WorkerApi
{
public:
  explicit WorkerApi(JobService& aJobs)
    : m_jobs(aJobs)
    , m_bridge(&aJobs.LeaderPace())
  {
  }

  /** On the server's thread; false where the path is none of these. */
  bool Handle(http::Server& aServer,
              const std::shared_ptr<http::Exchange>& aExchange);

private:
  JobService& m_jobs;
  LoopBridge m_bridge;
};

} // namespace bamboostile::control
