#include "bamboostile/consensus/replica.h"

#include <algorithm>

// Elections: timeouts, votes, and what changes with the role.

namespace bamboostile::consensus {

namespace {

/** Between two pre-votes after a restart; the second half of it is random. */
constexpr Duration kProbeInterval = Millis{ 60 };
/** An election among restarted replicas is let run for so long; one that two
 * candidates have split is tried again after it, up to as long again. */
constexpr Duration kRestartElection = Millis{ 100 };

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
  m_electionDeadline =
    aNow + m_options.m_electionMin + RandomUpTo(m_options.m_electionSpread);
}

void
Replica::LetElectionRun(TimePoint aNow)
{
  m_electionRunsUntil = aNow + kRestartElection;
  m_nextProbe = m_electionRunsUntil + RandomUpTo(kRestartElection);
}

Duration
Replica::RandomUpTo(Duration aMost)
{
  const auto most =
    static_cast<std::uint64_t>(std::max<Duration::rep>(aMost.count(), 1));
  return Duration{ static_cast<Duration::rep>(NextRandom() % most) };
}

void
Replica::Tick(TimePoint aNow)
{
  if (m_role == Role::kLeader) {
    const Duration patience =
      m_options.m_electionMin + m_options.m_electionSpread;
    const TimePoint contact = std::max(QuorumContact(aNow), m_leaderSince);
    // Cut off from the quorum: another leader may exist by now. Going on
    // would keep callers waiting for commits that can never come.
    if (contact + patience < aNow) {
      BecomeFollower(m_hardState.m_term, aNow);
      return;
    }
    PromoteSyncedLearner(aNow);
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
  } else if (KnowsNoLeader() && aNow >= m_nextProbe) {
    m_nextProbe = aNow + kProbeInterval / 2 + RandomUpTo(kProbeInterval / 2);
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
  m_role = Role::kFollower;
  m_inPreVote = false;
  m_leader.reset();
  m_leaderless.clear();
  m_progress.clear();
  m_regressed.clear();
  ResetElectionDeadline(aNow);
}

// Asking first, without a new term: a replica that comes back from a long
// isolation would otherwise force an election on a healthy group by its high
// term alone.
void
Replica::StartPreVote(TimePoint aNow)
{
  m_role = Role::kCandidate;
  m_inPreVote = true;
  m_leader.reset();
  m_votes = { m_self };
  m_leaderless.clear();
  if (KnowsNoLeader()) {
    m_leaderless.insert(m_self);
  }
  if (HasVoteQuorum()) {
    StartElection(aNow);
    return;
  }
  RequestVotes(true);
}

bool
Replica::KnowsNoLeader() const
{
  return !m_hasHeardLeader;
}

// After a restart of all voters each would wait out the lease of a leader that
// no longer exists, and callers with it. Whoever leads is a voter, so where
// every voter says that it has neither led nor heard from a leader since it
// started, nobody leads, and no lease is left to wait for. One that does not
// answer may lead.
//
// A leader elected after such an answer is not overlooked either: who answers
// takes the candidate's term, so that leader's term is higher, and a voter that
// has heard from it no longer gives its vote ahead of time.
bool
Replica::NoVoterKnowsALeader() const
{
  const auto& members = CurrentMembership().m_members;
  return std::all_of(
    members.begin(), members.end(), [&](const Member& aMember) {
      return !aMember.m_voter || m_leaderless.contains(aMember.m_id);
    });
}

void
Replica::StartElection(TimePoint aNow)
{
  m_role = Role::kCandidate;
  m_inPreVote = false;
  m_leader.reset();
  m_hardState = HardState{ Term{ m_hardState.m_term.Get() + 1 }, m_self };
  PersistHardState();
  m_votes = { m_self };
  ResetElectionDeadline(aNow);
  LetElectionRun(aNow);
  if (HasVoteQuorum()) {
    BecomeLeader(aNow);
    return;
  }
  RequestVotes(false);
}

void
Replica::RequestVotes(bool aPreVote)
{
  for (const Member& member : CurrentMembership().m_members) {
    if (member.m_voter && member.m_id != m_self) {
      SendWhenSynced(member.m_id,
                     VoteRequest{ aPreVote, LastIndex(), LastTerm() });
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
  m_hasHeardLeader = true;
  m_toldNoLeader.clear();
  m_leaderSince = aNow;
  m_progress.clear();
  m_regressed.clear();
  // An entry of the own term: only by committing it does a new leader learn
  // which entries of earlier terms are committed.
  AppendOwn(Noop{}, aNow);
  m_termStart = LastIndex();
  SendAppends(aNow, true);
}

void
Replica::FollowLeader(const ReplicaId& aLeader, TimePoint aNow)
{
  m_role = Role::kFollower;
  m_inPreVote = false;
  m_leader = aLeader;
  m_hasHeardLeader = true;
  m_toldNoLeader.clear();
  m_leaderHeardAt = aNow;
  ResetElectionDeadline(aNow);
}

void
Replica::Receive(const Message& aMessage, TimePoint aNow)
{
  // A message for an earlier life of this instance: its folder is gone, and
  // with it the votes and entries that the sender counts on.
  if (aMessage.m_to != m_self) {
    return;
  }
  const auto* vote = std::get_if<VoteRequest>(&aMessage.m_body);
  if (vote != nullptr) {
    On(aMessage.m_from, *vote, aMessage.m_term, aNow);
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
      On(aMessage.m_from, aBody, aMessage.m_term, aNow);
    },
    aMessage.m_body);
}

void
Replica::On(const ReplicaId& aFrom,
            const VoteRequest& aVote,
            Term aTerm,
            TimePoint aNow)
{
  // Within m_electionMin of hearing from a leader no vote is given: the lease
  // under which that leader answers reads rests on it.
  const bool leaderAlive = m_role == Role::kLeader
                             ? HoldsLease(aNow)
                             : aNow < m_leaderHeardAt + m_options.m_electionMin;
  if (aTerm < m_hardState.m_term) {
    SendWhenSynced(aFrom, VoteReply{ aVote.m_preVote, false });
    return;
  }
  if (aVote.m_preVote && KnowsNoLeader()) {
    OnPreVoteAfterRestart(aFrom, aVote, aTerm, aNow);
    return;
  }
  const auto told = m_toldNoLeader.find(aFrom);
  const bool isAwaited =
    told != m_toldNoLeader.end() && aTerm == Term{ told->second.Get() + 1 };
  if (leaderAlive && !isAwaited) {
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
  const bool free = !m_hardState.m_votedFor || *m_hardState.m_votedFor == aFrom;
  const bool granted = free &&
                       IsUpToDate(aVote.m_lastIndex, aVote.m_lastTerm) &&
                       m_role != Role::kLeader;
  if (granted) {
    m_hardState.m_votedFor = aFrom;
    PersistHardState();
    ResetElectionDeadline(aNow);
    LetElectionRun(aNow);
  }
  SendWhenSynced(aFrom, VoteReply{ false, granted });
}

void
Replica::OnPreVoteAfterRestart(const ReplicaId& aFrom,
                               const VoteRequest& aVote,
                               Term aTerm,
                               TimePoint aNow)
{
  // A pre-vote carries the term that the election would have.
  const Term candidates{ aTerm.Get() - 1 };
  if (candidates < m_hardState.m_term) {
    SendWhenSynced(aFrom, VoteReply{ true, false });
    return;
  }
  if (candidates > m_hardState.m_term) {
    BecomeFollower(candidates, aNow);
  }
  // Another election, begun now, would take the votes of the one under way.
  const bool isElecting = aNow < m_electionRunsUntil;
  if (isElecting || !IsUpToDate(aVote.m_lastIndex, aVote.m_lastTerm)) {
    return;
  }
  m_toldNoLeader[aFrom] = m_hardState.m_term;
  const bool granted = aNow >= m_leaderHeardAt + m_options.m_electionMin;
  SendWhenSynced(aFrom, VoteReply{ true, granted, true });
}

void
Replica::On(const ReplicaId& aFrom,
            const VoteReply& aReply,
            Term aTerm,
            TimePoint aNow)
{
  if (m_role != Role::kCandidate || aReply.m_preVote != m_inPreVote ||
      aTerm > m_hardState.m_term) {
    return;
  }
  if (aReply.m_knowsNoLeader && aTerm == m_hardState.m_term) {
    m_leaderless.insert(aFrom);
    if (NoVoterKnowsALeader()) {
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

} // namespace bamboostile::consensus
