#pragma once

#include "job_fixtures.h"

#include "bamboostile/placement/capacity.h"

#include <random>

/** Simulates pools of workers and their leader, in virtual time. */
namespace simulated_pool {

using namespace bamboostile;

/** Payloads of jobs whose first task, or each task, crashes its worker. */
constexpr const char* kCrashFirst = "crash first";
constexpr const char* kCrashAll = "crash all";

struct PoolOptions
{
  std::uint32_t m_workers = 12;
  /** Numbers of workers of further services. Their queues are numbered from 1
   * on. If there are any, the leader moves instances between the pools. */
  std::vector<std::uint32_t> m_otherPools;
  /** Number of standby instances, which the leader moves in and out. If there
   * are any, the others can be moved out as well. */
  std::uint32_t m_spares = 0;
  /** Whether the leader keeps the emptiest of the workers with runs cordoned,
   * as for a pool with a surplus. Nothing is ordered. */
  bool m_drainsEmptiest = false;
  jobs::Resources m_capacity{ 16'000, 32'000, 0 };
  /** Time from a crash to the first report of the next incarnation. */
  Millis m_restartTakes{ 2'500 };
  /** Time from the start of a task that crashes its worker to the crash. */
  Millis m_crashAfter{ 10 };
  /** Worker that crashes on every task that it starts. */
  std::optional<std::uint32_t> m_faultyWorker;
  /** Whether a crashed worker comes back under the same id. */
  bool m_keepsIds = false;
  /** Maximum time from a stop order to the end of the run. */
  Millis m_stopTakes{};
  /** Maximum time from an answer of the leader to its arrival. */
  Millis m_answerTakes{};
  /** Percentage of answers that are lost. */
  std::uint32_t m_answersLost = 0;
  /** Time that the platform takes to answer requests for its list of
   * instances; unset if it does not answer. */
  std::optional<Millis> m_listTakes = Millis{ 50 };
  /** Time after which ended jobs are forgotten. */
  std::optional<Millis> m_keepEnded;
  unsigned m_seed = 1;
};

struct TaskRecord
{
  std::uint32_t m_starts = 0;
  /** Worker crashes caused by the task. */
  std::uint32_t m_crashes = 0;
  std::uint32_t m_startsAfterThreeCrashes = 0;
  /** Starts while another run of the task was active. The other members of a
   * gang are tasks of their own. */
  std::uint32_t m_overlaps = 0;
  /** Whether the end of the task as done was acknowledged to a worker. */
  bool m_isDoneAcked = false;
  std::uint32_t m_startsAfterDone = 0;
};

/**
 * @brief Simulates workers that report, follow orders, crash and come back,
 * and a leader that places tasks on them, without threads or sockets.
 *
 * In each time step, the leader handles all due reports, commits, plans and
 * answers, like a leader that isn't overloaded.
 */
class SimulatedPool
{
public:
  explicit SimulatedPool(PoolOptions aOptions = {});

  /** aQueue: 0, or the number of one of the further services. */
  void Submit(const std::string& aJob,
              jobs::JobSpec aSpec,
              const std::string& aWorkspace = "",
              std::uint32_t aQueue = 0);
  /** Puts a configuration in force in which the workspace has this cap. */
  void SetCap(const std::string& aWorkspace, workspaces::Resources aCap);
  void Cancel(const std::string& aJob);
  void Pass(Millis aTime);
  /** Crashes the worker; a new incarnation reports after aDown. */
  void CrashWorker(std::uint32_t aWorker, Millis aDown);
  /** Makes the worker unreachable; the same incarnation reports again after
   * aTime. */
  void CutWorker(std::uint32_t aWorker, Millis aTime);
  /** The worker is about to leave: nothing is placed on it, and its
   * long-running tasks are moved away, until Uncordon(). */
  void Cordon(std::uint32_t aWorker);
  void Uncordon(std::uint32_t aWorker);
  /** The worker announces that it drains; after aTime a new incarnation
   * follows. */
  void DrainWorker(std::uint32_t aWorker, Millis aTime);
  /** Cordons the worker for as long as it may take to finish its runs, takes it
   * down by an order, and uncordons the next incarnation. */
  void MaintainWorker(std::uint32_t aWorker, placement::InstanceAnswer aAnswer);
  /** Takes the worker down by an order; a new incarnation reports after aDown.
   */
  void TakeDown(std::uint32_t aWorker,
                placement::InstanceAnswer aAnswer,
                Millis aDown);
  void Resize(std::uint32_t aWorker, jobs::Resources aCapacity);
  /** Delivers a copy of the worker's latest report after aDelay; the answer is
   * dropped. */
  void DelayReport(std::uint32_t aWorker, Millis aDelay);
  /** Like DelayReport(), for a report that the leader did not get at its time.
   */
  void HoldBackReport(std::uint32_t aWorker, Millis aDelay);
  /** Percentage of answers that are lost from now on; takes effect only if
   * answers take time. */
  void SetAnswersLost(std::uint32_t aPercent)
  {
    m_options.m_answersLost = aPercent;
  }
  /** Maximum time of answers from now on. A worker drops those that take longer
   * than its timeout. */
  void SetAnswerTakes(Millis aMax) { m_options.m_answerTakes = aMax; }
  /** The worker reports and receives answers, but carries out no start for
   * aTime. */
  void HangWorker(std::uint32_t aWorker, Millis aTime);
  /** Starts a new leader after aGap from the snapshot of the previous one. */
  void ReplaceLeader(Millis aGap);

