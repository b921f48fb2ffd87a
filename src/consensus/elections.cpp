#include "bamboostile/consensus/replica.h"

#include <algorithm>

// Elections: timeouts, votes and role changes.

namespace bamboostile::consensus {

namespace {

/** Maximum interval between two pre-votes after a restart; the second half of
 * it is random. */
constexpr Duration kRestartPreVoteInterval = Millis{ 60 };
/** Time allowed for an election among restarted replicas. If two candidates
 * split the vote, the next attempt starts after this time plus a random delay
 * of up to the same length. */
constexpr Duration kRestartElectionTimeout = Millis{ 100 };

} // namespace

std::uint64_t
Replica::NextRandom()
{
  m_randomState ^= m_randomState << 13;
  m_randomState ^= m_randomState >> 7;
  m_randomState ^= m_randomState << 17;
  return m_randomState;
}

void
Replica::ResetElectionDeadline(TimePoint aNow)
{
  m_electionDeadline = aNow + m_options.m_minElectionTimeout +
                       RandomUpTo(m_options.m_electionJitter);
}

void
Replica::MarkElectionInProgress(TimePoint aNow)
{
  m_electionInProgressUntil = aNow + kRestartElectionTimeout;
  m_nextRestartPreVote =
    m_electionInProgressUntil + RandomUpTo(kRestartElectionTimeout);
}

Duration
Replica::RandomUpTo(Duration aMax)
{
  const auto limit =
    static_cast<std::uint64_t>(std::max<Duration::rep>(aMax.count(), 1));
  return Duration{ static_cast<Duration::rep>(NextRandom() % limit) };
}

void
Replica::Tick(TimePoint aNow)
{
  if (m_role == Role::kLeader) {
    const Duration timeout =
      m_options.m_minElectionTimeout + m_options.m_electionJitter;
    const TimePoint lastContact =
      std::max(LastQuorumContact(aNow), m_becameLeaderAt);
    // Without contact to a quorum another leader may have been elected. Staying
    // leader would keep callers waiting for commits that cannot happen.
    if (lastContact + timeout < aNow) {
      BecomeFollower(m_hardState.m_term, aNow);
      return;
    }
    AdjustVoters(aNow);
    if (aNow >= m_nextHeartbeat) {
      SendAppends(aNow, true);
    }
    return;
  }
  if (!CurrentMembership().IsVoter(m_self)) {
    return;
  }
  if (aNow >= m_electionDeadline) {
    ResetElectionDeadline(aNow);
    StartPreVote(aNow);
  } else if (KnowsNoLeader() && aNow >= m_nextRestartPreVote) {
    m_nextRestartPreVote = aNow + kRestartPreVoteInterval / 2 +
                           RandomUpTo(kRestartPreVoteInterval / 2);
    StartPreVote(aNow);
  }
}

void
Replica::BecomeFollower(Term aTerm, TimePoint aNow)
{
  if (aTerm > m_hardState.m_term) {
    m_hardState = HardState{ aTerm, std::nullopt };
    PersistHardState();
  }
  NoteElectionLost();
  m_role = Role::kFollower;
  m_inPreVote = false;
  m_leader.reset();
  m_votersWithoutLeader.clear();
  m_progress.clear();
  m_regressed.clear();
  m_departing.clear();
  ResetElectionDeadline(aNow);
}

// The pre-vote asks for votes without starting a new term. Otherwise a replica
// that returns from a long isolation would force an election on a healthy group
// by its high term alone.
void
Replica::StartPreVote(TimePoint aNow)
{
  NoteElectionLost();
  m_role = Role::kCandidate;
  m_inPreVote = true;
  m_leader.reset();
  m_votes = { m_self };
  m_votersWithoutLeader.clear();
  if (KnowsNoLeader()) {
    m_votersWithoutLeader.insert(m_self);
  }
  if (HasVoteQuorum()) {
    StartElection(aNow);
    return;
  }
  RequestVotes(true);
}

void
Replica::NoteElectionLost()
{
  if (m_role == Role::kCandidate) {
    m_actions.push_back(ElectionLost{ m_hardState.m_term,
                                      m_votes.size(),
                                      CurrentMembership().VoterCount(),
                                      m_inPreVote });
  }
}

bool
Replica::KnowsNoLeader() const
{
  return !m_hasKnownLeader;
}

// After a restart of all voters, each of them, and all callers, would wait for
// the end of the lease of a leader that no longer exists. Only a voter can
// lead, so if every voter reports that it has neither led nor received a
// message from a leader since it started, there is no leader and no lease to
// wait for. A voter that does not answer may be the leader.
//
// A leader elected after such a report is not missed either: the reporting
// voter has adopted the candidate's term, so that leader's term is higher, and
// a voter that has received its messages no longer grants its vote early.
bool
Replica::AllVotersKnowNoLeader() const
{
  const auto& members = CurrentMembership().m_members;
  return std::all_of(
    members.begin(), members.end(), [&](const Member& aMember) {
      return !aMember.m_voter || m_votersWithoutLeader.contains(aMember.m_id);
    });
}

void
Replica::StartElection(TimePoint aNow, bool aIsHandover)
{
  m_role = Role::kCandidate;
  m_inPreVote = false;
  m_leader.reset();
  m_hardState = HardState{ Term{ m_hardState.m_term.Get() + 1 }, m_self };
  PersistHardState();
  m_votes = { m_self };
  ResetElectionDeadline(aNow);
  MarkElectionInProgress(aNow);
  if (HasVoteQuorum()) {
    BecomeLeader(aNow);
    return;
  }
  RequestVotes(false, aIsHandover);
}

void
Replica::RequestVotes(bool aPreVote, bool aIsHandover)
{
  m_actions.push_back(
    ElectionStarted{ m_hardState.m_term, LastIndex(), aPreVote });
  for (const Member& member : CurrentMembership().m_members) {
    if (member.m_voter && member.m_id != m_self) {
      SendWhenSynced(
        member.m_id,
        VoteRequest{ aPreVote, LastIndex(), LastTerm(), aIsHandover });
    }
  }
}

bool
Replica::HasVoteQuorum() const
{
  std::size_t granted = 0;
  for (const ReplicaId& id : m_votes) {
    granted += CurrentMembership().IsVoter(id) ? 1 : 0;
  }
  return granted > CurrentMembership().VoterCount() / 2;
}

void
Replica::BecomeLeader(TimePoint aNow)
{
  m_role = Role::kLeader;
  m_leader = m_self;
  m_hasKnownLeader = true;
  m_noLeaderReplies.clear();
  m_becameLeaderAt = aNow;
  m_progress.clear();
  m_regressed.clear();
  // A new leader learns which entries of earlier terms are committed only by
  // committing an entry of its own term.
  AppendToLog(Noop{}, aNow);
  m_termStartIndex = LastIndex();
  SendAppends(aNow, true);
}

void
Replica::FollowLeader(const ReplicaId& aLeader, TimePoint aNow)
{
  NoteElectionLost();
  m_role = Role::kFollower;
  m_inPreVote = false;
  m_leader = aLeader;
  m_hasKnownLeader = true;
  m_noLeaderReplies.clear();
  m_lastLeaderContactAt = aNow;
  ResetElectionDeadline(aNow);
}

void
Replica::Receive(const Message& aMessage, TimePoint aNow)
{
  // The message is for an earlier incarnation of this instance. Its folder is
  // lost, and with it the votes and entries that the sender relies on.
  if (aMessage.m_to != m_self) {
    return;
  }
  const auto* vote = std::get_if<VoteRequest>(&aMessage.m_body);
  if (vote != nullptr) {
    Handle(aMessage.m_from, *vote, aMessage.m_term, aNow);
    return;
  }
  if (aMessage.m_term > m_hardState.m_term) {
    const auto* reply = std::get_if<VoteReply>(&aMessage.m_body);
    const bool preVoteGrant =
      reply != nullptr && reply->m_preVote && reply->m_granted;
    if (!preVoteGrant) {
      BecomeFollower(aMessage.m_term, aNow);
    }
  }
  std::visit(
    [&](const auto& aBody) {
      Handle(aMessage.m_from, aBody, aMessage.m_term, aNow);
    },
    aMessage.m_body);
}

void
Replica::Handle(const ReplicaId& aFrom,
                const VoteRequest& aVote,
                Term aTerm,
                TimePoint aNow)
{
  // No vote is granted within m_minElectionTimeout of the last contact with a
  // leader: the lease under which that leader answers reads depends on it.
  const bool isLeaderAlive =
    m_role == Role::kLeader
      ? HoldsLease(aNow)
      : aNow < m_lastLeaderContactAt + m_options.m_minElectionTimeout;
  if (aTerm < m_hardState.m_term) {
    SendWhenSynced(aFrom, VoteReply{ aVote.m_preVote, false });
    return;
  }
  if (aVote.m_preVote && KnowsNoLeader()) {
    HandlePreVoteAfterRestart(aFrom, aVote, aTerm, aNow);
    return;
  }
  const auto noLeaderReply = m_noLeaderReplies.find(aFrom);
  const bool isExpectedCandidate =
    noLeaderReply != m_noLeaderReplies.end() &&
    aTerm == Term{ noLeaderReply->second.Get() + 1 };
  const bool hasHandedOver = aVote.m_isHandover && !aVote.m_preVote &&
                             m_role != Role::kLeader &&
                             aTerm > m_hardState.m_term;
  if (isLeaderAlive && !isExpectedCandidate && !hasHandedOver) {
    return;
  }
  if (aVote.m_preVote) {
    if (IsUpToDate(aVote.m_lastIndex, aVote.m_lastTerm)) {
      SendWhenSynced(aFrom, VoteReply{ true, true });
    }
    return;
  }
  if (aTerm > m_hardState.m_term) {
    BecomeFollower(aTerm, aNow);
  }
  const bool canVote =
    !m_hardState.m_votedFor || *m_hardState.m_votedFor == aFrom;
  const bool granted = canVote &&
                       IsUpToDate(aVote.m_lastIndex, aVote.m_lastTerm) &&
                       m_role != Role::kLeader;
  if (granted) {
    m_hardState.m_votedFor = aFrom;
    PersistHardState();
    ResetElectionDeadline(aNow);
    MarkElectionInProgress(aNow);
  }
  SendWhenSynced(aFrom, VoteReply{ false, granted });
}

void
Replica::HandlePreVoteAfterRestart(const ReplicaId& aFrom,
                                   const VoteRequest& aVote,
                                   Term aTerm,
                                   TimePoint aNow)
{
  // A pre-vote carries the term that the election would have.
  const Term candidateTerm{ aTerm.Get() - 1 };
  if (candidateTerm < m_hardState.m_term) {
    SendWhenSynced(aFrom, VoteReply{ true, false });
    return;
  }
  if (candidateTerm > m_hardState.m_term) {
    BecomeFollower(candidateTerm, aNow);
  }
  // Another election started now would split the votes of the one in progress.
  const bool isElecting = aNow < m_electionInProgressUntil;
  if (isElecting || !IsUpToDate(aVote.m_lastIndex, aVote.m_lastTerm)) {
    return;
  }
  m_noLeaderReplies[aFrom] = m_hardState.m_term;
  const bool granted =
    aNow >= m_lastLeaderContactAt + m_options.m_minElectionTimeout;
  SendWhenSynced(aFrom, VoteReply{ true, granted, true });
}

void
Replica::Handle(const ReplicaId& aFrom,
                const VoteReply& aReply,
                Term aTerm,
                TimePoint aNow)
{
  if (m_role != Role::kCandidate || aReply.m_preVote != m_inPreVote ||
      aTerm > m_hardState.m_term) {
    return;
  }
  if (aReply.m_knowsNoLeader && aTerm == m_hardState.m_term) {
    m_votersWithoutLeader.insert(aFrom);
    if (AllVotersKnowNoLeader()) {
      StartElection(aNow);
      return;
    }
  }
  if (!aReply.m_granted) {
    return;
  }
  if (!aReply.m_preVote && aTerm != m_hardState.m_term) {
    return;
  }
  m_votes.insert(aFrom);
  if (!HasVoteQuorum()) {
    return;
  }
  if (m_inPreVote) {
    StartElection(aNow);
  } else {
    BecomeLeader(aNow);
  }
}

// A leader that is about to stop would leave its callers without one for an
// election timeout. Its lease ends as it steps down, before any message asks
// for a vote, so voters need not wait for the lease.
bool
Replica::HandOver(TimePoint aNow)
{
  const Progress* most = nullptr;
  ReplicaId successor;
  for (const auto& [id, progress] : m_progress) {
    const bool isCandidate = m_role == Role::kLeader &&
                             CurrentMembership().IsVoter(id) &&
                             IsAnswering(id, aNow);
    if (isCandidate && (most == nullptr || progress.m_match > most->m_match)) {
      most = &progress;
      successor = id;
    }
  }
  if (most == nullptr) {
    return false;
  }
  BecomeFollower(m_hardState.m_term, aNow);
  SendNow(successor, Handover{});
  return true;
}

// A handover that arrives late must not end the term of a later leader.
void
Replica::Handle(const ReplicaId& aFrom,
                const Handover&,
                Term aTerm,
                TimePoint aNow)
{
  const bool isFromLeader = aTerm == m_hardState.m_term && m_leader == aFrom;
  if (isFromLeader && m_role == Role::kFollower &&
      CurrentMembership().IsVoter(m_self)) {
    StartElection(aNow, true);
  }
}

bool
Replica::AnnounceDeparture()
{
  const Membership& current = CurrentMembership();
  const std::size_t voters = current.VoterCount();
  const bool hasSpare =
    voters < current.m_members.size() || voters > m_options.m_maxVoters;
  if (!m_leader || m_role == Role::kLeader || m_options.m_maxVoters == 0 ||
      !current.IsVoter(m_self) || !hasSpare) {
    return false;
  }
  SendNow(*m_leader, Departure{});
  return true;
}

void
Replica::Handle(const ReplicaId& aFrom,
                const Departure&,
                Term aTerm,
                TimePoint aNow)
{
  if (m_role == Role::kLeader && aTerm == m_hardState.m_term) {
    m_departing[aFrom] = aNow;
  }
}

} // namespace bamboostile::consensus
