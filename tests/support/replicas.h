#pragma once

#include "bamboostile/consensus/replica.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace bamboostile::test {

/** Faults of the message queue between the replicas and of their disks. */
struct Faults
{
  double m_loss = 0;
  double m_duplicate = 0;
  Duration m_maxDelay = Millis{ 2 };
  /** Maximum time until a write is synced. */
  Duration m_maxSync = Millis{ 3 };
  /** Bytes per second of each link; 0 if size does not matter. */
  std::uint64_t m_linkRate = 0;
  /** A message that takes longer is lost with its connection. */
  Duration m_connectionTimeout = Millis{ 350 };
  /** Options of the replicas; shorter timeouts cause more elections. */
  consensus::ReplicaOptions m_options;
};

/**
 * @brief Simulates several replicas, an in-memory queue between them, and
 * disks that lose unsynced writes.
 *
 * The naive model is the one sequence of entries that any replica has ever
 * applied; every applied entry is checked against it.
 */
class Replicas
{
public:
  Replicas(std::size_t aCount, std::uint64_t aSeed, Faults aFaults);

  /** Bootstraps the group on the first replica and adds the others, or as many
   * as aCount says. */
  bool Form(std::optional<std::size_t> aCount = std::nullopt);
  void Run(Duration aTime);
  bool RunUntil(const std::function<bool()>& aDone, Duration aLimit);

  /** Drops unsynced writes; the replica stays down until Start(). */
  void Crash(std::size_t aNode);
  void Start(std::size_t aNode);
  /** Crashes the replica and clears its disk; the next start is a new
   * incarnation. */
  void LoseDisk(std::size_t aNode);
  /** Copies the synced disk; RestoreDisk() restores the copy. */
  void CopyDisk(std::size_t aNode);
  void RestoreDisk(std::size_t aNode);
  void Freeze(std::size_t aNode, bool aFrozen);
  /** Number of events that wait for a frozen replica. */
  std::size_t BacklogOf(std::size_t aNode) const
  {
    return m_nodes[aNode].m_backlog.size();
  }
  /** Cuts messages from one replica to another, in that direction only. */
  void Cut(std::size_t aFrom, std::size_t aTo, bool aCut);
  void Isolate(std::size_t aNode, bool aIsolated);

  /** Makes this replica one of a version without fragments of entries: it
   * neither reads nor writes the fields for them. */
  void SetEarlierVersion(std::size_t aNode) { m_earlierVersions.insert(aNode); }

  /** Delays all messages to this replica, in addition to other delays. */
  void SetDelayTo(std::size_t aNode, Duration aDelay)
  {
    m_delayTo[aNode] = aDelay;
  }

  /** Lets the leader hand over; returns whether it found a successor. */
  bool HandOver();
  /** Proposes a command to the leader; returns false if there is none or it
   * refuses. */
  bool Propose(const std::string& aCommand);
  std::optional<std::size_t> Leader() const;
  consensus::Replica& At(std::size_t aNode)
  {
    return *m_nodes[aNode].m_replica;
  }
  bool IsUp(std::size_t aNode) const
  {
    return m_nodes[aNode].m_replica != nullptr;
  }
  TimePoint LocalNow(std::size_t aNode) const;
  std::size_t Size() const { return m_nodes.size(); }

  /** Entries that a leader has applied, in log order. */
  const std::map<Index, std::string>& Acknowledged() const
  {
    return m_acknowledged;
  }
  /** Last index that the replica applied, also after a crash. */
  Index AppliedBy(std::size_t aNode) const { return m_nodes[aNode].m_applied; }
  /** The first violation of an invariant; empty if there was none. */
  const std::string& Violation() const { return m_violation; }
  std::size_t ElectionCount() const { return m_leaders.size(); }
  std::size_t SnapshotBytesSent() const { return m_snapshotBytesSent; }
  /** Bytes of entries sent in fragments, to all replicas. */
  std::size_t FragmentBytesSent() const { return m_fragmentBytesSent; }
  void SetFaults(Faults aFaults) { m_faults = aFaults; }
  std::mt19937_64& Random() { return m_random; }
  std::string StateOf(std::size_t aNode) const;
  void Drain(std::size_t aNode);

private:
  struct Disk
  {
    consensus::RecoveredState m_state;
    Incarnation m_incarnation;
  };

  struct Event
  {
    std::size_t m_node = 0;
    std::uint64_t m_generation = 0;
    std::optional<consensus::Message> m_message;
    std::optional<consensus::Persist> m_persist;
  };

  struct Node
  {
    std::unique_ptr<consensus::Replica> m_replica;
    Disk m_disk;
    Disk m_copy;
    bool m_frozen = false;
    /** Events that arrived while the replica was frozen. */
    std::vector<Event> m_backlog;
    /** Rate of the local clock, up to 4% off real time. */
    double m_rate = 1;
    Index m_applied;
    std::uint64_t m_generation = 0;
  };

  void Step();
  void Deliver(Event aEvent);
  void Handle(std::size_t aNode, consensus::Action aAction);
  /** Returns when a message on a link of limited rate arrives; nullopt if its
   * connection ends before. */
  std::optional<TimePoint> ArrivalOf(const consensus::Message& aMessage,
                                     std::size_t aFrom,
                                     std::size_t aTo);
  /** Removes what one of the two replicas does not know. */
  void ReduceToCommonVersion(consensus::Message& aMessage,
                             std::size_t aFrom,
                             std::size_t aTo) const;
  void RecordApplied(std::size_t aNode, const consensus::LogEntry& aEntry);
  void CheckLeases();
  void ReportViolation(const std::string& aViolation);
  std::optional<std::size_t> NodeOf(const consensus::ReplicaId& aId) const;
  double RandomFraction();
  Duration RandomUpTo(Duration aMax);

  std::mt19937_64 m_random;
  Faults m_faults;
  TimePoint m_now{ std::chrono::hours{ 1 } };
  std::vector<Node> m_nodes;
  std::multimap<TimePoint, Event> m_events;
  std::set<std::pair<std::size_t, std::size_t>> m_cuts;
  std::map<std::pair<std::size_t, std::size_t>, TimePoint> m_linkFreeAt;
  std::map<std::size_t, Duration> m_delayTo;
  std::map<Index, std::string> m_history;
  std::map<Index, std::string> m_acknowledged;
  std::map<Term, consensus::ReplicaId> m_leaders;
  std::string m_violation;
  std::size_t m_snapshotBytesSent = 0;
  std::size_t m_fragmentBytesSent = 0;
  std::set<std::size_t> m_earlierVersions;
  std::uint64_t m_lastIncarnation = 0;
};

/** Maximum time that tests wait for what must happen. */
constexpr Duration kMaxWait = std::chrono::seconds{ 30 };

/** Longer than every timeout of a replica. */
constexpr Duration kPastTimeouts = std::chrono::seconds{ 4 };

bool ProposeAndWait(Replicas& aReplicas, const std::string& aCommand);
bool IsAcknowledged(const Replicas& aReplicas, const std::string& aCommand);

} // namespace bamboostile::test
