#pragma once

#include "bamboostile/fleet/state.h"
#include "bamboostile/outcome/types.h"
#include "bamboostile/units/time.h"

#include <map>
#include <unordered_map>

namespace bamboostile::membership {

struct Options
{
  /** Lease of an entry. The entry counts it from when it sent the request, so
   * it ends there first. */
  Duration m_entryLease = Millis{ 1500 };
  /** Percentage added to leases here, since clocks run at different speeds. */
  int m_driftPercent = 10;
  /** Time without a report after which an upstream counts as lost. */
  Duration m_upstreamTtl = Millis{ 6000 };
  /** If more than this percentage of upstreams is unresponsive at once, the
   * leader assumes that it is cut off itself, and none is marked as lost. */
  int m_selfPartitionedPercent = 60;
  /** How long work of an entry whose lease has ended may still be running. */
  Duration m_orphanGrace = Millis{ 5000 };
};

struct InFlight
{
  InstanceId m_instance;
  std::uint32_t m_count = 0;
};

struct SyncReport
{
  outcome::EntryId m_entry;
  ZoneId m_zone;
  std::string m_httpAddress;
  Index m_revision;
  std::vector<std::uint64_t> m_renewals;
  std::vector<InFlight> m_inFlight;
  bool m_leaving = false;
};

struct EntryStatus
{
  outcome::EntryId m_entry;
  ZoneId m_zone;
  std::string m_httpAddress;
  Index m_revision;
  TimePoint m_leaseEnd;
  std::map<InstanceId, std::uint32_t> m_inFlight;
};

/** Identifies one incarnation of an instance in eight bytes of a renewal. */
std::uint64_t RenewalKey(const InstanceId& aInstance, Incarnation aIncarnation);

/**
 * @brief Leader-only state, kept in memory: which entries may still serve,
 * which revision each has in force, and when upstreams last reported.
 *
 * A new leader starts with an empty registry. For one lease it must assume that
 * entries which have not reported to it still serve the state that the previous
 * leader gave them.
 */
class Registry
{
public:
  explicit Registry(Options aOptions)
    : m_options(aOptions)
  {
  }

  /** Clears the registry; called when this replica becomes leader. */
  void Reset(TimePoint aNow);

  void OnSync(const SyncReport& aReport, TimePoint aNow);
  /** Counts an announcement as a report of the instance. */
  void OnAnnouncement(const InstanceId& aInstance,
                      Incarnation aIncarnation,
                      TimePoint aNow);

  /** Whether every entry that may still serve has aRevision in force. */
  bool InForce(Index aRevision, TimePoint aNow) const;

  /** Whether no entry sends new work to the instance and none is in flight. */
  bool IsDrained(const fleet::Instance& aInstance, TimePoint aNow) const;

  bool IsAlive(const outcome::EntryId& aEntry, TimePoint aNow) const;
  std::vector<EntryStatus> LiveEntries(TimePoint aNow) const;
  std::size_t CountLiveEntries(TimePoint aNow) const;

  /** Returns upstreams that have stopped reporting, or none if so many are
   * unresponsive at once that this replica is probably cut off itself. */
  std::vector<InstanceId> FindLost(
    const std::map<InstanceId, fleet::Instance>& aInstances,
    TimePoint aNow) const;

  Duration EntryLease() const { return m_options.m_entryLease; }

private:
  Duration LeaseWithDrift() const;
  TimePoint LastReportAt(const fleet::Instance& aInstance) const;

  Options m_options;
  TimePoint m_leaderSince;
  std::map<outcome::EntryId, EntryStatus> m_entries;
  std::unordered_map<std::uint64_t, TimePoint> m_lastReportAt;
  /** Time until which work of entries whose lease has ended may still be
   * running. */
  TimePoint m_orphansUntil;
};

} // namespace bamboostile::membership
