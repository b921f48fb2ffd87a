#pragma once

#include "failed_requests.h"
#include "free_cpu_index.h"

#include "bamboostile/placement/planner.h"

namespace bamboostile::placement {

/** The free capacity of a worker and what the worker hosts. */
struct Planner::Target
{
  const Worker* m_worker = nullptr;
  std::int64_t m_freeCpuMillis = 0;
  std::int64_t m_freeMemoryMb = 0;
  std::int64_t m_freeAccelerators = 0;
  /** Resources that long-running tasks reserve. */
  ReservedCapacity m_longRunningUse{};
  /** The same with those that wait for this worker's other tasks to end. */
  std::optional<ReservedCapacity> m_expectedUse{};
  /** What the runs of the last report reserve; computed at its first use. */
  std::optional<ReservedCapacity> m_reportedUse{};
  bool m_hostsLatencySensitive = false;
  bool m_hostsLongRunning = false;
  bool m_hostsGang = false;
  std::uint32_t m_runs = 0;
  /** Starts sent but not yet confirmed by a report. */
  std::uint32_t m_unconfirmed = 0;
  /** The task that has an isolated run here, or one of them; unset if none
   * has. */
  std::optional<jobs::TaskRef> m_isolatedTask{};
  /** Isolated runs of several tasks may share this worker. */
  bool m_isShared = false;
  /** The isolated run is of a task with a proof. */
  bool m_hasProof = false;
  /** All isolated runs here may be joined by others. */
  bool m_isJoinable = true;
  /** Reserved for a large task that does not fit anywhere yet. */
  bool m_isReserved = false;
  /** Reserved for a long-running task that has lost its run. */
  bool m_isReservedForRestart = false;
  /** No report has shown yet that a long-running task has restarted here. */
  bool m_awaitsRestart = false;
  /** An order may still end the worker, and the loss would prove nothing. */
  bool m_mayBeOrdered = false;
  /** The worker may be lost: it counts in the pool but gets no new tasks. */
  bool m_isUnresponsive = false;
  /** The worker has ignored starts and gets one at a time. */
  bool m_isOnProbation = false;
  /** Assessed only in passes with long-running tasks to place. */
  LossRisk m_lossRisk = LossRisk::kNone;

  bool Fits(const jobs::StepSpec& aStep) const;
  /** Whether a task of the step, other than in isolation, may start here. */
  bool MayStart(const jobs::StepSpec& aStep) const;
  /** Whether a task of the step would fit if only long-running tasks ran here.
   */
  bool FitsBesideLongRunning(const jobs::StepSpec& aStep) const;
  /** How many tasks of the step, at most aLimit, would fit then. */
  std::size_t CountFitting(const jobs::StepSpec& aStep,
                           std::uint32_t aLimit) const;
  /** Whether a task of the step would fit if only the runs of the worker's last
   * report ran here. */
  bool FitsByReport(const jobs::StepSpec& aStep, const jobs::JobTable& aBook);
  /** Whether tasks that are not isolated may be started here, unless it is
   * reserved. */
  bool IsOpen() const
  {
    return !m_isolatedTask && !m_isUnresponsive && !m_awaitsRestart &&
           !AwaitsProbe();
  }
  /** The one start that a worker on probation gets is in the plan. */
  bool AwaitsProbe() const { return m_isOnProbation && m_unconfirmed > 0; }
  void Allocate(const jobs::StepSpec& aStep);
  /** Takes what the tasks reserve that the state has on a worker without any
   * others. */
  void Allocate(const jobs::WorkerUse& aUse);
  bool AcceptsIsolatedRunOf(const IsolatedRun& aRun) const;
  bool MayBeJoinedBy(const IsolatedRun& aRun) const;
  void AddIsolatedRun(const IsolatedRun& aRun);
  void AddTo(PoolLoad& aLoad) const;
};

/**
 * @brief The targets of one service, in the order of their workers' ids.
 *
 * Lives for one pass. Changes of a target go through the pool, which keeps its
 * index up to date.
 */
class Planner::Pool
{
public:
  void Add(Target aTarget) { m_targets.push_back(std::move(aTarget)); }
  std::vector<Target>& Targets() { return m_targets; }
  const std::vector<Target>& Targets() const { return m_targets; }

