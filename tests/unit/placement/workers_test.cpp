#include "job_fixtures.h"

#include "check.h"

using namespace bamboostile;
using namespace bamboostile::jobs;
using namespace bamboostile::placement;
using namespace job_fixtures;

namespace {

/** Long after the leader was elected. */
constexpr std::int64_t kLater = 60'000;
constexpr WallTime::Value kWall = 1;

} // namespace

TEST_GROUP(WorkerTable)
{
  Fleet m_fleet;
  placement::WorkerTable m_table{ LeaseOptions{}, At(0) };

  Heard Hear(const WorkerReport& aReport, std::int64_t aAtMs)
  {
    Heard heard =
      m_table.OnReport(aReport, m_fleet.Book(), At(aAtMs), WallTime{ kWall });
    Take(heard.m_ends);
    return heard;
  }

  void Take(const std::vector<EndRun>& aEnds)
  {
    m_fleet.Apply({ aEnds.begin(), aEnds.end() });
  }

  Orders Answer(const std::string& aWorker, std::int64_t aAtMs)
  {
    return m_table.Answer(Life(aWorker), m_fleet.Book(), At(aAtMs));
  }

  std::size_t LostAt(std::int64_t aAtMs)
  {
    return m_table.FindLost(m_fleet.Book(), At(aAtMs), WallTime{ kWall })
      .size();
  }

  void SubmitLasting(std::uint32_t aCount, std::uint32_t aBudget)
  {
    StepSpec step = Step(aCount);
    step.m_longRunning = true;
    step.m_disruptionBudget = aBudget;
    m_fleet.Submit("a", Spec({ step }));
  }
};

// The caller sees a job run twice. A worker reports for the first time, gets a
// run placed, and the answer waits for the disks; a tick in between must not
// take the worker, whose lease is not out yet, for one whose lease has ended.
TEST(WorkerTable, TickBetweenFirstReportAndAnswer_LosesNoRun)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  Hear(Report("w1", 1), kLater);
  m_fleet.Start(Ref("a"), "w1");
  LONGS_EQUAL(0, LostAt(kLater + 10));
  LONGS_EQUAL(1, Answer("w1", kLater + 20).m_starts.size());
}

TEST(WorkerTable, SilentWorker_LosesRunsOnlyAfterItsLease)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  Hear(Report("w1", 1), kLater);
  m_fleet.Start(Ref("a"), "w1");
  Answer("w1", kLater);
  const LeaseOptions options;
  const std::int64_t lease = ToMillis(options.m_lease).count();
  // Its clock may be 2% slow.
  LONGS_EQUAL(0, LostAt(kLater + lease * 102 / 100));
  LONGS_EQUAL(1, LostAt(kLater + lease * 102 / 100 + 200));
}

// A new leader knows nothing of the leases that an earlier one gave.
TEST(WorkerTable, WorkerThatNewLeaderNeverHeard_LosesRunsAfterLongestLease)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  m_fleet.Start(Ref("a"), "w1");
  LONGS_EQUAL(0, LostAt(4500));
  LONGS_EQUAL(1, LostAt(5000));
}

// The caller sees a job run twice. A worker that begins to drain reports at
// once, while an answer with a start is under way to it; that report lacks the
// run, the answer arrives, and the run starts. Nobody else may start it.
TEST(WorkerTable, DrainingReportCrossesStart_RunIsKept)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  Hear(Report("w1", 1), kLater);
  m_fleet.Start(Ref("a"), "w1");
  Answer("w1", kLater + 10);
  WorkerReport draining = Report("w1", 2);
  draining.m_draining = true;
  CHECK(Hear(draining, kLater + 15).m_ends.empty());
  draining.m_sequence = 3;
  draining.m_active.push_back(Active(Ref("a")));
  CHECK(Hear(draining, kLater + 30).m_ends.empty());
}

TEST(WorkerTable, StartLostOnDrainingWorker_IsGivenUpInTheEnd)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  Hear(Report("w1", 1), kLater);
  m_fleet.Start(Ref("a"), "w1");
  Answer("w1", kLater);
  WorkerReport draining = Report("w1", 2);
  draining.m_draining = true;
  CHECK(Hear(draining, kLater + 2900).m_ends.empty());
  draining.m_sequence = 3;
  LONGS_EQUAL(1, Hear(draining, kLater + 3100).m_ends.size());
}

