#pragma once

#include "bamboostile/fleet/state.h"
#include "bamboostile/placement/instance_answer.h"
#include "bamboostile/placement/listed_instance.h"
#include "bamboostile/placement/wave_caps.h"
#include "bamboostile/placement/workers.h"

#include <variant>

namespace bamboostile::placement {

/** A request to the platform to take an instance down for maintenance. */
struct MaintenanceOrder
{
  std::uint64_t m_wave = 0;
  InstanceId m_instance;

  auto operator<=>(const MaintenanceOrder&) const = default;
};

/** Why the step of an instance changes. */
enum class AdvanceCause
{
  /** The instance is ready to go down, and the cap allows it. */
  kScheduled,
  kTaken,
  /** The only order that can have reached the platform was answered "busy". */
  kRefused,
  kNotMeant,
  /** The platform lists it in another state; no order is in flight. */
  kListedInOtherState,
  /** Its worker has sent a report since it went down. */
  kReported,
  /** The platform has listed it as up since it went down. */
  kListedUp,
};

const char* Describe(AdvanceCause aCause) noexcept;

struct MaintenanceAdvance
{
  fleet::AdvanceMaintenance m_change;
  AdvanceCause m_cause = AdvanceCause::kScheduled;
};

/** Limit on unanswered orders; moves and maintenance orders each have their
 * own. Each order costs the leader time, and a delayed one acts on a state
 * that has changed since. A healthy platform never reaches the limit. */
inline constexpr std::size_t kMaxUnansweredOrders = 32;

struct MaintenancePlan
{
  /** Workers that get no new work because their maintenance is near. */
  std::set<WorkerIncarnation> m_cordoned;
  std::vector<MaintenanceAdvance> m_advances;
  /** Orders to send; each is repeated until it is answered. */
  std::vector<MaintenanceOrder> m_orders;
  /** A wave is not done; the platform's list may show the outcome of orders. */
  bool m_hasOpenWave = false;
  /** An instance is probably back, which the platform's list would confirm. */
  bool m_needsInstanceList = false;
};

/** The consequences of an answer. */
struct MaintenanceResult
{
  std::optional<MaintenanceAdvance> m_advance;
  /** The incarnation that the order has ended; unset if that is uncertain. */
  std::optional<WorkerIncarnation> m_endedIncarnation;
};

struct MaintenanceOptions
{
  /** The longest time from sending an order until the platform executes it. A
   * new leader waits this long before its first order, so that calls of an
   * earlier leader have ended. */
  Duration m_maxOrderDelay = Millis{ 3000 };
  /** How long a cordoned instance may run on to finish tasks that end by
   * themselves: discarded work costs more than a slightly late wave. */
  Duration m_drainTimeout = Millis{ 4000 };
  Duration m_retryAfter = Millis{ 1500 };
  /** The usual time that the platform keeps an instance down. */
  Duration m_expectedDowntime = Millis{ 2000 };
  /** Time after an instance went down in which the platform's list is polled
   * for its return; later the list is read only at its regular interval. */
  Duration m_listPollWindow = Millis{ 8000 };
  /** Instances that are drained in advance, in addition to the wave's cap. */
  std::size_t m_drainAhead = 1;
};

/**
 * @brief Takes the instances of a wave through maintenance, no more than its
 * cap at once: each is drained, ordered down and awaited back.
 *
 * An instance whose order may have been executed counts as down until the
 * platform or a later report shows that it is not. Elapsed time alone is no
 * evidence.
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

  void OnListed(const InstanceList& aList);

private:
  /** The instance has not been ordered down. */
  struct Waiting
  {
    std::optional<TimePoint> m_cordonedSince;
    TimePoint m_notBefore;
    /** The incarnation that an order would end, once it is scheduled. */
    std::optional<WorkerIncarnation> m_targetIncarnation;
    bool m_isScheduled = false;
  };

  /** An order was or will be sent to the platform. */
  struct Ordered
  {
    /** An earlier transmission than the one in flight may have reached the
     * platform, and an answer may refer to that one. */
    bool m_isRepeated = false;
    /** The incarnation that the order ends; unset if that is uncertain. */
    std::optional<WorkerIncarnation> m_targetIncarnation;
    TimePoint m_notBefore;
    /** No transmission with an unclear outcome is later than this. */
    TimePoint m_lastUnclearAt;
    /** Listed in a state that no transmission so far can have caused. */
    bool m_isInOtherState = false;
  };

  /** The platform has accepted the order. */
  struct Down
  {
    /** A time by which the instance had gone down. */
    TimePoint m_since;
    bool m_isListedUp = false;
  };

  /** Volatile data of an instance in a wave. It is discarded with each step, so
   * that it cannot affect the next one. */
  using Step = std::variant<Waiting, Ordered, Down>;

  static Step NextStep(const Step& aBefore,
                       fleet::MaintenanceStep aNext,
                       TimePoint aNow);
  void SyncSteps(const fleet::State& aState, TimePoint aNow);
  void PlanWave(const fleet::MaintenanceWave& aWave,
                const fleet::State& aState,
                const WorkerTable& aWorkers,
                TimePoint aNow,
                WaveCaps& aCaps,
                MaintenancePlan& aPlan);
  void PlanOrdered(const MaintenanceOrder& aOrder,
                   const Ordered& aStep,
                   const fleet::State& aState,
                   const WorkerTable& aWorkers,
                   TimePoint aNow,
                   MaintenancePlan& aPlan);
  void PlanDown(const MaintenanceOrder& aOrder,
                const Down& aStep,
                const WorkerTable& aWorkers,
                TimePoint aNow,
                MaintenancePlan& aPlan);
  void ScheduleWaiting(const fleet::MaintenanceWave& aWave,
                       const fleet::State& aState,
                       const WorkerTable& aWorkers,
                       TimePoint aNow,
                       WaveCaps& aCaps,
                       MaintenancePlan& aPlan);
  bool IsReady(const InstanceId& aInstance,
               const Waiting& aStep,
               const fleet::State& aState,
               const WorkerTable& aWorkers,
               TimePoint aNow) const;
  MaintenanceResult OnAnswer(const MaintenanceOrder& aOrder,
                             Ordered& aStep,
                             InstanceAnswer aAnswer,
                             TimePoint aNow) const;
  std::optional<AdvanceCause> OnBusy(Ordered& aStep, TimePoint aNow) const;

  MaintenanceOptions m_options;
  std::map<MaintenanceOrder, Step> m_steps;
};

} // namespace bamboostile::placement
