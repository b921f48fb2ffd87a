#include "job_fixtures.h"

#include "check.h"

using namespace bamboostile;
using namespace bamboostile::jobs;
using namespace job_fixtures;

TEST_GROUP(JobTable)
{
  Fleet m_fleet;

  const Task& TaskOf(const TaskRef& aTask)
  {
    return *m_fleet.Book().FindTask(aTask);
  }
};

TEST(JobTable, SubmissionTwice_IsOneJob)
{
  m_fleet.Submit("a", Spec({ Step(2) }));
  m_fleet.Start(Ref("a"), "w1");
  m_fleet.Submit("a", Spec({ Step(2) }));
  LONGS_EQUAL(1, m_fleet.Book().Jobs().size());
  CHECK(TaskOf(Ref("a")).m_phase == TaskPhase::kRunning);
}

TEST(JobTable, AllTasksDone_JobIsCompleted)
{
  m_fleet.Submit("a", Spec({ Step(2) }));
  m_fleet.Start(Ref("a", 0), "w1");
  m_fleet.Start(Ref("a", 1), "w2");
  m_fleet.End(Ref("a", 0), RunEnd::kDone);
  CHECK(m_fleet.StateOf("a") == JobState::kActive);
  m_fleet.End(Ref("a", 1), RunEnd::kDone);
  CHECK(m_fleet.StateOf("a") == JobState::kCompleted);
  CHECK(m_fleet.Book().TasksByWorker().empty());
  CHECK(m_fleet.Book().OpenJobs().empty());
}

// A worker reports an end repeatedly until it is acknowledged, so the end of an
// earlier run can arrive after the task was placed again. It must not end the
// later run.
TEST(JobTable, EndOfEarlierRun_ChangesNothing)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  m_fleet.Start(Ref("a"), "w1");
  m_fleet.End(Ref("a"), RunEnd::kWorkerLost);
  m_fleet.Start(Ref("a"), "w2", 2);
  m_fleet.End(Ref("a"), RunEnd::kDone, 1);
  CHECK(TaskOf(Ref("a")).m_phase == TaskPhase::kRunning);
  CHECK(m_fleet.StateOf("a") == JobState::kActive);
}

TEST(JobTable, StartOfRunningTask_ChangesNothing)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  m_fleet.Start(Ref("a"), "w1");
  m_fleet.Start(Ref("a"), "w2", 2);
  CHECK_STRING("w1", TaskOf(Ref("a")).m_worker.m_id.Get());
  LONGS_EQUAL(1, TaskOf(Ref("a")).m_lastRun.Get());
}

// Guards against a gang that is given up after one run, in which each of its
// members failed.
TEST(JobTable, AllMembersOfGangFailInOneRun_CountsAsOneAttempt)
{
  StepSpec step = Step(3);
  step.m_gang = true;
  m_fleet.Submit("a", Spec({ step }));
  for (std::uint32_t i = 0; i < 3; ++i) {
    m_fleet.Start(Ref("a", i), "w" + std::to_string(i));
  }
  for (std::uint32_t i = 0; i < 3; ++i) {
    m_fleet.End(Ref("a", i), RunEnd::kFailed);
  }
  CHECK(m_fleet.StateOf("a") == JobState::kActive);
}

TEST(JobTable, AttemptsExhausted_JobFailsWithReason)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  for (std::uint32_t run = 1; run <= 3; ++run) {
    CHECK(m_fleet.StateOf("a") == JobState::kActive);
    m_fleet.Start(Ref("a"), "w1", run);
    m_fleet.End(Ref("a"), RunEnd::kFailed, run);
  }
  CHECK(m_fleet.StateOf("a") == JobState::kFailed);
  CHECK_STRING("step 0 task 0 failed 3 times",
               m_fleet.Book().Find(JobId{ "a" })->m_reason);
}

TEST(JobTable, LostWorkers_CostNoAttempt)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  for (std::uint32_t run = 1; run <= 5; ++run) {
    m_fleet.Start(Ref("a"), "w1", run);
    m_fleet.End(Ref("a"), RunEnd::kWorkerLost, run);
  }
  CHECK(m_fleet.StateOf("a") == JobState::kActive);
}

