#pragma once

#include "bamboostile/jobs/calls.h"
#include "bamboostile/rpc/channel.h"

#include <map>
#include <vector>

namespace bamboostile::entry {

struct LeaderClientOptions
{
  /** For one attempt at one replica. Many times what a leader takes to answer;
   * one that is cut off never does. */
  Duration m_attempt = Millis{ 600 };
  /** For making the connection of an attempt: enough for one lost packet. */
  Duration m_connect = Millis{ 250 };
  /** For all attempts; callers wait three seconds. */
  Duration m_total = Millis{ 2000 };
  /** With no answer of any replica for so long, this is neither a restart nor
   * an election: calls that nobody can have taken are refused at once. Any
   * sooner, callers whom the next leader would have served are turned away. */
  Duration m_outageAfter = Millis{ 1500 };
  /** Between two rounds over all replicas; short beside an election. */
  Duration m_pause = Millis{ 100 };
};

/**
 * @brief Brings calls of callers to whichever replica leads.
 *
 * All calls may be repeated: a job's id makes a second submission the same
 * job. Lives on one KJ event loop.
 */
class LeaderClient
{
public:
  LeaderClient(kj::AsyncIoProvider& aProvider,
               std::vector<std::string> aSeeds,
               LeaderClientOptions aOptions = {});

  /** kNotLeader: no replica took it, so it never runs. kUndecided: one may
   * have. */
  kj::Promise<jobs::QueueReply> Call(
    jobs::QueueCall aCall,
    std::optional<Duration> aWithin = std::nullopt);
  /** The address that last answered as the leader, or was named as it. */
  std::string LastLeader() const
  {
    return m_replicas.empty() ? std::string{} : m_replicas.front();
  }
  /** Replicas to ask beside those that were learned. */
  void SetSeeds(const std::vector<std::string>& aSeeds);

private:
  struct Target
  {
    kj::Own<rpc::Channel> m_channel;
    TimePoint m_lastAnswer;
  };

  struct Attempts
  {
    jobs::QueueCall m_call;
    TimePoint m_until;
    /** An attempt was not answered: it may have been taken. */
    bool m_unclear = false;
    std::size_t m_next = 0;
    std::size_t m_redirects = 0;
  };

  kj::Promise<jobs::QueueReply> Try(kj::Own<Attempts> aAttempts);
  kj::Promise<jobs::QueueReply> TryAgain(kj::Own<Attempts> aAttempts,
                                         bool aRoundIsOver);
  kj::Promise<jobs::QueueReply> Send(const std::string& aAddress,
                                     const jobs::QueueCall& aCall);
  kj::Promise<jobs::QueueReply> FailUnlessConnected(
    std::shared_ptr<const bool> aIsConnected);
  void LearnLeader(const std::string& aAddress);
  Target& TargetAt(const std::string& aAddress);

  kj::AsyncIoProvider& m_provider;
  kj::Timer& m_timer;
  LeaderClientOptions m_options;
  /** The one that led last comes first. */
  std::vector<std::string> m_replicas;
  std::map<std::string, Target> m_targets;
  /** When any replica last answered. */
  TimePoint m_lastHeard;
};

} // namespace bamboostile::entry
