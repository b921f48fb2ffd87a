#include "simulated_pool.h"

#include "check.h"

#include <algorithm>
#include <cstdlib>
#include <numeric>

using namespace bamboostile;
using namespace bamboostile::jobs;
using namespace job_fixtures;
using simulated_pool::kCrashFirst;
using simulated_pool::PoolOptions;
using simulated_pool::SimulatedPool;

namespace {

constexpr Millis kTick{ 50 };
constexpr Millis kStartup{ 3'000 };
constexpr Millis kRestart{ 1'500 };
constexpr Millis kCut{ 3'000 };
constexpr Millis kElection{ 1'000 };
/** Time that is observed after the last crash. */
constexpr Millis kObserved{ 30'000 };
/** A long-running task must not be without a run for longer, once nothing has
 * been lost for kCalm. Starts that never ran do not count as runs. */
constexpr Millis kMaxWithoutRun{ 9'000 };
constexpr Millis kCalm{ 7'000 };
constexpr std::uint32_t kMaxStartsAfterThreeCrashes = 2;

/** A step of long-running tasks, and crashes of a share of its workers. */
struct Series
{
  std::uint32_t m_workers = 62;
  std::uint32_t m_tasks = 24;
  std::uint32_t m_crashes = 12;
  std::uint32_t m_percent = 50;
  /** The mean; each is between half of it and one and a half. */
  Millis m_period{ 2'000 };
  /** A new leader takes over after the last crash. */
  bool m_replacesLeader = false;
  bool m_cutsEveryOther = false;
  bool m_keepsIds = false;
  /** Jobs whose first task crashes its workers, one each time. */
  bool m_hasCrashingJobs = false;
  /** Retry delays depend on the name. */
  const char* m_job = "lasting";
};

class PoolInSeries
{
public:
  PoolInSeries(const Series& aSeries, unsigned aSeed)
    : m_series(aSeries)
    , m_pool(OptionsOf(aSeries, aSeed))
    , m_random(aSeed)
    , m_withoutRun(aSeries.m_tasks)
  {
    StepSpec step = Step(m_series.m_tasks);
    step.m_longRunning = true;
    m_pool.Submit(m_series.m_job, Spec({ step }));
    m_pool.Pass(kStartup);
  }

  void Play()
  {
    const auto period = static_cast<std::uint32_t>(m_series.m_period.count());
    for (std::uint32_t i = 0; i < m_series.m_crashes; ++i) {
      LoseWorkers(m_series.m_cutsEveryOther && i % 2 == 1);
      if (i + 1 < m_series.m_crashes) {
        SubmitCrashingJob(i);
        Pass(Millis{ period / 2 + m_random() % period });
      }
    }
    if (m_series.m_replacesLeader) {
      m_pool.ReplaceLeader(kElection);
    }
    Pass(kObserved);
  }

  std::size_t CountOverdue() const { return m_overdue.size(); }
  Millis LongestOverdue() const { return m_longestOverdue; }
  JobState State() const { return m_pool.StateOf(m_series.m_job); }
  std::uint32_t StartsAfterThreeCrashes() const
  {
    return m_pool.MostStartsAfterThreeCrashes();
  }
  std::size_t CountFailed() const
  {
    return m_pool.CountJobs(JobState::kFailed);
  }
  std::uint32_t CountTwice() const { return m_pool.CountTwice(); }

private:
  void LoseWorkers(bool aIsCut)
  {
    std::vector<std::uint32_t> workers(m_series.m_workers);
    std::iota(workers.begin(), workers.end(), 0);
    std::shuffle(workers.begin(), workers.end(), m_random);
    workers.resize(workers.size() * m_series.m_percent / 100);
    for (const std::uint32_t worker : workers) {
      if (aIsCut) {
        m_pool.CutWorker(worker, kCut);
      } else {
        m_pool.CrashWorker(worker, kRestart);
      }
    }
    m_sinceLoss = {};
  }

  void SubmitCrashingJob(std::uint32_t aNumber)
  {
    if (m_series.m_hasCrashingJobs) {
      StepSpec step = Step(3);
      step.m_longRunning = aNumber % 2 == 0;
      JobSpec spec = Spec({ step });
      spec.m_payload = kCrashFirst;
      m_pool.Submit("crashing" + std::to_string(aNumber), spec);
    }
  }

  void Pass(Millis aTime)
  {
    for (Millis passed{}; passed < aTime; passed += kTick) {
      m_pool.Pass(kTick);
      const bool isLoss = m_pool.CrashesByTasks() != m_crashesByTasks;
      m_crashesByTasks = m_pool.CrashesByTasks();
      m_sinceLoss = isLoss ? Millis{} : m_sinceLoss + kTick;
      Observe();
    }
  }

  void Observe()
  {
    for (std::uint32_t i = 0; i < m_series.m_tasks; ++i) {
      Millis& withoutRun = m_withoutRun[i];
      withoutRun =
        m_pool.WorkerOf(Ref(m_series.m_job, i)) ? Millis{} : withoutRun + kTick;
      if (withoutRun >= kMaxWithoutRun && m_sinceLoss >= kCalm) {
        m_overdue.insert(i);
        m_longestOverdue = std::max(m_longestOverdue, withoutRun);
      }
    }
  }

  static PoolOptions OptionsOf(const Series& aSeries, unsigned aSeed)
  {
    PoolOptions options;
    options.m_workers = aSeries.m_workers;
    options.m_seed = aSeed;
    options.m_keepsIds = aSeries.m_keepsIds;
    return options;
  }

  Series m_series;
  SimulatedPool m_pool;
  std::minstd_rand m_random;
  std::vector<Millis> m_withoutRun;
  std::set<std::uint32_t> m_overdue;
  Millis m_longestOverdue{};
  Millis m_sinceLoss{};
  std::uint32_t m_crashesByTasks = 0;
};

unsigned
FirstSeed()
{
  const char* seed = std::getenv("BAMBOOSTILE_FIRST_SEED");
  return seed == nullptr
           ? 1
           : static_cast<unsigned>(std::strtoul(seed, nullptr, 10));
}

unsigned
SeedCount(unsigned aDefault)
{
  const char* count = std::getenv("BAMBOOSTILE_SEEDS");
  return count == nullptr
           ? aDefault
           : static_cast<unsigned>(std::strtoul(count, nullptr, 10));
}

/** Describes what went wrong in a play; empty if nothing. */
std::string
PlaySeries(const Series& aSeries, unsigned aSeed)
{
  PoolInSeries pool{ aSeries, aSeed };
  pool.Play();
  const std::uint32_t crashing =
    aSeries.m_hasCrashingJobs ? aSeries.m_crashes - 1 : 0;
  std::string violations;
  if (pool.CountOverdue() > 0) {
    violations += std::to_string(pool.CountOverdue()) + " overdue, " +
                  std::to_string(pool.LongestOverdue().count()) + " ms; ";
  }
  if (pool.State() != JobState::kActive) {
    violations +=
      std::string{ "the healthy job is " } + Describe(pool.State()) + "; ";
  }
  if (pool.CountFailed() != crashing) {
    violations += std::to_string(pool.CountFailed()) + " jobs failed; ";
  }
  if (pool.StartsAfterThreeCrashes() > kMaxStartsAfterThreeCrashes) {
    violations += std::to_string(pool.StartsAfterThreeCrashes()) +
                  " starts after three crashes; ";
  }
  if (pool.CountTwice() > 0) {
    violations += std::to_string(pool.CountTwice()) + " ran twice; ";
  }
  return violations.empty()
           ? ""
           : "seed " + std::to_string(aSeed) + ": " + violations;
}

void
CheckSeries(const Series& aSeries, unsigned aSeeds)
{
  std::string violations;
  const unsigned first = FirstSeed();
  for (unsigned seed = first; seed < first + SeedCount(aSeeds); ++seed) {
    violations += PlaySeries(aSeries, seed);
  }
  CHECK_STRING("", violations);
}

} // namespace

TEST_GROUP(CrashSeries){};

// Guards against delays and quiet periods that begin anew with each start that
// never ran.
TEST(CrashSeries, HalfOfWorkersCrashAgainAndAgain_TasksReturnInCalm)
{
  CheckSeries({ .m_period = Millis{ 2'500 } }, 2);
  CheckSeries({ .m_crashes = 16 }, 3);
}

// Guards against a start that a new leader takes for a run: its end is noticed
// only when the new leader knows all leases.
TEST(CrashSeries, LeaderIsReplacedAtTheEnd_TasksReturnInCalm)
{
  CheckSeries({ .m_replacesLeader = true }, 4);
  CheckSeries(
    { .m_crashes = 10, .m_period = Millis{ 1'500 }, .m_replacesLeader = true },
    2);
}

TEST(CrashSeries, WorkersKeepTheirIds_TasksReturnInCalm)
{
  CheckSeries({ .m_replacesLeader = true, .m_keepsIds = true }, 2);
}

TEST(CrashSeries, SmallPoolOrCuts_TasksReturnInCalm)
{
  CheckSeries({ .m_workers = 24, .m_period = Millis{ 1'500 } }, 2);
  CheckSeries({ .m_cutsEveryOther = true }, 2);
}

// Guards against a healthy job that is given up after five losses, none of
// which says anything about it.
TEST(CrashSeries, TaskIsLostInMostCrashes_JobIsNotGivenUp)
{
  STRCMP_EQUAL("", PlaySeries({ .m_replacesLeader = true }, 1006).c_str());
}

// The same for a loss between two mass losses that counts as one of its own.
TEST(CrashSeries, TaskIsLostInFiveOfFourteenCrashes_JobIsNotGivenUp)
{
  STRCMP_EQUAL("",
               PlaySeries({ .m_crashes = 14,
                            .m_percent = 45,
                            .m_period = Millis{ 1'800 },
                            .m_replacesLeader = true,
                            .m_job = "last" },
                          2004)
                 .c_str());
}

// Guards against crashing tasks whose losses all count as those of the series.
TEST(CrashSeries, TasksCrashTheirWorkersMeanwhile_BoundHolds)
{
  CheckSeries({ .m_crashes = 8, .m_hasCrashingJobs = true }, 2);
  CheckSeries({ .m_workers = 24, .m_crashes = 6, .m_hasCrashingJobs = true },
              2);
}