TEST(JobTable, LongRunningTaskEndsInAnyWay_WaitsForNextRun)
{
  StepSpec step = Step(1);
  step.m_longRunning = true;
  m_fleet.Submit("a", Spec({ step }));
  std::uint32_t run = 0;
  for (const RunEnd end : { RunEnd::kDone,
                            RunEnd::kFailed,
                            RunEnd::kFailed,
                            RunEnd::kFailed,
                            RunEnd::kFailed }) {
    m_fleet.Start(Ref("a"), "w1", ++run);
    m_fleet.End(Ref("a"), end, run);
  }
  CHECK(m_fleet.StateOf("a") == JobState::kActive);
  CHECK(TaskOf(Ref("a")).m_phase == TaskPhase::kWaiting);
}

TEST(JobTable, CancelledJobWithRuns_StaysOpenUntilTheyEnd)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  m_fleet.Start(Ref("a"), "w1");
  m_fleet.Apply({ Cancel{ JobId{ "a" }, WallTime{ 1 } } });
  CHECK(m_fleet.StateOf("a") == JobState::kCancelled);
  LONGS_EQUAL(1, m_fleet.Book().OpenJobs().size());
  m_fleet.End(Ref("a"), RunEnd::kStopped);
  CHECK(m_fleet.Book().OpenJobs().empty());
  m_fleet.Start(Ref("a"), "w1", 2);
  CHECK(TaskOf(Ref("a")).m_phase == TaskPhase::kWaiting);
}

TEST(JobTable, OneMemberOfGangDone_AllAreDone)
{
  StepSpec step = Step(3);
  step.m_gang = true;
  m_fleet.Submit("a", Spec({ step }));
  for (std::uint32_t i = 0; i < 3; ++i) {
    m_fleet.Start(Ref("a", i), "w1");
  }
  m_fleet.End(Ref("a", 1), RunEnd::kDone);
  CHECK(m_fleet.StateOf("a") == JobState::kCompleted);
  CHECK(m_fleet.Book().TasksByWorker().empty());
}

TEST(JobTable, FailuresOfGangMembers_CountTogether)
{
  StepSpec step = Step(3);
  step.m_gang = true;
  m_fleet.Submit("a", Spec({ step }));
  for (std::uint32_t i = 0; i < 3; ++i) {
    CHECK(m_fleet.StateOf("a") == JobState::kActive);
    m_fleet.Start(Ref("a", i), "w1");
    m_fleet.End(Ref("a", i), RunEnd::kFailed);
  }
  CHECK(m_fleet.StateOf("a") == JobState::kFailed);
}

TEST(JobTable, PendingJobs_HaveNoStartedTask)
{
  const QueueId queue{ "host/q/" };
  m_fleet.Submit("a", Spec({ Step(1) }));
  m_fleet.Submit("b", Spec({ Step(1) }));
  LONGS_EQUAL(2, m_fleet.Book().PendingJobs(queue));
  m_fleet.Start(Ref("a"), "w1");
  LONGS_EQUAL(1, m_fleet.Book().PendingJobs(queue));
  m_fleet.Apply({ Cancel{ JobId{ "b" }, WallTime{ 1 } } });
  LONGS_EQUAL(0, m_fleet.Book().PendingJobs(queue));
}

// Guards against callers being told that no job is pending while dozens are.
// Each job had been placed on a worker that was lost before the run began, and
// a job that was placed once stayed counted as started.
TEST(JobTable, OnlyRunsMadeNoProgress_JobIsPendingAgain)
{
  const QueueId queue{ "host/q/" };
  m_fleet.Submit("a", Spec({ Step(2) }));
  m_fleet.Start(Ref("a", 0), "w1");
  m_fleet.Start(Ref("a", 1), "w2");
  m_fleet.End(Ref("a", 0), RunEnd::kWorkerLost);
  LONGS_EQUAL(0, m_fleet.Book().PendingJobs(queue));
  m_fleet.End(Ref("a", 1), RunEnd::kRefused);
  LONGS_EQUAL(1, m_fleet.Book().PendingJobs(queue));
  m_fleet.Start(Ref("a", 0), "w3", 2);
  LONGS_EQUAL(0, m_fleet.Book().PendingJobs(queue));
  m_fleet.End(Ref("a", 0), RunEnd::kDone, 2);
  LONGS_EQUAL(0, m_fleet.Book().PendingJobs(queue));
}

