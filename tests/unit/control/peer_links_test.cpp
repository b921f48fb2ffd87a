#include "bamboostile/control/peer_links.h"

#include "bamboostile/wire/consensus_codec.h"

#include <capnp/message.h>
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

/** Returns the message as the receiver reads it. */
template<typename Body>
Body
Transmit(Body aBody)
{
  capnp::MallocMessageBuilder builder;
  auto to = builder.initRoot<schema::Message>();
  wire::Write(consensus::Message{ {}, {}, Term{ 1 }, std::move(aBody) }, to);
  return std::get<Body>(wire::Read(to.asReader()).m_body);
}

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

TEST_GROUP(ConsensusCodec){};

TEST(ConsensusCodec, Fragment_WrittenAndRead_IsEqual)
{
  consensus::AppendRequest append{ Index{ 4 }, Term{ 2 }, {}, Index{ 3 }, {} };
  append.m_fragment = consensus::EntryFragment{ Term{ 2 }, 100, 60, "bytes" };
  const auto request = Transmit(append);
  CHECK(request.m_fragment.has_value());
  LONGS_EQUAL(2, request.m_fragment->m_term.Get());
  UNSIGNED_LONGS_EQUAL(100, request.m_fragment->m_size);
  UNSIGNED_LONGS_EQUAL(60, request.m_fragment->m_offset);
  CHECK_STRING("bytes", request.m_fragment->m_bytes);
  const auto reply = Transmit(consensus::AppendReply{
    true, Index{ 4 }, {}, consensus::FragmentProgress{ Index{ 5 }, 65 } });
  CHECK(reply.m_acceptsFragments);
  CHECK(reply.m_fragment.has_value());
  LONGS_EQUAL(5, reply.m_fragment->m_index.Get());
  UNSIGNED_LONGS_EQUAL(65, reply.m_fragment->m_received);
}

TEST(ConsensusCodec, Handover_WrittenAndRead_IsEqual)
{
  Transmit(consensus::Handover{});
  CHECK(Transmit(consensus::VoteRequest{ false, {}, {}, true }).m_isHandover);
  CHECK_FALSE(Transmit(consensus::VoteRequest{ false, {}, {} }).m_isHandover);
}

// Guards against fragments for a replica of an earlier version, whose replies
// have no fields for them.
TEST(ConsensusCodec, AppendReply_OfEarlierVersion_AcceptsNoFragments)
{
  capnp::MallocMessageBuilder builder;
  auto message = builder.initRoot<schema::Message>();
  auto from = message.initAppendReply();
  from.setAccepted(true);
  from.setMatch(4);
  const auto reply =
    std::get<consensus::AppendReply>(wire::Read(message.asReader()).m_body);
  CHECK_FALSE(reply.m_acceptsFragments);
  CHECK_FALSE(reply.m_fragment.has_value());
}
