#pragma once

#include "bamboostile/units/ids.h"
#include "bamboostile/units/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bamboostile::consensus {

/** One incarnation of a replica's data folder. A replica that loses its folder
 * gets a new incarnation, which shares no vote with the old one. */
struct ReplicaId
{
  InstanceId m_instance;
  Incarnation m_incarnation;

  auto operator<=>(const ReplicaId&) const = default;
};

struct Member
{
  ReplicaId m_id;
  std::string m_address;
  bool m_voter = false;

  bool operator==(const Member&) const = default;
};

struct Membership
{
  std::vector<Member> m_members;

  const Member* Find(const ReplicaId& aId) const;
  /** Returns a member that is another incarnation of the same replica. */
  const Member* FindOtherIncarnation(const ReplicaId& aId) const;
  Membership WithVoter(const ReplicaId& aId) const;
  Membership WithLearner(const ReplicaId& aId) const;
  Membership Without(const ReplicaId& aId) const;
  bool IsVoter(const ReplicaId& aId) const;
  std::size_t VoterCount() const;
  bool operator==(const Membership&) const = default;
};

struct Noop
{};

/** An encoded state machine command; opaque to the log. */
struct CommandBytes
{
  std::string m_bytes;
};

using Payload = std::variant<Noop, CommandBytes, Membership>;

struct LogEntry
{
  Index m_index;
  Term m_term;
  Payload m_payload;
};

/** State that must be on disk before a vote is granted or a term is used. */
struct HardState
{
  Term m_term;
  std::optional<ReplicaId> m_votedFor;
  bool operator==(const HardState&) const = default;
};

struct Snapshot
{
  Index m_index;
  Term m_term;
  Membership m_membership;
  std::string m_state;
};

struct VoteRequest
{
  bool m_preVote = false;
  Index m_lastIndex;
  Term m_lastTerm;
  /** The leader of the previous term has stepped down in favour of the sender:
   * its lease is over. */
  bool m_isHandover = false;
};

struct VoteReply
{
  bool m_preVote = false;
  bool m_granted = false;
  /** The sender has neither led nor received a message from a leader since it
   * started. */
  bool m_knowsNoLeader = false;
};

/** Part of the command of a log entry that is too large for one message. A
 * fragment without bytes only asks how much has arrived. */
struct EntryFragment
{
  /** Term of the entry. */
  Term m_term;
  /** Size of the whole command. */
  std::uint64_t m_size = 0;
  std::uint64_t m_offset = 0;
  std::string m_bytes;
};

struct AppendRequest
{
  Index m_previousIndex;
  Term m_previousTerm;
  std::vector<LogEntry> m_entries;
  Index m_commit;
  /** The leader's clock at sending, echoed by the follower. The leader's lease
   * starts at this time, so network delay can only shorten it. */
  TimePoint m_sentAt;
  /** Part of the entry after the previous one; m_entries is then empty. */
  std::optional<EntryFragment> m_fragment{};
};

/** How much of a fragmented entry a follower holds. */
struct FragmentProgress
{
  Index m_index;
  /** Number of bytes received without a gap. */
  std::uint64_t m_received = 0;
};

struct AppendReply
{
  bool m_accepted = false;
  /** If accepted: the last entry known to match. If rejected: the last entry
   * that the follower holds. */
  Index m_match;
  TimePoint m_sentAt;
  /** Set if the request had a fragment. */
  std::optional<FragmentProgress> m_fragment{};
  /** Whether the sender assembles fragments; replicas of earlier versions do
   * not. */
  bool m_acceptsFragments = true;
  /** As in ReplicaOptions; 0 for replicas of earlier versions. */
  std::uint32_t m_stateVersion = 0;
};

/** Part of a snapshot's state. A chunk without bytes is a heartbeat. */
struct SnapshotChunk
{
  Index m_index;
  Term m_term;
  Membership m_membership;
  /** Size of the whole state. */
  std::uint64_t m_size = 0;
  std::uint64_t m_offset = 0;
  std::string m_bytes;
  /** As in AppendRequest. */
  TimePoint m_sentAt;
};

struct SnapshotProgress
{
  Index m_index;
  /** Number of bytes received without a gap. */
  std::uint64_t m_received = 0;
  TimePoint m_sentAt;
};

/** Asks a voter to start an election at once. The sender led the message's term
 * and has stepped down. */
struct Handover
{};

/** Tells the leader that the sender is about to stop, perhaps for good. */
struct Departure
{};

using MessageBody = std::variant<VoteRequest,
                                 VoteReply,
                                 AppendRequest,
                                 AppendReply,
                                 SnapshotChunk,
                                 SnapshotProgress,
                                 Handover,
                                 Departure>;

struct Message
{
  ReplicaId m_from;
  ReplicaId m_to;
  Term m_term;
  MessageBody m_body;
};

/** A write request for the disk. Once all of it is synced, the owner of the
 * replica reports m_ticket back. m_entries replace everything in the log from
 * their first index on. */
struct Persist
{
  std::uint64_t m_ticket = 0;
  std::optional<HardState> m_hardState;
  std::optional<Snapshot> m_snapshot;
  std::vector<LogEntry> m_entries;
};

struct Send
{
  Message m_message;
};

/** Committed entries in order; each is handed out once per process. */
struct Apply
{
  std::vector<LogEntry> m_entries;
};

/** The state machine restarts from this snapshot. */
struct Restore
{
  Snapshot m_snapshot;
};

/** Leader: a snapshot is being sent. */
struct SnapshotStarted
{
  ReplicaId m_to;
  Index m_index;
  std::size_t m_bytes = 0;
};

/** Leader: a member holds the snapshot that was sent to it. */
struct SnapshotAcknowledged
{
  ReplicaId m_by;
  Index m_index;
  std::size_t m_bytes = 0;
  Duration m_took{};
};

/** Follower: a snapshot has arrived whole and replaces the log. */
struct SnapshotInstalled
{
  ReplicaId m_from;
  Index m_index;
  std::size_t m_bytes = 0;
};

/** Leader: a membership change was appended to the log. */
struct MembershipProposed
{
  Index m_index;
  Membership m_membership;
};

/** This replica asks for votes. */
struct ElectionStarted
{
  Term m_term;
  Index m_lastIndex;
  bool m_preVote = false;
};

/** An election ended without a leader: its time ran out, or the process learned
 * of a leader or of a higher term. */
struct ElectionLost
{
  Term m_term;
  std::size_t m_votes = 0;
  std::size_t m_voters = 0;
  bool m_preVote = false;
};

/** Events for logs and metrics; they ask for nothing. */
using Notice = std::variant<SnapshotStarted,
                            SnapshotAcknowledged,
                            SnapshotInstalled,
                            MembershipProposed,
                            ElectionStarted,
                            ElectionLost>;

using Action = std::variant<Persist, Send, Apply, Restore, Notice>;

/** Leader: how far another member is. */
struct FollowerStatus
{
  Member m_member;
  Index m_match;
  /** The log no longer holds the entries that this member needs next. */
  bool m_needsSnapshot = false;
  bool m_regressed = false;
};

enum class Role
{
  kFollower,
  kCandidate,
  kLeader,
};

enum class Error
{
  kNone,
  kNotLeader,
  kNotReady,
  kChangePending,
  kUnknownMember,
  kAlreadyMember,
  kLastVoter,
  kNotEmpty,
};

/** Returns a message for operators. */
const char* Describe(Error aError) noexcept;

} // namespace bamboostile::consensus
