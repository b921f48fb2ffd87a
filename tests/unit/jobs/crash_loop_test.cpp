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

  /** Starts the task and loses its worker. */
  void Lose(const TaskRef& aTask, CrashEvidence aEvidence)
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

TEST(CrashLoop, TwoCrashesInTrials_JobFailsAndNamesTheWorkers)
{
  m_fleet.Submit("a", Spec({ Step(2) }));
  Lose(Ref("a", 1), CrashEvidence::kStarting);
  Lose(Ref("a", 1), CrashEvidence::kAlone);
  CHECK(m_fleet.StateOf("a") == JobState::kActive);
  LONGS_EQUAL(1, m_fleet.Book().LostWithWorkers().size());
  Lose(Ref("a", 1), CrashEvidence::kAlone);
  CHECK(m_fleet.StateOf("a") == JobState::kFailed);
  CHECK_STRING("step 0 task 1 crashed 3 workers: w1 (run 1), w2 (run 2), w3 "
               "(run 3)",
               m_fleet.Book().Find(JobId{ "a" })->m_reason);
  CHECK(m_fleet.Book().LostWithWorkers().empty());
}

// Guards against a sound task that is given up for the crashes of its
// neighbours.
TEST(CrashLoop, WorkersLostWhileTheTaskRan_NeverGiveItUp)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  for (int i = 0; i < 20; ++i) {
    Lose(Ref("a"), CrashEvidence::kRunning);
  }
  CHECK(m_fleet.StateOf("a") == JobState::kActive);
}

TEST(CrashLoop, LossesInDoubt_AreBoundedAllTheSame)
{
  using enum CrashEvidence;
  CHECK(!IsProven(Losses({ kStarting, kStarting, kStarting, kStarting })));
  CHECK(IsProven(
    Losses({ kStarting, kStarting, kStarting, kStarting, kStarting })));
  CHECK(!IsProven(Losses({ kRunning, kStarting, kStarting, kAlone })));
  CHECK(IsProven(Losses({ kRunning, kRunning, kStarting, kStarting, kAlone })));
}

// Guards against tasks that crash their workers at the same time, each of which
// hides behind the others' crashes.
TEST(CrashLoop, LossesThatOthersShare_MakeASuspectButProveNothing)
{
  using enum CrashEvidence;
  CHECK(!IsSuspect(Losses({ kShared, kShared })));
  CHECK(IsSuspect(Losses({ kShared, kShared, kShared })));
  CHECK(IsSuspect(Losses({ kShared, kRunning, kShared })));
  CHECK(MayBeTriedTogether(Losses({ kShared, kRunning, kShared })));
  CHECK(NeedsCalm(Losses({ kShared, kShared, kShared })));
  CHECK(!IsProven(Losses(std::vector(20, kShared))));
}

TEST(CrashLoop, StartsAndOneProof_JobIsGivenUpAtTheFourth)
{
  using enum CrashEvidence;
  CHECK(!IsProven(Losses({ kStarting, kStarting, kAlone })));
  CHECK(IsProven(Losses({ kStarting, kStarting, kStarting, kAlone })));
}

TEST(CrashLoop, SuspectsAreTriedApart_OthersAreNot)
{
  using enum CrashEvidence;
  CHECK(!IsSuspect({}));
  CHECK(!IsSuspect(Losses({ kRunning })));
  CHECK(IsSuspect(Losses({ kStarting })));
  CHECK(!IsTriedThroughout(Losses({ kStarting })));
  CHECK(IsTriedThroughout(Losses({ kRunning, kRunning })));
  CHECK(!NeedsCalm(Losses({ kStarting, kStarting })));
  CHECK(NeedsCalm(Losses({ kStarting, kStarting, kStarting })));
  CHECK(WasLostOn(Losses({ kStarting }), InstanceId{ "i" }));
  CHECK(!WasLostOn(Losses({ kStarting }), InstanceId{ "j" }));
}

