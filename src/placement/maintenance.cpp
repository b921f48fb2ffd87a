#include "bamboostile/placement/maintenance.h"

#include "bamboostile/units/visit.h"

#include <algorithm>
#include <tuple>

namespace bamboostile::placement {

namespace {

std::size_t
LoadOf(const InstanceId& aInstance,
       const jobs::Book& aBook,
       const WorkerTable& aWorkers)
{
  const Worker* worker = aWorkers.FindByInstance(aInstance);
  if (worker == nullptr) {
    return 0;
  }
  const auto placed = aBook.Placed().find(worker->m_last.m_worker);
  return placed == aBook.Placed().end() ? 0 : placed->second.size();
}

bool
HoldsBudgetedTask(const WorkerLife& aWorker, const jobs::Book& aBook)
{
  const auto placed = aBook.Placed().find(aWorker);
  if (placed == aBook.Placed().end()) {
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
Describe(InstanceAnswer aAnswer) noexcept
{
  switch (aAnswer) {
    case InstanceAnswer::kTaken:
      return "taken";
    case InstanceAnswer::kBusy:
      return "the instance is busy";
    case InstanceAnswer::kNotMeant:
      return "not meant for the instance";
    case InstanceAnswer::kOvertaken:
      return "overtaken by a later leader";
    case InstanceAnswer::kNotSent:
      return "given up before it was sent";
    case InstanceAnswer::kUnclear:
      return "no clear answer";
  }
  return "unknown";
}

const char*
Describe(AdvanceCause aCause) noexcept
{
  switch (aCause) {
    case AdvanceCause::kTurn:
      return "its turn has come";
    case AdvanceCause::kTaken:
      return "the order was taken";
    case AdvanceCause::kRefused:
      return "the only order was refused";
    case AdvanceCause::kNotMeant:
      return "the platform does not know it, or not for this wave";
    case AdvanceCause::kListedElsewhere:
      return "listed in another state, with no order on its way";
    case AdvanceCause::kReported:
      return "it has reported since it went down";
    case AdvanceCause::kListedUp:
      return "listed as up since it went down";
  }
  return "unknown";
}

// An order is sent when nothing is lost by it: no long-running task is there
// any more, and what ends by itself has ended or has had its time.
bool
MaintenancePlanner::IsReady(const InstanceId& aInstance,
                            const Waiting& aStep,
                            const fleet::State& aState,
                            const WorkerTable& aWorkers,
                            TimePoint aNow) const
{
  if (!aStep.m_cordonedSince || aWorkers.IsContested(aInstance)) {
    return false;
  }
  const Worker* worker = aWorkers.FindByInstance(aInstance);
  const bool waitedOut = aNow >= *aStep.m_cordonedSince + m_options.m_patience;
  if (worker == nullptr) {
    return waitedOut && aWorkers.KnowsAllLeases(aNow);
  }
  if (HoldsBudgetedTask(worker->m_last.m_worker, aState.Jobs())) {
    return false;
  }
  const bool isEmpty = LoadOf(aInstance, aState.Jobs(), aWorkers) == 0 &&
                       worker->m_last.m_active.empty();
  return isEmpty || waitedOut;
}

MaintenancePlanner::Step
MaintenancePlanner::FollowStep(const Step& aBefore,
                               fleet::MaintenanceStep aNext,
                               TimePoint aNow)
{
  const auto* waiting = std::get_if<Waiting>(&aBefore);
  const auto* ordered = std::get_if<Ordered>(&aBefore);
  if (aNext == fleet::MaintenanceStep::kDown) {
    return std::holds_alternative<Down>(aBefore) ? aBefore : Down{ aNow };
  }
  if (aNext == fleet::MaintenanceStep::kWaiting) {
    Waiting next;
    next.m_notBefore = ordered == nullptr ? TimePoint{} : ordered->m_notBefore;
    return waiting == nullptr ? next : *waiting;
  }
  Ordered next;
  const bool isOwn = waiting != nullptr && waiting->m_hasTurn;
  next.m_isRepeated = !isOwn;
  next.m_aimedAt = isOwn ? waiting->m_aimedAt : std::nullopt;
  next.m_unclearAt = aNow;
  return ordered == nullptr ? next : *ordered;
}

void
MaintenancePlanner::FollowSteps(const fleet::State& aState, TimePoint aNow)
{
  auto before = std::exchange(m_steps, {});
  for (const auto& [number, wave] : aState.Maintenance()) {
    for (const auto& [instance, step] : wave.m_instances) {
      const MaintenanceOrder key{ number, instance };
      const bool isOver = step == fleet::MaintenanceStep::kDone ||
                          step == fleet::MaintenanceStep::kSkipped;
      if (!isOver) {
        m_steps.emplace(key, FollowStep(before[key], step, aNow));
      }
    }
  }
}

// An order that an earlier leader left open is repeated, but not onto what was
// placed there since: the instance gets nothing new from the first moment on,
// and long-running tasks leave it first. Without both, the order would take
// several tasks of one step away at once. A worker that this leader has not
// heard yet may run some, until the leases of earlier leaders have ended.
void
MaintenancePlanner::PlanOrdered(const MaintenanceOrder& aOrder,
                                const Ordered& aStep,
                                const fleet::State& aState,
                                const WorkerTable& aWorkers,
                                TimePoint aNow,
                                MaintenancePlan& aPlan)
{
  const Worker* worker = aWorkers.FindByInstance(aOrder.m_instance);
  const auto& lives = aWorkers.LivesOf(aOrder.m_instance);
  aPlan.m_cordoned.insert(lives.begin(), lives.end());
  const bool isQuietOver =
    aNow >= aWorkers.LeaderSince() + m_options.m_quietAfterElection;
  const bool isFree =
    worker == nullptr
      ? aWorkers.KnowsAllLeases(aNow)
      : !HoldsBudgetedTask(worker->m_last.m_worker, aState.Jobs());
  if (isQuietOver && isFree && !aWorkers.IsContested(aOrder.m_instance) &&
      aNow >= aStep.m_notBefore) {
    aPlan.m_orders.push_back(aOrder);
  }
}

// A report that was sent before the instance went down may come this late. An
// earlier one is worth a look at the platform's list, which alone tells of
// instances that are off.
void
MaintenancePlanner::PlanDown(const MaintenanceOrder& aOrder,
                             const Down& aStep,
                             const WorkerTable& aWorkers,
                             TimePoint aNow,
                             MaintenancePlan& aPlan)
{
  const Worker* worker = aWorkers.FindByInstance(aOrder.m_instance);
  const bool isHeard =
    worker != nullptr && !worker->m_silent && worker->m_heardAt > aStep.m_since;
  const bool isProof =
    isHeard &&
    worker->m_heardAt > aStep.m_since + aWorkers.Options().m_lateReports;
  if (isProof || aStep.m_isListedUp) {
    aPlan.m_advances.push_back(
      { { aOrder.m_wave, aOrder.m_instance, fleet::MaintenanceStep::kDone },
        aStep.m_isListedUp ? AdvanceCause::kListedUp
                           : AdvanceCause::kReported });
    return;
  }
  const bool isExpected = isHeard || aNow >= aStep.m_since + m_options.m_takes;
  aPlan.m_wantsList =
    aPlan.m_wantsList ||
    (isExpected && aNow < aStep.m_since + m_options.m_listFor);
}

void
MaintenancePlanner::PlanTurns(const fleet::MaintenanceWave& aWave,
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
                           LoadOf(aInstance, aState.Jobs(), aWorkers));
  };
  std::sort(
    waiting.begin(), waiting.end(), [&](const auto& aLeft, const auto& aRight) {
      return rank(aLeft) < rank(aRight);
    });
  waiting.resize(
    std::min(waiting.size(), aCaps.RoomIn(aWave) + m_options.m_ahead));
  for (const InstanceId& instance : waiting) {
    Waiting& step = stepOf(instance);
    step.m_cordonedSince = step.m_cordonedSince.value_or(aNow);
    const auto& lives = aWorkers.LivesOf(instance);
    aPlan.m_cordoned.insert(lives.begin(), lives.end());
    if (!aCaps.MayGoDown(instance) ||
        !IsReady(instance, step, aState, aWorkers, aNow)) {
      continue;
    }
    aCaps.OnDown(instance);
    const Worker* worker = aWorkers.FindByInstance(instance);
    step.m_hasTurn = true;
    step.m_aimedAt = worker == nullptr
                       ? std::nullopt
                       : std::optional{ worker->m_last.m_worker };
    aPlan.m_advances.push_back(
      { { aWave.m_number, instance, fleet::MaintenanceStep::kOrdered },
        AdvanceCause::kTurn });
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
  aPlan.m_isOpen = true;
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
  if (aNow >= aWorkers.LeaderSince() + m_options.m_quietAfterElection) {
    PlanTurns(aWave, aState, aWorkers, aNow, aCaps, aPlan);
  }
}

MaintenancePlan
MaintenancePlanner::Next(const fleet::State& aState,
                         const WorkerTable& aWorkers,
                         TimePoint aNow)
{
  MaintenancePlan plan;
  FollowSteps(aState, aNow);
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

// "Busy" and "taken" to a repeated order may both be about the earlier sending,
// so neither tells what became of this one.
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
    case InstanceAnswer::kTaken:
      result.m_ended = aStep.m_isRepeated ? std::nullopt : aStep.m_aimedAt;
      advance(fleet::MaintenanceStep::kDown, AdvanceCause::kTaken);
      aStep.m_isRepeated = true;
      break;
    case InstanceAnswer::kBusy:
      if (const auto cause = OnBusy(aStep, aNow)) {
        advance(fleet::MaintenanceStep::kWaiting, *cause);
      }
      break;
    case InstanceAnswer::kNotMeant:
      advance(fleet::MaintenanceStep::kSkipped, AdvanceCause::kNotMeant);
      break;
    case InstanceAnswer::kUnclear:
      aStep.m_isRepeated = true;
      aStep.m_unclearAt = aNow;
      aStep.m_isElsewhere = false;
      break;
    case InstanceAnswer::kNotSent:
    case InstanceAnswer::kOvertaken:
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
  return aStep.m_isElsewhere ? std::optional{ AdvanceCause::kListedElsewhere }
                             : std::nullopt;
}

void
MaintenancePlanner::OnListed(const InstanceList& aList)
{
  std::map<InstanceId, InstanceState> states;
  for (const ListedInstance& one : aList.m_instances) {
    states.emplace(one.m_id, one.m_state);
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
      const bool isElsewhere =
        state == InstanceState::kMoving || state == InstanceState::kDown;
      ordered->m_isElsewhere =
        isElsewhere && aList.m_askedAt >=
                         ordered->m_unclearAt + m_options.m_quietAfterElection;
    }
  }
}

} // namespace bamboostile::placement
