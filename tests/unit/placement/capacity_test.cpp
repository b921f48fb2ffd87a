#include "job_fixtures.h"

#include "bamboostile/placement/capacity.h"

#include "check.h"

using namespace bamboostile;
using namespace bamboostile::jobs;
using namespace bamboostile::placement;
using namespace job_fixtures;

TEST_GROUP(CapacityPlanner)
{
  Fleet m_fleet;
  placement::WorkerTable m_table{ LeaseOptions{}, At(0) };
  placement::Durations m_durations;
  std::set<WorkerLife> m_reserved;
  placement::CapacityPlanner m_planner;
  placement::OrderRecord m_record{ Millis{ 3000 } };

  /** A second service, "other", and a pool "spare" that is off. */
  void setup() override
  {
    fleet::RouteTable table = m_fleet.State().Routes();
    table.m_version = 2;
    table.m_services.push_back({ ServiceId{ "other" }, true, false });
    table.m_services.push_back({ ServiceId{ "spare" }, true, true });
    fleet::QueueRoute route = table.m_routes[0];
    route.m_name = "o";
    route.m_pathPrefix = "/o/";
    route.m_service = ServiceId{ "other" };
    table.m_routes.push_back(route);
    m_fleet.Do(fleet::ReplaceRoutes{ table });
  }

  void Hear(const std::string& aWorker,
            const std::string& aService,
            std::int64_t aAt,
            std::uint64_t aSequence = 1)
  {
    WorkerReport report = Report(aWorker, aSequence);
    report.m_service = ServiceId{ aService };
    m_table.OnReport(report, m_fleet.Book(), At(aAt), WallTime{ 0 });
  }

  void Pool(const std::string& aService, int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      Hear(aService + std::to_string(i), aService, 9000);
    }
  }

  CapacityPlan Next(std::int64_t aAt)
  {
    return m_planner.Next(m_fleet.State(),
                          m_table,
                          m_reserved,
                          m_durations,
                          m_record,
                          At(aAt),
                          WallTime{ 0 });
  }

  void ListStandby(int aCount)
  {
    std::vector<ListedInstance> off;
    for (int i = 0; i < aCount; ++i) {
      off.push_back({ InstanceId{ "off" + std::to_string(i) },
                      ServiceId{ "spare" },
                      placement::InstanceState::kUp });
    }
    m_planner.OnListed(off, ServiceId{ "spare" }, At(0));
  }

  /** One instance, in standby as far as the platform's list tells. */
  void ListAsStandby(const std::string& aInstance, std::int64_t aAt)
  {
    m_planner.OnListed({ { InstanceId{ aInstance },
                           ServiceId{ "spare" },
                           placement::InstanceState::kUp } },
                       ServiceId{ "spare" },
                       At(aAt));
  }

  /** What is ordered in that time, each answered at once; maintenance gives
   * as many orders before each look. */
  std::vector<MoveOrder> OrderedIn(std::int64_t aMs,
                                   std::size_t aMaintenance = 0)
  {
    std::vector<MoveOrder> all;
    for (std::int64_t at = 10'000; at < 10'000 + aMs; at += 100) {
      m_planner.OnOtherOrders(aMaintenance);
      for (const MoveOrder& order : Next(at).m_orders) {
        m_planner.OnAnswer(order, InstanceAnswer::kTaken, At(at));
        all.push_back(order);
      }
    }
    return all;
  }

  /** Long-running tasks on the first four workers of "desk", one on each. */
  void StartFourApart()
  {
    StepSpec step = Step(4, 100);
    step.m_longRunning = true;
    step.m_maxPerWorker = 1;
    m_fleet.Submit("lasting", Spec({ step }));
    for (std::uint32_t i = 0; i < 4; ++i) {
      m_fleet.Start(Ref("lasting", i), "desk" + std::to_string(i));
    }
  }

  /** 24 s of work on workers of 4 cores: four in 1.5 s. */
  void SubmitPeak()
  {
    m_fleet.Submit("peak", Spec({ Step(24, 1000) }));
  }
};