// Guards against a long-running task that is given up in the course of time,
// as each of its workers is lost some day.
TEST(CrashLoop, RunThatSettled_ClearsItsTask)
{
  StepSpec step = Step(1);
  step.m_longRunning = true;
  m_fleet.Submit("a", Spec({ step }));
  Lose(Ref("a"), CrashEvidence::kStarting);
  Lose(Ref("a"), CrashEvidence::kAlone);
  m_fleet.Start(Ref("a"), "w9", 3);
  m_fleet.Apply({ SettleRun{ Ref("a"), RunNumber{ 3 } } });
  CHECK(m_fleet.Book().FindTask(Ref("a"))->m_losses.empty());
  CHECK(m_fleet.Book().FindTask(Ref("a"))->m_settled);
  m_fleet.End(Ref("a"), RunEnd::kWorkerLost, 3);
  m_fleet.Start(Ref("a"), "w10", 4);
  CHECK(!m_fleet.Book().FindTask(Ref("a"))->m_settled);
}

TEST(CrashLoop, RetryDelay_GrowsWithEachLossAndDiffersByTask)
{
  using enum CrashEvidence;
  const auto once = Losses({ kStarting });
  const auto thrice = Losses({ kStarting, kStarting, kStarting });
  CHECK(RetryDelay(Ref("a"), {}) == Duration::zero());
  CHECK(RetryDelay(Ref("a"), once) < RetryDelay(Ref("a"), thrice));
  CHECK(RetryDelay(Ref("a"), once) != RetryDelay(Ref("b"), once));
  CHECK(RetryDelay(Ref("a"), once) == RetryDelay(Ref("a"), once));
  for (int i = 0; i < 100; ++i) {
    const auto many = Losses(std::vector<CrashEvidence>(8, kStarting));
    CHECK(RetryDelay(Ref("a", i), many) <= Millis{ 2000 });
  }
}

// Guards against a task that is done and counts as a suspect until its job
// ends.
TEST(CrashLoop, SuspectIsDone_NoLongerUnderSuspicion)
{
  m_fleet.Submit("a", Spec({ Step(2) }));
  Lose(Ref("a"), CrashEvidence::kStarting);
  m_fleet.Start(Ref("a"), "w2", 2);
  m_fleet.End(Ref("a"), RunEnd::kDone, 2);
  CHECK(m_fleet.Book().LostWithWorkers().empty());
}

// Guards against counts that are lost with a snapshot or a disk.
TEST(CrashLoop, SnapshotAndLogReadBack_KeepTheEvidence)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  Lose(Ref("a"), CrashEvidence::kStarting);
  Lose(Ref("a"), CrashEvidence::kAlone);
  m_fleet.Restore();
  const auto& losses = m_fleet.Book().FindTask(Ref("a"))->m_losses;
  LONGS_EQUAL(2, losses.size());
  CHECK_STRING("i", losses[1].m_instance.Get());
  CHECK_STRING("w2", losses[1].m_worker.m_id.Get());
  CHECK(losses[1].m_evidence == CrashEvidence::kAlone);
  LONGS_EQUAL(1, m_fleet.Book().LostWithWorkers().size());

  const EndRun end{ Ref("a"), RunNumber{ 3 }, RunEnd::kWorkerLost,
                    "",       WallTime{ 3 },  CrashEvidence::kAlone };
  const auto batch = DecodeBatch(
    EncodeBatch({ { end, SettleRun{ Ref("a"), RunNumber{ 4 } } } }));
  CHECK(std::get<EndRun>(batch->m_changes[0]).m_evidence ==
        CrashEvidence::kAlone);
  LONGS_EQUAL(4, std::get<SettleRun>(batch->m_changes[1]).m_run.Get());
}

// Guards against a group that cannot read its own log after an upgrade: these
// bytes were written before there was evidence.
TEST(CrashLoop, LogAndSnapshotWithoutEvidence_AreRead)
{
  const auto batch = DecodeBatch(
    FromHex("100e400111013751040303110107010301055108020111150a000211011201"
            "610000"));
  CHECK(batch.has_value());
  CHECK(std::get<EndRun>(batch->m_changes[0]).m_how == RunEnd::kWorkerLost);
  CHECK(std::get<EndRun>(batch->m_changes[0]).m_evidence ==
        CrashEvidence::kNone);
  const auto book = DecodeBook(FromHex(
    "102f500101010211014f51040405000001010000010111111211111251100302115d0a"
    "115d170161017100021105121105570170510406043101e80301640003110d0411090a"
    "11090a11090a000351040101000011010f41040111011f51040102100111051211050a"
    "01770000"));
  CHECK(book.has_value());
  CHECK(book->FindTask(Ref("a"))->m_losses.empty());
  LONGS_EQUAL(1, book->FindTask(Ref("a"))->m_lastRun.Get());
}
