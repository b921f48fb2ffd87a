#include "replicas.h"

#include "bamboostile/units/visit.h"

#include <sstream>

namespace bamboostile::test {

namespace {

using consensus::Apply;
using consensus::Persist;
using consensus::Restore;
using consensus::Send;

constexpr Duration kStep = Millis{ 1 };
constexpr Duration kTickInterval = Millis{ 10 };

std::string
AddressOf(std::size_t aNode)
{
  return "r" + std::to_string(aNode);
}

std::string
TextOf(const consensus::LogEntry& aEntry)
{
  std::ostringstream text;
  text << aEntry.m_term.Get() << ":";
  if (const auto* command =
        std::get_if<consensus::CommandBytes>(&aEntry.m_payload)) {
    text << command->m_bytes;
  } else {
    text << "#" << aEntry.m_payload.index();
  }
  return text.str();
}

std::size_t
SizeOf(const consensus::Message& aMessage)
{
  constexpr std::size_t kOverhead = 100;
  const std::size_t bytes = std::visit(
    Overloaded{
      [](const consensus::SnapshotChunk& aChunk) {
        return aChunk.m_bytes.size();
      },
      [](const consensus::AppendRequest& aAppend) {
        std::size_t sum = 0;
        for (const consensus::LogEntry& entry : aAppend.m_entries) {
          sum += TextOf(entry).size();
        }
        return sum +
               (aAppend.m_fragment ? aAppend.m_fragment->m_bytes.size() : 0);
      },
      [](const auto&) { return std::size_t{ 0 }; },
    },
    aMessage.m_body);
  return kOverhead + bytes;
}

void
WriteTo(consensus::RecoveredState& aDisk, const Persist& aPersist)
{
  if (aPersist.m_hardState) {
    aDisk.m_hardState = *aPersist.m_hardState;
  }
  auto& entries = aDisk.m_entries;
  if (aPersist.m_snapshot) {
    aDisk.m_snapshot = aPersist.m_snapshot;
    entries.clear();
  }
  for (const auto& entry : aPersist.m_entries) {
    while (!entries.empty() && entries.back().m_index >= entry.m_index) {
      entries.pop_back();
    }
    entries.push_back(entry);
  }
}

} // namespace

Replicas::Replicas(std::size_t aCount, std::uint64_t aSeed, Faults aFaults)
  : m_random(aSeed)
  , m_faults(aFaults)
  , m_nodes(aCount)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    m_nodes[i].m_rate = 0.96 + 0.08 * RandomFraction();
    LoseDisk(i);
    Start(i);
  }
}

double
Replicas::RandomFraction()
{
  return std::uniform_real_distribution<double>{ 0, 1 }(m_random);
}

Duration
Replicas::RandomUpTo(Duration aMax)
{
  return Duration{ static_cast<Duration::rep>(RandomFraction() *
                                              aMax.count()) };
}

void
Replicas::ReportViolation(const std::string& aViolation)
{
  if (m_violation.empty()) {
    m_violation = aViolation;
  }
}

TimePoint
Replicas::LocalNow(std::size_t aNode) const
{
  return TimePoint{ Duration{ static_cast<Duration::rep>(
    m_now.time_since_epoch().count() * m_nodes[aNode].m_rate) } };
}

bool
Replicas::Form(std::optional<std::size_t> aCount)
{
  At(0).Bootstrap(AddressOf(0), LocalNow(0));
  Drain(0);
  for (std::size_t i = 1; i < aCount.value_or(Size()); ++i) {
    const auto admitted = [&]() {
      const auto leader = Leader();
      if (leader && IsUp(i)) {
        At(*leader).AddMember({ At(i).Self(), AddressOf(i), false },
                              LocalNow(*leader));
        Drain(*leader);
      }
      if (!leader) {
        return false;
      }
      const auto& membership = At(*leader).CurrentMembership();
      const std::size_t maxVoters = m_faults.m_options.m_maxVoters;
      const std::size_t voters =
        maxVoters == 0 ? i + 1 : std::min(i + 1, maxVoters);
      return membership.m_members.size() == i + 1 &&
             membership.VoterCount() == voters;
    };
    if (!RunUntil(admitted, std::chrono::seconds{ 30 })) {
      return false;
    }
  }
  return true;
}

