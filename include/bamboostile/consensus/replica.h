#pragma once

#include "bamboostile/consensus/types.h"

#include <deque>
#include <map>
#include <set>

namespace bamboostile::consensus {

struct ReplicaOptions
{
  /** Three fit into m_electionMin, so that one late one ends no term. */
  Duration m_heartbeat = Millis{ 150 };
  /** No vote is given, and no election started, within this time of hearing
   * from a leader (or of starting up). Callers wait for so long at least when a
   * leader is lost; much less, and a leader that is busy for a moment loses its
   * term. */
  Duration m_electionMin = Millis{ 500 };
  /** Spread of the randomised part of the election timeout. Wide beside a
   * message's way, so that two voters seldom stand at once. */
  Duration m_electionSpread = Millis{ 400 };
  /** A leader's lease is shorter than m_electionMin by this share, in
   * percent, for clocks that run at different speeds. */
  int m_driftPercent = 10;
  std::size_t m_maxBatchBytes = 256 * 1024;
  /** Replicas beyond these stay learners, ready to take a voter's place; 0 for
   * no limit. An odd number: of four voters that are split in halves neither
   * half is a majority, of three one always is. */
  std::size_t m_maxVoters = 0;
  std::uint64_t m_seed = 1;
};

/** What was found in the data folder at start. */
struct RecoveredState
{
  HardState m_hardState;
  std::optional<Snapshot> m_snapshot;
  std::vector<LogEntry> m_entries;
};

/**
 * @brief One replica of the replicated log: elections, replication, commit,
 * membership changes and snapshots, without any input or output.
 *
 * Every call takes the time and leaves typed actions to be fetched with
 * TakeActions(). Messages that depend on a disk write are kept back until
 * OnPersisted() reports that write, so a shell cannot send them too early.
 * The object is not thread-safe; one control thread owns it.
 */
class Replica
{
public:
  Replica(ReplicaId aSelf,
          ReplicaOptions aOptions,
          RecoveredState aRecovered,
          TimePoint aNow);

  /** Makes this empty replica the first and only voter of a new group. */
  Error Bootstrap(std::string aAddress, TimePoint aNow);

  void Tick(TimePoint aNow);
  void Receive(const Message& aMessage, TimePoint aNow);
  void OnPersisted(std::uint64_t aTicket, TimePoint aNow);

  /** Appends a command; on success aIndex is its position, which is decided
   * once an Apply with that index and m_term == Term() comes out. */
  Error Propose(std::string aCommand, TimePoint aNow, Index& aIndex);

  /** Admits a replica as a learner. It is made a voter by itself once it
   * holds all that is committed; an older incarnation of the same instance
   * is removed just before. */
  Error AddMember(Member aMember, TimePoint aNow);
  Error RemoveMember(const InstanceId& aInstance, TimePoint aNow);

  /** Replaces the log up to aApplied by a snapshot of the state there. */
  void Compact(Index aApplied, std::string aState);

  std::vector<Action> TakeActions();

  /** True while no other leader can have been elected; reads and leases are
   * given only then. */
  bool HoldsLease(TimePoint aNow) const;

  /** True once an entry of this leader's own term is applied: its state then
   * holds everything any earlier leader acknowledged. */
  bool IsReady() const;

  const ReplicaId& Self() const { return m_self; }
  Role CurrentRole() const { return m_role; }
  Term CurrentTerm() const { return m_hardState.m_term; }
  std::optional<ReplicaId> Leader() const { return m_leader; }
  Index CommitIndex() const { return m_commit; }
  Index LastIndex() const;
  Index SnapshotIndex() const { return m_snapshot.m_index; }
  const Membership& CurrentMembership() const;
  /** A leader's view: the last entry each member is known to hold. */
  Index MatchOf(const ReplicaId& aId) const;
  /** Peers whose log went back behind what they had acknowledged: their
   * folder was replaced by an old copy. They are not counted any more. */
  const std::set<ReplicaId>& Regressed() const { return m_regressed; }

private:
  struct Progress
  {
    Index m_next;
    Index m_match;
    /** When m_match last grew. */
    TimePoint m_matchKnownAt;
    TimePoint m_lastAckSentAt;
    TimePoint m_lastSnapshotAt;
    bool m_probing = true;
  };

  struct HeldMessage
  {
    std::uint64_t m_ticket;
    Message m_message;
  };

