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
  /** The platform's list shows its instance without it, or does not show it at
   * all. */
  kListedEnd,
};

const char* Describe(LossCause aCause) noexcept;

/** Why a loss is no evidence against any task of its worker. */
enum class LossExemption
{
  /** It is not exempt. */
  kNone,
  /** The worker had announced that it drains. */
  kDraining,
  /** An order may have ended the worker. */
  kOrdered,
};

const char* Describe(LossExemption aExemption) noexcept;

/** Signs that a worker may be lost already, or may be lost soon, the weakest
 * first. */
enum class LossRisk : std::uint8_t
{
  kNone,
  /** A run began so recently that it may still crash the worker. */
  kRecentRun,
  /** It runs a task that is suspected of the loss of other workers. */
  kSuspect,
  /** No report has shown one of its starts yet. */
  kUnconfirmedStart,
  /** Its next report is overdue. */
  kReportOverdue,
};

const char* Describe(LossRisk aRisk) noexcept;

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
  /** Number of those runs whose start this leader never sent. */
  std::size_t m_unsentStarts = 0;
  /** Number of other workers whose last report was at about the same time,
   * without an isolated run on them. */
  std::size_t m_concurrentLosses = 0;
  /** The loss is distinct from those of other workers. */
  bool m_isDistinct = false;
  /** A large part of the service's workers was lost with it. */
  bool m_isMassLoss = false;
  /** A large part was lost within LeaseOptions::m_quietPeriod of it. */
  bool m_isAmongMassLosses = false;
  /** Whether another worker with an isolated run of the same job stopped
   * reporting at about the same time. */
  bool m_isLostWithSameJob = false;
  LossExemption m_exemption = LossExemption::kNone;
};

/** Workers whose last reports are at most this far apart may have been lost
 * for the same cause. Even an idle worker reports more often than this. */
constexpr Duration kConcurrentLossWindow = Millis{ 1000 };

/** Numbers of workers that were lost, or may be. */
struct LossCount
{
  std::size_t m_inFleet = 0;
  std::size_t m_inService = 0;

  /** With one more worker of the service. */
  LossCount WithOneMore() const { return { m_inFleet + 1, m_inService + 1 }; }
};

/**
 * @brief Whether other losses are too few to explain the loss of one more
 * worker of a service: there are none, or all of them together are a small part
 * of the service's workers.
 *
 * A cause that strikes a small part of the workers seldom strikes the one on
 * which a certain task runs. In a large fleet some worker is always being lost.
 */
bool IsLossDistinct(const LossCount& aOthers, std::size_t aWorkersOfService);

/** How many workers of a service are being lost. */
enum class LossActivity : std::uint8_t
{
  /** Hardly any: the next loss would be distinct. */
  kQuiet,
  kSome,
  /** A large part of them. */
  kMass,
};

/** Whether losses are so many that any worker of the service may be lost next,
 * as in a series of crashes of its racks. */
bool IsMassLoss(const LossCount& aLosses, std::size_t aWorkersOfService);

/** The same for workers, of any service, that were lost before they reported to
 * a new leader. */
bool IsUnseenMassLoss(std::size_t aWorkers);

/**
 * @brief Moments of recent losses, such as when the lost workers last reported.
 *
 * Concurrent losses may have one cause: a rack, a zone or a link.
 */
class RecentLosses
{
public:
  void Add(TimePoint aMoment, const ServiceId& aService);
  /** Adds the loss of a worker with an isolated run; the other counts leave it
   * out. */
  void AddIsolated(TimePoint aMoment, const jobs::TaskRef& aTask);
  /** Counts the losses within aWindow of a moment. */
  LossCount CountAround(TimePoint aMoment,
                        Duration aWindow,
                        const ServiceId& aService) const;
  /** Moments of the losses with an isolated run, and its task. */
  const std::vector<std::pair<TimePoint, jobs::TaskRef>>& Isolated() const
  {
    return m_isolated;
  }
  LossCount CountAfter(TimePoint aMoment, const ServiceId& aService) const;

private:
  struct Loss
  {
    TimePoint m_at;
    ServiceId m_service;
  };

  LossCount CountBetween(TimePoint aFrom,
                         TimePoint aTo,
                         const ServiceId& aService) const;

  std::vector<Loss> m_losses;
  std::vector<std::pair<TimePoint, jobs::TaskRef>> m_isolated;
};

} // namespace bamboostile::placement
