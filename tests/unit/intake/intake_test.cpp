#include "bamboostile/intake/intake.h"

#include "check.h"

using namespace bamboostile;
using namespace bamboostile::intake;

/** A pool of 10 cores and jobs of one task that takes a core for a second; the
 * objective of 2 s gives a limit of 9 s. */
TEST_GROUP(Intake)
{
  static constexpr std::int64_t kCores = 10'000;
  static constexpr std::int64_t kSecond = 1000;

  const ServiceId m_service{ "desk" };
  Intake m_intake;
  TimePoint m_now{ Millis{ 1'000'000 } };
  int m_jobs = 0;

  /** aSeconds: time in which the pool completes the work. */
  PassResult Pass(std::int64_t aSeconds, bool aIsFull = true)
  {
    PassResult pass;
    placement::PoolLoad& load = pass.m_loads[m_service];
    load.m_cpu = kCores;
    load.m_waiting[1].m_onTime = aSeconds * kSecond * kCores;
    if (aIsFull) {
      pass.m_full.insert(m_service);
    }
    return pass;
  }

  Submission Job()
  {
    Submission job;
    job.m_job = JobId{ "j" + std::to_string(++m_jobs) };
    job.m_queue = QueueId{ "q" };
    job.m_service = m_service;
    job.m_priority = 1;
    job.m_objective = Millis{ 2000 };
    jobs::StepSpec step;
    step.m_count = 1;
    step.m_resources = { 1000, 100, 0 };
    step.m_estimate = Millis{ 1000 };
    jobs::JobSpec spec;
    spec.m_steps = { step };
    job.m_demand = DemandOf(spec, {});
    return job;
  }

  Decision Decide(const Submission& aJob)
  {
    return m_intake.Decide(aJob, m_now);
  }

  void CheckAdmitted(AdmitReason aReason, const Submission& aJob)
  {
    const Decision decision = Decide(aJob);
    const auto* admitted = std::get_if<Admitted>(&decision);
    CHECK(admitted != nullptr);
    STRCMP_EQUAL(Describe(aReason), Describe(admitted->m_reason));
  }

  Refused CheckRefused(const Submission& aJob)
  {
    const Decision decision = Decide(aJob);
    const auto* refused = std::get_if<Refused>(&decision);
    CHECK(refused != nullptr);
    return *refused;
  }

  void Propose(const Submission& aJob)
  {
    m_intake.OnProposed(aJob, std::get<Admitted>(Decide(aJob)), m_now);
  }

  /** Lets jobs end after aPercent of the expected time. */
  void EndJobsAfter(int aPercent, int aCount = 30)
  {
    for (int i = 0; i < aCount; ++i) {
      m_intake.OnPlanned(Pass(0), m_now);
      const Submission job = Job();
      Propose(job);
      m_intake.OnDecided(job.m_job, ProposalOutcome::kAccepted);
      m_intake.OnCompleted(job.m_job, m_now + Millis{ 10 * aPercent });
    }
  }
};