  jobs::JobState StateOf(const std::string& aJob) const;
  const jobs::Job& JobOf(const std::string& aJob) const;
  const TaskRecord& RecordOf(const jobs::TaskRef& aTask);
  /** Maximum over all tasks. */
  std::uint32_t MostStartsAfterThreeCrashes() const;
  /** Counts runs started during another run of the same task or after an
   * acknowledged end as done. */
  std::uint32_t CountTwice() const;
  std::uint32_t CrashesByTasks() const { return m_crashesByTasks; }
  std::size_t CountJobs(jobs::JobState aState) const;
  /** Counts tasks that are suspected of a lost worker. */
  std::size_t CountTasksWithLosses() const
  {
    return m_fleet.Book().TasksWithLosses().size();
  }
  /** Returns whether the runs of all workers fit their reported capacity. */
  bool IsWithinCapacity() const;
  /** Counts starts that exceeded the worker's reported capacity. */
  std::uint32_t CountStartsOverRoom() const { return m_startsOverCapacity; }
  /** Counts starts that brought a workspace above its cap, and above each cap
   * that was in force shortly before. */
  std::uint32_t CountStartsOverCap() const { return m_startsOverCap; }
  /** Counts ends of long-running tasks at work, by an order to a worker that is
   * not draining, while the disruption budget of their step was used up: by
   * tasks that an order had ended, or that had been away for long. */
  std::uint32_t CountEndsOverBudget() const { return m_endsOverBudget; }
  /** Counts ends of long-running tasks at work by an order. */
  std::uint32_t CountOrderedEnds() const { return m_orderedEnds; }
  workspaces::Resources UseOf(const std::string& aWorkspace) const;
  std::uint32_t RunningOn(std::uint32_t aWorker) const;
  /** Returns the worker that runs the task, if there is one. */
  std::optional<std::uint32_t> WorkerOf(const jobs::TaskRef& aTask) const;
  /** Returns the indexes of the job's tasks that run, in its first step. */
  std::set<std::uint32_t> RunningTasksOf(const std::string& aJob) const;
  /** The worker is up, reachable, and neither about to leave nor hung. */
  bool IsInService(std::uint32_t aWorker) const;
  /** The worker's reports reach a leader. */
  bool IsReporting(std::uint32_t aWorker) const;
  /** Counts workers of the job's service that are in service and may run one
   * more task of its first step beside what runs on them, whatever the leader
   * knows. */
  std::uint32_t CountWorkersWithRoom(const std::string& aJob) const;
  /** Counts instances in standby, and those of other pools that have more than
   * they want, that could run a task of the job's first step. */
  std::uint32_t CountInstancesToSpare(const std::string& aJob) const;
  /** All workers and spares, of all services. */
  std::uint32_t CountInstances() const
  {
    return static_cast<std::uint32_t>(m_workers.size());
  }
  /** Why the leader would give the worker no start now; empty if it would. */
  std::string ExclusionOf(std::uint32_t aWorker) const;
  Millis Now() const { return m_now; }

private:
  struct Run
  {
    placement::StartOrder m_order;
    Millis m_startedAt;
    Millis m_duration;
    /** Whether all members of the gang have been present; always true without a
     * gang. */
    bool m_gangWasComplete = false;
    /** Kept here because the job may be forgotten before the run ends. */
    jobs::StepSpec m_step;
    WorkspaceId m_workspace;
    std::optional<Millis> m_stopAt;
  };

  /** A cap, and until when it was in force. */
  struct CapInForce
  {
    workspaces::Resources m_cap;
    Millis m_until = Millis::max();
  };

  struct SimulatedWorker
  {
    std::string m_instance;
    ServiceId m_service;
    std::uint32_t m_incarnation = 0;
    std::int64_t m_startedAt = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_lastEnd = 0;
    jobs::Resources m_capacity;
    std::vector<Run> m_runs;
    std::vector<placement::EndReport> m_ended;
    Millis m_nextReport{};
    Millis m_leaseEnd{};
    std::optional<Millis> m_crashAt;
    std::optional<Millis> m_downUntil;
    Millis m_cutUntil{};
    Millis m_hungUntil{};
    bool m_isCordoned = false;
    std::optional<Millis> m_maintenanceAt;
    placement::InstanceAnswer m_maintenanceAnswer{};
    bool m_isDraining = false;
    placement::WorkerReport m_latest;
  };

  /** An answer on its way to an incarnation of a worker. */
  struct DelayedAnswer
  {
    Millis m_at;
    SimulatedWorker* m_worker = nullptr;
    std::uint32_t m_incarnation = 0;
    placement::Orders m_orders;
  };

