#include "job_fixtures.h"

#include "check.h"

using namespace bamboostile;
using namespace bamboostile::jobs;
using namespace bamboostile::placement;
using namespace job_fixtures;

namespace {

/** A time long after the leader was elected, in milliseconds. */
constexpr std::int64_t kSteadyMs = 60'000;

} // namespace

TEST_GROUP(PlacementPlanner)
{
  Fleet m_fleet;
  placement::WorkerTable m_table{ LeaseOptions{}, At(0) };
  Planner m_planner;
  std::set<WorkerIncarnation> m_cordoned;

  void Receive(const WorkerReport& aReport)
  {
    m_table.OnReport(aReport, m_fleet.Book(), At(kSteadyMs), WallTime{ 1000 });
  }

  Plan MakePlan()
  {
    return m_planner.ComputePlan(
      m_fleet.State(), m_table, m_cordoned, At(kSteadyMs), WallTime{ 1000 });
  }

  /** Applies a plan; returns the number of its changes. */
  std::size_t StartPlanned()
  {
    const Plan plan = MakePlan();
    m_fleet.Apply(plan.m_changes);
    return plan.m_changes.size();
  }

  /** The task's first run was shown until then. */
  void LoseWorkerOf(const TaskRef& aTask, CrashEvidence aEvidence)
  {
    m_fleet.Apply({ EndRun{ aTask,
                            RunNumber{ 1 },
                            RunEnd::kWorkerLost,
                            "",
                            WallTime{ 5 },
                            aEvidence,
                            InstanceId{},
                            false,
                            WallTime{ 5 } } });
  }

  /** On each of eight workers, three of four cores are in use. Three
   * long-running tasks, one a worker, have lost their runs; then come eight
   * tasks that fit. */
  void LoseThreeRunsInABusyPool(CrashEvidence aEvidence)
  {
    for (int i = 1; i <= 8; ++i) {
      const std::string worker = "w" + std::to_string(i);
      Receive(Report(worker, 1));
      m_fleet.Submit("running-" + worker, Spec({ Step(1, 3000) }));
      m_fleet.Start(Ref("running-" + worker), worker);
    }
    StepSpec step = Step(3, 3000);
    step.m_longRunning = true;
    step.m_maxPerWorker = 1;
    m_fleet.Submit("lasting", Spec({ step }));
    for (std::uint32_t i = 0; i < 3; ++i) {
      m_fleet.Start(Ref("lasting", i), "lost" + std::to_string(i));
      LoseWorkerOf(Ref("lasting", i), aEvidence);
    }
    m_fleet.Submit("small", Spec({ Step(8, 1000) }));
  }

  std::string WorkerOf(const TaskRef& aTask)
  {
    return m_fleet.Book().FindTask(aTask)->m_worker.m_id.Get();
  }
};

TEST(PlacementPlanner, MoreTasksThanCapacity_StartsWhatFits)
{
  Receive(Report("w1", 1));
  m_fleet.Submit("a", Spec({ Step(6, 1000) }));
  LONGS_EQUAL(4, StartPlanned());
  LONGS_EQUAL(0, StartPlanned());
}

// Guards against long-running tasks that wait and nothing says why.
TEST(PlacementPlanner, LongRunningTaskThatDoesNotFit_PlanSaysWhy)
{
  Receive(Report("w1", 1));
  StepSpec step = Step(6, 1000);
  step.m_longRunning = true;
  m_fleet.Submit("a", Spec({ step }));
  const Plan plan = MakePlan();
  LONGS_EQUAL(4, plan.m_changes.size());
  LONGS_EQUAL(1, plan.m_waiting.size());
  const WaitingTask& waiting = plan.m_waiting.begin()->second;
  STRCMP_EQUAL("no worker has room", Describe(waiting.m_reason));
  LONGS_EQUAL(1, waiting.m_workers->m_full);
}

