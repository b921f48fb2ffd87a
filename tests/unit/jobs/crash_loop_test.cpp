#include "bamboostile/jobs/crash_loop.h"

#include "job_fixtures.h"

#include "check.h"

using namespace bamboostile;
using namespace bamboostile::jobs;
using namespace job_fixtures;

namespace {

std::string
FromHex(const std::string& aText)
{
  constexpr int kHex = 16;
  std::string bytes;
  for (std::size_t i = 0; i + 1 < aText.size(); i += 2) {
    bytes.push_back(
      static_cast<char>(std::stoi(aText.substr(i, 2), nullptr, kHex)));
  }
  return bytes;
}

} // namespace

TEST_GROUP(CrashLoop)
{
  Fleet m_fleet;
  std::uint32_t m_run = 0;

  static std::vector<WorkerLoss> Losses(std::vector<CrashEvidence> aEvidence)
  {
    std::vector<WorkerLoss> losses;
    for (const CrashEvidence evidence : aEvidence) {
      const auto run = static_cast<std::uint32_t>(losses.size() + 1);
      losses.push_back({ Life("w" + std::to_string(run)),
                         InstanceId{ "i" },
                         RunNumber{ run },
                         evidence,
                         WallTime{ run } });
    }
    return losses;
  }

  /** Starts the task on a new worker and reports that worker as lost. */
  void StartAndLoseWorker(const TaskRef& aTask, CrashEvidence aEvidence)
  {
    m_fleet.Start(aTask, "w" + std::to_string(m_run + 1), m_run + 1);
    ++m_run;
    m_fleet.Apply({ EndRun{ aTask,
                            RunNumber{ m_run },
                            RunEnd::kWorkerLost,
                            "",
                            WallTime{ m_run },
                            aEvidence,
                            InstanceId{ "i" } } });
  }
};

TEST(CrashLoop, TwoCrashesInIsolatedRuns_JobFailsAndNamesTheWorkers)
{
  m_fleet.Submit("a", Spec({ Step(2) }));
  StartAndLoseWorker(Ref("a", 1), CrashEvidence::kStarting);
  StartAndLoseWorker(Ref("a", 1), CrashEvidence::kIsolated);
  CHECK(m_fleet.StateOf("a") == JobState::kActive);
  LONGS_EQUAL(1, m_fleet.Book().TasksWithLosses().size());
  StartAndLoseWorker(Ref("a", 1), CrashEvidence::kIsolated);
  CHECK(m_fleet.StateOf("a") == JobState::kFailed);
  CHECK_STRING("step 0 task 1 crashed 3 workers: w1 (run 1), w2 (run 2), w3 "
               "(run 3)",
               m_fleet.Book().Find(JobId{ "a" })->m_reason);
  CHECK(m_fleet.Book().TasksWithLosses().empty());
}

// Guards against failing the job of a healthy task because of crashes that
// other tasks on the same workers cause.
TEST(CrashLoop, WorkersLostWhileTaskRan_NeverFailItsJob)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  for (int i = 0; i < 20; ++i) {
    StartAndLoseWorker(Ref("a"), CrashEvidence::kRunning);
  }
  CHECK(m_fleet.StateOf("a") == JobState::kActive);
}

TEST(CrashLoop, AmbiguousLosses_AreBounded)
{
  using enum CrashEvidence;
  CHECK(
    !IsProvenCrasher(Losses({ kStarting, kStarting, kStarting, kStarting })));
  CHECK(IsProvenCrasher(
    Losses({ kStarting, kStarting, kStarting, kStarting, kStarting })));
  CHECK(
    !IsProvenCrasher(Losses({ kRunning, kStarting, kStarting, kIsolated })));
  CHECK(IsProvenCrasher(
    Losses({ kRunning, kRunning, kStarting, kStarting, kIsolated })));
}

// Guards against evidence that stays against a task although its worker had not
// crashed.
TEST(CrashLoop, LossIsRetracted_OnlyOtherLossesCount)
{
  m_fleet.Submit("a", Spec({ Step(2) }));
  StartAndLoseWorker(Ref("a", 1), CrashEvidence::kIsolated);
  StartAndLoseWorker(Ref("a", 1), CrashEvidence::kStarting);
  LONGS_EQUAL(1, m_fleet.Book().LossesOn(Life("w1")).size());
  m_fleet.Apply({ RetractLoss{ Ref("a", 1), RunNumber{ 1 } } });
  m_fleet.Restore();
  LONGS_EQUAL(0, m_fleet.Book().LossesOn(Life("w1")).size());
  LONGS_EQUAL(1, m_fleet.Book().LossesOf(Ref("a", 1)).size());
  StartAndLoseWorker(Ref("a", 1), CrashEvidence::kIsolated);
  CHECK(m_fleet.StateOf("a") == JobState::kActive);
  m_fleet.Apply({ RetractLoss{ Ref("a", 1), RunNumber{ 2 } },
                  RetractLoss{ Ref("a", 1), RunNumber{ 3 } },
                  RetractLoss{ Ref("a", 1), RunNumber{ 3 } },
                  RetractLoss{ Ref("unknown"), RunNumber{ 1 } } });
  LONGS_EQUAL(0, m_fleet.Book().TasksWithLosses().size());
}

