#include "bamboostile/control/replica_monitor.h"

#include "bamboostile/telemetry/log.h"

namespace bamboostile::control {

namespace {

using telemetry::Level;
using telemetry::LogLine;

/** Minimum interval between two lines about events that can occur many times a
 * second. */
constexpr Duration kRepeatInterval = Millis{ 1000 };

bool
IsDue(TimePoint& aNext, TimePoint aNow)
{
  if (aNow < aNext) {
    return false;
  }
  aNext = aNow + kRepeatInterval;
  return true;
}

bool
IsBehind(const consensus::FollowerStatus& aFollower)
{
  return !aFollower.m_member.m_voter || aFollower.m_needsSnapshot ||
         aFollower.m_regressed;
}

} // namespace

void
ReplicaMonitor::OnNotice(const consensus::Notice& aNotice, TimePoint aNow)
{
  std::visit([&](const auto& aEvent) { Handle(aEvent, aNow); }, aNotice);
}

void
ReplicaMonitor::Handle(const consensus::SnapshotStarted& aStarted, TimePoint)
{
  ++m_snapshotsStarted;
  LogLine(Level::kInfo, "sending snapshot")
    .With("replica", aStarted.m_to.m_instance.Get())
    .With("index", aStarted.m_index.Get())
    .With("bytes", aStarted.m_bytes)
    .Write();
}

void
ReplicaMonitor::Handle(const consensus::SnapshotAcknowledged& aAcknowledged,
                       TimePoint)
{
  ++m_snapshotsAcknowledged;
  const auto took = std::chrono::duration_cast<Millis>(aAcknowledged.m_took);
  LogLine(Level::kInfo, "snapshot acknowledged")
    .With("replica", aAcknowledged.m_by.m_instance.Get())
    .With("index", aAcknowledged.m_index.Get())
    .With("bytes", aAcknowledged.m_bytes)
    .With("tookMs", took.count())
    .Write();
}

void
ReplicaMonitor::Handle(const consensus::SnapshotInstalled& aInstalled,
                       TimePoint)
{
  ++m_snapshotsInstalled;
  LogLine(Level::kInfo, "snapshot installed")
    .With("from", aInstalled.m_from.m_instance.Get())
    .With("index", aInstalled.m_index.Get())
    .With("bytes", aInstalled.m_bytes)
    .Write();
}

void
ReplicaMonitor::Handle(const consensus::MembershipProposed& aProposed,
                       TimePoint)
{
  std::vector<std::string> voters;
  std::vector<std::string> learners;
  for (const consensus::Member& member : aProposed.m_membership.m_members) {
    (member.m_voter ? voters : learners)
      .push_back(member.m_id.m_instance.Get());
  }
  LogLine(Level::kInfo, "membership change proposed")
    .With("index", aProposed.m_index.Get())
    .With("voters", voters)
    .With("learners", learners)
    .Write();
}

void
ReplicaMonitor::Handle(const consensus::ElectionStarted& aStarted,
                       TimePoint aNow)
{
  m_elections += aStarted.m_preVote ? 0 : 1;
  if (aStarted.m_preVote && !IsDue(m_nextPreVoteLine, aNow)) {
    return;
  }
  LogLine(Level::kInfo,
          aStarted.m_preVote ? "pre-vote started" : "election started")
    .With("term", aStarted.m_term.Get())
    .With("lastIndex", aStarted.m_lastIndex.Get())
    .Write();
}

void
ReplicaMonitor::Handle(const consensus::ElectionLost& aLost, TimePoint aNow)
{
  m_electionsLost += aLost.m_preVote ? 0 : 1;
  if (aLost.m_preVote && !IsDue(m_nextPreVoteLostLine, aNow)) {
    return;
  }
  LogLine(Level::kInfo, aLost.m_preVote ? "pre-vote lost" : "election lost")
    .With("term", aLost.m_term.Get())
    .With("votes", aLost.m_votes)
    .With("voters", aLost.m_voters)
    .Write();
}

void
ReplicaMonitor::LogFollowersBehind(const consensus::Replica& aReplica,
                                   TimePoint aNow)
{
  if (!IsDue(m_nextBehindLine, aNow)) {
    return;
  }
  for (const auto& follower : aReplica.Followers()) {
    if (!IsBehind(follower)) {
      continue;
    }
    LogLine(Level::kInfo, "replica is behind")
      .With("replica", follower.m_member.m_id.m_instance.Get())
      .With("voter", follower.m_member.m_voter)
      .With("match", follower.m_match.Get())
      .With("commit", aReplica.CommitIndex().Get())
      .With("last", aReplica.LastIndex().Get())
      .With("needsSnapshot", follower.m_needsSnapshot)
      .With("regressed", follower.m_regressed)
      .Write();
  }
}

void
ReplicaMonitor::Export(const consensus::Replica& aReplica,
                       telemetry::Metrics& aMetrics) const
{
  aMetrics.SetTotal("control_snapshots_started_total", m_snapshotsStarted);
  aMetrics.SetTotal("control_snapshots_acknowledged_total",
                    m_snapshotsAcknowledged);
  aMetrics.SetTotal("control_snapshots_installed_total", m_snapshotsInstalled);
  aMetrics.SetTotal("control_elections_total", m_elections);
  aMetrics.SetTotal("control_elections_lost_total", m_electionsLost);
  aMetrics.Set("control_voters",
               static_cast<double>(aReplica.CurrentMembership().VoterCount()));
  aMetrics.RemoveGauges("control_replica_behind_entries");
  for (const auto& follower : aReplica.Followers()) {
    const std::string& id = follower.m_member.m_id.m_instance.Get();
    aMetrics.Set(
      "control_replica_behind_entries{replica=\"" + id + "\"}",
      static_cast<double>(aReplica.LastIndex().Get() - follower.m_match.Get()));
  }
}

} // namespace bamboostile::control
