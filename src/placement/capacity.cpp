#include "bamboostile/placement/capacity.h"

#include "demand.h"

#include <algorithm>
#include <utility>

namespace bamboostile::placement {

namespace {

/** Thousandths of a core times ms, in a core-second. */
constexpr std::int64_t kMilliPerUnit = 1000 * 1000;
constexpr std::int64_t kMilliPerCore = 1000;
/** Of the platform's rate. What is saved up beside it stays below the rest, so
 * that no second has more orders than the platform takes. */
constexpr double kRateShare = 0.85;
constexpr double kSavedSeconds = 0.15;
constexpr Duration kRetryAfter = Millis{ 2000 };
/** For trials a pool gets so many workers more, or one for each so many that it
 * has. */
constexpr std::size_t kLeastForTrials = 4;
constexpr std::size_t kTrialShare = 2;

/** What runs hold of a worker. */
struct Use
{
  /** In thousandths of a core. */
  std::int64_t m_cpu = 0;
  bool m_endsByItself = true;
};

Use
FindUse(const jobs::Book& aBook, const WorkerLife& aWorker)
{
  Use use;
  const auto placed = aBook.Placed().find(aWorker);
  if (placed == aBook.Placed().end()) {
    return use;
  }
  for (const jobs::TaskRef& task : placed->second) {
    const jobs::StepSpec& step =
      aBook.Find(task.m_job)->m_spec.m_steps[task.m_step];
    use.m_cpu += step.CountedCpu();
    use.m_endsByItself = use.m_endsByItself && !step.m_longRunning;
  }
  return use;
}

} // namespace

void
CapacityPlanner::AddDemand(const fleet::State& aState,
                           const Durations& aDurations,
                           WallTime aWall,
                           Pools& aPools) const
{
  std::map<ServiceId, Demand> demands;
  for (const auto& [order, id] : aState.Jobs().Open()) {
    const jobs::Job& job = *aState.Jobs().Find(id);
    const auto found = aState.RouteLookup().Find(job.m_queue);
    if (job.m_state == jobs::JobState::kActive && found) {
      const fleet::QueueRoute& route = aState.Routes().m_routes[*found];
      Demand& demand = demands[route.m_service];
      demand.Add(job, route, aDurations, aWall);
      if (aState.Jobs().HasLosses(id)) {
        demand.AddTrials(job);
      }
    }
  }
  for (auto& [service, pool] : aPools) {
    const Demand& demand = demands[service];
    pool.m_work = demand.m_fresh.m_work + demand.m_late.m_work;
    const std::int64_t cpu =
      demand.m_fresh.CpuToWorkOffIn(m_options.m_workOffIn) +
      demand.m_late.CpuToWorkOffIn(m_options.m_workOffLateIn) +
      demand.m_longRunningCpu;
    const auto cores =
      static_cast<std::int64_t>(std::max<std::size_t>(pool.m_cores, 1));
    const auto byWork = static_cast<std::size_t>((cpu + cores - 1) / cores);
    // One more than the long-running tasks need, so that one of them whose
    // worker is lost finds room at once.
    pool.m_want =
      std::max({ byWork, demand.m_spread + 1, m_options.m_leastPerPool });
    pool.m_want += std::min(
      demand.m_trials, std::max(kLeastForTrials, pool.m_want / kTrialShare));
  }
}

CapacityPlanner::Pools
CapacityPlanner::FindPools(const fleet::State& aState,
                           const WorkerTable& aWorkers,
                           const std::set<WorkerLife>& aReserved,
                           const Durations& aDurations,
                           TimePoint aNow,
                           WallTime aWall) const
{
  Pools pools;
  std::size_t anyCores = 0;
  for (const fleet::QueueRoute& route : aState.Routes().m_routes) {
    pools[route.m_service];
  }
  for (const auto& [id, worker] : aWorkers.Workers()) {
    const auto pool = pools.find(worker.m_last.m_service);
    if (worker.m_silent || worker.m_last.m_draining) {
      continue;
    }
    anyCores =
      std::max<std::size_t>(anyCores, worker.m_last.m_capacity.m_cpuMillis);
    if (pool != pools.end()) {
      // What maintenance is about to take serves no more: its long-running
      // tasks need room elsewhere before it can go.
      const bool isReplaced =
        aReserved.contains(id) &&
        m_options.m_mechanisms.Has(Mechanism::kReplacement);
      pool->second.m_have += isReplaced ? 0 : 1;
      ++pool->second.m_reporting;
      pool->second.m_cpu += worker.m_last.m_capacity.m_cpuMillis;
      const Use use = FindUse(aState.Jobs(), id);
      pool->second.m_used += use.m_cpu;
      if (use.m_endsByItself) {
        pool->second.m_emptiable.push_back({ &worker, use.m_cpu });
      }
    }
  }
  for (auto& [service, pool] : pools) {
    pool.m_cores = pool.MeanCores().value_or(anyCores);
  }
  // Before any worker has reported nobody knows how large one is.
  if (anyCores == 0) {
    return pools;
  }
  AddDemand(aState, aDurations, aWall, pools);
  CountUnheard(aState, aWorkers, aNow, pools);
  for (const auto& [instance, move] : m_moves) {
    const auto pool = pools.find(move.m_to);
    if (pool != pools.end()) {
      ++pool->second.m_have;
    }
  }
  return pools;
}

void
CapacityPlanner::FollowIdle(const fleet::State& aState,
                            const WorkerTable& aWorkers,
                            TimePoint aNow)
{
  std::erase_if(m_idleSince, [&](const auto& aEntry) {
    return aWorkers.Find(aEntry.first) == nullptr ||
           aState.Jobs().Placed().contains(aEntry.first);
  });
  // A report may come from another writer: a service that the configuration
  // does not name makes its sender no instance of ours to order about.
  const auto& services = aState.Routes().m_services;
  const auto isNamed = [&](const ServiceId& aService) {
    return std::any_of(services.begin(), services.end(), [&](const auto& aOne) {
      return aOne.m_id == aService;
    });
  };
  for (const auto& [id, worker] : aWorkers.Workers()) {
    if (isNamed(worker.m_last.m_service) &&
        !aState.Jobs().Placed().contains(id) &&
        worker.m_last.m_active.empty()) {
      m_idleSince.try_emplace(id, aNow);
    }
  }
}

// A move has arrived when the instance reports from its new pool. One that goes
// to standby is off and reports nothing; it counts as there once the move has
// taken its time, as the platform's list is read far less often than peaks
// come. While its order is not answered nothing tells when it will be obeyed,
// so the instance gets nothing new, however long that takes.
void
CapacityPlanner::Settle(const WorkerTable& aWorkers,
                        const ServiceId* aStandby,
                        TimePoint aNow)
{
  std::erase_if(m_moves, [&](const auto& aEntry) {
    const auto& [instance, move] = aEntry;
    const bool isOff = aStandby != nullptr && move.m_to == *aStandby;
    if (isOff && move.m_taken && aNow > move.m_since + m_options.m_moveTakes) {
      m_standby.emplace(instance, aNow);
      return true;
    }
    const Worker* worker = aWorkers.FindByInstance(instance);
    const bool arrived =
      worker != nullptr && worker->m_last.m_service == move.m_to;
    const bool isOver =
      move.m_answered && aNow > move.m_since + m_options.m_arrivesWithin;
    return arrived || isOver;
  });
}

// A new leader hears the workers one by one. Each that is known to run
// something is in its pool, heard or not: counted as missing, it would be
// replaced.
void
CapacityPlanner::CountUnheard(const fleet::State& aState,
                              const WorkerTable& aWorkers,
                              TimePoint aNow,
                              Pools& aPools) const
{
  if (aWorkers.KnowsAllLeases(aNow)) {
    return;
  }
  for (const auto& [worker, tasks] : aState.Jobs().Placed()) {
    if (aWorkers.Find(worker) != nullptr || tasks.empty()) {
      continue;
    }
    const jobs::Job& job = *aState.Jobs().Find(tasks.front().m_job);
    const auto route = aState.RouteLookup().Find(job.m_queue);
    if (route) {
      ++aPools[aState.Routes().m_routes[*route].m_service].m_have;
    }
  }
}

// An earlier leader may have ordered what is on record just before this one was
// elected. Its order then took the instance down for as long as a move takes;
// so one that has been up since has not been ordered for that long already.
bool
CapacityPlanner::IsFreeToOrder(const InstanceId& aInstance,
                               const OrderRecord& aRecord,
                               TimePoint aUpSince,
                               TimePoint aNow) const
{
  return !aRecord.IsInherited(aInstance) ||
         aNow >= m_leaderSince + m_options.m_betweenLeaders ||
         aNow >= aUpSince + m_options.m_betweenLeaders - m_options.m_moveTakes;
}

std::vector<const Worker*>
CapacityPlanner::FindSpare(const WorkerTable& aWorkers,
                           const std::set<WorkerLife>& aReserved,
                           const OrderRecord& aRecord,
                           Duration aIdleFor,
                           const std::set<WorkerLife>& aEmptied,
                           TimePoint aNow) const
{
  std::vector<const Worker*> spare;
  for (const auto& [id, since] : m_idleSince) {
    const Worker* worker = aWorkers.Find(id);
    const bool isIdle = aNow >= since + aIdleFor || aEmptied.contains(id);
    if (isIdle && worker->IsUsable(aNow) &&
        !aWorkers.IsContested(worker->m_last.m_instance) &&
        IsFreeToOrder(
          worker->m_last.m_instance, aRecord, worker->m_firstHeardAt, aNow) &&
        !aReserved.contains(id) && !Rests(worker->m_last.m_instance, aNow) &&
        !worker->m_last.m_instance.Get().empty() &&
        !m_moves.contains(worker->m_last.m_instance)) {
      spare.push_back(worker);
    }
  }
  return spare;
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
    move.m_aimedAt = aWorker->m_last.m_worker;
  }
  m_mayOrder -= 1;
  m_unanswered.insert(move.m_number);
  aPlan.m_orders.push_back({ aInstance, aTo, move.m_number });
}

