#include "bamboostile/entry/queue_gateway.h"

#include "bamboostile/telemetry/log.h"

namespace bamboostile::entry {

using telemetry::Level;
using telemetry::LogLine;

QueueGateway::QueueGateway(kj::AsyncIoProvider& aProvider,
                           std::vector<std::string> aSeeds)
  : m_leader(aProvider, std::move(aSeeds))
  , m_tasks(*this)
{
  m_tasks.add(Loop());
}

void
QueueGateway::taskFailed(kj::Exception&& aException)
{
  LogLine(Level::kWarning, "queue gateway task failed")
    .With("reason", std::string{ aException.getDescription().cStr() })
    .Write();
}

void
QueueGateway::Call(jobs::QueueCall aCall,
                   Done aDone,
                   std::optional<Duration> aTimeout)
{
  m_pending.Put({ std::move(aCall), std::move(aDone), aTimeout });
}

kj::Promise<void>
QueueGateway::Loop()
{
  return m_pending.Take().then([this](std::vector<Pending> aPending) {
    for (Pending& pending : aPending) {
      const jobs::CallKind kind = pending.m_call.m_kind;
      const std::string path = pending.m_call.m_path;
      m_tasks.add(m_leader.Call(std::move(pending.m_call), pending.m_timeout)
                    .then([kind, path, done = std::move(pending.m_done)](
                            const jobs::QueueReply& aReply) {
                      if (aReply.m_outcome != jobs::QueueOutcome::kOk) {
                        LogLine(Level::kInfo, "caller's call not served")
                          .With("path", path)
                          .With("kind", jobs::Describe(kind))
                          .With("outcome", jobs::Describe(aReply.m_outcome))
                          .Write();
                      }
                      done(aReply);
                    }));
    }
    return Loop();
  });
}

} // namespace bamboostile::entry
