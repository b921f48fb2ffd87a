#pragma once

#include "bamboostile/control/instance_service.h"
#include "bamboostile/control/node.h"
#include "bamboostile/control/waiting_monitor.h"
#include "bamboostile/control/workspace_monitor.h"
#include "bamboostile/intake/intake.h"
#include "bamboostile/jobs/calls.h"
#include "bamboostile/placement/plan_pacer.h"
#include "bamboostile/placement/planner.h"
#include "bamboostile/telemetry/log_limit.h"
#include "bamboostile/telemetry/metrics.h"
#include "bamboostile/workspaces/share_limiter.h"

namespace bamboostile::control {

/** The answer to a worker's report or leave. */
struct WorkerAnswer
{
  /** Unset if no lease is granted; m_refusal then holds the reason. */
  std::optional<placement::Orders> m_orders;
  Term m_fencingToken;
  /** Address of the leader; set if another replica leads. */
  std::string m_leaderAddress;
  std::string m_refusal;
};

enum class ChangeOutcome
{
  kInForce,
  kNotLeader,
  kUndecided,
  /** Not proposed: the group's disks accept no writes at present. */
  kStalled,
};

enum class ReadOutcome
{
  kDone,
  kNotLeader,
  kNoRoutes,
};

struct RoutesReadResult
{
  ReadOutcome m_outcome = ReadOutcome::kNotLeader;
  std::string m_document;
};

enum class WaveStatus
{
  kRunning,
  kCompleted,
  kUnknown,
  kNotLeader,
};

struct JobServiceOptions
{
  placement::Mechanisms m_mechanisms;
  placement::LeaseOptions m_lease;
  placement::MaintenanceOptions m_maintenance;
  placement::CapacityOptions m_capacity;
  jobs::MemoryLimit m_memory;
  /** How long callers can query the state of an ended job. */
  Duration m_endedJobRetention = std::chrono::seconds{ 180 };
  InstanceCalls m_calls;
};

/**
 * @brief Runs jobs at the leader: connects the placement planner to the log, to
 * workers and to callers.
 *
 * Runs on the node's event loop. Changes of runs are proposed one batch at a
 * time. Changes that arrive while a batch is being committed are queued for the
 * next one, so a busy leader syncs fewer and larger batches.
 */
class JobService final : private kj::TaskSet::ErrorHandler
{
public:
  JobService(Node& aNode, kj::Timer& aTimer, JobServiceOptions aOptions);

  kj::Promise<jobs::QueueReply> Call(jobs::QueueCall aCall);
  kj::Promise<WorkerAnswer> Report(const placement::WorkerReport& aReport,
                                   TimePoint aReceivedAt);
  /** Ends a worker that shuts down: the given incarnation, or the only known
   * one if aWorker has no start time. */
  kj::Promise<WorkerAnswer> Leave(const WorkerIncarnation& aWorker);
  kj::Promise<ChangeOutcome> ReplaceRoutes(fleet::RouteTable aTable);
  RoutesReadResult ReadRoutes();
  kj::Promise<ChangeOutcome> StartMaintenance(fleet::MaintenanceWave aWave);
  WaveStatus GetWaveStatus(std::uint64_t aWave);
  std::string LeaderAddress() const { return m_node.LeaderAddress(); }
  StageLatencies& LeaderLatencies() { return m_latencies; }
  /** Returns the metrics in Prometheus text format. */
  std::string RenderMetrics();
  /** Returns the workspaces as a JSON document; nothing unless this replica
   * leads. */
  std::optional<std::string> WorkspacesJson();
  /** Returns the pools as a JSON document; nothing unless this replica leads.
   */
  std::optional<std::string> PoolsJson();
  /** Returns the admission of jobs as a JSON document; nothing unless this
   * replica leads. */
  std::optional<std::string> AdmissionJson();

private:
  struct PendingReport
  {
    WorkerIncarnation m_worker;
    std::uint64_t m_sequence = 0;
    TimePoint m_receivedAt;
    /** All ends in the report are in the current batch or an earlier one. */
    bool m_endsInBatch = false;
    /** A placement pass has taken the report's ends into account. */
    bool m_isPlanned = false;
    kj::Own<kj::PromiseFulfiller<WorkerAnswer>> m_fulfiller;
  };

