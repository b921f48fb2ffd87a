#pragma once

#include "bamboostile/consensus/types.h"
#include "bamboostile/rpc/channel.h"

#include <atomic>
#include <map>

namespace bamboostile::control {

/** Counters that any thread may read. */
struct PeerStatistics
{
  std::atomic<std::uint64_t> m_timeouts = 0;
  std::atomic<std::uint64_t> m_dropped = 0;
};

/**
 * @brief Connections to other replicas, on one KJ event loop.
 *
 * A connection on which the peer answers nothing for a while is replaced;
 * messages on it are lost.
 */
class PeerLinks final : private kj::TaskSet::ErrorHandler
{
public:
  /** Peers send their replies to aReplyTo. */
  PeerLinks(kj::AsyncIoProvider& aProvider,
            std::string aReplyTo,
            PeerStatistics& aStatistics);

  void Send(const std::string& aAddress, const consensus::Message& aMessage);

private:
  struct Peer
  {
    kj::Own<rpc::Channel> m_channel;
    /** Number of connections before the current one. */
    std::uint64_t m_generation = 0;
    std::size_t m_outstanding = 0;
    TimePoint m_lastAnswer;
  };

  void taskFailed(kj::Exception&& aException) override;
  Peer& FindPeer(const std::string& aAddress);
  static void Disconnect(Peer& aPeer);
  void ReconnectIfSilent(Peer& aPeer, TimePoint aNow);
  void CountDropped(const Peer& aPeer, TimePoint aNow);

  kj::AsyncIoProvider& m_provider;
  std::string m_replyTo;
  PeerStatistics& m_statistics;
  std::map<std::string, Peer> m_peers;
  TimePoint m_nextDroppedLine;
  kj::TaskSet m_tasks;
};

} // namespace bamboostile::control