bool
CapacityPlanner::Rests(const InstanceId& aInstance, TimePoint aNow) const
{
  const auto notBefore = m_notBefore.find(aInstance);
  return notBefore != m_notBefore.end() && aNow < notBefore->second;
}

// The platform's list takes its time to read: one that left the pool meanwhile
// is still on it. Ordered once more, while it serves another pool already, all
// that runs on it would end at once, several tasks of one step among it. An
// instance of the standby pool is off, so one that reports is not there.
std::optional<InstanceId>
CapacityPlanner::FindStandby(const WorkerTable& aWorkers,
                             const OrderRecord& aRecord,
                             TimePoint aNow) const
{
  for (const auto& [instance, upSince] : m_standby) {
    if (aWorkers.FindByInstance(instance) == nullptr &&
        !m_moves.contains(instance) && !Rests(instance, aNow) &&
        IsFreeToOrder(instance, aRecord, upSince, aNow)) {
      return instance;
    }
  }
  return std::nullopt;
}

// The rate is saved up for little more than a pass takes, so that a peak is not
// met with more calls at once than the platform answers.
void
CapacityPlanner::EarnOrders(TimePoint aNow)
{
  const double rate = m_options.m_ordersPerSecond * kRateShare;
  const std::chrono::duration<double> since = aNow - m_earnedAt;
  m_mayOrder =
    std::min(m_mayOrder + since.count() * rate, rate * kSavedSeconds);
  m_earnedAt = aNow;
}

