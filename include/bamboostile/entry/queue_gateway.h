#pragma once

#include "bamboostile/entry/leader_client.h"
#include "bamboostile/rpc/mailbox.h"

#include <functional>

namespace bamboostile::entry {

/** Passes callers' calls from the traffic threads to the event loop, which
 * sends them to the leader. */
class QueueGateway final : private kj::TaskSet::ErrorHandler
{
public:
  using Done = std::function<void(const jobs::QueueReply&)>;

  QueueGateway(kj::AsyncIoProvider& aProvider, std::vector<std::string> aSeeds);

  /** Can be called on any thread; aDone runs on the event loop. */
  void Call(jobs::QueueCall aCall,
            Done aDone,
            std::optional<Duration> aTimeout = std::nullopt);
  /** Used on the event loop only. */
  LeaderClient& Leader() { return m_leader; }

private:
  struct Pending
  {
    jobs::QueueCall m_call;
    Done m_done;
    std::optional<Duration> m_timeout;
  };

  void taskFailed(kj::Exception&& aException) override;
  kj::Promise<void> Loop();

  LeaderClient m_leader;
  rpc::Mailbox<Pending> m_pending;
  kj::TaskSet m_tasks;
};

} // namespace bamboostile::entry