void
Replicas::Run(Duration aTime)
{
  const TimePoint until = m_now + aTime;
  while (m_now < until) {
    Step();
  }
}

bool
Replicas::RunUntil(const std::function<bool()>& aDone, Duration aLimit)
{
  const TimePoint until = m_now + aLimit;
  while (m_now < until) {
    if (aDone()) {
      return true;
    }
    Run(kTickInterval);
  }
  return aDone();
}

void
Replicas::Step()
{
  m_now += kStep;
  for (Node& node : m_nodes) {
    if (!node.m_frozen) {
      for (Event& event : std::exchange(node.m_backlog, {})) {
        Deliver(std::move(event));
      }
    }
  }
  while (!m_events.empty() && m_events.begin()->first <= m_now) {
    Event event = std::move(m_events.begin()->second);
    m_events.erase(m_events.begin());
    Deliver(std::move(event));
  }
  if (m_now.time_since_epoch() % kTickInterval == Duration::zero()) {
    for (std::size_t i = 0; i < Size(); ++i) {
      if (IsUp(i) && !m_nodes[i].m_frozen) {
        At(i).Tick(LocalNow(i));
        Drain(i);
      }
    }
    CheckLeases();
  }
}

void
Replicas::Deliver(Event aEvent)
{
  Node& node = m_nodes[aEvent.m_node];
  if (node.m_replica == nullptr || node.m_generation != aEvent.m_generation) {
    return;
  }
  // A frozen process reads all events from its buffers in order when it
  // resumes: a write that overtook another would leave a gap in the log on
  // disk.
  if (node.m_frozen) {
    node.m_backlog.push_back(std::move(aEvent));
    return;
  }
  if (aEvent.m_persist) {
    WriteTo(node.m_disk.m_state, *aEvent.m_persist);
    node.m_replica->OnPersisted(aEvent.m_persist->m_ticket,
                                LocalNow(aEvent.m_node));
  } else {
    node.m_replica->Receive(*aEvent.m_message, LocalNow(aEvent.m_node));
  }
  Drain(aEvent.m_node);
}

void
Replicas::Drain(std::size_t aNode)
{
  for (consensus::Action& action : At(aNode).TakeActions()) {
    Handle(aNode, std::move(action));
  }
  if (At(aNode).CurrentRole() == consensus::Role::kLeader) {
    const auto [found, isNew] =
      m_leaders.try_emplace(At(aNode).CurrentTerm(), At(aNode).Self());
    if (found->second != At(aNode).Self()) {
      ReportViolation("two leaders in term " +
                      std::to_string(found->first.Get()));
    }
  }
}

void
Replicas::Handle(std::size_t aNode, consensus::Action aAction)
{
  std::visit(
    Overloaded{
      [&](Persist& aPersist) {
        // A disk syncs writes in order, none earlier than the one before.
        TimePoint at = m_now + RandomUpTo(m_faults.m_maxSync);
        for (const auto& [time, event] : m_events) {
          const bool same = event.m_node == aNode && event.m_persist &&
                            event.m_generation == m_nodes[aNode].m_generation;
          at = same ? std::max(at, time) : at;
        }
        m_events.emplace(at,
                         Event{ aNode,
                                m_nodes[aNode].m_generation,
                                std::nullopt,
                                std::move(aPersist) });
      },
      [&](Send& aSend) {
        if (const auto* chunk =
              std::get_if<consensus::SnapshotChunk>(&aSend.m_message.m_body)) {
          m_snapshotBytesSent += chunk->m_bytes.size();
        }
        if (const auto* append =
              std::get_if<consensus::AppendRequest>(&aSend.m_message.m_body);
            append != nullptr && append->m_fragment) {
          m_fragmentBytesSent += append->m_fragment->m_bytes.size();
        }
        const auto to = NodeOf(aSend.m_message.m_to);
        if (!to || m_cuts.contains({ aNode, *to }) ||
            RandomFraction() < m_faults.m_loss) {
          return;
        }
        ReduceToCommonVersion(aSend.m_message, aNode, *to);
        const auto sentAt = ArrivalOf(aSend.m_message, aNode, *to);
        if (!sentAt) {
          return;
        }
        const int copies = RandomFraction() < m_faults.m_duplicate ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
          m_events.emplace(
            *sentAt + RandomUpTo(m_faults.m_maxDelay),
            Event{
              *to, m_nodes[*to].m_generation, aSend.m_message, std::nullopt });
        }
      },
      [&](Apply& aApply) {
        for (const auto& entry : aApply.m_entries) {
          RecordApplied(aNode, entry);
        }
      },
      [&](Restore& aRestore) {
        m_nodes[aNode].m_applied = aRestore.m_snapshot.m_index;
        if (aRestore.m_snapshot.m_state != StateOf(aNode)) {
          ReportViolation("a snapshot differs from the history");
        }
      },
      [](consensus::Notice&) {},
    },
    aAction);
}