// Guards against a wait whose log does not tell workers that are full from
// those that the leader keeps the task from.
TEST(PlacementPlanner, LongRunningTaskFindsNoWorker_PlanCountsWorkersByReason)
{
  WorkerReport draining = Report("w1", 1);
  draining.m_draining = true;
  Receive(draining);
  Receive(Report("w2", 1));
  Receive(Report("w3", 1));
  StepSpec step = Step(2, 3000);
  step.m_longRunning = true;
  step.m_maxPerWorker = 1;
  m_fleet.Submit("running", Spec({ Step(1, 2000) }));
  m_fleet.Start(Ref("running"), "w3");
  m_fleet.Submit("lasting", Spec({ step }));
  m_fleet.Start(Ref("lasting"), "w2");
  const Plan plan = MakePlan();
  const WorkerCensus& workers = *plan.m_waiting.at(Ref("lasting", 1)).m_workers;
  LONGS_EQUAL(1, workers.m_excluded);
  LONGS_EQUAL(1, workers.m_disallowed);
  LONGS_EQUAL(1, workers.m_full);
  LONGS_EQUAL(0, workers.m_withheld);
}

// Guards against a log that does not tell workers that are full for good from
// those that will have room, and from those that only the leader takes for
// full.
TEST(PlacementPlanner, WorkersAreFull_PlanTellsOfWhatAndByWhoseAccount)
{
  StepSpec step = Step(1, 3000);
  step.m_longRunning = true;
  for (const char* name : { "hosts", "starts" }) {
    m_fleet.Submit(name, Spec({ step }));
    m_fleet.Start(Ref(name), name);
  }
  m_fleet.Submit("short", Spec({ Step(1, 3000) }));
  m_fleet.Start(Ref("short"), "short");
  for (const char* name : { "hosts", "short" }) {
    WorkerReport report = Report(name, 1);
    report.m_active = { Active(Ref(name)) };
    Receive(report);
  }
  Receive(Report("starts", 1));
  m_fleet.Submit("waits", Spec({ step }));
  const Plan plan = MakePlan();
  const WorkerCensus& workers = *plan.m_waiting.at(Ref("waits")).m_workers;
  LONGS_EQUAL(3, workers.m_full);
  LONGS_EQUAL(2, workers.m_fullOfLongRunning);
  LONGS_EQUAL(2, workers.m_fullByReport);
}

// Guards against a long-running gang that waits and nothing says so.
TEST(PlacementPlanner, LongRunningGangFindsNoRoom_PlanListsItsMembers)
{
  Receive(Report("w1", 1));
  StepSpec step = Step(2, 3000);
  step.m_longRunning = true;
  step.m_gang = true;
  m_fleet.Submit("gang", Spec({ step }));
  const Plan plan = MakePlan();
  LONGS_EQUAL(2, plan.m_unplaced.at(Ref("gang")).m_count);
  LONGS_EQUAL(1, plan.m_unplaced.at(Ref("gang")).m_withoutRoom);
  LONGS_EQUAL(1, plan.m_waiting.count(Ref("gang")));
}

TEST(PlacementPlanner, DependentStep_WaitsForItsDependency)
{
  Receive(Report("w1", 1));
  StepSpec second = Step(1);
  second.m_dependsOn = { 0 };
  m_fleet.Submit("a", Spec({ Step(1), second }));
  LONGS_EQUAL(1, StartPlanned());
  LONGS_EQUAL(0, StartPlanned());
  m_fleet.End(Ref("a"), RunEnd::kDone);
  LONGS_EQUAL(1, StartPlanned());
}

TEST(PlacementPlanner, DrainingOrCordonedWorker_GetsNothing)
{
  WorkerReport draining = Report("w1", 1);
  draining.m_draining = true;
  Receive(draining);
  Receive(Report("w2", 1));
  m_cordoned.insert(Life("w2"));
  m_fleet.Submit("a", Spec({ Step(1) }));
  LONGS_EQUAL(0, StartPlanned());
}

