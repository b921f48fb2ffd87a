#pragma once

#include "bamboostile/fleet/state.h"
#include "bamboostile/inflow/meter.h"
#include "bamboostile/placement/durations.h"
#include "bamboostile/placement/maintenance.h"
#include "bamboostile/placement/open_job_index.h"
#include "bamboostile/placement/order_record.h"
#include "bamboostile/placement/unplaced_tasks.h"
#include "bamboostile/placement/workers.h"

#include <algorithm>

namespace bamboostile::placement {

struct Demand;

struct MoveOrder
{
  InstanceId m_instance;
  ServiceId m_to;
  /** Distinguishes it from earlier orders for the same instance. */
  std::uint64_t m_number = 0;
};

/** What keeps a pool short of instances at the end of a tick. */
enum class PoolWait
{
  /** The pool is not short. */
  kNothing,
  /** No orders are sent: the leader is new or sheds load. */
  kLeader,
  kOrderRate,
  kUnansweredOrders,
  /** Standby is empty and no other pool has an idle instance to spare. */
  kIdleInstances,
};

const char* Describe(PoolWait aWait) noexcept;

/** Actual and desired capacity of a pool, shown to operators. */
struct PoolCapacity
{
  ServiceId m_service;
  /** Workers that report, and instances being moved into the pool. */
  std::size_t m_actual = 0;
  std::size_t m_desired = 0;
  /** CPU times expected duration of all waiting and running tasks, in
   * core-seconds. */
  std::int64_t m_workCoreSeconds = 0;
  /** Cores of the workers that report, and those that runs occupy. */
  std::int64_t m_cores = 0;
  std::int64_t m_usedCores = 0;
  /** CPU of the instances being moved into the pool, in thousandths of a core,
   * and the mean time until they report. */
  std::int64_t m_arrivingCpu = 0;
  Duration m_arrivesAfter{};
  /** Part of m_workCoreSeconds that belongs to late jobs; abandoned jobs count
   * in neither. */
  std::int64_t m_lateCoreSeconds = 0;
  /** Part of m_actual that is being moved into the pool. */
  std::size_t m_arriving = 0;
  /** In thousandths of a core. */
  inflow::Forecast m_inflow;
  /** Long-running tasks that wait and need other workers than the pool's. */
  std::uint32_t m_unplaced = 0;
  PoolWait m_waitsFor = PoolWait::kNothing;
};

struct CapacityPlan
{
  std::vector<PoolCapacity> m_pools;
  /** Instances in standby that are not being moved, as far as is known. */
  std::size_t m_standby = 0;
  std::size_t m_unanswered = 0;
  std::size_t m_unansweredLimit = 0;
  /** Workers that get no new work: they are about to leave their pool, or are
   * being drained for another one. */
  std::set<WorkerIncarnation> m_cordoned;
  /** Those of them that are being drained; no order has been decided. */
  std::set<WorkerIncarnation> m_drained;
  std::vector<MoveOrder> m_orders;
};

struct CapacityOptions
{
  Mechanisms m_mechanisms;
  /** Time in which queued work should be done: about the slack that a job has
   * left after a move. */
  Millis m_backlogTarget{ 1500 };
  /** The same for late work. It is less urgent, but its callers accept the
   * result for some time yet; a shrinking pool would deliver it after that. */
  Millis m_lateBacklogTarget{ 4000 };
  /** Idle time after which an instance that no pool needs goes to standby. Most
   * instances that are idle for longer than a step of a job takes stay idle
   * until the next peak, which costs more than two moves. */
  Duration m_idleBeforeStandby = Millis{ 700 };
  /** Idle time after which an instance moves to another pool that needs it.
   * Between two steps of a job a worker is idle for a moment. */
  Duration m_idleBeforeMove = Millis{ 200 };
  /** Time after which a moved instance that has not reported no longer counts
   * in its new pool. */
  Duration m_arrivalTimeout = Millis{ 5000 };
  std::size_t m_minPerPool = 3;
  /** The platform's rate limit on all orders, including maintenance. */
  double m_ordersPerSecond = 64;
  /** Minimum time between an earlier leader's last order for an instance and
   * the first of this leader, so that orders of two leaders never alternate. */
  Duration m_handoverDelay = Millis{ 3000 };
  /** A new leader moves no instance for this long, until the workers that
   * report frequently have done so: it would treat the others as missing. */
  Duration m_reportWait = Millis{ 250 };
  /** Time that the platform takes to move an instance. */
  Duration m_moveDuration = Millis{ 1500 };
};

/**
 * @brief Moves instances from standby and from pools where they are idle to
 * pools that need them, and unneeded ones to standby.
 *
 * An instance is moved only while it runs nothing, so no work is lost.
 */
class CapacityPlanner
{
public:
  explicit CapacityPlanner(CapacityOptions aOptions = {});

  /** aReserved: workers whose instances maintenance is about to take down. */
  CapacityPlan Next(const fleet::State& aState,
                    const WorkerTable& aWorkers,
                    const std::set<WorkerIncarnation>& aReserved,
                    const DurationEstimator& aDurations,
                    const OrderRecord& aRecord,
                    TimePoint aNow,
                    WallTime aWall);

