#include "job_fixtures.h"

#include "bamboostile/placement/capacity.h"

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

/** A worker that starts whatever it is told to, though its room shrinks. */
TEST_GROUP(ShrinkingRoom)
{
  Fleet m_fleet;
  placement::WorkerTable m_table{ LeaseOptions{}, At(0) };
  Planner m_planner;

  Heard Hear(const WorkerReport& aReport, std::int64_t aAtMs)
  {
    Heard heard =
      m_table.OnReport(aReport, m_fleet.Book(), At(aAtMs), WallTime{ kWall });
    m_fleet.Apply({ heard.m_ends.begin(), heard.m_ends.end() });
    return heard;
  }

  Orders Answer(std::int64_t aAtMs)
  {
    return m_table.Answer(Life("w1"), m_fleet.Book(), At(aAtMs));
  }

  std::size_t CountPlanned(std::int64_t aAtMs)
  {
    return m_planner
      .Next(m_fleet.State(), m_table, {}, At(aAtMs), WallTime{ kWall })
      .m_changes.size();
  }

  static WorkerReport Shrunk(std::uint64_t aSequence,
                             std::uint32_t aCpuMillis,
                             std::vector<RunReport> aActive = {})
  {
    WorkerReport report = Report("w1", aSequence);
    report.m_capacity.m_cpuMillis = aCpuMillis;
    report.m_active = std::move(aActive);
    return report;
  }
};

// A worker is loaded beyond what it has. Its room shrinks between the decision
// to start a task there and the answer that carries the start.
TEST(ShrinkingRoom, ShrinksBeforeStartIsSent_StartIsWithheld)
{
  m_fleet.Submit("a", Spec({ Step(2, 2000) }));
  Hear(Shrunk(1, 4000), kLater);
  m_fleet.Start(Ref("a", 0), "w1");
  m_fleet.Start(Ref("a", 1), "w1");
  m_table.OnReport(
    Shrunk(2, 2000), m_fleet.Book(), At(kLater + 100), WallTime{ kWall });
  LONGS_EQUAL(1, Answer(kLater + 100).m_starts.size());
}

// Guards against a task that waits for a worker whose room never comes back.
TEST(ShrinkingRoom, WithheldStartNeverSent_TaskGoesElsewhereAtOnce)
{
  m_fleet.Submit("a", Spec({ Step(1, 2000) }));
  Hear(Shrunk(1, 4000), kLater);
  m_fleet.Start(Ref("a"), "w1");
  LONGS_EQUAL(1, Hear(Shrunk(2, 1000), kLater + 100).m_ends.size());
  CHECK(m_fleet.Book().FindTask(Ref("a"))->m_phase == TaskPhase::kWaiting);
}

// Guards against two runs of one task: the answer that carried the start may
// still be obeyed, so the task stays placed until no answer can be under way.
TEST(ShrinkingRoom, WithheldStartSentOnce_TaskStaysUntilTheAnswerIsVoid)
{
  m_fleet.Submit("a", Spec({ Step(1, 2000) }));
  Hear(Shrunk(1, 4000), kLater);
  m_fleet.Start(Ref("a"), "w1");
  Answer(kLater);
  CHECK(Hear(Shrunk(2, 1000), kLater + 200).m_ends.empty());
  CHECK(Answer(kLater + 200).m_starts.empty());
  LONGS_EQUAL(1, Hear(Shrunk(3, 1000), kLater + 3100).m_ends.size());
}

TEST(ShrinkingRoom, RunsAlreadyThere_AreLeftAlone)
{
  m_fleet.Submit("a", Spec({ Step(2, 2000) }));
  Hear(Shrunk(1, 4000), kLater);
  m_fleet.Start(Ref("a", 0), "w1");
  m_fleet.Start(Ref("a", 1), "w1");
  Answer(kLater);
  const auto running = std::vector{ Active(Ref("a", 0)), Active(Ref("a", 1)) };
  CHECK(Hear(Shrunk(2, 1000, running), kLater + 200).m_ends.empty());
  CHECK(Answer(kLater + 200).m_stops.empty());
}

TEST(ShrinkingRoom, RoomGrowsAgain_IsUsedAgain)
{
  m_fleet.Submit("a", Spec({ Step(2, 2000) }));
  Hear(Shrunk(1, 1000), kLater);
  LONGS_EQUAL(0, CountPlanned(kLater));
  Hear(Shrunk(2, 4000), kLater + 200);
  LONGS_EQUAL(2, CountPlanned(kLater + 200));
}

// A worker is loaded beyond what it has. A run that the leader gave up with its
// worker goes on there, as the worker lives after all; until it is stopped it
// holds its room.
TEST(ShrinkingRoom, RunThatIsBeingStopped_HoldsItsRoom)
{
  m_fleet.Submit("a", Spec({ Step(1, 3000) }));
  m_fleet.Submit("b", Spec({ Step(1, 2000) }));
  m_fleet.Start(Ref("a"), "w1");
  m_fleet.End(Ref("a"), RunEnd::kWorkerLost);
  m_fleet.Start(Ref("a"), "w2", 2);
  Hear(Shrunk(1, 4000, { Active(Ref("a")) }), kLater);
  LONGS_EQUAL(0, CountPlanned(kLater));
  m_fleet.Start(Ref("b"), "w1");
  CHECK(Answer(kLater).m_starts.empty());
}

// A pool is given every instance there is: the size of its workers was taken
// from one whose room had shrunk.
TEST(ShrinkingRoom, OneWorkerShrinks_PoolAsksForLittleMore)
{
  placement::CapacityPlanner capacity;
  const OrderRecord record{ Millis{ 3000 } };
  for (int i = 0; i < 8; ++i) {
    WorkerReport report = Report("w" + std::to_string(i), 1);
    report.m_capacity.m_cpuMillis = i == 7 ? 100 : 4000;
    Hear(report, kLater);
  }
  m_fleet.Submit("peak", Spec({ Step(24, 1000) }));
  const auto plan = capacity.Next(m_fleet.State(),
                                  m_table,
                                  {},
                                  placement::Durations{},
                                  record,
                                  At(kLater + 1000),
                                  WallTime{ 0 });
  LONGS_EQUAL(1, plan.m_needs.size());
  CHECK(plan.m_needs[0].m_want >= 4);
  CHECK(plan.m_needs[0].m_want <= 6);
}

// Guards against a run that holds room on the worker and none in the account:
// its job is forgotten, or its step is none of the job's.
TEST(ShrinkingRoom, RunOfUnknownJobOrStep_NothingIsStartedBesideIt)
{
  for (const auto& unknown : { Ref("forgotten"), Ref("a", 0, 7) }) {
    m_table = placement::WorkerTable{ LeaseOptions{}, At(0) };
    m_fleet = Fleet{};
    m_fleet.Submit("a", Spec({ Step(1) }));
    Hear(Report("w1", 1), kLater);
    m_fleet.Start(Ref("a"), "w1");
    Hear(Shrunk(2, 4000, { Active(unknown) }), kLater + 200);
    const Orders orders = Answer(kLater + 200);
    LONGS_EQUAL(0, orders.m_starts.size());
    LONGS_EQUAL(1, orders.m_stops.size());
    m_fleet.Submit("b", Spec({ Step(1) }));
    LONGS_EQUAL(0, CountPlanned(kLater + 300));
    Hear(Shrunk(3, 4000), kLater + 400);
    // The first start was taken back; both find room again.
    LONGS_EQUAL(2, CountPlanned(kLater + 400));
  }
}
