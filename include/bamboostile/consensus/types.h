#pragma once

#include "bamboostile/units/ids.h"
#include "bamboostile/units/time.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bamboostile::consensus {

/** One life of a replica's data folder. A lost folder makes a new one, which
 * shares no vote with the old. */
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
  bool IsVoter(const ReplicaId& aId) const;
  std::size_t VoterCount() const;
  bool operator==(const Membership&) const = default;
};

struct Noop
{};

/** An encoded state machine command; the log does not look inside. */
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

/** What must be on disk before a vote is given or a term is used. */
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
};

struct VoteReply
{
  bool m_preVote = false;
  bool m_granted = false;
  /** The sender has not heard from a leader, nor led, since it started. */
  bool m_knowsNoLeader = false;
};

struct AppendRequest
{
  Index m_previousIndex;
  Term m_previousTerm;
  std::vector<LogEntry> m_entries;
  Index m_commit;
  /** The leader's clock at sending, returned by the follower: the leader's
   * lease counts from here, so delay can only shorten it. */
  TimePoint m_sentAt;
};

struct AppendReply
{
  bool m_accepted = false;
  /** Accepted: the last entry known to match. Refused: the last entry that
   * the follower holds. */
  Index m_match;
  TimePoint m_sentAt;
};

struct InstallSnapshot
{
  Snapshot m_snapshot;
  TimePoint m_sentAt;
};

using MessageBody = std::
  variant<VoteRequest, VoteReply, AppendRequest, AppendReply, InstallSnapshot>;

struct Message
{
  ReplicaId m_from;
  ReplicaId m_to;
  Term m_term;
  MessageBody m_body;
};

/** Work for the disk. Once all of it is synced, the shell reports m_ticket
 * back; entries replace whatever the log held from their first index on. */
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

/** Committed entries in order, each handed out once in a process's life. */
struct Apply
{
  std::vector<LogEntry> m_entries;
};

/** The state machine starts again from this snapshot. */
struct Restore
{
  Snapshot m_snapshot;
};

using Action = std::variant<Persist, Send, Apply, Restore>;

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

/** A sentence for operators. */
const char* Describe(Error aError) noexcept;

} // namespace bamboostile::consensus
