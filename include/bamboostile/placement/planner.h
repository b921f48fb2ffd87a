#pragma once

#include "bamboostile/fleet/state.h"
#include "bamboostile/jobs/memory_limit.h"
#include "bamboostile/placement/durations.h"
#include "bamboostile/placement/mechanisms.h"
#include "bamboostile/placement/pool_load.h"
#include "bamboostile/placement/unplaced_tasks.h"
#include "bamboostile/placement/workers.h"
#include "bamboostile/placement/workspace_accounts.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <unordered_map>

namespace bamboostile::placement {

/** Why a task that waits was not started. */
enum class WaitReason
{
  /** No worker that may run it has enough free capacity. */
  kNoCapacity,
  /** Its workspace uses its cap. */
  kWorkspaceCap,
  /** The delay after the loss of its last worker lasts. */
  kRetryDelay,
  /** Its isolated run waits until hardly any other worker is being lost. */
  kQuietPeriod,
  /** Another isolated run of its job goes on, and one more loss may give the
   * job up. */
  kOtherRunOfJob,
  /** As many workers of its pool as allowed have isolated runs. */
  kIsolationLimit,
  /** No worker is fit for an isolated run. */
  kNoWorkerForIsolatedRun,
  /** Its step has not begun, and the jobs use all memory that they may. */
  kNoMemory,
};

const char* Describe(WaitReason aReason) noexcept;

class IsolationQuota;

/** How a pass finds the worker of a task. The decisions are the same. */
enum class Search : std::uint8_t
{
  /** With indexes of the workers. */
  kIndexed,
  /** Compares all workers for each task: the reference in tests and
   * benchmarks. */
  kScan,
};

/** What keeps a task from the workers of its service. Each worker that is not
 * lost counts once, for the first reason that applies. */
struct WorkerCensus
{
  /** It is draining, cordoned, excluded or about to be replaced. */
  std::size_t m_excluded = 0;
  std::size_t m_unresponsive = 0;
  /** It lacks the label, or has as many tasks of the step as allowed. */
  std::size_t m_disallowed = 0;
  /** It lacks capacity. */
  std::size_t m_full = 0;
  /** Part of m_full that would lack capacity with its long-running tasks alone.
   */
  std::size_t m_fullOfLongRunning = 0;
  /** Part of m_full that lacks capacity by the runs of its last report alone,
   * without starts that none has shown yet and runs that cannot be told. */
  std::size_t m_fullByReport = 0;
  /** It has capacity that is kept for others: an isolated run, a restart, a
   * probe or a reservation. */
  std::size_t m_withheld = 0;
};

/** A task that was looked at in a placement pass and not started. */
struct WaitingTask
{
  WaitReason m_reason = WaitReason::kNoCapacity;
  bool m_isLongRunning = false;
  /** Time since its last loss was noticed, also by an earlier leader; unset
   * if it is no suspect. */
  std::optional<Millis> m_sinceLoss{};
  /** Time since the last run that a report showed; unset if none has been, or
   * its end is not known. */
  std::optional<Millis> m_withoutRun{};
  /** The isolated run that it waits for, with kOtherRunOfJob. */
  std::optional<jobs::TaskRef> m_blockedBy{};
  /** For a long-running task that found no worker. */
  std::optional<WorkerCensus> m_workers{};
};

/** The next start of a long-running task that had been started before. */
struct Restart
{
  jobs::TaskRef m_task;
  RunNumber m_run;
  WorkerIncarnation m_worker;
  /** What speaks against the worker, and the age of its last report. */
  LossRisk m_risk = LossRisk::kNone;
  Millis m_reportAge{};
  /** Time since the last run that a report showed; unset if none has been. */
  std::optional<Millis> m_withoutRun{};
  /** Its lost runs that count as evidence. */
  std::size_t m_losses = 0;
  /** Other starts of the same pass on the worker. */
  std::size_t m_startsBeside = 0;
};

/** The decisions of one placement pass. */
struct Plan
{
  std::vector<jobs::Change> m_changes;
  /** Runs to stop, so that their tasks restart on other workers. */
  std::vector<StopOrder> m_stops;
  /** What each workspace uses, including the starts of this pass. */
  workspaces::Accounts m_accounts;
  /** Workspaces with tasks that wait because they use their cap. */
  std::map<WorkspaceId, workspaces::Account> m_atCap;
  /** Services with tasks that wait because no worker has room for them. */
  std::set<ServiceId> m_fullServices;
  /** Suspects and long-running tasks that were not started; of each step that
   * found no capacity, only the first. */
  std::map<jobs::TaskRef, WaitingTask> m_waiting;
  UnplacedBySteps m_unplaced;
  std::vector<Restart> m_restarts;
  /** Load of each pool with workers or waiting jobs; empty unless jobs are
   * refused by their expected end. */
  PoolLoads m_loads;
  /** Bytes that the states of tasks of steps may take that have none yet. */
  std::size_t m_roomForTasks = std::numeric_limits<std::size_t>::max();
};

/**
 * @brief Decides which waiting task starts on which worker.
 *
 * Long-running tasks come first, those that have been without a run for longest
 * before those that never ran, on workers that show no sign of being lost, if
 * there are such. The others are ordered by share (jobs beyond
 * the share of their workspace last), then lateness (late jobs last), then
 * priority, then due time. A large task that does not fit reserves
 * the emptiest worker that may run it, so that small tasks do not starve it.
 * Suspects, tasks that may crash their workers, come last: each gets an
 * isolated run on a worker that is given no other work, on a share of the pool
 * at a time.
 *
 * No task starts that would bring its workspace over its cap.
 */
class Planner
{
public:
  explicit Planner(Mechanisms aMechanisms = {},
                   Search aSearch = Search::kIndexed,
                   jobs::MemoryLimit aMemory = {})
    : m_mechanisms(aMechanisms)
    , m_memory(aMemory)
    , m_search(aSearch)
  {
  }