TEST(CapacityPlanner, StandbyAndIdleInstances_StandbyComesFirst)
{
  Pool("desk", 3);
  Pool("other", 5);
  ListAsStandby("off", 0);
  Next(10'000);
  SubmitPeak();
  const CapacityPlan plan = Next(10'500);
  LONGS_EQUAL(1, plan.m_orders.size());
  CHECK_STRING("off", plan.m_orders[0].m_instance.Get());
}

TEST(CapacityPlanner, PeakInOneQueue_OneStandbyInstanceIsOrdered)
{
  Pool("desk", 3);
  Pool("other", 3);
  ListAsStandby("off", 0);
  SubmitPeak();
  const CapacityPlan plan = Next(10'000);
  LONGS_EQUAL(1, plan.m_orders.size());
  CHECK_STRING("off", plan.m_orders[0].m_instance.Get());
  CHECK_STRING("desk", plan.m_orders[0].m_to.Get());
  LONGS_EQUAL(0, Next(10'100).m_orders.size());
}

TEST(CapacityPlanner, NoStandby_IdleInstanceOfAnotherPoolIsOrdered)
{
  Pool("desk", 3);
  Pool("other", 5);
  SubmitPeak();
  LONGS_EQUAL(0, Next(10'000).m_orders.size());
  const CapacityPlan plan = Next(10'500);
  LONGS_EQUAL(1, plan.m_orders.size());
  CHECK_STRING("desk", plan.m_orders[0].m_to.Get());
  LONGS_EQUAL(1, plan.m_cordoned.size());
}

// Work on an instance that is moved is lost.
TEST(CapacityPlanner, InstanceWithARun_IsNotMoved)
{
  Pool("desk", 3);
  Pool("other", 4);
  m_fleet.Apply({ Submit{ JobId{ "busy" },
                          QueueId{ "host/o/" },
                          Spec({ Step(4, 1000) }),
                          WallTime{ 0 } } });
  for (std::uint32_t i = 0; i < 4; ++i) {
    m_fleet.Start(Ref("busy", i), "other" + std::to_string(i));
  }
  SubmitPeak();
  Next(10'000);
  LONGS_EQUAL(0, Next(10'500).m_orders.size());
}

TEST(CapacityPlanner, IdleForLong_GoesToStandbyDownToTheLeast)
{
  Pool("desk", 5);
  Pool("other", 3);
  Next(10'000);
  LONGS_EQUAL(0, Next(10'600).m_orders.size());
  const CapacityPlan plan = Next(10'800);
  LONGS_EQUAL(2, plan.m_orders.size());
  CHECK_STRING("spare", plan.m_orders[0].m_to.Get());
}

// long-running tasks that must be apart need a worker each, and one more, so
// that the task of a lost worker finds room at once.
TEST(CapacityPlanner, LongRunningTasksThatStayApart_KeepTheirWorkersAndOneMore)
{
  Pool("desk", 7);
  StartFourApart();
  Next(10'000);
  LONGS_EQUAL(2, Next(12'600).m_orders.size());
}

// A new leader must not order an instance within 3 s of an order of the one
// before, which it finds on record. One that it sees up was not ordered in the
// 1.5 s that a move takes, so it waits as long again; after 3 s it need not
// look at that any more.
TEST(CapacityPlanner, NewLeader_OrdersNothingThatAnEarlierOneMayHaveOrdered)
{
  Pool("desk", 1);
  m_record.Inherit({ InstanceId{ "off" } }, At(0));
  ListAsStandby("off", 1000);
  LONGS_EQUAL(0, Next(2400).m_orders.size());
  CHECK(!Next(2500).m_orders.empty());
}

TEST(CapacityPlanner, InstanceListedLate_IsOrderedThreeSecondsAfterElection)
{
  Pool("desk", 1);
  m_record.Inherit({ InstanceId{ "off" } }, At(0));
  ListAsStandby("off", 2000);
  LONGS_EQUAL(0, Next(2900).m_orders.size());
  CHECK(!Next(3000).m_orders.empty());
}

// Power fails in a peak. Callers wait for instances, and none of those in
// standby has had an order lately: they are ordered as soon as workers have
// been heard, not when a pause for orders that nobody gave is over.
TEST(CapacityPlanner, NewLeader_InstanceNotOnRecord_IsOrderedAtOnce)
{
  Pool("desk", 1);
  ListAsStandby("off", 10);
  LONGS_EQUAL(0, Next(200).m_orders.size());
  LONGS_EQUAL(1, Next(300).m_orders.size());
}

// A new leader has heard one worker of five that hold long-running tasks. The
// others are there as well, as the state shows, and must not be replaced.
TEST(CapacityPlanner, NewLeader_BusyWorkersNotHeardYet_AreNotReplaced)
{
  StartFourApart();
  Hear("desk0", "desk", 300);
  Hear("desk4", "desk", 300);
  for (int i = 0; i < 3; ++i) {
    Hear("other" + std::to_string(i), "other", 300);
  }
  ListStandby(10);
  LONGS_EQUAL(0, Next(400).m_orders.size());
}

// Peaks follow each other within seconds; an instance that has just gone to
// standby is the next one that is needed.
TEST(CapacityPlanner, MovedToStandby_IsThereOnceTheMoveHasTakenItsTime)
{
  Pool("desk", 3);
  Pool("other", 4);
  Next(10'000);
  const CapacityPlan plan = Next(11'600);
  LONGS_EQUAL(1, plan.m_orders.size());
  m_planner.OnAnswer(plan.m_orders[0], InstanceAnswer::kTaken, At(11'650));
  m_table.Retire(Life("other0"), m_fleet.Book(), WallTime{ 0 });
  SubmitPeak();
  LONGS_EQUAL(0, Next(12'000).m_orders.size());
  const CapacityPlan back = Next(13'200);
  LONGS_EQUAL(1, back.m_orders.size());
  CHECK(back.m_orders[0].m_instance == plan.m_orders[0].m_instance);
  CHECK_STRING("desk", back.m_orders[0].m_to.Get());
}

TEST(CapacityPlanner, OnlyAClearAnswer_EndsALife)
{
  Pool("desk", 3);
  Pool("other", 5);
  SubmitPeak();
  Next(10'000);
  const MoveOrder order = Next(10'500).m_orders.at(0);
  CHECK(!m_planner.OnAnswer(order, InstanceAnswer::kUnclear, At(10'600)));
  CHECK(!m_planner.OnAnswer(order, InstanceAnswer::kBusy, At(10'700)));
  // Refused: it may be ordered again later, by then with an answer.
  const CapacityPlan again = Next(13'000);
  CHECK(!again.m_orders.empty());
  CHECK(
    m_planner.OnAnswer(again.m_orders[0], InstanceAnswer::kTaken, At(13'100))
      .has_value());
}

// A queue asks for twenty times what its pool holds. Callers wait until
// instances arrive, 1.5 s after they were ordered, so as many are ordered as
// the platform takes: 64 a second, and none is ordered twice.
TEST(CapacityPlanner, PeakFarAboveThePool_OrdersAsFastAsThePlatformTakes)
{
  Pool("desk", 3);
  Pool("other", 3);
  ListStandby(200);
  m_fleet.Submit("peak", Spec({ Step(1200, 1000) }));
  const std::vector<MoveOrder> orders = OrderedIn(1000);
  std::set<InstanceId> ordered;
  for (const MoveOrder& order : orders) {
    ordered.insert(order.m_instance);
  }
  LONGS_EQUAL(orders.size(), ordered.size());
  CHECK(orders.size() >= 48);
  CHECK(orders.size() <= 64);
}

// The same peak while a wave orders 30 instances in a second: the platform
// turns away what is above its rate, and a wave must not be late for that.
TEST(CapacityPlanner, PeakWhileMaintenanceOrders_BothStayWithinTheRate)
{
  Pool("desk", 3);
  Pool("other", 3);
  ListStandby(200);
  m_fleet.Submit("peak", Spec({ Step(1200, 1000) }));
  constexpr std::size_t kOtherOrders = 30;
  const std::vector<MoveOrder> orders = OrderedIn(1000, kOtherOrders / 10);
  CHECK(orders.size() >= 48 - kOtherOrders);
  CHECK(orders.size() <= 64 - kOtherOrders);
}

// The platform has stopped answering: what waits takes effect on what has
// changed since, so no more than a bound waits.
TEST(CapacityPlanner, OrdersNotAnswered_NoMoreThanABoundWait)
{
  Pool("desk", 3);
  Pool("other", 3);
  ListStandby(200);
  m_fleet.Submit("peak", Spec({ Step(1200, 1000) }));
  std::size_t orders = 0;
  for (std::int64_t at = 10'000; at < 12'000; at += 100) {
    orders += Next(at).m_orders.size();
  }
  LONGS_EQUAL(kMostOrdersUnderWay, orders);
}

// Jobs of four steps that wait for each other have four times the work that can
// be done at once. Instances for all of it would stand by, moved and paid for,
// and no caller would be served sooner.
TEST(CapacityPlanner, StepsThatWaitForEachOther_OrderOnlyWhatCanBeUsedAtOnce)
{
  Pool("desk", 3);
  Pool("other", 3);
  ListStandby(40);
  std::vector<StepSpec> steps(4, Step(24, 1000));
  for (std::uint32_t s = 1; s < 4; ++s) {
    steps[s].m_dependsOn = { s - 1 };
  }
  m_fleet.Submit("chain", Spec(steps));
  // 24 cores can be in use at once: six instances of 4, of which three are
  // there.
  LONGS_EQUAL(3, OrderedIn(1000).size());
}

// The second step is wider than the first and comes within a move's time; its
// tasks would find a pool that is sized for the first.
TEST(CapacityPlanner, NextStepIsWider_InstancesAreOrderedAhead)
{
  Pool("desk", 3);
  Pool("other", 3);
  ListStandby(40);
  StepSpec wide = Step(40, 1000);
  wide.m_dependsOn = { 0 };
  m_fleet.Submit("widening", Spec({ Step(1, 1000), wide }));
  CHECK(OrderedIn(1000).size() >= 4);
}

// Two queues peak at once. Served one after the other, the callers of the
// second would find nothing left; both get the same share of what they need.
TEST(CapacityPlanner, TwoPeaksAtOnce_ShareWhatThereIs)
{
  Pool("desk", 3);
  Pool("other", 3);
  ListStandby(4);
  SubmitPeak();
  m_fleet.Apply({ Submit{ JobId{ "peak too" },
                          QueueId{ "host/o/" },
                          Spec({ Step(24, 1000) }),
                          WallTime{ 0 } } });
  std::map<ServiceId, int> got;
  for (const MoveOrder& order : Next(10'000).m_orders) {
    ++got[order.m_to];
  }
  LONGS_EQUAL(1, got[ServiceId{ "desk" }]);
  LONGS_EQUAL(1, got[ServiceId{ "other" }]);
}

// Callers declare a tenth of what their tasks take; the pool is sized by what
// they took before.
TEST(CapacityPlanner, DeclaredTooShort_SizedByWhatTasksTook)
{
  Pool("desk", 3);
  Pool("other", 3);
  ListStandby(20);
  StepSpec step = Step(24, 1000);
  step.m_estimate = Millis{ 100 };
  step.m_image = ImageId{ "image" };
  m_fleet.Submit("peak", Spec({ step }));
  LONGS_EQUAL(0, Next(10'000).m_orders.size());
  m_durations.Learn(step, Millis{ 1000 });
  CHECK(!Next(10'100).m_orders.empty());
}

// The peak of one queue is over when that of the next begins: each of its
// instances still runs a task. Were all kept in use until the last has ended,
// callers of the second queue would wait a second longer.
TEST(CapacityPlanner, SurplusStillBusy_IsEmptiedForAPoolThatIsShort)
{
  Pool("desk", 3);
  Pool("other", 8);
  m_fleet.Apply({ Submit{ JobId{ "last tasks" },
                          QueueId{ "host/o/" },
                          Spec({ Step(8, 1000) }),
                          WallTime{ 0 } } });
  for (std::uint32_t i = 0; i < 8; ++i) {
    m_fleet.Start(Ref("last tasks", i), "other" + std::to_string(i));
  }
  LONGS_EQUAL(0, Next(10'000).m_cordoned.size());
  SubmitPeak();
  const CapacityPlan plan = Next(10'100);
  LONGS_EQUAL(0, plan.m_orders.size());
  LONGS_EQUAL(1, plan.m_cordoned.size());
  const WorkerLife emptied = *plan.m_cordoned.begin();
  for (std::uint32_t i = 0; i < 8; ++i) {
    if (emptied.m_id.Get() == "other" + std::to_string(i)) {
      m_fleet.End(Ref("last tasks", i), RunEnd::kDone);
    }
  }
  const CapacityPlan next = Next(10'200);
  LONGS_EQUAL(1, next.m_orders.size());
  CHECK_STRING("desk", next.m_orders[0].m_to.Get());
}

// Emptying a worker moves its long-running tasks away, which is a disruption.
TEST(CapacityPlanner, SurplusWithLongRunningTasks_IsNotEmptied)
{
  Pool("desk", 3);
  Pool("other", 8);
  StepSpec step = Step(8, 100);
  step.m_longRunning = true;
  m_fleet.Apply({ Submit{ JobId{ "lasting" },
                          QueueId{ "host/o/" },
                          Spec({ step }),
                          WallTime{ 0 } } });
  for (std::uint32_t i = 0; i < 8; ++i) {
    m_fleet.Start(Ref("lasting", i), "other" + std::to_string(i));
  }
  SubmitPeak();
  LONGS_EQUAL(0, Next(10'000).m_cordoned.size());
}

// A peak has left jobs that are late. Their callers still wait for them; were
// the pool cut down to what is in time, most would come after they gave up.
TEST(CapacityPlanner, LateJobs_StillKeepInstances)
{
  Pool("desk", 3);
  Pool("other", 3);
  ListStandby(20);
  m_fleet.Submit("late", Spec({ Step(96, 1000) }), -8000);
  std::size_t orders = 0;
  for (std::int64_t at = 10'000; at < 11'000; at += 100) {
    orders += Next(at).m_orders.size();
  }
  LONGS_EQUAL(3, orders);
}

TEST(CapacityPlanner, JobsLongGivenUp_OrderNoInstances)
{
  Pool("desk", 3);
  Pool("other", 3);
  ListStandby(20);
  m_fleet.Submit("given-up", Spec({ Step(96, 1000) }), -30'000);
  LONGS_EQUAL(0, Next(10'000).m_orders.size());
}

// Each worker holds a task that must stay apart from the others, and two are to
// be maintained. Their tasks wait for a worker that has none, and the wave for
// them, unless the pool gets as many more as are about to go.
TEST(CapacityPlanner, WorkersAboutToBeMaintained_AreReplaced)
{
  Pool("desk", 5);
  Pool("other", 3);
  ListStandby(10);
  StepSpec step = Step(4, 100);
  step.m_longRunning = true;
  step.m_maxPerWorker = 1;
  m_fleet.Submit("lasting", Spec({ step }));
  LONGS_EQUAL(0, Next(10'000).m_orders.size());
  m_reserved = { Life("desk0"), Life("desk1") };
  LONGS_EQUAL(2, Next(10'100).m_orders.size());
}

// A new leader has heard no worker yet, and so does not know how many of them a
// backlog needs.
TEST(CapacityPlanner, NoWorkerHeardYet_NothingIsOrdered)
{
  ListStandby(20);
  SubmitPeak();
  LONGS_EQUAL(0, Next(10'000).m_orders.size());
}

// The platform's list was read just before an instance left standby, and came
// just after. The instance has arrived and runs long-running tasks; a second
// order would end them all at once, beyond what their step allows.
TEST(CapacityPlanner, ListedOffButReporting_IsNotOrderedAgain)
{
  Pool("desk", 3);
  Pool("other", 3);
  ListAsStandby("instance-of-other0", 9500);
  SubmitPeak();
  LONGS_EQUAL(0, Next(10'000).m_orders.size());
}

// A report comes from another writer: it names a service that no configuration
// has. Its sender idles, but it is not ours to order about, however short a
// pool is.
TEST(CapacityPlanner, WorkerOfUnnamedService_IsNeverMoved)
{
  Pool("desk", 3);
  Pool("strange", 4);
  SubmitPeak();
  Next(10'000);
  LONGS_EQUAL(0, Next(13'000).m_orders.size());
}

// The operator sees more tasks of a step away than its budget allows. The
// leader's calls to the platform stand still for seconds: an order leaves, and
// is obeyed, long after it was decided. Once the move has had its time, the
// instance counts as free again and gets long-running tasks, and then the order
// arrives. Orders were seen to leave up to 8.8 s after their decision.
TEST(CapacityPlanner, OrderNotAnsweredForLong_InstanceGetsNothingNew)
{
  Pool("desk", 3);
  Pool("other", 5);
  SubmitPeak();
  Next(10'000);
  const MoveOrder order = Next(10'500).m_orders.at(0);
  const WorkerLife* aimed = nullptr;
  for (const auto& [id, worker] : m_table.Workers()) {
    aimed = worker.m_last.m_instance == order.m_instance ? &id : aimed;
  }
  for (std::uint64_t i = 0; i < 100; ++i) {
    const std::int64_t at = 10'600 + static_cast<std::int64_t>(i) * 100;
    Hear(aimed->m_id.Get(), "other", at, 2 + i);
    const CapacityPlan plan = Next(at);
    CHECK(plan.m_cordoned.contains(*aimed));
    for (const MoveOrder& one : plan.m_orders) {
      CHECK(one.m_instance != order.m_instance);
    }
  }
}
