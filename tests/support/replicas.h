#pragma once

#include "bamboostile/consensus/replica.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace bamboostile::test {

/** How badly the queue between the replicas behaves. */
struct Faults
{
  double m_loss = 0;
  double m_duplicate = 0;
  Duration m_maxDelay = Millis{ 2 };
  /** A write takes up to this long to be synced. */
  Duration m_maxSync = Millis{ 3 };
  /** Shorter timeouts make more elections in the same time. */
  consensus::ReplicaOptions m_options;
};

/**
 * @brief A handful of replicas, an in-memory queue between them, and disks
 * that forget what was not synced.
 *
 * Keeps, as the naive model, the one sequence of entries that any replica
 * ever applied, and checks every apply against it.
 */
class Replicas
{
public:
  Replicas(std::size_t aCount, std::uint64_t aSeed, Faults aFaults);

  /** Founds the group on the first replica and admits the others. */
  bool Form();
  void Run(Duration aTime);
  bool RunUntil(const std::function<bool()>& aDone, Duration aLimit);

  /** Loses what is not synced; the replica stays down until Start(). */
  void Crash(std::size_t aAt);
  void Start(std::size_t aAt);
  /** Loses the disk as well: the next start is a new incarnation. */
  void LoseDisk(std::size_t aAt);
  /** Keeps a copy of the synced disk; RestoreDisk() puts it back. */
  void CopyDisk(std::size_t aAt);
  void RestoreDisk(std::size_t aAt);
  void Freeze(std::size_t aAt, bool aFrozen);
  /** Cuts messages from one replica to another, in that direction only. */
  void Cut(std::size_t aFrom, std::size_t aTo, bool aCut);
  void Isolate(std::size_t aAt, bool aIsolated);

  /** Proposes at whoever leads; returns false if nobody does. */
  bool Propose(const std::string& aCommand);
  std::optional<std::size_t> Leader() const;
  consensus::Replica& At(std::size_t aAt) { return *m_nodes[aAt].m_replica; }
  bool IsUp(std::size_t aAt) const { return m_nodes[aAt].m_replica != nullptr; }
  TimePoint LocalNow(std::size_t aAt) const;
  std::size_t Size() const { return m_nodes.size(); }

  /** Commands that a leader reported as decided, in log order. */
  const std::map<Index, std::string>& Acknowledged() const
  {
    return m_acknowledged;
  }
  /** What each replica applied, also before its last crash. */
  Index AppliedBy(std::size_t aAt) const { return m_nodes[aAt].m_applied; }
  /** The first violation of an invariant; empty if there was none. */
  const std::string& Violation() const { return m_violation; }
  std::size_t ElectionCount() const { return m_leaders.size(); }
  void SetFaults(Faults aFaults) { m_faults = aFaults; }
  std::mt19937_64& Random() { return m_random; }
  std::string StateOf(std::size_t aAt) const;
  void Drain(std::size_t aAt);

private:
  struct Disk
  {
    consensus::RecoveredState m_state;
    Incarnation m_incarnation;
  };

  struct Event
  {
    std::size_t m_node = 0;
    std::uint64_t m_life = 0;
    std::optional<consensus::Message> m_message;
    std::optional<consensus::Persist> m_persist;
  };

  struct Node
  {
    std::unique_ptr<consensus::Replica> m_replica;
    Disk m_disk;
    Disk m_copy;
    bool m_frozen = false;
    /** What came while it was frozen. */
    std::vector<Event> m_backlog;
    /** Clocks run up to 4% apart. */
    double m_rate = 1;
    Index m_applied;
    std::uint64_t m_life = 0;
  };

  void Step();
  void Deliver(Event aEvent);
  void Handle(std::size_t aAt, consensus::Action aAction);
  void Record(std::size_t aAt, const consensus::LogEntry& aEntry);
  void CheckLeases();
  void Fail(const std::string& aWhat);
  std::optional<std::size_t> NodeOf(const consensus::ReplicaId& aId) const;
  double Chance();
  Duration RandomUpTo(Duration aMost);

  std::mt19937_64 m_random;
  Faults m_faults;
  TimePoint m_now{ std::chrono::hours{ 1 } };
  std::vector<Node> m_nodes;
  std::multimap<TimePoint, Event> m_events;
  std::set<std::pair<std::size_t, std::size_t>> m_cuts;
  std::map<Index, std::string> m_history;
  std::map<Index, std::string> m_acknowledged;
  std::map<Term, consensus::ReplicaId> m_leaders;
  std::string m_violation;
  std::uint64_t m_lastIncarnation = 0;
};

} // namespace bamboostile::test