TEST(PlacementPlanner, LimitOnOneWorker_SpreadsTasks)
{
  Receive(Report("w1", 1));
  Receive(Report("w2", 1));
  StepSpec step = Step(3);
  step.m_maxPerWorker = 1;
  m_fleet.Submit("a", Spec({ step }));
  LONGS_EQUAL(2, StartPlanned());
  CHECK(WorkerOf(Ref("a", 0)) != WorkerOf(Ref("a", 1)));
}

TEST(PlacementPlanner, RequiredLabel_NoOtherWorkerIsUsed)
{
  Receive(Report("w1", 1));
  WorkerReport labelled = Report("w2", 1);
  labelled.m_labels = { "big" };
  Receive(labelled);
  StepSpec step = Step(1);
  step.m_requiredLabel = "big";
  m_fleet.Submit("a", Spec({ step }));
  LONGS_EQUAL(1, StartPlanned());
  CHECK_STRING("w2", WorkerOf(Ref("a")));
}

TEST(PlacementPlanner, GangThatDoesNotFit_StartsNoMember)
{
  Receive(Report("w1", 1));
  StepSpec step = Step(5);
  step.m_gang = true;
  m_fleet.Submit("a", Spec({ step }));
  LONGS_EQUAL(0, StartPlanned());
  Receive(Report("w2", 1));
  LONGS_EQUAL(5, StartPlanned());
}

TEST(PlacementPlanner, LongRunningTask_GoesBeforeOlderOnes)
{
  Receive(Report("w1", 1));
  m_fleet.Submit("old", Spec({ Step(1, 4000) }));
  StepSpec longRunning = Step(1, 4000);
  longRunning.m_longRunning = true;
  m_fleet.Submit("lasting", Spec({ longRunning }));
  StartPlanned();
  CHECK_STRING("w1", WorkerOf(Ref("lasting")));
}

// Guards against spreading sixteen long-running tasks over all twelve free
// workers, so that none could ever move to another pool, and against placing
// them on one worker, whose loss would stop them all.
TEST(PlacementPlanner, LongRunningTasks_ShareWorkersButNotOne)
{
  for (int i = 1; i <= 12; ++i) {
    Receive(Report("w" + std::to_string(i), 1));
  }
  StepSpec step = Step(16, 500);
  step.m_longRunning = true;
  m_fleet.Submit("a", Spec({ step }));
  m_fleet.Submit("b", Spec({ step }));
  LONGS_EQUAL(32, StartPlanned());
  LONGS_EQUAL(8, m_fleet.Book().TasksByWorker().size());
  std::map<std::pair<WorkerIncarnation, JobId>, int> tasksOfJob;
  for (const auto& [worker, tasks] : m_fleet.Book().TasksByWorker()) {
    for (const TaskRef& task : tasks) {
      LONGS_EQUAL(1, (++tasksOfJob[{ worker, task.m_job }] + 1) / 2);
    }
  }
}

// Guards against a long-running task, restarted in a peak, that keeps one more
// worker in the pool after the peak: ten workers run short tasks, and only one
// hosts a long-running task already.
TEST(PlacementPlanner, LongRunningTaskInAPeak_JoinsAnotherOne)
{
  StepSpec longRunning = Step(1, 500);
  longRunning.m_longRunning = true;
  for (int i = 1; i <= 10; ++i) {
    Receive(Report("w" + std::to_string(i), 1));
    const std::string job = "short-" + std::to_string(i);
    m_fleet.Submit(job, Spec({ Step(1, 1000) }));
    m_fleet.Start(Ref(job), "w" + std::to_string(i));
  }
  Receive(Report("w11", 1));
  m_fleet.Submit("lasting", Spec({ longRunning }));
  m_fleet.Start(Ref("lasting"), "w11");
  m_fleet.Submit("filling", Spec({ Step(1, 2000) }));
  m_fleet.Start(Ref("filling"), "w11");
  m_fleet.Submit("restarted", Spec({ longRunning }));
  LONGS_EQUAL(1, StartPlanned());
  CHECK_STRING("w11", WorkerOf(Ref("restarted")));
}

