#pragma once

#include "bamboostile/intake/job_demand.h"
#include "bamboostile/intake/service_rate.h"
#include "bamboostile/placement/pool_load.h"

#include <functional>
#include <queue>
#include <set>
#include <unordered_map>
#include <variant>

namespace bamboostile::intake {

/** What the queue and the leader know of a submitted job. */
struct Submission
{
  JobId m_job;
  QueueId m_queue;
  ServiceId m_service;
  /** 0 is the highest. */
  std::uint32_t m_priority = 0;
  Millis m_objective{};
  double m_stretch = 1;
  /** Its workspace has sent more jobs than its share covers. */
  bool m_isBeyondShare = false;
  JobDemand m_demand;

  /** Time from submission to the due time. */
  Millis DueAfter() const;
};

/** CPU of instances on their way to a pool, in thousandths of a core, and when
 * they report, on average. */
struct ArrivingCpu
{
  std::int64_t m_cpu = 0;
  TimePoint m_at;
};

/** The figures of one placement pass. */
struct PassResult
{
  placement::PoolLoads m_loads;
  /** Services with tasks that found no capacity. */
  std::set<ServiceId> m_full;
  std::map<ServiceId, ArrivingCpu> m_arriving;
};

/** When a job would start and end, counted from its submission, and from what
 * this follows. CPU in thousandths of a core, work in that times ms. */
struct Estimate
{
  TimePoint m_at;
  /** Time since the placement pass whose figures it uses. */
  Duration m_age{};
  /** Work at the job's priority and above, without late work, and with it. */
  std::int64_t m_workAhead = 0;
  std::int64_t m_workAheadWithLate = 0;
  std::int64_t m_cpu = 0;
  std::int64_t m_arrivingCpu = 0;
  Millis m_arrivesAfter{};
  /** Rate at which the pool starts work, as a multiple of its CPU. */
  double m_rate = 1;
  /** CPU that the jobs accepted lately take, if they are on time. */
  std::int64_t m_inflowCpu = 0;
  /** Factor by which earlier jobs of the queue took longer than expected. */
  double m_correction = 1;
  Millis m_criticalPath{};
  /** Whether it is expected on time, so that it is placed before late work. */
  bool m_isOnTime = false;
  /** Without the correction. */
  Millis m_expectedEnd{};
  Millis m_start{};
  Millis m_end{};
  Millis m_limit{};
};

enum class AdmitReason
{
  kInTime,
  /** All tasks of the pool found capacity, or cores are free for the job. */
  kFreeCapacity,
  /** An earlier submission of the job may be committed yet. */
  kMayBeProposed,
  /** Long-running or scheduled. */
  kExempt,
  /** No placement pass of this leader, or none of late. */
  kNoEstimate,
  /** The pool has no workers yet, or too few for the job's gang. */
  kUnknownCapacity,
};

const char* Describe(AdmitReason aReason) noexcept;

struct Admitted
{
  AdmitReason m_reason = AdmitReason::kInTime;
  std::optional<Estimate> m_estimate{};
};

struct Refused
{
  Estimate m_estimate;
  Millis m_retryAfter{};
};

using Decision = std::variant<Admitted, Refused>;

enum class ProposalOutcome
{
  kAccepted,
  kNotProposed,
  /** The job may be committed later. */
  kUndecided,
};

/** Decisions on the jobs of one queue since this leader was elected, and how
 * its estimates compared with what followed. */
struct QueueRecord
{
  std::uint64_t m_accepted = 0;
  std::uint64_t m_refused = 0;
  std::optional<Estimate> m_last;
  AdmitReason m_lastReason = AdmitReason::kNoEstimate;
  bool m_isLastRefused = false;
  /** Jobs expected on time that have ended or are overdue. */
  std::uint64_t m_observed = 0;
  /** Means over the last of them, in ms. */
  double m_meanExpectedMs = 0;
  double m_meanActualMs = 0;
  double m_meanErrorMs = 0;

