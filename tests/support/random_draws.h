#pragma once

#include "simulated_pool.h"

#include <numeric>

/** Draws pools and their work at random. */
namespace random_draws {

using namespace bamboostile;
using namespace bamboostile::jobs;
using simulated_pool::PoolOptions;
using simulated_pool::SimulatedPool;

class Dice
{
public:
  explicit Dice(unsigned aSeed)
    : m_random(aSeed)
  {
  }
  std::uint32_t Between(std::uint32_t aMin, std::uint32_t aMax)
  {
    return aMin + static_cast<std::uint32_t>(m_random() % (aMax - aMin + 1));
  }
  Millis Time(std::uint32_t aMin, std::uint32_t aMax)
  {
    return Millis{ Between(aMin, aMax) };
  }
  bool OneIn(std::uint32_t aCount) { return Between(1, aCount) == 1; }
  /** Returns aCount of the numbers below aAll: a block or any of them. */
  std::vector<std::uint32_t> Some(std::uint32_t aCount,
                                  std::uint32_t aAll,
                                  bool aIsBlock)
  {
    std::vector<std::uint32_t> all(aAll);
    std::iota(all.begin(), all.end(), 0);
    if (aIsBlock) {
      std::rotate(all.begin(), all.begin() + Between(0, aAll - 1), all.end());
    } else {
      std::shuffle(all.begin(), all.end(), m_random);
    }
    all.resize(std::min(aAll, std::max(1U, aCount)));
    return all;
  }

private:
  std::mt19937 m_random;
};

inline PoolOptions
DrawPool(Dice& aDice, unsigned aSeed)
{
  PoolOptions options;
  options.m_seed = aSeed;
  options.m_workers = aDice.Between(6, aDice.OneIn(3) ? 100 : 30);
  const std::uint32_t cores = 1U << aDice.Between(2, 6);
  options.m_capacity = { cores * 1'000, cores * aDice.Between(1, 8) * 512, 0 };
  options.m_restartTakes = aDice.Time(500, 4'000);
  options.m_crashAfter = aDice.Time(10, 1'500);
  options.m_keepsIds = aDice.OneIn(4);
  options.m_stopTakes = Millis{ aDice.OneIn(2) ? 0 : 500 };
  options.m_answerTakes = aDice.Time(20, 150);
  if (aDice.OneIn(4)) {
    options.m_listTakes.reset();
  }
  return options;
}

/** Draws pools that exchange instances, most with standby. They are small, so
 * that long-running tasks cannot spread over workers that a pool no longer
 * needs. */
inline PoolOptions
DrawPools(Dice& aDice, unsigned aSeed)
{
  PoolOptions options = DrawPool(aDice, aSeed);
  options.m_workers = aDice.Between(3, 8);
  for (std::uint32_t i = aDice.Between(1, 3); i > 0; --i) {
    options.m_otherPools.push_back(aDice.Between(3, 8));
  }
  options.m_spares = aDice.OneIn(6) ? 0 : aDice.Between(20, 80);
  return options;
}

/** Draws a worker with aMin to aMax percent of each resource. */
inline Resources
DrawWorker(Dice& aDice,
           const Resources& aMean,
           std::uint32_t aMin,
           std::uint32_t aMax)
{
  return { aMean.m_cpuMillis * aDice.Between(aMin, aMax) / 100,
           aMean.m_memoryMb * aDice.Between(aMin, aMax) / 100,
           0 };
}

/** Draws a task that needs aMin to aMax percent of a worker. */
inline StepSpec
DrawStep(Dice& aDice,
         const Resources& aWorker,
         std::uint32_t aMin,
         std::uint32_t aMax)
{
  StepSpec step = job_fixtures::Step(
    1, aWorker.m_cpuMillis * aDice.Between(aMin, aMax) / 100);
  step.m_resources.m_memoryMb =
    aWorker.m_memoryMb * aDice.Between(aMin, aMax) / 100;
  return step;
}

inline StepSpec
DrawLongRunning(Dice& aDice, const PoolOptions& aPool)
{
  StepSpec step = DrawStep(aDice, aPool.m_capacity, 2, 75);
  step.m_longRunning = true;
  step.m_count = aDice.Between(1, aPool.m_workers);
  step.m_maxPerWorker = aDice.Between(0, 1);
  if (aDice.OneIn(3)) {
    step.m_disruptionBudget = aDice.Between(1, 1 + step.m_count / 4);
  }
  return step;
}

/** Other work of one queue: at a constant rate, or by turns. */
class OtherWork
{
public:
  /** aMaxLoad: the most work, in percent of what the first pool can do. */
  OtherWork(Dice& aDice,
            const PoolOptions& aPool,
            std::uint32_t aQueue = 0,
            std::uint32_t aMaxLoad = 130)
    : m_queue(aQueue)
    , m_cpuPerMs(std::int64_t{ aPool.m_workers } *
                 aPool.m_capacity.m_cpuMillis * aDice.Between(0, aMaxLoad) /
                 100)
  {
    for (std::uint32_t i = aDice.Between(1, 3); i > 0; --i) {
      StepSpec& kind = m_kinds.emplace_back(
        DrawStep(aDice, aPool.m_capacity, aDice.OneIn(2) ? 10 : 20, 50));
      kind.m_estimate = aDice.Time(300, 3'000);
      kind.m_count =
        aDice.Between(1 + aPool.m_workers / 10, 1 + aPool.m_workers / 4);
    }
  }

  /** From now on, the rate is a twentieth of its mean but for one turn in
   * aTurns of aTime each, which has the rest. */
  void ComeByTurns(std::uint32_t aTurns, std::uint32_t aFirst, Millis aTime)
  {
    m_turns = aTurns;
    m_firstTurn = aFirst;
    m_turnTakes = aTime;
  }

  /** Submits the work of the next aTime. */
  void Submit(SimulatedPool& aPool, Millis aTime)
  {
    constexpr std::int64_t kQuietDivisor = 20;
    const std::int64_t turn = aPool.Now() / m_turnTakes;
    const bool isQuiet = m_turns > 1 && turn % m_turns != m_firstTurn;
    const std::int64_t rate =
      isQuiet ? m_cpuPerMs / kQuietDivisor : m_cpuPerMs * m_turns;
    for (m_owed += rate * aTime.count(); m_owed > 0; ++m_submitted) {
      const StepSpec& kind = m_kinds[m_submitted % m_kinds.size()];
      aPool.Submit("other" + std::to_string(m_queue) + "-" +
                     std::to_string(m_submitted),
                   job_fixtures::Spec({ kind }),
                   "",
                   m_queue);
      m_owed -= std::int64_t{ kind.m_count } * kind.m_resources.m_cpuMillis *
                kind.m_estimate.count();
    }
  }

private:
  std::uint32_t m_queue;
  std::uint32_t m_turns = 1;
  std::uint32_t m_firstTurn = 0;
  Millis m_turnTakes{ 1 };
  std::int64_t m_cpuPerMs;
  std::vector<StepSpec> m_kinds;
  std::int64_t m_owed = 0;
  std::size_t m_submitted = 0;
};

} // namespace random_draws
