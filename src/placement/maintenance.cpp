#include "bamboostile/placement/maintenance.h"

#include "bamboostile/units/visit.h"

#include <algorithm>
#include <tuple>

namespace bamboostile::placement {

namespace {

std::size_t
CountTasks(const InstanceId& aInstance,
           const jobs::JobTable& aBook,
           const WorkerTable& aWorkers)
{
  const Worker* worker = aWorkers.FindByInstance(aInstance);
  if (worker == nullptr) {
    return 0;
  }
  const auto placed = aBook.TasksByWorker().find(worker->m_lastReport.m_worker);
  return placed == aBook.TasksByWorker().end() ? 0 : placed->second.size();
}

bool
HasLongRunningTask(const WorkerIncarnation& aWorker,
                   const jobs::JobTable& aBook)
{
  const auto placed = aBook.TasksByWorker().find(aWorker);
  if (placed == aBook.TasksByWorker().end()) {
    return false;
  }
  return std::any_of(
    placed->second.begin(), placed->second.end(), [&](const auto& aTask) {
      const jobs::Job* job = aBook.Find(aTask.m_job);
      return job->m_state == jobs::JobState::kActive &&
             job->m_spec.m_steps[aTask.m_step].m_longRunning;
    });
}

} // namespace

const char*
Describe(AdvanceCause aCause) noexcept
{
  switch (aCause) {
    case AdvanceCause::kScheduled:
      return "ready to go down, within the cap";
    case AdvanceCause::kTaken:
      return "the order was accepted";
    case AdvanceCause::kRefused:
      return "the only order was refused";
    case AdvanceCause::kNotMeant:
      return "unknown to the platform, or not part of this wave";
    case AdvanceCause::kListedInOtherState:
      return "listed in another state, with no order in flight";
    case AdvanceCause::kReported:
      return "it has reported since it went down";
    case AdvanceCause::kListedUp:
      return "listed as up since it went down";
  }
  return "unknown";
}

// To avoid losing work, an instance is ready only once it holds no long-running
// task and its other tasks have ended or the drain timeout has passed.
bool
MaintenancePlanner::IsReady(const InstanceId& aInstance,
                            const Waiting& aStep,
                            const fleet::State& aState,
                            const WorkerTable& aWorkers,
                            TimePoint aNow) const
{
  if (!aStep.m_cordonedSince || aWorkers.IsAmbiguous(aInstance)) {
    return false;
  }
  const Worker* worker = aWorkers.FindByInstance(aInstance);
  const bool hasTimedOut =
    aNow >= *aStep.m_cordonedSince + m_options.m_drainTimeout;
  if (worker == nullptr) {
    return hasTimedOut && aWorkers.KnowsAllLeases(aNow);
  }
  if (HasLongRunningTask(worker->m_lastReport.m_worker, aState.Jobs())) {
    return false;
  }
  const bool isEmpty = CountTasks(aInstance, aState.Jobs(), aWorkers) == 0 &&
                       worker->m_lastReport.m_active.empty();
  return isEmpty || hasTimedOut;
}

MaintenancePlanner::Step
MaintenancePlanner::NextStep(const Step& aPrevious,
                             fleet::MaintenanceStep aNext,
                             TimePoint aNow)
{
  const auto* waiting = std::get_if<Waiting>(&aPrevious);
  const auto* ordered = std::get_if<Ordered>(&aPrevious);
  if (aNext == fleet::MaintenanceStep::kDown) {
    return std::holds_alternative<Down>(aPrevious) ? aPrevious : Down{ aNow };
  }
  if (aNext == fleet::MaintenanceStep::kWaiting) {
    Waiting next;
    next.m_notBefore = ordered == nullptr ? TimePoint{} : ordered->m_notBefore;
    return waiting == nullptr ? next : *waiting;
  }
  Ordered next;
  const bool isOwnOrder = waiting != nullptr && waiting->m_isScheduled;
  next.m_isRepeated = !isOwnOrder;
  next.m_targetIncarnation =
    isOwnOrder ? waiting->m_targetIncarnation : std::nullopt;
  next.m_lastUnclearAt = aNow;
  return ordered == nullptr ? next : *ordered;
}

void
MaintenancePlanner::SyncSteps(const fleet::State& aState, TimePoint aNow)
{
  auto previous = std::exchange(m_steps, {});
  for (const auto& [number, wave] : aState.Maintenance()) {
    for (const auto& [instance, step] : wave.m_instances) {
      const MaintenanceOrder key{ number, instance };
      const bool isOver = step == fleet::MaintenanceStep::kDone ||
                          step == fleet::MaintenanceStep::kSkipped;
      if (!isOver) {
        m_steps.emplace(key, NextStep(previous[key], step, aNow));
      }
    }
  }
}

// Repeats an order that an earlier leader left open, without hitting tasks
// placed there since: the instance is cordoned at once, and long-running tasks
// are moved away first. Without both, the order would take down several tasks
// of one step at once. A worker that has not reported to this leader yet may
// run some until the leases of earlier leaders have ended.
void
MaintenancePlanner::PlanOrdered(const MaintenanceOrder& aOrder,
                                const Ordered& aStep,
                                const fleet::State& aState,
                                const WorkerTable& aWorkers,
                                TimePoint aNow,
                                MaintenancePlan& aPlan)
{
  const Worker* worker = aWorkers.FindByInstance(aOrder.m_instance);
  const auto& incarnations = aWorkers.IncarnationsOf(aOrder.m_instance);
  aPlan.m_cordoned.insert(incarnations.begin(), incarnations.end());
  const bool mayOrder =
    aNow >= aWorkers.LeaderSince() + m_options.m_maxOrderDelay;
  const bool isDrained =
    worker == nullptr
      ? aWorkers.KnowsAllLeases(aNow)
      : !HasLongRunningTask(worker->m_lastReport.m_worker, aState.Jobs());
  if (mayOrder && isDrained && !aWorkers.IsAmbiguous(aOrder.m_instance) &&
      aNow >= aStep.m_notBefore) {
    aPlan.m_orders.push_back(aOrder);
  }
}

// A report proves that the instance is back only if it comes later than
// `m_maxReportDelay` after the instance went down: before that it may have been
// sent earlier and delayed. Such a report still makes reading the platform's
// list worthwhile, which is the only evidence for instances that are off.
void
MaintenancePlanner::PlanDown(const MaintenanceOrder& aOrder,
                             const Down& aStep,
                             const WorkerTable& aWorkers,
                             TimePoint aNow,
                             MaintenancePlan& aPlan)
{
  const Worker* worker = aWorkers.FindByInstance(aOrder.m_instance);
  const bool hasReported = worker != nullptr && !worker->m_isLost &&
                           worker->m_lastReportAt > aStep.m_since;
  const bool isConclusive =
    hasReported && worker->m_lastReportAt >
                     aStep.m_since + aWorkers.Options().m_maxReportDelay;
  if (isConclusive || aStep.m_isListedUp) {
    aPlan.m_advances.push_back(
      { { aOrder.m_wave, aOrder.m_instance, fleet::MaintenanceStep::kDone },
        aStep.m_isListedUp ? AdvanceCause::kListedUp
                           : AdvanceCause::kReported });
    return;
  }
  const bool isExpected =
    hasReported || aNow >= aStep.m_since + m_options.m_expectedDowntime;
  aPlan.m_needsInstanceList =
    aPlan.m_needsInstanceList ||
    (isExpected && aNow < aStep.m_since + m_options.m_listPollWindow);
}

void
MaintenancePlanner::ScheduleWaiting(const fleet::MaintenanceWave& aWave,
                                    const fleet::State& aState,
                                    const WorkerTable& aWorkers,
                                    TimePoint aNow,
                                    WaveCaps& aCaps,
                                    MaintenancePlan& aPlan)
{
  const auto stepOf = [&](const InstanceId& aInstance) -> Waiting& {
    return std::get<Waiting>(m_steps.at({ aWave.m_number, aInstance }));
  };
  std::vector<InstanceId> waiting;
  for (const auto& [instance, step] : aWave.m_instances) {
    if (step == fleet::MaintenanceStep::kWaiting && !aCaps.IsDown(instance) &&
        aNow >= stepOf(instance).m_notBefore) {
      waiting.push_back(instance);
    }
  }
  const auto rank = [&](const InstanceId& aInstance) {
    return std::make_tuple(!stepOf(aInstance).m_cordonedSince.has_value(),
                           aWorkers.FindByInstance(aInstance) == nullptr,
                           CountTasks(aInstance, aState.Jobs(), aWorkers));
  };
  std::sort(
    waiting.begin(), waiting.end(), [&](const auto& aLeft, const auto& aRight) {
      return rank(aLeft) < rank(aRight);
    });
  waiting.resize(std::min(waiting.size(),
                          aCaps.RemainingIn(aWave) + m_options.m_drainAhead));
  for (const InstanceId& instance : waiting) {
    Waiting& step = stepOf(instance);
    step.m_cordonedSince = step.m_cordonedSince.value_or(aNow);
    const auto& incarnations = aWorkers.IncarnationsOf(instance);
    aPlan.m_cordoned.insert(incarnations.begin(), incarnations.end());
    if (!aCaps.CanTakeDown(instance) ||
        !IsReady(instance, step, aState, aWorkers, aNow)) {
      continue;
    }
    aCaps.MarkDown(instance);
    const Worker* worker = aWorkers.FindByInstance(instance);
    step.m_isScheduled = true;
    step.m_targetIncarnation =
      worker == nullptr ? std::nullopt
                        : std::optional{ worker->m_lastReport.m_worker };
    aPlan.m_advances.push_back(
      { { aWave.m_number, instance, fleet::MaintenanceStep::kOrdered },
        AdvanceCause::kScheduled });
  }
}

void
MaintenancePlanner::PlanWave(const fleet::MaintenanceWave& aWave,
                             const fleet::State& aState,
                             const WorkerTable& aWorkers,
                             TimePoint aNow,
                             WaveCaps& aCaps,
                             MaintenancePlan& aPlan)
{
  aPlan.m_hasOpenWave = true;
  for (const auto& [instance, state] : aWave.m_instances) {
    const MaintenanceOrder order{ aWave.m_number, instance };
    const auto step = m_steps.find(order);
    if (step == m_steps.end()) {
      continue;
    }
    std::visit(Overloaded{ [](const Waiting&) {},
                           [&](const Ordered& aStep) {
                             PlanOrdered(
                               order, aStep, aState, aWorkers, aNow, aPlan);
                           },
                           [&](const Down& aStep) {
                             PlanDown(order, aStep, aWorkers, aNow, aPlan);
                           } },
               step->second);
  }
  if (aNow >= aWorkers.LeaderSince() + m_options.m_maxOrderDelay) {
    ScheduleWaiting(aWave, aState, aWorkers, aNow, aCaps, aPlan);
  }
}

MaintenancePlan
MaintenancePlanner::Next(const fleet::State& aState,
                         const WorkerTable& aWorkers,
                         TimePoint aNow)
{
  MaintenancePlan plan;
  SyncSteps(aState, aNow);
  WaveCaps caps(aState.Maintenance());
  for (const auto& [number, wave] : aState.Maintenance()) {
    if (!wave.IsDone()) {
      PlanWave(wave, aState, aWorkers, aNow, caps, plan);
    }
  }
  return plan;
}

MaintenanceResult
MaintenancePlanner::OnAnswer(const MaintenanceOrder& aOrder,
                             InstanceAnswer aAnswer,
                             TimePoint aNow)
{
  const auto found = m_steps.find(aOrder);
  auto* step =
    found == m_steps.end() ? nullptr : std::get_if<Ordered>(&found->second);
  return step == nullptr ? MaintenanceResult{}
                         : OnAnswer(aOrder, *step, aAnswer, aNow);
}

// If an order was repeated, "busy" and "accepted" may both refer to the earlier
// transmission, so neither shows the outcome of this one.
MaintenanceResult
MaintenancePlanner::OnAnswer(const MaintenanceOrder& aOrder,
                             Ordered& aStep,
                             InstanceAnswer aAnswer,
                             TimePoint aNow) const
{
  MaintenanceResult result;
  const auto advance = [&](fleet::MaintenanceStep aTo, AdvanceCause aCause) {
    result.m_advance =
      MaintenanceAdvance{ { aOrder.m_wave, aOrder.m_instance, aTo }, aCause };
  };
  switch (aAnswer) {
    case InstanceAnswer::kAccepted:
      result.m_endedIncarnation =
        aStep.m_isRepeated ? std::nullopt : aStep.m_targetIncarnation;
      advance(fleet::MaintenanceStep::kDown, AdvanceCause::kTaken);
      aStep.m_isRepeated = true;
      break;
    case InstanceAnswer::kBusy:
      if (const auto cause = OnBusy(aStep, aNow)) {
        advance(fleet::MaintenanceStep::kWaiting, *cause);
      }
      break;
    case InstanceAnswer::kNotApplicable:
      advance(fleet::MaintenanceStep::kSkipped, AdvanceCause::kNotMeant);
      break;
    case InstanceAnswer::kUnclear:
      aStep.m_isRepeated = true;
      aStep.m_lastUnclearAt = aNow;
      aStep.m_isInOtherState = false;
      break;
    case InstanceAnswer::kNotSent:
    case InstanceAnswer::kSuperseded:
      break;
  }
  return result;
}

std::optional<AdvanceCause>
MaintenancePlanner::OnBusy(Ordered& aStep, TimePoint aNow) const
{
  aStep.m_notBefore = aNow + m_options.m_retryAfter;
  if (!aStep.m_isRepeated) {
    return AdvanceCause::kRefused;
  }
  return aStep.m_isInOtherState
           ? std::optional{ AdvanceCause::kListedInOtherState }
           : std::nullopt;
}

void
MaintenancePlanner::OnListed(const InstanceList& aList)
{
  std::map<InstanceId, InstanceState> states;
  for (const ListedInstance& instance : aList.m_instances) {
    states.emplace(instance.m_id, instance.m_state);
  }
  for (auto& [order, step] : m_steps) {
    const auto found = states.find(order.m_instance);
    if (found == states.end()) {
      continue;
    }
    const InstanceState state = found->second;
    if (auto* down = std::get_if<Down>(&step)) {
      down->m_isListedUp =
        down->m_isListedUp ||
        (state == InstanceState::kUp && aList.m_askedAt >= down->m_since);
    } else if (auto* ordered = std::get_if<Ordered>(&step)) {
      const bool isInOtherState =
        state == InstanceState::kMoving || state == InstanceState::kDown;
      ordered->m_isInOtherState =
        isInOtherState &&
        aList.m_askedAt >= ordered->m_lastUnclearAt + m_options.m_maxOrderDelay;
    }
  }
}

} // namespace bamboostile::placement
