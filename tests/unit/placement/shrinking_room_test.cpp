#include "job_fixtures.h"

#include "bamboostile/placement/capacity.h"

#include "check.h"

using namespace bamboostile;
using namespace bamboostile::jobs;
using namespace bamboostile::placement;
using namespace job_fixtures;

namespace {

/** A time long after the leader was elected, in milliseconds. */
constexpr std::int64_t kSteadyStateMs = 60'000;
constexpr WallTime::Value kWallMs = 1;

} // namespace

/** A worker whose capacity shrinks while it still starts all it is sent. */
TEST_GROUP(ShrinkingCapacity)
{
  Fleet m_fleet;
  placement::WorkerTable m_table{ LeaseOptions{}, At(0) };
  Planner m_planner;

  ReportResult Receive(const WorkerReport& aReport, std::int64_t aAtMs)
  {
    ReportResult result =
      m_table.OnReport(aReport, m_fleet.Book(), At(aAtMs), WallTime{ kWallMs });
    m_fleet.Apply({ result.m_ends.begin(), result.m_ends.end() });
    return result;
  }

  Orders Answer(std::int64_t aAtMs)
  {
    return m_table.Answer(Life("w1"), m_fleet.Book(), At(aAtMs));
  }

  std::size_t CountPlanned(std::int64_t aAtMs)
  {
    return m_planner
      .ComputePlan(m_fleet.State(), m_table, {}, At(aAtMs), WallTime{ kWallMs })
      .m_changes.size();
  }

  static WorkerReport ReportWithCpu(std::uint64_t aSequence,
                                    std::uint32_t aCpuMillis,
                                    std::vector<RunReport> aActive = {})
  {
    WorkerReport report = Report("w1", aSequence);
    report.m_capacity.m_cpuMillis = aCpuMillis;
    report.m_active = std::move(aActive);
    return report;
  }
};

// Guards against overloading a worker whose capacity shrinks between the
// decision to start a task there and the answer that carries the start.
TEST(ShrinkingCapacity, ShrinksBeforeStartIsSent_StartIsWithheld)
{
  m_fleet.Submit("a", Spec({ Step(2, 2000) }));
  Receive(ReportWithCpu(1, 4000), kSteadyStateMs);
  m_fleet.Start(Ref("a", 0), "w1");
  m_fleet.Start(Ref("a", 1), "w1");
  m_table.OnReport(ReportWithCpu(2, 2000),
                   m_fleet.Book(),
                   At(kSteadyStateMs + 100),
                   WallTime{ kWallMs });
  LONGS_EQUAL(1, Answer(kSteadyStateMs + 100).m_starts.size());
}

// Guards against a task that waits for a worker whose capacity never returns.
TEST(ShrinkingCapacity, WithheldStartNeverSent_TaskGoesElsewhereAtOnce)
{
  m_fleet.Submit("a", Spec({ Step(1, 2000) }));
  Receive(ReportWithCpu(1, 4000), kSteadyStateMs);
  m_fleet.Start(Ref("a"), "w1");
  LONGS_EQUAL(
    1, Receive(ReportWithCpu(2, 1000), kSteadyStateMs + 100).m_ends.size());
  CHECK(m_fleet.Book().FindTask(Ref("a"))->m_phase == TaskPhase::kWaiting);
}

// Guards against two runs of one task: the worker may still act on the answer
// that carried the start, so the task stays placed until that answer expires.
TEST(ShrinkingCapacity, WithheldStartSentOnce_TaskStaysUntilTheAnswerExpires)
{
  m_fleet.Submit("a", Spec({ Step(1, 2000) }));
  Receive(ReportWithCpu(1, 4000), kSteadyStateMs);
  m_fleet.Start(Ref("a"), "w1");
  Answer(kSteadyStateMs);
  CHECK(Receive(ReportWithCpu(2, 1000), kSteadyStateMs + 200).m_ends.empty());
  CHECK(Answer(kSteadyStateMs + 200).m_starts.empty());
  LONGS_EQUAL(
    1, Receive(ReportWithCpu(3, 1000), kSteadyStateMs + 3100).m_ends.size());
}

