#pragma once

#include "bamboostile/consensus/types.h"

#include <deque>
#include <map>
#include <memory>
#include <set>

namespace bamboostile::consensus {

struct ReplicaOptions
{
  /** Three heartbeats fit into m_minElectionTimeout, so that one late heartbeat
   * does not end a term. */
  Duration m_heartbeatInterval = Millis{ 150 };
  /** No vote is granted and no election is started within this time after the
   * last contact with a leader (or after startup). Callers wait at least this
   * long when a leader is lost; with a much lower value, a leader that is busy
   * for a moment loses its term. */
  Duration m_minElectionTimeout = Millis{ 500 };
  /** Range of the random part of the election timeout. It is large compared
   * with the network delay, so that two voters rarely start an election at the
   * same time. */
  Duration m_electionJitter = Millis{ 400 };
  /** Percentage by which a leader's lease is shorter than m_minElectionTimeout,
   * to allow for clocks that run at different rates. */
  int m_driftPercent = 10;
  /** Both small enough that a slow link transfers a message before the peer
   * counts as silent. A command larger than a batch is sent in fragments of
   * this size. */
  std::size_t m_maxBatchBytes = 64 * 1024;
  std::size_t m_snapshotChunkBytes = 64 * 1024;
  /** Maximum size of the entries that a leader keeps, beyond its snapshot, for
   * members that are behind; or twice the snapshot, if that is more. */
  std::size_t m_maxRetainedBytes = 32 * 1024 * 1024;
  /** Number of voters to which the group grows by itself; further replicas stay
   * learners, ready to replace a voter. 0 means no limit. Should be odd: if
   * four voters are split into halves, neither half is a majority; of three
   * voters, one side always is. */
  std::size_t m_maxVoters = 0;
  /** Maximum number of voters while more replicas run than m_maxVoters:
   * caught-up learners are added in pairs, so that a majority of the replicas
   * always holds a majority of the votes. No more than m_maxVoters by default.
   */
  std::size_t m_maxVotersInReplacement = 0;
  /** Highest version of the replicated state that this process applies. */
  std::uint32_t m_stateVersion = 0;
  std::uint64_t m_seed = 1;
};

/** State recovered from the data folder at startup. */
struct RecoveredState
{
  HardState m_hardState;
  std::optional<Snapshot> m_snapshot;
  std::vector<LogEntry> m_entries;
};

/**
 * @brief One replica of the replicated log: elections, replication, commit,
 * membership changes and snapshots, without any I/O.
 *
 * Every call takes the current time and queues typed actions, which the owner
 * fetches with TakeActions(). Messages that depend on a disk write are deferred
 * until OnPersisted() reports that write, so the owner cannot send them too
 * early. Not thread-safe; owned by one control thread.
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

  /** Appends a command; on success aIndex is its position. The command is
   * committed once an Apply action contains an entry with that index and with
   * the term that CurrentTerm() returned at this call. */
  Error Propose(std::string aCommand, TimePoint aNow, Index& aIndex);

  /** Adds a replica as a learner. It becomes a voter automatically once it has
   * caught up; an older incarnation of the same instance is removed first. */
  Error AddMember(Member aMember, TimePoint aNow);
  Error RemoveMember(const InstanceId& aInstance, TimePoint aNow);

  /** Steps down as leader and makes the voter that holds most of the log start
   * an election at once. Returns false, and changes nothing, if this replica
   * does not lead or no other voter answers. */
  bool HandOver(TimePoint aNow);

  /** Tells the leader that this replica is about to stop, so that a caught-up
   * learner gets its vote. Returns whether that is to be expected: it votes,
   * and there is a learner or another voter more than needed. */
  bool AnnounceDeparture();

  /** Replaces the log up to aApplied by a snapshot of the state there. A leader
   * keeps the entries that members which are catching up still need. */
  void Compact(Index aApplied, std::string aState, TimePoint aNow);

  std::vector<Action> TakeActions();