void
Replicas::ReduceToCommonVersion(consensus::Message& aMessage,
                                std::size_t aFrom,
                                std::size_t aTo) const
{
  if (!m_earlierVersions.contains(aFrom) && !m_earlierVersions.contains(aTo)) {
    return;
  }
  if (auto* append = std::get_if<consensus::AppendRequest>(&aMessage.m_body)) {
    append->m_fragment.reset();
  }
  if (auto* reply = std::get_if<consensus::AppendReply>(&aMessage.m_body)) {
    reply->m_fragment.reset();
    reply->m_acceptsFragments = false;
    reply->m_stateVersion = 0;
  }
}

std::optional<TimePoint>
Replicas::ArrivalOf(const consensus::Message& aMessage,
                    std::size_t aFrom,
                    std::size_t aTo)
{
  const auto delay = m_delayTo.find(aTo);
  const TimePoint earliest =
    m_now + (delay == m_delayTo.end() ? Duration{} : delay->second);
  if (m_faults.m_linkRate == 0) {
    return earliest;
  }
  const Duration transit{ static_cast<Duration::rep>(
    SizeOf(aMessage) * std::micro::den / m_faults.m_linkRate) };
  if (transit > m_faults.m_connectionTimeout) {
    return std::nullopt;
  }
  TimePoint& freeAt = m_linkFreeAt[{ aFrom, aTo }];
  freeAt = std::max(freeAt, earliest) + transit;
  return freeAt;
}

/** The state is the whole history up to the last applied entry. */
std::string
Replicas::StateOf(std::size_t aNode) const
{
  std::string state;
  for (const auto& [index, text] : m_history) {
    if (index > m_nodes[aNode].m_applied) {
      break;
    }
    state += text + ";";
  }
  return state;
}

void
Replicas::RecordApplied(std::size_t aNode, const consensus::LogEntry& aEntry)
{
  Node& node = m_nodes[aNode];
  if (aEntry.m_index != Next(node.m_applied)) {
    ReportViolation("replica " + std::to_string(aNode) + " skipped to " +
                    std::to_string(aEntry.m_index.Get()));
  }
  node.m_applied = aEntry.m_index;
  const std::string text = TextOf(aEntry);
  const auto [found, isNew] = m_history.try_emplace(aEntry.m_index, text);
  if (found->second != text) {
    ReportViolation("position " + std::to_string(aEntry.m_index.Get()) +
                    " was " + found->second + " and became " + text);
  }
  if (node.m_replica->CurrentRole() == consensus::Role::kLeader) {
    m_acknowledged[aEntry.m_index] = text;
  }
}

void
Replicas::CheckLeases()
{
  for (std::size_t i = 0; i < Size(); ++i) {
    const bool servesReads = IsUp(i) && !m_nodes[i].m_frozen &&
                             At(i).IsReady() && At(i).HoldsLease(LocalNow(i));
    if (!servesReads || m_acknowledged.empty()) {
      continue;
    }
    if (m_nodes[i].m_applied < m_acknowledged.rbegin()->first) {
      ReportViolation("replica " + std::to_string(i) + " answers reads at " +
                      std::to_string(m_nodes[i].m_applied.Get()) + " after " +
                      std::to_string(m_acknowledged.rbegin()->first.Get()) +
                      " was acknowledged");
    }
  }
}