  /** Takes capacity for a task that is to be started there later. */
  void Allocate(Target& aTarget, const jobs::StepSpec& aStep);
  /** Takes capacity for a run whose start is in the plan. */
  void Start(Target& aTarget, const jobs::StepSpec& aStep, RunNumber aRun);
  void AddIsolatedRun(Target& aTarget, const IsolatedRun& aRun);
  void Reserve(Target& aTarget);
  void ReserveForRestart(Target& aTarget);

  /** The target with the least free CPU that may take a task of the step, if
   * possible in the rack of its data; null if there is none. */
  Target* FindTightest(const jobs::StepSpec& aStep,
                       const TasksPerWorker& aTasksPerWorker);

  /** Whether the pass has shown that no target may take a task of the step. */
  bool IsKnownToFail(const jobs::StepSpec& aStep) const
  {
    return m_failed.Covers(aStep);
  }
  /** Called when no target could take a task of the step, for other reasons
   * than its limit of tasks on one worker. */
  void RecordFailure(const jobs::StepSpec& aStep);

  /** Counts a worker of the service that gets no tasks in this pass. */
  void AddExcluded() { ++m_excluded; }
  WorkerCensus CountWorkers(const jobs::StepSpec& aStep,
                            const TasksPerWorker& aTasksPerWorker,
                            const jobs::JobTable& aBook);

  /** Counts the tasks, of aCount that wait, for which no target will have
   * capacity beside its long-running tasks. Those for which one will have count
   * against it in later calls. */
  std::uint32_t CountWithoutRoom(const jobs::StepSpec& aStep,
                                 std::uint32_t aCount,
                                 const TasksPerWorker& aTasksPerWorker);

  std::size_t CountReserved() const { return m_reserved; }
  /** The open target with the most free CPU, the first among equals, that is
   * not reserved and may take a task of the step once others have ended; null
   * if there is none. */
  Target* FindEmptiest(const jobs::StepSpec& aStep,
                       const TasksPerWorker& aTasksPerWorker);

  /** From here, changes are kept until Commit() or undone by Rollback(). */
  void BeginTrial() { m_isTrial = true; }
  void Commit();
  void Rollback();

private:
  struct SavedTarget
  {
    std::size_t m_position = 0;
    Target m_target;
  };

  /** Called before each change of a target. */
  void BeforeChange(const Target& aTarget);
  /** Called after each change of a target. */
  void AfterChange(std::size_t aPosition);
  std::size_t PositionOf(const Target& aTarget) const
  {
    return static_cast<std::size_t>(&aTarget - m_targets.data());
  }
  void BuildIndex();
  FreeCpuIndex* FindRack(const RackId& aRack);
  Target* FindTightest(const FreeCpuIndex& aIndex,
                       const jobs::StepSpec& aStep,
                       const TasksPerWorker& aTasksPerWorker);
  FreeCpuIndex::Entry EntryOf(std::size_t aPosition, std::int64_t aCpu) const
  {
    return { aCpu, static_cast<std::uint32_t>(aPosition) };
  }

  std::vector<Target> m_targets;
  FailedRequests m_failed;
  std::size_t m_reserved = 0;
  std::size_t m_excluded = 0;
  /** A heap of the targets that are not reserved, the emptiest on top, built at
   * its first use. An entry may show more free CPU than its target has by now.
   */
  std::vector<FreeCpuIndex::Entry> m_byEmptiest;
  bool m_isSortedByEmptiest = false;
  bool m_isTrial = false;
  /** The changed targets of a trial as they were, the latest last. */
  std::vector<SavedTarget> m_saved;

  /** The indexes contain the open targets, with those that are reserved: they
   * are few, and have the most free CPU, so that a search seldom comes to them.
   * The indexes are built at their first use,
   * as many passes look for nothing in some pools. */
  bool m_isIndexed = false;
  FreeCpuIndex m_all;
  std::vector<FreeCpuIndex> m_racks;
  std::unordered_map<RackId, std::size_t> m_rackNumbers;
  /** By position: the number of the rack, and the free CPU in the indexes,
   * unset if the target is in none. */
  std::vector<std::size_t> m_rackOf;
  std::vector<std::optional<std::int64_t>> m_indexedCpu;
};

} // namespace bamboostile::placement
