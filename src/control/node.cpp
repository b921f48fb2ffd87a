#include "bamboostile/control/node.h"

#include "bamboostile/telemetry/log.h"
#include "bamboostile/units/visit.h"
#include "bamboostile/wire/consensus_codec.h"

#include <algorithm>

namespace bamboostile::control {

namespace {

using telemetry::Level;
using telemetry::LogLine;

constexpr Duration kTick = Millis{ 20 };
constexpr Duration kDutyInterval = Millis{ 200 };
/** A frozen peer would otherwise collect messages without end. */
constexpr std::size_t kMaxOutstanding = 256;
/** Below the shortest election timeout: a connection that went silent is
 * made anew before its peer gives the leader up. */
constexpr Duration kPeerSilence = Millis{ 350 };
/** Between two requests for admission. */
constexpr Duration kJoinInterval = Millis{ 300 };
/** Longer than an election usually takes. */
constexpr Duration kLeaderless = Millis{ 3000 };
constexpr Duration kMarkInterval = Millis{ 5000 };
/** Far above a commit on slow disks, and well below what callers wait. */
constexpr Duration kStalledAfter = Millis{ 800 };

kj::Duration
ToKj(Duration aDuration)
{
  return aDuration.count() * kj::MICROSECONDS;
}

consensus::ReplicaOptions
WithSeed(consensus::ReplicaOptions aOptions, const consensus::ReplicaId& aSelf)
{
  aOptions.m_seed = aSelf.m_incarnation.Get();
  return aOptions;
}

} // namespace

Node::Node(NodeOptions aOptions,
           storage::Opened aOpened,
           std::unique_ptr<storage::LogStore> aStore,
           kj::AsyncIoProvider& aProvider,
           std::function<void(const storage::Failure&)> aOnDiskFailure)
  : m_options(std::move(aOptions))
  , m_provider(aProvider)
  , m_timer(aProvider.getTimer())
  , m_onDiskFailure(std::move(aOnDiskFailure))
  , m_replica(aOpened.m_self,
              WithSeed(m_options.m_replica, aOpened.m_self),
              std::move(aOpened.m_recovered),
              MonotonicNow())
  , m_registry(m_options.m_membership)
  , m_disk(std::move(aStore), m_reports)
  , m_snapshots(m_encoded)
  , m_policy(m_options.m_group)
  , m_tasks(*this)
{
  Pump();
  m_tasks.add(TickLoop());
  m_tasks.add(DiskLoop());
  m_tasks.add(SnapshotLoop());
  if (!m_options.m_seeds.empty()) {
    m_tasks.add(JoinLoop());
  }
}

void
Node::taskFailed(kj::Exception&& aException)
{
  LogLine(Level::kWarning, "control task failed")
    .With("reason", std::string{ aException.getDescription().cStr() })
    .Write();
}

// -------------------------------------------------------------------- loops

kj::Promise<void>
Node::TickLoop()
{
  const TimePoint now = MonotonicNow();
  m_replica.Tick(now);
  Pump();
  FollowRole();
  CheckInForce();
  if (now >= m_nextDuties) {
    m_nextDuties = now + kDutyInterval;
    NoteFormation(now);
    if (IsServing()) {
      Lead(now);
    }
  }
  return m_timer.afterDelay(ToKj(kTick)).then([this]() { return TickLoop(); });
}

kj::Promise<void>
Node::DiskLoop()
{
  return m_reports.Take().then([this](const std::vector<DiskReport>& aReports) {
    for (const DiskReport& report : aReports) {
      if (report.m_failure && !storage::MayPass(*report.m_failure)) {
        m_onDiskFailure(*report.m_failure);
        return kj::Promise<void>(kj::READY_NOW);
      }
      NoteDisk(report.m_failure);
      if (report.m_failure) {
        continue;
      }
      m_replica.OnPersisted(report.m_ticket, MonotonicNow());
    }
    Pump();
    return DiskLoop();
  });
}

void
Node::NoteDisk(const std::optional<storage::Failure>& aRefusal)
{
  if (aRefusal.has_value() == m_isDiskRefusing) {
    return;
  }
  m_isDiskRefusing = aRefusal.has_value();
  if (aRefusal) {
    LogLine(Level::kError, "the disk refuses writes, trying again")
      .With("reason", storage::ToText(*aRefusal))
      .Write();
  } else {
    LogLine(Level::kInfo, "the disk takes writes again").Write();
  }
}

kj::Promise<void>
Node::SnapshotLoop()
{
  return m_encoded.Take().then([this](std::vector<EncodedState> aDone) {
    for (EncodedState& encoded : aDone) {
      m_encoding = false;
      m_snapshotBytes = encoded.m_bytes.size();
      m_replica.Compact(encoded.m_index, std::move(encoded.m_bytes));
    }
    Pump();
    return SnapshotLoop();
  });
}

void
Node::Pump()
{
  if (m_pumping) {
    return;
  }
  m_pumping = true;
  for (auto actions = m_replica.TakeActions(); !actions.empty();
       actions = m_replica.TakeActions()) {
    for (consensus::Action& action : actions) {
      std::visit([this](auto& aOne) { Run(std::move(aOne)); }, action);
    }
    MaybeCompact();
  }
  m_pumping = false;
}

void
Node::Run(consensus::Persist aPersist)
{
  m_disk.Write(std::move(aPersist));
}

std::optional<std::string>
Node::AddressOf(const consensus::ReplicaId& aId) const
{
  if (const auto* member = m_replica.CurrentMembership().Find(aId)) {
    return member->m_address;
  }
  const auto found = m_replyTo.find(aId);
  return found == m_replyTo.end() ? std::nullopt
                                  : std::optional{ found->second };
}

Node::Peer*
Node::FindPeer(const consensus::ReplicaId& aId)
{
  const std::optional<std::string> address = AddressOf(aId);
  if (!address) {
    return nullptr;
  }
  Peer& peer = m_peers[*address];
  if (peer.m_channel.get() == nullptr) {
    peer.m_channel =
      kj::refcounted<rpc::Channel>(m_provider.getNetwork(), *address);
    peer.m_lastAnswer = MonotonicNow();
  }
  return &peer;
}

void
Node::Run(const consensus::Send& aSend)
{
  Peer* peer = FindPeer(aSend.m_message.m_to);
  if (peer == nullptr) {
    return;
  }
  const TimePoint now = MonotonicNow();
  // A silent cut keeps the connection open; TCP would wait minutes before it
  // tries again. A new connection finds out at once when the cut is over.
  if (peer->m_outstanding > 0 && now > peer->m_lastAnswer + kPeerSilence) {
    peer->m_channel->Drop();
    peer->m_lastAnswer = now;
  }
  if (peer->m_outstanding >= kMaxOutstanding) {
    return;
  }
  if (peer->m_outstanding == 0) {
    peer->m_lastAnswer = now;
  }
  ++peer->m_outstanding;
  auto request = peer->m_channel->Get().deliverRequest();
  wire::Write(aSend.m_message, request.initMessage());
  request.setReplyTo(m_options.m_address);
  m_tasks.add(request.send().ignoreResult().then(
    [peer]() {
      --peer->m_outstanding;
      peer->m_lastAnswer = MonotonicNow();
    },
    [peer](kj::Exception&&) {
      --peer->m_outstanding;
      peer->m_channel->Drop();
    }));
}

void
Node::Run(const consensus::Apply& aApply)
{
  const Index viewBefore = m_state.ViewRevision();
  for (const consensus::LogEntry& entry : aApply.m_entries) {
    Decided decided;
    decided.m_index = entry.m_index;
    if (const auto* bytes =
          std::get_if<consensus::CommandBytes>(&entry.m_payload)) {
      m_bytesSinceSnapshot += bytes->m_bytes.size();
      if (const auto command = fleet::DecodeCommand(bytes->m_bytes)) {
        decided.m_effect = m_state.Apply(entry.m_index, *command);
      }
    }
    const auto waiter = m_waiters.find(entry.m_index);
    if (waiter == m_waiters.end()) {
      continue;
    }
    // Another leader's entry took this position: ours was never decided.
    if (waiter->second.m_term != entry.m_term) {
      decided.m_effect.reset();
      decided.m_error = consensus::Error::kNotLeader;
    }
    waiter->second.m_fulfiller->fulfill(kj::mv(decided));
    m_waiters.erase(waiter);
  }
  if (m_state.ViewRevision() != viewBefore) {
    WakeViewWaiters();
  }
}

void
Node::Run(const consensus::Restore& aRestore)
{
  auto state = fleet::State::Decode(aRestore.m_snapshot.m_state);
  if (!state) {
    m_onDiskFailure(storage::Failure{ storage::Error::kDamaged,
                                      "snapshot",
                                      aRestore.m_snapshot.m_index.Get(),
                                      "the state does not decode" });
    return;
  }
  m_state = std::move(*state);
  WakeViewWaiters();
}

void
Node::MaybeCompact()
{
  const std::uint64_t applied = m_state.Applied().Get();
  const std::uint64_t snapshot = m_replica.SnapshotIndex().Get();
  const bool enough = applied >= snapshot + m_options.m_snapshotEvery;
  // A large state is written again only after as many bytes of commands, so
  // that snapshots never cost more than the log itself.
  if (enough && !m_encoding && m_bytesSinceSnapshot >= m_snapshotBytes) {
    m_encoding = true;
    m_bytesSinceSnapshot = 0;
    m_snapshots.Encode(m_state);
  }
}

void
Node::FollowRole()
{
  const bool leads = m_replica.CurrentRole() == consensus::Role::kLeader;
  if (leads == m_wasLeader) {
    return;
  }
  m_wasLeader = leads;
  LogLine(Level::kInfo, leads ? "became leader" : "stopped being leader")
    .With("term", m_replica.CurrentTerm().Get())
    .With("commit", m_replica.CommitIndex().Get())
    .Write();
  if (leads) {
    m_registry.Reset(MonotonicNow());
    m_marks.clear();
    m_policy.Reset();
  } else {
    FailWaiters();
  }
}

// Whether these commands are committed is for a later leader to find out;
// their senders ask it with the same ids.
void
Node::FailWaiters()
{
  for (auto& [index, waiter] : m_waiters) {
    Decided decided;
    decided.m_index = index;
    decided.m_error = consensus::Error::kNotLeader;
    waiter.m_fulfiller->fulfill(kj::mv(decided));
  }
  m_waiters.clear();
  WakeViewWaiters();
}

// ----------------------------------------------------------- leader's duties

void
Node::ProposeAlone(const fleet::Command& aCommand)
{
  ++m_proposedAlone;
  m_tasks.add(
    Propose(aCommand).then([this](const Decided&) { --m_proposedAlone; }));
}

void
Node::Lead(TimePoint aNow)
{
  // One round at a time: what is proposed but not applied would be proposed
  // again and again.
  if (m_proposedAlone > 0) {
    return;
  }
  const auto lost = m_registry.FindLost(m_state.Instances(), aNow);
  if (!lost.empty()) {
    ProposeAlone(fleet::LoseInstances{ lost });
  }
  ExpireOutcomes(aNow);
  AdvanceWaves(aNow);
  DropSilentVoter(aNow);
}

void
Node::ExpireOutcomes(TimePoint aNow)
{
  if (m_marks.empty() || aNow >= m_marks.back().m_at + kMarkInterval) {
    m_marks.push_back({ m_state.Applied(), aNow });
  }
  const Duration keep =
    std::chrono::seconds{ m_state.CurrentConfig().m_outcomeKeepSeconds };
  std::optional<Index> upTo;
  while (!m_marks.empty() && m_marks.front().m_at + keep < aNow) {
    upTo = m_marks.front().m_index;
    m_marks.pop_front();
  }
  if (upTo && m_state.Outcomes().Size() > 0) {
    ProposeAlone(outcome::Expire{ *upTo });
  }
}

void
Node::AdvanceWaves(TimePoint aNow)
{
  const waves::Observed observed{ [&](const fleet::Instance& aInstance) {
    return m_registry.IsEmpty(aInstance, aNow);
  } };
  for (const fleet::Command& command : waves::NextSteps(m_state, observed)) {
    ProposeAlone(command);
  }
  if (m_options.m_restart) {
    for (const fleet::Instance* instance : waves::Released(m_state)) {
      m_options.m_restart(*instance);
    }
  }
}

// -------------------------------------------------------------------- calls

kj::Promise<Decided>
Node::Propose(const fleet::Command& aCommand)
{
  Index index;
  const consensus::Error error =
    m_replica.Propose(fleet::EncodeCommand(aCommand), MonotonicNow(), index);
  if (error != consensus::Error::kNone) {
    Decided refused;
    refused.m_error = error;
    return refused;
  }
  auto pair = kj::newPromiseAndFulfiller<Decided>();
  m_waiters[index] =
    Waiter{ m_replica.CurrentTerm(), MonotonicNow(), kj::mv(pair.fulfiller) };
  Pump();
  return kj::mv(pair.promise);
}

bool
Node::IsServing() const
{
  return m_replica.IsReady() && IsSafelyFormed() &&
         m_replica.HoldsLease(MonotonicNow());
}

// With all disks full the leader still hears its peers and keeps its lease, but
// commits nothing. A caller would wait in vain, and could not be told
// afterwards whether its job runs.
bool
Node::IsStalled() const
{
  return !m_waiters.empty() &&
         MonotonicNow() > m_waiters.begin()->second.m_since + kStalledAfter;
}

// That the group was formed is on record, as a voter that is being replaced
// later leaves one less for a moment.
bool
Node::IsSafelyFormed() const
{
  return m_options.m_seeds.empty() || m_state.IsFormed();
}

void
Node::NoteFormation(TimePoint aNow)
{
  const auto& membership = m_replica.CurrentMembership();
  if (m_state.IsFormed() || m_proposedAlone > 0 || !m_replica.IsReady() ||
      !m_policy.IsFormed(membership, aNow)) {
    return;
  }
  LogLine(Level::kInfo, "the group is formed")
    .With("voters", membership.VoterCount())
    .Write();
  ProposeAlone(fleet::MarkFormed{});
}

std::string
Node::LeaderAddress() const
{
  const auto leader = m_replica.Leader();
  if (!leader) {
    return {};
  }
  const consensus::Member* member = m_replica.CurrentMembership().Find(*leader);
  return member != nullptr ? member->m_address : std::string{};
}

kj::Promise<bool>
Node::WaitInForce(Index aRevision)
{
  auto pair = kj::newPromiseAndFulfiller<bool>();
  m_inForce.push_back(
    InForceWaiter{ aRevision,
                   MonotonicNow() + m_options.m_inForcePatience,
                   kj::mv(pair.fulfiller) });
  CheckInForce();
  return kj::mv(pair.promise);
}

void
Node::CheckInForce()
{
  const TimePoint now = MonotonicNow();
  for (auto it = m_inForce.begin(); it != m_inForce.end();) {
    const bool holds = IsServing() && m_registry.InForce(it->m_revision, now);
    if (!holds && now < it->m_until) {
      ++it;
      continue;
    }
    it->m_fulfiller->fulfill(kj::cp(holds));
    it = m_inForce.erase(it);
  }
}

kj::Promise<void>
Node::WaitViewChange(Index aRevision)
{
  if (m_state.ViewRevision() > aRevision) {
    return kj::READY_NOW;
  }
  // Those whose hold time ended are of no use any more.
  std::erase_if(m_viewWaiters, [](auto& aOne) { return !aOne->isWaiting(); });
  auto pair = kj::newPromiseAndFulfiller<void>();
  m_viewWaiters.push_back(kj::mv(pair.fulfiller));
  return pair.promise.exclusiveJoin(
    m_timer.afterDelay(ToKj(m_options.m_syncHold)));
}

void
Node::WakeViewWaiters()
{
  for (auto& waiter : std::exchange(m_viewWaiters, {})) {
    waiter->fulfill();
  }
}

void
Node::Deliver(const consensus::Message& aMessage, std::string aReplyTo)
{
  if (m_replica.CurrentMembership().Find(aMessage.m_from) == nullptr) {
    m_replyTo[aMessage.m_from] = std::move(aReplyTo);
  }
  m_policy.OnHeard(aMessage.m_from, MonotonicNow());
  m_replica.Receive(aMessage, MonotonicNow());
  Pump();
  FollowRole();
}

// ---------------------------------------------------------- forming a group

// A process without a disk may be among the seeds. Whether it is does not
// change while it lives at its address, so what it said once holds.
std::vector<std::string>
Node::SeedsWithLog() const
{
  std::vector<std::string> seeds = m_options.m_seeds;
  std::erase_if(seeds, [this](const std::string& aSeed) {
    return m_seedsWithoutLog.contains(aSeed);
  });
  return seeds;
}

// The lowest seed that keeps a log starts the group and the others ask for
// admission, so that there is one group however they start. It does so only at
// the first start of the whole system: a replica whose disk was emptied later
// must not found a second group beside the one that knows everything.
void
Node::FormGroup()
{
  const std::vector<std::string> seeds = SeedsWithLog();
  const bool founds =
    m_options.m_formGroup && IsEmptyReplica() && !seeds.empty() &&
    *std::min_element(seeds.begin(), seeds.end()) == m_options.m_address;
  if (founds) {
    LogLine(Level::kInfo, "forming the group").With("seeds", seeds).Write();
    Bootstrap();
  }
}

// One that was taken out while it was away does not know: its own log still
// names it. No leader writes to it any more, and its calls for a vote are
// refused by all that hear the leader, so it would stay away for good.
bool
Node::NeedsAdmission(TimePoint aNow)
{
  if (m_replica.Leader()) {
    m_hadLeaderAt = aNow;
  }
  const auto& membership = m_replica.CurrentMembership();
  return membership.Find(m_replica.Self()) == nullptr ||
         aNow > m_hadLeaderAt + kLeaderless;
}

kj::Promise<void>
Node::JoinLoop()
{
  FormGroup();
  const auto& membership = m_replica.CurrentMembership();
  if (NeedsAdmission(MonotonicNow())) {
    AskSeeds();
    for (const consensus::Member& member : membership.m_members) {
      m_tasks.add(AskAdmission(member.m_address));
    }
  } else if (!m_state.IsFormed()) {
    // The leader waits for as many replicas as there are seeds; those without
    // a log are found out only by asking.
    AskSeeds();
  }
  return m_timer.afterDelay(ToKj(kJoinInterval)).then([this]() {
    return JoinLoop();
  });
}

void
Node::AskSeeds()
{
  for (const std::string& seed : SeedsWithLog()) {
    if (seed != m_options.m_address) {
      m_tasks.add(AskAdmission(seed));
    }
  }
}

kj::Promise<void>
Node::AskAdmission(const std::string& aSeed)
{
  auto channel = kj::refcounted<rpc::Channel>(m_provider.getNetwork(), aSeed);
  auto request = channel->Get().joinRequest();
  wire::Write(m_replica.Self(), request.initId());
  request.setAddress(m_options.m_address);
  auto asked =
    request.send().then([this, aSeed](auto&& aReply) -> kj::Promise<void> {
      if (aReply.getHasNoLog()) {
        m_seedsWithoutLog.insert(aSeed);
        m_policy.SetLeastVoters(SeedsWithLog().size());
      }
      const std::string leader = aReply.getLeaderAddress();
      if (aReply.getOutcome() == schema::SyncOutcome::OK || leader.empty() ||
          leader == m_options.m_address) {
        return kj::READY_NOW;
      }
      auto next = kj::refcounted<rpc::Channel>(m_provider.getNetwork(), leader);
      auto again = next->Get().joinRequest();
      wire::Write(m_replica.Self(), again.initId());
      again.setAddress(m_options.m_address);
      return again.send().ignoreResult().attach(kj::mv(next));
    });
  // A seed that is down or cut off is asked again with the next round.
  return asked.attach(kj::mv(channel))
    .exclusiveJoin(m_timer.afterDelay(ToKj(kPeerSilence)))
    .catch_([](kj::Exception&&) {});
}

consensus::Error
Node::Admit(const consensus::Member& aMember)
{
  const auto error = m_replica.AddMember(aMember, MonotonicNow());
  if (error == consensus::Error::kNone) {
    LogLine(Level::kInfo, "admitting a replica")
      .With("replica", aMember.m_id.m_instance.Get())
      .With("address", aMember.m_address)
      .Write();
  }
  Pump();
  return error;
}

// One that comes back asks for admission like any other.
void
Node::DropSilentVoter(TimePoint aNow)
{
  if (m_options.m_seeds.empty()) {
    return;
  }
  const consensus::Membership membership = m_replica.CurrentMembership();
  std::vector<consensus::ReplicaId> synced;
  for (const consensus::Member& member : membership.m_members) {
    if (!member.m_voter &&
        m_replica.MatchOf(member.m_id) >= m_replica.CommitIndex()) {
      synced.push_back(member.m_id);
    }
  }
  const auto silent =
    m_policy.FindReplaceable(membership, m_replica.Self(), synced, aNow);
  if (silent) {
    LogLine(Level::kWarning, "taking out a silent voter")
      .With("replica", silent->m_id.m_instance.Get())
      .With("voters", membership.VoterCount())
      .With("syncedLearners", synced.size())
      .Write();
    RemoveMember(silent->m_id.m_instance);
  }
}

bool
Node::IsEmptyReplica() const
{
  return m_replica.LastIndex() == Index{};
}

consensus::Error
Node::Bootstrap()
{
  const auto error = m_replica.Bootstrap(m_options.m_address, MonotonicNow());
  Pump();
  FollowRole();
  return error;
}

kj::Promise<consensus::Error>
Node::AddMember(std::string aAddress)
{
  auto channel =
    kj::refcounted<rpc::Channel>(m_provider.getNetwork(), aAddress);
  auto identified = channel->Get().identifyRequest().send();
  return identified.then([this,
                          address = std::move(aAddress),
                          channel = kj::mv(channel)](auto aReply) mutable {
    const consensus::Member member{ wire::Read(aReply.getId()),
                                    address,
                                    false };
    const auto error = m_replica.AddMember(member, MonotonicNow());
    Pump();
    return error;
  });
}

consensus::Error
Node::RemoveMember(const InstanceId& aInstance)
{
  const auto error = m_replica.RemoveMember(aInstance, MonotonicNow());
  Pump();
  return error;
}

} // namespace bamboostile::control
