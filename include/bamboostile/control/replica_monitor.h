#pragma once

#include "bamboostile/consensus/replica.h"
#include "bamboostile/telemetry/metrics.h"

namespace bamboostile::control {

/**
 * @brief Logs and counts elections, membership changes, snapshots between
 * replicas, and replicas that are behind.
 *
 * The number of lines per second is bounded.
 */
class ReplicaMonitor
{
public:
  void OnNotice(const consensus::Notice& aNotice, TimePoint aNow);
  /** Leader only: logs replicas that cannot take part in a quorum yet. */
  void LogFollowersBehind(const consensus::Replica& aReplica, TimePoint aNow);
  void Export(const consensus::Replica& aReplica,
              telemetry::Metrics& aMetrics) const;

private:
  void Handle(const consensus::SnapshotStarted& aStarted, TimePoint aNow);
  void Handle(const consensus::SnapshotAcknowledged& aAcknowledged,
              TimePoint aNow);
  void Handle(const consensus::SnapshotInstalled& aInstalled, TimePoint aNow);
  void Handle(const consensus::MembershipProposed& aProposed, TimePoint aNow);
  void Handle(const consensus::ElectionStarted& aStarted, TimePoint aNow);
  void Handle(const consensus::ElectionLost& aLost, TimePoint aNow);

  double m_snapshotsStarted = 0;
  double m_snapshotsAcknowledged = 0;
  double m_snapshotsInstalled = 0;
  double m_elections = 0;
  double m_electionsLost = 0;
  TimePoint m_nextPreVoteLine;
  TimePoint m_nextPreVoteLostLine;
  TimePoint m_nextBehindLine;
};

} // namespace bamboostile::control