  struct MembershipAt
  {
    Index m_index;
    Membership m_membership;
  };

  void On(const ReplicaId& aFrom, const VoteRequest& aVote, Term, TimePoint);
  void On(const ReplicaId& aFrom, const VoteReply& aReply, Term, TimePoint);
  void On(const ReplicaId& aFrom, const AppendRequest& aApp, Term, TimePoint);
  void On(const ReplicaId& aFrom, const AppendReply& aReply, Term, TimePoint);
  void On(const ReplicaId& aFrom, const InstallSnapshot& aSn, Term, TimePoint);

  void OnPreVoteAfterRestart(const ReplicaId& aFrom,
                             const VoteRequest& aVote,
                             Term aTerm,
                             TimePoint aNow);

  void BecomeFollower(Term aTerm, TimePoint aNow);
  void StartPreVote(TimePoint aNow);
  void StartElection(TimePoint aNow);
  void BecomeLeader(TimePoint aNow);
  void RequestVotes(bool aPreVote);
  bool HasVoteQuorum() const;
  bool KnowsNoLeader() const;
  bool NoVoterKnowsALeader() const;
  void LetElectionRun(TimePoint aNow);
  Duration RandomUpTo(Duration aMost);
  void ResetElectionDeadline(TimePoint aNow);
  void FollowLeader(const ReplicaId& aLeader, TimePoint aNow);

  void AppendOwn(Payload aPayload, TimePoint aNow);
  Error ProposeMembership(Membership aMembership, TimePoint aNow);
  bool IsChangePending() const;
  void PromoteSyncedLearner(TimePoint aNow);
  void StepDownIfRemoved(TimePoint aNow);
  void SendAppends(TimePoint aNow, bool aHeartbeat);
  void SendAppendTo(const ReplicaId& aPeer, TimePoint aNow, bool aHeartbeat);
  void AdvanceCommit(TimePoint aNow);
  void CommitTo(Index aIndex);
  TimePoint QuorumContact(TimePoint aNow) const;

  void TruncateFrom(Index aIndex);
  const LogEntry* EntryAt(Index aIndex) const;
  std::optional<Term> TermAt(Index aIndex) const;
  bool IsUpToDate(Index aLastIndex, Term aLastTerm) const;
  Term LastTerm() const;

  void PersistHardState();
  void PersistEntries(std::vector<LogEntry> aEntries);
  std::uint64_t NewTicket() { return ++m_lastTicket; }
  void SendNow(const ReplicaId& aTo, MessageBody aBody);
  /** Sends once everything handed to the disk so far is synced. */
  void SendWhenSynced(const ReplicaId& aTo, MessageBody aBody);
  Message Compose(const ReplicaId& aTo, MessageBody aBody) const;
  std::uint64_t NextRandom();

  ReplicaId m_self;
  ReplicaOptions m_options;
  HardState m_hardState;
  Snapshot m_snapshot;
  std::deque<LogEntry> m_log;
  std::vector<MembershipAt> m_memberships;
  Index m_commit;
  Index m_applied;
  Index m_persistedIndex;

  Role m_role = Role::kFollower;
  bool m_inPreVote = false;
  std::optional<ReplicaId> m_leader;
  TimePoint m_leaderHeardAt;
  TimePoint m_electionDeadline;
  TimePoint m_nextHeartbeat;
  TimePoint m_leaderSince;
  Index m_termStart;
  std::set<ReplicaId> m_votes;
  /** Since this process started, from another or by leading. */
  bool m_hasHeardLeader = false;
  TimePoint m_nextProbe;
  TimePoint m_electionRunsUntil;
  /** Voters that have said in this term that they know of no leader. */
  std::set<ReplicaId> m_leaderless;
  /** Candidates that this replica has told so, and in which term. */
  std::map<ReplicaId, Term> m_toldNoLeader;
  std::map<ReplicaId, Progress> m_progress;
  std::set<ReplicaId> m_regressed;

  std::uint64_t m_lastTicket = 0;
  std::uint64_t m_syncedTicket = 0;
  std::uint64_t m_hardStateTicket = 0;
  std::map<std::uint64_t, Index> m_ticketIndex;
  std::deque<HeldMessage> m_held;
  std::vector<Action> m_actions;
  std::uint64_t m_randomState;
};

} // namespace bamboostile::consensus
