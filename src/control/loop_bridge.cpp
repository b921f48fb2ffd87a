#include "bamboostile/control/loop_bridge.h"

#include "bamboostile/telemetry/log.h"

namespace bamboostile::control {

using telemetry::Level;
using telemetry::LogLine;

LoopBridge::LoopBridge(StageLatencies* aLatencies)
  : m_latencies(aLatencies)
  , m_tasks(*this)
{
  m_tasks.add(Loop());
}

void
LoopBridge::taskFailed(kj::Exception&& aException)
{
  LogLine(Level::kWarning, "a call to control failed")
    .With("reason", std::string{ aException.getDescription().cStr() })
    .Write();
}

void
LoopBridge::Answer(http::Server& aServer, ExchangePtr aExchange, Task aTask)
{
  m_pending.Put({ &aServer, std::move(aExchange), std::move(aTask) });
}

kj::Promise<void>
LoopBridge::Loop()
{
  return m_pending.Take().then([this](const std::vector<Pending>& aPending) {
    for (const Pending& pending : aPending) {
      m_tasks.add(pending.m_task().then(
        [this, server = pending.m_server, exchange = pending.m_exchange](
          http::Response&& aResponse) {
          server->Post([latencies = m_latencies,
                        exchange,
                        response = std::move(aResponse),
                        answeredAt = MonotonicNow()]() {
            if (latencies != nullptr) {
              latencies->Observe(Stage::kAnswerWritten,
                                 MonotonicNow() - answeredAt);
            }
            exchange->Respond(response);
          });
        }));
    }
    return Loop();
  });
}

} // namespace bamboostile::control