  /** True while no other leader can have been elected; reads are answered and
   * leases are granted only then. */
  bool HoldsLease(TimePoint aNow) const;

  /** True once an entry of this leader's own term is committed: its state then
   * contains everything that any earlier leader acknowledged. */
  bool IsReady() const;

  const ReplicaId& Self() const { return m_self; }
  Role CurrentRole() const { return m_role; }
  Term CurrentTerm() const { return m_hardState.m_term; }
  std::optional<ReplicaId> Leader() const { return m_leader; }
  Index CommitIndex() const { return m_commit; }
  Index LastIndex() const;
  Index SnapshotIndex() const { return m_snapshot->m_index; }
  const Membership& CurrentMembership() const;
  /** Position of the log at which CurrentMembership() began. */
  Index MembershipIndex() const { return m_memberships.back().m_index; }
  /** Leader only: the last index that aId is known to hold. */
  Index MatchIndexOf(const ReplicaId& aId) const;
  /** Leader only: the learners that keep up with the log. */
  std::vector<ReplicaId> LearnersCaughtUp(TimePoint aNow) const;
  /** Leader only: the other members and how far they are. */
  std::vector<FollowerStatus> Followers() const;
  /** Leader only: the highest version of the replicated state that all members
   * apply; 0 until all have answered this leader. */
  std::uint32_t CommonStateVersion() const;
  /** Peers that hold less than they had acknowledged, because their folder was
   * replaced by an old copy. They are no longer counted. */
  const std::set<ReplicaId>& RegressedPeers() const { return m_regressed; }

private:
  /** A snapshot on its way to a peer. Once its first bytes have arrived it
   * stays the same, even if a newer one is taken. */
  struct Transfer
  {
    std::shared_ptr<const Snapshot> m_snapshot;
    TimePoint m_startedAt;
    /** When m_received last advanced, or probing began or ended. */
    TimePoint m_activeAt;
    std::uint64_t m_received = 0;
    std::uint64_t m_sent = 0;
    TimePoint m_lastChunkAt{};
    /** Only heartbeats are sent until the peer answers one. */
    bool m_probing = true;
  };

  /** A snapshot or an entry that is arriving in parts. Another leader, or the
   * same one in a later term, may have other bytes for the same index, so their
   * parts do not mix. */
  struct Arrival
  {
    ReplicaId m_from;
    Term m_leaderTerm;
    Index m_index;
    std::string m_bytes;
  };

  /** An entry on its way to a peer in fragments. */
  struct FragmentedEntry
  {
    Index m_index;
    std::uint64_t m_received = 0;
    std::uint64_t m_sent = 0;
    TimePoint m_lastFragmentAt{};
  };

  struct SentAppend
  {
    Index m_last;
    std::size_t m_bytes = 0;
  };

  struct Progress
  {
    Index m_next;
    Index m_match;
    /** Entries sent and not acknowledged, oldest first. */
    std::deque<SentAppend> m_inFlight;
    std::size_t m_bytesInFlight = 0;
    /** When m_match last advanced. */
    TimePoint m_matchAdvancedAt;
    TimePoint m_lastAckedSentAt;
    TimePoint m_lastAnswerAt;
    std::optional<Transfer> m_transfer;
    /** The peer has received at least part of a snapshot and has not caught up
     * with the log since. */
    bool m_isCatchingUp = false;
    /** The entry at m_next, while it is sent in fragments. */
    std::optional<FragmentedEntry> m_fragmented;
    /** As of the peer's last answer; false for replicas of earlier versions. */
    bool m_acceptsFragments = false;
    std::uint32_t m_stateVersion = 0;
    bool m_probing = true;
    /** A round ends when the peer holds the log as it was at its start. */
    Index m_roundTarget;
    TimePoint m_roundStartedAt;
    bool m_wasLastRoundShort = false;
  };

  struct DeferredMessage
  {
    std::uint64_t m_ticket;
    Message m_message;
  };

  struct MembershipEntry
  {
    Index m_index;
    Membership m_membership;
  };

