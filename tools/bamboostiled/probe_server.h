#pragma once

#include "bamboostile/control/worker_api.h"
#include "bamboostile/settings/settings.h"

namespace bamboostile::daemon {

/** Health, readiness and workers' reports of a process that takes no
 * callers. */
class ProbeServer
{
public:
  ProbeServer(const settings::Address& aAddress,
              control::JobService& aJobs,
              std::string& aReason);

  bool IsStarted() const { return m_started; }
  /** From any thread. */
  void Publish(bool aReady, std::string aMetrics);

private:
  void Answer(const std::shared_ptr<http::Exchange>& aExchange);

  bool m_ready = false;
  std::string m_metrics;
  bool m_started = false;
  control::WorkerApi m_workers;
  std::unique_ptr<http::Server> m_server;
};

} // namespace bamboostile::daemon
