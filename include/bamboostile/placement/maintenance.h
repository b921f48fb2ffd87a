#pragma once

#include "bamboostile/fleet/state.h"
#include "bamboostile/placement/workers.h"

namespace bamboostile::placement {

/** An instance for which the platform is to be asked. */
struct MaintenanceOrder
{
  std::uint64_t m_wave = 0;
  InstanceId m_instance;
};

/** How the platform answered. */
enum class InstanceAnswer
{
  kTaken,
  /** Not up at the moment, or leaving. */
  kBusy,
  /** The instance or the wave is not known, or not meant for it. */
  kNotMeant,
  /** A later leader has given an order. */
  kOvertaken,
  /** Given up before its first byte went out; it will not be obeyed. */
  kNotSent,
  /** No answer, or one that tells nothing; the order may have been obeyed. */
  kUnclear,
};

const char* Describe(InstanceAnswer aAnswer) noexcept;

/** Why the step of an instance changes. */
enum class AdvanceCause
{
  kTurn,
  kTaken,
  /** Busy, to the only order that can have reached the platform. */
  kRefused,
  kNotMeant,
  /** It has reported since it went down. */
  kReported,
  /** Twice the usual time has passed. */
  kWaitedOut,
};

const char* Describe(AdvanceCause aCause) noexcept;

struct MaintenanceAdvance
{
  fleet::AdvanceMaintenance m_change;
  AdvanceCause m_cause = AdvanceCause::kTurn;
};

/** Moves, and as many orders of maintenance, that wait for their answer. Each
 * costs the leader time, and what waits takes effect on what has changed since;
 * where the platform is well this never binds. */
inline constexpr std::size_t kMostOrdersUnderWay = 32;

struct MaintenancePlan
{
  /** Get no new work: their turn is near. */
  std::set<WorkerLife> m_cordoned;
  std::vector<MaintenanceAdvance> m_advances;
  /** To be sent, each until it is answered. */
  std::vector<MaintenanceOrder> m_orders;
};

/** What follows from an answer. */
struct MaintenanceResult
{
  std::optional<MaintenanceAdvance> m_advance;
  /** The life that has ended with the order, where that is certain. */
  std::optional<WorkerLife> m_ended;
};

struct MaintenanceOptions
{
  /** A leader gives its first order only after the calls that an earlier one
   * had under way have ended. */
  Duration m_quietAfterElection = Millis{ 3000 };
  /** Tasks that end by themselves are waited for this long: work thrown away is
   * dearer than a wave that is a little late. */
  Duration m_patience = Millis{ 4000 };
  Duration m_retryAfter = Millis{ 1500 };
  /** A report so long after the order was taken comes from an instance that is
   * up: either it was done before, or it is back. */
  Duration m_lateReports = Millis{ 600 };
  /** How long the platform keeps an instance down. */
  Duration m_takes = Millis{ 2000 };
  /** How many instances are emptied ahead of their turn, beside `cap`. */
  std::size_t m_ahead = 1;
};

/**
 * @brief Takes the instances of a wave through their maintenance, no more than
 * its cap at once: emptied first, then ordered, then back.
 */
class MaintenancePlanner
{
public:
  explicit MaintenancePlanner(MaintenanceOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  MaintenancePlan Next(const fleet::State& aState,
                       const WorkerTable& aWorkers,
                       TimePoint aNow);

  MaintenanceResult OnAnswer(const MaintenanceOrder& aOrder,
                             InstanceAnswer aAnswer,
                             TimePoint aNow);

private:
  void PlanWave(const fleet::MaintenanceWave& aWave,
                const fleet::State& aState,
                const WorkerTable& aWorkers,
                TimePoint aNow,
                MaintenancePlan& aPlan);
  void PlanOpenOrder(const MaintenanceOrder& aOrder,
                     const fleet::State& aState,
                     const WorkerTable& aWorkers,
                     TimePoint aNow,
                     MaintenancePlan& aPlan);
  void TakeTurn(const fleet::MaintenanceWave& aWave,
                const InstanceId& aInstance,
                const WorkerTable& aWorkers,
                MaintenancePlan& aPlan);
  bool Rests(const InstanceId& aInstance, TimePoint aNow) const;
  bool IsReady(const InstanceId& aInstance,
               const fleet::State& aState,
               const WorkerTable& aWorkers,
               TimePoint aNow) const;
  /** Nothing where it may still be down. */
  std::optional<AdvanceCause> IsBack(const InstanceId& aInstance,
                                     const WorkerTable& aWorkers,
                                     TimePoint aNow);

  MaintenanceOptions m_options;
  std::map<InstanceId, TimePoint> m_cordonedSince;
  std::map<InstanceId, TimePoint> m_notBefore;
  std::map<InstanceId, TimePoint> m_downSince;
  /** The life that an order ends. Only of orders that this leader gave first
   * and that had no unclear answer: a repeated one may be answered "already
   * done", and the instance then runs its next life. */
  std::map<InstanceId, WorkerLife> m_aimedAt;
  /** Instances that this leader was the first to order. */
  std::set<InstanceId> m_ownOrders;
  /** An order may have been obeyed unheard, or an earlier leader's still may
   * be. */
  std::set<InstanceId> m_unclear;
};

} // namespace bamboostile::placement
