#include "calm_watch.h"
#include "random_draws.h"

#include "check.h"

#include <algorithm>
#include <cstdlib>

using namespace bamboostile;
using namespace bamboostile::jobs;
using namespace calm_watch;
using namespace job_fixtures;
using namespace random_draws;
using simulated_pool::kCrashAll;
using simulated_pool::kCrashFirst;

namespace {

constexpr Millis kStartup{ 5'000 };
constexpr Millis kObserved{ 25'000 };
constexpr Millis kMaintenanceTakes{ 9'000 };
constexpr std::size_t kMaxLinesPerSeed = 3;

/** A pool, its work and a series of faults, all drawn from one seed. */
class RandomPlay
{
public:
  explicit RandomPlay(unsigned aSeed)
    : m_dice(aSeed)
    , m_options(DrawPool(m_dice, aSeed))
    , m_pool(m_options)
    , m_other(m_dice, m_options)
    , m_exclusions(m_options.m_workers)
  {
    if (m_dice.OneIn(3)) {
      const Resources& capacity = m_options.m_capacity;
      for (const std::uint32_t worker : DrawWorkers(10, 60)) {
        m_pool.Resize(worker,
                      { capacity.m_cpuMillis / 2, capacity.m_memoryMb / 2, 0 });
      }
    }
    for (std::uint32_t i = m_dice.Between(1, 3); i > 0; --i) {
      const StepSpec step = DrawLongRunning(m_dice, m_options);
      const std::string job = "lasting" + std::to_string(i);
      m_pool.Submit(job, Spec({ step }));
      m_tasks.emplace_back(job, step.m_count);
    }
    m_lastFaultEnd = m_pool.Now();
  }

  /** Returns what broke the rule. */
  std::vector<std::string> Play()
  {
    const bool hasCrashingJobs = m_dice.OneIn(3);
    m_faults = DrawFaults();
    Pass(kStartup);
    for (std::uint32_t i = m_dice.Between(1, 8); i > 0; --i) {
      if (hasCrashingJobs && m_dice.OneIn(2)) {
        SubmitCrashingJob();
      }
      BeginFaults();
      Pass(m_dice.Time(300, 9'000));
    }
    Pass(std::max(m_lastFaultEnd - m_pool.Now(), Millis{}));
    for (std::uint32_t i = 5; i > 0; --i) {
      if (hasCrashingJobs && m_dice.OneIn(3)) {
        SubmitCrashingJob();
      }
      Pass(kObserved / 5);
    }
    return m_violations;
  }

private:
  std::vector<std::uint32_t> DrawWorkers(std::uint32_t aMinPercent,
                                         std::uint32_t aMaxPercent)
  {
    const std::uint32_t all = m_options.m_workers;
    const std::uint32_t count =
      all * m_dice.Between(aMinPercent, aMaxPercent) / 100;
    return m_dice.Some(count, all, m_dice.OneIn(4));
  }

  void SubmitCrashingJob()
  {
    StepSpec step = DrawStep(m_dice, m_options.m_capacity, 2, 40);
    step.m_count = m_dice.Between(1, 4);
    step.m_longRunning = m_dice.OneIn(2);
    JobSpec spec = Spec({ step });
    spec.m_payload = m_dice.OneIn(2) ? kCrashFirst : kCrashAll;
    m_pool.Submit("crashing" + std::to_string(m_crashingJobs++), spec);
  }

  /** Records a fault that begins now. */
  Millis Lasts(Millis aTime)
  {
    m_lastFaultEnd = std::max(m_lastFaultEnd, m_pool.Now() + aTime);
    m_longestFault = std::max(m_longestFault, aTime);
    return aTime;
  }

  using Fault = void (RandomPlay::*)();

  /** Draws the kinds of faults of this play; a few recur, as in real series. */
  std::vector<Fault> DrawFaults()
  {
    constexpr std::array kAll{
      &RandomPlay::CrashWorkers,  &RandomPlay::CrashWorkers,
      &RandomPlay::CutWorkers,    &RandomPlay::LoseAnswers,
      &RandomPlay::LoseAnswers,   &RandomPlay::DelayAnswers,
      &RandomPlay::DrainWorkers,  &RandomPlay::CordonWorkers,
      &RandomPlay::ReplaceLeader, &RandomPlay::HoldBackReports,
      &RandomPlay::HangWorkers,
    };
    std::vector<Fault> faults;
    for (const std::uint32_t i :
         m_dice.Some(m_dice.Between(1, kAll.size()), kAll.size(), false)) {
      faults.push_back(kAll[i]);
    }
    return faults;
  }

  void BeginFaults()
  {
    const auto count = static_cast<std::uint32_t>(m_faults.size());
    for (const std::uint32_t i :
         m_dice.Some(m_dice.Between(1, 2), count, false)) {
      (this->*m_faults[i])();
    }
  }

  void CrashWorkers()
  {
    for (const std::uint32_t worker : DrawWorkers(10, 90)) {
      m_pool.CrashWorker(worker, Lasts(m_dice.Time(500, 4'000)));
    }
  }

  void CutWorkers()
  {
    const Millis time = Lasts(m_dice.Time(1'000, 5'000));
    for (const std::uint32_t worker : DrawWorkers(5, 90)) {
      m_pool.CutWorker(worker, time);
    }
  }

  void LoseAnswers()
  {
    m_pool.SetAnswersLost(m_dice.OneIn(2) ? 100 : m_dice.Between(10, 99));
    m_lostUntil =
      std::max(m_lostUntil, m_pool.Now() + Lasts(m_dice.Time(500, 6'000)));
  }

  void DelayAnswers()
  {
    m_pool.SetAnswerTakes(m_dice.Time(1'200, 6'000));
    m_lateUntil =
      std::max(m_lateUntil, m_pool.Now() + Lasts(m_dice.Time(500, 6'000)));
  }

  void DrainWorkers()
  {
    const Millis time = m_dice.Time(500, 4'000);
    Lasts(time + m_options.m_restartTakes);
    for (const std::uint32_t worker : DrawWorkers(5, 40)) {
      m_pool.DrainWorker(worker, time);
    }
  }

  void CordonWorkers()
  {
    const bool isMaintenance = m_dice.OneIn(2);
    const Millis time =
      Lasts(isMaintenance ? kMaintenanceTakes : m_dice.Time(1'000, 8'000));
    for (const std::uint32_t worker : DrawWorkers(5, 40)) {
      if (isMaintenance) {
        m_pool.MaintainWorker(worker, placement::InstanceAnswer::kAccepted);
      } else {
        m_pool.Cordon(worker);
        m_uncordons.emplace(m_pool.Now() + time, worker);
      }
    }
  }

  void ReplaceLeader() { m_pool.ReplaceLeader(Lasts(m_dice.Time(300, 3'000))); }

  void HoldBackReports()
  {
    for (const std::uint32_t worker : DrawWorkers(5, 60)) {
      if (!m_pool.IsReporting(worker)) {
        continue;
      }
      if (m_dice.OneIn(2)) {
        m_pool.HoldBackReport(worker, Lasts(m_dice.Time(100, 2'900)));
      } else {
        m_pool.DelayReport(worker, Lasts(m_dice.Time(100, 1'500)));
      }
    }
  }

  void HangWorkers()
  {
    const Millis time = Lasts(m_dice.Time(1'000, 6'000));
    for (const std::uint32_t worker : DrawWorkers(2, 30)) {
      m_pool.HangWorker(worker, time);
    }
  }

  void EndFaults()
  {
    if (m_pool.Now() >= m_lostUntil) {
      m_pool.SetAnswersLost(0);
    }
    if (m_pool.Now() >= m_lateUntil) {
      m_pool.SetAnswerTakes(m_options.m_answerTakes);
    }
    while (!m_uncordons.empty() && m_uncordons.begin()->first <= m_pool.Now()) {
      m_pool.Uncordon(m_uncordons.begin()->second);
      m_uncordons.erase(m_uncordons.begin());
    }
  }

  void Pass(Millis aTime)
  {
    for (const Millis end = m_pool.Now() + aTime; m_pool.Now() < end;) {
      m_other.Submit(m_pool, kTick);
      m_pool.Pass(kTick);
      EndFaults();
      const Millis calm = m_pool.Now() - m_lastFaultEnd;
      for (TaskWatch& tasks : m_tasks) {
        tasks.Observe(m_pool, calm, m_violations);
      }
      m_exclusions.Observe(
        m_pool, m_longestFault, calm > Millis{}, m_violations);
    }
  }

  Dice m_dice;
  std::vector<Fault> m_faults;
  PoolOptions m_options;
  SimulatedPool m_pool;
  OtherWork m_other;
  std::vector<TaskWatch> m_tasks;
  ExclusionWatch m_exclusions;
  std::uint32_t m_crashingJobs = 0;
  Millis m_lastFaultEnd{};
  Millis m_longestFault{};
  Millis m_lostUntil{};
  Millis m_lateUntil{};
  std::multimap<Millis, std::uint32_t> m_uncordons;
  std::vector<std::string> m_violations;
};

unsigned
FromEnvironment(const char* aName, unsigned aDefault)
{
  const char* value = std::getenv(aName);
  return value == nullptr
           ? aDefault
           : static_cast<unsigned>(std::strtoul(value, nullptr, 10));
}

/** Describes what broke the rule in the play of a seed; empty if nothing. */
std::string
PlaySeed(unsigned aSeed)
{
  auto violations = RandomPlay{ aSeed }.Play();
  const std::string total = std::to_string(violations.size());
  violations.resize(std::min(violations.size(), kMaxLinesPerSeed));
  std::string all;
  for (const std::string& violation : violations) {
    all += "seed " + std::to_string(aSeed) + ": " + violation + " (1 of " +
           total + ")\n";
  }
  return all;
}

void
CheckSeeds(unsigned aSeeds)
{
  const unsigned first = FromEnvironment("BAMBOOSTILE_FIRST_SEED", 1);
  const unsigned count = FromEnvironment("BAMBOOSTILE_SEEDS", aSeeds);
  std::string all;
  for (unsigned seed = first; seed < first + count; ++seed) {
    all += PlaySeed(seed);
  }
  CHECK_STRING("", all);
}

} // namespace

TEST_GROUP(RandomSeries){};

// Guards against a belief or a reservation that outlives its cause.
TEST(RandomSeries, SeedsOfCi_NoTaskWaitsInCalm)
{
  CheckSeeds(20);
}

// Guards against a long-running suspect that waits behind the isolated runs of
// others beside workers with room.
TEST(RandomSeries, HalfOfPoolHasIsolatedRuns_SuspectDoesNotWaitForItsTurn)
{
  STRCMP_EQUAL("", PlaySeed(150).c_str());
}
