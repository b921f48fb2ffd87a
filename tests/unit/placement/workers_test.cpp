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

  ReportResult Receive(const WorkerReport& aReport, std::int64_t aAtMs)
  {
    ReportResult result =
      m_table.OnReport(aReport, m_fleet.Book(), At(aAtMs), WallTime{ kWall });
    Take(result.m_ends);
    return result;
  }

  void Take(const std::vector<EndRun>& aEnds)
  {
    m_fleet.Apply({ aEnds.begin(), aEnds.end() });
  }

  Orders Answer(const std::string& aWorker, std::int64_t aAtMs)
  {
    return m_table.Answer(Life(aWorker), m_fleet.Book(), At(aAtMs));
  }

  std::size_t CountLostAt(std::int64_t aAtMs)
  {
    return m_table.CollectLostRuns(m_fleet.Book(), At(aAtMs), WallTime{ kWall })
      .size();
  }

  void List(std::int64_t aAskedAtMs,
            std::vector<ListedInstance> aInstances,
            std::size_t aUnnamedWorkerCount = 0)
  {
    m_table.OnListed(
      { At(aAskedAtMs), std::move(aInstances), aUnnamedWorkerCount },
      m_fleet.Book());
  }

  /** An entry for the instance on which aWorker reported. */
  static ListedInstance Listed(const std::string& aWorker,
                               InstanceState aState,
                               const std::string& aListedWorker = "")
  {
    return { InstanceId{ "instance-of-" + aWorker },
             ServiceId{ "desk" },
             aState,
             WorkerId{ aListedWorker } };
  }

  /** Places tasks with the longest payload on "w1", whose first report is
   * returned. */
  WorkerReport PlaceWithLongPayload(std::uint32_t aTasks, bool aIsGang)
  {
    JobSpec spec = Spec({ Step(aTasks, 1) });
    spec.m_steps[0].m_resources.m_memoryMb = 0;
    spec.m_steps[0].m_gang = aIsGang;
    spec.m_payload = std::string(4'000, 'x');
    m_fleet.Submit("a", spec);
    WorkerReport report = Report("w1", 1);
    Receive(report, kLater);
    std::vector<Change> starts;
    for (std::uint32_t i = 0; i < aTasks; ++i) {
      starts.push_back(StartRun{ Ref("a", i), RunNumber{ 1 }, Life("w1") });
    }
    m_fleet.Apply(starts);
    return report;
  }

  void SubmitLongRunning(std::uint32_t aCount, std::uint32_t aBudget)
  {
    StepSpec step = Step(aCount);
    step.m_longRunning = true;
    step.m_disruptionBudget = aBudget;
    m_fleet.Submit("a", Spec({ step }));
  }
};

// Guards against a job that runs twice: a worker sends its first report, gets
// a run placed, and its answer waits for the disks. A tick in between must not
// take the worker, whose lease has not been sent yet, for one whose lease has
// ended.
TEST(WorkerTable, TickBetweenFirstReportAndAnswer_LosesNoRun)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  Receive(Report("w1", 1), kLater);
  m_fleet.Start(Ref("a"), "w1");
  LONGS_EQUAL(0, CountLostAt(kLater + 10));
  LONGS_EQUAL(1, Answer("w1", kLater + 20).m_starts.size());
}

TEST(WorkerTable, UnresponsiveWorker_LosesRunsOnlyAfterItsLease)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  Receive(Report("w1", 1), kLater);
  m_fleet.Start(Ref("a"), "w1");
  Answer("w1", kLater);
  const LeaseOptions options;
  const std::int64_t lease = ToMillis(options.m_lease).count();
  // The worker's clock may be 2% slow.
  LONGS_EQUAL(0, CountLostAt(kLater + lease * 102 / 100));
  LONGS_EQUAL(1, CountLostAt(kLater + lease * 102 / 100 + 200));
}

