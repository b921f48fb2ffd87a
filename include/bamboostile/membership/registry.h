#pragma once

#include "bamboostile/fleet/state.h"
#include "bamboostile/outcome/types.h"
#include "bamboostile/units/time.h"

#include <map>
#include <unordered_map>

namespace bamboostile::membership {

struct Options
{
  /** Counted by an entry from when it asked, so it ends there first. */
  Duration m_entryLease = Millis{ 1500 };
  /** Added here for clocks that run at different speeds, in percent. */
  int m_driftPercent = 10;
  /** Silence after which an upstream is taken as lost. */
  Duration m_upstreamTtl = Millis{ 6000 };
  /** If more than this share falls silent together, the fault is taken to be
   * on our side, and nobody is dropped. */
  int m_suspectSelfPercent = 60;
  /** How long work of an entry that vanished may still be running. */
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

/** One number for one life of an instance: eight bytes carry a renewal. */
std::uint64_t RenewalKey(const InstanceId& aInstance, Incarnation aIncarnation);

/**
 * @brief What only the leader knows, and only in memory: which entries may
 * still serve, what they have in force, and which upstreams were heard from.
 *
 * A new leader starts with nothing and must assume, for one lease, that
 * entries it has not heard from still serve what the old leader gave them.
 */
class Registry
{
public:
  explicit Registry(Options aOptions)
    : m_options(aOptions)
  {
  }

  /** Forgets everything; called when this replica becomes leader. */
  void Reset(TimePoint aNow);

  void OnSync(const SyncReport& aReport, TimePoint aNow);
  /** An announcement arrived; counts as a sign of life. */
  void OnAlive(const InstanceId& aInstance,
               Incarnation aIncarnation,
               TimePoint aNow);

  /** Every entry that may still serve has aRevision in force. */
  bool InForce(Index aRevision, TimePoint aNow) const;

  /** No entry sends new work to the instance, and none is under way. */
  bool IsEmpty(const fleet::Instance& aInstance, TimePoint aNow) const;

  bool IsAlive(const outcome::EntryId& aEntry, TimePoint aNow) const;
  std::vector<EntryStatus> LiveEntries(TimePoint aNow) const;
  std::size_t LiveCount(TimePoint aNow) const;

  /** Upstreams whose announcements stopped, unless so many fell silent at
   * once that the silence is ours. */
  std::vector<InstanceId> FindLost(
    const std::map<InstanceId, fleet::Instance>& aInstances,
    TimePoint aNow) const;

  Duration EntryLease() const { return m_options.m_entryLease; }

private:
  Duration LeaseWithDrift() const;
  TimePoint LastHeard(const fleet::Instance& aInstance) const;

  Options m_options;
  TimePoint m_since;
  std::map<outcome::EntryId, EntryStatus> m_entries;
  std::unordered_map<std::uint64_t, TimePoint> m_heard;
  /** Until then, work of vanished entries may be running somewhere. */
  TimePoint m_orphansUntil;
};

} // namespace bamboostile::membership
