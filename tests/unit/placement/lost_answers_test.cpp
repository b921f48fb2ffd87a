#include "simulated_pool.h"

#include "check.h"

#include <algorithm>
#include <numeric>

using namespace bamboostile;
using namespace bamboostile::jobs;
using namespace job_fixtures;
using simulated_pool::PoolOptions;
using simulated_pool::SimulatedPool;

namespace {

constexpr Millis kTick{ 50 };
constexpr Millis kStartup{ 5'000 };
constexpr Millis kRestart{ 1'500 };
constexpr Millis kOutage{ 4'000 };
constexpr Millis kPause{ 4'000 };
constexpr Millis kObserved{ 20'000 };
constexpr std::uint32_t kAll = 100;
constexpr jobs::Resources kWorker{ 64'000, 262'144, 0 };
constexpr std::uint32_t kTasksOfJob = 8;
/** Each worker starts a short task this often on average: more than half of its
 * CPU is in use. */
constexpr Millis kTimePerTask{ 360 };
/** A long-running task must not be without a run for longer, once nothing has
 * been lost for kCalm. */
constexpr Millis kMaxWithoutRun{ 6'000 };
constexpr Millis kCalm{ 7'000 };

} // namespace

TEST_GROUP(LostAnswers)
{
  std::uint32_t m_tasks = 0;
  std::uint32_t m_workers = 0;
  Millis m_owed{};
  std::uint32_t m_jobs = 0;
  std::vector<Millis> m_withoutRun;
  Millis m_calm{};
  std::size_t m_overdue = 0;

  void SubmitShortTasks(SimulatedPool & aPool)
  {
    m_owed += kTick * m_workers;
    for (; m_owed >= kTimePerTask * kTasksOfJob;
         m_owed -= kTimePerTask * kTasksOfJob) {
      StepSpec step = Step(kTasksOfJob, 8'100);
      step.m_resources.m_memoryMb = 23'000;
      step.m_estimate = Millis{ 1'700 };
      aPool.Submit("short" + std::to_string(m_jobs++), Spec({ step }));
    }
  }

  void Pass(SimulatedPool & aPool, Millis aTime, bool aIsCalm)
  {
    for (Millis passed{}; passed < aTime; passed += kTick) {
      SubmitShortTasks(aPool);
      aPool.Pass(kTick);
      m_calm = aIsCalm ? m_calm + kTick : Millis{};
      for (std::uint32_t i = 0; i < m_tasks; ++i) {
        const bool runs = aPool.WorkerOf(Ref("lasting", i)).has_value();
        m_withoutRun[i] = runs ? Millis{} : m_withoutRun[i] + kTick;
        m_overdue += m_calm >= kCalm && m_withoutRun[i] >= kMaxWithoutRun;
      }
    }
  }

  /** Each time, aPercent of the workers crash, and no answer arrives for a
   * while. */
  void PlayOutages(std::uint32_t aWorkers, std::uint32_t aPercent, int aTimes)
  {
    PoolOptions options;
    options.m_workers = aWorkers;
    options.m_capacity = kWorker;
    options.m_answerTakes = kTick;
    options.m_keepEnded = kOutage;
    SimulatedPool pool{ options };
    std::minstd_rand random{ 1 };
    m_workers = aWorkers;
    m_tasks = aWorkers / 3;
    m_withoutRun.assign(m_tasks, Millis{});
    StepSpec step = Step(m_tasks, 8'800);
    step.m_resources.m_memoryMb = 62'000;
    step.m_longRunning = true;
    step.m_maxPerWorker = 1;
    pool.Submit("lasting", Spec({ step }));
    Pass(pool, kStartup, true);
    std::vector<std::uint32_t> workers(aWorkers);
    std::iota(workers.begin(), workers.end(), 0);
    for (int i = 0; i < aTimes; ++i) {
      std::shuffle(workers.begin(), workers.end(), random);
      for (std::uint32_t w = 0; w < aWorkers * aPercent / 100; ++w) {
        pool.CrashWorker(workers[w], kRestart);
      }
      pool.SetAnswersLost(kAll);
      Pass(pool, kOutage, false);
      pool.SetAnswersLost(0);
      Pass(pool, i + 1 < aTimes ? kPause : kObserved, true);
    }
    LONGS_EQUAL(0, m_overdue);
    CHECK(pool.StateOf("lasting") == JobState::kActive);
  }
};

// Guards against workers that count as ignoring their starts because a fault of
// the network has lost the answers to all of them.
TEST(LostAnswers, MostWorkersCrashInASeriesOfOutages_TasksReturnInCalm)
{
  PlayOutages(40, 90, 6);
}

TEST(LostAnswers, SmallPoolLosesAnswersAndWorkers_TasksReturnInCalm)
{
  PlayOutages(24, 40, 4);
}