  void Handle(const ReplicaId& aFrom,
              const VoteRequest& aVote,
              Term,
              TimePoint);
  void Handle(const ReplicaId& aFrom, const VoteReply& aReply, Term, TimePoint);
  void Handle(const ReplicaId& aFrom,
              const AppendRequest& aAppend,
              Term,
              TimePoint);
  void Handle(const ReplicaId& aFrom,
              const AppendReply& aReply,
              Term,
              TimePoint);
  void Handle(const ReplicaId& aFrom,
              const SnapshotChunk& aChunk,
              Term,
              TimePoint);
  void Handle(const ReplicaId& aFrom,
              const SnapshotProgress& aProgress,
              Term,
              TimePoint);

  void Handle(const ReplicaId& aFrom, const Handover&, Term, TimePoint);
  void Handle(const ReplicaId& aFrom, const Departure&, Term, TimePoint);

  void HandlePreVoteAfterRestart(const ReplicaId& aFrom,
                                 const VoteRequest& aVote,
                                 Term aTerm,
                                 TimePoint aNow);

  void BecomeFollower(Term aTerm, TimePoint aNow);
  void StartPreVote(TimePoint aNow);
  void StartElection(TimePoint aNow, bool aIsHandover = false);
  void BecomeLeader(TimePoint aNow);
  void RequestVotes(bool aPreVote, bool aIsHandover = false);
  void NoteElectionLost();
  bool HasVoteQuorum() const;
  bool KnowsNoLeader() const;
  bool AllVotersKnowNoLeader() const;
  void MarkElectionInProgress(TimePoint aNow);
  Duration RandomUpTo(Duration aMax);
  void ResetElectionDeadline(TimePoint aNow);
  void FollowLeader(const ReplicaId& aLeader, TimePoint aNow);

  void AppendToLog(Payload aPayload, TimePoint aNow);
  Error ProposeMembership(Membership aMembership, TimePoint aNow);
  bool IsMembershipChangePending() const;
  /** Adds a voter for a learner that has caught up, or takes a vote back. */
  void AdjustVoters(TimePoint aNow);
  /** Whether one of the learners may become a voter. */
  bool HasVoterPlace(TimePoint aNow) const;
  /** Whether the member is a learner that could vote at once. */
  bool IsReadyToVote(const Member& aMember, TimePoint aNow) const;
  /** Returns a departing voter that the group can do without. */
  std::optional<ReplicaId> FindDepartedVoter() const;
  std::size_t CountDepartingVoters() const;
  /** Returns the voter that makes the number of voters even, if it should
   * become a learner again. */
  std::optional<ReplicaId> FindSurplusVoter(TimePoint aNow) const;
  void UpdateRound(Progress& aProgress, TimePoint aNow);
  bool IsCaughtUp(const ReplicaId& aId, TimePoint aNow) const;
  bool IsAnswering(const ReplicaId& aId, TimePoint aNow) const;
  static TimePoint LastSignOf(const Progress& aProgress);
  void StepDownIfRemoved(TimePoint aNow);
  void SendAppends(TimePoint aNow, bool aHeartbeat);
  void SendAppendTo(const ReplicaId& aPeer, TimePoint aNow, bool aHeartbeat);
  void ContinueTransfer(const ReplicaId& aPeer,
                        Progress& aProgress,
                        TimePoint aNow,
                        bool aHeartbeat);
  void SendChunk(const ReplicaId& aPeer,
                 const Transfer& aTransfer,
                 std::size_t aBytes,
                 TimePoint aNow);
  void EndTransferIfHeld(const ReplicaId& aPeer,
                         Progress& aProgress,
                         TimePoint aNow);
  bool IsSentInFragments(const Progress& aProgress,
                         const LogEntry& aEntry) const;
  void ContinueFragments(const ReplicaId& aPeer,
                         Progress& aProgress,
                         const AppendRequest& aHeartbeat,
                         bool aIsHeartbeatDue);
  static void UpdateFragments(Progress& aProgress, const AppendReply& aReply);
  std::size_t MaxChunksTo(const ReplicaId& aPeer) const;
  void AppendIfMissing(const LogEntry& aEntry, std::vector<LogEntry>& aAdded);
  std::uint64_t AppendFragment(const ReplicaId& aFrom,
                               const AppendRequest& aAppend,
                               Term aTerm,
                               std::vector<LogEntry>& aAdded);
  static std::uint64_t AppendPart(std::optional<Arrival>& aArrival,
                                  Arrival aPart,
                                  std::uint64_t aOffset);
  void Install(const ReplicaId& aFrom, Snapshot aSnapshot);
  static bool MayAppend(const Progress& aProgress);
  static void ForgetInFlight(Progress& aProgress, Index aUpTo);
  void AdvanceCommit(TimePoint aNow);
  void CommitTo(Index aIndex);
  TimePoint LastQuorumContact(TimePoint aNow) const;

