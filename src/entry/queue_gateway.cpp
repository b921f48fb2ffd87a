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
  LogLine(Level::kWarning, "a caller's call failed")
    .With("reason", std::string{ aException.getDescription().cStr() })
    .Write();
}

void
QueueGateway::Call(jobs::QueueCall aCall,
                   Done aDone,
                   std::optional<Duration> aWithin)
{
  m_pending.Put({ std::move(aCall), std::move(aDone), aWithin });
}

kj::Promise<void>
QueueGateway::Loop()
{
  return m_pending.Take().then([this](std::vector<Pending> aPending) {
    for (Pending& one : aPending) {
      const jobs::CallKind kind = one.m_call.m_kind;
      const std::string path = one.m_call.m_path;
      m_tasks.add(m_leader.Call(std::move(one.m_call), one.m_within)
                    .then([kind, path, done = std::move(one.m_done)](
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
