#include "job_fixtures.h"
#include "simulated_hosting.h"

#include "bamboostile/placement/maintenance.h"

#include "check.h"

#include <algorithm>
#include <cstdlib>

using namespace bamboostile;
using namespace bamboostile::jobs;
using namespace bamboostile::placement;
using namespace job_fixtures;

TEST_GROUP(MaintenancePlanner)
{
  Fleet m_fleet;
  placement::WorkerTable m_table{ LeaseOptions{}, At(0) };
  placement::MaintenancePlanner m_planner;

  void SendReport(
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
      SendReport(name, 1, 9000);
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

  /** Delivers the platform's list, requested and read at aAt. */
  void DeliverList(
    const InstanceId& aInstance, InstanceState aState, std::int64_t aAt)
  {
    m_planner.OnListed(
      { At(aAt), { { aInstance, ServiceId{ "desk" }, aState } } });
  }

  /** Sends the first order of a wave of one instance, accepted at 10.2 s. */
  MaintenanceOrder TakeDown()
  {
    Next(10'000);
    const auto order = Next(10'100).m_orders.at(0);
    m_fleet.Do(m_planner.OnAnswer(order, InstanceAnswer::kAccepted, At(10'200))
                 .m_advance->m_change);
    Next(10'300);
    return order;
  }
};

TEST(MaintenancePlanner, EmptyInstances_NoMoreThanCapAreDown)
{
  StartWave(5, 2);
  Next(10'000);
  Next(10'100);
  LONGS_EQUAL(2, Wave().DownCount());
  LONGS_EQUAL(2, Next(10'200).m_orders.size());
}

TEST(MaintenancePlanner, NewLeader_WaitsBeforeItsFirstOrder)
{
  StartWave(1, 1);
  Next(2900);
  LONGS_EQUAL(0, Wave().DownCount());
}

// An order without a clear answer may have been executed: the instance counts
// as down and the order is repeated until the platform's answer is clear.
TEST(MaintenancePlanner, UnclearAnswer_InstanceStaysOrdered)
{
  StartWave(2, 1);
  Next(10'000);
  const auto order = Next(10'100).m_orders.at(0);
  CHECK(
    !m_planner.OnAnswer(order, InstanceAnswer::kUnclear, At(10'200)).m_advance);
  LONGS_EQUAL(1, Wave().DownCount());
  LONGS_EQUAL(1, Next(10'300).m_orders.size());
}

TEST(MaintenancePlanner, OrderAcceptedAtOnce_EndsTheTargetIncarnation)
{
  StartWave(1, 1);
  Next(10'000);
  const auto order = Next(10'100).m_orders.at(0);
  const auto result =
    m_planner.OnAnswer(order, InstanceAnswer::kAccepted, At(10'200));
  CHECK_STRING("w0", result.m_endedIncarnation->m_id.Get());
}

// Guards against a job that runs twice: an order is executed, its answer is
// lost with the leader, and the instance returns and gets new runs. "Accepted"
// to the next leader's repeated order must not end the new incarnation.
TEST(MaintenancePlanner, OrderRepeatedAndAccepted_EndsNoIncarnation)
{
  StartWave(1, 1);
  Next(10'000);
  const auto order = Next(10'100).m_orders.at(0);
  m_planner.OnAnswer(order, InstanceAnswer::kUnclear, At(10'200));
  CHECK(!m_planner.OnAnswer(order, InstanceAnswer::kAccepted, At(12'900))
           .m_endedIncarnation);
  placement::MaintenancePlanner next;
  CHECK(next.Next(m_fleet.State(), m_table, At(13'000)).m_orders.size() == 1);
  const auto taken =
    next.OnAnswer(order, InstanceAnswer::kAccepted, At(13'100));
  CHECK(!taken.m_endedIncarnation);
  CHECK(taken.m_advance.has_value());
}

// Guards against a task that runs twice: an order is being executed when the
// next leader repeats it and is answered "busy". Treated as a refusal, that
// would order the next incarnation of the instance, whose runs would end with
// "accepted", which may mean "done already".
TEST(MaintenancePlanner, OrderOfEarlierLeaderBusy_StaysOpenAndEndsNoIncarnation)
{
  StartWave(1, 1);
  const InstanceId instance{ "instance-of-w0" };
  m_fleet.Do(
    fleet::AdvanceMaintenance{ 1, instance, fleet::MaintenanceStep::kOrdered });
  const auto order = Next(10'000).m_orders.at(0);
  const auto busy =
    m_planner.OnAnswer(order, InstanceAnswer::kBusy, At(10'100));
  CHECK(!busy.m_advance);
  LONGS_EQUAL(1, Wave().DownCount());
  const auto again = Next(12'000).m_orders.at(0);
  const auto taken =
    m_planner.OnAnswer(again, InstanceAnswer::kAccepted, At(12'100));
  CHECK(!taken.m_endedIncarnation);
  CHECK(taken.m_advance.has_value());
}

// Guards against a service below its budget 3 s after a change of leader: the
// worker of an instance with an open order has not reported to the new leader.
// Its runs hold leases of the earlier leader, so they may continue until these
// have ended.
TEST(MaintenancePlanner, WorkerNotReportedYet_OrderWaitsForEarlierLeases)
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

// Guards against a service below its budget: a leader committed an order and
// was cut off. The next one must place nothing there while it may not send
// orders yet, and must not repeat the order while long-running tasks are there.
TEST(MaintenancePlanner, OrderLeftOpen_NextLeaderDrainsTheInstanceFirst)
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
  LONGS_EQUAL(0, Wave().DownCount());
}

// Guards against a delayed report of an incarnation that the order ended, even
// one that had not reported before, which is mistaken for one of the next
// incarnation.
TEST(MaintenancePlanner, LateReport_InstanceIsNotBack)
{
  StartWave(1, 1);
  TakeDown();
  SendReport("w0", 2, 13'200);
  CHECK(Next(13'300).m_needsInstanceList);
  CHECK(!Wave().IsDone());
  SendReport("w0", 3, 13'400);
  Next(13'500);
  CHECK(Wave().IsDone());
}

TEST(MaintenancePlanner, InstanceReportsAndIsListedUp_WaveEnds)
{
  StartWave(1, 1);
  const auto order = TakeDown();
  m_table.Retire(Life("w0"), m_fleet.Book(), WallTime{ 0 });
  CHECK(!Next(10'400).m_needsInstanceList);
  WorkerReport back = Report("w0-next", 1);
  back.m_instance = order.m_instance;
  m_table.OnReport(back, m_fleet.Book(), At(12'500), WallTime{ 0 });
  CHECK(Next(12'500).m_needsInstanceList);
  CHECK(!Wave().IsDone());
  DeliverList(order.m_instance, InstanceState::kUp, 12'550);
  Next(12'600);
  CHECK(Wave().IsDone());
}

// Guards against a list that was read before the order was executed.
TEST(MaintenancePlanner, ListedUpBeforeItWentDown_InstanceIsNotBack)
{
  StartWave(1, 1);
  const auto order = TakeDown();
  DeliverList(order.m_instance, InstanceState::kUp, 10'250);
  Next(10'400);
  CHECK(!Wave().IsDone());
}

// Guards against an instance that counts as back after a timeout.
TEST(MaintenancePlanner, InstanceStaysDownForLong_WaveWaits)
{
  StartWave(2, 1);
  const auto order = TakeDown();
  m_table.Retire(order.m_instance.Get().ends_with('0') ? Life("w0")
                                                       : Life("w1"),
                 m_fleet.Book(),
                 WallTime{ 0 });
  for (int at = 12'000; at < 60'000; at += 500) {
    DeliverList(order.m_instance, InstanceState::kMaintenance, at);
    LONGS_EQUAL(0, Next(at).m_orders.size());
  }
  LONGS_EQUAL(1, Wave().DownCount());
}

// Guards against a wave that is reported done while its instance is down,
// because the instance had returned from an earlier wave.
TEST(MaintenancePlanner, InstanceOfSecondWaveIsDown_WaveIsNotDone)
{
  StartWave(1, 1);
  const auto order = TakeDown();
  DeliverList(order.m_instance, InstanceState::kUp, 12'500);
  Next(12'600);
  CHECK(Wave().IsDone());
  fleet::MaintenanceWave second;
  second.m_number = 2;
  second.m_instances[order.m_instance] = fleet::MaintenanceStep::kWaiting;
  m_fleet.Do(fleet::StartMaintenance{ second });
  SendReport("w0", 2, 19'000);
  Next(20'000);
  const auto again = Next(20'100).m_orders.at(0);
  m_fleet.Do(m_planner.OnAnswer(again, InstanceAnswer::kAccepted, At(20'200))
               .m_advance->m_change);
  m_table.Retire(Life("w0"), m_fleet.Book(), WallTime{ 0 });
  Next(20'300);
  Next(24'400);
  CHECK(!m_fleet.State().Maintenance().at(2).IsDone());
  DeliverList(order.m_instance, InstanceState::kUp, 24'500);
  Next(24'600);
  CHECK(m_fleet.State().Maintenance().at(2).IsDone());
}

// Instances in standby are off, so they have no worker that could report.
TEST(MaintenancePlanner, InstanceThatNeverReports_WaveEndsOnceItIsListedUp)
{
  StartWave(1, 1);
  const auto order = TakeDown();
  m_table.Retire(Life("w0"), m_fleet.Book(), WallTime{ 0 });
  CHECK(Next(12'400).m_needsInstanceList);
  DeliverList(order.m_instance, InstanceState::kUp, 12'400);
  Next(12'500);
  CHECK(Wave().IsDone());
}

// Guards against two waves that each count only their own orders.
TEST(MaintenancePlanner, ConcurrentWavesOverTheSameInstances_EachCapIsKept)
{
  StartWave(4, 1);
  fleet::MaintenanceWave second = Wave();
  second.m_number = 2;
  m_fleet.Do(fleet::StartMaintenance{ second });
  Next(10'000);
  LONGS_EQUAL(1, Next(10'100).m_orders.size());
}

// An instance that is permanently lost answers "busy" to each order. It must
// not block others once it is listed in another state and no transmission can
// be in flight.
TEST(MaintenancePlanner, UnclearOrderAndInstanceListedDown_CountsAsNotExecuted)
{
  StartWave(1, 1);
  Next(10'000);
  const auto order = Next(10'100).m_orders.at(0);
  m_planner.OnAnswer(order, InstanceAnswer::kUnclear, At(10'200));
  DeliverList(order.m_instance, InstanceState::kDown, 12'000);
  CHECK(
    !m_planner.OnAnswer(order, InstanceAnswer::kBusy, At(12'100)).m_advance);
  DeliverList(order.m_instance, InstanceState::kDown, 13'300);
  const auto busy =
    m_planner.OnAnswer(order, InstanceAnswer::kBusy, At(13'700)).m_advance;
  CHECK(busy.has_value());
  CHECK(busy->m_cause == AdvanceCause::kListedInOtherState);
}

// Covers each way in which an order can fail, before and after it is executed,
// when the same leader or the next one repeats it: while it may have been
// executed, the instance counts as down.
TEST(MaintenancePlanner, OrderFailsInAnyWay_CountsUntilItsOutcomeIsKnown)
{
  struct Failure
  {
    InstanceAnswer m_first;
    /** The answer to the second transmission. */
    InstanceAnswer m_second;
    bool m_staysOrdered;
  };
  const std::vector<Failure> failures{
    { InstanceAnswer::kUnclear, InstanceAnswer::kBusy, true },
    { InstanceAnswer::kUnclear, InstanceAnswer::kUnclear, true },
    { InstanceAnswer::kUnclear, InstanceAnswer::kNotSent, true },
    { InstanceAnswer::kUnclear, InstanceAnswer::kSuperseded, true },
    { InstanceAnswer::kNotSent, InstanceAnswer::kUnclear, true },
    { InstanceAnswer::kNotSent, InstanceAnswer::kBusy, false },
  };
  for (const bool isNextLeader : { false, true }) {
    for (const Failure& failure : failures) {
      Fleet fleet;
      fleet::MaintenanceWave wave;
      wave.m_number = 1;
      wave.m_instances[InstanceId{ "instance-of-w0" }] =
        fleet::MaintenanceStep::kWaiting;
      wave.m_instances[InstanceId{ "instance-of-w1" }] =
        fleet::MaintenanceStep::kWaiting;
      fleet.Do(fleet::StartMaintenance{ wave });
      m_table = placement::WorkerTable{ LeaseOptions{}, At(0) };
      SendReport("w0", 1, 9000);
      SendReport("w1", 1, 9000);
      m_planner = MaintenancePlanner{};
      const auto next = [&](std::int64_t aAt) {
        auto plan = m_planner.Next(fleet.State(), m_table, At(aAt));
        for (const auto& advance : plan.m_advances) {
          fleet.Do(advance.m_change);
        }
        return plan;
      };
      next(10'000);
      const auto order = next(10'100).m_orders.at(0);
      m_planner.OnAnswer(order, failure.m_first, At(10'200));
      if (isNextLeader) {
        m_planner = MaintenancePlanner{};
      }
      next(11'000);
      const auto second =
        m_planner.OnAnswer(order, failure.m_second, At(11'100));
      const bool stays = failure.m_staysOrdered || isNextLeader;
      CHECK_EQUAL(stays, !second.m_advance.has_value());
      const auto orders = next(11'200).m_orders;
      CHECK(std::all_of(orders.begin(), orders.end(), [&](const auto& aOther) {
        return aOther == order;
      }));
    }
  }
}

// Runs successive and concurrent waves under random faults: orders, lists and
// reports that are lost, delayed or refer to another transmission, crashes of
// instances, and changes of the leader.
TEST(MaintenancePlanner, WavesUnderRandomFaults_CapIsKeptAndEachWaveEnds)
{
  const char* more = std::getenv("BAMBOOSTILE_SEEDS");
  const unsigned seeds = more == nullptr ? 40 : std::stoul(more);
  for (unsigned seed = 1; seed <= seeds; ++seed) {
    simulated_hosting::HostingOptions options;
    options.m_seed = seed;
    simulated_hosting::SimulatedHosting hosting(options);
    hosting.Pass(Millis{ 1000 });
    hosting.StartWave(1, { 0, 1, 2, 3, 4 });
    for (int second = 0; second < 60; ++second) {
      if (second == 12) {
        hosting.StartWave(2, { 2, 3, 4, 5, 6, 7 });
      }
      if (second == 30) {
        hosting.StartWave(3, { 0, 1, 2, 3, 4, 5, 6, 7 });
      }
      if (hosting.Random(8) == 0) {
        hosting.Crash(hosting.Random(options.m_instances),
                      Millis{ 300 + hosting.Random(4000) });
      }
      if (hosting.Random(12) == 0) {
        hosting.ReplaceLeader();
      }
      hosting.Pass(Millis{ 1000 });
    }
    const auto areAllDone = [&]() {
      return hosting.IsDone(1) && hosting.IsDone(2) && hosting.IsDone(3);
    };
    for (int second = 0; second < 300 && !areAllDone(); ++second) {
      hosting.Pass(Millis{ 1000 });
    }
    const std::string name = "seed " + std::to_string(seed);
    LONGS_EQUAL_TEXT(0, hosting.MostOverCap(), name.c_str());
    for (const std::uint64_t wave : { 1, 2, 3 }) {
      CHECK_TEXT(hosting.IsDone(wave), name.c_str());
      LONGS_EQUAL_TEXT(0, hosting.CountSpared(wave), name.c_str());
    }
  }
}