// Guards against starvation of a large task: small tasks that arrive later
// would take all capacity that becomes free.
TEST(PlacementPlanner, LargeTaskThatDoesNotFit_ReservesOneWorker)
{
  for (int i = 1; i <= 4; ++i) {
    Receive(Report("w" + std::to_string(i), 1));
    const std::string job = "running-" + std::to_string(i);
    m_fleet.Submit(job, Spec({ Step(1, 1000) }));
    m_fleet.Start(Ref(job), "w" + std::to_string(i));
  }
  m_fleet.Submit("large", Spec({ Step(1, 4000) }));
  m_fleet.Submit("small", Spec({ Step(12, 1000) }));
  LONGS_EQUAL(9, StartPlanned());
}

// Guards against long-running tasks that restart one after the other in a full
// pool.
TEST(PlacementPlanner, LongRunningTasksLostTheirRuns_EachReservesOneWorker)
{
  LoseThreeRunsInABusyPool(CrashEvidence::kNone);
  LONGS_EQUAL(8 - 3, StartPlanned());
}

// Guards against long-running suspects that starve in a full pool.
TEST(PlacementPlanner, LongRunningSuspectsLostTheirRuns_EachReservesOneWorker)
{
  LoseThreeRunsInABusyPool(CrashEvidence::kStarting);
  LONGS_EQUAL(8 - 3, StartPlanned());
}

// Guards against room for a long-running task that is kept from another one.
TEST(PlacementPlanner, WorkersAreReservedForRestarts_SmallerRestartsUseThem)
{
  LoseThreeRunsInABusyPool(CrashEvidence::kNone);
  StepSpec step = Step(8, 1000);
  step.m_longRunning = true;
  step.m_maxPerWorker = 1;
  m_fleet.Submit("smaller", Spec({ step }));
  for (std::uint32_t i = 0; i < 8; ++i) {
    m_fleet.Start(Ref("smaller", i), "gone" + std::to_string(i));
    LoseWorkerOf(Ref("smaller", i), CrashEvidence::kNone);
  }
  LONGS_EQUAL(8, StartPlanned());
  CHECK(m_fleet.Book().FindTask(Ref("smaller", 7))->m_lastRun ==
        RunNumber{ 2 });
}

// Guards against a large task that starves behind a reservation of no use: the
// emptiest worker already hosts a task of its step.
TEST(PlacementPlanner, EmptiestWorkerMayNotRunTheTask_ReservesAnother)
{
  StepSpec step = Step(2, 3000);
  step.m_longRunning = true;
  step.m_maxPerWorker = 1;
  m_fleet.Submit("lasting", Spec({ step }));
  for (int i = 1; i <= 4; ++i) {
    const std::string worker = "w" + std::to_string(i);
    WorkerReport report = Report(worker, 1);
    report.m_capacity.m_cpuMillis = i == 1 ? 8000 : 4000;
    Receive(report);
    m_fleet.Submit("running-" + worker, Spec({ Step(1, 2000) }));
    m_fleet.Start(Ref("running-" + worker), worker);
  }
  m_fleet.Start(Ref("lasting"), "w1");
  m_fleet.Submit("small", Spec({ Step(12, 1000) }));
  LONGS_EQUAL(3 + 2 * 2, StartPlanned());
}

// The same for a worker whose long-running tasks leave no memory for it.
TEST(PlacementPlanner, LongRunningTaskFillsEmptiestWorker_ReservesAnother)
{
  StepSpec large = Step(1, 500);
  large.m_longRunning = true;
  large.m_resources.m_memoryMb = 3000;
  for (int i = 1; i <= 4; ++i) {
    const std::string worker = "w" + std::to_string(i);
    WorkerReport report = Report(worker, 1);
    report.m_capacity.m_cpuMillis = i == 1 ? 8000 : 4000;
    Receive(report);
    StepSpec step = Step(1, 1000);
    step.m_longRunning = i == 1;
    step.m_resources.m_memoryMb = 1500;
    m_fleet.Submit("running-" + worker, Spec({ step }));
    m_fleet.Start(Ref("running-" + worker), worker);
  }
  m_fleet.Submit("large", Spec({ large }));
  m_fleet.Submit("small", Spec({ Step(20, 1000) }));
  LONGS_EQUAL(7 + 2 * 3, StartPlanned());
}

