#include "job_fixtures.h"

#include "bamboostile/placement/maintenance.h"

#include "check.h"

using namespace bamboostile;
using namespace bamboostile::jobs;
using namespace bamboostile::placement;
using namespace job_fixtures;

TEST_GROUP(PlacementPlanner)
{
  Fleet m_fleet;
  placement::WorkerTable m_table{ LeaseOptions{}, At(0) };
  Planner m_planner;
  std::set<WorkerLife> m_cordoned;

  void Hear(const WorkerReport& aReport)
  {
    m_table.OnReport(aReport, m_fleet.Book(), At(1000), WallTime{ 1000 });
  }

  Plan Next()
  {
    return m_planner.Next(
      m_fleet.State(), m_table, m_cordoned, At(1000), WallTime{ 1000 });
  }

  /** Starts as planned; returns how many. */
  std::size_t Carry()
  {
    const Plan plan = Next();
    m_fleet.Apply(plan.m_changes);
    return plan.m_changes.size();
  }

  std::string WorkerOf(const TaskRef& aTask)
  {
    return m_fleet.Book().FindTask(aTask)->m_worker.m_id.Get();
  }
};

TEST(PlacementPlanner, MoreTasksThanRoom_StartsWhatFits)
{
  Hear(Report("w1", 1));
  m_fleet.Submit("a", Spec({ Step(6, 1000) }));
  LONGS_EQUAL(4, Carry());
  LONGS_EQUAL(0, Carry());
}

TEST(PlacementPlanner, StepThatDepends_WaitsForTheOneBefore)
{
  Hear(Report("w1", 1));
  StepSpec second = Step(1);
  second.m_dependsOn = { 0 };
  m_fleet.Submit("a", Spec({ Step(1), second }));
  LONGS_EQUAL(1, Carry());
  LONGS_EQUAL(0, Carry());
  m_fleet.End(Ref("a"), RunEnd::kDone);
  LONGS_EQUAL(1, Carry());
}

TEST(PlacementPlanner, DrainingOrCordonedWorker_GetsNothing)
{
  WorkerReport draining = Report("w1", 1);
  draining.m_draining = true;
  Hear(draining);
  Hear(Report("w2", 1));
  m_cordoned.insert(Life("w2"));
  m_fleet.Submit("a", Spec({ Step(1) }));
  LONGS_EQUAL(0, Carry());
}

TEST(PlacementPlanner, LimitOnOneWorker_SpreadsTasks)
{
  Hear(Report("w1", 1));
  Hear(Report("w2", 1));
  StepSpec step = Step(3);
  step.m_maxPerWorker = 1;
  m_fleet.Submit("a", Spec({ step }));
  LONGS_EQUAL(2, Carry());
  CHECK(WorkerOf(Ref("a", 0)) != WorkerOf(Ref("a", 1)));
}

TEST(PlacementPlanner, RequiredLabel_NoOtherWorkerIsUsed)
{
  Hear(Report("w1", 1));
  WorkerReport labelled = Report("w2", 1);
  labelled.m_labels = { "big" };
  Hear(labelled);
  StepSpec step = Step(1);
  step.m_requiredLabel = "big";
  m_fleet.Submit("a", Spec({ step }));
  LONGS_EQUAL(1, Carry());
  CHECK_STRING("w2", WorkerOf(Ref("a")));
}

TEST(PlacementPlanner, GangThatDoesNotFit_StartsNoMember)
{
  Hear(Report("w1", 1));
  StepSpec step = Step(5);
  step.m_gang = true;
  m_fleet.Submit("a", Spec({ step }));
  LONGS_EQUAL(0, Carry());
  Hear(Report("w2", 1));
  LONGS_EQUAL(5, Carry());
}

TEST(PlacementPlanner, LongRunningTask_GoesBeforeOlderOnes)
{
  Hear(Report("w1", 1));
  m_fleet.Submit("old", Spec({ Step(1, 4000) }));
  StepSpec lasting = Step(1, 4000);
  lasting.m_longRunning = true;
  m_fleet.Submit("lasting", Spec({ lasting }));
  Carry();
  CHECK_STRING("w1", WorkerOf(Ref("lasting")));
}

