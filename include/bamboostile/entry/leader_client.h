#pragma once

#include "bamboostile/jobs/calls.h"
#include "bamboostile/rpc/channel.h"

#include <map>
#include <vector>

namespace bamboostile::entry {

struct LeaderClientOptions
{
  /** Timeout of one attempt at one replica. Many times the usual answer time
   * of a leader; a leader that is cut off never answers. */
  Duration m_attemptTimeout = Millis{ 600 };
  /** Timeout for establishing the connection of an attempt: long enough to
   * retransmit one lost packet. */
  Duration m_connectTimeout = Millis{ 250 };
  /** Timeout for all attempts of a call together; callers wait three
   * seconds. */
  Duration m_totalTimeout = Millis{ 2000 };
  /** Time since the last answer of any replica after which this is an outage,
   * not a restart or an election: calls that no replica can have accepted are
   * then refused at once. A shorter time would refuse calls that the next
   * leader would have served. */
  Duration m_outageThreshold = Millis{ 1500 };
  /** Pause between two rounds over all replicas; short compared with an
   * election. */
  Duration m_roundPause = Millis{ 100 };
};

/**
 * @brief Sends callers' calls to the leader of the control replicas.
 *
 * All calls are idempotent: a second submission under the same job id is the
 * same job. Used on a single KJ event loop.
 */
class LeaderClient
{
public:
  LeaderClient(kj::AsyncIoProvider& aProvider,
               std::vector<std::string> aSeeds,
               LeaderClientOptions aOptions = {});

  /** The outcome kNotLeader means that no replica accepted the call, so it
   * never runs; kUndecided means that one may have accepted it. */
  kj::Promise<jobs::QueueReply> Call(
    jobs::QueueCall aCall,
    std::optional<Duration> aTimeout = std::nullopt);
  /** Address of the replica that last answered as leader or was named leader.
   */
  std::string LastLeader() const
  {
    return m_replicas.empty() ? std::string{} : m_replicas.front();
  }
  /** Adds replica addresses to those already known. */
  void SetSeeds(const std::vector<std::string>& aSeeds);

private:
  struct Target
  {
    kj::Own<rpc::Channel> m_channel;
    TimePoint m_lastAnswerAt;
  };

  struct CallProgress
  {
    jobs::QueueCall m_call;
    TimePoint m_deadline;
    /** An attempt was sent but not answered, so a replica may have accepted
     * the call. */
    bool m_mayBeAccepted = false;
    std::size_t m_nextReplica = 0;
    std::size_t m_redirectCount = 0;
  };

  kj::Promise<jobs::QueueReply> TryNextReplica(kj::Own<CallProgress> aProgress);
  kj::Promise<jobs::QueueReply> Retry(kj::Own<CallProgress> aProgress,
                                      bool aIsRoundComplete);
  kj::Promise<jobs::QueueReply> Send(const std::string& aAddress,
                                     const jobs::QueueCall& aCall);
  kj::Promise<jobs::QueueReply> FailUnlessConnected(
    std::shared_ptr<const bool> aIsConnected);
  void LearnLeader(const std::string& aAddress);
  /** Puts these addresses before the others that are known. */
  void PutFirst(const std::vector<std::string>& aAddresses);
  /** Limits the number of known addresses. */
  void ForgetExcess();
  Target& TargetAt(const std::string& aAddress);

  kj::AsyncIoProvider& m_provider;
  kj::Timer& m_timer;
  LeaderClientOptions m_options;
  /** Replica addresses; the last known leader comes first. */
  std::vector<std::string> m_replicas;
  /** Revision of the group's members that a leader sent last. */
  Index m_membersRevision;
  std::map<std::string, Target> m_targets;
  /** Time of the last answer from any replica. */
  TimePoint m_lastAnyAnswerAt;
};

} // namespace bamboostile::entry
