#include "bamboostile/entry/leader_watch.h"

#include "bamboostile/telemetry/log.h"

namespace bamboostile::entry {

namespace {

using telemetry::Level;
using telemetry::LogLine;

/** Pause between two polls. Short compared with an election, so that a new
 * leader is known soon after it is elected. */
constexpr kj::Duration kPollInterval = 200 * kj::MILLISECONDS;
/** Timeout of one poll with all its attempts: long enough to ask each of three
 * replicas once, one of which may be unresponsive. */
constexpr Duration kPollTimeout = Millis{ 1000 };

} // namespace

LeaderWatch::LeaderWatch(kj::AsyncIoProvider& aProvider,
                         const std::vector<std::string>& aSeeds)
  : m_timer(aProvider.getTimer())
  , m_client(aProvider, aSeeds)
  , m_tasks(*this)
{
  m_tasks.add(Loop());
}

void
LeaderWatch::taskFailed(kj::Exception&& aException)
{
  LogLine(Level::kWarning, "leader polling stopped")
    .With("reason", std::string{ aException.getDescription().cStr() })
    .Write();
}

void
LeaderWatch::OnAnswer(const jobs::QueueReply& aReply)
{
  const bool isLeading = aReply.m_outcome != jobs::QueueOutcome::kNotLeader &&
                         aReply.m_outcome != jobs::QueueOutcome::kUndecided;
  std::string leader = isLeading ? m_client.LastLeader() : std::string{};
  if (leader != m_leader) {
    LogLine(Level::kInfo, "leader changed")
      .With("leader", leader)
      .With("before", m_leader)
      .Write();
  }
  m_leader = std::move(leader);
}

// The poll is a call that names no queue: only the leader answers it, and the
// answer needs no access to the leader's state.
kj::Promise<void>
LeaderWatch::Loop()
{
  return m_client.Call(jobs::QueueCall{}, kPollTimeout)
    .then([this](const jobs::QueueReply& aReply) {
      OnAnswer(aReply);
      return m_timer.afterDelay(kPollInterval);
    })
    .then([this]() { return Loop(); });
}

} // namespace bamboostile::entry