TEST(Intake, FullPool_RefusesWhatEndsAfterTheLimit)
{
  m_intake.OnPlanned(Pass(8), m_now);
  CheckAdmitted(AdmitReason::kInTime, Job());
  m_intake.OnPlanned(Pass(10), m_now);
  const Estimate estimate = CheckRefused(Job()).m_estimate;
  LONGS_EQUAL(10'000, estimate.m_start.count());
  LONGS_EQUAL(11'000, estimate.m_end.count());
  LONGS_EQUAL(9'000, estimate.m_limit.count());
}

// Guards against refusing jobs while they would start at once.
TEST(Intake, FreeCapacity_RefusesNothing)
{
  m_intake.OnPlanned(Pass(1000, false), m_now);
  CheckAdmitted(AdmitReason::kFreeCapacity, Job());
  // Tasks that fit nowhere wait, and other cores are free.
  PassResult pass = Pass(1000);
  pass.m_loads[m_service].m_freeCpu = 1000;
  pass.m_loads[m_service].m_largestFreeCpu = 1000;
  m_intake.OnPlanned(pass, m_now);
  const Submission job = Job();
  CheckAdmitted(AdmitReason::kFreeCapacity, job);
  Propose(job);
  CheckRefused(Job());
}

// Guards against a burst between two passes that is accepted without limit.
TEST(Intake, JobsAcceptedSinceThePass_CountAsWorkAhead)
{
  m_intake.OnPlanned(Pass(8), m_now);
  int accepted = 0;
  while (accepted < 100) {
    const Submission job = Job();
    const Decision decision = Decide(job);
    if (std::holds_alternative<Refused>(decision)) {
      break;
    }
    m_intake.OnProposed(job, std::get<Admitted>(decision), m_now);
    m_intake.OnDecided(job.m_job, ProposalOutcome::kAccepted);
    ++accepted;
  }
  LONGS_EQUAL(1, accepted);
  m_intake.OnPlanned(Pass(8), m_now);
  CheckAdmitted(AdmitReason::kInTime, Job());
}

TEST(Intake, WorkOfLowerPriorityAndBeyondShares_IsNotAhead)
{
  PassResult pass = Pass(0);
  auto& waiting = pass.m_loads[m_service].m_waiting;
  waiting[2].m_onTime = 100 * kSecond * kCores;
  waiting[1].m_beyondShare = 100 * kSecond * kCores;
  m_intake.OnPlanned(pass, m_now);
  CheckAdmitted(AdmitReason::kInTime, Job());
  Submission beyond = Job();
  beyond.m_isBeyondShare = true;
  CheckRefused(beyond);
}

// Guards against admitting jobs behind late ones that do not start while jobs
// on time take all cores, and against refusing those that overtake them.
TEST(Intake, LateWork_IsAheadOnlyOfJobsThatCannotBeOnTime)
{
  PassResult pass = Pass(0);
  pass.m_loads[m_service].m_waiting[1].m_late = 100 * kSecond * kCores;
  m_intake.OnPlanned(pass, m_now);
  CheckAdmitted(AdmitReason::kInTime, Job());
  pass.m_loads[m_service].m_waiting[1].m_onTime = 3 * kSecond * kCores;
  m_intake.OnPlanned(pass, m_now);
  CheckRefused(Job());
}

// Guards against accepting late jobs throughout a long overload.
TEST(Intake, JobsOnTimeTakeAllCores_JobThatCannotBeOnTimeIsRefused)
{
  m_intake.OnPlanned(Pass(3), m_now);
  CheckAdmitted(AdmitReason::kInTime, Job());
  for (int i = 0; i < 300; ++i) {
    EndJobsAfter(100, 1);
    m_now += Millis{ 100 };
  }
  m_intake.OnPlanned(Pass(3), m_now);
  const Estimate estimate = CheckRefused(Job()).m_estimate;
  CHECK(estimate.m_inflowCpu > kCores * 9 / 10);
}

TEST(Intake, NewLeader_AdmitsUntilItsFirstPassAndAfterAPause)
{
  CHECK_FALSE(m_intake.EstimateAge(m_now).has_value());
  CheckAdmitted(AdmitReason::kNoEstimate, Job());
  m_intake.OnPlanned(Pass(100), m_now);
  CHECK(m_intake.HasEstimates(m_now));
  CheckRefused(Job());
  m_now += Millis{ 2100 };
  CheckAdmitted(AdmitReason::kNoEstimate, Job());
}

TEST(Intake, NoHistory_UsesTheEstimateUncorrected)
{
  m_intake.OnPlanned(Pass(10), m_now);
  const Estimate estimate = CheckRefused(Job()).m_estimate;
  DOUBLES_EQUAL(1, estimate.m_correction, 0);
  DOUBLES_EQUAL(1, estimate.m_rate, 0);
}

TEST(Intake, EmptyPoolBeingFilled_CountsWhatArrives)
{
  PassResult pass = Pass(5);
  pass.m_loads[m_service].m_cpu = 0;
  pass.m_arriving[m_service] = { kCores, m_now + Millis{ 1500 } };
  m_intake.OnPlanned(pass, m_now);
  CheckAdmitted(AdmitReason::kInTime, Job());
  LONGS_EQUAL(6500, m_intake.Queues().begin()->second.m_last->m_start.count());
  pass.m_loads[m_service].m_waiting[1].m_onTime = 10 * kSecond * kCores;
  m_intake.OnPlanned(pass, m_now);
  CheckRefused(Job());
  pass.m_loads[m_service].m_waiting.clear();
  m_intake.OnPlanned(pass, m_now);
  CheckAdmitted(AdmitReason::kInTime, Job());
}

// Guards against refusing for good the jobs for which a pool would be filled.
TEST(Intake, EmptyPool_RefusesOnceNothingArrivesForLong)
{
  PassResult pass = Pass(5);
  pass.m_loads[m_service].m_cpu = 0;
  m_intake.OnPlanned(pass, m_now);
  CheckAdmitted(AdmitReason::kUnknownCapacity, Job());
  m_now += Millis{ 5000 };
  m_intake.OnPlanned(pass, m_now);
  CheckRefused(Job());
  m_intake.OnPlanned(Pass(5), m_now);
  CheckAdmitted(AdmitReason::kInTime, Job());
}

TEST(Intake, Gang_IsJudgedOnlyIfThePoolIsLargeEnough)
{
  m_intake.OnPlanned(Pass(10), m_now);
  Submission gang = Job();
  gang.m_demand.m_gangCpu = kCores;
  CheckRefused(gang);
  gang.m_demand.m_gangCpu = kCores + 1;
  CheckAdmitted(AdmitReason::kUnknownCapacity, gang);
}

TEST(Intake, LongRunningAndScheduledJobs_AreNeverRefused)
{
  m_intake.OnPlanned(Pass(100), m_now);
  jobs::JobSpec spec;
  spec.m_steps.emplace_back().m_longRunning = true;
  Submission job = Job();
  job.m_demand = DemandOf(spec, {});
  CheckAdmitted(AdmitReason::kExempt, job);
  spec.m_steps[0].m_longRunning = false;
  spec.m_repeatCount = 1;
  job.m_demand = DemandOf(spec, {});
  CheckAdmitted(AdmitReason::kExempt, job);
}

// Guards against a refusal of a job of which parts run after all.
TEST(Intake, RepeatedSubmission_IsNotRefusedWhileAProposalIsOpen)
{
  m_intake.OnPlanned(Pass(5), m_now);
  const Submission pending = Job();
  const Submission undecided = Job();
  const Submission failed = Job();
  for (const Submission& job : { pending, undecided, failed, pending }) {
    Propose(job);
  }
  m_intake.OnDecided(pending.m_job, ProposalOutcome::kNotProposed);
  m_intake.OnDecided(undecided.m_job, ProposalOutcome::kUndecided);
  m_intake.OnDecided(failed.m_job, ProposalOutcome::kNotProposed);
  m_intake.OnPlanned(Pass(100), m_now);
  CheckAdmitted(AdmitReason::kMayBeProposed, pending);
  CheckAdmitted(AdmitReason::kMayBeProposed, undecided);
  CheckRefused(failed);
}

TEST(Intake, RetryAfter_IsTheExcessSpreadAndBounded)
{
  m_intake.OnPlanned(Pass(10), m_now);
  std::set<Millis> delays;
  for (int i = 0; i < 200; ++i) {
    const Millis delay = CheckRefused(Job()).m_retryAfter;
    CHECK(delay >= Millis{ 2000 } && delay <= Millis{ 4000 });
    delays.insert(delay);
  }
  CHECK(delays.size() > 150);
  CHECK(*delays.begin() < Millis{ 2100 } && *delays.rbegin() > Millis{ 3900 });
  m_now += Millis{ 1995 };
  const Millis shortest = CheckRefused(Job()).m_retryAfter;
  CHECK(shortest >= Millis{ 200 } && shortest <= Millis{ 400 });
  m_intake.OnPlanned(Pass(100'000), m_now);
  const Millis longest = CheckRefused(Job()).m_retryAfter;
  CHECK(longest >= Millis{ 15'000 } && longest <= Millis{ 30'000 });
}

TEST(Intake, ObservedError_CorrectsTheEstimate)
{
  EndJobsAfter(150);
  m_intake.OnPlanned(Pass(6), m_now);
  const Refused slower = CheckRefused(Job());
  DOUBLES_EQUAL(1.5, slower.m_estimate.m_correction, 0.01);
  const auto expected =
    static_cast<double>(slower.m_estimate.m_expectedEnd.count());
  DOUBLES_EQUAL(1.5 * expected, slower.m_estimate.m_end.count(), 1);
  DOUBLES_EQUAL(500, m_intake.Queues().begin()->second.m_meanErrorMs, 1);
  m_intake = Intake{};
  EndJobsAfter(100);
  m_intake.OnPlanned(Pass(6), m_now);
  CheckRefused(Job());
  m_intake = Intake{};
  EndJobsAfter(80);
  m_intake.OnPlanned(Pass(6), m_now);
  CheckAdmitted(AdmitReason::kInTime, Job());
}

// Guards against a correction by those jobs alone that were on time.
TEST(Intake, AcceptedJobsDoNotEnd_CountAsLate)
{
  for (int i = 0; i < 30; ++i) {
    m_intake.OnPlanned(Pass(0), m_now);
    Propose(Job());
  }
  m_now += Millis{ 8000 };
  m_intake.OnPlanned(Pass(6), m_now);
  DOUBLES_EQUAL(2, CheckRefused(Job()).m_estimate.m_correction, 0);
}

// Guards against an estimate that a few odd jobs make useless.
TEST(Intake, ObservedError_IsBounded)
{
  EndJobsAfter(1000);
  m_intake.OnPlanned(Pass(1), m_now);
  CheckAdmitted(AdmitReason::kInTime, Job());
  const Submission job = Job();
  Propose(job);
  m_intake.OnAbandoned(job.m_job);
  CHECK_FALSE(m_intake.OnCompleted(job.m_job, m_now).has_value());
}

// Guards against an estimate that ignores a leader which sends starts late.
TEST(Intake, StartsAreCommittedSlowly_EndsAreExpectedLater)
{
  for (int i = 0; i < 400; ++i) {
    PassResult pass = Pass(6);
    pass.m_loads[m_service].m_startedWork = 50 * kCores / 2;
    m_intake.OnPlanned(pass, m_now);
    m_now += Millis{ 50 };
  }
  DOUBLES_EQUAL(0.5, CheckRefused(Job()).m_estimate.m_rate, 0.05);
}

// Guards against taking the first tasks of new workers for a fast pool.
TEST(Intake, NewWorkersAreFilled_RateStaysAsMeasured)
{
  for (int i = 0; i < 100; ++i) {
    PassResult pass = Pass(10);
    pass.m_loads[m_service].m_cpu = kCores * (i + 1);
    pass.m_loads[m_service].m_waiting[1].m_onTime *= i + 1;
    pass.m_loads[m_service].m_startedWork = 10 * kSecond * kCores;
    m_intake.OnPlanned(pass, m_now);
    m_now += Millis{ 50 };
  }
  DOUBLES_EQUAL(1, CheckRefused(Job()).m_estimate.m_rate, 0);
}
