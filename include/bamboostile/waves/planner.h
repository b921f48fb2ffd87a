#pragma once

#include "bamboostile/fleet/state.h"

#include <functional>

namespace bamboostile::waves {

/** How many instances of a service may be out of service, and how many are. */
struct Budget
{
  std::size_t m_instances = 0;
  /** The service's maximum unavailable share, rounded down. */
  std::size_t m_allowed = 0;
  /** Instances that are out for another reason than a wave. */
  std::size_t m_unplanned = 0;
  std::size_t m_outByWaves = 0;
  /** Size of the largest rack in service, reserved so that it may fail. */
  std::size_t m_reserve = 0;

  /** The maximum number of instances that all waves together may take out. */
  std::size_t Limit() const
  {
    const std::size_t taken = m_unplanned + m_reserve;
    return m_allowed > taken ? m_allowed - taken : 0;
  }
};

Budget ComputeBudget(const fleet::State& aState, const ServiceId& aService);

struct Preview
{
  Budget m_budget;
  std::size_t m_steps = 0;
  /** Number of rounds, each draining and restarting up to Limit() instances. */
  std::size_t m_rounds = 0;
  /** Why the wave cannot proceed; empty if it can. */
  std::string m_blocked;
};

Preview PreviewWave(const fleet::State& aState, const PoolId& aPool);

/** The leader's observations that are not part of the replicated state. */
struct Observations
{
  /** Whether no entry routes to the instance and it has no request left. */
  std::function<bool(const fleet::Instance&)> m_isEmpty;
};

/**
 * @brief Returns the next steps of all open waves, as commands for the log.
 *
 * Called again after each change. Every command names the step it starts from,
 * so a command proposed twice, or by two leaders, takes effect once.
 */
std::vector<fleet::Command> NextSteps(const fleet::State& aState,
                                      const Observations& aObserved);

/** Returns the instances that the platform is to restart. */
std::vector<const fleet::Instance*> AwaitingRestart(const fleet::State& aState);

} // namespace bamboostile::waves