  Plan ComputePlan(const fleet::State& aState,
                   const WorkerTable& aWorkers,
                   const std::set<WorkerIncarnation>& aCordoned,
                   TimePoint aNow,
                   WallTime aWall);

  /** Updates the estimates with the duration of a successful run. */
  void RecordDuration(const jobs::StepSpec& aStep, Duration aDuration)
  {
    if (m_mechanisms.Has(Mechanism::kLearnedDurations)) {
      m_durations.Record(aStep, aDuration);
    }
  }
  const DurationEstimator& EstimatedDurations() const { return m_durations; }

private:
  /** A run to be isolated, or one that is. */
  struct IsolatedRun
  {
    jobs::TaskRef m_task;
    std::vector<jobs::WorkerLoss> m_losses;
    bool m_isGang = false;
    bool m_isLongRunning = false;
    /** Until when its last run that a report showed lasted. */
    std::optional<WallTime> m_ranUntil{};

    /** Time since the task's last run that a report showed, or since its first
     * loss if none did. */
    Millis TimeWithoutRun(WallTime aWall) const;
    /** Whether it may share its worker with other isolated runs. */
    bool MayShare() const;
    /** Whether it may join others on their worker where it has waited for
     * long, and be joined. */
    bool MayJoin() const;
  };

  struct Target;
  class Pool;
  /** Number of running tasks of one step on each worker. */
  using TasksPerWorker = std::unordered_map<WorkerIncarnation, std::uint32_t>;

  /** The longest chain of dependent steps of a job, and of those that are not
   * done. */
  struct CriticalPaths
  {
    Millis m_whole{};
    Millis m_remaining{};

    void ExtendTo(const CriticalPaths& aOther)
    {
      m_whole = std::max(m_whole, aOther.m_whole);
      m_remaining = std::max(m_remaining, aOther.m_remaining);
    }
  };

  struct Candidate
  {
    const jobs::Job* m_job = nullptr;
    const fleet::QueueRoute* m_route = nullptr;
    std::uint32_t m_occurrence = 0;
    std::uint32_t m_step = 0;
    bool m_isLongRunning = false;
    bool m_isLate = false;
    WallTime m_due;
    /** For a long-running step with tasks to restart: the end of the
     * earliest last run among them, or of the first loss where none was shown.
     */
    std::optional<WallTime> m_withoutRunSince{};
    /** Null if the job belongs to no workspace. */
    workspaces::Account* m_account = nullptr;