// Guards against a task that waits for a whole lease for a start that has never
// left, and against a second run where that start leaves after all.
TEST(WorkerTable, WorkerIsUnresponsiveBeforeStartIsSent_StartIsWithdrawn)
{
  SubmitLongRunning(1, 1);
  Receive(Report("w1", 1), kLater);
  Answer("w1", kLater);
  const StartRun start{ Ref("a"), RunNumber{ 1 }, Life("w1") };
  m_table.RecordPlannedStarts({ start });
  m_fleet.Apply({ start });
  LONGS_EQUAL(0, CountLostAt(kLater + 1'400));
  LONGS_EQUAL(1, CountLostAt(kLater + 1'600));
  Receive(Report("w1", 2), kLater + 1'610);
  CHECK(Answer("w1", kLater + 1'610).m_starts.empty());
}

TEST(WorkerTable, WorkerIsUnresponsiveAfterStartWasSent_RunIsKeptUntilLeaseEnds)
{
  SubmitLongRunning(1, 1);
  Receive(Report("w1", 1), kLater);
  const StartRun start{ Ref("a"), RunNumber{ 1 }, Life("w1") };
  m_table.RecordPlannedStarts({ start });
  m_fleet.Apply({ start });
  LONGS_EQUAL(1, Answer("w1", kLater).m_starts.size());
  LONGS_EQUAL(0, CountLostAt(kLater + 4'500));
  LONGS_EQUAL(1, CountLostAt(kLater + 5'000));
}

// Starts of an earlier leader may have been sent.
TEST(WorkerTable, WorkerIsUnresponsiveUnderNewLeader_RunIsKeptUntilLeaseEnds)
{
  SubmitLongRunning(1, 1);
  m_fleet.Start(Ref("a"), "w1");
  Receive(Report("w1", 1), kLater);
  LONGS_EQUAL(0, CountLostAt(kLater + 4'500));
}

// Guards against a gang whose members start from different checkpoints.
TEST(WorkerTable, MembersSavedDifferentCheckpoints_AllStartFromOne)
{
  StepSpec step = Step(3);
  step.m_gang = true;
  m_fleet.Submit("a", Spec({ step }));
  for (std::uint32_t i = 0; i < 3; ++i) {
    m_fleet.Start(Ref("a", i), "w0");
  }
  for (const auto& [index, checkpoint] :
       { std::pair{ 2U, "late" }, std::pair{ 1U, "early" } }) {
    m_fleet.Apply({ EndRun{ Ref("a", index),
                            RunNumber{ 1 },
                            RunEnd::kGangBroken,
                            checkpoint,
                            WallTime{ 5 } } });
  }
  m_fleet.End(Ref("a"), RunEnd::kGangBroken);
  Receive(Report("w1", 1), kLater);
  for (std::uint32_t i = 0; i < 3; ++i) {
    m_fleet.Start(Ref("a", i), "w1", 2);
  }
  const Orders orders = Answer("w1", kLater);
  LONGS_EQUAL(3, orders.m_starts.size());
  for (const StartOrder& start : orders.m_starts) {
    CHECK_STRING("early", start.m_checkpoint);
  }
}

// Guards against a worker that drops each answer because all starts are in it.
TEST(WorkerTable, StartsExceedAnAnswer_LaterAnswersHaveTheRest)
{
  constexpr std::size_t kMaxAnswer = 4 * 1024 * 1024;
  constexpr std::size_t kMaxBytesPerCharacter = 6;
  WorkerReport report = PlaceWithLongPayload(1'200, false);
  while (report.m_active.size() < 1'200) {
    const Orders orders = Answer("w1", kLater);
    CHECK_FALSE(orders.m_starts.empty());
    std::size_t bytes = 0;
    for (const StartOrder& start : orders.m_starts) {
      bytes += start.m_payload.size() * kMaxBytesPerCharacter;
      report.m_active.push_back(Active(start.m_task));
    }
    CHECK_COMPARE(bytes, <=, kMaxAnswer);
    ++report.m_sequence;
    Receive(report, kLater);
  }
}

// Guards against a gang that times out because its members' starts come with
// several answers.
TEST(WorkerTable, StartsOfGangExceedAnAnswer_AllAreSentBeforeItTimesOut)
{
  constexpr std::uint32_t kMembers = 2'400;
  constexpr Duration kGangTimeout = Millis{ 3'000 };
  WorkerReport report = PlaceWithLongPayload(kMembers, true);
  Duration sinceFirst{};
  while (report.m_active.size() < kMembers) {
    const Orders orders = Answer("w1", kLater);
    CHECK_FALSE(orders.m_starts.empty());
    for (const StartOrder& start : orders.m_starts) {
      report.m_active.push_back(Active(start.m_task));
    }
    sinceFirst += orders.m_nextReport;
    ++report.m_sequence;
    Receive(report, kLater);
  }
  CHECK(sinceFirst < kGangTimeout);
}

// A new leader does not know the leases that an earlier one granted.
TEST(WorkerTable, WorkerNeverReportsToNewLeader_LosesRunsAfterMaxLease)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  m_fleet.Start(Ref("a"), "w1");
  LONGS_EQUAL(0, CountLostAt(4500));
  LONGS_EQUAL(1, CountLostAt(5000));
}

TEST(WorkerTable, PlatformListsWorkerAsEnded_LosesRunsBeforeItsLeaseEnds)
{
  SubmitLongRunning(1, 1);
  Receive(Report("w1", 1), kLater);
  m_fleet.Start(Ref("a"), "w1");
  CHECK_FALSE(m_table.NeedsList(m_fleet.Book(), At(kLater + 1'400)));
  CHECK(m_table.NeedsList(m_fleet.Book(), At(kLater + 1'500)));
  List(kLater + 1'600, { Listed("w1", InstanceState::kDown) });
  CHECK_FALSE(m_table.NeedsList(m_fleet.Book(), At(kLater + 1'700)));
  LONGS_EQUAL(0, CountLostAt(kLater + 2'400));
  LONGS_EQUAL(1, CountLostAt(kLater + 2'500));
}

TEST(WorkerTable, PlatformListsAnotherWorkerOfInstance_LosesRunsBeforeLeaseEnds)
{
  SubmitLongRunning(1, 1);
  Receive(Report("w1", 1), kLater);
  m_fleet.Start(Ref("a"), "w1");
  List(kLater + 1'600, { Listed("w1", InstanceState::kUp, "w2") });
  LONGS_EQUAL(1, CountLostAt(kLater + 2'500));
}

// Guards against a task that runs twice: its worker is cut off and runs on.
TEST(WorkerTable, PlatformListProvesNoEnd_RunIsKeptUntilLeaseEnds)
{
  SubmitLongRunning(1, 1);
  Receive(Report("w1", 1), kLater);
  m_fleet.Start(Ref("a"), "w1");
  const std::int64_t asked = kLater + 1'600;
  List(asked, { Listed("w1", InstanceState::kUp, "w1") });
  List(asked, { Listed("w1", InstanceState::kUnknown) });
  List(asked, { Listed("w1", InstanceState::kUp) });
  List(asked,
       { Listed("w1", InstanceState::kUp, "w1"),
         Listed("w1", InstanceState::kDown) });
  List(asked,
       { Listed("w1", InstanceState::kUp, "w2"),
         Listed("w3", InstanceState::kUp, "w1") });
  List(asked, {});
  List(asked, { Listed("w1", InstanceState::kDown, "w1") });
  List(asked,
       { Listed("w1", InstanceState::kDown),
         Listed("w3", InstanceState::kUp, "w1") });
  List(kLater - 1, { Listed("w1", InstanceState::kDown) });
  LONGS_EQUAL(0, CountLostAt(kLater + 4'500));
}

TEST(WorkerTable, LateReportOfWorkerListedAsEnded_IsIgnored)
{
  SubmitLongRunning(1, 1);
  Receive(Report("w1", 1), kLater);
  m_fleet.Start(Ref("a"), "w1");
  List(kLater + 1'600, { Listed("w1", InstanceState::kDown) });
  CHECK(Receive(Report("w1", 2), kLater + 4'500).m_ignored ==
        IgnoreReason::kWorkerEnded);
  CHECK_FALSE(Receive(Report("w1", 3), kLater + 4'700).m_ignored.has_value());
}

// Guards against a new leader that waits for a whole lease of a dead worker.
TEST(WorkerTable, WorkerNeverReportsAndIsMissingInTwoLists_LosesRunsBeforeLease)
{
  SubmitLongRunning(2, 1);
  m_fleet.Start(Ref("a", 0), "dead");
  m_fleet.Start(Ref("a", 1), "cut");
  Receive(Report("w1", 1), 100);
  const std::vector<ListedInstance> listed{
    Listed("cut", InstanceState::kUp, "cut"),
    Listed("w1", InstanceState::kUp, "w1")
  };
  List(800, listed);
  LONGS_EQUAL(0, CountLostAt(1'600));
  List(1'300, listed);
  LONGS_EQUAL(0, CountLostAt(1'400));
  LONGS_EQUAL(1, CountLostAt(1'600));
}

// Guards against a task that runs twice: the entry of the worker that runs it
// cannot be read or lacks its id.
TEST(WorkerTable, ListsHaveEntryThatNamesNoWorker_RunsAreKeptUntilLeasesEnd)
{
  SubmitLongRunning(1, 1);
  m_fleet.Start(Ref("a"), "cut");
  Receive(Report("w1", 1), 100);
  List(800, { Listed("w1", InstanceState::kUp, "w1") }, 1);
  List(1'300, { Listed("w1", InstanceState::kUp, "w1") }, 1);
  LONGS_EQUAL(0, CountLostAt(4'500));
}

TEST(WorkerTable, WorkerReportsBesideListWithoutIt_ReportIsAccepted)
{
  Receive(Report("w1", 1), kLater);
  List(kLater + 100, { Listed("w1", InstanceState::kDown) });
  CHECK_FALSE(Receive(Report("w1", 2), kLater + 200).m_ignored.has_value());
}

// Guards against restarts on a dead worker whose last report arrives late.
TEST(WorkerTable, LateReportOfWorkerMissingInTwoLists_IsIgnored)
{
  SubmitLongRunning(1, 1);
  m_fleet.Start(Ref("a"), "dead");
  Receive(Report("w1", 1), 100);
  Receive(Report("w1", 2), 1'000);
  List(800, { Listed("w1", InstanceState::kUp, "w1") });
  List(1'300, { Listed("w1", InstanceState::kUp, "w1") });
  LONGS_EQUAL(1, CountLostAt(1'600));
  CHECK(Receive(Report("dead", 9), 2'500).m_ignored ==
        IgnoreReason::kWorkerEnded);
  CHECK_FALSE(Receive(Report("dead", 10), 4'700).m_ignored.has_value());
}

TEST(WorkerTable, ListsDoNotNameAllKnownWorkers_RunsAreKeptUntilLeasesEnd)
{
  SubmitLongRunning(1, 1);
  m_fleet.Start(Ref("a"), "cut");
  Receive(Report("w1", 1), 100);
  Receive(Report("w2", 1), 100);
  List(800, { Listed("w1", InstanceState::kUp, "w1") });
  List(1'300, { Listed("w1", InstanceState::kUp, "w1") });
  LONGS_EQUAL(0, CountLostAt(4'500));
}

TEST(WorkerTable, ListsNameNoKnownWorker_RunsAreKeptUntilLeasesEnd)
{
  SubmitLongRunning(1, 1);
  m_fleet.Start(Ref("a"), "cut");
  Receive(Report("w1", 1), 100);
  List(800, { Listed("w1", InstanceState::kUp) });
  List(1'300, { Listed("w1", InstanceState::kUp) });
  LONGS_EQUAL(0, CountLostAt(4'500));
}

// Guards against restarts that the next crashes of a series end again.
TEST(WorkerTable, PlatformListsManyWorkersAsEnded_RunsAreKeptUntilLeasesEnd)
{
  SubmitLongRunning(4, 4);
  std::vector<ListedInstance> listed;
  for (std::uint32_t i = 0; i < 4; ++i) {
    const std::string worker = "w" + std::to_string(i);
    Receive(Report(worker, 1), kLater);
    m_fleet.Start(Ref("a", i), worker);
    WorkerReport running = Report(worker, 2);
    running.m_active = { Active(Ref("a", i)) };
    Receive(running, kLater);
    listed.push_back(Listed(worker, InstanceState::kDown));
  }
  List(kLater + 1'600, listed);
  LONGS_EQUAL(0, CountLostAt(kLater + 4'500));
  LONGS_EQUAL(4, CountLostAt(kLater + 5'000));
}

// Guards against a job that runs twice: a worker that begins to drain reports
// at once, while an answer with a start is under way to it. The report lacks
// the run, but the run starts when the answer arrives, so no other worker may
// start it.
TEST(WorkerTable, DrainingReportCrossesStart_RunIsKept)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  Receive(Report("w1", 1), kLater);
  m_fleet.Start(Ref("a"), "w1");
  Answer("w1", kLater + 10);
  WorkerReport draining = Report("w1", 2);
  draining.m_draining = true;
  CHECK(Receive(draining, kLater + 15).m_ends.empty());
  draining.m_sequence = 3;
  draining.m_active.push_back(Active(Ref("a")));
  CHECK(Receive(draining, kLater + 30).m_ends.empty());
}

TEST(WorkerTable, StartLostOnDrainingWorker_RunIsEndedAfterMaxReportDelay)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  Receive(Report("w1", 1), kLater);
  m_fleet.Start(Ref("a"), "w1");
  Answer("w1", kLater);
  WorkerReport draining = Report("w1", 2);
  draining.m_draining = true;
  CHECK(Receive(draining, kLater + 2900).m_ends.empty());
  draining.m_sequence = 3;
  LONGS_EQUAL(1, Receive(draining, kLater + 3100).m_ends.size());
}

TEST(WorkerTable, UnconfirmedStart_IsSentAgainWithTheSameRun)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  Receive(Report("w1", 1), kLater);
  m_fleet.Start(Ref("a"), "w1");
  Answer("w1", kLater);
  Receive(Report("w1", 2), kLater + 200);
  const Orders again = Answer("w1", kLater + 200);
  LONGS_EQUAL(1, again.m_starts.size());
  LONGS_EQUAL(1, again.m_starts[0].m_run.Get());
}

// The second copy of a start is refused while the first one runs. If the
// refusal were taken for the end of the run, the task would be placed a second
// time.
TEST(WorkerTable, RefusalWhileRunIsActive_IsNoEnd)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  Receive(Report("w1", 1), kLater);
  m_fleet.Start(Ref("a"), "w1");
  WorkerReport report = Report("w1", 2);
  report.m_active.push_back(Active(Ref("a")));
  report.m_ended.push_back(End(1, Ref("a"), RunEnd::kRefused));
  CHECK(Receive(report, kLater + 100).m_ends.empty());
  LONGS_EQUAL(1, Answer("w1", kLater + 100).m_ackedUpTo);
}

TEST(WorkerTable, StaleReport_IsIgnored)
{
  Receive(Report("w1", 5), kLater);
  CHECK(Receive(Report("w1", 4), kLater + 10).m_ignored.has_value());
}

// A worker is cut off and keeps running when a delayed report of an earlier
// incarnation on its instance arrives. If it were taken for a new incarnation,
// it would end the runs of the running one.
TEST(WorkerTable, DelayedReportOfEarlierIncarnation_EndsNoRun)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  Receive(Report("w1", 1), kLater);
  m_fleet.Start(Ref("a"), "w1");
  Answer("w1", kLater);
  WorkerReport late = Report("w0", 9);
  late.m_instance = InstanceId{ "instance-of-w1" };
  CHECK(Receive(late, kLater + 500).m_ends.empty());
  LONGS_EQUAL(0, CountLostAt(kLater + 600));
}

TEST(WorkerTable, NewIncarnationKeepsReporting_EndsRunsOfThePreviousOne)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  Receive(Report("w1", 1), kLater);
  m_fleet.Start(Ref("a"), "w1");
  Answer("w1", kLater);
  WorkerReport next = Report("w2", 1);
  next.m_instance = InstanceId{ "instance-of-w1" };
  CHECK(Receive(next, kLater + 500).m_ends.empty());
  next.m_sequence = 2;
  LONGS_EQUAL(1, Receive(next, kLater + 1600).m_ends.size());
  CHECK(Receive(Report("w1", 2), kLater + 1700).m_ignored.has_value());
}

// Guards against a task that is done twice: its worker was cut off for a whole
// lease and reports the end before the task has been started again.
TEST(WorkerTable, DoneIsReportedAfterRunWasLost_TaskIsDone)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  Receive(Report("w1", 1), kLater);
  m_fleet.Start(Ref("a"), "w1");
  Answer("w1", kLater);
  Take(m_table.CollectLostRuns(
    m_fleet.Book(), At(kLater + 5'000), WallTime{ kWall }));
  LONGS_EQUAL(1, m_fleet.Book().PendingJobs(QueueId{ "host/q/" }));
  WorkerReport back = Report("w1", 2);
  back.m_ended.push_back(End(1, Ref("a"), RunEnd::kDone));
  Receive(back, kLater + 5'100);
  STRCMP_EQUAL("completed", Describe(m_fleet.StateOf("a")));
  LONGS_EQUAL(0, m_fleet.Book().PendingJobs(QueueId{ "host/q/" }));
}

// Guards against a task that is done twice when it has already been placed
// again: the second run may be lost and be followed by another.
TEST(WorkerTable, DoneIsReportedAfterTaskWasPlacedAgain_TaskIsDoneAndRunStopped)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  Receive(Report("w1", 1), kLater);
  m_fleet.Start(Ref("a"), "w1");
  Answer("w1", kLater);
  Take(m_table.CollectLostRuns(
    m_fleet.Book(), At(kLater + 5'000), WallTime{ kWall }));
  m_fleet.Start(Ref("a"), "w2", 2);
  WorkerReport back = Report("w1", 2);
  back.m_ended.push_back(End(1, Ref("a"), RunEnd::kDone));
  Receive(back, kLater + 5'100);
  STRCMP_EQUAL("completed", Describe(m_fleet.StateOf("a")));
  CHECK(m_fleet.Book().TasksByWorker().empty());
  WorkerReport other = Report("w2", 1);
  other.m_active.push_back(Active(Ref("a"), 2));
  Receive(other, kLater + 5'200);
  LONGS_EQUAL(1, Answer("w2", kLater + 5'200).m_stops.size());
}

// Guards against a long-running task that ends as done; such a task is never
// done.
TEST(WorkerTable, LongRunningTaskIsDoneLate_ChangesNothing)
{
  SubmitLongRunning(1, 1);
  Receive(Report("w1", 1), kLater);
  m_fleet.Start(Ref("a"), "w1");
  Answer("w1", kLater);
  Take(m_table.CollectLostRuns(
    m_fleet.Book(), At(kLater + 5'000), WallTime{ kWall }));
  m_fleet.Start(Ref("a"), "w2", 2);
  WorkerReport back = Report("w1", 2);
  back.m_ended.push_back(End(1, Ref("a"), RunEnd::kDone));
  CHECK(Receive(back, kLater + 5'100).m_ends.empty());
  LONGS_EQUAL(1, m_fleet.Book().TasksByWorker().size());
}

TEST(WorkerTable, RunOfCancelledJob_IsStopped)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  m_fleet.Start(Ref("a"), "w1");
  m_fleet.Apply({ Cancel{ JobId{ "a" }, WallTime{ 1 } } });
  WorkerReport report = Report("w1", 1);
  report.m_active.push_back(Active(Ref("a")));
  Receive(report, kLater);
  LONGS_EQUAL(1, Answer("w1", kLater).m_stops.size());
}

// Guards against a service below its disruption budget: another worker becomes
// unresponsive after a move was decided and before its stop is sent.
TEST(WorkerTable, OtherTaskLostAfterDecision_StopIsWithdrawn)
{
  SubmitLongRunning(2, 1);
  for (int i = 0; i < 2; ++i) {
    m_fleet.Start(Ref("a", i), "w" + std::to_string(i));
    WorkerReport report = Report("w" + std::to_string(i), 1);
    report.m_active.push_back(Active(Ref("a", i)));
    Receive(report, kLater);
  }
  const Job& job = *m_fleet.Book().Find(JobId{ "a" });
  CHECK(m_table.MayDisrupt(job, Ref("a", 0), At(kLater)));
  m_table.RequestStop(Ref("a", 0), RunNumber{ 1 });
  WorkerReport report = Report("w0", 2);
  report.m_active.push_back(Active(Ref("a", 0)));
  Receive(report, kLater + 1500);
  CHECK(Answer("w0", kLater + 1500).m_stops.empty());
}

TEST(WorkerTable, TailNearItsTarget_BestEffortTaskIsSlowed)
{
  StepSpec serving = Step(1);
  serving.m_latencyTarget = Millis{ 100 };
  StepSpec bestEffort = Step(1);
  bestEffort.m_bestEffort = true;
  m_fleet.Submit("a", Spec({ serving, bestEffort }));
  m_fleet.Start(Ref("a", 0, 0), "w1");
  m_fleet.Start(Ref("a", 0, 1), "w1");
  WorkerReport report = Report("w1", 1);
  report.m_active = { Active(Ref("a", 0, 0)), Active(Ref("a", 0, 1)) };
  report.m_active[0].m_load = 90;
  Receive(report, kLater);
  const Orders orders = Answer("w1", kLater);
  LONGS_EQUAL(1, orders.m_rates.size());
  LONGS_EQUAL(50, orders.m_rates[0].m_percent);
}

// Guards against a job that waits forever: a worker reports as healthy, but a
// task on it makes no progress, so that neither its lease ends nor anything
// fails.
TEST(WorkerTable, RunWithoutProgress_IsStopped)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  m_fleet.Start(Ref("a"), "w1");
  WorkerReport report = Report("w1", 1);
  report.m_active.push_back(Active(Ref("a")));
  for (int i = 0; i < 6; ++i) {
    report.m_sequence = i + 1;
    report.m_active[0].m_percent = 40;
    Receive(report, kLater + 500 * i);
    CHECK(m_table.FindStuckRuns(m_fleet.Book(), At(kLater + 500 * i)).empty());
  }
  report.m_sequence = 7;
  Receive(report, kLater + 3000);
  LONGS_EQUAL(1,
              m_table.FindStuckRuns(m_fleet.Book(), At(kLater + 3000)).size());
  LONGS_EQUAL(0,
              m_table.FindStuckRuns(m_fleet.Book(), At(kLater + 3100)).size());
  LONGS_EQUAL(1, Answer("w1", kLater + 3100).m_stops.size());
}

TEST(WorkerTable, SlowRunWithProgress_IsNotStopped)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  m_fleet.Start(Ref("a"), "w1");
  WorkerReport report = Report("w1", 1);
  report.m_active.push_back(Active(Ref("a")));
  for (int i = 0; i < 10; ++i) {
    report.m_sequence = i + 1;
    report.m_active[0].m_percent = i;
    Receive(report, kLater + 2500 * i);
    CHECK(m_table.FindStuckRuns(m_fleet.Book(), At(kLater + 2500 * i)).empty());
  }
}

TEST(WorkerTable, ThreeFailuresInARow_ExcludeWorker)
{
  m_fleet.Submit("a", Spec({ Step(3) }));
  WorkerReport report = Report("w1", 1);
  for (std::uint32_t i = 0; i < 3; ++i) {
    m_fleet.Start(Ref("a", i), "w1");
    report.m_ended.push_back(End(i + 1, Ref("a", i), RunEnd::kFailed));
  }
  Receive(report, kLater);
  CHECK(!m_table.Find(Life("w1"))->IsUsable(At(kLater + 1000)));
  CHECK(m_table.Find(Life("w1"))->IsUsable(At(kLater + 6001)));
}

// Guards against a pool without workers where every task fails, whatever worker
// it runs on.
TEST(WorkerTable, AllWorkersHaveFailures_FewAreExcluded)
{
  constexpr std::uint32_t kWorkers = 8;
  m_fleet.Submit("a", Spec({ Step(3 * kWorkers) }));
  std::vector<WorkerReport> reports;
  for (std::uint32_t w = 0; w < kWorkers; ++w) {
    const std::string worker = "w" + std::to_string(w);
    reports.push_back(Report(worker, 2));
    Receive(Report(worker, 1), kLater);
    for (std::uint32_t i = 0; i < 3; ++i) {
      const TaskRef task = Ref("a", 3 * w + i);
      m_fleet.Start(task, worker);
      reports.back().m_ended.push_back(End(i + 1, task, RunEnd::kFailed));
    }
  }
  std::size_t excluded = 0;
  for (const WorkerReport& report : reports) {
    Receive(report, kLater + 100);
    excluded +=
      m_table.Find(report.m_worker)->IsUsable(At(kLater + 1000)) ? 0 : 1;
  }
  LONGS_EQUAL(kWorkers / 4, excluded);
}

// Reports of steady workers are answered late to reduce their number. A worker
// with news or with pending orders must not wait with them.
TEST(WorkerTable, WorkerWithoutPendingWork_IsSteady)
{
  const WorkerIncarnation worker = Life("w1");
  StepSpec longRunning = Step(1, 100);
  longRunning.m_longRunning = true;
  m_fleet.Submit("lasting", Spec({ longRunning }));
  m_fleet.Submit("short", Spec({ Step(1) }));
  Receive(Report("w1", 1), 1000);
  CHECK(m_table.IsSteady(worker, m_fleet.Book()));

  m_fleet.Start(Ref("lasting"), "w1");
  CHECK_FALSE(m_table.IsSteady(worker, m_fleet.Book()));
  WorkerReport report = Report("w1", 2);
  report.m_active = { Active(Ref("lasting")) };
  Receive(report, 1100);
  CHECK(m_table.IsSteady(worker, m_fleet.Book()));

  m_fleet.Start(Ref("short"), "w1");
  CHECK_FALSE(m_table.IsSteady(worker, m_fleet.Book()));
  report = Report("w1", 3);
  report.m_active = { Active(Ref("lasting")), Active(Ref("short")) };
  Receive(report, 1200);
  CHECK_FALSE(m_table.IsSteady(worker, m_fleet.Book()));

  m_fleet.End(Ref("short"), RunEnd::kDone);
  report = Report("w1", 4);
  report.m_active = { Active(Ref("lasting")) };
  report.m_ended = { End(1, Ref("short"), RunEnd::kDone) };
  Receive(report, 1300);
  CHECK_FALSE(m_table.IsSteady(worker, m_fleet.Book()));

  report = Report("w1", 5);
  report.m_active = { Active(Ref("lasting")) };
  Receive(report, 1400);
  CHECK(m_table.IsSteady(worker, m_fleet.Book()));
  m_table.RequestStop(Ref("lasting"), RunNumber{ 1 });
  CHECK_FALSE(m_table.IsSteady(worker, m_fleet.Book()));
}

TEST(WorkerTable, DrainingWorker_IsNotSteady)
{
  WorkerReport report = Report("w1", 1);
  report.m_draining = true;
  Receive(report, 1000);
  CHECK_FALSE(m_table.IsSteady(Life("w1"), m_fleet.Book()));
}

TEST(WorkerTable, FullWorker_ReportsLessOften)
{
  const WorkerIncarnation worker = Life("w1");
  m_fleet.Submit("a", Spec({ Step(4, 1000) }));
  Receive(Report("w1", 1), 1000);
  for (std::uint32_t i = 0; i < 3; ++i) {
    m_fleet.Start(Ref("a", i), "w1");
  }
  const Duration withFreeCapacity =
    m_table.Answer(worker, m_fleet.Book(), At(1000)).m_nextReport;
  m_fleet.Start(Ref("a", 3), "w1");
  const Duration full =
    m_table.Answer(worker, m_fleet.Book(), At(1000)).m_nextReport;
  CHECK(full > withFreeCapacity);
}

// A job is cancelled while a start of it is under way. The worker starts the
// run after the cancel; its next report shows the run, and the answer to that
// report stops it.
TEST(WorkerTable, RunStartedLateAfterCancel_IsStoppedWithTheNextAnswer)
{
  m_fleet.Submit("j", Spec({ Step(1, 1000) }));
  Receive(Report("w1", 1), kLater);
  m_fleet.Start(Ref("j"), "w1");
  LONGS_EQUAL(1, Answer("w1", kLater + 10).m_starts.size());
  m_fleet.Apply({ Cancel{ JobId{ "j" }, WallTime{ kWall } } });
  WorkerReport late = Report("w1", 2);
  late.m_active = { Active(Ref("j")) };
  Receive(late, kLater + 2500);
  const Orders orders = Answer("w1", kLater + 2510);
  LONGS_EQUAL(0, orders.m_starts.size());
  LONGS_EQUAL(1, orders.m_stops.size());
}

// The leader that started the task is removed for good, and the job is
// cancelled at its successor, which never saw the start. The first report to
// the successor shows the run, and the answer stops it.
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

// The report of a worker with only long-running tasks is answered late. When
// its job is cancelled, the worker no longer counts as steady, so that the
// stop is sent at once.
TEST(WorkerTable, JobOfASteadyWorkerCancelled_IsNoLongerSteady)
{
  StepSpec longRunning = Step(1, 1000);
  longRunning.m_longRunning = true;
  m_fleet.Submit("j", Spec({ longRunning }));
  m_fleet.Start(Ref("j"), "w1");
  WorkerReport report = Report("w1", 1);
  report.m_active = { Active(Ref("j")) };
  Receive(report, kLater);
  CHECK(m_table.IsSteady(Life("w1"), m_fleet.Book()));
  m_fleet.Apply({ Cancel{ JobId{ "j" }, WallTime{ kWall } } });
  CHECK_FALSE(m_table.IsSteady(Life("w1"), m_fleet.Book()));
}

// Guards against a job that never makes progress again because an end was
// acknowledged but not committed. An end is acknowledged only after its batch
// is committed, and when the batch fails, the repeated end counts.
TEST(WorkerTable, EndOfABatchThatFailed_CountsWhenRepeated)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  m_fleet.Start(Ref("a"), "w1");
  WorkerReport report = Report("w1", 1);
  const auto endsAccepted = [&](std::uint64_t aSequence) {
    report.m_sequence = aSequence;
    return m_table.OnReport(report, m_fleet.Book(), At(1000), WallTime{ kWall })
      .m_ends.size();
  };
  report.m_ended.push_back(End(1, Ref("a"), RunEnd::kDone));
  LONGS_EQUAL(1, endsAccepted(1));
  const auto failed = m_table.TakeReceipts();
  LONGS_EQUAL(0, endsAccepted(2));
  LONGS_EQUAL(0, Answer("w1", 1100).m_ackedUpTo);
  m_table.Rollback(failed);
  LONGS_EQUAL(1, endsAccepted(3));
  m_table.Acknowledge(m_table.TakeReceipts());
  LONGS_EQUAL(1, Answer("w1", 1300).m_ackedUpTo);
}

// Guards against leases that run out: an overloaded leader that asks for fewer
// reports must not ask for so few that two lost ones make a worker
// unresponsive.
TEST(WorkerTable, IntervalFactorRaised_IntervalGrowsUpToABound)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  m_fleet.Start(Ref("a"), "w1");
  WorkerReport working = Report("w1", 1);
  working.m_active.push_back(Active(Ref("a")));
  Receive(working, 1000);
  CHECK(Answer("w1", 1000).m_nextReport == Millis{ 200 });
  m_table.SetReportIntervalFactor(2);
  CHECK(Answer("w1", 1000).m_nextReport == Millis{ 400 });
  m_table.SetReportIntervalFactor(4);
  CHECK(Answer("w1", 1000).m_nextReport == Millis{ 700 });
}

// Guards against an overloaded leader that asks steady workers to report more
// often than before: their reports are not held any more.
TEST(WorkerTable, IntervalFactorRaised_SteadyWorkerWaitsAsIfHeld)
{
  Receive(Report("w1", 1), 1000);
  CHECK(Answer("w1", 1000).m_nextReport == Millis{ 50 });
  m_table.SetReportIntervalFactor(2);
  CHECK(Answer("w1", 1000).m_nextReport == Millis{ 700 });
}

// Guards against evidence that is forgotten with an incarnation while the end
// of its runs is not committed yet.
TEST(WorkerTable, EndOfSupersededWorkerIsProposedAgain_EvidenceIsTheSame)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  Receive(Report("w1", 1), kLater);
  m_fleet.Start(Ref("a"), "w1");
  Answer("w1", kLater);
  WorkerReport next = Report("w2", 1);
  next.m_instance = InstanceId{ "instance-of-w1" };
  Receive(next, kLater + 2'000);
  next.m_sequence = 2;
  const auto proposed = m_table.OnReport(
    next, m_fleet.Book(), At(kLater + 3'100), WallTime{ kWall });
  LONGS_EQUAL(1, proposed.m_ends.size());
  const auto again = m_table.CollectLostRuns(
    m_fleet.Book(), At(kLater + 3'200), WallTime{ kWall });
  LONGS_EQUAL(1, again.size());
  STRCMP_EQUAL("had just started", Describe(proposed.m_ends[0].m_evidence));
  STRCMP_EQUAL("had just started", Describe(again[0].m_evidence));
}

TEST(WorkerTable, EndOfWorkerThatIsOrderedAwayLaterIsProposedAgain_SameEvidence)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  Receive(Report("w1", 1), kLater);
  m_fleet.Start(Ref("a"), "w1");
  Answer("w1", kLater);
  const auto lost = [&](std::int64_t aAtMs) {
    return m_table.CollectLostRuns(
      m_fleet.Book(), At(aAtMs), WallTime{ kWall });
  };
  STRCMP_EQUAL("had just started",
               Describe(lost(kLater + 5'000)[0].m_evidence));
  m_table.Retire(Life("w1"), m_fleet.Book(), WallTime{ kWall });
  STRCMP_EQUAL("had just started",
               Describe(lost(kLater + 5'100)[0].m_evidence));
}

// Guards against a start that never ran and counts as the task's last run.
TEST(WorkerTable, WorkerIsLost_EndsTellWhichRunsWereShown)
{
  m_fleet.Submit("a", Spec({ Step(2) }));
  m_fleet.Start(Ref("a"), "w");
  WorkerReport report = Report("w", 1);
  report.m_active.push_back(Active(Ref("a")));
  Receive(report, kLater);
  m_fleet.Start(Ref("a", 1), "w");
  const auto ends = m_table.CollectLostRuns(
    m_fleet.Book(), At(kLater + 10'000), WallTime{ kWall + 10'000 });
  LONGS_EQUAL(2, ends.size());
  LONGS_EQUAL(kWall, ends[0].m_ranUntil->Get());
  CHECK(!ends[1].m_ranUntil);
  LONGS_EQUAL(1, m_table.TakeLostWorkers().at(0).m_unsentStarts);
}

// Guards against a task that is suspected as much for a start in a mass loss as
// for one after which its worker alone was lost.
TEST(WorkerTable, ManyWorkersAreLostTogether_StartsAreWeakEvidence)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  for (int i = 0; i < 4; ++i) {
    Receive(Report("w" + std::to_string(i), 1), kLater);
  }
  m_fleet.Start(Ref("a"), "w0");
  Answer("w0", kLater);
  const auto ends = m_table.CollectLostRuns(
    m_fleet.Book(), At(kLater + 10'000), WallTime{ kWall });
  LONGS_EQUAL(1, ends.size());
  CHECK(ends[0].m_evidence == CrashEvidence::kStartingInMassLoss);
}

// Guards against a quiet period that never comes, because workers that leave by
// order, or announce that they drain, count as lost.
TEST(WorkerTable, WorkersDrainAndLossesAreOld_PeriodIsQuiet)
{
  for (int i = 0; i < 8; ++i) {
    Receive(Report("w" + std::to_string(i), 1), kLater);
  }
  const auto activity = [&](std::int64_t aAtMs) {
    return m_table.AssessLosses(ServiceId{ "desk" }, m_fleet.Book(), At(aAtMs));
  };
  CHECK(activity(kLater + 1'000) == LossActivity::kQuiet);
  CHECK(activity(kLater + 2'000) == LossActivity::kMass);
  CHECK(activity(kLater + 3'000) == LossActivity::kQuiet);
  for (int i = 0; i < 8; ++i) {
    WorkerReport report = Report("w" + std::to_string(i), 2);
    report.m_draining = true;
    Receive(report, kLater + 4'000);
  }
  CHECK(activity(kLater + 6'000) == LossActivity::kQuiet);
}