TEST(JobTable, RemoveEndedJobs_KeepsActiveAndRecentJobs)
{
  m_fleet.Submit("old", Spec({ Step(1) }));
  m_fleet.Submit("active", Spec({ Step(1) }));
  m_fleet.Apply({ Cancel{ JobId{ "old" }, WallTime{ 10 } } });
  m_fleet.Apply({ RemoveEndedJobs{ WallTime{ 10 } } });
  CHECK(m_fleet.Book().Find(JobId{ "old" }) != nullptr);
  m_fleet.Apply({ RemoveEndedJobs{ WallTime{ 11 } } });
  CHECK(m_fleet.Book().Find(JobId{ "old" }) == nullptr);
  CHECK(m_fleet.Book().Find(JobId{ "active" }) != nullptr);
}

// Guards against the same dependency many times in a log or a snapshot that an
// earlier build has written.
TEST(JobTable, DecodedJobDependsOnOneStepManyTimes_DependencyIsKeptOnce)
{
  JobSpec spec = Spec({ Step(1), Step(1) });
  spec.m_steps[1].m_dependsOn.assign(100'000, 0);
  const Batch batch{ { Submit{
    JobId{ "a" }, QueueId{ "host/q/" }, spec, {}, {} } } };
  const auto decoded = DecodeBatch(EncodeBatch(batch));
  CHECK(decoded.has_value());
  const auto& submit = std::get<Submit>(decoded->m_changes[0]);
  LONGS_EQUAL(1, submit.m_spec.m_steps[1].m_dependsOn.size());
}

TEST(JobTable, DecodedSnapshot_AppliesLaterChanges)
{
  StepSpec second = Step(2);
  second.m_dependsOn = { 0 };
  second.m_image = ImageId{ "image" };
  second.m_disruptionBudget = 1;
  m_fleet.Submit("a", Spec({ Step(1), second }));
  m_fleet.Submit("b", Spec({ Step(1) }));
  m_fleet.Start(Ref("a"), "w1");
  m_fleet.End(Ref("a"), RunEnd::kDone);
  m_fleet.Start(Ref("a", 1, 1), "w2");
  auto copy = fleet::State::Decode(m_fleet.State().Encode());
  CHECK(copy.has_value());
  STRCMP_EQUAL("w2",
               copy->Jobs().TasksByWorker().begin()->first.m_id.Get().c_str());
  CHECK(copy->Jobs().Find(JobId{ "a" })->m_spec ==
        m_fleet.Book().Find(JobId{ "a" })->m_spec);
  const Batch laterChanges{
    { EndRun{ Ref("a", 1, 1), RunNumber{ 1 }, RunEnd::kDone, "", {} },
      StartRun{ Ref("a", 0, 1), RunNumber{ 1 }, Life("w1") },
      EndRun{ Ref("a", 0, 1), RunNumber{ 1 }, RunEnd::kDone, "", WallTime{} } }
  };
  copy->Apply(Index{ 100 }, laterChanges);
  CHECK(copy->Jobs().Find(JobId{ "a" })->m_state == JobState::kCompleted);
  LONGS_EQUAL(1, copy->Jobs().PendingJobs(QueueId{ "host/q/" }));
}

TEST(JobTable, LateEnd_IsKeptInTheLog)
{
  EndRun end{ Ref("a"), RunNumber{ 1 }, RunEnd::kDone, "", WallTime{ 1 } };
  end.m_isLate = true;
  const auto decoded = DecodeBatch(EncodeBatch({ { end } }));
  CHECK(std::get<EndRun>(decoded->m_changes.at(0)).m_isLate);
}

// Guards against a time without a run that begins anew with each start that
// never ran, or with each leader.
TEST(JobTable, LaterStartsAreNotShown_EndOfLastShownRunIsKept)
{
  const auto lose = [&](std::uint32_t aRun, std::optional<WallTime> aRanUntil) {
    m_fleet.Start(Ref("a"), "w", aRun);
    EndRun end{
      Ref("a"), RunNumber{ aRun }, RunEnd::kWorkerLost, "", WallTime{ 9000 }
    };
    end.m_ranUntil = aRanUntil;
    m_fleet.Apply(DecodeBatch(EncodeBatch({ { end } }))->m_changes);
  };
  m_fleet.Submit("a", Spec({ Step(1) }));
  lose(1, std::nullopt);
  CHECK(!m_fleet.Book().FindTask(Ref("a"))->m_ranUntil);
  lose(2, WallTime{ 4250 });
  lose(3, std::nullopt);
  m_fleet.Restore();
  LONGS_EQUAL(4250, m_fleet.Book().FindTask(Ref("a"))->m_ranUntil->Get());
}

TEST(JobTable, CorruptBytes_AreRejected)
{
  const Batch batch{ { Cancel{ JobId{ "some job" }, WallTime{ 1 } } } };
  const std::string bytes = EncodeBatch(batch);
  CHECK(DecodeBatch(bytes).has_value());
  CHECK(!DecodeBatch(bytes.substr(0, bytes.size() / 2)).has_value());
  CHECK(!fleet::DecodeCommand(bytes).has_value());
}

// Guards against an order of open jobs that leads into a table which has been
// replaced: a copy is encoded as a snapshot, and a replica adopts another's.
TEST(JobTable, CopiedMovedAndRestored_OpenJobsAreItsOwn)
{
  const auto check = [](const JobTable& aBook) {
    std::size_t position = 0;
    LONGS_EQUAL(aBook.OpenJobs().size(), aBook.OpenJobsInOrder().size());
    for (const auto& [order, id] : aBook.OpenJobs()) {
      CHECK(aBook.OpenJobsInOrder()[position++] == aBook.Find(id));
    }
  };
  for (int i = 0; i < 5; ++i) {
    m_fleet.Submit("job" + std::to_string(i), Spec({ Step(1) }));
  }
  m_fleet.Apply({ Cancel{ JobId{ "job2" }, WallTime{ 1 } } });
  LONGS_EQUAL(4, m_fleet.Book().OpenJobs().size());
  check(m_fleet.Book());
  JobTable copy = m_fleet.Book();
  check(copy);
  check(JobTable(std::move(copy)));
  m_fleet.Restore();
  check(m_fleet.Book());
}

TEST(JobTable, TasksStartAndEnd_UseOfTheWorkerFollows)
{
  StepSpec lasting = Step(1, 500);
  lasting.m_longRunning = true;
  m_fleet.Submit("a", Spec({ Step(2, 1000), lasting }));
  CHECK(m_fleet.Book().FindUse(Life("w")) == nullptr);
  m_fleet.Start(Ref("a", 0), "w");
  m_fleet.Start(Ref("a", 1), "w");
  m_fleet.Start(Ref("a", 0, 1), "w");
  LONGS_EQUAL(2500, m_fleet.Book().FindUse(Life("w"))->m_cpuMillis);
  LONGS_EQUAL(1, m_fleet.Book().FindUse(Life("w"))->m_longRunning);
  m_fleet.End(Ref("a", 0, 1), RunEnd::kStopped);
  m_fleet.Restore();
  LONGS_EQUAL(2000, m_fleet.Book().FindUse(Life("w"))->m_cpuMillis);
  LONGS_EQUAL(0, m_fleet.Book().FindUse(Life("w"))->m_longRunning);
  m_fleet.End(Ref("a", 0), RunEnd::kDone);
  m_fleet.End(Ref("a", 1), RunEnd::kDone);
  CHECK(m_fleet.Book().FindUse(Life("w")) == nullptr);
}

namespace {

/** Each task saves its progress, then ends in one of several ways. */
void
PlayTask(Fleet& aFleet, const TaskRef& aTask, std::uint32_t aNumber)
{
  aFleet.Start(aTask, "worker", 1);
  EndRun end{
    aTask, RunNumber{ 1 }, RunEnd::kStopped, "progress", WallTime{ 1 }
  };
  aFleet.Apply({ end });
  aFleet.Start(aTask, "worker", 2);
  if (aNumber % 3 != 0) {
    aFleet.End(aTask, aNumber % 3 == 1 ? RunEnd::kDone : RunEnd::kFailed, 2);
  }
}

} // namespace

// Guards against a sum that differs after a change of the leader or a restart,
// so that a replica accepts what it has no memory for.
TEST(JobTable, StateIsRestoredFromSnapshot_BytesAreTheSame)
{
  for (const bool isCompact : { false, true }) {
    Fleet fleet;
    if (isCompact) {
      fleet.Do(fleet::RaiseVersion{ fleet::kStateVersion });
    }
    JobSpec repeated = Spec({ Step(2) });
    repeated.m_repeatCount = 5;
    fleet.Submit("single", Spec({ Step(5), Step(3) }));
    fleet.Submit("repeated", repeated);
    fleet.Submit("ended", Spec({ Step(1) }));
    for (std::uint32_t i = 0; i < 5; ++i) {
      PlayTask(fleet, Ref("single", i), i);
      for (std::uint32_t task = 0; task < 2; ++task) {
        TaskRef ref = Ref("repeated", task);
        ref.m_occurrence = i;
        PlayTask(fleet, ref, i == 3 ? 0 : 1);
      }
      const std::size_t bytes = fleet.Book().Bytes();
      fleet.Restore();
      LONGS_EQUAL(bytes, fleet.Book().Bytes());
    }
    PlayTask(fleet, Ref("ended"), 1);
    for (const char* job : { "single", "repeated", "ended" }) {
      fleet.Apply({ Cancel{ JobId{ job }, WallTime{ 1 } } });
      fleet.End(Ref("single"), RunEnd::kStopped, 2);
    }
    LONGS_EQUAL(isCompact ? 3 : 0,
                fleet.Book().Find(JobId{ "repeated" })->m_firstOccurrence);
    fleet.Restore();
    TaskRef open = Ref("repeated");
    open.m_occurrence = 3;
    fleet.End(open, RunEnd::kStopped, 2);
    open.m_index = 1;
    fleet.End(open, RunEnd::kStopped, 2);
    fleet.End(Ref("single", 3), RunEnd::kStopped, 2);
    fleet.Apply({ RemoveEndedJobs{ WallTime{ 10 } } });
    LONGS_EQUAL(0, fleet.Book().Bytes());
  }
}

// Guards against memory for tasks that have not begun or are done.
TEST(JobTable, JobHasManyTasks_TakesMemoryOnlyForStepsInProgress)
{
  Fleet fleet;
  fleet.Do(fleet::RaiseVersion{ fleet::kStateVersion });
  fleet.Submit("a", Spec(std::vector<StepSpec>(64, Step(10'000))));
  const std::size_t accepted = fleet.Book().Bytes();
  CHECK_COMPARE(accepted, <, 64 * 1024);
  CHECK_COMPARE(fleet.State().Encode().size(), <, 64 * 1024);
  fleet.Start(Ref("a", 7), "worker");
  LONGS_EQUAL(accepted + JobTable::BytesOfTasks(1, 10'000),
              fleet.Book().Bytes());
  fleet.End(Ref("a", 7), RunEnd::kStopped);
  fleet.Apply({ Cancel{ JobId{ "a" }, WallTime{ 1 } } });
  LONGS_EQUAL(accepted, fleet.Book().Bytes());
}

// Guards against done occurrences of a repeated job that fill the memory, or
// that run again because they are no longer kept.
TEST(JobTable, OccurrencesAreDone_TheyAreNotKeptAndDoNotRunAgain)
{
  Fleet fleet;
  fleet.Do(fleet::RaiseVersion{ fleet::kStateVersion });
  JobSpec repeated = Spec({ Step(1) });
  repeated.m_repeatCount = 100;
  fleet.Submit("a", repeated);
  const std::size_t accepted = fleet.Book().Bytes();
  TaskRef task = Ref("a");
  for (task.m_occurrence = 0; task.m_occurrence < 99; ++task.m_occurrence) {
    fleet.Start(task, "worker");
    fleet.End(task, RunEnd::kDone);
    LONGS_EQUAL(accepted, fleet.Book().Bytes());
    fleet.Start(task, "worker", 2);
    CHECK(fleet.Book().TasksByWorker().empty());
  }
  fleet.Restore();
  fleet.Start(task, "worker");
  fleet.End(task, RunEnd::kDone);
  CHECK(fleet.StateOf("a") == JobState::kCompleted);
}
