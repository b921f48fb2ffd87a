#include "bamboostile/entry/leader_watch.h"

#include "bamboostile/telemetry/log.h"

namespace bamboostile::entry {

namespace {

using telemetry::Level;
using telemetry::LogLine;

/** Between two questions. Short beside an election, so the new leader is named
 * soon after it has won. */
constexpr kj::Duration kInterval = 200 * kj::MILLISECONDS;
/** For all attempts of one question: long enough to ask each of three replicas
 * once, one of which may be silent. */
constexpr Duration kPatience = Millis{ 1000 };

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
  LogLine(Level::kWarning, "the leader is followed no more")
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
    LogLine(Level::kInfo, "leader followed")
      .With("leader", leader)
      .With("before", m_leader)
      .Write();
  }
  m_leader = std::move(leader);
}

// A call that names no queue: only the leader answers it, and it costs it no
// look at its state.
kj::Promise<void>
LeaderWatch::Loop()
{
  return m_client.Call(jobs::QueueCall{}, kPatience)
    .then([this](const jobs::QueueReply& aReply) {
      OnAnswer(aReply);
      return m_timer.afterDelay(kInterval);
    })
    .then([this]() { return Loop(); });
}

} // namespace bamboostile::entry