  /** Since when a long-running task is away, and whether an order ended it. */
  struct Absence
  {
    Millis m_since{};
    bool m_isOrdered = false;
  };

  struct DelayedReport
  {
    Millis m_at;
    placement::WorkerReport m_report;
  };

  void AddWorkers(std::uint32_t aCount, const ServiceId& aService);
  void BeginLeading();
  void Step();
  void Advance(SimulatedWorker& aWorker);
  void AdvanceMaintenance(SimulatedWorker& aWorker);
  void TakeDown(SimulatedWorker& aWorker,
                placement::InstanceAnswer aAnswer,
                Millis aDown);
  WorkerIncarnation IncarnationOf(const SimulatedWorker& aWorker) const;
  std::int64_t NextStart(Millis aAt);
  void Crash(SimulatedWorker& aWorker, Millis aDown);
  void BreakGangs(const std::vector<Run>& aLost);
  Millis WorkingSince(const Run& aRun) const;
  bool IsGangComplete(const Run& aRun) const;
  void EndRuns(SimulatedWorker& aWorker);
  void AddEnd(SimulatedWorker& aWorker, const Run& aRun, jobs::RunEnd aEnd);
  placement::WorkerReport ReportOf(SimulatedWorker& aWorker) const;
  placement::RunReport MakeRunReport(const Run& aRun) const;
  void StepLeader(const std::vector<SimulatedWorker*>& aReporting);
  void MoveInstances(std::vector<jobs::EndRun>& aEnds);
  void ListStandby();
  /** Requests the list of instances, and reads it once it has arrived. */
  void ListInstances();
  std::vector<placement::WorkerReport> TakeDelayedReports();
  bool IsRunning(const jobs::TaskRef& aTask) const
  {
    return WorkerOf(aTask).has_value();
  }
  static placement::ReservedCapacity UseOf(const SimulatedWorker& aWorker);
  void SendAnswer(SimulatedWorker& aWorker, placement::Orders aOrders);
  void DeliverAnswers();
  std::set<WorkerIncarnation> CordonedWorkers() const;
  std::optional<WorkerIncarnation> FindEmptiest() const;
  bool IsAtWork(const Run& aRun) const;
  void TrackAbsences();
  void CountOrderedEnd(const SimulatedWorker& aWorker, const Run& aRun);
  void FollowOrders(SimulatedWorker& aWorker, const placement::Orders& aOrders);
  bool IsOverCap(const WorkspaceId& aWorkspace,
                 const jobs::StepSpec& aStep) const;
  Millis StopDuration();
  bool IsFaulty(const SimulatedWorker& aWorker) const;
  bool IsInService(const SimulatedWorker& aWorker) const;
  static bool IsInStandby(const SimulatedWorker& aWorker)
  {
    return aWorker.m_downUntil == Millis::max();
  }
  bool MovesInstances() const
  {
    return m_options.m_spares > 0 || !m_options.m_otherPools.empty();
  }
  const ServiceId& ServiceOf(const std::string& aJob) const;
  bool HasRoom(const SimulatedWorker& aWorker,
               const jobs::TaskRef& aTask,
               const jobs::StepSpec& aStep) const;
  void Start(SimulatedWorker& aWorker, const placement::StartOrder& aOrder);
  TimePoint Time() const { return TimePoint{ m_now }; }
  WallTime Wall() const { return WallTime{ m_now.count() }; }

  PoolOptions m_options;
  std::minstd_rand m_random;
  job_fixtures::Fleet m_fleet;
  Millis m_now{ 10'000 };
  std::vector<SimulatedWorker> m_workers;
  std::vector<DelayedReport> m_delayedReports;
  std::vector<DelayedAnswer> m_delayedAnswers;
  std::map<jobs::TaskRef, Absence> m_absences;
  std::uint32_t m_endsOverBudget = 0;
  std::uint32_t m_orderedEnds = 0;
  std::optional<placement::WorkerTable> m_table;
  std::shared_ptr<placement::OrderEffects> m_effects;
  placement::Planner m_planner;
  placement::CapacityPlanner m_capacity;
  placement::OrderRecord m_moveRecord{ Millis{ 3000 } };
  std::set<WorkerIncarnation> m_cordoned;
  Millis m_nextMoves{};
  /** Pools that have more workers than they want, as of the last plan. */
  std::set<ServiceId> m_poolsWithSurplus;
  /** A list that is under way. */
  std::optional<placement::InstanceList> m_list;
  Millis m_listAt{};
  Millis m_nextList{};
  Millis m_leaderStartsAt{};
  Millis m_nextPass{};
  std::map<jobs::TaskRef, TaskRecord> m_records;
  std::uint32_t m_crashesByTasks = 0;
  std::uint32_t m_startsOverCapacity = 0;
  std::uint32_t m_startsOverCap = 0;
  std::map<WorkspaceId, std::vector<CapInForce>> m_caps;
};

} // namespace simulated_pool
