#pragma once

#include "job_fixtures.h"

#include "bamboostile/placement/capacity.h"

#include <random>

/** One pool of workers and its leader, in virtual time. */
namespace simulated_pool {

using namespace bamboostile;

/** Payloads of jobs whose first task, or each task, crashes its worker. */
constexpr const char* kCrashFirst = "crash first";
constexpr const char* kCrashAll = "crash all";

struct PoolOptions
{
  std::uint32_t m_workers = 12;
  /** Instances in standby, which the leader moves in and out; with any, the
   * others can be moved out as well. */
  std::uint32_t m_spares = 0;
  jobs::Resources m_capacity{ 16'000, 32'000, 0 };
  /** From a crash to the first report of the next life. */
  Millis m_restartTakes{ 2'500 };
  /** From the start of a task that crashes its worker to the crash. */
  Millis m_crashAfter{ 10 };
  /** Crashes under whatever it starts. */
  std::optional<std::uint32_t> m_faultyWorker;
  /** A crashed worker is back under the id that it had. */
  bool m_keepsIds = false;
  /** Longest time from a stop to the end of the run. */
  Millis m_stopTakes{};
  /** Jobs that have ended are forgotten after that. */
  std::optional<Millis> m_keepEnded;
  unsigned m_seed = 1;
};

struct TaskRecord
{
  std::uint32_t m_starts = 0;
  /** Workers that crashed because of it. */
  std::uint32_t m_crashes = 0;
  std::uint32_t m_startsAfterThreeCrashes = 0;
  /** Starts while another run of it was under way, no gang. */
  std::uint32_t m_overlaps = 0;
  /** A worker was told that its end as done is on record. */
  bool m_isDoneAcked = false;
  std::uint32_t m_startsAfterDone = 0;
};

/**
 * @brief Workers that report, obey, crash and come back, and a leader that
 * places tasks on them, without threads or sockets.
 *
 * Each step of time takes all due reports, commits, plans and answers, as a
 * leader does that is not full.
 */
class SimulatedPool
{
public:
  explicit SimulatedPool(PoolOptions aOptions = {});

  void Submit(const std::string& aJob, jobs::JobSpec aSpec);
  void Cancel(const std::string& aJob);
  void Pass(Millis aTime);
  /** Silent from now on; a new life reports after aDown. */
  void CrashWorker(std::uint32_t aWorker, Millis aDown);
  /** Unreachable; the same life reports again after aTime. */
  void CutWorker(std::uint32_t aWorker, Millis aTime);
  void Resize(std::uint32_t aWorker, jobs::Resources aCapacity);
  /** A copy of its latest report arrives after aDelay; nobody reads the answer.
   */
  void DelayReport(std::uint32_t aWorker, Millis aDelay);
  /** The next leader begins after aGap from the snapshot of the last one. */
  void ReplaceLeader(Millis aGap);

  jobs::JobState StateOf(const std::string& aJob) const;
  const jobs::Job& JobOf(const std::string& aJob) const;
  const TaskRecord& RecordOf(const jobs::TaskRef& aTask);
  /** Over all tasks. */
  std::uint32_t MostStartsAfterThreeCrashes() const;
  /** Runs beside another run, or after an acknowledged end as done. */
  std::uint32_t CountTwice() const;
  std::uint32_t CrashesByTasks() const { return m_crashesByTasks; }
  std::size_t CountJobs(jobs::JobState aState) const;
  /** Whether all workers are within what they report. */
  bool IsWithinCapacity() const;
  /** Starts that brought their worker over what it reports. */
  std::uint32_t CountStartsOverRoom() const { return m_startsOverRoom; }
  std::uint32_t RunningOn(std::uint32_t aWorker) const;
  Millis Now() const { return m_now; }

private:
  struct Run
  {
    placement::StartOrder m_order;
    Millis m_since;
    Millis m_takes;
    /** Of a gang: all of its members have been present. */
    bool m_wasTogether = false;
    /** Its job may be forgotten before it ends. */
    jobs::StepSpec m_step;
    std::optional<Millis> m_stopAt;
  };

  struct SimulatedWorker
  {
    std::string m_instance;
    std::uint32_t m_life = 0;
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
    placement::WorkerReport m_latest;
  };

  struct LateReport
  {
    Millis m_at;
    placement::WorkerReport m_report;
  };

  void Step();
  void Live(SimulatedWorker& aWorker);
  WorkerLife LifeOf(const SimulatedWorker& aWorker) const;
  std::int64_t NextStart(Millis aAt);
  void Crash(SimulatedWorker& aWorker, Millis aDown);
  void BreakGangs(const std::vector<Run>& aLost);
  bool IsTogether(const Run& aRun) const;
  void EndRuns(SimulatedWorker& aWorker);
  void AddEnd(SimulatedWorker& aWorker, const Run& aRun, jobs::RunEnd aHow);
  placement::WorkerReport ReportOf(SimulatedWorker& aWorker) const;
  placement::RunReport Show(const Run& aRun) const;
  void Lead(const std::vector<SimulatedWorker*>& aReporting);
  void MoveInstances(std::vector<jobs::EndRun>& aEnds);
  void ListStandby();
  std::vector<placement::WorkerReport> TakeLate();
  bool IsRunning(const jobs::TaskRef& aTask) const;
  static placement::RoomUse UseOf(const SimulatedWorker& aWorker);
  void Obey(SimulatedWorker& aWorker, const placement::Orders& aOrders);
  Millis StopTime();
  bool IsFaulty(const SimulatedWorker& aWorker) const;
  void Start(SimulatedWorker& aWorker, const placement::StartOrder& aOrder);
  TimePoint Time() const { return TimePoint{ m_now }; }
  WallTime Wall() const { return WallTime{ m_now.count() }; }

  PoolOptions m_options;
  std::minstd_rand m_random;
  job_fixtures::Fleet m_fleet;
  Millis m_now{ 10'000 };
  std::vector<SimulatedWorker> m_workers;
  std::vector<LateReport> m_late;
  std::optional<placement::WorkerTable> m_table;
  placement::Planner m_planner;
  placement::CapacityPlanner m_capacity;
  placement::OrderRecord m_moveRecord{ Millis{ 3000 } };
  std::set<WorkerLife> m_cordoned;
  Millis m_nextMoves{};
  Millis m_leaderFrom{};
  Millis m_nextPass{};
  std::map<jobs::TaskRef, TaskRecord> m_records;
  std::uint32_t m_crashesByTasks = 0;
  std::uint32_t m_startsOverRoom = 0;
};

} // namespace simulated_pool
