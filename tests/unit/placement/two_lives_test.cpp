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

/** An instance crashed and is back: its next life reports, and the lease of the
 * one before is not over yet. */
TEST_GROUP(TwoLives)
{
  Fleet m_fleet;
  placement::WorkerTable m_table{ LeaseOptions{}, At(0) };

  void setup() override
  {
    Hear("before", kLater);
    Hear("next", kLater + 500);
  }

  void Hear(const std::string& aLife, std::int64_t aAtMs)
  {
    WorkerReport report = Report(aLife, static_cast<std::uint64_t>(aAtMs));
    report.m_instance = InstanceId{ "i" };
    m_table.OnReport(report, m_fleet.Book(), At(aAtMs), WallTime{ 0 });
  }

  void StartLongRunningOn(const std::string& aLife)
  {
    StepSpec step = Step(1);
    step.m_longRunning = true;
    m_fleet.Submit("lasting", Spec({ step }));
    m_fleet.Start(Ref("lasting"), aLife);
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

// The operator sees two long-running tasks of a step away at once. They had
// just been started on the next life, while the one before was held for the
// instance's worker: idle, and free to be ordered away. The log showed the move
// of an instance 0.7 s after its next life was heard.
TEST(TwoLives, EarlierLifeIsIdle_InstanceIsNotMoved)
{
  StartLongRunningOn("next");
  for (int i = 0; i < 6; ++i) {
    WorkerReport other = Report("other" + std::to_string(i), 1);
    m_table.OnReport(other, m_fleet.Book(), At(kLater + 600), WallTime{ 0 });
  }
  fleet::RouteTable table = m_fleet.State().Routes();
  table.m_version = 2;
  table.m_services.push_back({ ServiceId{ "spare" }, true, true });
  m_fleet.Do(fleet::ReplaceRoutes{ table });
  placement::CapacityPlanner capacity;
  const OrderRecord record{ Millis{ 3000 } };
  const auto next = [&](std::int64_t aAtMs) {
    return capacity.Next(m_fleet.State(),
                         m_table,
                         {},
                         placement::Durations{},
                         record,
                         At(aAtMs),
                         WallTime{ 0 });
  };
  next(kLater + 600);
  for (const MoveOrder& order : next(kLater + 1400).m_orders) {
    CHECK(order.m_instance != InstanceId{ "i" });
  }
}

TEST(TwoLives, EarlierLifeIsIdle_WaveWaits)
{
  LONGS_EQUAL(0, OrdersOfWaveAt(kLater + 600));
}

TEST(TwoLives, NextLifeIsConfirmed_WaveGoesOn)
{
  Hear("next", kLater + 1700);
  LONGS_EQUAL(1, OrdersOfWaveAt(kLater + 1700));
}

TEST(TwoLives, EarlierLife_GetsNoTasks)
{
  Planner planner;
  m_fleet.Submit("a", Spec({ Step(8) }));
  const auto plan =
    planner.Next(m_fleet.State(), m_table, {}, At(kLater + 600), WallTime{ 0 });
  LONGS_EQUAL(4, plan.m_changes.size());
  for (const Change& change : plan.m_changes) {
    CHECK_STRING("next", std::get<StartRun>(change).m_worker.m_id.Get());
  }
}

// A task waits for a whole lease on a worker that is gone: the platform took
// the order after another life had been heard, and only the life that the order
// was aimed at was held for ended.
TEST(TwoLives, OrderIsTaken_EndsAllLivesHeardBefore)
{
  StartLongRunningOn("next");
  const auto ends = m_table.RetireInstance(
    Life("before"), At(kLater + 900), m_fleet.Book(), WallTime{ 0 });
  LONGS_EQUAL(1, ends.size());
  CHECK(m_table.Workers().empty());
}

// Guards against the end of a life that began after the order was obeyed.
TEST(TwoLives, OrderIsTaken_LaterLifeGoesOn)
{
  const auto ends = m_table.RetireInstance(
    Life("before"), At(kLater + 400), m_fleet.Book(), WallTime{ 0 });
  CHECK(ends.empty());
  CHECK(m_table.Find(Life("next")) != nullptr);
}