// Twelve workers are free. Were the sixteen tasks on all of them, none could be
// given to another pool while the job lasts, which is for ever; on one worker,
// its loss would take them all.
TEST(PlacementPlanner, LongRunningTasks_ShareWorkersButNotOne)
{
  for (int i = 1; i <= 12; ++i) {
    Hear(Report("w" + std::to_string(i), 1));
  }
  StepSpec step = Step(16, 500);
  step.m_longRunning = true;
  m_fleet.Submit("a", Spec({ step }));
  m_fleet.Submit("b", Spec({ step }));
  LONGS_EQUAL(32, Carry());
  LONGS_EQUAL(8, m_fleet.Book().Placed().size());
  std::map<std::pair<WorkerLife, JobId>, int> together;
  for (const auto& [worker, tasks] : m_fleet.Book().Placed()) {
    for (const TaskRef& task : tasks) {
      LONGS_EQUAL(1, (++together[{ worker, task.m_job }] + 1) / 2);
    }
  }
}

// In a peak a long-running task is restarted. Ten workers are busy with tasks
// that end by themselves, one has a long-running task already. On any other it
// would keep one more worker in the pool when the peak is over.
TEST(PlacementPlanner, LongRunningTaskInAPeak_JoinsAnotherOne)
{
  StepSpec lasting = Step(1, 500);
  lasting.m_longRunning = true;
  for (int i = 1; i <= 10; ++i) {
    Hear(Report("w" + std::to_string(i), 1));
    const std::string job = "short-" + std::to_string(i);
    m_fleet.Submit(job, Spec({ Step(1, 1000) }));
    m_fleet.Start(Ref(job), "w" + std::to_string(i));
  }
  Hear(Report("w11", 1));
  m_fleet.Submit("lasting", Spec({ lasting }));
  m_fleet.Start(Ref("lasting"), "w11");
  m_fleet.Submit("filling", Spec({ Step(1, 2000) }));
  m_fleet.Start(Ref("filling"), "w11");
  m_fleet.Submit("restarted", Spec({ lasting }));
  LONGS_EQUAL(1, Carry());
  CHECK_STRING("w11", WorkerOf(Ref("restarted")));
}

// A large task that waits for room must get it: small ones that come later
// would otherwise take every piece that becomes free.
TEST(PlacementPlanner, LargeTaskWithoutRoom_KeepsOneWorkerFree)
{
  for (int i = 1; i <= 4; ++i) {
    Hear(Report("w" + std::to_string(i), 1));
    const std::string job = "running-" + std::to_string(i);
    m_fleet.Submit(job, Spec({ Step(1, 1000) }));
    m_fleet.Start(Ref(job), "w" + std::to_string(i));
  }
  m_fleet.Submit("large", Spec({ Step(1, 4000) }));
  m_fleet.Submit("small", Spec({ Step(12, 1000) }));
  LONGS_EQUAL(9, Carry());
}

// Sixteen workers have a core free each. Tasks of two cores, first in order,
// find no room; if a worker were kept for each of them, those of one core
// behind them would wait beside cores that nobody uses.
TEST(PlacementPlanner, TasksWithoutRoom_KeepFewWorkersFromSmallerOnes)
{
  for (int i = 1; i <= 16; ++i) {
    const std::string worker = "w" + std::to_string(i);
    Hear(Report(worker, 1));
    m_fleet.Submit("running-" + worker, Spec({ Step(1, 3000) }));
    m_fleet.Start(Ref("running-" + worker), worker);
  }
  for (int i = 0; i < 4; ++i) {
    m_fleet.Submit("larger-" + std::to_string(i), Spec({ Step(2, 2000) }));
  }
  m_fleet.Submit("small", Spec({ Step(16, 1000) }));
  LONGS_EQUAL(15, Carry());
}

