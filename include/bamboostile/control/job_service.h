#pragma once

#include "bamboostile/control/instance_service.h"
#include "bamboostile/control/node.h"
#include "bamboostile/jobs/calls.h"
#include "bamboostile/placement/plan_pacer.h"
#include "bamboostile/placement/planner.h"
#include "bamboostile/telemetry/log_limit.h"
#include "bamboostile/telemetry/metrics.h"

namespace bamboostile::control {

/** What a worker hears back. */
struct WorkerAnswer
{
  /** Unset: no lease is given; the reason is m_refusal. */
  std::optional<placement::Orders> m_orders;
  Term m_fencingToken;
  /** Set where another replica leads. */
  std::string m_leaderAddress;
  std::string m_refusal;
};

enum class RoutesOutcome
{
  kInForce,
  kNotLeader,
  kUndecided,
  /** Not proposed: the group's disks take nothing now. */
  kStalled,
};

enum class ReadOutcome
{
  kDone,
  kNotLeader,
  kNothing,
};

struct RoutesRead
{
  ReadOutcome m_outcome = ReadOutcome::kNotLeader;
  std::string m_document;
};

enum class WaveView
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
  /** How long callers can ask for the state of an ended job. */
  Duration m_keepEnded = std::chrono::seconds{ 180 };
  InstanceCalls m_calls;
};

/**
 * @brief Jobs at the leader: binds the decisions of placement to the log, to
 * workers and to callers.
 *
 * Lives on the node's event loop. Changes of runs are proposed one batch at a
 * time: while one is on its way to the disks, what comes in gathers for the
 * next, so a busy leader syncs fewer and larger batches.
 */
class JobService final : private kj::TaskSet::ErrorHandler
{
public:
  JobService(Node& aNode, kj::Timer& aTimer, JobServiceOptions aOptions);

  kj::Promise<jobs::QueueReply> Call(jobs::QueueCall aCall);
  kj::Promise<WorkerAnswer> Report(const placement::WorkerReport& aReport,
                                   TimePoint aReceivedAt);
  /** The worker says that it ends now; of the life, where it says which. */
  kj::Promise<WorkerAnswer> Leave(const WorkerLife& aWorker);
  kj::Promise<RoutesOutcome> ReplaceRoutes(fleet::RouteTable aTable);
  RoutesRead ReadRoutes();
  kj::Promise<RoutesOutcome> StartMaintenance(fleet::MaintenanceWave aWave);
  WaveView LookAtMaintenance(std::uint64_t aWave);
  std::string LeaderAddress() const { return m_node.LeaderAddress(); }
  Pace& LeaderPace() { return m_pace; }
  /** Prometheus text. */
  std::string RenderMetrics();

private:
  struct Waiting
  {
    WorkerLife m_worker;
    std::uint64_t m_sequence = 0;
    TimePoint m_receivedAt;
    /** It has no ends that are not in the batch under way or an earlier one. */
    bool m_taken = false;
    /** A pass of placing has seen its ends. */
    bool m_planned = false;
    kj::Own<kj::PromiseFulfiller<WorkerAnswer>> m_fulfiller;
  };

  void taskFailed(kj::Exception&& aException) override;
  kj::Promise<void> TickLoop();
  /** Whether this replica leads now; begins anew with each term. */
  bool Leads();
  WorkerAnswer NotLeading() const;
  void NoteRestart(const placement::WorkerReport& aReport,
                   const placement::Heard& aHeard);
  void NoteIgnored(const placement::WorkerReport& aReport,
                   placement::Ignored aReason,
                   TimePoint aNow);
  void NoteSkippedEnds(const placement::WorkerReport& aReport,
                       std::size_t aCount);
  void Gather(std::vector<jobs::EndRun> aEnds);
  void Kick();
  /** Ends the runs of workers whose lease is over. */
  void GatherLost(TimePoint aNow);
  /** Maintenance and moves, where their time has come. */
  void FollowInstances(TimePoint aNow);
  /** Decides what is left undone until the next look. */
  void FollowLoad(TimePoint aNow);
  kj::Promise<void> Cycle();
  /** Adds the starts of a pass of placing; orders stops. */
  void Plan(TimePoint aNow, std::vector<jobs::Change>& aChanges);
  kj::Promise<void> Commit(std::vector<jobs::Change> aChanges,
                           std::vector<placement::Receipt> aReceipts);
  void AnswerPlanned();
  /** Those that cannot wait any longer for a batch. */
  void AnswerOverdue(TimePoint aNow);
  std::vector<Waiting> TakeWaiting(
    const std::function<bool(const Waiting&)>& aIsTaken);
  void AnswerAllAsFollower();
  WorkerAnswer AnswerOf(const Waiting& aOne, bool aLeads, TimePoint aNow);
  void Hold(Waiting aOne, TimePoint aNow);
  void AnswerHeld(bool aLeads, TimePoint aNow);
  void LearnFrom(const std::vector<jobs::Change>& aChanges, TimePoint aNow);
  void NoteIfCrashLoop(const jobs::Job& aJob, const jobs::EndRun& aEnd);
  void StopStuckRuns(TimePoint aNow);
  void OnLifeEnded(const WorkerLife& aWorker);
  void OnOrderTaken(const WorkerLife& aWorker, TimePoint aOrderedAt);
  kj::Promise<jobs::QueueReply> Submit(const fleet::QueueRoute& aRoute,
                                       const JobId& aJob,
                                       jobs::JobSpec aSpec);
  kj::Promise<jobs::QueueReply> Cancel(const JobId& aJob);

  Node& m_node;
  kj::Timer& m_timer;
  JobServiceOptions m_options;
  Term m_term;
  std::optional<placement::WorkerTable> m_workers;
  placement::Planner m_planner;
  placement::PlanPacer m_pacer;
  std::unique_ptr<InstanceService> m_instances;
  std::map<jobs::TaskRef, TimePoint> m_startedAt;
  std::vector<jobs::Change> m_gathered;
  bool m_isDirty = false;
  bool m_isCycling = false;
  TimePoint m_tickDueAt;
  TimePoint m_nextPass;
  TimePoint m_nextInstances;
  TimePoint m_nextLost;
  TimePoint m_nextForget;
  TimePoint m_nextSettle;
  struct Held
  {
    Waiting m_report;
    TimePoint m_until;
  };

  std::vector<Waiting> m_waiting;
  /** Reports of quiet workers, kept for when there is an order for them. */
  std::unordered_map<WorkerLife, Held> m_held;
  Pace m_pace;
  placement::LoadShedder m_shedder;
  placement::Shedding m_shedding = placement::Shedding::kNothing;
  /** Late reports are usual where links are cut. */
  telemetry::LogLimit m_ignoredLog{ Millis{ 200 } };
  telemetry::Metrics m_metrics;
  kj::TaskSet m_tasks;
};

/** Time of day; for due times and records only. */
WallTime WallNow();

} // namespace bamboostile::control