// Guards against idle cores: sixteen workers have one free core each, and tasks
// of two cores come first. If each of these reserved a worker, the tasks of one
// core behind them would wait while cores stay unused.
TEST(PlacementPlanner, TasksThatDoNotFit_ReserveFewWorkers)
{
  for (int i = 1; i <= 16; ++i) {
    const std::string worker = "w" + std::to_string(i);
    Receive(Report(worker, 1));
    m_fleet.Submit("running-" + worker, Spec({ Step(1, 3000) }));
    m_fleet.Start(Ref("running-" + worker), worker);
  }
  for (int i = 0; i < 4; ++i) {
    m_fleet.Submit("larger-" + std::to_string(i), Spec({ Step(2, 2000) }));
  }
  m_fleet.Submit("small", Spec({ Step(16, 1000) }));
  LONGS_EQUAL(15, StartPlanned());
}

// Guards against reserving a worker for tasks that are not large. They fit soon
// without it.
TEST(PlacementPlanner, SmallTaskThatDoesNotFit_ReservesNoWorker)
{
  for (int i = 1; i <= 16; ++i) {
    WorkerReport report = Report("w" + std::to_string(i), 1);
    report.m_capacity = { 16'000, 4000, 0 };
    Receive(report);
    const std::string job = "running-" + std::to_string(i);
    m_fleet.Submit(job, Spec({ Step(1, 15'000) }));
    m_fleet.Start(Ref(job), "w" + std::to_string(i));
  }
  m_fleet.Submit("medium", Spec({ Step(2, 2000) }));
  m_fleet.Submit("small", Spec({ Step(16, 1000) }));
  LONGS_EQUAL(16, StartPlanned());
}

// Guards against a step whose tasks all start on the only worker without a run
// that has just begun.
TEST(PlacementPlanner, AllWorkersButOneHaveRecentRuns_LongRunningStepIsSpread)
{
  std::map<std::string, int> tasksOn;
  for (int i = 1; i <= 8; ++i) {
    const std::string worker = "w" + std::to_string(i);
    WorkerReport report = Report(worker, 1);
    report.m_capacity.m_cpuMillis = 16'000;
    if (i > 1) {
      m_fleet.Submit("running-" + worker, Spec({ Step(1) }));
      m_fleet.Start(Ref("running-" + worker), worker);
      report.m_active.push_back(Active(Ref("running-" + worker)));
    }
    Receive(report);
  }
  StepSpec step = Step(8);
  step.m_longRunning = true;
  m_fleet.Submit("lasting", Spec({ step }));
  StartPlanned();
  for (std::uint32_t i = 0; i < step.m_count; ++i) {
    LONGS_EQUAL(1, ++tasksOn[WorkerOf(Ref("lasting", i))]);
  }
}

// Guards against a task that has been away for seconds and waits behind new
// ones that are due earlier.
TEST(PlacementPlanner, LongRunningTaskIsToRestart_GoesBeforeNewOnes)
{
  Receive(Report("w1", 1));
  StepSpec step = Step(1, 4000);
  step.m_longRunning = true;
  m_fleet.Submit("new", Spec({ step }), -100'000);
  m_fleet.Submit("away", Spec({ step }));
  m_fleet.Start(Ref("away"), "w0");
  LoseWorkerOf(Ref("away"), CrashEvidence::kNone);
  StartPlanned();
  STRCMP_EQUAL("w1", WorkerOf(Ref("away")).c_str());
}

// The same for a suspect, whose turn is after all other long-running tasks.
TEST(PlacementPlanner, LongRunningSuspectIsToRestart_GoesBeforeNewOnes)
{
  Receive(Report("w1", 1));
  StepSpec step = Step(1, 4000);
  step.m_longRunning = true;
  m_fleet.Submit("new", Spec({ step }), -100'000);
  m_fleet.Submit("away", Spec({ step }));
  m_fleet.Start(Ref("away"), "w0");
  LoseWorkerOf(Ref("away"), CrashEvidence::kStarting);
  StartPlanned();
  STRCMP_EQUAL("w1", WorkerOf(Ref("away")).c_str());
}

// Guards against one more start after all attempts have failed while the queue
// had no route, and so no limit.
TEST(PlacementPlanner, AttemptsWereUsedUpWithoutARoute_JobFails)
{
  const fleet::RouteTable routes = m_fleet.State().Routes();
  fleet::RouteTable table = routes;
  ++table.m_version;
  table.m_routes.clear();
  Receive(Report("w1", 1));
  m_fleet.Submit("a", Spec({ Step(1) }));
  for (std::uint32_t run = 1; run <= routes.m_routes[0].m_maxAttempts; ++run) {
    m_fleet.Start(Ref("a"), "w1", run);
    m_fleet.Do(fleet::ReplaceRoutes{ table });
    m_fleet.End(Ref("a"), RunEnd::kFailed, run);
  }
  table = routes;
  table.m_version += 2;
  m_fleet.Do(fleet::ReplaceRoutes{ table });
  StartPlanned();
  STRCMP_EQUAL("failed", Describe(m_fleet.StateOf("a")));
}

// Guards against a restart that is lost before it runs, under a task that the
// same pass started beside it.
TEST(PlacementPlanner, LongRunningTaskRestarts_NothingStartsBesideItUntilItRuns)
{
  StepSpec step = Step(1);
  step.m_longRunning = true;
  m_fleet.Submit("lasting", Spec({ step }));
  m_fleet.Start(Ref("lasting"), "w0");
  LoseWorkerOf(Ref("lasting"), CrashEvidence::kNone);
  m_fleet.Submit("new", Spec({ Step(1) }));
  Receive(Report("w1", 1));
  LONGS_EQUAL(1, StartPlanned());
  CHECK_STRING("w1", WorkerOf(Ref("lasting")));
  Receive(Report("w1", 2));
  LONGS_EQUAL(0, StartPlanned());
  WorkerReport running = Report("w1", 3);
  running.m_active = { Active(Ref("lasting"), 2) };
  Receive(running);
  LONGS_EQUAL(1, StartPlanned());
  CHECK_STRING("w1", WorkerOf(Ref("new")));
}

TEST(PlacementPlanner, LateJob_GoesAfterOneThatCanBeInTime)
{
  Receive(Report("w1", 1));
  m_fleet.Submit("late", Spec({ Step(1, 4000) }), -100'000);
  m_fleet.Submit("fresh", Spec({ Step(1, 4000) }), 900);
  StartPlanned();
  CHECK_STRING("w1", WorkerOf(Ref("fresh")));
}

// Guards against stopping a long-running task that cannot restart: the only
// worker with free capacity already runs its limit of one task of the step, so
// the task would be down until a third worker joins.
TEST(PlacementPlanner, LongRunningTaskThatNoOtherWorkerMayTake_Stays)
{
  StepSpec step = Step(2, 100);
  step.m_longRunning = true;
  step.m_maxPerWorker = 1;
  m_fleet.Submit("a", Spec({ step }));
  for (std::uint32_t i = 0; i < 2; ++i) {
    const std::string worker = "w" + std::to_string(i + 1);
    m_fleet.Start(Ref("a", i), worker);
    WorkerReport report = Report(worker, 1);
    report.m_active = { Active(Ref("a", i)) };
    Receive(report);
  }
  m_cordoned.insert(Life("w1"));
  LONGS_EQUAL(0, MakePlan().m_stops.size());
  Receive(Report("w3", 1));
  LONGS_EQUAL(1, MakePlan().m_stops.size());
}

TEST(PlacementPlanner, LongRunningTasksOnCordonedWorker_MoveOneAtATime)
{
  StepSpec step = Step(2);
  step.m_longRunning = true;
  step.m_disruptionBudget = 1;
  m_fleet.Submit("a", Spec({ step }));
  m_fleet.Start(Ref("a", 0), "w1");
  m_fleet.Start(Ref("a", 1), "w1");
  WorkerReport report = Report("w1", 1);
  report.m_active = { Active(Ref("a", 0)), Active(Ref("a", 1)) };
  Receive(report);
  Receive(Report("w2", 1));
  m_cordoned.insert(Life("w1"));
  LONGS_EQUAL(1, MakePlan().m_stops.size());
}

TEST(PlacementPlanner, OccurrenceNotDue_DoesNotStart)
{
  Receive(Report("w1", 1));
  JobSpec spec = Spec({ Step(1) });
  spec.m_repeatCount = 2;
  spec.m_startAt = WallTime{ 900 };
  spec.m_interval = Millis{ 5000 };
  m_fleet.Submit("a", spec);
  LONGS_EQUAL(1, StartPlanned());
  LONGS_EQUAL(0, StartPlanned());
}

// Guards against a workspace that takes capacity from others by sending more
// than its share.
TEST(PlacementPlanner, JobBeyondItsShare_ComesAfterThoseWithinTheirs)
{
  Receive(Report("w1", 1));
  m_fleet.Apply({ Submit{ JobId{ "beyond" },
                          QueueId{ "host/q/" },
                          Spec({ Step(4) }),
                          WallTime{ 0 },
                          WorkspaceId{ "a" },
                          true } });
  m_fleet.Submit("within", Spec({ Step(4) }), 900, "b");
  m_fleet.Restore();
  LONGS_EQUAL(4, StartPlanned());
  CHECK(m_fleet.Book().FindTask(Ref("within"))->m_phase == TaskPhase::kRunning);
  CHECK(m_fleet.Book().FindTask(Ref("beyond"))->m_phase == TaskPhase::kWaiting);
}

TEST(PlacementPlanner, TasksWithoutRoom_MakeTheirServiceFull)
{
  Receive(Report("w1", 1));
  m_fleet.Submit("a", Spec({ Step(4) }));
  CHECK(MakePlan().m_fullServices.empty());
  m_fleet.Submit("b", Spec({ Step(1) }));
  CHECK(MakePlan().m_fullServices.contains(ServiceId{ "desk" }));
}

// Guards against instances kept for work that its workspace may not start.
TEST(PlacementPlanner, TaskAtTheCap_ReservesNoWorkerAndFillsNoService)
{
  m_fleet.SetWorkspaces({ { WorkspaceId{ "a" }, {}, 1, { 3000, 0, 0 } } });
  Receive(Report("w1", 1));
  m_fleet.Submit("a", Spec({ Step(3, 2000) }), 0, "a");
  const Plan plan = MakePlan();
  LONGS_EQUAL(1, plan.m_changes.size());
  CHECK(plan.m_fullServices.empty());
  CHECK(plan.m_atCap.contains(WorkspaceId{ "a" }));
}

// Guards against isolated runs whose loss proves nothing, as an order that was
// sent before may have ended the worker.
TEST(PlacementPlanner, OrderMayStillTakeEffect_NoIsolatedRunThere)
{
  const auto effects = std::make_shared<OrderEffects>(Millis{ 3000 });
  m_table.SetOrderEffects(effects);
  Receive(Report("w1", 1));
  m_fleet.Submit("a", Spec({ Step(1) }));
  m_fleet.Start(Ref("a"), "w0");
  EndRun lost{ Ref("a"), RunNumber{ 1 }, RunEnd::kWorkerLost, "", {} };
  lost.m_evidence = CrashEvidence::kStarting;
  m_fleet.Apply({ lost });
  effects->OnSent(InstanceId{ "instance-of-w1" }, At(kSteadyMs - 100));
  LONGS_EQUAL(0, StartPlanned());
  effects->OnAnswered(
    InstanceId{ "instance-of-w1" }, InstanceAnswer::kBusy, At(kSteadyMs - 50));
  LONGS_EQUAL(1, StartPlanned());
}

// Guards against states of tasks that fill the memory: accepted steps take
// little until they begin. A step in progress goes on.
TEST(PlacementPlanner, NoMemoryForAnotherStep_OnlyStepsInProgressGoOn)
{
  m_planner = Planner{ {}, Search::kIndexed, MemoryLimit{ 1 } };
  WorkerReport report = Report("w1", 1);
  report.m_capacity = { 12'000, 12'000, 0 };
  Receive(report);
  StepSpec inProgress = Step(10'000);
  inProgress.m_maxPerWorker = 2;
  m_fleet.Submit("a", Spec({ inProgress }));
  m_fleet.Submit("b", Spec({ Step(10'000) }));
  m_fleet.Start(Ref("a"), "w1");
  const std::size_t inUse = m_fleet.Book().Bytes();
  for (int number = 0; number < 30; ++number) {
    JobSpec text = Spec({ Step(1, 100'000) });
    text.m_payload = std::string(10'000, 'x');
    m_fleet.Submit("text" + std::to_string(number), text);
  }
  CHECK_COMPARE(m_fleet.Book().Bytes(), >, inUse);
  const Plan plan = MakePlan();
  LONGS_EQUAL(1, plan.m_changes.size());
  STRCMP_EQUAL(
    "a", std::get<StartRun>(plan.m_changes[0]).m_task.m_job.Get().c_str());
  m_fleet.End(Ref("a"), RunEnd::kStopped);
  CHECK(!MakePlan().m_changes.empty());
}

// Guards against passes that take as long as the backlogs of all repeated jobs
// are, and with them the leader's lease.
TEST(PlacementPlanner, ManyRepeatedJobsAreDue_PassConsidersThemInShares)
{
  constexpr std::size_t kJobs = 60;
  Receive(Report("w1", 1));
  // A plan lists the long-running tasks that it leaves waiting.
  StepSpec unplaceable = Step(1);
  unplaceable.m_requiredLabel = "none";
  unplaceable.m_longRunning = true;
  JobSpec spec = Spec({ unplaceable, unplaceable });
  spec.m_repeatCount = 36'000;
  for (std::size_t i = 0; i < kJobs; ++i) {
    m_fleet.Submit("backlog" + std::to_string(i), spec);
  }
  JobSpec placeable = Spec({ Step(1) });
  placeable.m_repeatCount = 3;
  m_fleet.Submit("few", placeable);
  const Plan plan = MakePlan();
  LONGS_EQUAL(3, plan.m_changes.size());
  CHECK_COMPARE(plan.m_waiting.size(), <=, 10'000);
  std::set<JobId> considered;
  for (const auto& [task, waiting] : plan.m_waiting) {
    considered.insert(task.m_job);
  }
  LONGS_EQUAL(kJobs, considered.size());
}

// Guards against a pass whose time and memory grow with all occurrences that
// have ever been due.
TEST(PlacementPlanner, ManyOccurrencesAreDue_FirstOnesAreConsidered)
{
  m_fleet.Do(fleet::RaiseVersion{ fleet::kStateVersion });
  Receive(Report("w1", 1));
  JobSpec spec = Spec({ Step(8), Step(8) });
  spec.m_repeatCount = 1'000'000'000;
  m_fleet.Submit("a", spec);
  LONGS_EQUAL(4, StartPlanned());
  for (std::uint32_t i = 0; i < 4; ++i) {
    m_fleet.End(Ref("a", i), RunEnd::kDone);
  }
  LONGS_EQUAL(4, StartPlanned());
  CHECK(m_fleet.Book().FindTask(Ref("a", 7))->m_phase == TaskPhase::kRunning);
}
