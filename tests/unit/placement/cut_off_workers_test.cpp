#include "simulated_pool.h"

#include "check.h"

using namespace bamboostile;
using namespace bamboostile::jobs;
using namespace job_fixtures;
using simulated_pool::kCrashFirst;
using simulated_pool::PoolOptions;
using simulated_pool::SimulatedPool;

namespace {

/** Longer than a lease: each run on the worker ends by itself. */
constexpr Millis kCut{ 7'000 };
/** The worker is cut off once its run is this old. */
constexpr Millis kRunsBefore{ 1'000 };
constexpr Millis kStep{ 100 };
constexpr int kCuts = 9;
/** Number of crashes after which a job must have been given up. */
constexpr std::uint32_t kMaxCrashes = 5;

PoolOptions
WithStartTimes()
{
  PoolOptions options;
  options.m_workers = 8;
  options.m_keepsIds = true;
  return options;
}

StepSpec
LongTask()
{
  StepSpec step = Step(1);
  step.m_estimate = Millis{ 25'000 };
  return step;
}

} // namespace

TEST_GROUP(CutOffWorkers)
{
  SimulatedPool m_pool{ WithStartTimes() };

  /** Cuts off, one after the other, the workers that run the task. */
  void CutRunners(const TaskRef& aTask, bool aReplacesLeader = false)
  {
    for (int cut = 0; cut < kCuts; ++cut) {
      for (Millis waited{}; waited < kCut && !m_pool.WorkerOf(aTask);
           waited += kStep) {
        m_pool.Pass(kStep);
      }
      m_pool.Pass(kRunsBefore);
      if (const auto worker = m_pool.WorkerOf(aTask)) {
        m_pool.CutWorker(*worker, kCut);
        m_pool.Pass(kRunsBefore);
        if (aReplacesLeader) {
          m_pool.ReplaceLeader(kRunsBefore);
        }
        m_pool.Pass(kCut - kRunsBefore);
      }
    }
  }

  void CheckActiveAfterCuts(const char* aJob, const StepSpec& aStep)
  {
    m_pool.Submit(aJob, Spec({ aStep }));
    CutRunners(Ref(aJob));
    STRCMP_EQUAL("active", Describe(m_pool.StateOf(aJob)));
    m_pool.Pass(kCut);
    LONGS_EQUAL(0, m_pool.CountTasksWithLosses());
  }

  static void CheckGivenUpDuringCuts(Millis aCrashAfter)
  {
    for (unsigned seed = 1; seed <= 10; ++seed) {
      PoolOptions options = WithStartTimes();
      options.m_seed = seed;
      options.m_crashAfter = aCrashAfter;
      SimulatedPool pool{ options };
      JobSpec crashing = Spec({ LongTask() });
      crashing.m_payload = kCrashFirst;
      pool.Submit("bad", crashing);
      pool.Submit("good", Spec({ LongTask() }));
      for (std::uint32_t second = 0; second < 90; ++second) {
        if (second % 8 == 0) {
          pool.CutWorker(second / 8 % options.m_workers, kCut);
        }
        pool.Pass(Millis{ 1'000 });
      }
      STRCMP_EQUAL("failed", Describe(pool.StateOf("bad")));
      CHECK_COMPARE(pool.RecordOf(Ref("bad")).m_crashes, <=, kMaxCrashes);
      STRCMP_EQUAL("completed", Describe(pool.StateOf("good")));
    }
  }
};

// Guards against a healthy job that fails because workers under it were cut
// off and ran on.
TEST(CutOffWorkers, HealthyTaskIsCutOffOften_JobIsNotGivenUp)
{
  CheckActiveAfterCuts("job", LongTask());
}

// The same for a task that starts again on each worker.
TEST(CutOffWorkers, LongRunningTaskIsCutOffOften_JobIsNotGivenUp)
{
  StepSpec step = Step(1);
  step.m_longRunning = true;
  CheckActiveAfterCuts("job", step);
}

// Guards against losses that stay because the leader that noticed them is gone
// when their worker reports again.
TEST(CutOffWorkers, LeaderChangesDuringEachCut_JobIsNotGivenUp)
{
  m_pool.Submit("job", Spec({ LongTask() }));
  CutRunners(Ref("job"), true);
  STRCMP_EQUAL("active", Describe(m_pool.StateOf("job")));
}

// Guards against a job that crashes its workers and is not given up, because
// other workers are cut off at the same time and report again.
TEST(CutOffWorkers, TaskCrashesWorkersDuringCuts_JobIsGivenUpWithinBound)
{
  CheckGivenUpDuringCuts(PoolOptions{}.m_crashAfter);
}

// The same for a task that crashes its workers after reports have shown it.
TEST(CutOffWorkers, TaskCrashesWorkersLateDuringCuts_JobIsGivenUpWithinBound)
{
  CheckGivenUpDuringCuts(Millis{ 1'500 });
}
