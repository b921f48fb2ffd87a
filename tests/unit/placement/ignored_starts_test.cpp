#include "job_fixtures.h"

#include "check.h"

using namespace bamboostile;
using namespace bamboostile::jobs;
using namespace bamboostile::placement;
using namespace job_fixtures;

namespace {

constexpr std::int64_t kReportIntervalMs = 200;
/** Report interval of a worker that no answer reaches. */
constexpr std::int64_t kLostAnswerMs = 1'000;
constexpr std::int64_t kLimitMs = 300'000;
/** Time without a run after which a task counts as lost. */
constexpr std::int64_t kMaxWithoutRunMs = 6'000;

} // namespace

/** A worker that reports and executes what the test makes it execute. */
TEST_GROUP(IgnoredStarts)
{
  Fleet m_fleet;
  WorkerTable m_table{ LeaseOptions{}, At(0) };
  Planner m_planner;
  std::int64_t m_nowMs = 60'000;
  std::uint64_t m_sequence = 0;
  std::vector<RunReport> m_active;
  std::vector<EndReport> m_ended;
  std::optional<Millis> m_sentAt;
  std::vector<StartOrder> m_starts;

  /** The worker reports, ends are committed, starts are planned, and the worker
   * gets its answer. */
  ReportResult Report(std::int64_t aIntervalMs = kReportIntervalMs)
  {
    m_nowMs += aIntervalMs;
    WorkerReport report = job_fixtures::Report("w1", ++m_sequence);
    report.m_active = m_active;
    report.m_ended = m_ended;
    report.m_sentAt = m_sentAt;
    ReportResult result =
      m_table.OnReport(report, m_fleet.Book(), At(m_nowMs), WallTime{ 1 });
    m_fleet.Apply({ result.m_ends.begin(), result.m_ends.end() });
    m_table.CollectLostRuns(m_fleet.Book(), At(m_nowMs), WallTime{ 1 });
    const Plan plan = m_planner.ComputePlan(
      m_fleet.State(), m_table, {}, At(m_nowMs), WallTime{ 1 });
    m_table.RecordPlannedStarts(plan.m_changes);
    m_fleet.Apply(plan.m_changes);
    m_starts = m_table.Answer(Life("w1"), m_fleet.Book(), At(m_nowMs)).m_starts;
    return result;
  }

  /** Reports until aIsReached; returns how long that took. */
  template<typename Condition>
  std::int64_t ReportUntil(const Condition& aIsReached)
  {
    const std::int64_t sinceMs = m_nowMs;
    do {
      Report();
    } while (!aIsReached() && m_nowMs < sinceMs + kLimitMs);
    return m_nowMs - sinceMs;
  }

  TaskPhase PhaseOf(const TaskRef& aTask) const
  {
    return m_fleet.Book().FindTask(aTask)->m_phase;
  }

  void AwaitExclusion(std::uint32_t aTimes)
  {
    ReportUntil([&]() {
      return m_table.Find(Life("w1"))->m_ignored.m_exclusions == aTimes;
    });
  }
};

// Guards against tasks that wait for good on a worker that reports and ignores
// its starts.
TEST(IgnoredStarts, WorkerIgnoresStart_TaskMayStartElsewhereInTime)
{
  m_fleet.Submit("a", Spec({ Step(3) }));
  Report();
  LONGS_EQUAL(3, m_starts.size());
  const auto isWaiting = [&]() {
    return PhaseOf(Ref("a", 0)) == TaskPhase::kWaiting &&
           PhaseOf(Ref("a", 2)) == TaskPhase::kWaiting;
  };
  CHECK(ReportUntil(isWaiting) < kMaxWithoutRunMs);
  CHECK(!m_table.Find(Life("w1"))->IsUsable(At(m_nowMs)));
  CHECK(m_starts.empty());
}

// Guards against a task that runs twice: its start is carried out late.
TEST(IgnoredStarts, ReportShowsStartAfterExclusion_RunIsKept)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  Report();
  AwaitExclusion(1);
  m_active = { Active(Ref("a")) };
  for (int i = 0; i < 30; ++i) {
    CHECK(Report().m_ends.empty());
  }
  CHECK(PhaseOf(Ref("a")) == TaskPhase::kRunning);
  LONGS_EQUAL(0, m_table.Find(Life("w1"))->m_ignored.m_exclusions);
}

// Guards against a task that runs twice: the last answer with its start is
// still under way.
TEST(IgnoredStarts, LastAnswerMayBeUnderWay_RunIsNotEnded)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  Report();
  std::int64_t lastSentMs = m_nowMs;
  while (PhaseOf(Ref("a")) == TaskPhase::kRunning) {
    Report();
    lastSentMs = m_starts.empty() ? lastSentMs : m_nowMs;
  }
  CHECK(At(m_nowMs) >= At(lastSentMs) + LeaseOptions{}.m_maxReportDelay);
}