  /** Takes the long-running tasks that a placement pass could not place. */
  void OnPlanned(const UnplacedBySteps& aUnplaced, TimePoint aNow)
  {
    m_unplaced.OnPlanned(aUnplaced, aNow);
  }
  void AllowOrders(bool aAllowed) { m_isAllowed = aAllowed; }
  /** Counts maintenance orders, which have priority, against the same rate. */
  void OnMaintenanceOrders(std::size_t aCount);
  /** aStandby: the pool whose instances are off. */
  void OnListed(const std::vector<ListedInstance>& aInstances,
                const ServiceId& aStandby,
                TimePoint aNow);
  /** Returns the incarnation that the order has ended, if that is certain. */
  std::optional<WorkerIncarnation> OnAnswer(const MoveOrder& aOrder,
                                            InstanceAnswer aAnswer,
                                            TimePoint aNow);

private:
  struct Move
  {
    ServiceId m_to;
    TimePoint m_since;
    std::optional<WorkerIncarnation> m_targetIncarnation;
    std::uint64_t m_number = 0;
    bool m_isAnswered = false;
    bool m_isAccepted = false;
  };

  enum class Suitability
  {
    /** It can take a task that waits, or none waits. */
    kSuits,
    kUnknown,
    kDoesNotSuit,
  };

  struct Drainable
  {
    const Worker* m_worker = nullptr;
    std::int64_t m_usedCpu = 0;
  };

  struct Pool
  {
    std::size_t m_actual = 0;
    std::size_t m_desired = 0;
    /** Workers without which long-running tasks that have had runs, or that no
     * worker of the pool can take, would lack capacity. */
    std::size_t m_minimum = 0;
    /** Workers that stay when another pool is below its minimum. */
    std::size_t m_floor = 0;
    std::size_t m_reporting = 0;
    /** Part of m_actual that placement passes have had time to use. */
    std::size_t m_established = 0;
    /** Part of m_reporting that has long-running tasks. */
    std::size_t m_hosts = 0;
    std::uint32_t m_unplaced = 0;
    /** The tasks that m_unplaced counts. */
    std::vector<TaskGroup> m_needWorkers;
    /** What m_desired would be without tasks that wait for another worker. */
    std::size_t m_desiredBySums = 0;
    /** Cores of one worker, in thousandths. */
    std::size_t m_cores = 0;
    jobs::Resources m_worker;
    std::int64_t m_work = 0;
    std::int64_t m_lateWork = 0;
    std::size_t m_arriving = 0;
    /** CPU that reporting and arriving workers can spend until an instance that
     * is ordered now arrives. */
    inflow::Supply m_supply;
    inflow::Forecast m_inflow;
    /** Capacity of the workers that report. */
    std::int64_t m_cpu = 0;
    std::int64_t m_memoryMb = 0;
    /** The most accelerators of one worker; most workers have none. */
    std::uint32_t m_maxAccelerators = 0;
    std::int64_t m_usedCpu = 0;
    /** Sum of the times until they report. */
    Duration m_arrivalTimes{};
    /** Workers whose runs all end by themselves. */
    std::vector<Drainable> m_drainable;

    bool IsShort() const { return m_actual < m_desired; }
    bool HasSurplus() const { return m_actual > m_desired; }
    std::int64_t ArrivingCpu() const
    {
      return static_cast<std::int64_t>(m_arriving * m_cores);
    }
    Duration MeanArrival() const
    {
      return m_arrivalTimes / std::max<std::int64_t>(1, m_arriving);
    }
    /** Mean cores of the workers that report, in thousandths; one whose
     * reported capacity has shrunk counts little. */
    std::optional<std::size_t> MeanCores() const
    {
      return m_cpu == 0
               ? std::nullopt
               : std::optional{ static_cast<std::size_t>(m_cpu) / m_reporting };
    }
    /** Mean capacity of the workers that report, of which there are some, with
     * the most accelerators of one. */
    jobs::Resources MeanWorker() const
    {
      const auto mean = [this](std::int64_t aSum) {
        return static_cast<std::uint32_t>(
          aSum / static_cast<std::int64_t>(m_reporting));
      };
      return { mean(m_cpu), mean(m_memoryMb), m_maxAccelerators };
    }
    bool IsBelowMinimum() const { return m_actual < m_minimum; }
    bool IsAboveFloor() const { return m_actual > m_floor; }
  };

  using Pools = std::map<ServiceId, Pool>;
  using Demands = std::map<ServiceId, Demand>;