  void taskFailed(kj::Exception&& aException) override;
  kj::Promise<void> TickLoop();
  /** Returns whether this replica leads; resets the state of the leader in each
   * new term. */
  bool EnsureLeading();
  /** Counts the jobs of each workspace in the replicated state. */
  void RebuildShares();
  WorkerAnswer NotLeaderAnswer() const;
  void RecordRestart(const placement::WorkerReport& aReport,
                     const placement::ReportResult& aResult);
  /** Answers a report that has no effect. */
  WorkerAnswer Ignore(const placement::WorkerReport& aReport,
                      placement::IgnoreReason aReason,
                      TimePoint aNow);
  void RecordSkippedEnds(const placement::WorkerReport& aReport,
                         std::size_t aCount);
  void RecordIgnoringStarts(const WorkerIncarnation& aWorker);
  void RecordReachability(const WorkerIncarnation& aWorker, bool aIsReachable);
  void QueueEnds(std::vector<jobs::EndRun> aEnds);
  /** Retracts losses that a report of their worker disproves. */
  void QueueRetractions(const WorkerIncarnation& aWorker,
                        const std::vector<jobs::RetractLoss>& aRetractions);
  void ScheduleCycle();
  /** Ends the runs of workers whose lease has expired. */
  void QueueLostRuns(TimePoint aNow);
  /** Runs maintenance and moves at their interval. */
  void TickInstances(TimePoint aNow);
  /** Chooses the work to shed until the next tick. */
  void UpdateShedding(TimePoint aNow);
  kj::Promise<void> RunCycle();
  /** Adds the starts of a placement pass and requests stops. */
  void Plan(TimePoint aNow, std::vector<jobs::Change>& aChanges);
  kj::Promise<void> Commit(std::vector<jobs::Change> aChanges,
                           std::vector<placement::Receipt> aReceipts);
  void LogStops(const WorkerIncarnation& aWorker,
                const std::vector<placement::StopOrder>& aStops,
                TimePoint aNow) const;
  void AnswerPlanned();
  /** Answers reports that cannot wait any longer for a batch. */
  void AnswerOverdue(TimePoint aNow);
  std::vector<PendingReport> TakePending(
    const std::function<bool(const PendingReport&)>& aIsSelected);
  void AnswerAllAsFollower();
  WorkerAnswer AnswerOf(const PendingReport& aReport,
                        bool aIsLeader,
                        TimePoint aNow);
  void HoldReport(PendingReport aReport, TimePoint aDeadline);
  void AnswerHeld(bool aIsLeader, TimePoint aNow);
  void RecordCommitted(const std::vector<jobs::Change>& aChanges,
                       TimePoint aNow);
  /** aAt: when the committed change ended the job, if it did. aIsWorkerLost:
   * because of the loss of a worker. */
  void RecordIfEnded(const JobId& aJob,
                     WallTime aAt,
                     bool aIsWorkerLost,
                     TimePoint aNow);
  void RecordCrashLoop(const jobs::Job& aJob);
  void StopStuckRuns(TimePoint aNow);
  void OnIncarnationEnded(const WorkerIncarnation& aWorker);
  void OnOrderAccepted(const WorkerIncarnation& aWorker, TimePoint aOrderedAt);
  kj::Promise<jobs::QueueReply> Submit(const fleet::QueueRoute& aRoute,
                                       const JobId& aJob,
                                       const WorkspaceId& aWorkspace,
                                       jobs::JobSpec aSpec);
  kj::Promise<jobs::QueueReply> Cancel(const JobId& aJob);
  /** Counts the accepted jobs without a due time of which no run has begun. */
  std::uint64_t CountPendingJobs(const QueueId& aQueue);
  jobs::QueueReply RefuseUnauthorized(const jobs::QueueCall& aCall,
                                      const fleet::QueueRoute& aRoute);
  jobs::QueueReply RefuseBeyondShare(const WorkspaceId& aWorkspace,
                                     Millis aRetryAfter);
  /** Returns the refusal of a job for which there is no memory. */
  std::optional<jobs::QueueReply> RefuseIfTooLarge(
    const JobId& aJob,
    const jobs::JobSpec& aSpec,
    const WorkspaceId& aWorkspace);
  /** Returns the refusal of a job that cannot end in time; otherwise records
   * that it is about to be proposed. */
  std::optional<jobs::QueueReply> RefuseIfLate(const fleet::QueueRoute& aRoute,
                                               const JobId& aJob,
                                               const WorkspaceId& aWorkspace,
                                               const jobs::JobSpec& aSpec,
                                               bool aIsBeyondShare);
  void RecordProposal(const JobId& aJob,
                      std::size_t aBytes,
                      Term aTerm,
                      const ProposalResult& aResult);
  jobs::QueueReply RefuseLate(const intake::Submission& aSubmission,
                              const intake::Refused& aRefused,
                              const WorkspaceId& aWorkspace);
  /** Passes the figures of a placement pass to the admission of jobs. */
  void UpdateIntake(placement::PoolLoads aLoads, TimePoint aNow);
  /** Corrects the estimates by how long the job took. */
  void RecordInIntake(const jobs::Job& aJob, TimePoint aNow);
  bool RefusesLate() const
  {
    return m_options.m_mechanisms.Has(placement::Mechanism::kAdmission);
  }
  /** Returns the reply to the submission of a job that exists already. */
  jobs::QueueReply ReplyToRepeatedSubmit(const JobId& aJob,
                                         const QueueId& aQueue,
                                         const WorkspaceId& aWorkspace) const;