    jobs::TaskRef TaskAt(std::uint32_t aIndex) const
    {
      return { m_job->m_id, m_occurrence, m_step, aIndex };
    }
    /** aTask: its state. */
    void AddWaiting(std::uint32_t aIndex,
                    const jobs::Task& aTask,
                    WaitReason aReason,
                    WallTime aWall,
                    Plan& aPlan) const;
    const jobs::StepSpec& Step() const { return m_job->m_spec.m_steps[m_step]; }
    /** Returns whether a task of the step may start; if not, adds the
     * workspace to those at their cap. */
    bool CheckCap(Plan& aPlan) const;
    void ChargeStart() const;
    /** Whether the states of the step's tasks exist, or there is room for them.
     */
    bool HasRoomForTasks(const Plan& aPlan) const;
    /** Called when tasks of the step are started. */
    void ChargeTasks(Plan& aPlan) const;
    /** Adds aCount waiting tasks of a long-running step, from aIndex on, to
     * those that no worker can take. */
    void AddUnplaced(std::uint32_t aIndex,
                     std::uint32_t aCount,
                     const TasksPerWorker& aTasksPerWorker,
                     Pool& aPool,
                     Plan& aPlan) const;
    /** Waiting tasks of the step, before the pass. */
    std::uint32_t CountWaiting() const;

  private:
    /** What the states of the step's tasks take, if they do not exist yet. */
    std::size_t BytesOfNewTasks() const;
  };

  using Pools = std::unordered_map<ServiceId, Pool>;

  /** The waiting suspects of a step, and how far a pass has come with them. */
  struct SuspectStep
  {
    Candidate m_candidate;
    /** Those with the fewest losses first. */
    std::vector<IsolatedRun> m_suspects;
    std::size_t m_next = 0;
    TasksPerWorker m_tasksPerWorker;
    /** No worker may take another suspect that shares its worker, or one that
     * does not. */
    std::set<bool> m_noWorkerIfShared;
  };

