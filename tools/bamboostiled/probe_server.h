#pragma once

#include "bamboostile/control/worker_api.h"
#include "bamboostile/settings/settings.h"

namespace bamboostile::daemon {

/** Serves health, readiness, metrics and the worker API over HTTP in a process
 * without an entry. */
class ProbeServer
{
public:
  ProbeServer(const settings::Address& aAddress,
              control::JobService& aJobs,
              const http::ClientLimits& aLimits,
              std::string& aReason);

  bool IsStarted() const { return m_started; }
  /** Sets readiness and the text of /metrics. Thread-safe. */
  void Publish(bool aReady, std::string aMetrics);

private:
  void Answer(const std::shared_ptr<http::Exchange>& aExchange);

  bool m_ready = false;
  std::string m_metrics;
  bool m_started = false;
  control::WorkerApi m_workerApi;
  std::unique_ptr<http::Server> m_server;
};

} // namespace bamboostile::daemon
