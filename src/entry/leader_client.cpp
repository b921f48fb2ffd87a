#include "bamboostile/entry/leader_client.h"

#include "bamboostile/wire/queue_codec.h"

#include <algorithm>

namespace bamboostile::entry {

namespace {

/** More than a control group ever has; further addresses drop off the end of
 * the list. */
constexpr std::size_t kMaxReplicas = 24;
/** Limits redirects per call: two replicas may each name the other as leader
 * while neither leads. */
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
  , m_lastAnyAnswerAt(MonotonicNow())
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
  ForgetExcess();
}

kj::Promise<jobs::QueueReply>
LeaderClient::Send(const std::string& aAddress, const jobs::QueueCall& aCall)
{
  auto request = TargetAt(aAddress).m_channel->Get().queueCallRequest();
  wire::Write(aCall, request.initCall());
  request.setKnownMembers(m_membersRevision.Get());
  return request.send().then([this, aAddress](auto&& aReply) {
    if (const Index revision{ aReply.getMembersRevision() };
        revision != Index{}) {
      std::vector<std::string> addresses{ aAddress };
      for (const auto member : aReply.getMembers()) {
        addresses.emplace_back(member.cStr());
      }
      m_membersRevision = revision;
      PutFirst(addresses);
    }
    return wire::Read(aReply.getReply());
  });
}

// All seeds may have been replaced by the time that the leader is lost, and no
// other answer names a member that has never led. Other known addresses stay
// behind the members: the group may have been formed anew.
void
LeaderClient::PutFirst(const std::vector<std::string>& aAddresses)
{
  const std::vector<std::string> before = std::exchange(m_replicas, {});
  SetSeeds(aAddresses);
  SetSeeds(before);
  ForgetExcess();
}

void
LeaderClient::ForgetExcess()
{
  while (m_replicas.size() > kMaxReplicas) {
    m_targets.erase(m_replicas.back());
    m_replicas.pop_back();
  }
}

kj::Promise<jobs::QueueReply>
LeaderClient::Call(jobs::QueueCall aCall, std::optional<Duration> aTimeout)
{
  auto progress = kj::heap<CallProgress>();
  progress->m_call = std::move(aCall);
  progress->m_deadline =
    MonotonicNow() + std::min(aTimeout.value_or(m_options.m_totalTimeout),
                              m_options.m_totalTimeout);
  return TryNextReplica(kj::mv(progress));
}

// An instance without power does not respond to a connection request. Without
// this shorter timeout it would use up a whole attempt before the next replica
// is tried.
kj::Promise<jobs::QueueReply>
LeaderClient::FailUnlessConnected(std::shared_ptr<const bool> aIsConnected)
{
  return m_timer.afterDelay(ToKj(m_options.m_connectTimeout))
    .then([isConnected =
             std::move(aIsConnected)]() -> kj::Promise<jobs::QueueReply> {
      if (*isConnected) {
        return kj::NEVER_DONE;
      }
      return KJ_EXCEPTION(DISCONNECTED, "no connection was made");
    });
}

kj::Promise<jobs::QueueReply>
LeaderClient::Retry(kj::Own<CallProgress> aProgress, bool aIsRoundComplete)
{
  const TimePoint now = MonotonicNow();
  const bool isOutage = now >= m_lastAnyAnswerAt + m_options.m_outageThreshold;
  const bool isRefused = isOutage && !aProgress->m_mayBeAccepted;
  if (isRefused || now >= aProgress->m_deadline) {
    jobs::QueueReply reply;
    // A call is refused only if no replica can have accepted it; otherwise its
    // outcome is reported as undecided.
    reply.m_outcome = aProgress->m_mayBeAccepted
                        ? jobs::QueueOutcome::kUndecided
                        : jobs::QueueOutcome::kNotLeader;
    return reply;
  }
  if (!aIsRoundComplete) {
    return TryNextReplica(kj::mv(aProgress));
  }
  aProgress->m_nextReplica = 0;
  return m_timer.afterDelay(ToKj(m_options.m_roundPause))
    .then([this, progress = kj::mv(aProgress)]() mutable {
      return TryNextReplica(kj::mv(progress));
    });
}

kj::Promise<jobs::QueueReply>
LeaderClient::TryNextReplica(kj::Own<CallProgress> aProgress)
{
  if (aProgress->m_nextReplica >= m_replicas.size()) {
    return Retry(kj::mv(aProgress), true);
  }
  const std::string address = m_replicas[aProgress->m_nextReplica++];
  const TimePoint now = MonotonicNow();
  const Duration left =
    std::max<Duration>(aProgress->m_deadline - now, Millis{ 1 });
  auto sent = Send(address, aProgress->m_call);
  // Without a connection nothing has left this process, and nothing will after
  // the channel is dropped below, so such an attempt cannot have been accepted.
  const auto isConnected = TargetAt(address).m_channel->IsConnected();
  auto answered =
    m_timer.timeoutAfter(ToKj(std::min(left, m_options.m_attemptTimeout)),
                         sent.exclusiveJoin(FailUnlessConnected(isConnected)));
  return answered
    .then(
      [this, address](jobs::QueueReply&& aReply) {
        m_lastAnyAnswerAt = MonotonicNow();
        TargetAt(address).m_lastAnswerAt = m_lastAnyAnswerAt;
        return kj::Maybe<jobs::QueueReply>{ kj::mv(aReply) };
      },
      // A connection to an unresponsive peer appears open for minutes, so it is
      // dropped and the next call opens a new one. If other calls on it were
      // answered since this attempt began, the replica is only slow, and
      // dropping the connection would abort their calls too.
      [this, address, isConnected, now](
        kj::Exception&&) -> kj::Maybe<jobs::QueueReply> {
        Target& target = TargetAt(address);
        if (target.m_lastAnswerAt < now || !*isConnected) {
          target.m_channel->Disconnect();
        }
        return nullptr;
      })
    .then([this, address, isConnected, progress = kj::mv(aProgress)](
            kj::Maybe<jobs::QueueReply>&& aReply) mutable
          -> kj::Promise<jobs::QueueReply> {
      KJ_IF_MAYBE (reply, aReply) {
        if (reply->m_outcome == jobs::QueueOutcome::kNotLeader) {
          const bool isNewLeader = !reply->m_leaderAddress.empty() &&
                                   reply->m_leaderAddress != m_replicas.front();
          LearnLeader(reply->m_leaderAddress);
          if (isNewLeader && progress->m_redirectCount++ < kMaxRedirects) {
            progress->m_nextReplica = 0;
          }
          return Retry(kj::mv(progress), false);
        }
        LearnLeader(address);
        // An earlier attempt may have been accepted, so a refusal of a later
        // one does not show that the call was not accepted.
        const bool isRefused =
          reply->m_outcome == jobs::QueueOutcome::kRefused ||
          reply->m_outcome == jobs::QueueOutcome::kUnauthorized;
        if (progress->m_mayBeAccepted && isRefused) {
          reply->m_outcome = jobs::QueueOutcome::kUndecided;
        }
        return kj::mv(*reply);
      }
      progress->m_mayBeAccepted = progress->m_mayBeAccepted || *isConnected;
      return Retry(kj::mv(progress), false);
    });
}

} // namespace bamboostile::entry