std::optional<std::size_t>
Replicas::NodeOf(const consensus::ReplicaId& aId) const
{
  for (std::size_t i = 0; i < Size(); ++i) {
    if (IsUp(i) && m_nodes[i].m_replica->Self().m_instance == aId.m_instance) {
      return i;
    }
  }
  return std::nullopt;
}

void
Replicas::Crash(std::size_t aNode)
{
  m_nodes[aNode].m_replica.reset();
  ++m_nodes[aNode].m_generation;
  m_nodes[aNode].m_frozen = false;
}

void
Replicas::Start(std::size_t aNode)
{
  Node& node = m_nodes[aNode];
  ++node.m_generation;
  node.m_applied = Index{};
  consensus::ReplicaOptions options = m_faults.m_options;
  options.m_seed = m_random();
  node.m_replica = std::make_unique<consensus::Replica>(
    consensus::ReplicaId{ InstanceId{ AddressOf(aNode) },
                          node.m_disk.m_incarnation },
    options,
    node.m_disk.m_state,
    LocalNow(aNode));
  Drain(aNode);
}

void
Replicas::LoseDisk(std::size_t aNode)
{
  Crash(aNode);
  m_nodes[aNode].m_disk = Disk{ {}, Incarnation{ ++m_lastIncarnation } };
}

void
Replicas::CopyDisk(std::size_t aNode)
{
  m_nodes[aNode].m_copy = m_nodes[aNode].m_disk;
}

void
Replicas::RestoreDisk(std::size_t aNode)
{
  Crash(aNode);
  m_nodes[aNode].m_disk = m_nodes[aNode].m_copy;
}

void
Replicas::Freeze(std::size_t aNode, bool aFrozen)
{
  m_nodes[aNode].m_frozen = aFrozen;
}

void
Replicas::Cut(std::size_t aFrom, std::size_t aTo, bool aCut)
{
  if (aCut) {
    m_cuts.insert({ aFrom, aTo });
  } else {
    m_cuts.erase({ aFrom, aTo });
  }
}

void
Replicas::Isolate(std::size_t aNode, bool aIsolated)
{
  for (std::size_t i = 0; i < Size(); ++i) {
    if (i != aNode) {
      Cut(aNode, i, aIsolated);
      Cut(i, aNode, aIsolated);
    }
  }
}

std::optional<std::size_t>
Replicas::Leader() const
{
  std::optional<std::size_t> leader;
  for (std::size_t i = 0; i < Size(); ++i) {
    const bool leads =
      IsUp(i) && !m_nodes[i].m_frozen &&
      m_nodes[i].m_replica->CurrentRole() == consensus::Role::kLeader;
    const bool newest =
      leads && (!leader || m_nodes[*leader].m_replica->CurrentTerm() <
                             m_nodes[i].m_replica->CurrentTerm());
    if (newest) {
      leader = i;
    }
  }
  return leader;
}

bool
Replicas::HandOver()
{
  const auto leader = Leader();
  const bool isHandedOver = leader && At(*leader).HandOver(LocalNow(*leader));
  if (isHandedOver) {
    Drain(*leader);
  }
  return isHandedOver;
}

bool
Replicas::Propose(const std::string& aCommand)
{
  const auto leader = Leader();
  if (!leader) {
    return false;
  }
  Index index;
  const auto error = At(*leader).Propose(aCommand, LocalNow(*leader), index);
  Drain(*leader);
  return error == consensus::Error::kNone;
}

bool
ProposeAndWait(Replicas& aReplicas, const std::string& aCommand)
{
  const std::size_t before = aReplicas.Acknowledged().size();
  return aReplicas.RunUntil([&]() { return aReplicas.Propose(aCommand); },
                            kMaxWait) &&
         aReplicas.RunUntil(
           [&]() { return aReplicas.Acknowledged().size() > before; },
           kMaxWait);
}

bool
IsAcknowledged(const Replicas& aReplicas, const std::string& aCommand)
{
  for (const auto& [index, text] : aReplicas.Acknowledged()) {
    if (text.ends_with(":" + aCommand)) {
      return true;
    }
  }
  return false;
}

} // namespace bamboostile::test
