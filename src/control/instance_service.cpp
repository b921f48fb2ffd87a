#include "bamboostile/control/instance_service.h"

#include "bamboostile/placement/origin.h"
#include "bamboostile/telemetry/log.h"

namespace bamboostile::control {

namespace {

using telemetry::Level;
using telemetry::LogLine;

/** Workers report their own instance; the list covers instances that are off.
 */
constexpr Duration kListInterval = Millis{ 5000 };
/** Interval while a maintenance wave waits for an instance in the list. */
constexpr Duration kUrgentListInterval = Millis{ 250 };
/** Interval while a worker with long-running tasks may have ended. */
constexpr Duration kMissingWorkerListInterval = Millis{ 500 };
/** Minimum interval for each instance in the list: in a large fleet some worker
 * is always missing, and the list is long. */
constexpr Duration kListIntervalPerInstance = Millis{ 1 };
/** An order whose record takes longer than this to commit is dropped: the
 * decision is out of date, and the next tick decides again. */
constexpr Duration kMaxRecordDelay = Millis{ 250 };
/** Short enough to show a peak of a few seconds. */
constexpr Duration kCapacityLogInterval = Millis{ 1000 };

} // namespace

const char*
Describe(CordonCause aCause) noexcept
{
  switch (aCause) {
    case CordonCause::kMaintenance:
      return "maintenance";
    case CordonCause::kMove:
      return "move";
    case CordonCause::kSurplus:
      return "surplus";
  }
  return "unknown";
}

InstanceService::InstanceService(Node& aNode,
                                 const InstanceCalls& aCalls,
                                 placement::MaintenanceOptions aMaintenance,
                                 placement::CapacityOptions aCapacity,
                                 Term aTerm,
                                 StageLatencies& aLatencies,
                                 EndedHandler aOnEnded,
                                 ListedHandler aOnListed)
  : m_node(aNode)
  , m_calls(aCalls)
  , m_term(aTerm)
  , m_latencies(aLatencies)
  , m_onEnded(std::move(aOnEnded))
  , m_onListed(std::move(aOnListed))
  , m_movesEnabled(aCapacity.m_mechanisms.Has(placement::Mechanism::kMoves))
  , m_maintenance(aMaintenance)
  , m_capacity(aCapacity)
  , m_orderRecord(aCapacity.m_handoverDelay)
  , m_effects(
      std::make_shared<placement::OrderEffects>(aMaintenance.m_maxOrderDelay))
  , m_tasks(*this)
{
  m_orderRecord.Inherit(m_node.State().RecentOrders(), MonotonicNow());
  InheritEffects();
  m_tasks.add(MaintenanceLoop());
  m_tasks.add(MoveLoop());
  m_tasks.add(ListLoop());
}

// Moves of an earlier leader are left out: they meet only workers without runs.
void
InstanceService::InheritEffects()
{
  for (const auto& [number, wave] : m_node.State().Maintenance()) {
    for (const auto& [instance, step] : wave.m_instances) {
      if (step == fleet::MaintenanceStep::kOrdered) {
        m_effects->Inherit(instance, MonotonicNow());
      }
    }
  }
}

void
InstanceService::taskFailed(kj::Exception&& aException)
{
  LogLine(Level::kWarning, "instance task failed")
    .With("reason", std::string{ aException.getDescription().cStr() })
    .Write();
}

// An order that is delayed meets a state that has changed since the decision.
// Logging how long it waited, and where, distinguishes a slow platform from an
// overloaded leader.
void
InstanceService::LogAnswer(LogLine aLine,
                           const InstanceCalls::Answer& aAnswer,
                           TimePoint aDecidedAt)
{
  const Duration handledAfter = MonotonicNow() - aDecidedAt;
  m_latencies.Observe(Stage::kOrderAnswered, handledAfter);
  aLine.With("answer", placement::Describe(aAnswer.m_answer))
    .With("handledAfterMs", ToMillis(handledAfter).count());
  if (aAnswer.m_sentAfter) {
    m_latencies.Observe(Stage::kOrderSent, *aAnswer.m_sentAfter);
    aLine.With("sentAfterMs", ToMillis(*aAnswer.m_sentAfter).count());
  }
  aLine.Write();
}

void
InstanceService::Tick(const placement::WorkerTable& aWorkers,
                      const placement::DurationEstimator& aDurations,
                      bool aOrdersAllowed,
                      TimePoint aNow,
                      WallTime aWall)
{
  m_cordoned.clear();
  m_previousCordons = std::exchange(m_cordons, {});
  m_capacity.AllowOrders(aOrdersAllowed);
  RequestList(PlanMaintenance(aWorkers, aOrdersAllowed, aNow),
              aWorkers.NeedsList(m_node.State().Jobs(), aNow),
              aNow);
  PlanMoves(aWorkers, aDurations, aNow, aWall);
}

void
InstanceService::CordonWorkers(const std::set<WorkerIncarnation>& aWorkers,
                               CordonCause aCause,
                               TimePoint aNow)
{
  for (const WorkerIncarnation& worker : aWorkers) {
    const auto previous = m_previousCordons.find(worker);
    const bool isOld =
      previous != m_previousCordons.end() && previous->second.m_cause == aCause;
    m_cordons.try_emplace(
      worker, Cordon{ aCause, isOld ? previous->second.m_since : aNow });
    m_cordoned.insert(worker);
  }
}

const Cordon*
InstanceService::FindCordon(const WorkerIncarnation& aWorker) const
{
  const auto found = m_cordons.find(aWorker);
  return found == m_cordons.end() ? nullptr : &found->second;
}

placement::MaintenancePlan
InstanceService::PlanMaintenance(const placement::WorkerTable& aWorkers,
                                 bool aOrdersAllowed,
                                 TimePoint aNow)
{
  placement::MaintenancePlan plan =
    m_maintenance.Next(m_node.State(), aWorkers, aNow);
  CordonWorkers(plan.m_cordoned, CordonCause::kMaintenance, aNow);
  // A step that is proposed but not yet applied would be proposed again.
  if (m_pendingAdvances == 0) {
    for (const placement::MaintenanceAdvance& advance : plan.m_advances) {
      ProposeAdvance(advance);
    }
  }
  if (!m_calls.m_maintenance) {
    return plan;
  }
  for (const placement::MaintenanceOrder& order : plan.m_orders) {
    // The remaining orders stay planned and are checked again before they are
    // sent.
    if (!aOrdersAllowed ||
        m_pendingMaintenance.size() >= placement::kMaxUnansweredOrders) {
      break;
    }
    if (m_pendingMaintenance.emplace(order.m_wave, order.m_instance).second) {
      m_capacity.OnMaintenanceOrders(1);
      m_orderRecord.OnOrdered(order.m_instance);
      m_effects->OnSent(order.m_instance, aNow);
      m_calls.m_maintenance(
        order, m_term, [answers = m_answers, order, aNow](const auto& aAnswer) {
          answers->m_maintenance.Put({ order, aAnswer, aNow });
        });
    }
  }
  return plan;
}

void
InstanceService::ProposeAdvance(const placement::MaintenanceAdvance& aAdvance)
{
  const fleet::AdvanceMaintenance& change = aAdvance.m_change;
  LogLine(Level::kInfo, "maintenance advances")
    .With("wave", change.m_wave)
    .With("ofInstance", change.m_instance.Get())
    .With("to", fleet::Describe(change.m_to))
    .With("because", placement::Describe(aAdvance.m_cause))
    .Write();
  ++m_pendingAdvances;
  // Applying this change records the order; the record stays until the order is
  // answered.
  if (change.m_to == fleet::MaintenanceStep::kOrdered) {
    m_orderRecord.OnOrdered(change.m_instance);
  }
  m_tasks.add(
    m_node.Propose(change).then([this, change](const ProposalResult&) {
      --m_pendingAdvances;
      m_pendingMaintenance.erase({ change.m_wave, change.m_instance });
    }));
}

kj::Promise<void>
InstanceService::MaintenanceLoop()
{
  return m_answers->m_maintenance.Take().then(
    [this](const std::vector<MaintenanceReply>& aReplies) {
      for (const MaintenanceReply& reply : aReplies) {
        HandleReply(reply);
      }
      return MaintenanceLoop();
    });
}

// An answer counts also while this leader does not hold its lease: it may hold
// it again in the same term, and then has to know which orders are over.
void
InstanceService::HandleReply(const MaintenanceReply& aReply)
{
  m_orderRecord.OnAnswered(aReply.m_order.m_instance, MonotonicNow());
  m_effects->OnAnswered(
    aReply.m_order.m_instance, aReply.m_answer.m_answer, MonotonicNow());
  LogAnswer(LogLine(Level::kInfo, "maintenance order answered")
              .With("wave", aReply.m_order.m_wave)
              .With("ofInstance", aReply.m_order.m_instance.Get()),
            aReply.m_answer,
            aReply.m_decidedAt);
  const std::pair order{ aReply.m_order.m_wave, aReply.m_order.m_instance };
  const placement::MaintenanceResult next = m_maintenance.OnAnswer(
    aReply.m_order, aReply.m_answer.m_answer, MonotonicNow());
  if (next.m_endedIncarnation) {
    m_onEnded(*next.m_endedIncarnation, aReply.m_decidedAt);
  }
  // The plan would repeat the order until the change caused by the answer is
  // committed.
  if (next.m_advance) {
    ProposeAdvance(*next.m_advance);
  } else {
    m_pendingMaintenance.erase(order);
  }
}

void
InstanceService::PlanMoves(const placement::WorkerTable& aWorkers,
                           const placement::DurationEstimator& aDurations,
                           TimePoint aNow,
                           WallTime aWall)
{
  if (!m_calls.m_move || !m_movesEnabled) {
    return;
  }
  placement::CapacityPlan plan = m_capacity.Next(m_node.State(),
                                                 aWorkers,
                                                 m_cordoned,
                                                 aDurations,
                                                 m_orderRecord,
                                                 aNow,
                                                 aWall);
  CordonWorkers(plan.m_drained, CordonCause::kSurplus, aNow);
  CordonWorkers(plan.m_cordoned, CordonCause::kMove, aNow);
  LogCapacity(plan.m_pools, aNow);
  for (const placement::MoveOrder& order : plan.m_orders) {
    LogLine line{ Level::kInfo, "moving an instance" };
    line.With("ofInstance", order.m_instance.Get())
      .With("to", order.m_to.Get());
    if (const auto* worker = aWorkers.FindByInstance(order.m_instance)) {
      line.With("from", worker->m_lastReport.m_service.Get())
        .With("reportsForMs", ToMillis(aNow - worker->m_firstReportAt).count());
    }
    line.Write();
  }
  RecordAndSend(plan.m_orders, aNow);
  m_pools = std::move(plan.m_pools);
}

// Orders are committed before they are sent, since a later leader reads from
// the record which instances it must not order again too soon. An order that
// was sent without being committed would be missing there.
void
InstanceService::RecordAndSend(std::vector<placement::MoveOrder> aOrders,
                               TimePoint aDecidedAt)
{
  fleet::RecordOrders record;
  for (const placement::MoveOrder& order : aOrders) {
    record.m_ordered.push_back(order.m_instance);
    m_orderRecord.OnOrdered(order.m_instance);
  }
  record.m_settled = m_orderRecord.TakeExpired(aDecidedAt);
  if (record.m_ordered.empty() && record.m_settled.empty()) {
    return;
  }
  m_pendingMoves += aOrders.size();
  m_tasks.add(
    m_node.Propose(record).then([this, orders = std::move(aOrders), aDecidedAt](
                                  const ProposalResult& aResult) {
      for (const placement::MoveOrder& order : orders) {
        Send(order, aResult.m_effect.has_value(), aDecidedAt);
      }
    }));
}

void
InstanceService::Send(const placement::MoveOrder& aOrder,
                      bool aIsRecorded,
                      TimePoint aDecidedAt)
{
  const bool isLate = MonotonicNow() > aDecidedAt + kMaxRecordDelay;
  const bool leads =
    m_node.IsServing() && m_node.Replica().CurrentTerm() == m_term;
  if (!aIsRecorded || isLate || !leads) {
    HandleReply(MoveReply{
      aOrder, { placement::InstanceAnswer::kNotSent, {} }, aDecidedAt });
    return;
  }
  m_effects->OnSent(aOrder.m_instance, MonotonicNow());
  m_calls.m_move(
    aOrder,
    m_term,
    [answers = m_answers, aOrder, aDecidedAt](const auto& aAnswer) {
      answers->m_moves.Put({ aOrder, aAnswer, aDecidedAt });
    });
}

void
InstanceService::LogCapacity(const std::vector<placement::PoolCapacity>& aPools,
                             TimePoint aNow)
{
  if (aNow < m_nextCapacityLog) {
    return;
  }
  m_nextCapacityLog = aNow + kCapacityLogInterval;
  for (const placement::PoolCapacity& pool : aPools) {
    LogLine(Level::kInfo, "capacity of a pool")
      .With("service", pool.m_service.Get())
      .With("have", pool.m_actual)
      .With("want", pool.m_desired)
      .With("workCoreSeconds", pool.m_workCoreSeconds)
      .With("cores", pool.m_cores)
      .With("usedCores", pool.m_usedCores)
      .With("unplaced", pool.m_unplaced)
      .Write();
  }
}

kj::Promise<void>
InstanceService::MoveLoop()
{
  return m_answers->m_moves.Take().then(
    [this](const std::vector<MoveReply>& aReplies) {
      for (const MoveReply& reply : aReplies) {
        HandleReply(reply);
      }
      return MoveLoop();
    });
}

void
InstanceService::HandleReply(const MoveReply& aReply)
{
  --m_pendingMoves;
  m_orderRecord.OnAnswered(aReply.m_order.m_instance, MonotonicNow());
  m_effects->OnAnswered(
    aReply.m_order.m_instance, aReply.m_answer.m_answer, MonotonicNow());
  LogAnswer(LogLine(Level::kInfo, "move answered")
              .With("ofInstance", aReply.m_order.m_instance.Get())
              .With("to", aReply.m_order.m_to.Get()),
            aReply.m_answer,
            aReply.m_decidedAt);
  if (aReply.m_answer.m_answer != placement::InstanceAnswer::kAccepted) {
    m_nextList = TimePoint{};
  }
  const auto ended = m_capacity.OnAnswer(
    aReply.m_order, aReply.m_answer.m_answer, MonotonicNow());
  if (ended) {
    m_onEnded(*ended, aReply.m_decidedAt);
  }
}

void
InstanceService::RequestList(const placement::MaintenancePlan& aMaintenance,
                             bool aIsWorkerMissing,
                             TimePoint aNow)
{
  if (aIsWorkerMissing) {
    const auto size = static_cast<std::int64_t>(m_listSize);
    const Duration interval =
      std::max(kMissingWorkerListInterval, size * kListIntervalPerInstance);
    m_nextList = std::min<TimePoint>(m_nextList, m_listRequestedAt + interval);
  }
  if (aMaintenance.m_needsInstanceList) {
    m_nextList =
      std::min<TimePoint>(m_nextList, m_listRequestedAt + kUrgentListInterval);
  }
  const bool isNeeded = aMaintenance.m_hasOpenWave || aIsWorkerMissing ||
                        m_node.State().Routes().StandbyPool() != nullptr;
  if (!m_calls.m_list || m_isListPending || aNow < m_nextList || !isNeeded) {
    return;
  }
  m_isListPending = true;
  m_listRequestedAt = aNow;
  m_nextList = aNow + kListInterval;
  m_calls.m_list([answers = m_answers, aNow](auto aInstances) {
    answers->m_lists.Put({ aNow, std::move(aInstances) });
  });
}

kj::Promise<void>
InstanceService::ListLoop()
{
  return m_answers->m_lists.Take().then([this](std::vector<List> aLists) {
    HandleList(std::move(aLists.back()));
    return ListLoop();
  });
}

void
InstanceService::HandleList(List aList)
{
  m_isListPending = false;
  if (!aList.m_instances) {
    return;
  }
  placement::RemoveForeignEntries(*aList.m_instances, m_node.State());
  const placement::InstanceList list{ aList.m_requestedAt,
                                      std::move(aList.m_instances->m_readable),
                                      aList.m_instances->m_unnamedWorkerCount };
  m_listSize = list.m_instances.size();
  const ServiceId* standby = m_node.State().Routes().StandbyPool();
  if (standby != nullptr) {
    m_capacity.OnListed(list.m_instances, *standby, MonotonicNow());
  }
  m_maintenance.OnListed(list);
  m_onListed(list);
}

} // namespace bamboostile::control
