#include "bamboostile/control/node.h"

#include "bamboostile/schema/text.h"
#include "bamboostile/telemetry/log.h"
#include "bamboostile/units/visit.h"
#include "bamboostile/wire/consensus_codec.h"

#include <algorithm>

namespace bamboostile::control {

namespace {

using telemetry::Level;
using telemetry::LogLine;

constexpr Duration kTickInterval = Millis{ 20 };
constexpr Duration kDutyInterval = Millis{ 200 };
constexpr Duration kAdmissionTimeout = Millis{ 350 };
/** Interval between two requests for admission. */
constexpr Duration kJoinInterval = Millis{ 300 };
/** Time without a leader after which a member asks for admission again, in case
 * it was removed; most elections end sooner. */
constexpr Duration kMaxLeaderlessTime = Millis{ 3000 };
constexpr Duration kIndexTimeInterval = Millis{ 5000 };
/** Far above a commit on slow disks, and well below the time that callers wait.
 */
constexpr Duration kStallThreshold = Millis{ 800 };
/** Maximum time that a stopping leader waits for its successor. An election
 * without timeouts takes less, even on slow disks. */
constexpr Duration kHandoverTimeout = Millis{ 300 };
/** Maximum time that a stopping voter waits until a learner has its vote. Two
 * changes of the members take less, even on slow disks. */
constexpr Duration kDepartureTimeout = Millis{ 500 };

kj::Duration
ToKj(Duration aDuration)
{
  return aDuration.count() * kj::MICROSECONDS;
}

consensus::ReplicaOptions
OptionsOf(consensus::ReplicaOptions aOptions, const consensus::ReplicaId& aSelf)
{
  aOptions.m_seed = aSelf.m_incarnation.Get();
  aOptions.m_stateVersion = fleet::kStateVersion;
  return aOptions;
}

} // namespace

Node::Node(NodeOptions aOptions,
           storage::OpenResult aOpened,
           std::unique_ptr<storage::LogStore> aStore,
           kj::AsyncIoProvider& aProvider,
           std::function<void(const storage::Failure&)> aOnDiskFailure)
  : m_options(std::move(aOptions))
  , m_provider(aProvider)
  , m_timer(aProvider.getTimer())
  , m_onDiskFailure(std::move(aOnDiskFailure))
  , m_replica(aOpened.m_self,
              OptionsOf(m_options.m_replica, aOpened.m_self),
              std::move(aOpened.m_recovered),
              MonotonicNow())
  , m_registry(m_options.m_membership)
  , m_disk(std::move(aStore), m_reports)
  , m_snapshots(m_encoded)
  , m_policy(m_options.m_membershipPolicy)
  , m_links(aProvider, m_options.m_address, m_peerStatistics)
  , m_transfers(m_options.m_address, m_peerStatistics)
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

kj::Promise<void>
Node::TickLoop()
{
  const TimePoint now = MonotonicNow();
  m_replica.Tick(now);
  Pump();
  UpdateRole();
  CheckInForce();
  if (now >= m_nextDuties) {
    m_nextDuties = now + kDutyInterval;
    RecordFormation(now);
    m_monitor.LogFollowersBehind(m_replica, now);
    if (IsServing()) {
      RunLeaderDuties(now);
    }
  }
  return m_timer.afterDelay(ToKj(kTickInterval)).then([this]() {
    return TickLoop();
  });
}

kj::Promise<void>
Node::DiskLoop()
{
  return m_reports.Take().then([this](const std::vector<DiskReport>& aReports) {
    for (const DiskReport& report : aReports) {
      if (report.m_failure && !storage::IsRetryable(*report.m_failure)) {
        m_onDiskFailure(*report.m_failure);
        return kj::Promise<void>(kj::READY_NOW);
      }
      UpdateDiskState(report.m_failure);
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
Node::UpdateDiskState(const std::optional<storage::Failure>& aFailure)
{
  if (aFailure.has_value() == m_isDiskFailing) {
    return;
  }
  m_isDiskFailing = aFailure.has_value();
  if (aFailure) {
    LogLine(Level::kError, "disk write failed, retrying")
      .With("reason", storage::ToText(*aFailure))
      .Write();
  } else {
    LogLine(Level::kInfo, "disk write succeeded after retries").Write();
  }
}

kj::Promise<void>
Node::SnapshotLoop()
{
  return m_encoded.Take().then([this](std::vector<EncodedState> aEncoded) {
    for (EncodedState& encoded : aEncoded) {
      m_isEncoding = false;
      m_snapshotBytes = encoded.m_bytes.size();
      m_replica.Compact(
        encoded.m_index, std::move(encoded.m_bytes), MonotonicNow());
    }
    Pump();
    return SnapshotLoop();
  });
}

void
Node::Pump()
{
  if (m_isPumping) {
    return;
  }
  m_isPumping = true;
  for (auto actions = m_replica.TakeActions(); !actions.empty();
       actions = m_replica.TakeActions()) {
    for (consensus::Action& action : actions) {
      std::visit([this](auto& aAction) { Run(std::move(aAction)); }, action);
    }
    MaybeCompact();
  }
  m_isPumping = false;
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

void
Node::Run(consensus::Send aSend)
{
  const std::optional<std::string> address = AddressOf(aSend.m_message.m_to);
  if (!address) {
    return;
  }
  // A learner gets much data, and no commit waits for it.
  const bool isTransfer =
    std::holds_alternative<consensus::SnapshotChunk>(aSend.m_message.m_body) ||
    !m_replica.CurrentMembership().IsVoter(aSend.m_message.m_to);
  if (isTransfer) {
    m_transfers.Send(*address, std::move(aSend.m_message));
  } else {
    m_links.Send(*address, aSend.m_message);
  }
}

void
Node::Run(const consensus::Apply& aApply)
{
  const Index viewBefore = m_state.ViewRevision();
  for (const consensus::LogEntry& entry : aApply.m_entries) {
    ProposalResult result;
    result.m_index = entry.m_index;
    if (const auto* bytes =
          std::get_if<consensus::CommandBytes>(&entry.m_payload)) {
      m_bytesSinceSnapshot += bytes->m_bytes.size();
      if (const auto command = fleet::DecodeCommand(bytes->m_bytes)) {
        result.m_effect = m_state.Apply(entry.m_index, *command);
      }
    }
    const auto waiter = m_waiters.find(entry.m_index);
    if (waiter == m_waiters.end()) {
      continue;
    }
    // Another leader's entry is at this position: our command was not
    // committed.
    if (waiter->second.m_term != entry.m_term) {
      result.m_effect.reset();
      result.m_error = consensus::Error::kNotLeader;
    }
    waiter->second.m_fulfiller->fulfill(kj::mv(result));
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
                                      "cannot decode the state" });
    return;
  }
  m_state = std::move(*state);
  WakeViewWaiters();
}

void
Node::Run(const consensus::Notice& aNotice)
{
  m_monitor.OnNotice(aNotice, MonotonicNow());
}

void
Node::ExportMetrics(telemetry::Metrics& aMetrics) const
{
  m_monitor.Export(m_replica, aMetrics);
  aMetrics.SetTotal("control_peer_timeouts_total",
                    static_cast<double>(m_peerStatistics.m_timeouts));
  aMetrics.SetTotal("control_messages_dropped_total",
                    static_cast<double>(m_peerStatistics.m_dropped));
}

void
Node::MaybeCompact()
{
  const std::uint64_t applied = m_state.Applied().Get();
  const std::uint64_t snapshot = m_replica.SnapshotIndex().Get();
  const bool isDue = applied >= snapshot + m_options.m_snapshotEvery ||
                     (applied > snapshot &&
                      m_bytesSinceSnapshot >= m_options.m_snapshotEveryBytes);
  // A large state is encoded again only after as many bytes of commands, so
  // that snapshots never cost more than the log itself.
  if (isDue && !m_isEncoding && m_bytesSinceSnapshot >= m_snapshotBytes) {
    m_isEncoding = true;
    m_bytesSinceSnapshot = 0;
    m_snapshots.Encode(m_state);
  }
}

void
Node::UpdateRole()
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
    m_indexTimes.clear();
    m_policy.Reset();
  } else {
    FailWaiters();
  }
}

// A later leader finds out whether these commands are committed; their senders
// ask it with the same ids.
void
Node::FailWaiters()
{
  for (auto& [index, waiter] : m_waiters) {
    ProposalResult result;
    result.m_index = index;
    result.m_error = consensus::Error::kNotLeader;
    waiter.m_fulfiller->fulfill(kj::mv(result));
  }
  m_waiters.clear();
  WakeViewWaiters();
}

kj::Promise<void>
Node::HandOver()
{
  if (!m_replica.HandOver(MonotonicNow())) {
    return kj::READY_NOW;
  }
  LogLine(Level::kInfo, "leadership handed over")
    .With("term", m_replica.CurrentTerm().Get())
    .Write();
  Pump();
  UpdateRole();
  return AwaitLeader(MonotonicNow() + kHandoverTimeout);
}

kj::Promise<void>
Node::Depart()
{
  return HandOver().then(
    [this]() { return AwaitReplacement(MonotonicNow() + kDepartureTimeout); });
}

// The departure is announced again until the vote is gone: a message may be
// lost, and a new leader knows of none.
kj::Promise<void>
Node::AwaitReplacement(TimePoint aUntil)
{
  if (MonotonicNow() >= aUntil || !m_replica.AnnounceDeparture()) {
    return kj::READY_NOW;
  }
  Pump();
  return m_timer.afterDelay(ToKj(kTickInterval)).then([this, aUntil]() {
    return AwaitReplacement(aUntil);
  });
}

// Until then this process answers calls, so that its callers are told about the
// next leader.
kj::Promise<void>
Node::AwaitLeader(TimePoint aUntil)
{
  if (m_replica.Leader() || MonotonicNow() >= aUntil) {
    return kj::READY_NOW;
  }
  return m_timer.afterDelay(ToKj(kTickInterval)).then([this, aUntil]() {
    return AwaitLeader(aUntil);
  });
}

void
Node::ProposeDuty(const fleet::Command& aCommand)
{
  ++m_pendingDuties;
  m_tasks.add(Propose(aCommand).then(
    [this](const ProposalResult&) { --m_pendingDuties; }));
}

void
Node::RunLeaderDuties(TimePoint aNow)
{
  // Only one round is in progress at a time: commands that are proposed but not
  // yet applied would be proposed again.
  if (m_pendingDuties > 0) {
    return;
  }
  const auto lost = m_registry.FindLost(m_state.Instances(), aNow);
  if (!lost.empty()) {
    ProposeDuty(fleet::LoseInstances{ lost });
  }
  ExpireOutcomes(aNow);
  AdvanceWaves(aNow);
  RemoveUnresponsiveVoter(aNow);
  RaiseStateVersion();
}

void
Node::RaiseStateVersion()
{
  const std::uint32_t common = m_replica.CommonStateVersion();
  if (common > m_state.Version()) {
    LogLine(Level::kInfo, "all replicas apply a later version of the state")
      .With("version", common)
      .With("before", m_state.Version())
      .Write();
    ProposeDuty(fleet::RaiseVersion{ common });
  }
}

void
Node::ExpireOutcomes(TimePoint aNow)
{
  if (m_indexTimes.empty() ||
      aNow >= m_indexTimes.back().m_at + kIndexTimeInterval) {
    m_indexTimes.push_back({ m_state.Applied(), aNow });
  }
  const Duration keep =
    std::chrono::seconds{ m_state.CurrentConfig().m_outcomeKeepSeconds };
  std::optional<Index> upTo;
  while (!m_indexTimes.empty() && m_indexTimes.front().m_at + keep < aNow) {
    upTo = m_indexTimes.front().m_index;
    m_indexTimes.pop_front();
  }
  if (upTo && m_state.Outcomes().Size() > 0) {
    ProposeDuty(outcome::Expire{ *upTo });
  }
}

void
Node::AdvanceWaves(TimePoint aNow)
{
  const waves::Observations observations{ [&](
                                            const fleet::Instance& aInstance) {
    return m_registry.IsDrained(aInstance, aNow);
  } };
  for (const fleet::Command& command :
       waves::NextSteps(m_state, observations)) {
    ProposeDuty(command);
  }
  if (m_options.m_restart) {
    for (const fleet::Instance* instance : waves::AwaitingRestart(m_state)) {
      m_options.m_restart(*instance);
    }
  }
}

kj::Promise<ProposalResult>
Node::Propose(const fleet::Command& aCommand)
{
  Index index;
  const consensus::Error error = m_replica.Propose(
    fleet::EncodeCommand(aCommand, m_state.Version()), MonotonicNow(), index);
  if (error != consensus::Error::kNone) {
    ProposalResult refused;
    refused.m_error = error;
    return refused;
  }
  auto pair = kj::newPromiseAndFulfiller<ProposalResult>();
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

// With all disks full, the leader still hears from its peers and keeps its
// lease, but commits nothing. A caller would wait in vain and could not be told
// afterwards whether its job runs.
bool
Node::IsStalled() const
{
  return !m_waiters.empty() &&
         MonotonicNow() > m_waiters.begin()->second.m_since + kStallThreshold;
}

// The state records that the group was formed, as the number of voters drops by
// one for a moment when a voter is replaced later.
bool
Node::IsSafelyFormed() const
{
  return m_options.m_seeds.empty() || m_state.IsFormed();
}

void
Node::RecordFormation(TimePoint aNow)
{
  const auto& membership = m_replica.CurrentMembership();
  if (m_state.IsFormed() || m_pendingDuties > 0 || !m_replica.IsReady() ||
      !m_policy.IsFormed(membership, aNow)) {
    return;
  }
  LogLine(Level::kInfo, "the group is formed")
    .With("voters", membership.VoterCount())
    .Write();
  ProposeDuty(fleet::MarkFormed{});
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
  m_inForceWaiters.push_back(
    InForceWaiter{ aRevision,
                   MonotonicNow() + m_options.m_inForceTimeout,
                   kj::mv(pair.fulfiller) });
  CheckInForce();
  return kj::mv(pair.promise);
}

void
Node::CheckInForce()
{
  const TimePoint now = MonotonicNow();
  for (auto it = m_inForceWaiters.begin(); it != m_inForceWaiters.end();) {
    const bool holds = IsServing() && m_registry.InForce(it->m_revision, now);
    if (!holds && now < it->m_deadline) {
      ++it;
      continue;
    }
    it->m_fulfiller->fulfill(kj::cp(holds));
    it = m_inForceWaiters.erase(it);
  }
}

kj::Promise<void>
Node::WaitViewChange(Index aRevision)
{
  if (m_state.ViewRevision() > aRevision) {
    return kj::READY_NOW;
  }
  // Waiters whose hold time has ended are no longer needed.
  std::erase_if(m_viewWaiters,
                [](auto& aWaiter) { return !aWaiter->isWaiting(); });
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
  m_policy.OnMessage(aMessage.m_from, MonotonicNow());
  m_replica.Receive(aMessage, MonotonicNow());
  Pump();
  UpdateRole();
}

// The seeds may include a process without a disk. This does not change while
// the process runs at its address, so its answer stays valid.
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
// admission, so that only one group forms, whatever the order of starts. This
// happens only at the first start of the whole system: a replica whose disk was
// emptied later must not form a second group beside the one that holds the
// state.
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

// A replica that was removed while it was away does not know it, as its own log
// still names it as a member. The leader no longer sends to it, and all
// replicas that hear from the leader refuse its vote requests, so without this
// it would never rejoin.
bool
Node::NeedsAdmission(TimePoint aNow)
{
  if (m_replica.Leader()) {
    m_lastLeaderAt = aNow;
  }
  const auto& membership = m_replica.CurrentMembership();
  return membership.Find(m_replica.Self()) == nullptr ||
         aNow > m_lastLeaderAt + kMaxLeaderlessTime;
}

kj::Promise<void>
Node::JoinLoop()
{
  FormGroup();
  const auto& membership = m_replica.CurrentMembership();
  if (NeedsAdmission(MonotonicNow())) {
    RequestAdmissionFromSeeds();
    for (const consensus::Member& member : membership.m_members) {
      m_tasks.add(RequestAdmission(member.m_address));
    }
  } else if (!m_state.IsFormed()) {
    // The leader waits for as many replicas as there are seeds; only a request
    // shows which seeds keep no log.
    RequestAdmissionFromSeeds();
  }
  return m_timer.afterDelay(ToKj(kJoinInterval)).then([this]() {
    return JoinLoop();
  });
}

void
Node::RequestAdmissionFromSeeds()
{
  for (const std::string& seed : SeedsWithLog()) {
    if (seed != m_options.m_address) {
      m_tasks.add(RequestAdmission(seed));
    }
  }
}

kj::Promise<void>
Node::RequestAdmission(const std::string& aSeed)
{
  auto channel = kj::refcounted<rpc::Channel>(m_provider.getNetwork(), aSeed);
  auto request = channel->Get().joinRequest();
  wire::Write(m_replica.Self(), request.initId());
  request.setAddress(ToText(m_options.m_address));
  auto admission =
    request.send().then([this, aSeed](auto&& aReply) -> kj::Promise<void> {
      if (aReply.getHasNoLog()) {
        m_seedsWithoutLog.insert(aSeed);
        m_policy.SetMinVoters(SeedsWithLog().size());
      }
      const std::string leader = aReply.getLeaderAddress();
      if (aReply.getOutcome() == schema::SyncOutcome::OK || leader.empty() ||
          leader == m_options.m_address) {
        return kj::READY_NOW;
      }
      auto next = kj::refcounted<rpc::Channel>(m_provider.getNetwork(), leader);
      auto again = next->Get().joinRequest();
      wire::Write(m_replica.Self(), again.initId());
      again.setAddress(ToText(m_options.m_address));
      return again.send().ignoreResult().attach(kj::mv(next));
    });
  // A seed that is down or unreachable is asked again in the next round.
  return admission.attach(kj::mv(channel))
    .exclusiveJoin(m_timer.afterDelay(ToKj(kAdmissionTimeout)))
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

// A removed voter that returns asks for admission like any other replica.
void
Node::RemoveUnresponsiveVoter(TimePoint aNow)
{
  if (m_options.m_seeds.empty()) {
    return;
  }
  const consensus::Membership membership = m_replica.CurrentMembership();
  const auto caughtUp = m_replica.LearnersCaughtUp(aNow);
  const auto unresponsive =
    m_policy.FindReplaceable(membership, m_replica.Self(), caughtUp, aNow);
  if (unresponsive) {
    LogLine(Level::kWarning, "removing unresponsive voter")
      .With("replica", unresponsive->m_id.m_instance.Get())
      .With("voters", membership.VoterCount())
      .With("syncedLearners", caughtUp.size())
      .Write();
    RemoveMember(unresponsive->m_id.m_instance);
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
  UpdateRole();
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
