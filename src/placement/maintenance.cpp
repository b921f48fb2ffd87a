#include "bamboostile/placement/maintenance.h"

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
    case AdvanceCause::kReported:
      return "it has reported since it went down";
    case AdvanceCause::kWaitedOut:
      return "twice the usual time has passed";
  }
  return "unknown";
}

// An order is sent when nothing is lost by it: no long-running task is there
// any more, and what ends by itself has ended or has had its time.
bool
MaintenancePlanner::IsReady(const InstanceId& aInstance,
                            const fleet::State& aState,
                            const WorkerTable& aWorkers,
                            TimePoint aNow) const
{
  const auto since = m_cordonedSince.find(aInstance);
  if (since == m_cordonedSince.end() || aWorkers.IsContested(aInstance)) {
    return false;
  }
  const Worker* worker = aWorkers.FindByInstance(aInstance);
  const bool waitedOut = aNow >= since->second + m_options.m_patience;
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

// A worker that still reports shows that its instance is up. One of a pool that
// is switched off never will; it counts as back after twice the usual time.
std::optional<AdvanceCause>
MaintenancePlanner::IsBack(const InstanceId& aInstance,
                           const WorkerTable& aWorkers,
                           TimePoint aNow)
{
  const TimePoint since =
    m_downSince.try_emplace(aInstance, aNow).first->second;
  const Worker* worker = aWorkers.FindByInstance(aInstance);
  const bool reports = worker != nullptr && !worker->m_silent &&
                       worker->m_heardAt > since + m_options.m_lateReports;
  if (reports) {
    return AdvanceCause::kReported;
  }
  return aNow >= since + 2 * m_options.m_takes
           ? std::optional{ AdvanceCause::kWaitedOut }
           : std::nullopt;
}

// An order that an earlier leader left open is repeated, but not onto what was
// placed there since: the instance gets nothing new from the first moment on,
// and long-running tasks leave it first. Without both, the order would take
// several tasks of one step away at once. A worker that this leader has not
// heard yet may run some, until the leases of earlier leaders have ended.
//
// "Busy" and "taken" to such an order may both be about the earlier sending, so
// neither tells what became of this one.
void
MaintenancePlanner::PlanOpenOrder(const MaintenanceOrder& aOrder,
                                  const fleet::State& aState,
                                  const WorkerTable& aWorkers,
                                  TimePoint aNow,
                                  MaintenancePlan& aPlan)
{
  if (!m_ownOrders.contains(aOrder.m_instance)) {
    m_unclear.insert(aOrder.m_instance);
  }
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
      !Rests(aOrder.m_instance, aNow)) {
    aPlan.m_orders.push_back(aOrder);
  }
}

void
MaintenancePlanner::PlanWave(const fleet::MaintenanceWave& aWave,
                             const fleet::State& aState,
                             const WorkerTable& aWorkers,
                             TimePoint aNow,
                             MaintenancePlan& aPlan)
{
  std::size_t down = aWave.Down();
  std::vector<InstanceId> waiting;
  for (const auto& [instance, step] : aWave.m_instances) {
    if (step == fleet::MaintenanceStep::kOrdered) {
      PlanOpenOrder(
        { aWave.m_number, instance }, aState, aWorkers, aNow, aPlan);
    } else if (step == fleet::MaintenanceStep::kDown) {
      if (const auto cause = IsBack(instance, aWorkers, aNow)) {
        aPlan.m_advances.push_back(
          { { aWave.m_number, instance, fleet::MaintenanceStep::kDone },
            *cause });
      }
    } else if (step == fleet::MaintenanceStep::kWaiting &&
               !Rests(instance, aNow)) {
      waiting.push_back(instance);
    }
  }
  if (aNow < aWorkers.LeaderSince() + m_options.m_quietAfterElection) {
    return;
  }
  const auto rank = [&](const InstanceId& aInstance) {
    return std::make_tuple(!m_cordonedSince.contains(aInstance),
                           aWorkers.FindByInstance(aInstance) == nullptr,
                           LoadOf(aInstance, aState.Jobs(), aWorkers));
  };
  std::sort(
    waiting.begin(), waiting.end(), [&](const auto& aLeft, const auto& aRight) {
      return rank(aLeft) < rank(aRight);
    });
  const std::size_t room =
    aWave.m_cap > down ? aWave.m_cap - down : std::size_t{ 0 };
  waiting.resize(std::min(waiting.size(), room + m_options.m_ahead));
  for (const InstanceId& instance : waiting) {
    m_cordonedSince.try_emplace(instance, aNow);
    const auto& lives = aWorkers.LivesOf(instance);
    aPlan.m_cordoned.insert(lives.begin(), lives.end());
    if (down < aWave.m_cap && IsReady(instance, aState, aWorkers, aNow)) {
      ++down;
      TakeTurn(aWave, instance, aWorkers, aPlan);
    }
  }
}