  Node& m_node;
  kj::Timer& m_timer;
  JobServiceOptions m_options;
  Term m_term;
  std::optional<placement::WorkerTable> m_workers;
  placement::Planner m_planner;
  placement::PlanPacer m_pacer;
  std::unique_ptr<InstanceService> m_instances;
  std::map<jobs::TaskRef, TimePoint> m_startedAt;
  std::vector<jobs::Change> m_queuedChanges;
  bool m_needsPlan = false;
  bool m_isCycleActive = false;
  TimePoint m_tickDueAt;
  TimePoint m_nextPlan;
  TimePoint m_nextInstanceTick;
  TimePoint m_nextLostCheck;
  TimePoint m_nextRemoveEnded;
  TimePoint m_nextStableCheck;
  struct HeldReport
  {
    PendingReport m_report;
    TimePoint m_deadline;
  };

  std::vector<PendingReport> m_pendingReports;
  /** Reports of steady workers, held until there is an order for the worker. */
  std::unordered_map<WorkerIncarnation, HeldReport> m_heldReports;
  StageLatencies m_latencies;
  placement::LoadShedder m_shedder;
  placement::SheddingLevel m_sheddingLevel = placement::SheddingLevel::kNone;
  /** Limited, as late reports are frequent while links are cut. */
  telemetry::LogRateLimiter m_ignoredLog{ Millis{ 200 } };
  /** Limited, as a client with a removed key keeps calling. */
  telemetry::LogRateLimiter m_unauthorizedLog{ Millis{ 200 } };
  /** Limited, as a workspace may send many jobs beyond its share. */
  telemetry::LogRateLimiter m_beyondShareLog{ Millis{ 200 } };
  /** Limited, as each job is refused while a pool is overloaded. */
  telemetry::LogRateLimiter m_lateLog{ Millis{ 200 } };
  telemetry::LogRateLimiter m_memoryLog{ Millis{ 200 } };
  WorkspaceMonitor m_workspaces;
  WaitingMonitor m_waiting;
  /** By queue, as of the last count. */
  std::map<QueueId, std::uint64_t> m_pendingJobs;
  TimePoint m_nextPendingCount;
  workspaces::ShareLimiter m_shares;
  /** Jobs that this leader has proposed and that are not decided, with the
   * number of their proposals; undecided ones stay until the next term. */
  std::unordered_map<JobId, std::uint32_t> m_openProposals;
  /** What the jobs of those proposals take, at most. */
  std::size_t m_openProposalBytes = 0;
  intake::Intake m_intake;
  /** Services with tasks that had no room in the last placement pass. */
  std::set<ServiceId> m_fullServices;
  telemetry::Metrics m_metrics;
  kj::TaskSet m_tasks;
};

/** Returns the wall-clock time; used only for due times and records. */
WallTime WallNow();

} // namespace bamboostile::control
