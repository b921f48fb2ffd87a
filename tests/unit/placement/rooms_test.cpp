#include "simulated_pool.h"

#include "check.h"

#include <cstdlib>

using namespace bamboostile;
using namespace bamboostile::jobs;
using namespace job_fixtures;
using simulated_pool::PoolOptions;
using simulated_pool::SimulatedPool;

namespace {

std::uint32_t
RandomBelow(std::minstd_rand& aRandom, std::uint32_t aLimit)
{
  return static_cast<std::uint32_t>(aRandom()) % aLimit;
}

} // namespace

TEST_GROUP(WorkerCapacityLimit){
  static StepSpec StepWithNeeds(std::uint32_t aCount,
                                Resources aNeeds){ StepSpec step = Step(aCount);
step.m_resources = aNeeds;
return step;
}

/** A job with a random kind of step and random needs. */
static JobSpec
RandomJob(std::minstd_rand& aRandom)
{
  const std::uint32_t cpu = 500 + RandomBelow(aRandom, 6000);
  const std::uint32_t memory = 100 + RandomBelow(aRandom, 12'000);
  StepSpec step = StepWithNeeds(1 + RandomBelow(aRandom, 6),
                                { cpu, memory, RandomBelow(aRandom, 3) });
  switch (RandomBelow(aRandom, 6)) {
    case 0:
      step.m_longRunning = true;
      break;
    case 1:
      step.m_gang = true;
      break;
    case 2:
      step.m_bestEffort = true;
      break;
    default:
      break;
  }
  step.m_estimate = Millis{ 300 + RandomBelow(aRandom, 3000) };
  return Spec({ step, Step(2, 2000) });
}

static Resources
RandomCapacity(std::minstd_rand& aRandom)
{
  return { 4000 + RandomBelow(aRandom, 12'000),
           8000 + RandomBelow(aRandom, 24'000),
           RandomBelow(aRandom, 5) };
}

static void
InjectFault(SimulatedPool& aPool,
            const PoolOptions& aOptions,
            std::minstd_rand& aRandom)
{
  const std::uint32_t worker = RandomBelow(aRandom, aOptions.m_workers);
  switch (RandomBelow(aRandom, 8)) {
    case 0:
    case 1:
      aPool.Resize(worker, RandomCapacity(aRandom));
      break;
    case 2:
      aPool.CrashWorker(worker, Millis{ 300 + RandomBelow(aRandom, 3000) });
      break;
    case 3:
      aPool.CutWorker(worker, Millis{ 500 + RandomBelow(aRandom, 6000) });
      break;
    case 4:
      aPool.DelayReport(worker, Millis{ RandomBelow(aRandom, 2900) });
      break;
    case 5:
      if (RandomBelow(aRandom, 4) == 0) {
        aPool.ReplaceLeader(Millis{ 300 + RandomBelow(aRandom, 1500) });
      }
      break;
    default:
      break;
  }
}
}
;

// Guards against overloading a worker beyond its reported capacity in any
// series of starts, cancellations, gangs, capacity changes, worker restarts,
// network cuts and leader changes, also if a job is removed before its runs
// end.
TEST(WorkerCapacityLimit, RandomFaults_NoStartExceedsWorkerCapacity)
{
  const char* seedCount = std::getenv("BAMBOOSTILE_SEEDS");
  const unsigned seeds = seedCount == nullptr ? 10 : std::stoul(seedCount);
  for (unsigned seed = 1; seed <= seeds; ++seed) {
    std::minstd_rand random{ seed };
    PoolOptions options;
    options.m_seed = seed;
    options.m_workers = 6;
    options.m_capacity = { 16'000, 32'000, 4 };
    options.m_keepsIds = seed % 2 == 0;
    options.m_stopTakes = Millis{ 900 };
    options.m_keepEnded = Millis{ seed % 3 == 0 ? 200 : 60'000 };
    SimulatedPool pool{ options };
    for (int i = 0; i < 200; ++i) {
      pool.Submit("job" + std::to_string(i), RandomJob(random));
      pool.Pass(Millis{ 200 });
      if (random() % 2 == 0) {
        pool.Cancel("job" + std::to_string(random() % (i + 1)));
      }
      InjectFault(pool, options, random);
    }
    const std::string name = "seed " + std::to_string(seed);
    LONGS_EQUAL_TEXT(0, pool.CountStartsOverRoom(), name.c_str());
  }
}
