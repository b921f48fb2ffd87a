#pragma once

#include "bamboostile/fleet/state.h"
#include "bamboostile/placement/durations.h"
#include "bamboostile/placement/maintenance.h"
#include "bamboostile/placement/order_record.h"
#include "bamboostile/placement/workers.h"

namespace bamboostile::placement {

struct MoveOrder
{
  InstanceId m_instance;
  ServiceId m_to;
  /** Tells it from an earlier order for the same instance. */
  std::uint64_t m_number = 0;
};

/** What a pool has and needs, for operators. */
struct PoolNeed
{
  ServiceId m_service;
  /** Reporting or on the way. */
  std::size_t m_have = 0;
  std::size_t m_want = 0;
  /** CPU of what waits and runs, times how long it takes, in core-seconds. */
  std::int64_t m_workCoreSeconds = 0;
  /** Of the workers that report, and what runs hold of it. */
  std::int64_t m_cores = 0;
  std::int64_t m_usedCores = 0;
};

struct CapacityPlan
{
  std::vector<PoolNeed> m_needs;
  /** Get no new work: they are about to leave their pool, or are to be emptied
   * for another. */
  std::set<WorkerLife> m_cordoned;
  std::vector<MoveOrder> m_orders;
};

struct CapacityOptions
{
  Mechanisms m_mechanisms;
  /** What waits should be done in this time: about what the slack of a job
   * leaves after a move. */
  Millis m_workOffIn{ 1500 };
  /** What is late already matters less, but its callers still take the result
   * for some time; left to the shrinking rest of a pool, it would come after
   * that. */
  Millis m_workOffLateIn{ 4000 };
  /** An instance that nothing needs goes to standby after this long idle. Most
   * that are idle for longer than a step of a job takes stay idle until the
   * next peak, which costs more than two moves. */
  Duration m_idleToStandby = Millis{ 700 };
  /** One that another pool needs goes at once, unless it has only just become
   * idle: between two steps of a job a worker is idle for a moment. */
  Duration m_idleToOther = Millis{ 200 };
  /** A moved instance that has not reported by then is not counted on. */
  Duration m_arrivesWithin = Millis{ 5000 };
  std::size_t m_leastPerPool = 3;
  /** What the platform takes from all of us, maintenance included. */
  double m_ordersPerSecond = 64;
  /** Between the last order of an earlier leader for an instance and the first
   * of this one, so that two leaders never take turns with it. */
  Duration m_betweenLeaders = Millis{ 3000 };
  /** A new leader moves nothing before it has heard the workers that report
   * often: it would take what it has not heard for missing. */
  Duration m_hearWorkers = Millis{ 250 };
  /** How long the platform takes to move an instance. */
  Duration m_moveTakes = Millis{ 1500 };
};

/**
 * @brief Moves instances to the pools whose queues need them: out of standby
 * and from pools where they idle, and into standby when nothing needs them.
 *
 * An instance is moved only while it runs nothing, so no work is lost.
 */
class CapacityPlanner
{
public:
  explicit CapacityPlanner(CapacityOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /** aReserved: instances that maintenance is about to take. */
  CapacityPlan Next(const fleet::State& aState,
                    const WorkerTable& aWorkers,
                    const std::set<WorkerLife>& aReserved,
                    const Durations& aDurations,
                    const OrderRecord& aRecord,
                    TimePoint aNow,
                    WallTime aWall);

  void AllowOrders(bool aAllowed) { m_isAllowed = aAllowed; }
  /** Orders of maintenance, which go first, count against the same rate. */
  void OnOtherOrders(std::size_t aCount);
  /** aStandby: the pool whose instances are off. */
  void OnListed(const std::vector<ListedInstance>& aInstances,
                const ServiceId& aStandby,
                TimePoint aNow);
  /** The life that has ended with the order, where that is certain. */
  std::optional<WorkerLife> OnAnswer(const MoveOrder& aOrder,
                                     InstanceAnswer aAnswer,
                                     TimePoint aNow);

private:
  struct Move
  {
    ServiceId m_to;
    TimePoint m_since;
    std::optional<WorkerLife> m_aimedAt;
    std::uint64_t m_number = 0;
    bool m_answered = false;
    bool m_taken = false;
  };

  struct Emptiable
  {
    const Worker* m_worker = nullptr;
    std::int64_t m_used = 0;
  };

  struct Pool
  {
    std::size_t m_have = 0;
    std::size_t m_want = 0;
    std::size_t m_reporting = 0;
    /** Of one worker, in thousandths. */
    std::size_t m_cores = 0;
    std::int64_t m_work = 0;
    std::int64_t m_cpu = 0;
    std::int64_t m_used = 0;
    /** Workers whose runs all end by themselves. */
    std::vector<Emptiable> m_emptiable;

    bool IsShort() const { return m_have < m_want; }
    bool HasSpare() const { return m_have > m_want; }
    /** Of the workers that report; one whose room has shrunk counts little. */
    std::optional<std::size_t> MeanCores() const
    {
      return m_cpu == 0
               ? std::nullopt
               : std::optional{ static_cast<std::size_t>(m_cpu) / m_reporting };
    }
  };

  using Pools = std::map<ServiceId, Pool>;

  Pools FindPools(const fleet::State& aState,
                  const WorkerTable& aWorkers,
                  const std::set<WorkerLife>& aReserved,
                  const Durations& aDurations,
                  TimePoint aNow,
                  WallTime aWall) const;
  void AddDemand(const fleet::State& aState,
                 const Durations& aDurations,
                 WallTime aWall,
                 Pools& aPools) const;
  void EarnOrders(TimePoint aNow);
  bool MayOrder() const;
  void FollowIdle(const fleet::State& aState,
                  const WorkerTable& aWorkers,
                  TimePoint aNow);
  void Settle(const WorkerTable& aWorkers,
              const ServiceId* aStandby,
              TimePoint aNow);
  void CountUnheard(const fleet::State& aState,
                    const WorkerTable& aWorkers,
                    TimePoint aNow,
                    Pools& aPools) const;
  bool IsFreeToOrder(const InstanceId& aInstance,
                     const OrderRecord& aRecord,
                     TimePoint aUpSince,
                     TimePoint aNow) const;
  /** aEmptied: may go as soon as they are idle. */
  std::vector<const Worker*> FindSpare(const WorkerTable& aWorkers,
                                       const std::set<WorkerLife>& aReserved,
                                       const OrderRecord& aRecord,
                                       Duration aIdleFor,
                                       const std::set<WorkerLife>& aEmptied,
                                       TimePoint aNow) const;
  bool Rests(const InstanceId& aInstance, TimePoint aNow) const;
  std::optional<InstanceId> FindStandby(const WorkerTable& aWorkers,
                                        const OrderRecord& aRecord,
                                        TimePoint aNow) const;
  void FillPools(const WorkerTable& aWorkers,
                 const std::set<WorkerLife>& aReserved,
                 const OrderRecord& aRecord,
                 TimePoint aNow,
                 Pools& aPools,
                 CapacityPlan& aPlan);
  void EmptySurplus(const std::set<WorkerLife>& aReserved,
                    TimePoint aNow,
                    Pools& aPools);
  void ReleaseIdle(const ServiceId& aStandby,
                   const WorkerTable& aWorkers,
                   const std::set<WorkerLife>& aReserved,
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
  TimePoint m_leaderSince;
  /** Those of the standby pool, and since when this leader knows them up. */
  std::map<InstanceId, TimePoint> m_standby;
  std::map<InstanceId, Move> m_moves;
  std::map<WorkerLife, TimePoint> m_idleSince;
  std::map<InstanceId, TimePoint> m_notBefore;
  /** Get no new work until they are idle and moved, or no longer wanted. */
  std::set<WorkerLife> m_emptying;
  /** Orders that may be given now, as the rate allows. */
  double m_mayOrder = 0;
  bool m_isAllowed = true;
  std::uint64_t m_lastNumber = 0;
  std::set<std::uint64_t> m_unanswered;
  TimePoint m_earnedAt;
};

} // namespace bamboostile::placement