TEST(WorkerTable, StartNotShown_IsSentAgainWithTheSameRun)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  Hear(Report("w1", 1), kLater);
  m_fleet.Start(Ref("a"), "w1");
  Answer("w1", kLater);
  Hear(Report("w1", 2), kLater + 200);
  const Orders again = Answer("w1", kLater + 200);
  LONGS_EQUAL(1, again.m_starts.size());
  LONGS_EQUAL(1, again.m_starts[0].m_run.Get());
}

// The second copy of a start is refused while the first one runs; taken for
// the end of the run, it would have the task placed a second time.
TEST(WorkerTable, RefusalBesideActiveRun_IsNoEnd)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  Hear(Report("w1", 1), kLater);
  m_fleet.Start(Ref("a"), "w1");
  WorkerReport report = Report("w1", 2);
  report.m_active.push_back(Active(Ref("a")));
  report.m_ended.push_back(End(1, Ref("a"), RunEnd::kRefused));
  CHECK(Hear(report, kLater + 100).m_ends.empty());
  LONGS_EQUAL(1, Answer("w1", kLater + 100).m_ackedUpTo);
}

TEST(WorkerTable, OvertakenReport_IsIgnored)
{
  Hear(Report("w1", 5), kLater);
  CHECK(Hear(Report("w1", 4), kLater + 10).m_ignored.has_value());
}

// A worker is cut off and runs on; a report of an earlier life of its instance
// that was held up arrives. Taken for a new life, it would end the runs of the
// one that runs.
TEST(WorkerTable, LateReportOfEarlierLife_EndsNoRun)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  Hear(Report("w1", 1), kLater);
  m_fleet.Start(Ref("a"), "w1");
  Answer("w1", kLater);
  WorkerReport late = Report("w0", 9);
  late.m_instance = InstanceId{ "instance-of-w1" };
  CHECK(Hear(late, kLater + 500).m_ends.empty());
  LONGS_EQUAL(0, LostAt(kLater + 600));
}

TEST(WorkerTable, NewLifeThatGoesOnReporting_EndsRunsOfTheOneBefore)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  Hear(Report("w1", 1), kLater);
  m_fleet.Start(Ref("a"), "w1");
  Answer("w1", kLater);
  WorkerReport next = Report("w2", 1);
  next.m_instance = InstanceId{ "instance-of-w1" };
  CHECK(Hear(next, kLater + 500).m_ends.empty());
  next.m_sequence = 2;
  LONGS_EQUAL(1, Hear(next, kLater + 1600).m_ends.size());
  CHECK(Hear(Report("w1", 2), kLater + 1700).m_ignored.has_value());
}

