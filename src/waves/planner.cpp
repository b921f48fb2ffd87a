#include "bamboostile/waves/planner.h"

#include <algorithm>

namespace bamboostile::waves {

namespace {

using fleet::Instance;
using fleet::State;
using fleet::Wave;
using fleet::WaveInstance;
using fleet::WaveState;
using fleet::WaveStep;

constexpr std::size_t kPercent = 100;

bool
IsUnavailableUnplanned(const State& aState, const Instance& aInstance)
{
  const auto pool = aState.Pools().find(*aInstance.m_pool);
  const bool draining = pool != aState.Pools().end() && pool->second.m_draining;
  return aInstance.m_lost || aInstance.m_cordoned || draining ||
         aInstance.m_announced.m_state == fleet::InstanceState::kLeaving;
}

bool
IsReturned(const Instance& aInstance, const WaveInstance& aStep)
{
  return aInstance.m_announced.m_incarnation > aStep.m_releasedIncarnation &&
         !aInstance.m_lost &&
         aInstance.m_announced.m_state == fleet::InstanceState::kUp;
}

const ServiceId*
ServiceOf(const State& aState, const PoolId& aPool)
{
  const auto pool = aState.Pools().find(aPool);
  return pool == aState.Pools().end() ? nullptr : &pool->second.m_service;
}

std::optional<WaveStep>
NextStep(const Instance& aInstance,
         const WaveInstance& aStep,
         const Observations& aObserved)
{
  switch (aStep.m_step) {
    case WaveStep::kDraining:
      // A lost instance has no requests to wait for.
      if (aInstance.m_lost || aObserved.m_isEmpty(aInstance)) {
        return WaveStep::kReleased;
      }
      return std::nullopt;
    case WaveStep::kReleased:
      return IsReturned(aInstance, aStep) ? std::optional{ WaveStep::kReturned }
                                          : std::nullopt;
    case WaveStep::kWaiting:
    case WaveStep::kReturned:
    case WaveStep::kFailed:
      break;
  }
  return std::nullopt;
}

/** Returns the waiting instances, those first whose rack already has instances
 * out, so that as few failure domains as possible are weakened at a time. */
std::vector<InstanceId>
WaitingByRack(const State& aState, const Wave& aWave)
{
  std::set<RackId> startedRacks;
  std::vector<InstanceId> waiting;
  for (const auto& [id, step] : aWave.m_instances) {
    const auto instance = aState.Instances().find(id);
    if (instance == aState.Instances().end()) {
      continue;
    }
    if (step.m_step == WaveStep::kWaiting) {
      waiting.push_back(id);
    } else if (instance->second.m_wave) {
      startedRacks.insert(instance->second.m_announced.m_rack);
    }
  }
  const auto rack = [&](const InstanceId& aId) -> const RackId& {
    return aState.Instances().at(aId).m_announced.m_rack;
  };
  std::sort(waiting.begin(),
            waiting.end(),
            [&](const InstanceId& aLeft, const InstanceId& aRight) {
              const bool left = startedRacks.contains(rack(aLeft));
              const bool right = startedRacks.contains(rack(aRight));
              if (left != right) {
                return left;
              }
              return std::tie(rack(aLeft), aLeft) <
                     std::tie(rack(aRight), aRight);
            });
  return waiting;
}

std::string
BrakeReason(const Budget& aBudget)
{
  if (aBudget.m_unplanned + aBudget.m_outByWaves <= aBudget.m_allowed) {
    return {};
  }
  return std::to_string(aBudget.m_unplanned) + " out unplanned and " +
         std::to_string(aBudget.m_outByWaves) + " by waves exceed " +
         std::to_string(aBudget.m_allowed) + " allowed";
}

} // namespace

Budget
ComputeBudget(const State& aState, const ServiceId& aService)
{
  Budget budget;
  std::map<RackId, std::size_t> racks;
  for (const auto& [id, instance] : aState.Instances()) {
    if (!instance.m_pool || instance.m_announced.m_service != aService) {
      continue;
    }
    ++budget.m_instances;
    if (instance.m_wave) {
      ++budget.m_outByWaves;
    } else if (IsUnavailableUnplanned(aState, instance)) {
      ++budget.m_unplanned;
    } else {
      ++racks[instance.m_announced.m_rack];
    }
  }
  const auto service = aState.Services().find(aService);
  if (service == aState.Services().end()) {
    return budget;
  }
  budget.m_allowed =
    budget.m_instances * service->second.m_maxUnavailablePercent / kPercent;
  if (service->second.m_surviveRack) {
    for (const auto& [rack, count] : racks) {
      budget.m_reserve = std::max(budget.m_reserve, count);
    }
  }
  return budget;
}

Preview
PreviewWave(const State& aState, const PoolId& aPool)
{
  Preview preview;
  const ServiceId* service = ServiceOf(aState, aPool);
  if (service == nullptr) {
    preview.m_blocked = "the pool does not exist";
    return preview;
  }
  preview.m_budget = ComputeBudget(aState, *service);
  for (const auto& [id, instance] : aState.Instances()) {
    preview.m_steps += instance.m_pool == aPool ? 1 : 0;
  }
  const std::size_t limit = preview.m_budget.Limit();
  if (limit == 0) {
    preview.m_blocked =
      "of " + std::to_string(preview.m_budget.m_instances) + " instances " +
      std::to_string(preview.m_budget.m_allowed) + " may be out; " +
      std::to_string(preview.m_budget.m_unplanned) +
      " are out unplanned and the largest rack keeps " +
      std::to_string(preview.m_budget.m_reserve);
    return preview;
  }
  preview.m_rounds = (preview.m_steps + limit - 1) / limit;
  return preview;
}

std::vector<fleet::Command>
NextSteps(const State& aState, const Observations& aObserved)
{
  std::vector<fleet::Command> commands;
  std::map<ServiceId, Budget> budgets;
  for (const auto& [id, wave] : aState.Waves()) {
    const ServiceId* service = ServiceOf(aState, wave.m_pool);
    if (service == nullptr) {
      continue;
    }
    const bool open = wave.m_state == WaveState::kRunning ||
                      wave.m_state == WaveState::kPaused ||
                      wave.m_state == WaveState::kBraked;
    if (!open) {
      continue;
    }
    // Instances that are already out return even while the wave is paused or
    // braked: keeping them out would use up budget without benefit.
    bool ended = true;
    for (const auto& [instanceId, step] : wave.m_instances) {
      const auto instance = aState.Instances().find(instanceId);
      if (instance == aState.Instances().end()) {
        continue;
      }
      if (const auto next = NextStep(instance->second, step, aObserved)) {
        commands.push_back(
          fleet::AdvanceWave{ id, instanceId, step.m_step, *next });
      }
      ended = ended && (step.m_step == WaveStep::kReturned ||
                        step.m_step == WaveStep::kFailed);
    }
    if (wave.m_state != WaveState::kRunning) {
      continue;
    }
    if (ended) {
      commands.push_back(fleet::CloseWave{ id, WaveState::kDone, "" });
      continue;
    }
    const auto [budget, isNew] =
      budgets.try_emplace(*service, ComputeBudget(aState, *service));
    const std::string reason = BrakeReason(budget->second);
    if (!reason.empty()) {
      commands.push_back(fleet::CloseWave{ id, WaveState::kBraked, reason });
      continue;
    }
    for (const InstanceId& next : WaitingByRack(aState, wave)) {
      if (budget->second.m_outByWaves >= budget->second.Limit()) {
        break;
      }
      ++budget->second.m_outByWaves;
      commands.push_back(fleet::AdvanceWave{
        id, next, WaveStep::kWaiting, WaveStep::kDraining });
    }
  }
  return commands;
}

std::vector<const Instance*>
AwaitingRestart(const State& aState)
{
  std::vector<const Instance*> released;
  for (const auto& [id, wave] : aState.Waves()) {
    for (const auto& [instanceId, step] : wave.m_instances) {
      const auto instance = aState.Instances().find(instanceId);
      const bool waits = step.m_step == WaveStep::kReleased &&
                         instance != aState.Instances().end() &&
                         instance->second.m_announced.m_incarnation ==
                           step.m_releasedIncarnation;
      if (waits && instance->second.m_wave == id) {
        released.push_back(&instance->second);
      }
    }
  }
  return released;
}

} // namespace bamboostile::waves