void
CapacityPlanner::OnOtherOrders(std::size_t aCount)
{
  m_mayOrder -= static_cast<double>(aCount);
}

bool
CapacityPlanner::MayOrder() const
{
  return m_isAllowed && m_mayOrder >= 1 &&
         m_unanswered.size() < kMostOrdersUnderWay;
}

// One at a time to the pool that has the smallest share of what it needs: two
// peaks at once then share what there is. Instances of standby go first, as no
// other queue can miss them.
void
CapacityPlanner::FillPools(const WorkerTable& aWorkers,
                           const std::set<WorkerLife>& aReserved,
                           const OrderRecord& aRecord,
                           TimePoint aNow,
                           Pools& aPools,
                           CapacityPlan& aPlan)
{
  auto spare = FindSpare(
    aWorkers, aReserved, aRecord, m_options.m_idleToOther, m_emptying, aNow);
  const auto isSpare = [&](const Worker* aWorker) {
    const auto pool = aPools.find(aWorker->m_last.m_service);
    return pool == aPools.end() || pool->second.HasSpare();
  };
  const auto isScarcer = [](const auto& aLeft, const auto& aRight) {
    const Pool& left = aLeft.second;
    const Pool& right = aRight.second;
    return left.m_have * right.m_want < right.m_have * left.m_want;
  };
  while (MayOrder()) {
    const auto scarcest =
      std::min_element(aPools.begin(), aPools.end(), isScarcer);
    if (scarcest == aPools.end() || !scarcest->second.IsShort()) {
      return;
    }
    if (const auto standby = FindStandby(aWorkers, aRecord, aNow)) {
      Order(*standby, nullptr, scarcest->first, aNow, aPlan);
      ++scarcest->second.m_have;
      continue;
    }
    const auto next = std::find_if(spare.begin(), spare.end(), isSpare);
    if (next == spare.end()) {
      return;
    }
    const auto from = aPools.find((*next)->m_last.m_service);
    if (from != aPools.end()) {
      --from->second.m_have;
    }
    ++scarcest->second.m_have;
    Order((*next)->m_last.m_instance, *next, scarcest->first, aNow, aPlan);
    spare.erase(next);
  }
}