  /** 1 until enough jobs have ended. */
  double Correction() const;
};

/**
 * @brief Decides whether a submitted job is accepted: it is refused if its pool
 * is full and it would end after three times its objective, as its caller has
 * no use for a later result.
 *
 * A new leader begins with a new object, which admits until the first pass. A
 * decision visits no jobs.
 */
class Intake
{
public:
  void OnPlanned(PassResult aResult, TimePoint aNow);

  Decision Decide(const Submission& aSubmission, TimePoint aNow);
  /** The admitted job is about to be proposed. */
  void OnProposed(const Submission& aSubmission,
                  const Admitted& aAdmitted,
                  TimePoint aNow);
  void OnDecided(const JobId& aJob, ProposalOutcome aOutcome);
  /** Returns the difference of actual and expected end; nothing if no end was
   * expected. */
  std::optional<Duration> OnCompleted(const JobId& aJob, TimePoint aNow);
  /** The job failed or was cancelled. */
  void OnAbandoned(const JobId& aJob);

  /** Time since the last pass; unset before the first one. */
  std::optional<Duration> EstimateAge(TimePoint aNow) const;
  bool HasEstimates(TimePoint aNow) const;
  const std::map<QueueId, QueueRecord>& Queues() const { return m_queues; }

private:
  struct Pool
  {
    placement::PoolLoad m_load;
    ArrivingCpu m_arriving;
    bool m_isFull = false;
    ServiceRate m_rate;
    /** Accepted since the last pass, or being proposed. */
    std::map<std::uint32_t, placement::WaitingWork> m_unplanned;
    std::int64_t m_unplannedFirstCpu = 0;
    /** Work per ms that accepted jobs on time add; decays since the time. */
    double m_inflow = 0;
    TimePoint m_inflowAt;
    /** Since when the pool has neither workers nor arriving instances. */
    std::optional<TimePoint> m_emptySince;

    bool HasFreeCpuFor(const JobDemand& aDemand) const;
    double InflowAt(TimePoint aNow) const;
    bool IsEmpty() const { return m_load.m_cpu + m_arriving.m_cpu <= 0; }
    /** Time until the pool has started the work, beside an inflow in
     * thousandths of a core. */
    Millis TimeFor(double aWork, double aInflow, TimePoint aNow) const;
  };

  struct Proposed
  {
    QueueId m_queue;
    ServiceId m_service;
    std::uint32_t m_priority = 0;
    bool m_isBeyondShare = false;
    std::int64_t m_work = 0;
    std::int64_t m_firstCpu = 0;
    /** Proposals of the job that are not decided. */
    std::uint32_t m_pending = 1;
    bool m_isUndecided = false;
  };

  struct Expected
  {
    QueueId m_queue;
    TimePoint m_acceptedAt;
    Millis m_end{};
    bool m_isOnTime = false;
  };

  /** When the end of a job is overdue. */
  using Overdue = std::pair<TimePoint, JobId>;

  /** Unset if the pool has no cores. */
  std::optional<Estimate> EstimateEnd(const Submission& aSubmission,
                                      const Pool& aPool,
                                      TimePoint aNow) const;
  Decision Assess(const Submission& aSubmission,
                  const Pool& aPool,
                  TimePoint aNow) const;
  void AddUnplanned(const Proposed& aProposed, int aSign);
  void Expect(const Submission& aSubmission,
              const Estimate& aEstimate,
              TimePoint aNow);
  void Observe(const Expected& aExpected, Duration aActual);
  void ObserveOverdueJobs(TimePoint aNow);

  std::optional<TimePoint> m_plannedAt;
  std::unordered_map<ServiceId, Pool> m_pools;
  std::unordered_map<JobId, Proposed> m_proposed;
  /** Committed since the last pass. */
  std::vector<Proposed> m_committed;
  std::unordered_map<JobId, Expected> m_expected;
  std::priority_queue<Overdue, std::vector<Overdue>, std::greater<>> m_overdue;
  std::map<QueueId, QueueRecord> m_queues;
};

} // namespace bamboostile::intake
