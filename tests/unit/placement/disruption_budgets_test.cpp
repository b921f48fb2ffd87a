#include "simulated_pool.h"

#include "check.h"

#include <cstdlib>

using namespace bamboostile;
using namespace bamboostile::jobs;
using namespace bamboostile::placement;
using namespace job_fixtures;
using simulated_pool::PoolOptions;
using simulated_pool::SimulatedPool;

namespace {

/** A time long after the leader was elected, in milliseconds. */
constexpr std::int64_t kSteadyMs = 60'000;
constexpr unsigned kSeedsInCi = 10;
constexpr std::uint32_t kWorkers = 12;
constexpr std::uint32_t kTasks = 6;

unsigned
SeedCount()
{
  const char* count = std::getenv("BAMBOOSTILE_SEEDS");
  return count == nullptr ? kSeedsInCi
                          : static_cast<unsigned>(std::stoul(count));
}

JobSpec
LongRunning(std::uint32_t aTasks, std::uint32_t aBudget)
{
  StepSpec step = Step(aTasks, 4000);
  step.m_longRunning = true;
  step.m_disruptionBudget = aBudget;
  step.m_maxPerWorker = 1;
  return Spec({ step });
}

/** Causes one random event: workers leave, drain, crash, are cut off or answer
 * late, or the leader changes. */
void
CauseEvent(SimulatedPool& aPool, std::minstd_rand& aRandom)
{
  const std::uint32_t worker = aRandom() % kWorkers;
  const Millis time{ aRandom() % 3'000 };
  switch (aRandom() % 9) {
    case 0:
    case 1:
    case 2:
      aPool.Cordon(worker);
      break;
    case 3:
      aPool.Uncordon(worker);
      break;
    case 4:
      aPool.CutWorker(worker, time);
      break;
    case 5:
      aPool.HoldBackReport(worker, time);
      break;
    case 6:
      if (aRandom() % 3 == 0) {
        aPool.CrashWorker(worker, time);
      }
      break;
    case 7:
      aPool.DrainWorker(worker, Millis{ 500 } + time);
      break;
    default:
      if (aRandom() % 3 == 0) {
        aPool.ReplaceLeader(Millis{ aRandom() % 1'500 });
      }
      break;
  }
}

} // namespace

TEST_GROUP(DisruptionBudgets)
{
  Fleet m_fleet;
  WorkerTable m_table{ LeaseOptions{}, At(0) };
  std::uint64_t m_sequence = 0;

  /** Places one task of the job on each of w0, w1, ... */
  void Place(std::uint32_t aTasks, std::uint32_t aBudget)
  {
    m_fleet.Submit("a", LongRunning(aTasks, aBudget));
    for (std::uint32_t i = 0; i < aTasks; ++i) {
      m_fleet.Start(Ref("a", i), WorkerOf(i));
    }
  }

  static std::string WorkerOf(std::uint32_t aTask)
  {
    return "w" + std::to_string(aTask);
  }

  /** Receives a report that shows the task as ready; returns whether the answer
   * stops it. */
  bool ReportReady(std::uint32_t aTask, std::int64_t aAtMs)
  {
    WorkerReport report = Report(WorkerOf(aTask), ++m_sequence);
    report.m_active.push_back(Active(Ref("a", aTask)));
    m_table.OnReport(report, m_fleet.Book(), At(aAtMs), WallTime{ 1 });
    return !m_table.Answer(Life(WorkerOf(aTask)), m_fleet.Book(), At(aAtMs))
              .m_stops.empty();
  }

  bool MayDisrupt(std::uint32_t aTask, std::int64_t aAtMs) const
  {
    return m_table.MayDisrupt(
      *m_fleet.Book().Find(JobId{ "a" }), Ref("a", aTask), At(aAtMs));
  }
};

// Guards against a step below its budget: another task seemed lost while a stop
// was under way, so that the stop counted as withdrawn, and was obeyed.
TEST(DisruptionBudgets, OtherTaskSeemsLostAfterStopWasSent_StopStillCounts)
{
  Place(3, 1);
  for (std::uint32_t i = 0; i < 3; ++i) {
    ReportReady(i, kSteadyMs);
  }
  m_table.RequestStop(Ref("a", 0), RunNumber{ 1 });
  CHECK(ReportReady(0, kSteadyMs + 100));
  ReportReady(2, kSteadyMs + 1'400);
  CHECK_FALSE(ReportReady(0, kSteadyMs + 1'500));
  ReportReady(1, kSteadyMs + 1'600);
  CHECK_FALSE(MayDisrupt(1, kSteadyMs + 1'600));
}

// Guards against a step that is never moved again: the answer with a stop was
// lost, and the stop counts as under way forever.
TEST(DisruptionBudgets, StopWasLost_TaskCountsAsReadyAgain)
{
  Place(3, 1);
  for (std::uint32_t i = 0; i < 3; ++i) {
    ReportReady(i, kSteadyMs);
  }
  m_table.RequestStop(Ref("a", 0), RunNumber{ 1 });
  CHECK(ReportReady(0, kSteadyMs + 100));
  const std::int64_t later =
    kSteadyMs + 100 + ToMillis(LeaseOptions{}.m_maxReportDelay).count();
  CHECK_FALSE(ReportReady(0, later));
  ReportReady(1, later);
  ReportReady(2, later);
  CHECK(MayDisrupt(1, later));
}

// Guards against a step below its budget: a new leader spends the budget that
// its predecessor has spent with stops that are still under way.
TEST(DisruptionBudgets, NewLeader_EarlierStopsMayBeUnderWay_MayNotDisrupt)
{
  Place(2, 1);
  const std::int64_t bound = ToMillis(LeaseOptions{}.m_maxReportDelay).count();
  ReportReady(0, bound - 1);
  ReportReady(1, bound - 1);
  CHECK_FALSE(MayDisrupt(0, bound - 1));
  CHECK(MayDisrupt(0, bound));
}

// Guards against a step below its disruption budget: moves are ordered while
// workers are cut off or crash, reports and answers are late or lost, and
// leaders change.
TEST(DisruptionBudgets, MovesBesideLateAnswersAndNewLeaders_BudgetHolds)
{
  for (unsigned seed = 1; seed <= SeedCount(); ++seed) {
    std::minstd_rand random{ seed };
    PoolOptions options;
    options.m_seed = seed;
    options.m_workers = kWorkers;
    options.m_stopTakes = Millis{ 400 };
    options.m_answerTakes = Millis{ 1 + random() % 900 };
    options.m_answersLost = random() % 10;
    options.m_keepsIds = seed % 2 == 0;
    SimulatedPool pool(options);
    pool.Submit("a", LongRunning(kTasks, 1));
    pool.Submit("b", LongRunning(kTasks, 2));
    pool.Pass(Millis{ 6'000 });
    for (int i = 0; i < 80; ++i) {
      CauseEvent(pool, random);
      pool.Pass(Millis{ 100 + random() % 600 });
    }
    const std::string name = "seed " + std::to_string(seed);
    CHECK_TEXT(pool.CountOrderedEnds() > 0, name.c_str());
    LONGS_EQUAL_TEXT(0, pool.CountEndsOverBudget(), name.c_str());
  }
}
