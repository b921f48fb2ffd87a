#include "bamboostile/entry/leader_client.h"

#include "bamboostile/wire/queue_codec.h"

#include <algorithm>

namespace bamboostile::entry {

namespace {

/** More than the group ever has; old addresses drop off the end. */
constexpr std::size_t kMaxReplicas = 12;
/** Two replicas may name each other while neither leads. */
constexpr std::size_t kMaxRedirects = 2;

kj::Duration
ToKj(Duration aDuration)
{
  return aDuration.count() * kj::MICROSECONDS;
}

} // namespace

LeaderClient::LeaderClient(kj::AsyncIoProvider& aProvider,
                           std::vector<std::string> aSeeds,
                           LeaderClientOptions aOptions)
  : m_provider(aProvider)
  , m_timer(aProvider.getTimer())
  , m_options(aOptions)
  , m_replicas(std::move(aSeeds))
  , m_lastHeard(MonotonicNow())
{
}

void
LeaderClient::SetSeeds(const std::vector<std::string>& aSeeds)
{
  for (const std::string& seed : aSeeds) {
    if (std::find(m_replicas.begin(), m_replicas.end(), seed) ==
        m_replicas.end()) {
      m_replicas.push_back(seed);
    }
  }
}

LeaderClient::Target&
LeaderClient::TargetAt(const std::string& aAddress)
{
  Target& target = m_targets[aAddress];
  if (target.m_channel.get() == nullptr) {
    target.m_channel =
      kj::refcounted<rpc::Channel>(m_provider.getNetwork(), aAddress);
  }
  return target;
}

void
LeaderClient::LearnLeader(const std::string& aAddress)
{
  if (aAddress.empty() ||
      (!m_replicas.empty() && m_replicas.front() == aAddress)) {
    return;
  }
  std::erase(m_replicas, aAddress);
  m_replicas.insert(m_replicas.begin(), aAddress);
  if (m_replicas.size() > kMaxReplicas) {
    m_targets.erase(m_replicas.back());
    m_replicas.pop_back();
  }
}

kj::Promise<jobs::QueueReply>
LeaderClient::Send(const std::string& aAddress, const jobs::QueueCall& aCall)
{
  auto request = TargetAt(aAddress).m_channel->Get().queueCallRequest();
  wire::Write(aCall, request.initCall());
  return request.send().then(
    [](auto&& aReply) { return wire::Read(aReply.getReply()); });
}

kj::Promise<jobs::QueueReply>
LeaderClient::Call(jobs::QueueCall aCall, std::optional<Duration> aWithin)
{
  auto attempts = kj::heap<Attempts>();
  attempts->m_call = std::move(aCall);
  attempts->m_until =
    MonotonicNow() +
    std::min(aWithin.value_or(m_options.m_total), m_options.m_total);
  return Try(kj::mv(attempts));
}

// An instance without power answers no connection request, and would take the
// whole time of an attempt from the replicas behind it.
kj::Promise<jobs::QueueReply>
LeaderClient::FailUnlessConnected(std::shared_ptr<const bool> aIsConnected)
{
  return m_timer.afterDelay(ToKj(m_options.m_connect))
    .then([isConnected =
             std::move(aIsConnected)]() -> kj::Promise<jobs::QueueReply> {
      if (*isConnected) {
        return kj::NEVER_DONE;
      }
      return KJ_EXCEPTION(DISCONNECTED, "no connection was made");
    });
}

kj::Promise<jobs::QueueReply>
LeaderClient::TryAgain(kj::Own<Attempts> aAttempts, bool aRoundIsOver)
{
  const TimePoint now = MonotonicNow();
  const bool isOutage = now >= m_lastHeard + m_options.m_outageAfter;
  const bool isRefused = isOutage && !aAttempts->m_unclear;
  if (isRefused || now >= aAttempts->m_until) {
    jobs::QueueReply reply;
    // A refusal must be true: where any replica may have taken the call, the
    // caller hears that its fate is not known.
    reply.m_outcome = aAttempts->m_unclear ? jobs::QueueOutcome::kUndecided
                                           : jobs::QueueOutcome::kNotLeader;
    return reply;
  }
  if (!aRoundIsOver) {
    return Try(kj::mv(aAttempts));
  }
  aAttempts->m_next = 0;
  return m_timer.afterDelay(ToKj(m_options.m_pause))
    .then([this, attempts = kj::mv(aAttempts)]() mutable {
      return Try(kj::mv(attempts));
    });
}

kj::Promise<jobs::QueueReply>
LeaderClient::Try(kj::Own<Attempts> aAttempts)
{
  if (aAttempts->m_next >= m_replicas.size()) {
    return TryAgain(kj::mv(aAttempts), true);
  }
  const std::string address = m_replicas[aAttempts->m_next++];
  const TimePoint now = MonotonicNow();
  const Duration left =
    std::max<Duration>(aAttempts->m_until - now, Millis{ 1 });
  auto sent = Send(address, aAttempts->m_call);
  // Where no connection was made, nothing has left this process, and after the
  // drop below nothing will: such an attempt does not make the fate unclear.
  const auto isConnected = TargetAt(address).m_channel->IsConnected();
  auto answered =
    m_timer.timeoutAfter(ToKj(std::min(left, m_options.m_attempt)),
                         sent.exclusiveJoin(FailUnlessConnected(isConnected)));
  return answered
    .then(
      [this, address](jobs::QueueReply&& aReply) {
        m_lastHeard = MonotonicNow();
        TargetAt(address).m_lastAnswer = m_lastHeard;
        return kj::Maybe<jobs::QueueReply>{ kj::mv(aReply) };
      },
      // A connection that went silent looks alive for minutes; the next call
      // gets a new one. One on which others were answered meanwhile is only
      // slow, and dropping it would take their calls with it.
      [this, address, isConnected, now](
        kj::Exception&&) -> kj::Maybe<jobs::QueueReply> {
        Target& target = TargetAt(address);
        if (target.m_lastAnswer < now || !*isConnected) {
          target.m_channel->Drop();
        }
        return nullptr;
      })
    .then([this, address, isConnected, attempts = kj::mv(aAttempts)](
            kj::Maybe<jobs::QueueReply>&& aReply) mutable
          -> kj::Promise<jobs::QueueReply> {
      KJ_IF_MAYBE (reply, aReply) {
        if (reply->m_outcome == jobs::QueueOutcome::kNotLeader) {
          const bool isNews = !reply->m_leaderAddress.empty() &&
                              reply->m_leaderAddress != m_replicas.front();
          LearnLeader(reply->m_leaderAddress);
          if (isNews && attempts->m_redirects++ < kMaxRedirects) {
            attempts->m_next = 0;
          }
          return TryAgain(kj::mv(attempts), false);
        }
        LearnLeader(address);
        // After an attempt that may have been taken, a refusal by a later one
        // would claim more than is known.
        if (attempts->m_unclear &&
            reply->m_outcome == jobs::QueueOutcome::kRefused) {
          reply->m_outcome = jobs::QueueOutcome::kUndecided;
        }
        return kj::mv(*reply);
      }
      attempts->m_unclear = attempts->m_unclear || *isConnected;
      return TryAgain(kj::mv(attempts), false);
    });
}

} // namespace bamboostile::entry
