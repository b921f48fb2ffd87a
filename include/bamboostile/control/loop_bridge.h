#pragma once

#include "bamboostile/control/pace.h"
#include "bamboostile/http/server.h"
#include "bamboostile/rpc/mailbox.h"

#include <functional>
#include <memory>

namespace bamboostile::control {

/** Answers requests of an HTTP thread by tasks on the event loop. */
class LoopBridge final : private kj::TaskSet::ErrorHandler
{
public:
  using ExchangePtr = std::shared_ptr<http::Exchange>;
  using Task = std::function<kj::Promise<http::Response>()>;

  /** aLatencies, if set, must outlive this object; it records the delay until
   * an answer is written. */
  explicit LoopBridge(StageLatencies* aLatencies = nullptr);

  /** Called on the HTTP thread of aServer, which must outlive the answer. */
  void Answer(http::Server& aServer, ExchangePtr aExchange, Task aTask);

private:
  struct Pending
  {
    http::Server* m_server;
    ExchangePtr m_exchange;
    Task m_task;
  };

  void taskFailed(kj::Exception&& aException) override;
  kj::Promise<void> Loop();

  StageLatencies* m_latencies;
  rpc::Mailbox<Pending> m_pending;
  kj::TaskSet m_tasks;
};

} // namespace bamboostile::control
