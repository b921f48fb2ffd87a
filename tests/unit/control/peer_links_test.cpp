#include "bamboostile/control/peer_links.h"

#include <capnp/rpc-twoparty.h>

#include "check.h"

using namespace bamboostile;

namespace {

/** A replica that answers nothing until it is thawed. */
class FrozenReplica final : public schema::Control::Server
{
public:
  kj::Promise<void> deliver(DeliverContext) override
  {
    if (m_isFrozen) {
      return kj::NEVER_DONE;
    }
    ++m_received;
    return kj::READY_NOW;
  }

  bool m_isFrozen = true;
  std::size_t m_received = 0;
};

constexpr kj::Duration kPastPeerTimeout = 500 * kj::MILLISECONDS;

} // namespace

TEST_GROUP(PeerLinks){};

// Guards against failed calls of a replaced connection that close the new one,
// with all that was sent on it.
TEST(PeerLinks, SilentPeer_AnswersAgain_AllSentAfterReconnectArrives)
{
  kj::AsyncIoContext io = kj::setupAsyncIo();
  const auto wait = [&](kj::Duration aTime) {
    io.provider->getTimer().afterDelay(aTime).wait(io.waitScope);
  };
  control::PeerStatistics statistics;
  const consensus::Message message;
  constexpr std::size_t kUnanswered = 10;
  constexpr std::size_t kSentAtOnce = 30;
  auto owned = kj::heap<FrozenReplica>();
  FrozenReplica& replica = *owned;
  capnp::TwoPartyServer server(kj::mv(owned));
  auto receiver = io.provider->getNetwork()
                    .parseAddress("127.0.0.1:0")
                    .wait(io.waitScope)
                    ->listen();
  auto listening =
    server.listen(*receiver).eagerlyEvaluate([](kj::Exception&&) {});
  const std::string address =
    "127.0.0.1:" + std::to_string(receiver->getPort());
  control::PeerLinks links(*io.provider, "127.0.0.1:1", statistics);
  for (std::size_t i = 0; i < kUnanswered; ++i) {
    links.Send(address, message);
  }
  wait(kPastPeerTimeout);
  replica.m_isFrozen = false;
  for (std::size_t i = 0; i < kSentAtOnce; ++i) {
    links.Send(address, message);
  }
  wait(kPastPeerTimeout);
  UNSIGNED_LONGS_EQUAL(kSentAtOnce, replica.m_received);
  UNSIGNED_LONGS_EQUAL(1, statistics.m_timeouts.load());
}
