#pragma once

#include "bamboostile/fleet/state.h"
#include "bamboostile/placement/listed_instance.h"
#include "bamboostile/placement/wave_caps.h"
#include "bamboostile/placement/workers.h"

#include <variant>

namespace bamboostile::placement {

/** An instance for which the platform is to be asked. */
struct MaintenanceOrder
{
  std::uint64_t m_wave = 0;
  InstanceId m_instance;

  auto operator<=>(const MaintenanceOrder&) const = default;
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
  /** The platform lists it in another state; no order is on its way. */
  kListedElsewhere,
  /** It has sent a report since it went down. */
  kReported,
  /** The platform lists it as up since it went down. */
  kListedUp,
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
  /** A wave is not done: the platform's list may tell what became of orders. */
  bool m_isOpen = false;
  /** An instance is likely back, and the list would prove it. */
  bool m_wantsList = false;
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
   * had under way have ended; no order is obeyed so long after it was sent. */
  Duration m_quietAfterElection = Millis{ 3000 };
  /** Tasks that end by themselves are waited for this long: work thrown away is
   * dearer than a wave that is a little late. */
  Duration m_patience = Millis{ 4000 };
  Duration m_retryAfter = Millis{ 1500 };
  /** How long the platform usually keeps an instance down. */
  Duration m_takes = Millis{ 2000 };
  /** The list is asked for an instance that may be back until so long after it
   * went down; later it is looked at only as often as for anything else. */
  Duration m_listFor = Millis{ 8000 };
  /** How many instances are emptied ahead of their turn, beside `cap`. */
  std::size_t m_ahead = 1;
};

/**
 * @brief Takes the instances of a wave through their maintenance, no more than
 * its cap at once: emptied first, then ordered, then back.
 *
 * An order that may have been obeyed counts until the platform or a later
 * report shows otherwise; time alone shows nothing.
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
  /** Waits for its turn. */
  struct Waiting
  {
    std::optional<TimePoint> m_cordonedSince;
    TimePoint m_notBefore;
    /** The life that an order would end, once its turn has come. */
    std::optional<WorkerLife> m_aimedAt;
    bool m_hasTurn = false;
  };

  /** The platform was or will be asked. */
  struct Ordered
  {
    /** A sending other than the one under way may have reached the platform,
     * and answers may be about that one. */
    bool m_isRepeated = false;
    /** The life that the order ends; unset where that is not certain. */
    std::optional<WorkerLife> m_aimedAt;
    TimePoint m_notBefore;
    /** No sending whose outcome is unclear is younger. */
    TimePoint m_unclearAt;
    /** Listed in a state that no sending so far can have brought about. */
    bool m_isElsewhere = false;
  };

  /** The platform has taken the order. */
  struct Down
  {
    /** It had gone down by then. */
    TimePoint m_since;
    bool m_isListedUp = false;
  };

  /** What is remembered of an instance in a wave. It ends with the step: what
   * outlives that would count in the next one. */
  using Step = std::variant<Waiting, Ordered, Down>;

  static Step FollowStep(const Step& aBefore,
                         fleet::MaintenanceStep aNext,
                         TimePoint aNow);
  void FollowSteps(const fleet::State& aState, TimePoint aNow);
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
  void PlanTurns(const fleet::MaintenanceWave& aWave,
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
