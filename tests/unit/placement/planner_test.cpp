#include "job_fixtures.h"

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