// Guards against a start that is sent again while its end is committed.
TEST(IgnoredStarts, EndOfStartIsProposed_StartIsNotSentAgain)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  Report();
  AwaitExclusion(1);
  m_nowMs += 4'000;
  WorkerReport report = job_fixtures::Report("w1", ++m_sequence);
  LONGS_EQUAL(
    1,
    m_table.OnReport(report, m_fleet.Book(), At(m_nowMs), WallTime{ 1 })
      .m_ends.size());
  m_nowMs += 60'000;
  CHECK(
    m_table.Answer(Life("w1"), m_fleet.Book(), At(m_nowMs)).m_starts.empty());
}

TEST(IgnoredStarts, TwoAnswersAreLost_WorkerIsKept)
{
  m_fleet.Submit("a", Spec({ Step(2) }));
  for (int i = 0; i < 2; ++i) {
    Report();
    LONGS_EQUAL(2, m_starts.size());
  }
  m_active = { Active(Ref("a", 0)), Active(Ref("a", 1)) };
  for (int i = 0; i < 30; ++i) {
    CHECK(!Report().m_isIgnoringStarts);
  }
  CHECK(m_table.Find(Life("w1"))->IsUsable(At(m_nowMs)));
}

// Guards against a fault of the network that excludes all workers of a pool.
TEST(IgnoredStarts, AnswersAreLostForAWhile_WorkerIsKept)
{
  m_fleet.Submit("a", Spec({ Step(2) }));
  for (int i = 0; i < 4; ++i) {
    const ReportResult result = Report(kLostAnswerMs);
    CHECK(!result.m_isIgnoringStarts && !result.m_hasBecomeUnreachable);
  }
  LONGS_EQUAL(2, m_starts.size());
  CHECK(m_table.Find(Life("w1"))->IsUsable(At(m_nowMs)));
}

// Guards against reports that are handled late, one right after the other, and
// look as if an answer had arrived between them.
TEST(IgnoredStarts, ReportsAreHandledLate_WorkersClockCounts)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  std::int64_t sentAtMs = 0;
  for (int i = 0; i < 20; ++i) {
    sentAtMs += kLostAnswerMs;
    m_sentAt = Millis{ sentAtMs };
    CHECK(!Report().m_isIgnoringStarts);
  }
}

// Guards against tasks that wait for good on a worker that no answer reaches,
// and against an exclusion that outlasts the fault.
TEST(IgnoredStarts, NoAnswerArrivesForALease_WorkerIsExcludedUntilOneDoes)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  while (!Report(kLostAnswerMs).m_hasBecomeUnreachable) {
    CHECK(m_nowMs < kLimitMs);
  }
  while (PhaseOf(Ref("a")) == TaskPhase::kRunning) {
    Report(kLostAnswerMs);
    CHECK(m_starts.empty() && m_nowMs < kLimitMs);
  }
  Report(kLostAnswerMs);
  CHECK(m_starts.empty());
  CHECK(Report().m_isReachableAgain);
  LONGS_EQUAL(1, m_starts.size());
}

// Guards against the exclusion of a worker for what the one before it ignored.
TEST(IgnoredStarts, NextWorkerReports_GetsStarts)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  AwaitExclusion(1);
  for (std::uint64_t sequence = 1; sequence < 8; ++sequence) {
    m_nowMs += kReportIntervalMs;
    WorkerReport next = job_fixtures::Report("w2", sequence);
    next.m_instance = job_fixtures::Report("w1", 1).m_instance;
    m_table.OnReport(next, m_fleet.Book(), At(m_nowMs), WallTime{ 1 });
  }
  CHECK(m_table.Find(Life("w2"))->IsUsable(At(m_nowMs)));
  CHECK(!m_table.Find(Life("w2"))->IsOnProbation());
}

// Guards against a worker that takes many tasks away again and again.
TEST(IgnoredStarts, WorkerWasExcluded_GetsOneStartAtATimeAndEverLater)
{
  m_fleet.Submit("a", Spec({ Step(3) }));
  AwaitExclusion(1);
  const auto hasStarts = [&]() { return !m_starts.empty(); };
  const auto first = ReportUntil(hasStarts);
  LONGS_EQUAL(1, m_starts.size());
  AwaitExclusion(2);
  const auto second = ReportUntil(hasStarts);
  LONGS_EQUAL(1, m_starts.size());
  CHECK(second > first);
}

// Guards against a worker that stays excluded for an outage of its link.
TEST(IgnoredStarts, ExcludedWorkerRefusesStart_GetsAllStartsAgain)
{
  m_fleet.Submit("a", Spec({ Step(3) }));
  AwaitExclusion(1);
  ReportUntil([&]() { return !m_starts.empty(); });
  m_ended = {
    { 1, m_starts.front().m_task, m_starts.front().m_run, RunEnd::kRefused, "" }
  };
  m_starts.clear();
  ReportUntil([&]() { return !m_starts.empty(); });
  LONGS_EQUAL(3, m_starts.size());
}