  Pools ComputePools(const fleet::State& aState,
                     const WorkerTable& aWorkers,
                     const std::set<WorkerIncarnation>& aReserved,
                     const DurationEstimator& aDurations,
                     TimePoint aNow,
                     WallTime aWall);
  Demands ComputeDemands(const fleet::State& aState,
                         const DurationEstimator& aDurations,
                         WallTime aWall);
  void AddDemand(const fleet::State& aState,
                 const DurationEstimator& aDurations,
                 TimePoint aNow,
                 WallTime aWall,
                 Pools& aPools);
  /** Raises the size of pools with tasks that their workers cannot take. */
  void AddUnplaced(const fleet::State& aState,
                   const Demands& aDemands,
                   TimePoint aNow,
                   Pools& aPools) const;
  static std::size_t SizeForUnplaced(const PlacementShortage& aShortage,
                                     const Demand& aDemand,
                                     const Pool& aPool);
  void AddForecast(const Demands& aDemands, TimePoint aNow, Pools& aPools);
  /** CPU for work that is expected to arrive, in thousandths of a core. */
  std::int64_t CpuAhead(const Demand& aDemand, const Pool& aPool) const;
  PoolWait WhyShort() const;
  void RefillOrderTokens(TimePoint aNow);
  bool HasOrderBudget() const;
  void TrackIdleWorkers(const fleet::State& aState,
                        const WorkerTable& aWorkers,
                        TimePoint aNow);
  void CompleteMoves(const WorkerTable& aWorkers,
                     const ServiceId* aStandby,
                     TimePoint aNow);
  void CountUnreportedWorkers(const fleet::State& aState,
                              const WorkerTable& aWorkers,
                              TimePoint aNow,
                              Pools& aPools) const;
  bool CanOrder(const InstanceId& aInstance,
                const OrderRecord& aRecord,
                TimePoint aUpSince,
                TimePoint aNow) const;
  /** aDraining: workers that may be moved as soon as they are idle. */
  std::vector<const Worker*> FindMovable(
    const WorkerTable& aWorkers,
    const std::set<WorkerIncarnation>& aReserved,
    const OrderRecord& aRecord,
    Duration aIdleFor,
    const std::set<WorkerIncarnation>& aDraining,
    TimePoint aNow) const;
  /** An order that is not known to have failed moves it to another pool. */
  bool IsLeaving(const Worker& aWorker) const;
  bool IsBackingOff(const InstanceId& aInstance, TimePoint aNow) const;
  /** Prefers an instance that suits the pool. */
  std::optional<InstanceId> FindStandby(const Pool& aPool,
                                        const WorkerTable& aWorkers,
                                        const OrderRecord& aRecord,
                                        TimePoint aNow) const;
  /** How well a worker suits the tasks of the pool that wait for another one.
   * aReport: its last one, null if there is none. */
  static Suitability AssessSuitability(const Pool& aPool,
                                       const WorkerReport* aReport);
  /** Returns null if this leader has had no report from the instance. */
  const WorkerReport* FindLastReport(const InstanceId& aInstance) const;
  void FillPools(const WorkerTable& aWorkers,
                 const std::set<WorkerIncarnation>& aReserved,
                 const OrderRecord& aRecord,
                 TimePoint aNow,
                 Pools& aPools,
                 CapacityPlan& aPlan);
  void DrainSurplus(const std::set<WorkerIncarnation>& aReserved,
                    TimePoint aNow,
                    Pools& aPools);
  /** Workers that pools below their minimum lack and that neither standby nor
   * draining workers will supply; 0 while no orders can be sent. */
  std::size_t CountBelowMinimum(const Pools& aPools) const;
  std::size_t CountStandby() const;
  /** Returns how many workers of the pool, at most aCount, are drained. */
  std::size_t DrainWorkers(std::size_t aCount,
                           const std::set<WorkerIncarnation>& aReserved,
                           TimePoint aNow,
                           Pool& aPool);
  void MoveIdleToStandby(const ServiceId& aStandby,
                         const WorkerTable& aWorkers,
                         const std::set<WorkerIncarnation>& aReserved,
                         const OrderRecord& aRecord,
                         TimePoint aNow,
                         Pools& aPools,
                         CapacityPlan& aPlan);
  void Order(const InstanceId& aInstance,
             const Worker* aWorker,
             const ServiceId& aTo,
             TimePoint aNow,
             CapacityPlan& aPlan);

  CapacityOptions m_options;
  UnplacedTaskRecord m_unplaced;
  OpenJobIndex m_openJobs;
  /** Rank of the last job that has been counted as arrived; unset before the
   * first tick, when it is unknown how long ago the open jobs arrived. */
  std::optional<std::uint64_t> m_lastArrived;
  std::map<ServiceId, inflow::Meter> m_meters;
  TimePoint m_leaderSince;
  /** Instances in standby, and when this leader first saw each listed as up. */
  std::map<InstanceId, TimePoint> m_standby;
  std::map<InstanceId, Move> m_moves;
  /** The last reports of instances from before they were moved. */
  std::map<InstanceId, WorkerReport> m_reportsBeforeMove;
  std::map<WorkerIncarnation, TimePoint> m_idleSince;
  std::map<InstanceId, TimePoint> m_retryNotBefore;
  /** Workers that get no new work until they are idle and moved, or until no
   * other pool needs them. */
  std::set<WorkerIncarnation> m_drainingWorkers;
  /** Token bucket: orders that the rate allows now. */
  double m_orderTokens = 0;
  bool m_isAllowed = true;
  std::uint64_t m_lastNumber = 0;
  std::set<std::uint64_t> m_unanswered;
  TimePoint m_refilledAt;
};

} // namespace bamboostile::placement
