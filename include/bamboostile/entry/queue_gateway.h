#pragma once

#include "bamboostile/entry/leader_client.h"
#include "bamboostile/rpc/mailbox.h"

#include <functional>

namespace bamboostile::entry {

/** Carries calls of callers from traffic threads to the event loop, and to
 * the leader from there. */
class QueueGateway final : private kj::TaskSet::ErrorHandler
{
public:
  using Done = std::function<void(const jobs::QueueReply&)>;

  QueueGateway(kj::AsyncIoProvider& aProvider, std::vector<std::string> aSeeds);

  /** From any thread; aDone runs on the event loop. */
  void Call(jobs::QueueCall aCall,
            Done aDone,
            std::optional<Duration> aWithin = std::nullopt);
  /** On the event loop. */
  LeaderClient& Leader() { return m_leader; }

private:
  struct Pending
  {
    jobs::QueueCall m_call;
    Done m_done;
    std::optional<Duration> m_within;
  };

  void taskFailed(kj::Exception&& aException) override;
  kj::Promise<void> Loop();

  LeaderClient m_leader;
  rpc::Mailbox<Pending> m_pending;
  kj::TaskSet m_tasks;
};

} // namespace bamboostile::entry