// Guards against a task that is done twice: its worker was cut off for a lease,
// and is back with the end before the task has been started again.
TEST(WorkerTable, DoneIsHeardAfterRunWasGivenUp_TaskIsDone)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  Hear(Report("w1", 1), kLater);
  m_fleet.Start(Ref("a"), "w1");
  Answer("w1", kLater);
  Take(m_table.FindLost(m_fleet.Book(), At(kLater + 5'000), WallTime{ kWall }));
  LONGS_EQUAL(1, m_fleet.Book().Pending(QueueId{ "host/q/" }));
  WorkerReport back = Report("w1", 2);
  back.m_ended.push_back(End(1, Ref("a"), RunEnd::kDone));
  Hear(back, kLater + 5'100);
  STRCMP_EQUAL("completed", Describe(m_fleet.StateOf("a")));
  LONGS_EQUAL(0, m_fleet.Book().Pending(QueueId{ "host/q/" }));
}

// Guards against the same where the task has been placed again by then: that
// run may be lost, and be followed by another.
TEST(WorkerTable, DoneIsHeardAfterTaskWasPlacedAgain_TaskIsDoneAndRunStopped)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  Hear(Report("w1", 1), kLater);
  m_fleet.Start(Ref("a"), "w1");
  Answer("w1", kLater);
  Take(m_table.FindLost(m_fleet.Book(), At(kLater + 5'000), WallTime{ kWall }));
  m_fleet.Start(Ref("a"), "w2", 2);
  WorkerReport back = Report("w1", 2);
  back.m_ended.push_back(End(1, Ref("a"), RunEnd::kDone));
  Hear(back, kLater + 5'100);
  STRCMP_EQUAL("completed", Describe(m_fleet.StateOf("a")));
  CHECK(m_fleet.Book().Placed().empty());
  WorkerReport other = Report("w2", 1);
  other.m_active.push_back(Active(Ref("a"), 2));
  Hear(other, kLater + 5'200);
  LONGS_EQUAL(1, Answer("w2", kLater + 5'200).m_stops.size());
}

// Guards against an end as done of a long-running task, which is never done.
TEST(WorkerTable, LongRunningTaskIsDoneLate_ChangesNothing)
{
  SubmitLasting(1, 1);
  Hear(Report("w1", 1), kLater);
  m_fleet.Start(Ref("a"), "w1");
  Answer("w1", kLater);
  Take(m_table.FindLost(m_fleet.Book(), At(kLater + 5'000), WallTime{ kWall }));
  m_fleet.Start(Ref("a"), "w2", 2);
  WorkerReport back = Report("w1", 2);
  back.m_ended.push_back(End(1, Ref("a"), RunEnd::kDone));
  CHECK(Hear(back, kLater + 5'100).m_ends.empty());
  LONGS_EQUAL(1, m_fleet.Book().Placed().size());
}

TEST(WorkerTable, RunOfCancelledJob_IsStopped)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  m_fleet.Start(Ref("a"), "w1");
  m_fleet.Apply({ Cancel{ JobId{ "a" }, WallTime{ 1 } } });
  WorkerReport report = Report("w1", 1);
  report.m_active.push_back(Active(Ref("a")));
  Hear(report, kLater);
  LONGS_EQUAL(1, Answer("w1", kLater).m_stops.size());
}

// The operator sees a service below its budget. A move is decided, then
// another worker goes silent; the stop that is sent must know of it.
TEST(WorkerTable, OtherTaskLostAfterDecision_StopIsTakenBack)
{
  SubmitLasting(2, 1);
  for (int i = 0; i < 2; ++i) {
    m_fleet.Start(Ref("a", i), "w" + std::to_string(i));
    WorkerReport report = Report("w" + std::to_string(i), 1);
    report.m_active.push_back(Active(Ref("a", i)));
    Hear(report, kLater);
  }
  const Job& job = *m_fleet.Book().Find(JobId{ "a" });
  CHECK(m_table.MayDisrupt(job, Ref("a", 0), At(kLater)));
  m_table.RequestStop(Ref("a", 0), RunNumber{ 1 });
  WorkerReport report = Report("w0", 2);
  report.m_active.push_back(Active(Ref("a", 0)));
  Hear(report, kLater + 1500);
  CHECK(Answer("w0", kLater + 1500).m_stops.empty());
}

TEST(WorkerTable, TailNearItsTarget_WhatFillsBesideIsSlowed)
{
  StepSpec serving = Step(1);
  serving.m_latencyTarget = Millis{ 100 };
  StepSpec filling = Step(1);
  filling.m_fills = true;
  m_fleet.Submit("a", Spec({ serving, filling }));
  m_fleet.Start(Ref("a", 0, 0), "w1");
  m_fleet.Start(Ref("a", 0, 1), "w1");
  WorkerReport report = Report("w1", 1);
  report.m_active = { Active(Ref("a", 0, 0)), Active(Ref("a", 0, 1)) };
  report.m_active[0].m_load = 90;
  Hear(report, kLater);
  const Orders orders = Answer("w1", kLater);
  LONGS_EQUAL(1, orders.m_rates.size());
  LONGS_EQUAL(50, orders.m_rates[0].m_percent);
}

// The caller waits for ever: a worker reports in good health, but a task on it
// gets no further, so neither its lease ends nor anything fails.
TEST(WorkerTable, RunThatGetsNoFurther_IsStopped)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  m_fleet.Start(Ref("a"), "w1");
  WorkerReport report = Report("w1", 1);
  report.m_active.push_back(Active(Ref("a")));
  for (int i = 0; i < 6; ++i) {
    report.m_sequence = i + 1;
    report.m_active[0].m_percent = 40;
    Hear(report, kLater + 500 * i);
    CHECK(m_table.FindStuck(m_fleet.Book(), At(kLater + 500 * i)).empty());
  }
  report.m_sequence = 7;
  Hear(report, kLater + 3000);
  LONGS_EQUAL(1, m_table.FindStuck(m_fleet.Book(), At(kLater + 3000)).size());
  LONGS_EQUAL(0, m_table.FindStuck(m_fleet.Book(), At(kLater + 3100)).size());
  LONGS_EQUAL(1, Answer("w1", kLater + 3100).m_stops.size());
}

TEST(WorkerTable, SlowRunThatGetsFurther_IsLeftAlone)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  m_fleet.Start(Ref("a"), "w1");
  WorkerReport report = Report("w1", 1);
  report.m_active.push_back(Active(Ref("a")));
  for (int i = 0; i < 10; ++i) {
    report.m_sequence = i + 1;
    report.m_active[0].m_percent = i;
    Hear(report, kLater + 2500 * i);
    CHECK(m_table.FindStuck(m_fleet.Book(), At(kLater + 2500 * i)).empty());
  }
}

TEST(WorkerTable, ThreeFailuresInARow_SetWorkerAside)
{
  m_fleet.Submit("a", Spec({ Step(3) }));
  WorkerReport report = Report("w1", 1);
  for (std::uint32_t i = 0; i < 3; ++i) {
    m_fleet.Start(Ref("a", i), "w1");
    report.m_ended.push_back(End(i + 1, Ref("a", i), RunEnd::kFailed));
  }
  Hear(report, kLater);
  CHECK(!m_table.Find(Life("w1"))->IsUsable(At(kLater + 1000)));
  CHECK(m_table.Find(Life("w1"))->IsUsable(At(kLater + 6001)));
}

// The reports of quiet workers are answered late, so that they come seldom. One
// that has something to tell or to be told must not wait with them.
TEST(WorkerTable, QuietWorker_IsOneThatWaitsForNothing)
{
  const WorkerLife worker = Life("w1");
  StepSpec lasting = Step(1, 100);
  lasting.m_longRunning = true;
  m_fleet.Submit("lasting", Spec({ lasting }));
  m_fleet.Submit("short", Spec({ Step(1) }));
  Hear(Report("w1", 1), 1000);
  CHECK(m_table.IsQuiet(worker, m_fleet.Book()));

  m_fleet.Start(Ref("lasting"), "w1");
  CHECK_FALSE(m_table.IsQuiet(worker, m_fleet.Book()));
  WorkerReport report = Report("w1", 2);
  report.m_active = { Active(Ref("lasting")) };
  Hear(report, 1100);
  CHECK(m_table.IsQuiet(worker, m_fleet.Book()));

  m_fleet.Start(Ref("short"), "w1");
  CHECK_FALSE(m_table.IsQuiet(worker, m_fleet.Book()));
  report = Report("w1", 3);
  report.m_active = { Active(Ref("lasting")), Active(Ref("short")) };
  Hear(report, 1200);
  CHECK_FALSE(m_table.IsQuiet(worker, m_fleet.Book()));

  m_fleet.End(Ref("short"), RunEnd::kDone);
  report = Report("w1", 4);
  report.m_active = { Active(Ref("lasting")) };
  report.m_ended = { End(1, Ref("short"), RunEnd::kDone) };
  Hear(report, 1300);
  CHECK_FALSE(m_table.IsQuiet(worker, m_fleet.Book()));

  report = Report("w1", 5);
  report.m_active = { Active(Ref("lasting")) };
  Hear(report, 1400);
  CHECK(m_table.IsQuiet(worker, m_fleet.Book()));
  m_table.RequestStop(Ref("lasting"), RunNumber{ 1 });
  CHECK_FALSE(m_table.IsQuiet(worker, m_fleet.Book()));
}

TEST(WorkerTable, DrainingWorker_IsNotQuiet)
{
  WorkerReport report = Report("w1", 1);
  report.m_draining = true;
  Hear(report, 1000);
  CHECK_FALSE(m_table.IsQuiet(Life("w1"), m_fleet.Book()));
}

TEST(WorkerTable, FullWorker_ReportsLessOften)
{
  const WorkerLife worker = Life("w1");
  m_fleet.Submit("a", Spec({ Step(4, 1000) }));
  Hear(Report("w1", 1), 1000);
  for (std::uint32_t i = 0; i < 3; ++i) {
    m_fleet.Start(Ref("a", i), "w1");
  }
  const Duration withRoom =
    m_table.Answer(worker, m_fleet.Book(), At(1000)).m_nextReport;
  m_fleet.Start(Ref("a", 3), "w1");
  const Duration full =
    m_table.Answer(worker, m_fleet.Book(), At(1000)).m_nextReport;
  CHECK(full > withRoom);
}

// A caller cancels a job while a start of it is on its way. The worker obeys
// late, after the cancel; its next report shows the run, and the answer to that
// stops it.
TEST(WorkerTable, RunStartedLateAfterCancel_IsStoppedWithTheNextAnswer)
{
  m_fleet.Submit("j", Spec({ Step(1, 1000) }));
  Hear(Report("w1", 1), kLater);
  m_fleet.Start(Ref("j"), "w1");
  LONGS_EQUAL(1, Answer("w1", kLater + 10).m_starts.size());
  m_fleet.Apply({ Cancel{ JobId{ "j" }, WallTime{ kWall } } });
  WorkerReport late = Report("w1", 2);
  late.m_active = { Active(Ref("j")) };
  Hear(late, kLater + 2500);
  const Orders orders = Answer("w1", kLater + 2510);
  LONGS_EQUAL(0, orders.m_starts.size());
  LONGS_EQUAL(1, orders.m_stops.size());
}

// The leader that started the task is removed for good, and the job is
// cancelled at its successor, which never saw the start. The first report that
// it hears shows the run; the answer stops it.
TEST(WorkerTable, RunOfARemovedLeaderAfterCancel_IsStoppedByItsSuccessor)
{
  m_fleet.Submit("j", Spec({ Step(1, 1000) }));
  m_fleet.Start(Ref("j"), "w1");
  placement::WorkerTable successor(LeaseOptions{}, At(kLater));
  m_fleet.Apply({ Cancel{ JobId{ "j" }, WallTime{ kWall } } });
  WorkerReport report = Report("w1", 7);
  report.m_active = { Active(Ref("j")) };
  successor.OnReport(
    report, m_fleet.Book(), At(kLater + 300), WallTime{ kWall });
  const Orders orders =
    successor.Answer(Life("w1"), m_fleet.Book(), At(kLater + 310));
  LONGS_EQUAL(1, orders.m_stops.size());
}

// A worker with long-running tasks only has its report held. When its job is
// cancelled it counts as quiet no more, so that the stop goes out at once and
// not when the report would have been answered anyway.
TEST(WorkerTable, JobOfAQuietWorkerCancelled_IsQuietNoMore)
{
  StepSpec lasting = Step(1, 1000);
  lasting.m_longRunning = true;
  m_fleet.Submit("j", Spec({ lasting }));
  m_fleet.Start(Ref("j"), "w1");
  WorkerReport report = Report("w1", 1);
  report.m_active = { Active(Ref("j")) };
  Hear(report, kLater);
  CHECK(m_table.IsQuiet(Life("w1"), m_fleet.Book()));
  m_fleet.Apply({ Cancel{ JobId{ "j" }, WallTime{ kWall } } });
  CHECK_FALSE(m_table.IsQuiet(Life("w1"), m_fleet.Book()));
}

// A caller sees its job stand still for good: an end that was acknowledged but
// not committed is known to nobody any more. Until its batch is committed it is
// not acknowledged, and when the batch fails, its repetition counts.
TEST(WorkerTable, EndOfABatchThatFailed_CountsWhenRepeated)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  m_fleet.Start(Ref("a"), "w1");
  WorkerReport report = Report("w1", 1);
  const auto endsHeard = [&](std::uint64_t aSequence) {
    report.m_sequence = aSequence;
    return m_table.OnReport(report, m_fleet.Book(), At(1000), WallTime{ kWall })
      .m_ends.size();
  };
  report.m_ended.push_back(End(1, Ref("a"), RunEnd::kDone));
  LONGS_EQUAL(1, endsHeard(1));
  const auto failed = m_table.TakeReceipts();
  LONGS_EQUAL(0, endsHeard(2));
  LONGS_EQUAL(0, Answer("w1", 1100).m_ackedUpTo);
  m_table.TakeBack(failed);
  LONGS_EQUAL(1, endsHeard(3));
  m_table.Acknowledge(m_table.TakeReceipts());
  LONGS_EQUAL(1, Answer("w1", 1300).m_ackedUpTo);
}

// The operator sees leases run out: a full leader that asks for fewer reports
// must not ask for so few that two lost ones put a worker in doubt.
TEST(WorkerTable, ReportsStretched_ComeSeldomerUpToABound)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  m_fleet.Start(Ref("a"), "w1");
  WorkerReport working = Report("w1", 1);
  working.m_active.push_back(Active(Ref("a")));
  Hear(working, 1000);
  CHECK(Answer("w1", 1000).m_nextReport == Millis{ 200 });
  m_table.StretchReports(2);
  CHECK(Answer("w1", 1000).m_nextReport == Millis{ 400 });
  m_table.StretchReports(4);
  CHECK(Answer("w1", 1000).m_nextReport == Millis{ 700 });
}