// None of the tasks in the way is large, so each will soon find room.
TEST(PlacementPlanner, SmallTaskWithoutRoom_KeepsNoWorker)
{
  for (int i = 1; i <= 16; ++i) {
    WorkerReport report = Report("w" + std::to_string(i), 1);
    report.m_capacity = { 16'000, 4000, 0 };
    Hear(report);
    const std::string job = "running-" + std::to_string(i);
    m_fleet.Submit(job, Spec({ Step(1, 15'000) }));
    m_fleet.Start(Ref(job), "w" + std::to_string(i));
  }
  m_fleet.Submit("medium", Spec({ Step(2, 2000) }));
  m_fleet.Submit("small", Spec({ Step(16, 1000) }));
  LONGS_EQUAL(16, Carry());
}

TEST(PlacementPlanner, JobPastItsTime_GoesAfterOneThatCanBeInTime)
{
  Hear(Report("w1", 1));
  m_fleet.Submit("late", Spec({ Step(1, 4000) }), -100'000);
  m_fleet.Submit("fresh", Spec({ Step(1, 4000) }), 900);
  Carry();
  CHECK_STRING("w1", WorkerOf(Ref("fresh")));
}

// The only worker with room has a task of the same step, which must stay apart.
// Were this one stopped, it would be away until a third worker comes.
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
    Hear(report);
  }
  m_cordoned.insert(Life("w1"));
  LONGS_EQUAL(0, Next().m_stops.size());
  Hear(Report("w3", 1));
  LONGS_EQUAL(1, Next().m_stops.size());
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
  Hear(report);
  Hear(Report("w2", 1));
  m_cordoned.insert(Life("w1"));
  LONGS_EQUAL(1, Next().m_stops.size());
}

TEST(PlacementPlanner, OccurrenceNotDue_DoesNotStart)
{
  Hear(Report("w1", 1));
  JobSpec spec = Spec({ Step(1) });
  spec.m_repeatCount = 2;
  spec.m_startAt = WallTime{ 900 };
  spec.m_interval = Millis{ 5000 };
  m_fleet.Submit("a", spec);
  LONGS_EQUAL(1, Carry());
  LONGS_EQUAL(0, Carry());
}

TEST_GROUP(MaintenancePlanner)
{
  Fleet m_fleet;
  placement::WorkerTable m_table{ LeaseOptions{}, At(0) };
  placement::MaintenancePlanner m_planner;

  void Hear(
    const std::string& aWorker, std::uint64_t aSequence, std::int64_t aAt)
  {
    m_table.OnReport(
      Report(aWorker, aSequence), m_fleet.Book(), At(aAt), WallTime{ 0 });
  }

  void StartWave(int aInstances, std::uint32_t aCap)
  {
    fleet::MaintenanceWave wave;
    wave.m_number = 1;
    wave.m_cap = aCap;
    for (int i = 0; i < aInstances; ++i) {
      const std::string name = "w" + std::to_string(i);
      wave.m_instances[InstanceId{ "instance-of-" + name }] =
        fleet::MaintenanceStep::kWaiting;
      Hear(name, 1, 9000);
    }
    m_fleet.Do(fleet::StartMaintenance{ wave });
  }

  MaintenancePlan Next(std::int64_t aAt)
  {
    MaintenancePlan plan = m_planner.Next(m_fleet.State(), m_table, At(aAt));
    for (const auto& advance : plan.m_advances) {
      m_fleet.Do(advance.m_change);
    }
    return plan;
  }

  const fleet::MaintenanceWave& Wave()
  {
    return m_fleet.State().Maintenance().at(1);
  }
};

TEST(MaintenancePlanner, EmptyInstances_NoMoreThanCapAreDown)
{
  StartWave(5, 2);
  Next(10'000);
  Next(10'100);
  LONGS_EQUAL(2, Wave().Down());
  LONGS_EQUAL(2, Next(10'200).m_orders.size());
}

TEST(MaintenancePlanner, NewLeader_WaitsBeforeItsFirstOrder)
{
  StartWave(1, 1);
  Next(2900);
  LONGS_EQUAL(0, Wave().Down());
}

// An order without a clear answer may have been obeyed: the instance counts as
// down, and the order is repeated, until the platform says which.
TEST(MaintenancePlanner, UnclearAnswer_InstanceStaysOrdered)
{
  StartWave(2, 1);
  Next(10'000);
  const auto order = Next(10'100).m_orders.at(0);
  CHECK(
    !m_planner.OnAnswer(order, InstanceAnswer::kUnclear, At(10'200)).m_advance);
  LONGS_EQUAL(1, Wave().Down());
  LONGS_EQUAL(1, Next(10'300).m_orders.size());
}

TEST(MaintenancePlanner, OrderTakenAtOnce_EndsTheLifeItWasAimedAt)
{
  StartWave(1, 1);
  Next(10'000);
  const auto order = Next(10'100).m_orders.at(0);
  const auto result =
    m_planner.OnAnswer(order, InstanceAnswer::kTaken, At(10'200));
  CHECK_STRING("w0", result.m_ended->m_id.Get());
}

// The caller sees a job run twice. An order is obeyed, its answer is lost with
// the leader, the instance comes back and gets new runs; the next leader
// repeats the order and hears that it is taken. The new life has not ended.
TEST(MaintenancePlanner, OrderRepeatedAndTaken_EndsNoLife)
{
  StartWave(1, 1);
  Next(10'000);
  const auto order = Next(10'100).m_orders.at(0);
  m_planner.OnAnswer(order, InstanceAnswer::kUnclear, At(10'200));
  CHECK(!m_planner.OnAnswer(order, InstanceAnswer::kTaken, At(12'900)).m_ended);
  placement::MaintenancePlanner next;
  CHECK(next.Next(m_fleet.State(), m_table, At(13'000)).m_orders.size() == 1);
  const auto taken = next.OnAnswer(order, InstanceAnswer::kTaken, At(13'100));
  CHECK(!taken.m_ended);
  CHECK(taken.m_advance.has_value());
}

// A task runs twice. A leader's order is being obeyed when the next leader
// repeats it and hears that the instance is busy; taken for a refusal, that
// lets the wave order the instance anew, by then with its next life, and
// "taken", which may mean "done already", would end the runs of that life.
TEST(MaintenancePlanner, OrderOfEarlierLeaderBusy_StaysOpenAndEndsNoLife)
{
  StartWave(1, 1);
  const InstanceId instance{ "instance-of-w0" };
  m_fleet.Do(
    fleet::AdvanceMaintenance{ 1, instance, fleet::MaintenanceStep::kOrdered });
  const auto order = Next(10'000).m_orders.at(0);
  const auto busy =
    m_planner.OnAnswer(order, InstanceAnswer::kBusy, At(10'100));
  CHECK(!busy.m_advance);
  LONGS_EQUAL(1, Wave().Down());
  const auto again = Next(12'000).m_orders.at(0);
  const auto taken =
    m_planner.OnAnswer(again, InstanceAnswer::kTaken, At(12'100));
  CHECK(!taken.m_ended);
  CHECK(taken.m_advance.has_value());
}

// The operator sees a service below its budget 3 s after a change of leader.
// The new leader has not heard the worker of an instance with an open order;
// what runs there holds a lease of the leader before, and is not known to be
// gone until such leases have ended.
TEST(MaintenancePlanner, WorkerNotHeardYet_OrderWaitsForEarlierLeases)
{
  fleet::MaintenanceWave wave;
  wave.m_number = 1;
  wave.m_cap = 1;
  wave.m_instances[InstanceId{ "instance-of-w0" }] =
    fleet::MaintenanceStep::kOrdered;
  m_fleet.Do(fleet::StartMaintenance{ wave });
  LONGS_EQUAL(0, Next(4000).m_orders.size());
  LONGS_EQUAL(1, Next(4800).m_orders.size());
}

// The operator sees a service below its budget. A leader committed an order and
// was cut off; the next one must place nothing there while it may not order
// yet, and must not order onto long-running tasks that are there all the same.
TEST(MaintenancePlanner, OrderLeftOpen_NextLeaderKeepsTheInstanceFreeFirst)
{
  StartWave(1, 1);
  m_fleet.Do(fleet::AdvanceMaintenance{
    1, InstanceId{ "instance-of-w0" }, fleet::MaintenanceStep::kOrdered });
  const MaintenancePlan quiet = Next(1000);
  LONGS_EQUAL(0, quiet.m_orders.size());
  LONGS_EQUAL(1, quiet.m_cordoned.size());
  StepSpec step = Step(1);
  step.m_longRunning = true;
  m_fleet.Submit("a", Spec({ step }));
  m_fleet.Start(Ref("a"), "w0");
  LONGS_EQUAL(0, Next(10'000).m_orders.size());
  m_fleet.End(Ref("a"), RunEnd::kStopped);
  LONGS_EQUAL(1, Next(10'100).m_orders.size());
}

TEST(MaintenancePlanner, InstanceWithLongRunningTask_IsNotOrdered)
{
  StartWave(1, 1);
  StepSpec step = Step(1);
  step.m_longRunning = true;
  m_fleet.Submit("a", Spec({ step }));
  m_fleet.Start(Ref("a"), "w0");
  Next(10'000);
  Next(30'000);
  LONGS_EQUAL(0, Wave().Down());
}

TEST(MaintenancePlanner, InstanceBack_WaveEnds)
{
  StartWave(1, 1);
  Next(10'000);
  const auto order = Next(10'100).m_orders.at(0);
  m_fleet.Do(m_planner.OnAnswer(order, InstanceAnswer::kTaken, At(10'200))
               .m_advance->m_change);
  m_table.Retire(Life("w0"), m_fleet.Book(), WallTime{ 0 });
  Next(10'300);
  CHECK(!Wave().IsDone());
  WorkerReport back = Report("w0-next", 1);
  back.m_instance = order.m_instance;
  m_table.OnReport(back, m_fleet.Book(), At(12'500), WallTime{ 0 });
  Next(12'600);
  CHECK(Wave().IsDone());
}

// Guards against a wave that is told done while its instance is down, as the
// instance was back from an earlier wave.
TEST(MaintenancePlanner, InstanceOfSecondWaveIsDown_WaveIsNotDone)
{
  StartWave(1, 1);
  Next(10'000);
  const auto order = Next(10'100).m_orders.at(0);
  m_fleet.Do(m_planner.OnAnswer(order, InstanceAnswer::kTaken, At(10'200))
               .m_advance->m_change);
  Next(10'300);
  Hear("w0", 2, 12'500);
  Next(12'600);
  CHECK(Wave().IsDone());
  fleet::MaintenanceWave second;
  second.m_number = 2;
  second.m_instances[order.m_instance] = fleet::MaintenanceStep::kWaiting;
  m_fleet.Do(fleet::StartMaintenance{ second });
  Next(20'000);
  const auto again = Next(20'100).m_orders.at(0);
  m_fleet.Do(m_planner.OnAnswer(again, InstanceAnswer::kTaken, At(20'200))
               .m_advance->m_change);
  m_table.Retire(Life("w0"), m_fleet.Book(), WallTime{ 0 });
  Next(20'300);
  CHECK(!m_fleet.State().Maintenance().at(2).IsDone());
  Next(24'400);
  CHECK(m_fleet.State().Maintenance().at(2).IsDone());
}

// Instances of a pool that is off have no worker that could report.
TEST(MaintenancePlanner, InstanceThatNeverReports_WaveEndsAllTheSame)
{
  StartWave(1, 1);
  Next(10'000);
  const auto order = Next(10'100).m_orders.at(0);
  m_fleet.Do(m_planner.OnAnswer(order, InstanceAnswer::kTaken, At(10'200))
               .m_advance->m_change);
  m_table.Retire(Life("w0"), m_fleet.Book(), WallTime{ 0 });
  Next(10'300);
  Next(14'400);
  CHECK(Wave().IsDone());
}
