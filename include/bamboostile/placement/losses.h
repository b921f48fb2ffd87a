#pragma once

#include "bamboostile/jobs/model.h"

#include <vector>

namespace bamboostile::placement {

/** The event that shows that a worker is lost. */
enum class LossCause
{
  /** A later incarnation on its instance reports. */
  kLaterIncarnation,
  /** Its lease ended without a report. */
  kLeaseEnded,
  /** An earlier leader placed runs on it, and it has never reported to this
   * leader. */
  kNeverReported,
};

const char* Describe(LossCause aCause) noexcept;

/** A worker that was lost with runs on it, for a reason that the leader does
 * not know. */
struct LostWorker
{
  WorkerIncarnation m_worker;
  /** Empty if the worker never reported. */
  InstanceId m_instance;
  LossCause m_cause = LossCause::kLeaseEnded;
  /** Time since its last report. */
  Duration m_unresponsiveFor{};
  std::size_t m_runs = 0;
  /** Number of those runs whose start was sent and is unconfirmed. */
  std::size_t m_unconfirmedStarts = 0;
  /** Number of other workers whose last report was at about the same time,
   * without an isolated run on them. */
  std::size_t m_concurrentLosses = 0;
};

/** Workers whose last reports are at most this far apart may have been lost
 * for the same cause. Even an idle worker reports more often than this. */
constexpr Duration kConcurrentLossWindow = Millis{ 1000 };

/**
 * @brief Last report times of lost workers that were already removed from the
 * worker table.
 *
 * Concurrent losses may have one cause: a rack, a zone or a link.
 */
class RecentLosses
{
public:
  void Add(TimePoint aLastReportAt);
  /** Number of losses within kConcurrentLossWindow of a moment. */
  std::size_t CountAround(TimePoint aMoment) const;

private:
  std::vector<TimePoint> m_lastReportsAt;
};

} // namespace bamboostile::placement
