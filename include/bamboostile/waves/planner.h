#pragma once

#include "bamboostile/fleet/state.h"

#include <functional>

namespace bamboostile::waves {

/** How much of a service may be out, and what takes it up already. */
struct Budget
{
  std::size_t m_instances = 0;
  /** Floor of the service's share. */
  std::size_t m_allowed = 0;
  /** Out for any reason but a wave. */
  std::size_t m_unplanned = 0;
  std::size_t m_outByWaves = 0;
  /** The largest rack still in service, kept free so that it may fail. */
  std::size_t m_reserve = 0;

  /** Instances that waves may have out together. */
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
  /** Rounds of at most Limit() instances, each drained and restarted. */
  std::size_t m_rounds = 0;
  /** Empty if the wave can go on. */
  std::string m_blocked;
};

Preview PreviewWave(const fleet::State& aState, const PoolId& aPool);

/** What the leader sees besides the state. */
struct Observed
{
  /** No entry sends to the instance and nothing is under way there. */
  std::function<bool(const fleet::Instance&)> m_isEmpty;
};

/**
 * @brief The next steps of all running waves, as commands for the log.
 *
 * Asked again after each change; since every step names the step it starts
 * from, a proposal made twice, or by two leaders, counts once.
 */
std::vector<fleet::Command> NextSteps(const fleet::State& aState,
                                      const Observed& aObserved);

/** Instances that wait to be restarted by the platform. */
std::vector<const fleet::Instance*> Released(const fleet::State& aState);

} // namespace bamboostile::waves