TEST(ShrinkingCapacity, CapacityShrinks_ExistingRunsContinue)
{
  m_fleet.Submit("a", Spec({ Step(2, 2000) }));
  Receive(ReportWithCpu(1, 4000), kSteadyStateMs);
  m_fleet.Start(Ref("a", 0), "w1");
  m_fleet.Start(Ref("a", 1), "w1");
  Answer(kSteadyStateMs);
  const auto running = std::vector{ Active(Ref("a", 0)), Active(Ref("a", 1)) };
  CHECK(Receive(ReportWithCpu(2, 1000, running), kSteadyStateMs + 200)
          .m_ends.empty());
  CHECK(Answer(kSteadyStateMs + 200).m_stops.empty());
}

TEST(ShrinkingCapacity, CapacityGrowsAgain_IsUsedAgain)
{
  m_fleet.Submit("a", Spec({ Step(2, 2000) }));
  Receive(ReportWithCpu(1, 1000), kSteadyStateMs);
  LONGS_EQUAL(0, CountPlanned(kSteadyStateMs));
  Receive(ReportWithCpu(2, 4000), kSteadyStateMs + 200);
  LONGS_EQUAL(2, CountPlanned(kSteadyStateMs + 200));
}

// Guards against overloading a worker that was considered lost but still runs:
// the run that the leader gave up continues there and keeps its capacity
// reserved until it is stopped.
TEST(ShrinkingCapacity, RunThatIsBeingStopped_KeepsItsCapacity)
{
  m_fleet.Submit("a", Spec({ Step(1, 3000) }));
  m_fleet.Submit("b", Spec({ Step(1, 2000) }));
  m_fleet.Start(Ref("a"), "w1");
  m_fleet.End(Ref("a"), RunEnd::kWorkerLost);
  m_fleet.Start(Ref("a"), "w2", 2);
  Receive(ReportWithCpu(1, 4000, { Active(Ref("a")) }), kSteadyStateMs);
  LONGS_EQUAL(0, CountPlanned(kSteadyStateMs));
  m_fleet.Start(Ref("b"), "w1");
  CHECK(Answer(kSteadyStateMs).m_starts.empty());
}

// Guards against a pool that is given every instance there is, because the size
// of its workers was taken from one whose capacity had shrunk.
TEST(ShrinkingCapacity, OneWorkerShrinks_PoolAsksForLittleMore)
{
  placement::CapacityPlanner capacity;
  const OrderRecord record{ Millis{ 3000 } };
  for (int i = 0; i < 8; ++i) {
    WorkerReport report = Report("w" + std::to_string(i), 1);
    report.m_capacity.m_cpuMillis = i == 7 ? 100 : 4000;
    Receive(report, kSteadyStateMs);
  }
  m_fleet.Submit("peak", Spec({ Step(24, 1000) }));
  const auto plan = capacity.Next(m_fleet.State(),
                                  m_table,
                                  {},
                                  placement::DurationEstimator{},
                                  record,
                                  At(kSteadyStateMs + 1000),
                                  WallTime{ 0 });
  LONGS_EQUAL(1, plan.m_pools.size());
  CHECK(plan.m_pools[0].m_desired >= 4);
  CHECK(plan.m_pools[0].m_desired <= 6);
}

// Guards against overloading a worker with a run whose resources the leader
// does not know, because its job was removed or has no such step.
TEST(ShrinkingCapacity, RunOfUnknownJobOrStep_NothingElseIsStarted)
{
  for (const auto& unknown : { Ref("forgotten"), Ref("a", 0, 7) }) {
    m_table = placement::WorkerTable{ LeaseOptions{}, At(0) };
    m_fleet = Fleet{};
    m_fleet.Submit("a", Spec({ Step(1) }));
    Receive(Report("w1", 1), kSteadyStateMs);
    m_fleet.Start(Ref("a"), "w1");
    Receive(ReportWithCpu(2, 4000, { Active(unknown) }), kSteadyStateMs + 200);
    const Orders orders = Answer(kSteadyStateMs + 200);
    LONGS_EQUAL(0, orders.m_starts.size());
    LONGS_EQUAL(1, orders.m_stops.size());
    m_fleet.Submit("b", Spec({ Step(1) }));
    LONGS_EQUAL(0, CountPlanned(kSteadyStateMs + 300));
    Receive(ReportWithCpu(3, 4000), kSteadyStateMs + 400);
    // The first start was rolled back, so both tasks fit again.
    LONGS_EQUAL(2, CountPlanned(kSteadyStateMs + 400));
  }
}