  /** aAssessesRisks: whether the targets' m_lossRisk is needed. */
  Pools FindTargets(const fleet::State& aState,
                    const WorkerTable& aWorkers,
                    const std::set<WorkerIncarnation>& aCordoned,
                    bool aAssessesRisks,
                    TimePoint aNow) const;
  std::vector<Candidate> FindCandidates(const fleet::State& aState,
                                        WallTime aWall) const;
  std::size_t RoomForTasks(const jobs::JobTable& aBook) const;
  /** Adds the occurrences of a repeated job that are due and not done, until
   * they have aMaxSteps steps that may start. */
  void AddDueOccurrences(const jobs::Job& aJob,
                         const fleet::QueueRoute& aRoute,
                         WallTime aWall,
                         std::size_t aMaxSteps,
                         std::vector<Candidate>& aCandidates) const;
  /** aUnbegunPaths: the critical paths of an occurrence of which nothing has
   * begun; null if they are not known. */
  void AddCandidates(const jobs::Job& aJob,
                     const fleet::QueueRoute& aRoute,
                     std::uint32_t aOccurrence,
                     WallTime aReadyAt,
                     WallTime aWall,
                     const CriticalPaths* aUnbegunPaths,
                     std::vector<Candidate>& aCandidates) const;
  void Place(const Candidate& aCandidate,
             const jobs::JobTable& aBook,
             WallTime aWall,
             Pool& aPool,
             Plan& aPlan) const;
  void ReserveEmptiest(const jobs::StepSpec& aStep,
                       const TasksPerWorker& aTasksPerWorker,
                       Pool& aPool) const;
  /** Reserves workers for aCount tasks of the step, as far as there are any
   * that will have room. Other long-running tasks may still start there. */
  void ReserveForRestarts(const jobs::StepSpec& aStep,
                          std::size_t aCount,
                          TasksPerWorker aTasksPerWorker,
                          Pool& aPool) const;
  /** aTimeSinceDelay: for a gang of suspects, the time since its retry delay
   * ended; otherwise unset. Returns false if no member was started. */
  bool PlaceGang(const Candidate& aCandidate,
                 std::optional<Millis> aTimeSinceDelay,
                 Pool& aPool,
                 Plan& aPlan) const;
  /** Lists a long-running gang that waits for room. */
  static void AddUnplacedGang(const Candidate& aCandidate,
                              const jobs::JobTable& aBook,
                              WallTime aWall,
                              Pool& aPool,
                              Plan& aPlan);
  /** Starts the members one by one; returns false if one does not fit. */
  bool PlaceMembers(const Candidate& aCandidate,
                    const std::vector<jobs::WorkerLoss>& aLosses,
                    std::optional<Millis> aTimeSinceDelay,
                    RunNumber aRun,
                    Pool& aPool,
                    Plan& aPlan,
                    std::vector<jobs::Change>& aStarts) const;
  /** Waiting suspects of the step, those with the fewest losses first. */
  static std::vector<IsolatedRun> FindSuspects(const Candidate& aCandidate);
  static std::vector<SuspectStep> OrderSuspects(
    std::vector<Candidate>::const_iterator aFrom,
    std::vector<Candidate>::const_iterator aTo,
    const jobs::JobTable& aBook);
  /** Starts isolated runs of the suspects whose retry delay has ended: in turn,
   * one of each step, until no further one may start. */
  void PlaceSuspects(
    std::vector<SuspectStep> aSteps,
    const jobs::JobTable& aBook,
    const std::function<LossActivity(const ServiceId&)>& aAssessLosses,
    WallTime aWall,
    Pools& aPools,
    Plan& aPlan) const;
  /** Starts the step's next isolated run, and those that share a worker up to
   * it. Returns false if there is none. */
  bool PlaceNextSuspect(SuspectStep& aStep,
                        const jobs::JobTable& aBook,
                        LossActivity aActivity,
                        WallTime aWall,
                        IsolationQuota& aQuota,
                        Pool& aPool,
                        Plan& aPlan) const;
  /** Returns why the suspect was not started; unset if it was. */
  std::optional<WaitingTask> PlaceSuspect(SuspectStep& aStep,
                                          const IsolatedRun& aRun,
                                          LossActivity aActivity,
                                          WallTime aWall,
                                          IsolationQuota& aQuota,
                                          Pool& aPool,
                                          Plan& aPlan) const;
  std::optional<WaitingTask> PlaceSuspectGang(const Candidate& aCandidate,
                                              const IsolatedRun& aRun,
                                              Millis aTimeSinceDelay,
                                              IsolationQuota& aQuota,
                                              Pool& aPool,
                                              Plan& aPlan) const;
  Target* ChooseForSuspect(SuspectStep& aStep,
                           const IsolatedRun& aRun,
                           Millis aTimeSinceDelay,
                           Pool& aPool) const;
  static void StartIsolatedRun(SuspectStep& aStep,
                               const IsolatedRun& aRun,
                               Target& aTarget,
                               Pool& aPool,
                               Plan& aPlan);
  static bool MustAwaitQuietPeriod(const IsolatedRun& aRun,
                                   LossActivity aActivity,
                                   WallTime aWall);
  void FindIsolatedRuns(const Worker& aWorker,
                        const std::vector<jobs::TaskRef>& aPlaced,
                        const jobs::JobTable& aBook,
                        Target& aTarget) const;
  /** The worker with the fewest runs that the run may join; null if there is
   * none. */
  Target* ChooseToJoin(const IsolatedRun& aRun,
                       const jobs::StepSpec& aStep,
                       const TasksPerWorker& aTasksPerWorker,
                       Pool& aPool) const;
  /** Null if no worker may take the task. aTimeSinceDelay: time since its retry
   * delay ended. */
  Target* ChooseForIsolatedRun(const IsolatedRun& aRun,
                               const jobs::StepSpec& aStep,
                               const TasksPerWorker& aTasksPerWorker,
                               Millis aTimeSinceDelay,
                               Pool& aPool) const;
  /** Whether the worker could run a task of the step if it were empty. */
  static bool IsEligible(const jobs::StepSpec& aStep,
                         const TasksPerWorker& aTasksPerWorker,
                         const Target& aTarget);
  /** Workers of the pool with isolated runs, shared or not. */
  static std::size_t CountIsolatedWorkers(const Pool& aPool, bool aIsShared);
  static std::size_t MaxIsolatedWorkers(const Pool& aPool);
  /** Whether the step has suspects that may start and do not share a worker. */
  static bool NeedsWorkerOfItsOwn(const SuspectStep& aStep);
  /** The quota of a pool with the isolated runs that go on. */
  static IsolationQuota MakeQuota(const Pool& aPool);
  /** Returns why the run may not be isolated now; unset if it may. */
  static std::optional<WaitingTask> FindIsolationLimit(
    const IsolatedRun& aRun,
    const IsolationQuota& aQuota);
  /** Time since the retry delay before the next isolated run ended; unset
   * while it lasts. */
  static std::optional<Millis> TimeSinceRetryDelay(const IsolatedRun& aRun,
                                                   WallTime aWall);
  /** Not negative; unset if aTime is. */
  static std::optional<Millis> TimeSince(std::optional<WallTime> aTime,
                                         WallTime aWall);
  static std::uint32_t TasksOnWorker(const WorkerIncarnation& aWorker,
                                     const TasksPerWorker& aTasksPerWorker);
  /** Whether the run restarts a long-running task. */
  static bool IsRestart(const jobs::StepSpec& aStep, RunNumber aRun);
  /** aTasksOnWorker: running tasks of the step on this worker. */
  static bool IsAllowed(const jobs::StepSpec& aStep,
                        std::uint32_t aTasksOnWorker,
                        const Target& aTarget);
  /** Null if no worker may take a task of the step. */
  Target* Choose(const jobs::StepSpec& aStep,
                 const TasksPerWorker& aTasksPerWorker,
                 Pool& aPool) const;
  Target* ChooseByScan(const jobs::StepSpec& aStep,
                       const TasksPerWorker& aTasksPerWorker,
                       Pool& aPool) const;
  static TasksPerWorker CountTasksPerWorker(
    const std::vector<jobs::Task>& aTasks);
  static bool MayMoveAway(const jobs::TaskRef& aTask,
                          const fleet::State& aState,
                          const WorkerTable& aWorkers,
                          const Worker& aFrom,
                          TimePoint aNow,
                          const Plan& aPlan);
  void MoveLongRunningTasks(const fleet::State& aState,
                            const WorkerTable& aWorkers,
                            const std::set<WorkerIncarnation>& aCordoned,
                            TimePoint aNow,
                            Pools& aPools,
                            Plan& aPlan) const;
  CriticalPaths FindCriticalPaths(const jobs::Job& aJob,
                                  const jobs::Occurrence* aProgress) const;
  /** The earliest time at which the last run, or else the first loss, of a
   * waiting task of the step ended; unset if none has had either. */
  static std::optional<WallTime> FindEarliestEnd(const jobs::StepRun& aStep);
  static std::vector<Candidate> SortCandidates(
    const std::vector<Candidate>& aCandidates);
  /** Lists the starts in the plan that restart long-running tasks. */
  static void ListRestarts(const jobs::JobTable& aBook,
                           const WorkerTable& aWorkers,
                           TimePoint aNow,
                           WallTime aWall,
                           Plan& aPlan);
  /** Sums what the pass leaves waiting, and the capacity of each pool. */
  void SumLoads(const std::vector<Candidate>& aCandidates,
                const Pools& aPools,
                const jobs::JobTable& aBook,
                Plan& aPlan) const;

  Mechanisms m_mechanisms;
  jobs::MemoryLimit m_memory;
  Search m_search = Search::kIndexed;
  placement::DurationEstimator m_durations;
};

} // namespace bamboostile::placement
