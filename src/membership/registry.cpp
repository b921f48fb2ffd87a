#include "bamboostile/membership/registry.h"

#include "bamboostile/units/hash.h"

#include <algorithm>

namespace bamboostile::membership {

std::uint64_t
RenewalKey(const InstanceId& aInstance, Incarnation aIncarnation)
{
  return StableHash{}.Add(aInstance.Get()).Add(aIncarnation.Get()).Get();
}

void
Registry::Reset(TimePoint aNow)
{
  m_leaderSince = aNow;
  m_entries.clear();
  m_lastReportAt.clear();
  // Entries whose lease ended under the previous leader are not known here.
  m_orphansUntil = aNow + LeaseWithDrift() + m_options.m_orphanGrace;
}

Duration
Registry::LeaseWithDrift() const
{
  return m_options.m_entryLease * (100 + m_options.m_driftPercent) / 100;
}

void
Registry::OnSync(const SyncReport& aReport, TimePoint aNow)
{
  for (const std::uint64_t key : aReport.m_renewals) {
    m_lastReportAt[key] = aNow;
  }
  // The entry stops as planned: it has no work left and accepts none.
  if (aReport.m_leaving) {
    m_entries.erase(aReport.m_entry);
    return;
  }
  // A restarted entry counts as a new one. Its previous incarnation keeps its
  // lease until it expires, since the process may only be suspended.
  EntryStatus& status = m_entries[aReport.m_entry];
  status.m_entry = aReport.m_entry;
  status.m_zone = aReport.m_zone;
  status.m_httpAddress = aReport.m_httpAddress;
  status.m_revision = std::max(status.m_revision, aReport.m_revision);
  status.m_leaseEnd = aNow + LeaseWithDrift();
  status.m_inFlight.clear();
  for (const InFlight& inFlight : aReport.m_inFlight) {
    status.m_inFlight[inFlight.m_instance] = inFlight.m_count;
  }
  for (auto it = m_entries.begin(); it != m_entries.end();) {
    const TimePoint end = it->second.m_leaseEnd;
    if (end + m_options.m_orphanGrace < aNow) {
      it = m_entries.erase(it);
      continue;
    }
    if (end < aNow) {
      m_orphansUntil = std::max(m_orphansUntil, end + m_options.m_orphanGrace);
    }
    ++it;
  }
}

void
Registry::OnAnnouncement(const InstanceId& aInstance,
                         Incarnation aIncarnation,
                         TimePoint aNow)
{
  m_lastReportAt[RenewalKey(aInstance, aIncarnation)] = aNow;
}

bool
Registry::InForce(Index aRevision, TimePoint aNow) const
{
  if (aNow < m_leaderSince + LeaseWithDrift()) {
    return false;
  }
  return std::all_of(
    m_entries.begin(), m_entries.end(), [&](const auto& aEntry) {
      const EntryStatus& entry = aEntry.second;
      return entry.m_leaseEnd < aNow || entry.m_revision >= aRevision;
    });
}

bool
Registry::IsDrained(const fleet::Instance& aInstance, TimePoint aNow) const
{
  if (!InForce(aInstance.m_modified, aNow) || aNow < m_orphansUntil) {
    return false;
  }
  const InstanceId& id = aInstance.m_announced.m_id;
  return std::all_of(
    m_entries.begin(), m_entries.end(), [&](const auto& aEntry) {
      const EntryStatus& entry = aEntry.second;
      // An entry whose lease has ended sends no new work, but work it sent
      // before may still run: its last report counts until the grace period is
      // over.
      const bool isGraceOver =
        entry.m_leaseEnd + m_options.m_orphanGrace < aNow;
      const auto found = entry.m_inFlight.find(id);
      const bool isIdle = found == entry.m_inFlight.end() || found->second == 0;
      const bool isLeaseOver = entry.m_leaseEnd < aNow;
      return isGraceOver || (isIdle && !isLeaseOver);
    });
}

bool
Registry::IsAlive(const outcome::EntryId& aEntry, TimePoint aNow) const
{
  const auto found = m_entries.find(aEntry);
  if (found == m_entries.end()) {
    return aNow < m_leaderSince + LeaseWithDrift();
  }
  return found->second.m_leaseEnd >= aNow;
}

std::vector<EntryStatus>
Registry::LiveEntries(TimePoint aNow) const
{
  std::vector<EntryStatus> live;
  for (const auto& [id, entry] : m_entries) {
    if (entry.m_leaseEnd >= aNow) {
      live.push_back(entry);
    }
  }
  return live;
}

std::size_t
Registry::CountLiveEntries(TimePoint aNow) const
{
  return std::count_if(
    m_entries.begin(), m_entries.end(), [&](const auto& aEntry) {
      return aEntry.second.m_leaseEnd >= aNow;
    });
}

TimePoint
Registry::LastReportAt(const fleet::Instance& aInstance) const
{
  const auto found = m_lastReportAt.find(RenewalKey(
    aInstance.m_announced.m_id, aInstance.m_announced.m_incarnation));
  return found == m_lastReportAt.end() ? m_leaderSince
                                       : std::max(m_leaderSince, found->second);
}

std::vector<InstanceId>
Registry::FindLost(const std::map<InstanceId, fleet::Instance>& aInstances,
                   TimePoint aNow) const
{
  std::vector<InstanceId> lost;
  std::size_t monitored = 0;
  for (const auto& [id, instance] : aInstances) {
    if (instance.m_lost) {
      continue;
    }
    ++monitored;
    if (LastReportAt(instance) + m_options.m_upstreamTtl < aNow) {
      lost.push_back(id);
    }
  }
  // Upstreams of all zones rarely fail together, and a network partition
  // between this replica and them looks the same. Marking all of them as lost
  // would turn the partition into an outage, and entries detect failed
  // upstreams by themselves.
  constexpr std::size_t kMinUpstreams = 4;
  const bool isOverThreshold =
    lost.size() * 100 >
    monitored * static_cast<std::size_t>(m_options.m_selfPartitionedPercent);
  if (monitored >= kMinUpstreams && isOverThreshold) {
    return {};
  }
  return lost;
}

} // namespace bamboostile::membership