  void TruncateFrom(Index aIndex);
  const LogEntry* EntryAt(Index aIndex) const;
  std::optional<Term> TermAt(Index aIndex) const;
  bool IsUpToDate(Index aLastIndex, Term aLastTerm) const;
  Term LastTerm() const;

  void DropLogUpTo(Index aIndex);
  Index LastIndexNotNeeded(Index aApplied, TimePoint aNow) const;
  Index LimitRetained(Index aFrom, Index aApplied) const;
  void PersistSnapshot();
  void PersistHardState();
  void PersistEntries(std::vector<LogEntry> aEntries);
  std::uint64_t NewTicket() { return ++m_lastTicket; }
  void SendNow(const ReplicaId& aTo, MessageBody aBody);
  /** Sends once all writes handed to the disk so far are synced. */
  void SendWhenSynced(const ReplicaId& aTo, MessageBody aBody);
  Message Compose(const ReplicaId& aTo, MessageBody aBody) const;
  std::uint64_t NextRandom();

  ReplicaId m_self;
  ReplicaOptions m_options;
  HardState m_hardState;
  /** Never null. */
  std::shared_ptr<const Snapshot> m_snapshot;
  std::optional<Arrival> m_arrival;
  std::optional<Arrival> m_entryArrival;
  /** Position and term of the entry before the first one in m_log; at or before
   * the snapshot. */
  Index m_baseIndex;
  Term m_baseTerm;
  std::deque<LogEntry> m_log;
  std::vector<MembershipEntry> m_memberships;
  Index m_commit;
  Index m_applied;
  Index m_persistedIndex;

  Role m_role = Role::kFollower;
  bool m_inPreVote = false;
  std::optional<ReplicaId> m_leader;
  TimePoint m_lastLeaderContactAt;
  TimePoint m_electionDeadline;
  TimePoint m_nextHeartbeat;
  TimePoint m_becameLeaderAt;
  Index m_termStartIndex;
  std::set<ReplicaId> m_votes;
  /** Whether this replica has led, or has received a message from a leader,
   * since this process started. */
  bool m_hasKnownLeader = false;
  TimePoint m_nextRestartPreVote;
  TimePoint m_electionInProgressUntil;
  /** Voters that reported in this term that they know of no leader. */
  std::set<ReplicaId> m_votersWithoutLeader;
  /** Candidates to which this replica reported that it knows of no leader, and
   * the term of that report. */
  std::map<ReplicaId, Term> m_noLeaderReplies;
  std::map<ReplicaId, Progress> m_progress;
  std::set<ReplicaId> m_regressed;
  /** Leader: voters that are about to stop, and when they said so. */
  std::map<ReplicaId, TimePoint> m_departing;

  std::uint64_t m_lastTicket = 0;
  std::uint64_t m_syncedTicket = 0;
  std::uint64_t m_hardStateTicket = 0;
  std::map<std::uint64_t, Index> m_ticketIndex;
  std::deque<DeferredMessage> m_deferred;
  std::vector<Action> m_actions;
  std::uint64_t m_randomState;
};

} // namespace bamboostile::consensus
