#include "simulated_pool.h"

#include "check.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

using namespace bamboostile;
using namespace bamboostile::jobs;
using namespace job_fixtures;
using simulated_pool::PoolOptions;
using simulated_pool::SimulatedPool;

namespace {

/** A long-running task that can run must not be without a run for longer. */
constexpr Millis kMaxAbsence{ 9'000 };
constexpr Millis kTick{ 10 };
constexpr Millis kRestart{ 2'500 };
constexpr Millis kMinute{ 60'000 };

/** A pool that runs one long-running task, and the longest time that the task
 * has been without a run. */
class PoolWithLastingTask
{
public:
  explicit PoolWithLastingTask(unsigned aSeed, std::uint32_t aWorkers = 24)
    : m_pool(OptionsOf(aSeed, aWorkers))
    , m_random(aSeed)
    , m_workers(aWorkers)
  {
    StepSpec step = Step(1);
    step.m_longRunning = true;
    m_pool.Submit("lasting", Spec({ step }));
    m_pool.Pass(kRestart);
  }

  void Pass(Millis aTime)
  {
    for (Millis passed{}; passed < aTime; passed += kTick) {
      m_pool.Pass(kTick);
      Observe();
    }
  }

  /** Crashes the task's worker within a second of the task's start. */
  void CrashUnderTask()
  {
    while (!m_pool.WorkerOf(m_task) && m_absence < kMinute) {
      Pass(kTick);
    }
    Pass(Millis{ m_random() % 1'000 });
    if (const auto worker = m_pool.WorkerOf(m_task)) {
      m_pool.CrashWorker(*worker, kRestart);
    }
  }

  /** Crashes a worker that doesn't run the task. */
  void CrashOther()
  {
    const std::uint32_t worker = m_random() % m_workers;
    if (m_pool.WorkerOf(m_task) != worker) {
      m_pool.CrashWorker(worker, kRestart);
    }
  }

  void CrashOthersEach(Millis aPeriod)
  {
    for (Millis passed{}; passed < kMinute; passed += aPeriod) {
      Pass(aPeriod);
      CrashOther();
    }
  }

  Millis LongestAbsence() const { return std::max(m_longest, m_absence); }
  JobState State() const { return m_pool.StateOf("lasting"); }

private:
  const Task& TaskState() const
  {
    return m_pool.JobOf("lasting").m_occurrences.at(0).m_steps[0].TaskAt(0);
  }

  // A start that was under way when its worker was lost counts as a run: that
  // loss is the task's own.
  void Observe()
  {
    const Task& task = TaskState();
    const RunNumber placed =
      task.m_phase == TaskPhase::kRunning ? task.m_lastRun : RunNumber{};
    const RunNumber before = std::exchange(m_placed, placed);
    const bool isActive = m_pool.WorkerOf(m_task).has_value();
    const bool isStartLost =
      before != RunNumber{} && before != placed && before != m_lastActive;
    const bool isStarting = placed != RunNumber{} && placed != m_lastActive;
    m_lastActive = isActive ? task.m_lastRun : m_lastActive;
    m_absence = isStartLost ? Millis{} : m_absence + kTick;
    if (isActive || !isStarting) {
      m_longest = std::max(m_longest, m_absence);
    }
    m_absence = isActive ? Millis{} : m_absence;
  }

  static PoolOptions OptionsOf(unsigned aSeed, std::uint32_t aWorkers)
  {
    PoolOptions options;
    options.m_workers = aWorkers;
    options.m_seed = aSeed;
    return options;
  }

  const TaskRef m_task{ JobId{ "lasting" }, 0, 0, 0 };
  SimulatedPool m_pool;
  std::minstd_rand m_random;
  std::uint32_t m_workers;
  RunNumber m_lastActive;
  RunNumber m_placed;
  Millis m_absence{};
  Millis m_longest{};
};

unsigned
SeedCount()
{
  const char* seedCount = std::getenv("BAMBOOSTILE_SEEDS");
  return seedCount == nullptr ? 10U : std::strtoul(seedCount, nullptr, 10);
}

void
CheckReturnsAmongLosses(unsigned aSeed, Millis aPeriod, std::uint32_t aWorkers)
{
  PoolWithLastingTask pool{ aSeed, aWorkers };
  for (int i = 0; i < 3; ++i) {
    pool.CrashUnderTask();
  }
  pool.CrashOthersEach(aPeriod);
  const std::string name = "seed " + std::to_string(aSeed) + ", a loss each " +
                           std::to_string(aPeriod.count()) + " ms, " +
                           std::to_string(aWorkers) + " workers";
  STRCMP_EQUAL_TEXT("active", Describe(pool.State()), name.c_str());
  CHECK_COMPARE_TEXT(
    pool.LongestAbsence().count(), <=, kMaxAbsence.count(), name.c_str());
}

} // namespace

TEST_GROUP(Absence){};

// Guards against a task that was lost with three workers and then stays away
// for as long as workers that run nothing of it go on being lost.
TEST(Absence, OtherWorkersAreLostAllTheTime_TaskReturns)
{
  CheckReturnsAmongLosses(1, Millis{ 2'000 }, 24);
  CheckReturnsAmongLosses(1, Millis{ 2'500 }, 24);
}

// The same where losses are so frequent, or the pool is so small, that none of
// the task's losses can be told apart from the others.
TEST(Absence, OtherWorkersAreLostMoreOften_TaskReturns)
{
  for (unsigned seed = 1; seed <= SeedCount(); ++seed) {
    CheckReturnsAmongLosses(seed, Millis{ 2'000 }, 24);
    CheckReturnsAmongLosses(seed, Millis{ 2'500 }, 24);
    CheckReturnsAmongLosses(seed, Millis{ 1'000 }, 24);
    CheckReturnsAmongLosses(seed, Millis{ 2'000 }, 8);
  }
}
