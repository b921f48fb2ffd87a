#include "bamboostile/control/relay.h"
#include "bamboostile/schema/text.h"

namespace bamboostile::control {

namespace {

// Calls between replicas are not implemented: no replica admits a process that
// keeps no log, so none arrive, and RPC would refuse them as unimplemented.
class RelayServer final : public schema::Control::Server
{
public:
  RelayServer(RelayKind aKind, LeaderAddress aLeader)
    : m_kind(aKind)
    , m_leader(std::move(aLeader))
  {
  }

  kj::Promise<void> sync(SyncContext aContext) override
  {
    auto reply = aContext.getResults().initReply();
    reply.setOutcome(schema::SyncOutcome::NOT_LEADER);
    reply.setLeaderAddress(ToText(m_leader()));
    return kj::READY_NOW;
  }

  kj::Promise<void> announce(AnnounceContext aContext) override
  {
    auto results = aContext.getResults();
    results.setOutcome(schema::SyncOutcome::NOT_LEADER);
    results.setLeaderAddress(ToText(m_leader()));
    return kj::READY_NOW;
  }

  kj::Promise<void> begin(BeginContext aContext) override
  {
    return RefuseLedger(aContext.getResults().initReply());
  }

  kj::Promise<void> resolve(ResolveContext aContext) override
  {
    return RefuseLedger(aContext.getResults().initReply());
  }

  kj::Promise<void> lookup(LookupContext aContext) override
  {
    return RefuseLedger(aContext.getResults().initReply());
  }

  kj::Promise<void> queueCall(QueueCallContext aContext) override
  {
    auto reply = aContext.getResults().initReply();
    reply.setOutcome(schema::QueueOutcome::NOT_LEADER);
    reply.setLeaderAddress(ToText(m_leader()));
    return kj::READY_NOW;
  }

  kj::Promise<void> join(JoinContext aContext) override
  {
    auto results = aContext.getResults();
    results.setOutcome(schema::SyncOutcome::NOT_LEADER);
    results.setLeaderAddress(ToText(m_leader()));
    // A group may be formed without a seed that never keeps a log, but not
    // without one that only waits for its disk: that seed would form a second
    // group.
    results.setHasNoLog(m_kind == RelayKind::kWithoutDisk);
    return kj::READY_NOW;
  }

private:
  kj::Promise<void> RefuseLedger(schema::LedgerReply::Builder aReply)
  {
    aReply.setOutcome(schema::LedgerOutcome::NOT_LEADER);
    aReply.setLeaderAddress(ToText(m_leader()));
    return kj::READY_NOW;
  }

  RelayKind m_kind;
  LeaderAddress m_leader;
};

} // namespace

schema::Control::Client
MakeRelayServer(RelayKind aKind, LeaderAddress aLeader)
{
  return kj::heap<RelayServer>(aKind, std::move(aLeader));
}

} // namespace bamboostile::control
