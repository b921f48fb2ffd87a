#include "bamboostile/placement/planner.h"

#include "check.h"
#include "job_fixtures.h"

using namespace bamboostile;
using namespace bamboostile::placement;
using namespace job_fixtures;

/** One worker of four cores. */
TEST_GROUP(PoolLoad)
{
  Fleet m_fleet;
  WorkerTable m_workers{ LeaseOptions{}, At(0) };

  Plan Place(Mechanism aMechanism, std::int64_t aNowMs = 1000)
  {
    Mechanisms mechanisms;
    mechanisms.SwitchOn(aMechanism);
    m_workers.OnReport(
      Report("w", ++m_reports), m_fleet.Book(), At(aNowMs), WallTime{ aNowMs });
    return Planner{ mechanisms }.ComputePlan(
      m_fleet.State(), m_workers, {}, At(aNowMs), WallTime{ aNowMs });
  }

  std::uint64_t m_reports = 0;
};

// Guards against counting as waiting what the pass has just started, and
// against leaving out the later steps of jobs that wait.
TEST(PoolLoad, JobsWait_SumsTheirWorkWithoutStartedTasks)
{
  jobs::StepSpec second = Step(1, 2000);
  second.m_dependsOn = { 0 };
  m_fleet.Submit("starts", Spec({ Step(3), second }));
  m_fleet.Submit("waits", Spec({ Step(3), second }));
  const Plan plan = Place(Mechanism::kAdmission);
  LONGS_EQUAL(4, plan.m_changes.size());
  const PoolLoad& load = plan.m_loads.at(ServiceId{ "desk" });
  constexpr std::int64_t kTask = 1000 * 1000;
  LONGS_EQUAL(4 * kTask, load.m_startedWork);
  LONGS_EQUAL(4 * kTask, load.m_waiting.at(0).m_onTime);
  LONGS_EQUAL(0, load.m_waiting.at(0).m_late);
  LONGS_EQUAL(4000, load.m_cpu);
  LONGS_EQUAL(0, load.m_freeCpu);
}

TEST(PoolLoad, LongRunningTasks_TakeTheirCpuFromThePool)
{
  jobs::StepSpec step = Step(1, 2500);
  step.m_longRunning = true;
  m_fleet.Submit("long", Spec({ step }));
  const Plan plan = Place(Mechanism::kAdmission);
  const PoolLoad& load = plan.m_loads.at(ServiceId{ "desk" });
  LONGS_EQUAL(1500, load.m_cpu);
  LONGS_EQUAL(1000, load.m_freeCpu);
  LONGS_EQUAL(1000, load.m_largestFreeCpu);
  LONGS_EQUAL(0, load.m_startedWork);
}

TEST(PoolLoad, JobsThatAreLate_AreSummedApart)
{
  m_fleet.Submit("late", Spec({ Step(5) }));
  const Plan plan = Place(Mechanism::kAdmission, 10'000);
  LONGS_EQUAL(1000 * 1000,
              plan.m_loads.at(ServiceId{ "desk" }).m_waiting.at(0).m_late);
}

// Guards against a cost for deployments that refuse nothing.
TEST(PoolLoad, AdmissionIsOff_IsNotSummed)
{
  m_fleet.Submit("a", Spec({ Step(5) }));
  CHECK(Place(Mechanism::kInflowForecast).m_loads.empty());
}