void
MaintenancePlanner::TakeTurn(const fleet::MaintenanceWave& aWave,
                             const InstanceId& aInstance,
                             const WorkerTable& aWorkers,
                             MaintenancePlan& aPlan)
{
  m_ownOrders.insert(aInstance);
  const Worker* worker = aWorkers.FindByInstance(aInstance);
  if (worker != nullptr && !m_unclear.contains(aInstance)) {
    m_aimedAt[aInstance] = worker->m_last.m_worker;
  }
  aPlan.m_advances.push_back(
    { { aWave.m_number, aInstance, fleet::MaintenanceStep::kOrdered },
      AdvanceCause::kTurn });
}

bool
MaintenancePlanner::Rests(const InstanceId& aInstance, TimePoint aNow) const
{
  const auto notBefore = m_notBefore.find(aInstance);
  return notBefore != m_notBefore.end() && aNow < notBefore->second;
}

MaintenancePlan
MaintenancePlanner::Next(const fleet::State& aState,
                         const WorkerTable& aWorkers,
                         TimePoint aNow)
{
  MaintenancePlan plan;
  for (const auto& [number, wave] : aState.Maintenance()) {
    if (!wave.IsDone()) {
      PlanWave(wave, aState, aWorkers, aNow, plan);
    }
  }
  return plan;
}

MaintenanceResult
MaintenancePlanner::OnAnswer(const MaintenanceOrder& aOrder,
                             InstanceAnswer aAnswer,
                             TimePoint aNow)
{
  const InstanceId& instance = aOrder.m_instance;
  const auto advance = [&](fleet::MaintenanceStep aTo, AdvanceCause aCause) {
    m_cordonedSince.erase(instance);
    return MaintenanceAdvance{ { aOrder.m_wave, instance, aTo }, aCause };
  };
  MaintenanceResult result;
  switch (aAnswer) {
    case InstanceAnswer::kTaken: {
      const auto aimed = m_aimedAt.find(instance);
      if (aimed != m_aimedAt.end()) {
        result.m_ended = aimed->second;
      }
      // Of an earlier wave.
      m_downSince.erase(instance);
      result.m_advance =
        advance(fleet::MaintenanceStep::kDown, AdvanceCause::kTaken);
      break;
    }
    case InstanceAnswer::kBusy:
      // Busy may mean that an earlier sending is being obeyed; the instance
      // goes on counting as down until the answer is clear.
      m_notBefore[instance] = aNow + m_options.m_retryAfter;
      if (m_unclear.contains(instance)) {
        break;
      }
      result.m_advance =
        advance(fleet::MaintenanceStep::kWaiting, AdvanceCause::kRefused);
      break;
    case InstanceAnswer::kNotMeant:
      result.m_advance =
        advance(fleet::MaintenanceStep::kSkipped, AdvanceCause::kNotMeant);
      break;
    case InstanceAnswer::kUnclear:
      m_aimedAt.erase(instance);
      m_unclear.insert(instance);
      break;
    case InstanceAnswer::kNotSent:
    case InstanceAnswer::kOvertaken:
      break;
  }
  if (result.m_advance) {
    m_aimedAt.erase(instance);
    m_unclear.erase(instance);
    m_ownOrders.erase(instance);
  }
  return result;
}

} // namespace bamboostile::placement
