#include "bamboostile/control/peer_links.h"

#include "bamboostile/schema/text.h"
#include "bamboostile/telemetry/log.h"
#include "bamboostile/wire/consensus_codec.h"

namespace bamboostile::control {

namespace {

using telemetry::Level;
using telemetry::LogLine;

/** Maximum number of unanswered messages per peer; without it, messages to a
 * frozen peer would accumulate without limit. */
constexpr std::size_t kMaxOutstanding = 256;
/** Shorter than the shortest election timeout, so that an unresponsive
 * connection is replaced before the peer starts an election. */
constexpr Duration kPeerTimeout = Millis{ 350 };
constexpr Duration kDroppedLineInterval = Millis{ 1000 };

} // namespace

PeerLinks::PeerLinks(kj::AsyncIoProvider& aProvider,
                     std::string aReplyTo,
                     PeerStatistics& aStatistics)
  : m_provider(aProvider)
  , m_replyTo(std::move(aReplyTo))
  , m_statistics(aStatistics)
  , m_tasks(*this)
{
}

void
PeerLinks::taskFailed(kj::Exception&& aException)
{
  LogLine(Level::kWarning, "a message to a replica failed")
    .With("reason", std::string{ aException.getDescription().cStr() })
    .Write();
}

PeerLinks::Peer&
PeerLinks::FindPeer(const std::string& aAddress)
{
  Peer& peer = m_peers[aAddress];
  if (peer.m_channel.get() == nullptr) {
    peer.m_channel =
      kj::refcounted<rpc::Channel>(m_provider.getNetwork(), aAddress);
    peer.m_lastAnswer = MonotonicNow();
  }
  return peer;
}

void
PeerLinks::Disconnect(Peer& aPeer)
{
  aPeer.m_channel->Disconnect();
  ++aPeer.m_generation;
}

// A network partition leaves the connection open, and TCP would wait for
// minutes before it retries. A new connection works as soon as the partition
// ends.
void
PeerLinks::ReconnectIfSilent(Peer& aPeer, TimePoint aNow)
{
  if (aPeer.m_outstanding == 0 || aNow <= aPeer.m_lastAnswer + kPeerTimeout) {
    return;
  }
  const auto silence =
    std::chrono::duration_cast<Millis>(aNow - aPeer.m_lastAnswer);
  ++m_statistics.m_timeouts;
  LogLine(Level::kInfo, "reconnecting to a silent replica")
    .With("address", aPeer.m_channel->Address())
    .With("unanswered", aPeer.m_outstanding)
    .With("silentMs", silence.count())
    .Write();
  Disconnect(aPeer);
  aPeer.m_lastAnswer = aNow;
}

void
PeerLinks::CountDropped(const Peer& aPeer, TimePoint aNow)
{
  ++m_statistics.m_dropped;
  if (aNow < m_nextDroppedLine) {
    return;
  }
  m_nextDroppedLine = aNow + kDroppedLineInterval;
  LogLine(Level::kWarning, "dropping messages to a replica")
    .With("address", aPeer.m_channel->Address())
    .With("dropped", m_statistics.m_dropped.load())
    .Write();
}

void
PeerLinks::Send(const std::string& aAddress, const consensus::Message& aMessage)
{
  Peer& peer = FindPeer(aAddress);
  const TimePoint now = MonotonicNow();
  ReconnectIfSilent(peer, now);
  if (peer.m_outstanding >= kMaxOutstanding) {
    CountDropped(peer, now);
    return;
  }
  if (peer.m_outstanding == 0) {
    peer.m_lastAnswer = now;
  }
  ++peer.m_outstanding;
  auto request = peer.m_channel->Get().deliverRequest();
  wire::Write(aMessage, request.initMessage());
  request.setReplyTo(ToText(m_replyTo));
  m_tasks.add(request.send().ignoreResult().then(
    [&peer]() {
      --peer.m_outstanding;
      peer.m_lastAnswer = MonotonicNow();
    },
    [&peer, generation = peer.m_generation](kj::Exception&&) {
      --peer.m_outstanding;
      // Calls of a connection that was replaced fail after the new one is made.
      if (generation == peer.m_generation) {
        Disconnect(peer);
      }
    }));
}

} // namespace bamboostile::control
