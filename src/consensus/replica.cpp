#include "bamboostile/consensus/replica.h"

#include <algorithm>

namespace bamboostile::consensus {

namespace {

/** Limits of what is sent beyond what a peer has acknowledged. At a limit,
 * sending pauses, and later entries are sent together. A peer that is behind
 * would otherwise get more than it can process before its connection is
 * considered silent. */
constexpr std::size_t kMaxAppendsInFlight = 64;
constexpr std::size_t kMaxBytesInFlight = 512 * 1024;
/** Maximum number of chunks of a snapshot, or fragments of an entry, sent
 * beyond what a peer has acknowledged. Heartbeats wait behind them, and the
 * leader's lease depends on a voter's answers. */
constexpr std::size_t kMaxChunksToVoter = 4;
constexpr std::size_t kMaxChunksToLearner = 32;
/** Time without progress after which a transfer stops until the peer answers a
 * heartbeat. */
constexpr Duration kTransferTimeout = Millis{ 2000 };
/** A member that has not answered for this long may be gone for good: nothing
 * is retained for it, and nothing waits for it. */
constexpr Duration kMaxSilence = Millis{ 3000 };
/** A member that has received a snapshot, or part of one, and has not caught up
 * since is silent while it writes or reads it. A slow disk (1 MB/s) needs this
 * long for 60 MB. The size of what is retained is limited as well. */
constexpr Duration kMaxSilenceAfterSnapshot = Millis{ 60000 };

std::size_t
SizeOf(const LogEntry& aEntry)
{
  constexpr std::size_t kOverhead = 32;
  const auto* command = std::get_if<CommandBytes>(&aEntry.m_payload);
  return kOverhead + (command != nullptr ? command->m_bytes.size() : 0);
}

} // namespace

Replica::Replica(ReplicaId aSelf,
                 ReplicaOptions aOptions,
                 RecoveredState aRecovered,
                 TimePoint aNow)
  : m_self(std::move(aSelf))
  , m_options(aOptions)
  , m_hardState(std::move(aRecovered.m_hardState))
  , m_log(aRecovered.m_entries.begin(), aRecovered.m_entries.end())
  , m_randomState(aOptions.m_seed * 0x9E3779B97F4A7C15ULL + 1)
{
  if (aRecovered.m_snapshot) {
    m_actions.push_back(Restore{ *aRecovered.m_snapshot });
  }
  m_snapshot = std::make_shared<const Snapshot>(
    std::move(aRecovered.m_snapshot).value_or(Snapshot{}));
  m_baseIndex = m_snapshot->m_index;
  m_baseTerm = m_snapshot->m_term;
  m_memberships.push_back({ m_snapshot->m_index, m_snapshot->m_membership });
  for (const LogEntry& entry : m_log) {
    if (const auto* change = std::get_if<Membership>(&entry.m_payload)) {
      m_memberships.push_back({ entry.m_index, *change });
    }
  }
  m_commit = m_snapshot->m_index;
  m_applied = m_snapshot->m_index;
  m_persistedIndex = LastIndex();
  // A restarted replica no longer knows when it last heard from a leader.
  // Voting at once could violate that leader's lease, which relies on no vote
  // being granted for m_minElectionTimeout; so the replica starts as if it had
  // just heard from one.
  m_lastLeaderContactAt = aNow;
  ResetElectionDeadline(aNow);
}

Error
Replica::Bootstrap(std::string aAddress, TimePoint aNow)
{
  if (LastIndex() != Index{} || m_hardState.m_term != Term{}) {
    return Error::kNotEmpty;
  }
  Membership initial;
  initial.m_members.push_back({ m_self, std::move(aAddress), true });
  m_hardState.m_term = Term{ 1 };
  PersistHardState();
  LogEntry entry{ Index{ 1 }, Term{ 1 }, initial };
  m_log.push_back(entry);
  m_memberships.push_back({ entry.m_index, initial });
  PersistEntries({ entry });
  StartElection(aNow);
  return Error::kNone;
}

const Membership&
Replica::CurrentMembership() const
{
  return m_memberships.back().m_membership;
}

Index
Replica::LastIndex() const
{
  return m_log.empty() ? m_baseIndex : m_log.back().m_index;
}

Term
Replica::LastTerm() const
{
  return m_log.empty() ? m_baseTerm : m_log.back().m_term;
}

const LogEntry*
Replica::EntryAt(Index aIndex) const
{
  if (aIndex <= m_baseIndex || aIndex > LastIndex()) {
    return nullptr;
  }
  return &m_log[aIndex.Get() - m_baseIndex.Get() - 1];
}

std::optional<Term>
Replica::TermAt(Index aIndex) const
{
  if (aIndex == m_baseIndex) {
    return m_baseTerm;
  }
  const LogEntry* entry = EntryAt(aIndex);
  return entry != nullptr ? std::optional{ entry->m_term } : std::nullopt;
}

bool
Replica::IsUpToDate(Index aLastIndex, Term aLastTerm) const
{
  if (aLastTerm != LastTerm()) {
    return aLastTerm > LastTerm();
  }
  return aLastIndex >= LastIndex();
}

Index
Replica::MatchIndexOf(const ReplicaId& aId) const
{
  if (aId == m_self) {
    return m_persistedIndex;
  }
  const auto found = m_progress.find(aId);
  return found == m_progress.end() ? Index{} : found->second.m_match;
}

std::vector<FollowerStatus>
Replica::Followers() const
{
  std::vector<FollowerStatus> followers;
  for (const Member& member : CurrentMembership().m_members) {
    const auto found = m_progress.find(member.m_id);
    if (found == m_progress.end()) {
      continue;
    }
    const bool needsSnapshot = !TermAt(Previous(found->second.m_next));
    followers.push_back({ member,
                          found->second.m_match,
                          needsSnapshot,
                          m_regressed.contains(member.m_id) });
  }
  return followers;
}

std::uint32_t
Replica::CommonStateVersion() const
{
  std::uint32_t common = m_options.m_stateVersion;
  for (const Member& member : CurrentMembership().m_members) {
    if (member.m_id == m_self) {
      continue;
    }
    const auto found = m_progress.find(member.m_id);
    const std::uint32_t version =
      found == m_progress.end() ? 0 : found->second.m_stateVersion;
    common = std::min(common, version);
  }
  return common;
}

std::vector<Action>
Replica::TakeActions()
{
  return std::exchange(m_actions, {});
}

bool
Replica::IsReady() const
{
  return m_role == Role::kLeader && m_commit >= m_termStartIndex;
}

TimePoint
Replica::LastQuorumContact(TimePoint aNow) const
{
  std::vector<TimePoint> contacts;
  for (const Member& member : CurrentMembership().m_members) {
    if (!member.m_voter) {
      continue;
    }
    const auto found = m_progress.find(member.m_id);
    if (member.m_id == m_self) {
      contacts.push_back(aNow);
    } else if (found == m_progress.end() || m_regressed.contains(member.m_id)) {
      contacts.push_back(TimePoint{});
    } else {
      contacts.push_back(found->second.m_lastAckedSentAt);
    }
  }
  if (contacts.empty()) {
    return TimePoint{};
  }
  std::sort(contacts.rbegin(), contacts.rend());
  return contacts[contacts.size() / 2];
}

bool
Replica::HoldsLease(TimePoint aNow) const
{
  if (m_role != Role::kLeader) {
    return false;
  }
  const Duration lease =
    m_options.m_minElectionTimeout * (100 - m_options.m_driftPercent) / 100;
  return aNow < LastQuorumContact(aNow) + lease;
}

// Log replication: appending, sending and committing entries.

Error
Replica::Propose(std::string aCommand, TimePoint aNow, Index& aIndex)
{
  if (m_role != Role::kLeader) {
    return Error::kNotLeader;
  }
  AppendToLog(CommandBytes{ std::move(aCommand) }, aNow);
  aIndex = LastIndex();
  SendAppends(aNow, false);
  return Error::kNone;
}

void
Replica::AppendToLog(Payload aPayload, TimePoint /*aNow*/)
{
  LogEntry entry{ Next(LastIndex()), m_hardState.m_term, std::move(aPayload) };
  if (const auto* change = std::get_if<Membership>(&entry.m_payload)) {
    m_memberships.push_back({ entry.m_index, *change });
  }
  m_log.push_back(entry);
  PersistEntries({ std::move(entry) });
}

void
Replica::SendAppends(TimePoint aNow, bool aHeartbeat)
{
  if (aHeartbeat) {
    m_nextHeartbeat = aNow + m_options.m_heartbeatInterval;
  }
  for (const Member& member : CurrentMembership().m_members) {
    if (member.m_id != m_self) {
      SendAppendTo(member.m_id, aNow, aHeartbeat);
    }
  }
}

void
Replica::SendAppendTo(const ReplicaId& aPeer, TimePoint aNow, bool aHeartbeat)
{
  const auto [found, isNew] = m_progress.try_emplace(aPeer);
  Progress& progress = found->second;
  if (isNew) {
    progress.m_next = Next(LastIndex());
    progress.m_roundTarget = LastIndex();
    progress.m_roundStartedAt = aNow;
  }
  if (m_regressed.contains(aPeer)) {
    return;
  }
  if (progress.m_transfer) {
    ContinueTransfer(aPeer, progress, aNow, aHeartbeat);
    return;
  }
  const Index previous = Previous(progress.m_next);
  const std::optional<Term> previousTerm = TermAt(previous);
  if (!previousTerm) {
    progress.m_transfer = Transfer{ m_snapshot, aNow, aNow };
    m_actions.push_back(SnapshotStarted{
      aPeer, m_snapshot->m_index, m_snapshot->m_state.size() });
    ContinueTransfer(aPeer, progress, aNow, true);
    return;
  }
  AppendRequest append{ previous, *previousTerm, {}, m_commit, aNow };
  const LogEntry* next = EntryAt(progress.m_next);
  if (progress.m_fragmented &&
      (progress.m_fragmented->m_index != progress.m_next ||
       !progress.m_acceptsFragments)) {
    progress.m_fragmented.reset();
  }
  if (!progress.m_fragmented && next != nullptr && MayAppend(progress) &&
      IsSentInFragments(progress, *next)) {
    progress.m_fragmented = FragmentedEntry{ next->m_index };
  }
  if (progress.m_fragmented) {
    ContinueFragments(aPeer, progress, append, aHeartbeat);
    return;
  }
  std::size_t bytes = 0;
  if (MayAppend(progress)) {
    while (progress.m_next <= LastIndex() &&
           bytes < m_options.m_maxBatchBytes) {
      const LogEntry& entry = *EntryAt(progress.m_next);
      if (IsSentInFragments(progress, entry)) {
        break;
      }
      bytes += SizeOf(entry);
      append.m_entries.push_back(entry);
      progress.m_next = Next(progress.m_next);
    }
  }
  if (!append.m_entries.empty()) {
    progress.m_inFlight.push_back({ append.m_entries.back().m_index, bytes });
    progress.m_bytesInFlight += bytes;
  }
  if (aHeartbeat || !append.m_entries.empty()) {
    SendNow(aPeer, std::move(append));
  }
}

// A large entry in a single message would occupy the connection until the peer
// counts as silent, be lost with that connection, and never arrive.

bool
Replica::IsSentInFragments(const Progress& aProgress,
                           const LogEntry& aEntry) const
{
  const auto* command = std::get_if<CommandBytes>(&aEntry.m_payload);
  return aProgress.m_acceptsFragments && command != nullptr &&
         command->m_bytes.size() > m_options.m_maxBatchBytes;
}

std::size_t
Replica::MaxChunksTo(const ReplicaId& aPeer) const
{
  return CurrentMembership().IsVoter(aPeer) ? kMaxChunksToVoter
                                            : kMaxChunksToLearner;
}

// Later entries wait until the peer holds the whole entry: then m_next is the
// position at which fragments resume, whatever was lost.
void
Replica::ContinueFragments(const ReplicaId& aPeer,
                           Progress& aProgress,
                           const AppendRequest& aHeartbeat,
                           bool aIsHeartbeatDue)
{
  FragmentedEntry& fragmented = *aProgress.m_fragmented;
  const LogEntry& entry = *EntryAt(fragmented.m_index);
  const std::string& command = std::get<CommandBytes>(entry.m_payload).m_bytes;
  const auto send = [&](std::size_t aBytes) {
    AppendRequest append = aHeartbeat;
    append.m_fragment =
      EntryFragment{ entry.m_term,
                     command.size(),
                     fragmented.m_sent,
                     command.substr(fragmented.m_sent, aBytes) };
    SendNow(aPeer, std::move(append));
  };
  const std::size_t fragmentBytes = m_options.m_maxBatchBytes;
  const std::size_t window = MaxChunksTo(aPeer) * fragmentBytes;
  const std::uint64_t limit = fragmented.m_received + window -
                              std::min(window, aProgress.m_bytesInFlight);
  bool isSent = false;
  while (!aProgress.m_probing &&
         fragmented.m_sent < std::min<std::uint64_t>(command.size(), limit)) {
    const std::size_t bytes = std::min<std::uint64_t>(
      command.size() - fragmented.m_sent, fragmentBytes);
    send(bytes);
    fragmented.m_sent += bytes;
    fragmented.m_lastFragmentAt = aHeartbeat.m_sentAt;
    isSent = true;
  }
  if (aIsHeartbeatDue && !isSent) {
    send(0);
  }
}

void
Replica::UpdateFragments(Progress& aProgress, const AppendReply& aReply)
{
  auto& fragmented = aProgress.m_fragmented;
  if (!fragmented || !aReply.m_fragment ||
      fragmented->m_index != aReply.m_fragment->m_index) {
    return;
  }
  // As with the chunks of a snapshot, the answer to a heartbeat sent after all
  // fragments shows which of them were lost.
  const std::uint64_t received = aReply.m_fragment->m_received;
  if (aReply.m_sentAt > fragmented->m_lastFragmentAt &&
      received < fragmented->m_sent) {
    fragmented->m_received = received;
    fragmented->m_sent = received;
    return;
  }
  fragmented->m_received = std::max(fragmented->m_received, received);
  fragmented->m_sent = std::max(fragmented->m_sent, received);
}

bool
Replica::MayAppend(const Progress& aProgress)
{
  return !aProgress.m_probing &&
         aProgress.m_inFlight.size() < kMaxAppendsInFlight &&
         aProgress.m_bytesInFlight < kMaxBytesInFlight;
}

void
Replica::ForgetInFlight(Progress& aProgress, Index aUpTo)
{
  auto& inFlight = aProgress.m_inFlight;
  while (!inFlight.empty() && inFlight.front().m_last <= aUpTo) {
    aProgress.m_bytesInFlight -= inFlight.front().m_bytes;
    inFlight.pop_front();
  }
}

void
Replica::Handle(const ReplicaId& aFrom,
                const AppendRequest& aAppend,
                Term aTerm,
                TimePoint aNow)
{
  if (aTerm < m_hardState.m_term) {
    SendWhenSynced(aFrom, AppendReply{ false, LastIndex(), aAppend.m_sentAt });
    return;
  }
  FollowLeader(aFrom, aNow);
  const bool matchesPrevious =
    aAppend.m_previousIndex < m_snapshot->m_index ||
    TermAt(aAppend.m_previousIndex) == aAppend.m_previousTerm;
  if (!matchesPrevious) {
    const Index last = std::min(LastIndex(), Previous(aAppend.m_previousIndex));
    SendWhenSynced(aFrom, AppendReply{ false, last, aAppend.m_sentAt });
    return;
  }
  m_arrival.reset();
  std::vector<LogEntry> added;
  Index match = aAppend.m_previousIndex;
  for (const LogEntry& entry : aAppend.m_entries) {
    match = entry.m_index;
    AppendIfMissing(entry, added);
  }
  std::optional<FragmentProgress> fragment;
  if (aAppend.m_fragment) {
    const Index index = Next(aAppend.m_previousIndex);
    const std::uint64_t received = AppendFragment(aFrom, aAppend, aTerm, added);
    fragment = FragmentProgress{ index, received };
    match = received == aAppend.m_fragment->m_size ? index : match;
  } else {
    m_entryArrival.reset();
  }
  const bool isHeartbeat = aAppend.m_entries.empty() && added.empty();
  if (!added.empty()) {
    PersistEntries(std::move(added));
  }
  CommitTo(std::min(aAppend.m_commit, match));
  if (isHeartbeat && m_syncedTicket >= m_hardStateTicket) {
    // A heartbeat without entries acknowledges only what is already on disk, so
    // that a slow disk does not make a healthy follower look unresponsive.
    SendNow(
      aFrom,
      AppendReply{
        true, std::min(match, m_persistedIndex), aAppend.m_sentAt, fragment });
    return;
  }
  SendWhenSynced(aFrom, AppendReply{ true, match, aAppend.m_sentAt, fragment });
}

/** Adds the entry to the log and to aAdded, unless the log holds it. */
void
Replica::AppendIfMissing(const LogEntry& aEntry, std::vector<LogEntry>& aAdded)
{
  if (aEntry.m_index <= m_snapshot->m_index) {
    return;
  }
  const std::optional<Term> existingTerm = TermAt(aEntry.m_index);
  if (existingTerm == aEntry.m_term) {
    return;
  }
  if (existingTerm) {
    TruncateFrom(aEntry.m_index);
  }
  if (const auto* change = std::get_if<Membership>(&aEntry.m_payload)) {
    m_memberships.push_back({ aEntry.m_index, *change });
  }
  m_log.push_back(aEntry);
  aAdded.push_back(aEntry);
}

/** Returns the number of bytes of the entry's command received without a gap.
 * Once that is all of them, the log holds the entry. */
std::uint64_t
Replica::AppendFragment(const ReplicaId& aFrom,
                        const AppendRequest& aAppend,
                        Term aTerm,
                        std::vector<LogEntry>& aAdded)
{
  const EntryFragment& fragment = *aAppend.m_fragment;
  const Index index = Next(aAppend.m_previousIndex);
  const bool isHeld =
    index <= m_snapshot->m_index || TermAt(index) == fragment.m_term;
  if (!isHeld) {
    const std::uint64_t received =
      AppendPart(m_entryArrival,
                 Arrival{ aFrom, aTerm, index, fragment.m_bytes },
                 fragment.m_offset);
    if (received < fragment.m_size) {
      return received;
    }
    AppendIfMissing(
      LogEntry{ index,
                fragment.m_term,
                CommandBytes{ std::move(m_entryArrival->m_bytes) } },
      aAdded);
  }
  m_entryArrival.reset();
  return fragment.m_size;
}

void
Replica::Handle(const ReplicaId& aFrom,
                const AppendReply& aReply,
                Term aTerm,
                TimePoint aNow)
{
  const auto found = m_progress.find(aFrom);
  if (m_role != Role::kLeader || aTerm != m_hardState.m_term ||
      found == m_progress.end()) {
    return;
  }
  Progress& progress = found->second;
  if (!aReply.m_accepted) {
    const bool isStale = aReply.m_sentAt <= progress.m_lastAckedSentAt;
    // The follower acknowledged more than it now holds: its folder was replaced
    // by an old copy. Counting it could elect a leader without acknowledged
    // entries, so it is ignored until it is replaced. Messages can be
    // reordered, so only the reply to a request sent after the acknowledgement
    // had arrived proves it.
    const bool isAfterMatch = aReply.m_sentAt > progress.m_matchAdvancedAt;
    if (isAfterMatch && aReply.m_match < progress.m_match) {
      m_regressed.insert(aFrom);
      return;
    }
    if (!isStale) {
      progress.m_next =
        std::max(Next(progress.m_match),
                 std::min(progress.m_next, Next(aReply.m_match)));
      progress.m_probing = true;
      ForgetInFlight(progress, LastIndex());
      SendAppendTo(aFrom, aNow, true);
    }
    return;
  }
  progress.m_lastAckedSentAt =
    std::max(progress.m_lastAckedSentAt, aReply.m_sentAt);
  progress.m_lastAnswerAt = aNow;
  if (aReply.m_match > progress.m_match) {
    progress.m_match = aReply.m_match;
    progress.m_matchAdvancedAt = aNow;
  }
  ForgetInFlight(progress, progress.m_match);
  EndTransferIfHeld(aFrom, progress, aNow);
  UpdateRound(progress, aNow);
  progress.m_acceptsFragments = aReply.m_acceptsFragments;
  progress.m_stateVersion = aReply.m_stateVersion;
  UpdateFragments(progress, aReply);
  if (!progress.m_transfer && IsCaughtUp(aFrom, aNow)) {
    progress.m_isCatchingUp = false;
  }
  progress.m_next = std::max(progress.m_next, Next(progress.m_match));
  progress.m_probing = false;
  AdvanceCommit(aNow);
  if (m_role == Role::kLeader && progress.m_next <= LastIndex()) {
    SendAppendTo(aFrom, aNow, false);
  }
}

// Snapshots are sent in chunks: a large one in a single message would occupy
// the connection until the peer counts as silent, be lost with that connection,
// and never arrive.

void
Replica::ContinueTransfer(const ReplicaId& aPeer,
                          Progress& aProgress,
                          TimePoint aNow,
                          bool aHeartbeat)
{
  Transfer& transfer = *aProgress.m_transfer;
  const std::uint64_t size = transfer.m_snapshot->m_state.size();
  if (aNow >= transfer.m_activeAt + kTransferTimeout) {
    transfer.m_sent = transfer.m_received;
    transfer.m_activeAt = aNow;
    transfer.m_probing = true;
  }
  if (transfer.m_probing) {
    if (transfer.m_received == 0) {
      transfer.m_snapshot = m_snapshot;
    }
    if (aHeartbeat) {
      SendChunk(aPeer, transfer, 0, aNow);
    }
    return;
  }
  const std::uint64_t limit =
    transfer.m_received + MaxChunksTo(aPeer) * m_options.m_snapshotChunkBytes;
  bool isSent = false;
  while (transfer.m_sent < std::min(size, limit)) {
    const std::size_t bytes = std::min<std::uint64_t>(
      size - transfer.m_sent, m_options.m_snapshotChunkBytes);
    SendChunk(aPeer, transfer, bytes, aNow);
    transfer.m_sent += bytes;
    transfer.m_lastChunkAt = aNow;
    isSent = true;
  }
  if (aHeartbeat && !isSent) {
    SendChunk(aPeer, transfer, 0, aNow);
  }
}

void
Replica::SendChunk(const ReplicaId& aPeer,
                   const Transfer& aTransfer,
                   std::size_t aBytes,
                   TimePoint aNow)
{
  const Snapshot& snapshot = *aTransfer.m_snapshot;
  SendNow(aPeer,
          SnapshotChunk{ snapshot.m_index,
                         snapshot.m_term,
                         snapshot.m_membership,
                         snapshot.m_state.size(),
                         aTransfer.m_sent,
                         snapshot.m_state.substr(aTransfer.m_sent, aBytes),
                         aNow });
}

void
Replica::Handle(const ReplicaId& aFrom,
                const SnapshotProgress& aReply,
                Term aTerm,
                TimePoint aNow)
{
  const auto found = m_progress.find(aFrom);
  if (m_role != Role::kLeader || aTerm != m_hardState.m_term ||
      found == m_progress.end()) {
    return;
  }
  Progress& progress = found->second;
  progress.m_lastAckedSentAt =
    std::max(progress.m_lastAckedSentAt, aReply.m_sentAt);
  progress.m_lastAnswerAt = aNow;
  if (!progress.m_transfer ||
      progress.m_transfer->m_snapshot->m_index != aReply.m_index) {
    return;
  }
  Transfer& transfer = *progress.m_transfer;
  // Messages on a connection arrive in order, so the answer to a heartbeat sent
  // after all chunks shows which of them were lost with an earlier connection
  // or with the peer's process. A time limit alone would send chunks twice to a
  // peer whose answers this leader is too busy to read.
  const bool areChunksLost = aReply.m_sentAt > transfer.m_lastChunkAt &&
                             aReply.m_received < transfer.m_sent;
  if (areChunksLost) {
    transfer.m_sent = aReply.m_received;
  }
  if (areChunksLost || aReply.m_received > transfer.m_received) {
    transfer.m_received = aReply.m_received;
    progress.m_isCatchingUp =
      progress.m_isCatchingUp || transfer.m_received > 0;
    transfer.m_sent = std::max(transfer.m_sent, transfer.m_received);
    transfer.m_activeAt = aNow;
  }
  if (transfer.m_probing) {
    transfer.m_probing = false;
    transfer.m_activeAt = aNow;
  }
  ContinueTransfer(aFrom, progress, aNow, false);
}

void
Replica::EndTransferIfHeld(const ReplicaId& aPeer,
                           Progress& aProgress,
                           TimePoint aNow)
{
  const auto& transfer = aProgress.m_transfer;
  if (!transfer || aProgress.m_match < transfer->m_snapshot->m_index) {
    return;
  }
  m_actions.push_back(
    SnapshotAcknowledged{ aPeer,
                          transfer->m_snapshot->m_index,
                          transfer->m_snapshot->m_state.size(),
                          aNow - transfer->m_startedAt });
  aProgress.m_isCatchingUp = true;
  aProgress.m_transfer.reset();
}

void
Replica::Handle(const ReplicaId& aFrom,
                const SnapshotChunk& aChunk,
                Term aTerm,
                TimePoint aNow)
{
  if (aTerm < m_hardState.m_term) {
    SendWhenSynced(aFrom, AppendReply{ false, LastIndex(), aChunk.m_sentAt });
    return;
  }
  FollowLeader(aFrom, aNow);
  if (aChunk.m_index <= m_commit) {
    m_arrival.reset();
    SendWhenSynced(aFrom, AppendReply{ true, m_commit, aChunk.m_sentAt });
    return;
  }
  const std::uint64_t received =
    AppendPart(m_arrival,
               Arrival{ aFrom, aTerm, aChunk.m_index, aChunk.m_bytes },
               aChunk.m_offset);
  if (received < aChunk.m_size) {
    SendWhenSynced(
      aFrom, SnapshotProgress{ aChunk.m_index, received, aChunk.m_sentAt });
    return;
  }
  Install(aFrom,
          Snapshot{ aChunk.m_index,
                    aChunk.m_term,
                    aChunk.m_membership,
                    std::move(m_arrival->m_bytes) });
  m_arrival.reset();
  SendWhenSynced(aFrom, AppendReply{ true, aChunk.m_index, aChunk.m_sentAt });
}

/** Returns the number of bytes received without a gap. */
std::uint64_t
Replica::AppendPart(std::optional<Arrival>& aArrival,
                    Arrival aPart,
                    std::uint64_t aOffset)
{
  const bool continues = aArrival && aArrival->m_from == aPart.m_from &&
                         aArrival->m_leaderTerm == aPart.m_leaderTerm &&
                         aArrival->m_index == aPart.m_index;
  const std::string bytes = std::exchange(aPart.m_bytes, {});
  if (!continues) {
    aArrival = std::move(aPart);
  }
  if (aOffset == aArrival->m_bytes.size()) {
    aArrival->m_bytes += bytes;
  }
  return aArrival->m_bytes.size();
}

void
Replica::Install(const ReplicaId& aFrom, Snapshot aSnapshot)
{
  if (TermAt(aSnapshot.m_index) != aSnapshot.m_term) {
    TruncateFrom(Next(aSnapshot.m_index));
    m_log.clear();
  }
  m_baseIndex = aSnapshot.m_index;
  m_baseTerm = aSnapshot.m_term;
  while (!m_log.empty() && m_log.front().m_index <= m_baseIndex) {
    m_log.pop_front();
  }
  m_snapshot = std::make_shared<const Snapshot>(std::move(aSnapshot));
  std::vector<MembershipEntry> memberships{ { m_snapshot->m_index,
                                              m_snapshot->m_membership } };
  for (const LogEntry& entry : m_log) {
    if (const auto* change = std::get_if<Membership>(&entry.m_payload)) {
      memberships.push_back({ entry.m_index, *change });
    }
  }
  m_memberships = std::move(memberships);
  m_commit = m_snapshot->m_index;
  m_applied = m_snapshot->m_index;
  m_actions.push_back(Restore{ *m_snapshot });
  m_actions.push_back(SnapshotInstalled{
    aFrom, m_snapshot->m_index, m_snapshot->m_state.size() });
  PersistSnapshot();
}

void
Replica::AdvanceCommit(TimePoint aNow)
{
  if (m_role != Role::kLeader) {
    return;
  }
  std::vector<Index> matches;
  for (const Member& member : CurrentMembership().m_members) {
    if (member.m_voter) {
      const bool counted = !m_regressed.contains(member.m_id);
      matches.push_back(counted ? MatchIndexOf(member.m_id) : Index{});
    }
  }
  if (matches.empty()) {
    return;
  }
  std::sort(matches.rbegin(), matches.rend());
  const Index quorum = matches[matches.size() / 2];
  // Entries of earlier terms are committed only through one of this term: a
  // later leader may still replace an old entry that a quorum holds.
  if (quorum > m_commit && TermAt(quorum) == m_hardState.m_term) {
    CommitTo(quorum);
    StepDownIfRemoved(aNow);
  }
}

void
Replica::CommitTo(Index aIndex)
{
  m_commit = std::max(m_commit, std::min(aIndex, LastIndex()));
  if (m_applied >= m_commit) {
    return;
  }
  Apply apply;
  while (m_applied < m_commit) {
    m_applied = Next(m_applied);
    apply.m_entries.push_back(*EntryAt(m_applied));
  }
  m_actions.push_back(std::move(apply));
}

// Membership changes.

bool
Replica::IsMembershipChangePending() const
{
  return m_memberships.back().m_index > m_commit;
}

Error
Replica::ProposeMembership(Membership aMembership, TimePoint aNow)
{
  if (m_role != Role::kLeader) {
    return Error::kNotLeader;
  }
  if (!IsReady()) {
    return Error::kNotReady;
  }
  // Only one voter changes at a time, so that the quorums before and after the
  // change overlap. This holds only while no second change is pending.
  if (IsMembershipChangePending()) {
    return Error::kChangePending;
  }
  m_actions.push_back(MembershipProposed{ Next(LastIndex()), aMembership });
  AppendToLog(std::move(aMembership), aNow);
  SendAppends(aNow, true);
  return Error::kNone;
}

Error
Replica::AddMember(Member aMember, TimePoint aNow)
{
  if (CurrentMembership().Find(aMember.m_id) != nullptr) {
    return Error::kAlreadyMember;
  }
  Membership changed = CurrentMembership();
  aMember.m_voter = false;
  changed.m_members.push_back(std::move(aMember));
  return ProposeMembership(std::move(changed), aNow);
}

Error
Replica::RemoveMember(const InstanceId& aInstance, TimePoint aNow)
{
  Membership changed = CurrentMembership();
  auto& members = changed.m_members;
  const auto found =
    std::find_if(members.begin(), members.end(), [&](const Member& aMember) {
      return aMember.m_id.m_instance == aInstance;
    });
  if (found == members.end()) {
    return Error::kUnknownMember;
  }
  if (found->m_voter && changed.VoterCount() == 1) {
    return Error::kLastVoter;
  }
  members.erase(found);
  return ProposeMembership(std::move(changed), aNow);
}

// A learner acknowledges each entry one round trip after the leader appends it.
// While entries arrive without a pause it never holds all of them, so it counts
// as caught up once a round takes less than an election timeout: as a voter it
// would not delay commits for longer than an election does.
void
Replica::UpdateRound(Progress& aProgress, TimePoint aNow)
{
  if (aProgress.m_match < aProgress.m_roundTarget) {
    return;
  }
  aProgress.m_wasLastRoundShort =
    aNow <= aProgress.m_roundStartedAt + m_options.m_minElectionTimeout;
  aProgress.m_roundTarget = LastIndex();
  aProgress.m_roundStartedAt = aNow;
}

bool
Replica::IsCaughtUp(const ReplicaId& aId, TimePoint aNow) const
{
  const auto found = m_progress.find(aId);
  if (found == m_progress.end()) {
    return false;
  }
  const Progress& progress = found->second;
  const bool isRoundRecent =
    aNow <= progress.m_roundStartedAt + m_options.m_minElectionTimeout;
  return progress.m_match >= m_commit ||
         (progress.m_wasLastRoundShort && isRoundRecent);
}

bool
Replica::IsAnswering(const ReplicaId& aId, TimePoint aNow) const
{
  const auto found = m_progress.find(aId);
  if (found == m_progress.end()) {
    return false;
  }
  return aNow <= LastSignOf(found->second) + kMaxSilence;
}

TimePoint
Replica::LastSignOf(const Progress& aProgress)
{
  return aProgress.m_transfer ? std::max(aProgress.m_lastAnswerAt,
                                         aProgress.m_transfer->m_startedAt)
                              : aProgress.m_lastAnswerAt;
}

std::vector<ReplicaId>
Replica::LearnersCaughtUp(TimePoint aNow) const
{
  std::vector<ReplicaId> learners;
  for (const Member& member : CurrentMembership().m_members) {
    if (!member.m_voter && IsCaughtUp(member.m_id, aNow)) {
      learners.push_back(member.m_id);
    }
  }
  return learners;
}

bool
Replica::IsReadyToVote(const Member& aMember, TimePoint aNow) const
{
  const auto found = m_progress.find(aMember.m_id);
  return !aMember.m_voter && found != m_progress.end() &&
         CurrentMembership().FindOtherIncarnation(aMember.m_id) == nullptr &&
         IsCaughtUp(aMember.m_id, aNow) &&
         aNow <= found->second.m_lastAnswerAt + m_options.m_minElectionTimeout;
}

// While machines are replaced, their successors run beside them. If only the
// old machines voted, their loss would end the group although most of the
// replicas run and hold everything. Learners are added in pairs: an even number
// of voters, split into halves, has no majority on either side.
bool
Replica::HasVoterPlace(TimePoint aNow) const
{
  const Membership& current = CurrentMembership();
  const std::size_t voters = current.VoterCount() - CountDepartingVoters();
  if (m_options.m_maxVoters == 0 || voters < m_options.m_maxVoters) {
    return true;
  }
  const auto ready = static_cast<std::size_t>(std::count_if(
    current.m_members.begin(),
    current.m_members.end(),
    [&](const Member& aMember) { return IsReadyToVote(aMember, aNow); }));
  const std::size_t needed = voters % 2 == 0 ? 1 : 2;
  return ready >= needed &&
         voters + needed <= m_options.m_maxVotersInReplacement;
}

std::size_t
Replica::CountDepartingVoters() const
{
  return static_cast<std::size_t>(std::count_if(
    m_departing.begin(), m_departing.end(), [&](const auto& aEntry) {
      return CurrentMembership().IsVoter(aEntry.first);
    }));
}

// A machine that is replaced stops with a signal, and its successor has caught
// up before. If its vote stayed until it has been silent for long, the loss of
// another voter in the meantime would end the group. The learner votes first,
// so that the group never has fewer voters than needed.
std::optional<ReplicaId>
Replica::FindDepartedVoter() const
{
  if (m_options.m_maxVoters == 0 ||
      CurrentMembership().VoterCount() <= m_options.m_maxVoters) {
    return std::nullopt;
  }
  for (const auto& [id, since] : m_departing) {
    if (CurrentMembership().IsVoter(id)) {
      return id;
    }
  }
  return std::nullopt;
}

// Only while all voters answer: otherwise the silent one is removed. A learner
// that answers is about to catch up and make the number odd.
std::optional<ReplicaId>
Replica::FindSurplusVoter(TimePoint aNow) const
{
  const Membership& current = CurrentMembership();
  const std::size_t voters = current.VoterCount();
  if (m_options.m_maxVoters == 0 || voters <= m_options.m_maxVoters ||
      voters % 2 != 0) {
    return std::nullopt;
  }
  std::optional<ReplicaId> last;
  for (const Member& member : current.m_members) {
    if (member.m_id == m_self) {
      continue;
    }
    if (member.m_voter != IsAnswering(member.m_id, aNow)) {
      return std::nullopt;
    }
    if (member.m_voter) {
      last = member.m_id;
    }
  }
  return last;
}

// The earlier incarnation of a replica leaves the group just before the later
// one becomes a voter. If two did so at once, the group would be two voters
// short for a moment, and a fault then could cost it its quorum.
void
Replica::AdjustVoters(TimePoint aNow)
{
  if (!IsReady() || IsMembershipChangePending()) {
    return;
  }
  std::erase_if(m_departing, [&](const auto& aEntry) {
    return aNow > aEntry.second + kMaxSilence;
  });
  const Membership current = CurrentMembership();
  if (const auto departed = FindDepartedVoter()) {
    ProposeMembership(current.Without(*departed), aNow);
    return;
  }
  const bool hasPlace = HasVoterPlace(aNow);
  const bool isBelowTarget =
    m_options.m_maxVoters == 0 || current.VoterCount() < m_options.m_maxVoters;
  bool isReplacing = false;
  std::optional<Membership> removal;
  for (const Member& member : current.m_members) {
    if (member.m_voter) {
      continue;
    }
    const Member* earlier = current.FindOtherIncarnation(member.m_id);
    if (earlier == nullptr && hasPlace) {
      if (isBelowTarget ? IsCaughtUp(member.m_id, aNow)
                        : IsReadyToVote(member, aNow)) {
        ProposeMembership(current.WithVoter(member.m_id), aNow);
        return;
      }
      isReplacing = isReplacing || IsAnswering(member.m_id, aNow);
    } else if (earlier != nullptr && IsCaughtUp(member.m_id, aNow)) {
      removal = current.Without(earlier->m_id);
    }
  }
  if (removal && !isReplacing) {
    ProposeMembership(std::move(*removal), aNow);
  } else if (const auto surplus = FindSurplusVoter(aNow)) {
    ProposeMembership(current.WithLearner(*surplus), aNow);
  }
}

void
Replica::StepDownIfRemoved(TimePoint aNow)
{
  if (!IsMembershipChangePending() && !CurrentMembership().IsVoter(m_self)) {
    SendAppends(aNow, true);
    BecomeFollower(m_hardState.m_term, aNow);
  }
}

// Persistence: snapshots, log writes, and messages that wait for a sync.

void
Replica::Compact(Index aApplied, std::string aState, TimePoint aNow)
{
  const std::optional<Term> term = TermAt(aApplied);
  if (!term || aApplied <= m_snapshot->m_index || aApplied > m_applied) {
    return;
  }
  std::size_t effective = 0;
  while (effective + 1 < m_memberships.size() &&
         m_memberships[effective + 1].m_index <= aApplied) {
    ++effective;
  }
  m_memberships.erase(m_memberships.begin(), m_memberships.begin() + effective);
  m_snapshot = std::make_shared<const Snapshot>(Snapshot{
    aApplied, *term, m_memberships.front().m_membership, std::move(aState) });
  DropLogUpTo(LimitRetained(LastIndexNotNeeded(aApplied, aNow), aApplied));
  PersistSnapshot();
}

// Without the entries that follow what a member holds, that member needs a
// further snapshot. If the log is cut faster than snapshots arrive, it never
// catches up.
Index
Replica::LastIndexNotNeeded(Index aApplied, TimePoint aNow) const
{
  Index notNeeded = aApplied;
  for (const Member& member : CurrentMembership().m_members) {
    const auto found = m_progress.find(member.m_id);
    if (m_role != Role::kLeader || found == m_progress.end()) {
      continue;
    }
    const Progress& progress = found->second;
    const Duration maxSilence =
      progress.m_isCatchingUp ? kMaxSilenceAfterSnapshot : kMaxSilence;
    if (aNow > LastSignOf(progress) + maxSilence ||
        m_regressed.contains(member.m_id)) {
      continue;
    }
    const Index held = progress.m_transfer
                         ? progress.m_transfer->m_snapshot->m_index
                         : progress.m_match;
    notNeeded = std::min(notNeeded, held);
  }
  return notNeeded;
}

Index
Replica::LimitRetained(Index aFrom, Index aApplied) const
{
  const std::size_t limit =
    std::max(m_options.m_maxRetainedBytes, 2 * m_snapshot->m_state.size());
  std::size_t bytes = 0;
  Index from = aApplied;
  while (from > std::max(aFrom, m_baseIndex)) {
    bytes += SizeOf(*EntryAt(from));
    if (bytes > limit) {
      break;
    }
    from = Previous(from);
  }
  return from;
}

void
Replica::DropLogUpTo(Index aIndex)
{
  while (!m_log.empty() && m_log.front().m_index <= aIndex) {
    m_baseIndex = m_log.front().m_index;
    m_baseTerm = m_log.front().m_term;
    m_log.pop_front();
  }
}

void
Replica::PersistSnapshot()
{
  std::vector<LogEntry> later;
  for (const LogEntry& entry : m_log) {
    if (entry.m_index > m_snapshot->m_index) {
      later.push_back(entry);
    }
  }
  const std::uint64_t ticket = NewTicket();
  m_ticketIndex[ticket] = LastIndex();
  m_actions.push_back(
    Persist{ ticket, std::nullopt, *m_snapshot, std::move(later) });
}

void
Replica::TruncateFrom(Index aIndex)
{
  while (!m_log.empty() && m_log.back().m_index >= aIndex) {
    m_log.pop_back();
  }
  while (m_memberships.size() > 1 && m_memberships.back().m_index >= aIndex) {
    m_memberships.pop_back();
  }
  m_persistedIndex = std::min(m_persistedIndex, Previous(aIndex));
  // Writes in progress may contain entries that are replaced now. Their
  // completion must not count for the entries that take the same positions.
  for (auto& [ticket, index] : m_ticketIndex) {
    index = std::min(index, Previous(aIndex));
  }
}

void
Replica::PersistHardState()
{
  m_hardStateTicket = NewTicket();
  m_actions.push_back(
    Persist{ m_hardStateTicket, m_hardState, std::nullopt, {} });
}

void
Replica::PersistEntries(std::vector<LogEntry> aEntries)
{
  const std::uint64_t ticket = NewTicket();
  m_ticketIndex[ticket] = aEntries.back().m_index;
  m_actions.push_back(
    Persist{ ticket, std::nullopt, std::nullopt, std::move(aEntries) });
}

void
Replica::OnPersisted(std::uint64_t aTicket, TimePoint aNow)
{
  m_syncedTicket = std::max(m_syncedTicket, aTicket);
  while (!m_ticketIndex.empty() &&
         m_ticketIndex.begin()->first <= m_syncedTicket) {
    m_persistedIndex =
      std::max(m_persistedIndex, m_ticketIndex.begin()->second);
    m_ticketIndex.erase(m_ticketIndex.begin());
  }
  m_persistedIndex = std::min(m_persistedIndex, LastIndex());
  while (!m_deferred.empty() && m_deferred.front().m_ticket <= m_syncedTicket) {
    m_actions.push_back(Send{ std::move(m_deferred.front().m_message) });
    m_deferred.pop_front();
  }
  AdvanceCommit(aNow);
}

Message
Replica::Compose(const ReplicaId& aTo, MessageBody aBody) const
{
  Term term = m_hardState.m_term;
  const auto* vote = std::get_if<VoteRequest>(&aBody);
  if (vote != nullptr && vote->m_preVote) {
    term = Term{ term.Get() + 1 };
  }
  if (auto* reply = std::get_if<AppendReply>(&aBody)) {
    reply->m_stateVersion = m_options.m_stateVersion;
  }
  return Message{ m_self, aTo, term, std::move(aBody) };
}

void
Replica::SendNow(const ReplicaId& aTo, MessageBody aBody)
{
  m_actions.push_back(Send{ Compose(aTo, std::move(aBody)) });
}

void
Replica::SendWhenSynced(const ReplicaId& aTo, MessageBody aBody)
{
  if (m_syncedTicket >= m_lastTicket) {
    SendNow(aTo, std::move(aBody));
    return;
  }
  m_deferred.push_back({ m_lastTicket, Compose(aTo, std::move(aBody)) });
}

} // namespace bamboostile::consensus
