#include "bamboostile/placement/capacity.h"

#include "demand.h"

#include <algorithm>
#include <utility>

namespace bamboostile::placement {

namespace {

/** Thousandths of a core times ms, in a core-second. */
constexpr std::int64_t kMilliPerCoreSecond = 1000 * 1000;
constexpr std::int64_t kMilliPerCore = 1000;
/** Share of the platform's rate limit that is used. The burst below is no
 * larger than the unused share, so that no second exceeds the limit. */
constexpr double kRateShare = 0.85;
/** Size of the token bucket, in seconds of the used rate. */
constexpr double kBurstSeconds = 0.15;
constexpr Duration kRetryAfter = Millis{ 2000 };
/** A pool gets an additional worker for each pending isolated run, up to this
 * number or one for every `kWorkersPerIsolatedRun` desired workers, whichever
 * is more. */
constexpr std::size_t kMinIsolatedRunWorkers = 4;
constexpr std::size_t kWorkersPerIsolatedRun = 2;
/** Time in which the placement passes use a worker that has begun to report. */
constexpr Duration kEstablishedAfter = Millis{ 1000 };
/** A pool gets workers for tasks that its own cannot take up to this multiple
 * of what a packing of all long-running tasks needs, and some more. Otherwise a
 * task that no instance of the fleet can take would get all others. */
constexpr std::size_t kPackingMultiple = 2;
constexpr std::size_t kWorkersBesidePacking = 4;
/** Time for which tasks that wait for another worker come before the peaks of
 * other pools. If none has helped by then, there may be none that does. */
constexpr Duration kMaxPrecedence = Millis{ 20'000 };
/** Time in which an instance is moved and its worker used. A task that waits
 * for longer was not helped by it: workers differ in size, and one more is
 * ordered each time. */
constexpr Duration kTrialTime = Millis{ 3000 };

} // namespace

const char*
Describe(PoolWait aWait) noexcept
{
  switch (aWait) {
    case PoolWait::kNothing:
      return "nothing";
    case PoolWait::kLeader:
      return "leader sends no orders";
    case PoolWait::kOrderRate:
      return "rate of orders";
    case PoolWait::kUnansweredOrders:
      return "answers to orders";
    case PoolWait::kIdleInstances:
      return "idle instances";
  }
  return "unknown";
}

CapacityPlanner::CapacityPlanner(CapacityOptions aOptions)
  : m_options(aOptions)
{
}

// The demands by service. What depends on a name is looked up once a tick for
// each name, not for each job.
CapacityPlanner::Demands
CapacityPlanner::ComputeDemands(const fleet::State& aState,
                                const DurationEstimator& aDurations,
                                WallTime aWall)
{
  const std::vector<fleet::QueueRoute>& routes = aState.Routes().m_routes;
  const jobs::JobTable& book = aState.Jobs();
  const auto& entries = m_openJobs.Update(book.OpenJobsInOrder());
  Demands demands;
  std::vector<Demand*> byRoute;
  byRoute.reserve(routes.size());
  for (const fleet::QueueRoute& route : routes) {
    byRoute.push_back(&demands[route.m_service]);
  }
  std::vector<std::optional<std::size_t>> routeOf;
  for (const QueueId& queue : m_openJobs.Queues()) {
    routeOf.push_back(aState.RouteLookup().Find(queue));
  }
  std::vector<std::optional<Millis>> learned;
  for (const ImageId& image : m_openJobs.Images()) {
    learned.push_back(aDurations.Learned(image));
  }
  std::vector<Millis> estimates;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const jobs::Job& job = *book.OpenJobsInOrder()[i];
    const auto route = routeOf[entries[i].m_queue];
    if (job.m_state != jobs::JobState::kActive || !route) {
      continue;
    }
    estimates.clear();
    for (std::size_t s = 0; s < job.m_spec.m_steps.size(); ++s) {
      estimates.push_back(learned[entries[i].m_images[s]].value_or(
        job.m_spec.m_steps[s].m_estimate));
    }
    byRoute[*route]->Add(job, routes[*route], estimates, aWall);
    if (m_lastArrived && job.m_order > *m_lastArrived) {
      byRoute[*route]->AddArrival(job, estimates);
    }
  }
  m_lastArrived = std::max(m_lastArrived.value_or(0),
                           entries.empty() ? 0 : entries.back().m_order);
  const JobId* previous = nullptr;
  for (const jobs::TaskRef& task : book.TasksWithLosses()) {
    if (previous != nullptr && task.m_job == *previous) {
      continue;
    }
    previous = &task.m_job;
    const jobs::Job& job = *book.Find(task.m_job);
    const auto found = aState.RouteLookup().Find(job.m_queue);
    if (job.m_state == jobs::JobState::kActive && found) {
      byRoute[*found]->AddIsolatedRuns(job);
    }
  }
  return demands;
}

// Every pool is measured, whether or not the forecast is used: operators
// compare its error before they switch it on.
void
CapacityPlanner::AddForecast(const Demands& aDemands,
                             TimePoint aNow,
                             Pools& aPools)
{
  std::erase_if(m_meters, [&](const auto& aEntry) {
    return !aPools.contains(aEntry.first);
  });
  for (auto& [service, pool] : aPools) {
    inflow::MeterOptions options;
    options.m_horizon = m_options.m_moveDuration;
    const auto [meter, isNew] = m_meters.try_emplace(service, options);
    meter->second.Add(static_cast<double>(aDemands.at(service).m_arrivedWork),
                      aNow);
    pool.m_inflow = meter->second.Get();
  }
}

std::int64_t
CapacityPlanner::CpuAhead(const Demand& aDemand, const Pool& aPool) const
{
  if (!m_options.m_mechanisms.Has(Mechanism::kInflowForecast)) {
    return 0;
  }
  inflow::Supply supply = aPool.m_supply;
  supply.Add(static_cast<double>(std::max<std::int64_t>(
               aPool.m_cpu - aDemand.LongRunningCpu(aPool.m_worker), 0)),
             m_options.m_moveDuration);
  return static_cast<std::int64_t>(inflow::CpuAhead(aPool.m_inflow,
                                                    supply,
                                                    m_options.m_moveDuration,
                                                    m_options.m_backlogTarget));
}

void
CapacityPlanner::AddDemand(const fleet::State& aState,
                           const DurationEstimator& aDurations,
                           TimePoint aNow,
                           WallTime aWall,
                           Pools& aPools)
{
  const Demands demands = ComputeDemands(aState, aDurations, aWall);
  AddForecast(demands, aNow, aPools);
  for (auto& [service, pool] : aPools) {
    const Demand& demand = demands.at(service);
    pool.m_minimum = Demand::MinWorkers(demand.m_startedSteps, pool.m_worker);
    const std::size_t longRunning =
      Demand::MinWorkers(demand.m_longRunningSteps, pool.m_worker);
    pool.m_lateWork = demand.m_late.m_work;
    pool.m_work = demand.m_onTime.m_work + demand.m_late.m_work;
    const std::int64_t cpu =
      demand.m_onTime.CpuToFinishIn(m_options.m_backlogTarget) +
      demand.m_late.CpuToFinishIn(m_options.m_lateBacklogTarget) +
      demand.LongRunningCpu(pool.m_worker) + CpuAhead(demand, pool);
    const auto cores =
      static_cast<std::int64_t>(std::max<std::size_t>(pool.m_cores, 1));
    const auto byWork = static_cast<std::size_t>((cpu + cores - 1) / cores);
    // One more worker than the long-running tasks need, so that a task whose
    // worker is lost finds free capacity at once.
    pool.m_floor = std::max(longRunning + 1, m_options.m_minPerPool);
    pool.m_desired = std::max(byWork, pool.m_floor);
    pool.m_desired +=
      std::min(demand.m_isolatedRuns,
               std::max(kMinIsolatedRunWorkers,
                        pool.m_desired / kWorkersPerIsolatedRun));
  }
  AddUnplaced(aState, demands, aNow, aPools);
}

// Workers on the way to the pool, and those that no pass has used yet, count as
// part of what the tasks need. A worker with long-running tasks cannot leave,
// so a pool may have more of them than the packing needs; each may be full.
void
CapacityPlanner::AddUnplaced(const fleet::State& aState,
                             const Demands& aDemands,
                             TimePoint aNow,
                             Pools& aPools) const
{
  for (const auto& [service, shortage] : m_unplaced.Assess(aState, aNow)) {
    const auto found = aPools.find(service);
    if (found == aPools.end()) {
      continue;
    }
    Pool& pool = found->second;
    pool.m_desiredBySums = pool.m_desired;
    pool.m_needWorkers = shortage.m_needWorkers;
    for (const TaskGroup& tasks : pool.m_needWorkers) {
      pool.m_unplaced += tasks.m_count;
    }
    std::size_t size = shortage.m_holdsWorkers ? pool.m_actual : 0;
    if (!pool.m_needWorkers.empty()) {
      size =
        std::max(size, SizeForUnplaced(shortage, aDemands.at(service), pool));
    }
    if (shortage.m_waited < kMaxPrecedence) {
      pool.m_minimum = std::max(pool.m_minimum, size);
    }
    pool.m_floor = std::max(pool.m_floor, size);
    pool.m_desired = std::max(pool.m_desired, size);
  }
}

// Up to its limit, a pool keeps what it has: a worker that has just arrived may
// be about to take a task. At the limit, it gives up idle workers that cannot
// take any, so that others can be tried.
std::size_t
CapacityPlanner::SizeForUnplaced(const PlacementShortage& aShortage,
                                 const Demand& aDemand,
                                 const Pool& aPool)
{
  const std::size_t missing =
    Demand::MinWorkers(aShortage.m_needWorkers, aPool.m_worker);
  const auto trials = static_cast<std::size_t>(aShortage.m_waited / kTrialTime);
  const std::size_t packed =
    Demand::MinWorkers(aDemand.m_longRunningSteps, aPool.m_worker);
  const std::size_t limit =
    kWorkersBesidePacking +
    std::max(kPackingMultiple * packed, aPool.m_hosts + missing);
  const std::size_t size = aPool.m_established + missing + trials;
  if (size <= limit) {
    return std::max(size, std::min(aPool.m_actual, limit));
  }
  const auto useless = std::count_if(
    aPool.m_drainable.begin(),
    aPool.m_drainable.end(),
    [&](const Drainable& aCandidate) {
      return aCandidate.m_usedCpu == 0 &&
             AssessSuitability(aPool, &aCandidate.m_worker->m_lastReport) ==
               Suitability::kDoesNotSuit;
    });
  return limit - std::min(limit, static_cast<std::size_t>(useless));
}

// An instance under order counts in the pool that it moves to.
bool
CapacityPlanner::IsLeaving(const Worker& aWorker) const
{
  const auto move = m_moves.find(aWorker.m_lastReport.m_instance);
  return move != m_moves.end() &&
         move->second.m_to != aWorker.m_lastReport.m_service;
}

CapacityPlanner::Pools
CapacityPlanner::ComputePools(const fleet::State& aState,
                              const WorkerTable& aWorkers,
                              const std::set<WorkerIncarnation>& aReserved,
                              const DurationEstimator& aDurations,
                              TimePoint aNow,
                              WallTime aWall)
{
  Pools pools;
  jobs::Resources anyWorker;
  for (const fleet::QueueRoute& route : aState.Routes().m_routes) {
    pools[route.m_service];
  }
  for (const auto& [id, worker] : aWorkers.Workers()) {
    const auto pool = pools.find(worker.m_lastReport.m_service);
    // Until the lease of a worker that has crashed ends, the next one on its
    // instance reports beside it. If both counted, the pool would seem to have
    // a surplus, and the next one, which is idle, would be moved away.
    if (worker.m_isLost || worker.m_lastReport.m_draining ||
        aWorkers.HasConfirmedSuccessor(worker) || IsLeaving(worker)) {
      continue;
    }
    const jobs::Resources& capacity = worker.m_lastReport.m_capacity;
    if (capacity.m_cpuMillis > anyWorker.m_cpuMillis) {
      anyWorker = capacity;
    }
    if (pool != pools.end()) {
      // A worker that maintenance is about to take down does not count: its
      // long-running tasks need capacity elsewhere before it can go down.
      const bool isReplaced =
        aReserved.contains(id) &&
        m_options.m_mechanisms.Has(Mechanism::kReplacement);
      pool->second.m_actual += isReplaced ? 0 : 1;
      ++pool->second.m_reporting;
      const bool isEstablished =
        !isReplaced && aNow >= worker.m_firstReportAt + kEstablishedAfter;
      pool->second.m_established += isEstablished ? 1 : 0;
      pool->second.m_cpu += capacity.m_cpuMillis;
      pool->second.m_memoryMb += capacity.m_memoryMb;
      pool->second.m_maxAccelerators =
        std::max(pool->second.m_maxAccelerators, capacity.m_accelerators);
      const jobs::WorkerUse* found = aState.Jobs().FindUse(id);
      const jobs::WorkerUse use = found == nullptr ? jobs::WorkerUse{} : *found;
      pool->second.m_usedCpu += use.m_cpuMillis;
      if (use.m_longRunning == 0) {
        pool->second.m_drainable.push_back({ &worker, use.m_cpuMillis });
      } else {
        ++pool->second.m_hosts;
      }
    }
  }
  for (auto& [service, pool] : pools) {
    pool.m_cores = pool.MeanCores().value_or(anyWorker.m_cpuMillis);
    pool.m_worker = pool.m_cpu == 0 ? anyWorker : pool.MeanWorker();
  }
  // The size of a worker is unknown until one has reported.
  if (anyWorker.m_cpuMillis == 0) {
    return pools;
  }
  CountUnreportedWorkers(aState, aWorkers, aNow, pools);
  for (const auto& [instance, move] : m_moves) {
    const auto pool = pools.find(move.m_to);
    if (pool != pools.end()) {
      ++pool->second.m_actual;
      ++pool->second.m_arriving;
      pool->second.m_arrivalTimes +=
        std::max(Duration{}, move.m_since + m_options.m_moveDuration - aNow);
      pool->second.m_supply.Add(
        static_cast<double>(pool->second.m_cores),
        std::min<Duration>(aNow - move.m_since, m_options.m_moveDuration));
    }
  }
  AddDemand(aState, aDurations, aNow, aWall, pools);
  return pools;
}

void
CapacityPlanner::TrackIdleWorkers(const fleet::State& aState,
                                  const WorkerTable& aWorkers,
                                  TimePoint aNow)
{
  // The service may have been removed: its instances stay where they are.
  // Both maps are in the order of their keys: one pass over both needs no
  // lookups.
  auto idle = m_idleSince.begin();
  for (const auto& [id, worker] : aWorkers.Workers()) {
    while (idle != m_idleSince.end() && idle->first < id) {
      idle = m_idleSince.erase(idle);
    }
    const bool isKnown = idle != m_idleSince.end() && idle->first == id;
    const bool hasTasks = aState.Jobs().FindUse(id) != nullptr;
    if (isKnown) {
      idle = hasTasks ? m_idleSince.erase(idle) : std::next(idle);
    } else if (!hasTasks && worker.m_lastReport.m_active.empty() &&
               aState.Routes().HasService(worker.m_lastReport.m_service)) {
      m_idleSince.emplace_hint(idle, id, aNow);
    }
  }
  m_idleSince.erase(idle, m_idleSince.end());
}

// A move is complete when the instance reports from its new pool. An instance
// in standby is off and sends no reports, so it counts as arrived after the
// usual duration of a move: the platform's list is read far less often than
// peaks occur. An unanswered order may be executed at any time, so the instance
// stays cordoned until the answer, however long that takes.
void
CapacityPlanner::CompleteMoves(const WorkerTable& aWorkers,
                               const ServiceId* aStandby,
                               TimePoint aNow)
{
  std::erase_if(m_moves, [&](const auto& aEntry) {
    const auto& [instance, move] = aEntry;
    const bool isOff = aStandby != nullptr && move.m_to == *aStandby;
    if (isOff && move.m_isAccepted &&
        aNow > move.m_since + m_options.m_moveDuration) {
      m_standby.emplace(instance, aNow);
      return true;
    }
    const Worker* worker = aWorkers.FindByInstance(instance);
    const bool hasArrived =
      worker != nullptr && worker->m_lastReport.m_service == move.m_to;
    const bool isOver =
      move.m_isAnswered && aNow > move.m_since + m_options.m_arrivalTimeout;
    return hasArrived || isOver;
  });
}

// Workers report to a new leader one by one. A worker with placed tasks counts
// in its pool before it has reported: otherwise it would be replaced.
void
CapacityPlanner::CountUnreportedWorkers(const fleet::State& aState,
                                        const WorkerTable& aWorkers,
                                        TimePoint aNow,
                                        Pools& aPools) const
{
  if (aWorkers.KnowsAllLeases(aNow)) {
    return;
  }
  for (const auto& [worker, tasks] : aState.Jobs().TasksByWorker()) {
    if (aWorkers.Find(worker) != nullptr || tasks.empty()) {
      continue;
    }
    const jobs::Job& job = *aState.Jobs().Find(tasks.front().m_job);
    const auto route = aState.RouteLookup().Find(job.m_queue);
    if (route) {
      Pool& pool = aPools[aState.Routes().m_routes[*route].m_service];
      ++pool.m_actual;
      pool.m_supply.Add(static_cast<double>(pool.m_cores),
                        m_options.m_moveDuration);
    }
  }
}

// An earlier leader may have ordered an instance on record just before this one
// was elected. Such an order takes the instance down for the duration of a
// move, so an instance that is up since aUpSince was last ordered at least that
// long before aUpSince.
bool
CapacityPlanner::CanOrder(const InstanceId& aInstance,
                          const OrderRecord& aRecord,
                          TimePoint aUpSince,
                          TimePoint aNow) const
{
  return !aRecord.IsInherited(aInstance) ||
         aNow >= m_leaderSince + m_options.m_handoverDelay ||
         aNow >=
           aUpSince + m_options.m_handoverDelay - m_options.m_moveDuration;
}

std::vector<const Worker*>
CapacityPlanner::FindMovable(const WorkerTable& aWorkers,
                             const std::set<WorkerIncarnation>& aReserved,
                             const OrderRecord& aRecord,
                             Duration aIdleFor,
                             const std::set<WorkerIncarnation>& aDraining,
                             TimePoint aNow) const
{
  std::vector<const Worker*> movable;
  for (const auto& [id, since] : m_idleSince) {
    const Worker* worker = aWorkers.Find(id);
    const bool isIdle = aNow >= since + aIdleFor || aDraining.contains(id);
    if (isIdle && worker->IsUsable(aNow) &&
        !aWorkers.IsAmbiguous(worker->m_lastReport.m_instance) &&
        CanOrder(worker->m_lastReport.m_instance,
                 aRecord,
                 worker->m_firstReportAt,
                 aNow) &&
        !aReserved.contains(id) &&
        !IsBackingOff(worker->m_lastReport.m_instance, aNow) &&
        !worker->m_lastReport.m_instance.Get().empty() &&
        !m_moves.contains(worker->m_lastReport.m_instance)) {
      movable.push_back(worker);
    }
  }
  return movable;
}

void
CapacityPlanner::Order(const InstanceId& aInstance,
                       const Worker* aWorker,
                       const ServiceId& aTo,
                       TimePoint aNow,
                       CapacityPlan& aPlan)
{
  Move& move = m_moves[aInstance];
  move = { aTo, aNow, std::nullopt, ++m_lastNumber };
  if (aWorker != nullptr) {
    move.m_targetIncarnation = aWorker->m_lastReport.m_worker;
    m_reportsBeforeMove[aInstance] = aWorker->m_lastReport;
  }
  m_orderTokens -= 1;
  m_unanswered.insert(move.m_number);
  aPlan.m_orders.push_back({ aInstance, aTo, move.m_number });
}

bool
CapacityPlanner::IsBackingOff(const InstanceId& aInstance, TimePoint aNow) const
{
  const auto notBefore = m_retryNotBefore.find(aInstance);
  return notBefore != m_retryNotBefore.end() && aNow < notBefore->second;
}

// The platform's list may be outdated when it arrives and still show an
// instance that has left standby. A second order, when the instance already
// serves another pool, would end all its runs at once, including several tasks
// of one step. Instances in standby are off, so one that reports is excluded.
std::optional<InstanceId>
CapacityPlanner::FindStandby(const Pool& aPool,
                             const WorkerTable& aWorkers,
                             const OrderRecord& aRecord,
                             TimePoint aNow) const
{
  std::optional<InstanceId> best;
  auto bestSuitability = Suitability::kDoesNotSuit;
  for (const auto& [instance, upSince] : m_standby) {
    if (aWorkers.FindByInstance(instance) != nullptr ||
        m_moves.contains(instance) || IsBackingOff(instance, aNow) ||
        !CanOrder(instance, aRecord, upSince, aNow)) {
      continue;
    }
    const auto suitability = AssessSuitability(aPool, FindLastReport(instance));
    if (!best || suitability < bestSuitability) {
      best = instance;
      bestSuitability = suitability;
    }
    if (bestSuitability == Suitability::kSuits) {
      break;
    }
  }
  return best;
}

CapacityPlanner::Suitability
CapacityPlanner::AssessSuitability(const Pool& aPool,
                                   const WorkerReport* aReport)
{
  if (aPool.m_needWorkers.empty()) {
    return Suitability::kSuits;
  }
  if (aReport == nullptr) {
    return Suitability::kUnknown;
  }
  const bool fits = std::any_of(
    aPool.m_needWorkers.begin(),
    aPool.m_needWorkers.end(),
    [&](const TaskGroup& aTasks) {
      const jobs::StepSpec& step = *aTasks.m_step;
      return (step.m_requiredLabel.empty() ||
              aReport->m_labels.contains(step.m_requiredLabel)) &&
             ReservedCapacity{}.LeavesCapacityFor(aReport->m_capacity, step);
    });
  return fits ? Suitability::kSuits : Suitability::kDoesNotSuit;
}

const WorkerReport*
CapacityPlanner::FindLastReport(const InstanceId& aInstance) const
{
  const auto found = m_reportsBeforeMove.find(aInstance);
  return found == m_reportsBeforeMove.end() ? nullptr : &found->second;
}

// The token bucket holds little more than the orders of one pass, so that a
// peak does not cause more concurrent calls than the platform answers.
void
CapacityPlanner::RefillOrderTokens(TimePoint aNow)
{
  const double rate = m_options.m_ordersPerSecond * kRateShare;
  const std::chrono::duration<double> since = aNow - m_refilledAt;
  m_orderTokens =
    std::min(m_orderTokens + since.count() * rate, rate * kBurstSeconds);
  m_refilledAt = aNow;
}

void
CapacityPlanner::OnMaintenanceOrders(std::size_t aCount)
{
  m_orderTokens -= static_cast<double>(aCount);
}

bool
CapacityPlanner::HasOrderBudget() const
{
  return m_isAllowed && m_orderTokens >= 1 &&
         m_unanswered.size() < kMaxUnansweredOrders;
}

PoolWait
CapacityPlanner::WhyShort() const
{
  if (!m_isAllowed) {
    return PoolWait::kLeader;
  }
  if (m_unanswered.size() >= kMaxUnansweredOrders) {
    return PoolWait::kUnansweredOrders;
  }
  return m_orderTokens < 1 ? PoolWait::kOrderRate : PoolWait::kIdleInstances;
}

// Gives one instance at a time to the pool with the smallest ratio of actual to
// desired size, so that two concurrent peaks share the available instances.
// Instances in standby are moved first, as no other queue needs them. A pool
// that lacks workers for its long-running tasks comes before all others and may
// take instances from pools that have more than theirs need: work that ends by
// itself waits for a moment, a long-running task would wait for the next
// valley.
void
CapacityPlanner::FillPools(const WorkerTable& aWorkers,
                           const std::set<WorkerIncarnation>& aReserved,
                           const OrderRecord& aRecord,
                           TimePoint aNow,
                           Pools& aPools,
                           CapacityPlan& aPlan)
{
  const bool isAnyShort =
    std::any_of(aPools.begin(), aPools.end(), [](const auto& aPool) {
      return aPool.second.IsShort();
    });
  if (!isAnyShort || !HasOrderBudget()) {
    return;
  }
  auto movable = FindMovable(aWorkers,
                             aReserved,
                             aRecord,
                             m_options.m_idleBeforeMove,
                             m_drainingWorkers,
                             aNow);
  const auto isSurplus = [&](const Worker* aWorker) {
    const auto pool = aPools.find(aWorker->m_lastReport.m_service);
    return pool == aPools.end() || pool->second.HasSurplus();
  };
  const auto isAboveFloor = [&](const Worker* aWorker) {
    const auto pool = aPools.find(aWorker->m_lastReport.m_service);
    return pool == aPools.end() || pool->second.IsAboveFloor();
  };
  const auto isNeedier = [](const auto& aLeft, const auto& aRight) {
    const Pool& left = aLeft.second;
    const Pool& right = aRight.second;
    if (left.IsBelowMinimum() != right.IsBelowMinimum()) {
      return left.IsBelowMinimum();
    }
    return left.m_actual * right.m_desired < right.m_actual * left.m_desired;
  };
  // Pools that no available instance suits.
  std::set<ServiceId> unserved;
  const auto comesFirst = [&](const auto& aLeft, const auto& aRight) {
    const bool isLeftServed = !unserved.contains(aLeft.first);
    const bool isRightServed = !unserved.contains(aRight.first);
    return isLeftServed != isRightServed ? isLeftServed
                                         : isNeedier(aLeft, aRight);
  };
  while (HasOrderBudget()) {
    const auto neediest =
      std::min_element(aPools.begin(), aPools.end(), comesFirst);
    if (neediest == aPools.end() || !neediest->second.IsShort() ||
        unserved.contains(neediest->first)) {
      return;
    }
    Pool& pool = neediest->second;
    // An instance that does not suit the tasks that wait still serves a pool
    // that its other work makes short.
    const auto worst = pool.m_actual < pool.m_desiredBySums
                         ? Suitability::kDoesNotSuit
                         : Suitability::kUnknown;
    const auto find = [&](Suitability aWorst) {
      const auto findAmong = [&](const auto& aMayLeave) {
        return std::find_if(
          movable.begin(), movable.end(), [&](const Worker* aWorker) {
            return aMayLeave(aWorker) &&
                   AssessSuitability(pool, &aWorker->m_lastReport) <= aWorst;
          });
      };
      const auto next = findAmong(isSurplus);
      return next == movable.end() && pool.IsBelowMinimum()
               ? findAmong(isAboveFloor)
               : next;
    };
    const auto standby = FindStandby(pool, aWorkers, aRecord, aNow);
    const auto ofStandby = standby
                             ? AssessSuitability(pool, FindLastReport(*standby))
                             : Suitability::kDoesNotSuit;
    auto next = standby && ofStandby == Suitability::kSuits
                  ? movable.end()
                  : find(Suitability::kSuits);
    if (next == movable.end() && standby && ofStandby <= worst) {
      Order(*standby, nullptr, neediest->first, aNow, aPlan);
      ++pool.m_actual;
      continue;
    }
    if (next == movable.end()) {
      next = find(worst);
    }
    if (next == movable.end()) {
      unserved.insert(neediest->first);
      continue;
    }
    const auto from = aPools.find((*next)->m_lastReport.m_service);
    if (from != aPools.end()) {
      --from->second.m_actual;
    }
    ++pool.m_actual;
    Order(
      (*next)->m_lastReport.m_instance, *next, neediest->first, aNow, aPlan);
    movable.erase(next);
  }
}

// When the peak of one queue follows that of another, all instances of the
// first still run a few remaining tasks, and none becomes idle for a second or
// more. Surplus instances therefore get no new tasks: the remaining ones run on
// the other instances, and the surplus is free as soon as its own runs end.
void
CapacityPlanner::DrainSurplus(const std::set<WorkerIncarnation>& aReserved,
                              TimePoint aNow,
                              Pools& aPools)
{
  m_drainingWorkers.clear();
  if (!m_options.m_mechanisms.Has(Mechanism::kEmptying)) {
    return;
  }
  std::size_t shortage = 0;
  for (const auto& [service, pool] : aPools) {
    shortage += pool.IsShort() ? pool.m_desired - pool.m_actual : 0;
  }
  for (auto& [service, pool] : aPools) {
    if (shortage > 0 && pool.HasSurplus()) {
      shortage -=
        DrainWorkers(std::min(shortage, pool.m_actual - pool.m_desired),
                     aReserved,
                     aNow,
                     pool);
    }
  }
  std::size_t belowMinimum = CountBelowMinimum(aPools);
  for (auto& [service, pool] : aPools) {
    if (belowMinimum > 0 && !pool.HasSurplus() && pool.IsAboveFloor()) {
      belowMinimum -=
        DrainWorkers(std::min(belowMinimum, pool.m_actual - pool.m_floor),
                     aReserved,
                     aNow,
                     pool);
    }
  }
}

// Instances in standby and those that surplus pools drain come first. Workers
// of pools that are short themselves are drained only while orders can be sent:
// otherwise they would stand idle for as long as the platform does not answer.
std::size_t
CapacityPlanner::CountBelowMinimum(const Pools& aPools) const
{
  if (!m_isAllowed || m_unanswered.size() >= kMaxUnansweredOrders) {
    return 0;
  }
  std::size_t missing = 0;
  for (const auto& [service, pool] : aPools) {
    missing += pool.IsBelowMinimum() ? pool.m_minimum - pool.m_actual : 0;
  }
  const std::size_t available = m_drainingWorkers.size() + CountStandby();
  return missing - std::min(missing, available);
}

std::size_t
CapacityPlanner::CountStandby() const
{
  return static_cast<std::size_t>(
    std::count_if(m_standby.begin(), m_standby.end(), [&](const auto& aEntry) {
      return !m_moves.contains(aEntry.first);
    }));
}

// The workers with the least to finish are drained first.
std::size_t
CapacityPlanner::DrainWorkers(std::size_t aCount,
                              const std::set<WorkerIncarnation>& aReserved,
                              TimePoint aNow,
                              Pool& aPool)
{
  std::erase_if(aPool.m_drainable, [&](const Drainable& aCandidate) {
    const WorkerReport& report = aCandidate.m_worker->m_lastReport;
    return aReserved.contains(report.m_worker) ||
           m_moves.contains(report.m_instance) ||
           !aCandidate.m_worker->IsUsable(aNow);
  });
  std::sort(aPool.m_drainable.begin(),
            aPool.m_drainable.end(),
            [](const Drainable& aLeft, const Drainable& aRight) {
              return aLeft.m_usedCpu < aRight.m_usedCpu;
            });
  const std::size_t count = std::min(aCount, aPool.m_drainable.size());
  for (std::size_t i = 0; i < count; ++i) {
    m_drainingWorkers.insert(
      aPool.m_drainable[i].m_worker->m_lastReport.m_worker);
  }
  return count;
}

void
CapacityPlanner::MoveIdleToStandby(const ServiceId& aStandby,
                                   const WorkerTable& aWorkers,
                                   const std::set<WorkerIncarnation>& aReserved,
                                   const OrderRecord& aRecord,
                                   TimePoint aNow,
                                   Pools& aPools,
                                   CapacityPlan& aPlan)
{
  if (!HasOrderBudget()) {
    return;
  }
  const auto idle = FindMovable(
    aWorkers, aReserved, aRecord, m_options.m_idleBeforeStandby, {}, aNow);
  for (const Worker* worker : idle) {
    Pool& pool = aPools[worker->m_lastReport.m_service];
    if (pool.HasSurplus() && HasOrderBudget()) {
      --pool.m_actual;
      Order(worker->m_lastReport.m_instance, worker, aStandby, aNow, aPlan);
    }
  }
}

CapacityPlan
CapacityPlanner::Next(const fleet::State& aState,
                      const WorkerTable& aWorkers,
                      const std::set<WorkerIncarnation>& aReserved,
                      const DurationEstimator& aDurations,
                      const OrderRecord& aRecord,
                      TimePoint aNow,
                      WallTime aWall)
{
  CapacityPlan plan;
  RefillOrderTokens(aNow);
  TrackIdleWorkers(aState, aWorkers, aNow);
  m_leaderSince = aWorkers.LeaderSince();
  const ServiceId* standby = aState.Routes().StandbyPool();
  CompleteMoves(aWorkers, standby, aNow);
  Pools pools =
    ComputePools(aState, aWorkers, aReserved, aDurations, aNow, aWall);
  for (const auto& [service, pool] : pools) {
    plan.m_pools.push_back({ service,
                             pool.m_actual,
                             pool.m_desired,
                             pool.m_work / kMilliPerCoreSecond,
                             pool.m_cpu / kMilliPerCore,
                             pool.m_usedCpu / kMilliPerCore,
                             pool.ArrivingCpu(),
                             pool.MeanArrival(),
                             pool.m_lateWork / kMilliPerCoreSecond,
                             pool.m_arriving,
                             pool.m_inflow,
                             pool.m_unplaced });
  }
  const bool isReady = aNow >= m_leaderSince + m_options.m_reportWait;
  if (isReady) {
    FillPools(aWorkers, aReserved, aRecord, aNow, pools, plan);
    DrainSurplus(aReserved, aNow, pools);
  }
  for (PoolCapacity& pool : plan.m_pools) {
    if (pools.at(pool.m_service).IsShort()) {
      pool.m_waitsFor = isReady ? WhyShort() : PoolWait::kLeader;
    }
  }
  const bool isSettled = aNow >= m_leaderSince + m_options.m_handoverDelay;
  if (isSettled && standby != nullptr &&
      m_options.m_mechanisms.Has(Mechanism::kStandby)) {
    MoveIdleToStandby(
      *standby, aWorkers, aReserved, aRecord, aNow, pools, plan);
  }
  for (const auto& [instance, move] : m_moves) {
    const auto& incarnations = aWorkers.IncarnationsOf(instance);
    plan.m_cordoned.insert(incarnations.begin(), incarnations.end());
  }
  plan.m_unanswered = m_unanswered.size();
  plan.m_unansweredLimit = kMaxUnansweredOrders;
  plan.m_standby = CountStandby();
  plan.m_drained = m_drainingWorkers;
  plan.m_cordoned.insert(plan.m_drained.begin(), plan.m_drained.end());
  return plan;
}

void
CapacityPlanner::OnListed(const std::vector<ListedInstance>& aInstances,
                          const ServiceId& aStandby,
                          TimePoint aNow)
{
  const auto previous = std::exchange(m_standby, {});
  for (const ListedInstance& instance : aInstances) {
    if (instance.m_pool == aStandby && instance.m_state == InstanceState::kUp) {
      const auto known = previous.find(instance.m_id);
      m_standby.emplace(instance.m_id,
                        known == previous.end() ? aNow : known->second);
    }
  }
}

std::optional<WorkerIncarnation>
CapacityPlanner::OnAnswer(const MoveOrder& aOrder,
                          InstanceAnswer aAnswer,
                          TimePoint aNow)
{
  m_unanswered.erase(aOrder.m_number);
  const auto move = m_moves.find(aOrder.m_instance);
  // The instance has arrived already, and may have a newer order.
  if (move == m_moves.end() || move->second.m_number != aOrder.m_number) {
    return std::nullopt;
  }
  move->second.m_isAnswered = true;
  if (aAnswer == InstanceAnswer::kNotSent) {
    m_moves.erase(move);
    return std::nullopt;
  }
  if (aAnswer == InstanceAnswer::kAccepted) {
    m_standby.erase(aOrder.m_instance);
    move->second.m_isAccepted = true;
    return move->second.m_targetIncarnation;
  }
  // The order was refused or its outcome is unknown: the instance stays where
  // its reports or the platform's list show it, and is not ordered again for a
  // while.
  if (aAnswer != InstanceAnswer::kUnclear) {
    m_moves.erase(move);
  }
  m_standby.erase(aOrder.m_instance);
  m_retryNotBefore[aOrder.m_instance] = aNow + kRetryAfter;
  return std::nullopt;
}

} // namespace bamboostile::placement