// When the peak of one queue follows that of another, the instances of the
// first all still run some last tasks, and none is idle for a second or more.
// Those beyond what their pool needs get no new tasks then: what is left is
// carried out on the others, and these are empty as soon as their runs end.
void
CapacityPlanner::EmptySurplus(const std::set<WorkerLife>& aReserved,
                              TimePoint aNow,
                              Pools& aPools)
{
  m_emptying.clear();
  if (!m_options.m_mechanisms.Has(Mechanism::kEmptying)) {
    return;
  }
  std::size_t shortage = 0;
  for (const auto& [service, pool] : aPools) {
    shortage += pool.IsShort() ? pool.m_want - pool.m_have : 0;
  }
  for (auto& [service, pool] : aPools) {
    std::erase_if(pool.m_emptiable, [&](const Emptiable& aOne) {
      const WorkerReport& report = aOne.m_worker->m_last;
      return aReserved.contains(report.m_worker) ||
             m_moves.contains(report.m_instance) ||
             !aOne.m_worker->IsUsable(aNow);
    });
    std::sort(pool.m_emptiable.begin(),
              pool.m_emptiable.end(),
              [](const Emptiable& aLeft, const Emptiable& aRight) {
                return aLeft.m_used < aRight.m_used;
              });
    const std::size_t surplus = pool.HasSpare() ? pool.m_have - pool.m_want : 0;
    const std::size_t count =
      std::min({ surplus, shortage, pool.m_emptiable.size() });
    for (std::size_t i = 0; i < count; ++i) {
      m_emptying.insert(pool.m_emptiable[i].m_worker->m_last.m_worker);
    }
    shortage -= count;
  }
}

void
CapacityPlanner::ReleaseIdle(const ServiceId& aStandby,
                             const WorkerTable& aWorkers,
                             const std::set<WorkerLife>& aReserved,
                             const OrderRecord& aRecord,
                             TimePoint aNow,
                             Pools& aPools,
                             CapacityPlan& aPlan)
{
  const auto idle = FindSpare(
    aWorkers, aReserved, aRecord, m_options.m_idleToStandby, {}, aNow);
  for (const Worker* worker : idle) {
    Pool& pool = aPools[worker->m_last.m_service];
    if (pool.HasSpare() && MayOrder()) {
      --pool.m_have;
      Order(worker->m_last.m_instance, worker, aStandby, aNow, aPlan);
    }
  }
}

