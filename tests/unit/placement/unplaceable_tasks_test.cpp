#include "simulated_pool.h"

#include "check.h"

using namespace bamboostile;
using namespace bamboostile::jobs;
using namespace job_fixtures;
using simulated_pool::PoolOptions;
using simulated_pool::SimulatedPool;

namespace {

constexpr std::uint32_t kWorkers = 5;
constexpr std::uint32_t kLargeTasks = 3;
/** A long-running task that waits is placed within this time. */
constexpr Millis kMaxWait{ 6'000 };
/** A long-running task whose worker was lost runs again within this time. */
constexpr Millis kMaxWithoutRun{ 9'000 };

PoolOptions
PoolWithStandby()
{
  PoolOptions options;
  options.m_workers = kWorkers;
  options.m_spares = 10;
  options.m_capacity = { 16'000, 10'000, 0 };
  return options;
}

StepSpec
LongRunning(std::uint32_t aCount, std::uint32_t aMemoryMb)
{
  StepSpec step = Step(aCount, 100);
  step.m_resources.m_memoryMb = aMemoryMb;
  step.m_longRunning = true;
  return step;
}

} // namespace

// Small tasks leave each worker of the pool less memory than a large one needs,
// though fewer workers would do if the tasks were packed anew.
TEST_GROUP(UnplaceableTasks)
{
  SimulatedPool m_pool{ PoolWithStandby() };

  void setup() override
  {
    m_pool.Pass(Millis{ 500 });
    m_pool.Submit("small", Spec({ LongRunning(kWorkers, 4'000) }));
    m_pool.Pass(Millis{ 3'000 });
    StepSpec large = LongRunning(kLargeTasks, 7'000);
    large.m_maxPerWorker = 1;
    m_pool.Submit("large", Spec({ large }));
  }
};

// Guards against a pool that is large enough by its sums, while its workers
// cannot take the task.
TEST(UnplaceableTasks, PoolIsFragmented_TaskGetsAnotherWorker)
{
  m_pool.Pass(kMaxWait);
  LONGS_EQUAL(kLargeTasks, m_pool.RunningTasksOf("large").size());
}

// Guards against the same wait after the loss of a worker.
TEST(UnplaceableTasks, WorkerOfFragmentedPoolIsLost_TaskRestartsOnAnother)
{
  constexpr Millis kIsDown{ 60'000 };
  m_pool.Pass(kMaxWait);
  m_pool.CrashWorker(*m_pool.WorkerOf(Ref("large", 0)), kIsDown);
  m_pool.Pass(kMaxWithoutRun);
  LONGS_EQUAL(kLargeTasks, m_pool.RunningTasksOf("large").size());
}
