#include "job_fixtures.h"

#include "bamboostile/placement/capacity.h"
#include "bamboostile/placement/maintenance.h"

#include "check.h"

using namespace bamboostile;
using namespace bamboostile::jobs;
using namespace bamboostile::placement;
using namespace job_fixtures;

namespace {

/** Long after the leader was elected. */
constexpr std::int64_t kLater = 60'000;

} // namespace

/** An instance crashed and returned: its next incarnation reports while the
 * lease of the previous one has not ended. */
TEST_GROUP(TwoIncarnations)
{
  Fleet m_fleet;
  placement::WorkerTable m_table{ LeaseOptions{}, At(0) };
  placement::CapacityPlanner m_capacity;
  placement::OrderRecord m_record{ Millis{ 3000 } };

  void setup() override
  {
    Receive("before", kLater);
    Receive("next", kLater + 500);
  }

  void Receive(const std::string& aIncarnation, std::int64_t aAtMs)
  {
    WorkerReport report =
      Report(aIncarnation, static_cast<std::uint64_t>(aAtMs));
    report.m_instance = InstanceId{ "i" };
    m_table.OnReport(report, m_fleet.Book(), At(aAtMs), WallTime{ 0 });
  }

  void StartLongRunningOn(const std::string& aIncarnation)
  {
    StepSpec step = Step(1);
    step.m_longRunning = true;
    m_fleet.Submit("lasting", Spec({ step }));
    m_fleet.Start(Ref("lasting"), aIncarnation);
  }

  /** Adds six idle workers and a standby pool, so that instances are moved. */
  void AddIdleWorkersAndStandby(std::int64_t aAtMs)
  {
    for (int i = 0; i < 6; ++i) {
      WorkerReport other = Report("other" + std::to_string(i), 1);
      m_table.OnReport(other, m_fleet.Book(), At(aAtMs), WallTime{ 0 });
    }
    fleet::RouteTable table = m_fleet.State().Routes();
    table.m_version = 2;
    table.m_services.push_back({ ServiceId{ "spare" }, true, true });
    m_fleet.Do(fleet::ReplaceRoutes{ table });
  }

  CapacityPlan PlanMoves(std::int64_t aAtMs)
  {
    return m_capacity.Next(m_fleet.State(),
                           m_table,
                           {},
                           placement::DurationEstimator{},
                           m_record,
                           At(aAtMs),
                           WallTime{ 0 });
  }

  /** The next incarnation's last report is just before the lease of the
   * previous one ends. */
  void LoseEarlierIncarnation()
  {
    Receive("next", kLater + 900);
    m_table.CollectLostRuns(m_fleet.Book(), At(kLater + 4'800), WallTime{ 0 });
    CHECK(m_table.Find(Life("before"))->m_isLost);
    CHECK_FALSE(m_table.Find(Life("next"))->m_isLost);
  }

  std::size_t OrdersOfWaveAt(std::int64_t aAtMs)
  {
    MaintenancePlanner maintenance;
    fleet::MaintenanceWave wave;
    wave.m_number = 1;
    wave.m_cap = 1;
    wave.m_instances[InstanceId{ "i" }] = fleet::MaintenanceStep::kWaiting;
    m_fleet.Do(fleet::StartMaintenance{ wave });
    return maintenance.Next(m_fleet.State(), m_table, At(aAtMs))
      .m_advances.size();
  }
};

// Guards against two long-running tasks of a step that are unavailable at
// once. They had just been started on the next incarnation, while the previous
// one, idle and free to be moved, still counted as the instance's worker: the
// instance was moved 0.7 s after the first report of its next incarnation.
TEST(TwoIncarnations, EarlierIncarnationIsIdle_InstanceIsNotMoved)
{
  StartLongRunningOn("next");
  AddIdleWorkersAndStandby(kLater + 600);
  PlanMoves(kLater + 600);
  for (const MoveOrder& order : PlanMoves(kLater + 1400).m_orders) {
    CHECK(order.m_instance != InstanceId{ "i" });
  }
}

// Guards against starts on a worker that an order is about to end: the
// incarnation before it was cordoned in its place.
TEST(TwoIncarnations, EarlierIncarnationIsLost_NextOneIsCordonedForItsMove)
{
  LoseEarlierIncarnation();
  AddIdleWorkersAndStandby(kLater + 4'000);
  PlanMoves(kLater + 4'000);
  const CapacityPlan plan = PlanMoves(kLater + 4'800);
  CHECK(std::any_of(
    plan.m_orders.begin(), plan.m_orders.end(), [](const MoveOrder& aOrder) {
      return aOrder.m_instance == InstanceId{ "i" };
    }));
  CHECK(plan.m_cordoned.contains(Life("next")));
}

// Guards against maintenance that ends long-running tasks, since the
// incarnation before the one that runs them has none.
TEST(TwoIncarnations, EarlierIncarnationIsLost_TasksOfNextOneDelayTheWave)
{
  LoseEarlierIncarnation();
  StartLongRunningOn("next");
  LONGS_EQUAL(0, OrdersOfWaveAt(kLater + 4'800));
}

TEST(TwoIncarnations, EarlierIncarnationIsIdle_WaveWaits)
{
  LONGS_EQUAL(0, OrdersOfWaveAt(kLater + 600));
}

TEST(TwoIncarnations, NextIncarnationIsConfirmed_WaveContinues)
{
  Receive("next", kLater + 1700);
  LONGS_EQUAL(1, OrdersOfWaveAt(kLater + 1700));
}

TEST(TwoIncarnations, EarlierIncarnation_GetsNoTasks)
{
  Planner planner;
  m_fleet.Submit("a", Spec({ Step(8) }));
  const auto plan = planner.ComputePlan(
    m_fleet.State(), m_table, {}, At(kLater + 600), WallTime{ 0 });
  LONGS_EQUAL(4, plan.m_changes.size());
  for (const Change& change : plan.m_changes) {
    CHECK_STRING("next", std::get<StartRun>(change).m_worker.m_id.Get());
  }
}

// Guards against a task that waits for a whole lease on a worker that has
// ended: the platform accepted an order after another incarnation had
// reported, and only the addressed incarnation counted as ended.
TEST(TwoIncarnations, OrderIsAccepted_EndsAllEarlierIncarnations)
{
  StartLongRunningOn("next");
  const auto ends = m_table.RetireInstance(
    Life("before"), At(kLater + 900), m_fleet.Book(), WallTime{ 0 });
  LONGS_EQUAL(1, ends.size());
  CHECK(m_table.Workers().empty());
}

// Guards against ending an incarnation that began after the order was
// executed.
TEST(TwoIncarnations, OrderIsAccepted_LaterIncarnationContinues)
{
  const auto ends = m_table.RetireInstance(
    Life("before"), At(kLater + 400), m_fleet.Book(), WallTime{ 0 });
  CHECK(ends.empty());
  CHECK(m_table.Find(Life("next")) != nullptr);
}
