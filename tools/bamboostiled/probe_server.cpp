#include "probe_server.h"

namespace bamboostile::daemon {

ProbeServer::ProbeServer(const settings::Address& aAddress,
                         control::JobService& aJobs,
                         const http::ClientLimits& aLimits,
                         std::string& aReason)
  : m_workerApi(aJobs)
{
  http::ServerOptions options;
  options.m_address = aAddress.m_host;
  options.m_port = aAddress.m_port;
  options.m_memory = aLimits.m_memory;
  options.m_maxConnections = aLimits.m_requestConnections;
  m_server = std::make_unique<http::Server>(
    options, [this](const std::shared_ptr<http::Exchange>& aExchange) {
      Answer(aExchange);
    });
  m_started = m_server->Start(aReason);
}

void
ProbeServer::Publish(bool aReady, std::string aMetrics)
{
  m_server->Post([this, aReady, text = std::move(aMetrics)]() {
    m_ready = aReady;
    m_metrics = text;
  });
}

void
ProbeServer::Answer(const std::shared_ptr<http::Exchange>& aExchange)
{
  if (m_workerApi.Handle(*m_server, aExchange)) {
    return;
  }
  const std::string& target = aExchange->Incoming().m_target;
  http::Response response;
  response.m_headers.push_back({ "Content-Type", "text/plain" });
  if (target == "/metrics") {
    response.m_body = m_metrics;
  } else if (target == "/healthz") {
    response.m_body = "ok\n";
  } else if (target == "/readyz") {
    response.m_status = m_ready ? 200 : 503;
    response.m_body = m_ready ? "ready\n" : "no leader is known\n";
  } else {
    response.m_status = 404;
  }
  aExchange->Respond(std::move(response));
}

} // namespace bamboostile::daemon
