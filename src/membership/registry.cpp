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
  m_since = aNow;
  m_entries.clear();
  m_heard.clear();
  // Entries that vanished under the old leader are not known here.
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
    m_heard[key] = aNow;
  }
  // A planned stop: the entry has no work left and will take none.
  if (aReport.m_leaving) {
    m_entries.erase(aReport.m_entry);
    return;
  }
  // An entry that restarted is a new one; its former life holds its lease
  // until it runs out, since it may only be frozen.
  EntryStatus& status = m_entries[aReport.m_entry];
  status.m_entry = aReport.m_entry;
  status.m_zone = aReport.m_zone;
  status.m_httpAddress = aReport.m_httpAddress;
  status.m_revision = std::max(status.m_revision, aReport.m_revision);
  status.m_leaseEnd = aNow + LeaseWithDrift();
  status.m_inFlight.clear();
  for (const InFlight& one : aReport.m_inFlight) {
    status.m_inFlight[one.m_instance] = one.m_count;
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
Registry::OnAlive(const InstanceId& aInstance,
                  Incarnation aIncarnation,
                  TimePoint aNow)
{
  m_heard[RenewalKey(aInstance, aIncarnation)] = aNow;
}

bool
Registry::InForce(Index aRevision, TimePoint aNow) const
{
  if (aNow < m_since + LeaseWithDrift()) {
    return false;
  }
  return std::all_of(m_entries.begin(), m_entries.end(), [&](const auto& aOne) {
    const EntryStatus& entry = aOne.second;
    return entry.m_leaseEnd < aNow || entry.m_revision >= aRevision;
  });
}

bool
Registry::IsEmpty(const fleet::Instance& aInstance, TimePoint aNow) const
{
  if (!InForce(aInstance.m_modified, aNow) || aNow < m_orphansUntil) {
    return false;
  }
  const InstanceId& id = aInstance.m_announced.m_id;
  return std::all_of(m_entries.begin(), m_entries.end(), [&](const auto& aOne) {
    const EntryStatus& entry = aOne.second;
    // An entry whose lease ran out sends nothing new, but what it sent may
    // still run: its last word counts until the grace is over.
    const bool vanished = entry.m_leaseEnd + m_options.m_orphanGrace < aNow;
    const auto found = entry.m_inFlight.find(id);
    const bool idle = found == entry.m_inFlight.end() || found->second == 0;
    const bool silent = entry.m_leaseEnd < aNow;
    return vanished || (idle && !silent);
  });
}

bool
Registry::IsAlive(const outcome::EntryId& aEntry, TimePoint aNow) const
{
  const auto found = m_entries.find(aEntry);
  if (found == m_entries.end()) {
    return aNow < m_since + LeaseWithDrift();
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
Registry::LiveCount(TimePoint aNow) const
{
  return std::count_if(
    m_entries.begin(), m_entries.end(), [&](const auto& aOne) {
      return aOne.second.m_leaseEnd >= aNow;
    });
}

TimePoint
Registry::LastHeard(const fleet::Instance& aInstance) const
{
  const auto found = m_heard.find(RenewalKey(
    aInstance.m_announced.m_id, aInstance.m_announced.m_incarnation));
  return found == m_heard.end() ? m_since : std::max(m_since, found->second);
}

std::vector<InstanceId>
Registry::FindLost(const std::map<InstanceId, fleet::Instance>& aInstances,
                   TimePoint aNow) const
{
  std::vector<InstanceId> lost;
  std::size_t counted = 0;
  for (const auto& [id, instance] : aInstances) {
    if (instance.m_lost) {
      continue;
    }
    ++counted;
    if (LastHeard(instance) + m_options.m_upstreamTtl < aNow) {
      lost.push_back(id);
    }
  }
  // Upstreams of all zones rarely die together; a cut between us and them
  // looks the same. Dropping them all would turn the cut into an outage, and
  // entries find dead ones by themselves.
  constexpr std::size_t kTooFewToJudge = 4;
  const bool many =
    lost.size() * 100 >
    counted * static_cast<std::size_t>(m_options.m_suspectSelfPercent);
  if (counted >= kTooFewToJudge && many) {
    return {};
  }
  return lost;
}

} // namespace bamboostile::membership
