#include "bamboostile/intake/intake.h"

#include "bamboostile/units/hash.h"

#include <algorithm>
#include <cmath>

namespace bamboostile::intake {

namespace {

/** Callers give up a job after this multiple of its objective. */
constexpr int kLimitObjectives = 3;
/** Age after which the figures of a pass say little: passes follow each other
 * within 250 ms unless the leader sheds placement, and jobs take seconds. */
constexpr Duration kMaxAge = Millis{ 2000 };
/** Time for which an empty pool may be about to be filled: a tick of the
 * capacity planner and the arrival timeout of a moved instance. */
constexpr Duration kEmptyPoolGrace = Millis{ 5000 };
constexpr Millis kMinRetryAfter{ 200 };
constexpr Millis kMaxRetryAfter{ 30'000 };
/** Retry delay for a pool without cores: a moved instance arrives by then. */
constexpr Millis kEmptyPoolRetryAfter{ 1500 };
/** Ended jobs before the correction of a queue counts, and the weight of one
 * in the means after that. A single job may have met a lost worker. */
constexpr std::uint64_t kMinObserved = 10;
constexpr double kMinWeight = 0.05;
/** Bounds of the correction. An estimate that is wrong by more is of jobs that
 * failed and were repeated, or were overtaken. */
constexpr double kMinCorrection = 0.5;
constexpr double kMaxCorrection = 2;
/** Time over which the inflow is averaged: it includes a valley of demand if
 * peaks follow each other within some ten seconds, so that the work of a short
 * peak is accepted. */
constexpr Duration kInflowWindow = std::chrono::seconds{ 10 };
/** Share of a pool's cores that late work gets at least: tasks on time do not
 * always find the places that end. */
constexpr double kMinShareBesideInflow = 0.05;
/** Placement puts a job behind the others once less than its critical path,
 * this many percent more and the overhead is left. */
constexpr std::int64_t kOnTimeMarginPercent = 130;
constexpr Millis kOnTimeOverhead{ 250 };
/** A job is overdue after this multiple of the time expected. */
constexpr int kOverdueAfter = 3;

Millis
ToWholeMillis(double aMs)
{
  return Millis{ static_cast<std::int64_t>(std::llround(aMs)) };
}

Millis
OnTimeMargin(const JobDemand& aDemand)
{
  constexpr std::int64_t kPercent = 100;
  return aDemand.m_criticalPath * kOnTimeMarginPercent / kPercent +
         kOnTimeOverhead;
}

std::int64_t&
ClassOf(placement::WaitingWork& aWaiting, bool aIsBeyondShare)
{
  return aIsBeyondShare ? aWaiting.m_beyondShare : aWaiting.m_onTime;
}

/** Work that is placed before a job. */
struct Ahead
{
  std::int64_t m_onTime = 0;
  std::int64_t m_late = 0;

  /** Jobs beyond the share come after all others, whatever their priority. */
  void Add(const std::map<std::uint32_t, placement::WaitingWork>& aWaiting,
           const Submission& aSubmission)
  {
    for (const auto& [priority, waiting] : aWaiting) {
      const bool isAbove = priority <= aSubmission.m_priority;
      if (isAbove || aSubmission.m_isBeyondShare) {
        m_onTime += waiting.m_onTime;
        m_late += waiting.m_late;
      }
      if (isAbove && aSubmission.m_isBeyondShare) {
        m_onTime += waiting.m_beyondShare;
      }
    }
  }
};

/** Spreads the retries of refused callers over the time from aMissing to twice
 * that. */
Millis
RetryAfter(Millis aMissing, const JobId& aJob)
{
  constexpr std::uint64_t kSteps = 1024;
  const Millis base = std::clamp(aMissing, kMinRetryAfter, kMaxRetryAfter / 2);
  const std::uint64_t hash = StableHash{}.Add(aJob.Get()).Get();
  // The low bits of the hash differ least between ids that end alike.
  constexpr int kHalf = 32;
  const auto part =
    static_cast<std::int64_t>((hash ^ (hash >> kHalf)) % (kSteps + 1));
  return base + base * part / static_cast<std::int64_t>(kSteps);
}

} // namespace

const char*
Describe(AdmitReason aReason) noexcept
{
  switch (aReason) {
    case AdmitReason::kInTime:
      return "ends in time";
    case AdmitReason::kFreeCapacity:
      return "capacity is free";
    case AdmitReason::kMayBeProposed:
      return "may be proposed already";
    case AdmitReason::kExempt:
      return "long-running or scheduled";
    case AdmitReason::kNoEstimate:
      return "no recent placement pass";
    case AdmitReason::kUnknownCapacity:
      return "the pool is being filled";
  }
  return "unknown";
}

Millis
Submission::DueAfter() const
{
  const auto path = static_cast<double>(m_demand.m_criticalPath.count());
  return ToWholeMillis(path * m_stretch) + m_objective;
}

double
QueueRecord::Correction() const
{
  if (m_observed < kMinObserved || m_meanExpectedMs <= 0) {
    return 1;
  }
  return std::clamp(
    m_meanActualMs / m_meanExpectedMs, kMinCorrection, kMaxCorrection);
}

// Free cores may be too few, too scattered or promised to jobs accepted since
// the pass.
bool
Intake::Pool::HasFreeCpuFor(const JobDemand& aDemand) const
{
  const std::int64_t free = m_load.m_freeCpu - m_unplannedFirstCpu;
  return aDemand.m_largestCpu <= m_load.m_largestFreeCpu &&
         aDemand.m_firstCpu <= free && free > 0;
}

double
Intake::Pool::InflowAt(TimePoint aNow) const
{
  const std::chrono::duration<double> elapsed = aNow - m_inflowAt;
  const std::chrono::duration<double> window = kInflowWindow;
  return m_inflow * std::exp(-elapsed.count() / window.count());
}

Millis
Intake::Pool::TimeFor(double aWork, double aInflow, TimePoint aNow) const
{
  const auto left = [&](std::int64_t aCpu) {
    const double rate = static_cast<double>(aCpu) * m_rate.Get();
    return std::max(rate * kMinShareBesideInflow, rate - aInflow);
  };
  const double now = left(m_load.m_cpu);
  const double later = left(m_load.m_cpu + m_arriving.m_cpu);
  const double arrivesIn = std::max(
    0.0, static_cast<double>(ToMillis(m_arriving.m_at - aNow).count()));
  if (now > 0 && (m_arriving.m_cpu <= 0 || aWork <= now * arrivesIn)) {
    return ToWholeMillis(aWork / now);
  }
  return ToWholeMillis(arrivesIn + (aWork - now * arrivesIn) / later);
}

void
Intake::OnPlanned(PassResult aResult, TimePoint aNow)
{
  m_plannedAt = aNow;
  ObserveOverdueJobs(aNow);
  for (const Proposed& committed : m_committed) {
    AddUnplanned(committed, -1);
  }
  m_committed.clear();
  for (const auto& [service, arriving] : aResult.m_arriving) {
    m_pools[service];
  }
  for (const auto& [service, load] : aResult.m_loads) {
    m_pools[service];
  }
  for (auto& [service, pool] : m_pools) {
    const auto load = aResult.m_loads.find(service);
    pool.m_load = load == aResult.m_loads.end() ? placement::PoolLoad{}
                                                : std::move(load->second);
    // A worker that has shrunk may host more long-running tasks than it has
    // capacity for.
    pool.m_load.m_cpu = std::max<std::int64_t>(0, pool.m_load.m_cpu);
    const auto arriving = aResult.m_arriving.find(service);
    pool.m_arriving =
      arriving == aResult.m_arriving.end() ? ArrivingCpu{} : arriving->second;
    pool.m_isFull = aResult.m_full.contains(service);
    pool.m_rate.OnPass(
      pool.m_isFull, pool.m_load.m_startedWork, pool.m_load.m_cpu, aNow);
    if (pool.m_load.m_cpu > 0 || pool.m_arriving.m_cpu > 0) {
      pool.m_emptySince.reset();
    } else if (!pool.m_emptySince) {
      pool.m_emptySince = aNow;
    }
  }
}

// Placement puts jobs that can be on time before late ones. So a job that can
// is expected after the work on time that is ahead of it. Any other waits for
// all accepted work, and for the jobs on time that are accepted meanwhile:
// while these take all cores, late jobs do not start at all.
std::optional<Estimate>
Intake::EstimateEnd(const Submission& aSubmission,
                    const Pool& aPool,
                    TimePoint aNow) const
{
  if (aPool.IsEmpty()) {
    return std::nullopt;
  }
  const JobDemand& demand = aSubmission.m_demand;
  Ahead ahead;
  ahead.Add(aPool.m_load.m_waiting, aSubmission);
  ahead.Add(aPool.m_unplanned, aSubmission);
  Estimate estimate;
  estimate.m_at = aNow;
  estimate.m_age = aNow - *m_plannedAt;
  estimate.m_workAhead = ahead.m_onTime;
  estimate.m_workAheadWithLate = ahead.m_onTime + ahead.m_late;
  estimate.m_cpu = aPool.m_load.m_cpu;
  estimate.m_arrivingCpu = aPool.m_arriving.m_cpu;
  estimate.m_arrivesAfter =
    std::max(Millis{}, ToMillis(aPool.m_arriving.m_at - aNow));
  estimate.m_rate = aPool.m_rate.Get();
  estimate.m_inflowCpu = std::llround(aPool.InflowAt(aNow));
  estimate.m_criticalPath = demand.m_criticalPath;
  estimate.m_limit = kLimitObjectives * aSubmission.DueAfter();
  const auto queue = m_queues.find(aSubmission.m_queue);
  estimate.m_correction =
    queue == m_queues.end() ? 1 : queue->second.Correction();

  // The pool has worked on what the pass left since then.
  const double served = static_cast<double>(ToMillis(estimate.m_age).count()) *
                        static_cast<double>(estimate.m_cpu) * estimate.m_rate;
  const auto timeFor = [&](std::int64_t aWork, double aInflow) {
    return aPool.TimeFor(
      std::max(0.0, static_cast<double>(aWork) - served), aInflow, aNow);
  };
  const auto correct = [&](Millis aTime) {
    return ToWholeMillis(static_cast<double>(aTime.count()) *
                         estimate.m_correction);
  };
  const auto expect = [&](std::int64_t aAhead, double aInflow) {
    const Millis start = timeFor(aAhead, aInflow);
    estimate.m_expectedEnd = std::max(start + demand.m_criticalPath,
                                      timeFor(aAhead + demand.m_work, aInflow));
    estimate.m_start = correct(start);
    estimate.m_end = correct(estimate.m_expectedEnd);
  };
  expect(estimate.m_workAhead, 0);
  estimate.m_isOnTime =
    estimate.m_end <= aSubmission.DueAfter() &&
    estimate.m_start + OnTimeMargin(demand) <= aSubmission.DueAfter();
  if (!estimate.m_isOnTime) {
    expect(estimate.m_workAheadWithLate, aPool.InflowAt(aNow));
  }
  return estimate;
}

Decision
Intake::Assess(const Submission& aSubmission,
               const Pool& aPool,
               TimePoint aNow) const
{
  if (aSubmission.m_demand.m_isExempt) {
    return Admitted{ AdmitReason::kExempt };
  }
  const auto estimate = EstimateEnd(aSubmission, aPool, aNow);
  if (!aPool.m_isFull || aPool.HasFreeCpuFor(aSubmission.m_demand)) {
    return Admitted{ AdmitReason::kFreeCapacity, estimate };
  }
  if (!estimate) {
    if (aPool.m_emptySince && aNow >= *aPool.m_emptySince + kEmptyPoolGrace) {
      Estimate empty;
      empty.m_at = aNow;
      empty.m_age = aNow - *m_plannedAt;
      empty.m_limit = kLimitObjectives * aSubmission.DueAfter();
      return Refused{ empty,
                      RetryAfter(kEmptyPoolRetryAfter, aSubmission.m_job) };
    }
    return Admitted{ AdmitReason::kUnknownCapacity };
  }
  // The capacity planner may enlarge the pool for the gang.
  if (aSubmission.m_demand.m_gangCpu >
      estimate->m_cpu + estimate->m_arrivingCpu) {
    return Admitted{ AdmitReason::kUnknownCapacity };
  }
  if (estimate->m_end <= estimate->m_limit) {
    return Admitted{ AdmitReason::kInTime, estimate };
  }
  return Refused{ *estimate,
                  RetryAfter(estimate->m_end - estimate->m_limit,
                             aSubmission.m_job) };
}

Decision
Intake::Decide(const Submission& aSubmission, TimePoint aNow)
{
  QueueRecord& queue = m_queues[aSubmission.m_queue];
  Decision decision = Admitted{ AdmitReason::kNoEstimate };
  if (m_proposed.contains(aSubmission.m_job)) {
    decision = Admitted{ AdmitReason::kMayBeProposed };
  } else if (HasEstimates(aNow)) {
    decision = Assess(aSubmission, m_pools[aSubmission.m_service], aNow);
  }
  if (const auto* refused = std::get_if<Refused>(&decision)) {
    ++queue.m_refused;
    queue.m_last = refused->m_estimate;
    queue.m_isLastRefused = true;
  } else {
    const auto& admitted = std::get<Admitted>(decision);
    queue.m_lastReason = admitted.m_reason;
    queue.m_isLastRefused = false;
    if (admitted.m_estimate) {
      queue.m_last = admitted.m_estimate;
    }
  }
  return decision;
}

void
Intake::AddUnplanned(const Proposed& aProposed, int aSign)
{
  Pool& pool = m_pools[aProposed.m_service];
  ClassOf(pool.m_unplanned[aProposed.m_priority], aProposed.m_isBeyondShare) +=
    aSign * aProposed.m_work;
  pool.m_unplannedFirstCpu += aSign * aProposed.m_firstCpu;
}

void
Intake::OnProposed(const Submission& aSubmission,
                   const Admitted& aAdmitted,
                   TimePoint aNow)
{
  const JobDemand& demand = aSubmission.m_demand;
  // The work of exempt jobs is not known, or is not due yet.
  const Proposed proposed{ aSubmission.m_queue,
                           aSubmission.m_service,
                           aSubmission.m_priority,
                           aSubmission.m_isBeyondShare,
                           demand.m_isExempt ? 0 : demand.m_work,
                           demand.m_isExempt ? 0 : demand.m_firstCpu };
  const auto [found, isNew] =
    m_proposed.try_emplace(aSubmission.m_job, proposed);
  if (!isNew) {
    ++found->second.m_pending;
    return;
  }
  AddUnplanned(proposed, 1);
  if (aAdmitted.m_estimate) {
    Expect(aSubmission, *aAdmitted.m_estimate, aNow);
  }
}

// An undecided job stays on record until the next leader: it may be committed
// at any time, so a repeated submission must not be refused.
void
Intake::OnDecided(const JobId& aJob, ProposalOutcome aOutcome)
{
  const auto found = m_proposed.find(aJob);
  if (found == m_proposed.end()) {
    return;
  }
  Proposed& proposed = found->second;
  --proposed.m_pending;
  proposed.m_isUndecided =
    proposed.m_isUndecided || aOutcome == ProposalOutcome::kUndecided;
  if (aOutcome == ProposalOutcome::kAccepted) {
    ++m_queues[proposed.m_queue].m_accepted;
    m_committed.push_back(proposed);
    m_proposed.erase(found);
    return;
  }
  if (proposed.m_pending > 0) {
    return;
  }
  AddUnplanned(proposed, -1);
  if (proposed.m_isUndecided) {
    proposed.m_work = 0;
    proposed.m_firstCpu = 0;
    return;
  }
  m_expected.erase(aJob);
  m_proposed.erase(found);
}

void
Intake::Expect(const Submission& aSubmission,
               const Estimate& aEstimate,
               TimePoint aNow)
{
  if (aEstimate.m_isOnTime) {
    Pool& pool = m_pools[aSubmission.m_service];
    pool.m_inflow = pool.InflowAt(aNow) +
                    static_cast<double>(aSubmission.m_demand.m_work) /
                      static_cast<double>(ToMillis(kInflowWindow).count());
    pool.m_inflowAt = aNow;
  }
  m_expected.insert_or_assign(aSubmission.m_job,
                              Expected{ aSubmission.m_queue,
                                        aNow,
                                        aEstimate.m_expectedEnd,
                                        aEstimate.m_isOnTime });
  m_overdue.emplace(aNow + kOverdueAfter * aEstimate.m_expectedEnd,
                    aSubmission.m_job);
}

// Jobs expected late say nothing about the estimate: their end depends on what
// is accepted after them.
void
Intake::Observe(const Expected& aExpected, Duration aActual)
{
  if (!aExpected.m_isOnTime) {
    return;
  }
  const auto actualMs = static_cast<double>(ToMillis(aActual).count());
  const auto expectedMs = static_cast<double>(aExpected.m_end.count());
  QueueRecord& queue = m_queues[aExpected.m_queue];
  ++queue.m_observed;
  const double weight =
    std::max(kMinWeight, 1 / static_cast<double>(queue.m_observed));
  queue.m_meanActualMs += (actualMs - queue.m_meanActualMs) * weight;
  queue.m_meanExpectedMs += (expectedMs - queue.m_meanExpectedMs) * weight;
  queue.m_meanErrorMs +=
    (std::abs(actualMs - expectedMs) - queue.m_meanErrorMs) * weight;
}

std::optional<Duration>
Intake::OnCompleted(const JobId& aJob, TimePoint aNow)
{
  const auto found = m_expected.find(aJob);
  if (found == m_expected.end()) {
    return std::nullopt;
  }
  const Expected expected = found->second;
  m_expected.erase(found);
  const Duration actual = aNow - expected.m_acceptedAt;
  Observe(expected, actual);
  return actual - expected.m_end;
}

void
Intake::OnAbandoned(const JobId& aJob)
{
  m_expected.erase(aJob);
}

// A job that became late may not run before the load falls. If only ended jobs
// counted, the estimate would be corrected by those alone that were on time.
void
Intake::ObserveOverdueJobs(TimePoint aNow)
{
  while (!m_overdue.empty() && m_overdue.top().first <= aNow) {
    const auto found = m_expected.find(m_overdue.top().second);
    if (found != m_expected.end()) {
      const Expected expected = found->second;
      m_expected.erase(found);
      Observe(expected, aNow - expected.m_acceptedAt);
    }
    m_overdue.pop();
  }
}

std::optional<Duration>
Intake::EstimateAge(TimePoint aNow) const
{
  return m_plannedAt ? std::optional{ aNow - *m_plannedAt } : std::nullopt;
}

bool
Intake::HasEstimates(TimePoint aNow) const
{
  return m_plannedAt && aNow - *m_plannedAt <= kMaxAge;
}

} // namespace bamboostile::intake
