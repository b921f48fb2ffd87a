#include "simulated_pool.h"

#include "check.h"

#include <algorithm>
#include <cstdlib>
#include <numeric>

using namespace bamboostile;
using namespace bamboostile::jobs;
using namespace job_fixtures;
using simulated_pool::kCrashAll;
using simulated_pool::kCrashFirst;
using simulated_pool::PoolOptions;
using simulated_pool::SimulatedPool;

namespace {

constexpr Millis kTick{ 50 };
constexpr Millis kMinute{ 60'000 };
constexpr Millis kFirstCrashingJob{ 6'000 };
/** A long-running task must not be without a run for longer. */
constexpr Millis kMaxWithoutRun{ 9'000 };
constexpr std::uint32_t kLongRunningCpu = 8'800;
constexpr std::uint32_t kOtherCpu = 8'100;
constexpr std::uint32_t kOtherWidth = 8;
constexpr Millis kOtherDuration{ 1'200 };
constexpr jobs::Resources kCapacity{ 64'000, 262'144, 0 };

/** The leader is lost, and with it a part of the workers. */
struct LeaderLoss
{
  Millis m_at{ 12'000 };
  Millis m_untilNext{ 2'000 };
  std::uint32_t m_workersPercent = 0;
};

/** Jobs that crash their workers, beside long-running steps with one task a
 * worker, and other work. */
struct Day
{
  Millis m_length = kMinute;
  std::uint32_t m_workers = 70;
  std::uint32_t m_longRunningJobs = 2;
  std::uint32_t m_longRunningTasks = 24;
  /** CPU that the other work takes. */
  std::uint32_t m_loadPercent = 50;
  /** Mean time from one crashing job to the next. */
  Millis m_crashingJobEvery{ 2'000 };
  std::uint32_t m_crashingJobWidth = 8;
  bool m_allTasksCrash = false;
  Millis m_restartTakes{ 2'500 };
  bool m_keepsIds = false;
  /** Time from the start of a crashing task to the crash; differs from seed to
   * seed if unset. */
  std::optional<Millis> m_crashAfter{};
  std::int64_t m_longRunningMemoryMb = 0;
  std::int64_t m_otherMemoryMb = 0;
  std::optional<LeaderLoss> m_leaderLoss{};
};

class CrashingDay
{
public:
  CrashingDay(const Day& aDay, unsigned aSeed)
    : m_day(aDay)
    , m_pool(OptionsOf(aDay, aSeed))
    , m_random(aSeed)
    , m_withoutRun(std::size_t{ aDay.m_longRunningJobs } *
                   aDay.m_longRunningTasks)
  {
    StepSpec step = Step(aDay.m_longRunningTasks, kLongRunningCpu);
    step.m_resources.m_memoryMb = aDay.m_longRunningMemoryMb;
    step.m_longRunning = true;
    step.m_maxPerWorker = 1;
    for (std::uint32_t i = 0; i < aDay.m_longRunningJobs; ++i) {
      m_pool.Submit(NameOf(i), Spec({ step }));
    }
  }

  void Play()
  {
    for (; m_time < m_day.m_length; m_time += kTick) {
      SubmitOtherWork();
      SubmitCrashingJob();
      if (m_day.m_leaderLoss && m_time == m_day.m_leaderLoss->m_at) {
        LoseLeader(*m_day.m_leaderLoss);
      }
      m_pool.Pass(kTick);
      Observe();
    }
  }

  /** Describes what went wrong; empty if nothing. */
  std::string Violations() const
  {
    std::string text;
    if (m_overdue > 0) {
      text += std::to_string(m_overdue) + " overdue, " +
              std::to_string(m_longest.count()) + " ms; ";
    }
    for (std::uint32_t i = 0; i < m_day.m_longRunningJobs; ++i) {
      if (m_pool.StateOf(NameOf(i)) != JobState::kActive) {
        text += NameOf(i) + " given up; ";
      }
    }
    if (m_pool.CountTwice() > 0) {
      text += std::to_string(m_pool.CountTwice()) + " ran twice; ";
    }
    return text;
  }
  std::uint32_t StartsAfterThreeCrashes() const
  {
    return m_pool.MostStartsAfterThreeCrashes();
  }

private:
  static std::string NameOf(std::uint32_t aJob)
  {
    return "lasting" + std::to_string(aJob);
  }

  static PoolOptions OptionsOf(const Day& aDay, unsigned aSeed)
  {
    PoolOptions options;
    options.m_workers = aDay.m_workers;
    options.m_seed = aSeed;
    options.m_capacity = kCapacity;
    options.m_restartTakes = aDay.m_restartTakes;
    options.m_crashAfter =
      aDay.m_crashAfter.value_or(Millis{ 50 + aSeed * 37 % 700 });
    options.m_keepsIds = aDay.m_keepsIds;
    return options;
  }

  void SubmitOtherWork()
  {
    constexpr std::int64_t kWorkOfJob =
      std::int64_t{ kOtherWidth } * kOtherCpu * kOtherDuration.count();
    for (m_owed += std::int64_t{ m_day.m_workers } * kCapacity.m_cpuMillis *
                   m_day.m_loadPercent / 100 * kTick.count();
         m_owed > 0;
         m_owed -= kWorkOfJob) {
      StepSpec step = Step(kOtherWidth, kOtherCpu);
      step.m_resources.m_memoryMb = m_day.m_otherMemoryMb;
      step.m_estimate = kOtherDuration;
      m_pool.Submit("other" + std::to_string(m_others++), Spec({ step }));
    }
  }

  void SubmitCrashingJob()
  {
    if (m_time < m_nextCrashingJob) {
      return;
    }
    const auto mean =
      static_cast<std::uint32_t>(m_day.m_crashingJobEvery.count());
    m_nextCrashingJob += Millis{ mean / 2 + m_random() % mean };
    JobSpec spec = Spec({ Step(m_day.m_crashingJobWidth, kOtherCpu) });
    spec.m_payload = m_day.m_allTasksCrash ? kCrashAll : kCrashFirst;
    m_pool.Submit("crashing" + std::to_string(m_crashing++), spec);
  }

  void LoseLeader(const LeaderLoss& aLoss)
  {
    std::vector<std::uint32_t> workers(m_day.m_workers);
    std::iota(workers.begin(), workers.end(), 0);
    std::shuffle(workers.begin(), workers.end(), m_random);
    workers.resize(m_day.m_workers * aLoss.m_workersPercent / 100);
    for (const std::uint32_t worker : workers) {
      m_pool.CrashWorker(worker, m_day.m_restartTakes);
    }
    m_pool.ReplaceLeader(aLoss.m_untilNext);
  }

  void Observe()
  {
    for (std::uint32_t i = 0; i < m_withoutRun.size(); ++i) {
      const auto task =
        Ref(NameOf(i / m_day.m_longRunningTasks), i % m_day.m_longRunningTasks);
      Millis& withoutRun = m_withoutRun[i];
      withoutRun = m_pool.WorkerOf(task) ? Millis{} : withoutRun + kTick;
      m_overdue += withoutRun == kMaxWithoutRun ? 1 : 0;
      m_longest = std::max(m_longest, withoutRun);
    }
  }

  Day m_day;
  SimulatedPool m_pool;
  std::minstd_rand m_random;
  Millis m_time{};
  Millis m_nextCrashingJob = kFirstCrashingJob;
  std::int64_t m_owed = 0;
  std::uint32_t m_others = 0;
  std::uint32_t m_crashing = 0;
  std::vector<Millis> m_withoutRun;
  std::uint32_t m_overdue = 0;
  Millis m_longest{};
};

unsigned
Environment(const char* aName, unsigned aDefault)
{
  const char* value = std::getenv(aName);
  return value == nullptr
           ? aDefault
           : static_cast<unsigned>(std::strtoul(value, nullptr, 10));
}

/** Plays the seeds, or those that the environment names. */
void
CheckDays(const Day& aDay, unsigned aFirst, unsigned aCount)
{
  std::string violations;
  const unsigned first = Environment("BAMBOOSTILE_FIRST_SEED", aFirst);
  const unsigned count = Environment("BAMBOOSTILE_SEEDS", aCount);
  for (unsigned seed = first; seed < first + count; ++seed) {
    CrashingDay day{ aDay, seed };
    day.Play();
    const std::string found = day.Violations();
    violations +=
      found.empty() ? "" : "seed " + std::to_string(seed) + ": " + found;
  }
  CHECK_STRING("", violations);
}

} // namespace

TEST_GROUP(CrashingJobs){};

// Guards against restarts on workers that have just died or are about to: two
// in a row keep a task away for longer than it may be.
TEST(CrashingJobs, OneTaskOfEachCrashesItsWorkers_LongRunningTasksReturn)
{
  CheckDays({}, 23, 2);
}

TEST(CrashingJobs, LoneTasksCrashTheirWorkers_LongRunningTasksReturn)
{
  CheckDays({ .m_loadPercent = 20,
              .m_crashingJobWidth = 1,
              .m_restartTakes = Millis{ 3'100 },
              .m_keepsIds = true },
            8,
            2);
}

TEST(CrashingJobs, LoneTasksCrashTheirWorkersMoreOften_LongRunningTasksReturn)
{
  CheckDays(
    { .m_crashingJobEvery = Millis{ 700 }, .m_crashingJobWidth = 1 }, 5, 2);
}

// Guards against a new leader that takes whole leases to notice dead workers,
// and then restarts tasks beside jobs that crash the next ones.
TEST(CrashingJobs, LeaderIsLost_LongRunningTasksReturn)
{
  CheckDays({ .m_length = kMinute / 2,
              .m_workers = 85,
              .m_loadPercent = 60,
              .m_crashingJobWidth = 1,
              .m_crashAfter = Millis{ 10 },
              .m_longRunningMemoryMb = 62'000,
              .m_otherMemoryMb = 23'000,
              .m_leaderLoss = LeaderLoss{} },
            7,
            3);
}

TEST(CrashingJobs, LeaderIsLostAndCrashesAreMany_LongRunningTasksReturn)
{
  CheckDays({ .m_length = kMinute / 2,
              .m_workers = 85,
              .m_loadPercent = 60,
              .m_crashingJobEvery = Millis{ 700 },
              .m_crashingJobWidth = 1,
              .m_crashAfter = Millis{ 10 },
              .m_longRunningMemoryMb = 62'000,
              .m_otherMemoryMb = 23'000,
              .m_leaderLoss = LeaderLoss{ .m_untilNext = Millis{ 3'000 } } },
            1,
            3);
}

TEST(CrashingJobs, LeaderIsLostWithHalfOfWorkers_LongRunningTasksReturn)
{
  CheckDays({ .m_length = kMinute / 2,
              .m_workers = 85,
              .m_longRunningJobs = 1,
              .m_loadPercent = 30,
              .m_crashingJobEvery = Millis{ 700 },
              .m_crashingJobWidth = 1,
              .m_crashAfter = Millis{ 10 },
              .m_longRunningMemoryMb = 62'000,
              .m_otherMemoryMb = 23'000,
              .m_leaderLoss = LeaderLoss{ .m_workersPercent = 50 } },
            1,
            2);
}

// Guards against tasks whose crashes all count for little, since other workers
// are being lost at about the same time.
TEST(CrashingJobs, LoneTasksCrashTheirWorkersMoreOften_BoundHolds)
{
  constexpr std::uint32_t kMaxStartsAfterThreeCrashes = 2;
  for (unsigned seed = 5; seed <= 6; ++seed) {
    CrashingDay day{
      { .m_crashingJobEvery = Millis{ 700 }, .m_crashingJobWidth = 1 }, seed
    };
    day.Play();
    CHECK_COMPARE(
      day.StartsAfterThreeCrashes(), <=, kMaxStartsAfterThreeCrashes);
  }
}