CapacityPlan
CapacityPlanner::Next(const fleet::State& aState,
                      const WorkerTable& aWorkers,
                      const std::set<WorkerLife>& aReserved,
                      const Durations& aDurations,
                      const OrderRecord& aRecord,
                      TimePoint aNow,
                      WallTime aWall)
{
  CapacityPlan plan;
  EarnOrders(aNow);
  FollowIdle(aState, aWorkers, aNow);
  m_leaderSince = aWorkers.LeaderSince();
  const ServiceId* standby = aState.Routes().StandbyPool();
  Settle(aWorkers, standby, aNow);
  Pools pools = FindPools(aState, aWorkers, aReserved, aDurations, aNow, aWall);
  for (const auto& [service, pool] : pools) {
    plan.m_needs.push_back({ service,
                             pool.m_have,
                             pool.m_want,
                             pool.m_work / kMilliPerUnit,
                             pool.m_cpu / kMilliPerCore,
                             pool.m_used / kMilliPerCore });
  }
  if (aNow >= m_leaderSince + m_options.m_hearWorkers) {
    FillPools(aWorkers, aReserved, aRecord, aNow, pools, plan);
    EmptySurplus(aReserved, aNow, pools);
  }
  const bool isSettled = aNow >= m_leaderSince + m_options.m_betweenLeaders;
  if (isSettled && standby != nullptr &&
      m_options.m_mechanisms.Has(Mechanism::kStandby)) {
    ReleaseIdle(*standby, aWorkers, aReserved, aRecord, aNow, pools, plan);
  }
  for (const auto& [instance, move] : m_moves) {
    if (const Worker* worker = aWorkers.FindByInstance(instance)) {
      plan.m_cordoned.insert(worker->m_last.m_worker);
    }
  }
  plan.m_cordoned.insert(m_emptying.begin(), m_emptying.end());
  return plan;
}

void
CapacityPlanner::OnListed(const std::vector<ListedInstance>& aInstances,
                          const ServiceId& aStandby,
                          TimePoint aNow)
{
  const auto before = std::exchange(m_standby, {});
  for (const ListedInstance& instance : aInstances) {
    if (instance.m_pool == aStandby && instance.m_state == InstanceState::kUp) {
      const auto known = before.find(instance.m_id);
      m_standby.emplace(instance.m_id,
                        known == before.end() ? aNow : known->second);
    }
  }
}

std::optional<WorkerLife>
CapacityPlanner::OnAnswer(const MoveOrder& aOrder,
                          InstanceAnswer aAnswer,
                          TimePoint aNow)
{
  m_unanswered.erase(aOrder.m_number);
  const auto move = m_moves.find(aOrder.m_instance);
  // It has arrived meanwhile, and may be ordered elsewhere by now.
  if (move == m_moves.end() || move->second.m_number != aOrder.m_number) {
    return std::nullopt;
  }
  move->second.m_answered = true;
  if (aAnswer == InstanceAnswer::kNotSent) {
    m_moves.erase(move);
    return std::nullopt;
  }
  if (aAnswer == InstanceAnswer::kTaken) {
    m_standby.erase(aOrder.m_instance);
    move->second.m_taken = true;
    return move->second.m_aimedAt;
  }
  // Refused, or not known: the instance stays where its reports or the
  // platform's list show it, and is left alone for a while.
  if (aAnswer != InstanceAnswer::kUnclear) {
    m_moves.erase(move);
  }
  m_standby.erase(aOrder.m_instance);
  m_notBefore[aOrder.m_instance] = aNow + kRetryAfter;
  return std::nullopt;
}

} // namespace bamboostile::placement