// Guards against a gang that is given up for members whose workers ran on.
TEST(CrashLoop, LossOfGangMemberIsRetracted_LossesOfOtherMembersCount)
{
  StepSpec gang = Step(2);
  gang.m_gang = true;
  m_fleet.Submit("a", Spec({ gang }));
  StartAndLoseWorker(Ref("a", 0), CrashEvidence::kRunning);
  StartAndLoseWorker(Ref("a", 1), CrashEvidence::kRunning);
  LONGS_EQUAL(2, m_fleet.Book().LossesOf(Ref("a", 0)).size());
  m_fleet.Apply({ RetractLoss{ Ref("a", 1), RunNumber{ 2 } } });
  LONGS_EQUAL(1, m_fleet.Book().LossesOf(Ref("a", 0)).size());
}

// Guards against missing tasks that crash their workers at the same time: each
// crash could be explained by the others.
TEST(CrashLoop, ConcurrentLosses_MakeASuspectButProveNothing)
{
  using enum CrashEvidence;
  CHECK(!IsSuspect(Losses({ kConcurrent, kConcurrent })));
  CHECK(IsSuspect(Losses({ kConcurrent, kConcurrent, kConcurrent })));
  CHECK(IsSuspect(Losses({ kConcurrent, kRunning, kConcurrent })));
  CHECK(CanBeIsolatedTogether(Losses({ kConcurrent, kRunning, kConcurrent })));
  CHECK(NeedsQuietPeriod(Losses({ kConcurrent, kConcurrent, kConcurrent })));
  CHECK(!IsProvenCrasher(Losses(std::vector(20, kConcurrent))));
}

TEST(CrashLoop, LossesAtStartAndOneProof_FourthLossProvesACrasher)
{
  using enum CrashEvidence;
  CHECK(!IsProvenCrasher(Losses({ kStarting, kStarting, kIsolated })));
  CHECK(
    IsProvenCrasher(Losses({ kStarting, kStarting, kStarting, kIsolated })));
}

TEST(CrashLoop, SuspectsAreIsolated_OthersAreNot)
{
  using enum CrashEvidence;
  CHECK(!IsSuspect({}));
  CHECK(!IsSuspect(Losses({ kRunning })));
  CHECK(IsSuspect(Losses({ kStarting })));
  CHECK(!IsIsolatedForWholeRun(Losses({ kStarting })));
  CHECK(IsIsolatedForWholeRun(Losses({ kRunning, kRunning })));
  CHECK(!NeedsQuietPeriod(Losses({ kStarting, kStarting })));
  CHECK(NeedsQuietPeriod(Losses({ kStarting, kStarting, kStarting })));
  CHECK(HasLossOn(Losses({ kStarting }), InstanceId{ "i" }));
  CHECK(!HasLossOn(Losses({ kStarting }), InstanceId{ "j" }));
}

// Guards against failing a long-running task's job after enough time, since
// each of its workers is lost eventually.
TEST(CrashLoop, StableRun_ClearsLossesOfItsTask)
{
  StepSpec step = Step(1);
  step.m_longRunning = true;
  m_fleet.Submit("a", Spec({ step }));
  StartAndLoseWorker(Ref("a"), CrashEvidence::kStarting);
  StartAndLoseWorker(Ref("a"), CrashEvidence::kIsolated);
  m_fleet.Start(Ref("a"), "w9", 3);
  m_fleet.Apply({ MarkRunStable{ Ref("a"), RunNumber{ 3 } } });
  CHECK(m_fleet.Book().FindTask(Ref("a"))->m_losses.empty());
  CHECK(m_fleet.Book().FindTask(Ref("a"))->m_isStable);
  m_fleet.End(Ref("a"), RunEnd::kWorkerLost, 3);
  m_fleet.Start(Ref("a"), "w10", 4);
  CHECK(!m_fleet.Book().FindTask(Ref("a"))->m_isStable);
}

TEST(CrashLoop, RetryDelay_GrowsWithEachLossAndDiffersByTask)
{
  using enum CrashEvidence;
  const auto oneLoss = Losses({ kStarting });
  const auto threeLosses = Losses({ kStarting, kStarting, kStarting });
  CHECK(RetryDelay(Ref("a"), {}) == Duration::zero());
  CHECK(RetryDelay(Ref("a"), oneLoss) < RetryDelay(Ref("a"), threeLosses));
  CHECK(RetryDelay(Ref("a"), oneLoss) != RetryDelay(Ref("b"), oneLoss));
  CHECK(RetryDelay(Ref("a"), oneLoss) == RetryDelay(Ref("a"), oneLoss));
  for (int i = 0; i < 100; ++i) {
    const auto manyLosses = Losses(std::vector<CrashEvidence>(8, kStarting));
    CHECK(RetryDelay(Ref("a", i), manyLosses) <= Millis{ 2000 });
  }
}

