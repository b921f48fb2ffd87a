#pragma once

#include "bamboostile/fleet/state.h"
#include "bamboostile/placement/durations.h"
#include "bamboostile/placement/mechanisms.h"
#include "bamboostile/placement/workers.h"

#include <unordered_map>

namespace bamboostile::placement {

/** What the planner wants done now. */
struct Plan
{
  std::vector<jobs::Change> m_changes;
  /** Runs to be stopped, so that they go on elsewhere. */
  std::vector<StopOrder> m_stops;
};

/**
 * @brief Decides which waiting task starts on which worker.
 *
 * Long-running tasks come first, then by priority, then what can still be in
 * time by due time, then what is late. One task that finds no room keeps the
 * emptiest worker free for itself, so that large tasks are not starved by
 * small ones. Tasks that may crash their workers come last, each tried on a
 * worker to which nothing else is started, on a share of the pool at a time.
 */
class Planner
{
public:
  explicit Planner(Mechanisms aMechanisms = {})
    : m_mechanisms(aMechanisms)
  {
  }

  Plan Next(const fleet::State& aState,
            const WorkerTable& aWorkers,
            const std::set<WorkerLife>& aCordoned,
            TimePoint aNow,
            WallTime aWall);

  /** A run was done after this time; estimates learn from it. */
  void Learn(const jobs::StepSpec& aStep, Duration aTook)
  {
    if (m_mechanisms.Has(Mechanism::kLearnedDurations)) {
      m_durations.Learn(aStep, aTook);
    }
  }
  const Durations& EstimatedDurations() const { return m_durations; }

private:
  struct Room
  {
    const Worker* m_worker = nullptr;
    std::int64_t m_cpu = 0;
    std::int64_t m_memory = 0;
    std::int64_t m_accelerators = 0;
    bool m_serves = false;
    bool m_hostsLongRunning = false;
    bool m_hostsGang = false;
    std::uint32_t m_runs = 0;
    /** Starts that no report has shown yet. */
    std::uint32_t m_unshown = 0;
    /** Whose task is on trial here. */
    const jobs::Job* m_trialOf = nullptr;
    /** All on trial here may be tried together. */
    bool m_isJoint = false;
    /** Free for a task that has found no room yet. */
    bool m_kept = false;
    /** Its worker may be gone: it counts, but gets nothing new. */
    bool m_isInDoubt = false;

    bool Fits(const jobs::StepSpec& aStep) const;
    void Take(const jobs::StepSpec& aStep);
    bool IsOpenToTrialOf(const jobs::Job& aJob, bool aIsJoint) const;
    void AddTrialOf(const jobs::Job& aJob, bool aIsJoint);
  };

  struct Candidate
  {
    const jobs::Job* m_job = nullptr;
    const fleet::QueueRoute* m_route = nullptr;
    std::uint32_t m_occurrence = 0;
    std::uint32_t m_step = 0;
    bool m_isLongRunning = false;
    bool m_late = false;
    WallTime m_due;
  };

  /** A task whose next run is a trial. */
  struct Suspect
  {
    std::uint32_t m_index = 0;
    std::vector<jobs::WorkerLoss> m_losses;
  };

  using Pool = std::vector<Room>;
  /** Running tasks of one step by worker. */
  using OnWorkers = std::unordered_map<WorkerLife, std::uint32_t>;
  using Pools = std::unordered_map<ServiceId, Pool>;

  Pools FindRoom(const fleet::State& aState,
                 const WorkerTable& aWorkers,
                 const std::set<WorkerLife>& aCordoned,
                 TimePoint aNow) const;
  std::vector<Candidate> FindCandidates(const fleet::State& aState,
                                        WallTime aWall) const;
  void AddCandidates(const jobs::Job& aJob,
                     const fleet::QueueRoute& aRoute,
                     std::uint32_t aOccurrence,
                     WallTime aBegan,
                     WallTime aWall,
                     std::vector<Candidate>& aTo) const;
  void Place(const Candidate& aCandidate, Pool& aPool, Plan& aPlan) const;
  void KeepEmptiest(const jobs::StepSpec& aStep, Pool& aPool) const;
  /** aWaited: set for a gang on trial, since its delay was over. */
  void PlaceGang(const Candidate& aCandidate,
                 std::optional<Millis> aWaited,
                 Pool& aPool,
                 Plan& aPlan) const;
  /** Those of the step that wait, the fewest losses first. */
  static std::vector<Suspect> FindSuspects(const Candidate& aCandidate);
  static std::vector<Candidate> OrderForTrials(
    std::vector<Candidate>::const_iterator aFrom,
    std::vector<Candidate>::const_iterator aTo,
    const jobs::Book& aBook);
  /** Starts a suspect of the step whose delay is over, on trial; those that
   * may be tried together, all at once. */
  void PlaceTrial(const Candidate& aCandidate,
                  bool aIsCalm,
                  WallTime aWall,
                  Pool& aPool,
                  Plan& aPlan) const;
  void FindTrials(const Worker& aWorker,
                  const std::vector<jobs::TaskRef>& aPlaced,
                  const jobs::Book& aBook,
                  Room& aRoom) const;
  /** Null where no worker may take it; aWaited: since its delay was over. */
  Room* ChooseForTrial(const jobs::Job& aJob,
                       const jobs::StepSpec& aStep,
                       const std::vector<jobs::WorkerLoss>& aLosses,
                       const OnWorkers& aOnWorker,
                       Millis aWaited,
                       bool aIsJoint,
                       Pool& aPool) const;
  /** Whether the worker may run the step once it has room. */
  static bool MayEverRun(const jobs::StepSpec& aStep,
                         const OnWorkers& aOnWorker,
                         const Room& aRoom);
  /** Workers of the pool on which suspects are on trial, together or not. */
  static std::size_t CountTrials(const Pool& aPool, bool aIsJoint);
  static std::size_t MostTrials(const Pool& aPool);
  static bool MayTry(const jobs::Job& aJob, bool aIsJoint, const Pool& aPool);
  /** Since the delay of the next trial was over; unset before. */
  static std::optional<Millis> WaitedForTrial(
    const jobs::TaskRef& aTask,
    const std::vector<jobs::WorkerLoss>& aLosses,
    WallTime aWall);
  static std::uint32_t CountOn(const WorkerLife& aWorker,
                               const OnWorkers& aOnWorkers);
  /** aOnWorker: tasks of the step that run there. */
  static bool IsAllowed(const jobs::StepSpec& aStep,
                        std::uint32_t aOnWorker,
                        const Room& aRoom);
  /** Null where no worker may take a task of the step. */
  Room* Choose(const jobs::StepSpec& aStep,
               const OnWorkers& aOnWorker,
               Pool& aPool) const;
  static OnWorkers CountOnWorkers(const std::vector<jobs::Task>& aTasks);
  static bool MayLeave(const jobs::TaskRef& aTask,
                       const fleet::State& aState,
                       const WorkerTable& aWorkers,
                       const Worker& aFrom,
                       TimePoint aNow,
                       const Plan& aPlan);
  void MoveLongRunning(const fleet::State& aState,
                       const WorkerTable& aWorkers,
                       const std::set<WorkerLife>& aCordoned,
                       TimePoint aNow,
                       Pools& aPools,
                       Plan& aPlan) const;
  Millis LongestChain(const jobs::Job& aJob,
                      const jobs::Occurrence* aProgress) const;

  Mechanisms m_mechanisms;
  placement::Durations m_durations;
};

} // namespace bamboostile::placement