// Guards against a completed task that remains a suspect until its job ends.
TEST(CrashLoop, SuspectIsDone_IsNoLongerASuspect)
{
  m_fleet.Submit("a", Spec({ Step(2) }));
  StartAndLoseWorker(Ref("a"), CrashEvidence::kStarting);
  m_fleet.Start(Ref("a"), "w2", 2);
  m_fleet.End(Ref("a"), RunEnd::kDone, 2);
  CHECK(m_fleet.Book().TasksWithLosses().empty());
}

// Guards against losing a task's crash evidence when a snapshot or the log is
// read back.
TEST(CrashLoop, SnapshotAndLogReadBack_KeepTheEvidence)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  StartAndLoseWorker(Ref("a"), CrashEvidence::kStarting);
  StartAndLoseWorker(Ref("a"), CrashEvidence::kIsolated);
  m_fleet.Restore();
  const auto& losses = m_fleet.Book().FindTask(Ref("a"))->m_losses;
  LONGS_EQUAL(2, losses.size());
  CHECK_STRING("i", losses[1].m_instance.Get());
  CHECK_STRING("w2", losses[1].m_worker.m_id.Get());
  CHECK(losses[1].m_evidence == CrashEvidence::kIsolated);
  LONGS_EQUAL(1, m_fleet.Book().TasksWithLosses().size());

  const EndRun end{ Ref("a"), RunNumber{ 3 }, RunEnd::kWorkerLost,
                    "",       WallTime{ 3 },  CrashEvidence::kIsolated };
  const auto batch = DecodeBatch(
    EncodeBatch({ { end, MarkRunStable{ Ref("a"), RunNumber{ 4 } } } }));
  CHECK(std::get<EndRun>(batch->m_changes[0]).m_evidence ==
        CrashEvidence::kIsolated);
  LONGS_EQUAL(4, std::get<MarkRunStable>(batch->m_changes[1]).m_run.Get());
}

// Guards against control replicas that cannot read their own log after an
// upgrade: these bytes were written by a version without crash evidence.
TEST(CrashLoop, LogAndSnapshotWithoutEvidence_AreRead)
{
  const auto batch = DecodeBatch(
    FromHex("100e400111013751040303110107010301055108020111150a000211011201"
            "610000"));
  CHECK(batch.has_value());
  CHECK(std::get<EndRun>(batch->m_changes[0]).m_endReason ==
        RunEnd::kWorkerLost);
  CHECK(std::get<EndRun>(batch->m_changes[0]).m_evidence ==
        CrashEvidence::kNone);
  const auto jobTable = DecodeJobTable(FromHex(
    "102f500101010211014f51040405000001010000010111111211111251100302115d0a"
    "115d170161017100021105121105570170510406043101e80301640003110d0411090a"
    "11090a11090a000351040101000011010f41040111011f51040102100111051211050a"
    "01770000"));
  CHECK(jobTable.has_value());
  CHECK(jobTable->FindTask(Ref("a"))->m_losses.empty());
  LONGS_EQUAL(1, jobTable->FindTask(Ref("a"))->m_lastRun.Get());
}

// Guards against a task that is given up for losses while it was running only.
TEST(CrashLoop, FiveLossesWithoutProof_ThreeAtTheStartAreNeeded)
{
  using enum CrashEvidence;
  CHECK(IsProvenCrasher(
    Losses({ kRunning, kRunning, kStarting, kStarting, kStarting })));
  CHECK_FALSE(IsProvenCrasher(
    Losses({ kRunning, kRunning, kRunning, kStarting, kStarting })));
  CHECK_FALSE(IsProvenCrasher(Losses({ kStarting, kStarting, kStarting })));
}

// Guards against a healthy task that is given up because it was lost in one
// mass loss after the other.
TEST(CrashLoop, LossesInMassLosses_WeighHalfAsMuch)
{
  using enum CrashEvidence;
  const CrashEvidence mass = kStartingInMassLoss;
  CHECK(IsSuspect(Losses({ mass })));
  CHECK_FALSE(
    IsLikelyCrasher(Losses({ kConcurrent, kConcurrent, mass, mass, mass })));
  CHECK_FALSE(IsLikelyCrasher(Losses({ mass, mass, mass, mass })));
  CHECK(IsLikelyCrasher(Losses({ mass, mass, mass, mass, mass })));
  CHECK(IsLikelyCrasher(Losses({ kConcurrent, kStarting, mass, mass, mass })));
  CHECK(IsLikelyCrasher(Losses({ kRunning, kRunning, mass, mass, kStarting })));
  CHECK_FALSE(IsProvenCrasher(Losses({ mass, mass, mass, mass, mass })));
}
