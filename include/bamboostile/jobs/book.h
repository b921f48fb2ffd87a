#pragma once

#include "bamboostile/jobs/model.h"

#include <functional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <variant>

namespace bamboostile::jobs {

struct Submit
{
  JobId m_job;
  QueueId m_queue;
  JobSpec m_spec;
  WallTime m_at;
  /** Empty if no key was needed. */
  WorkspaceId m_workspace{};
  bool m_isBeyondShare = false;
};

struct Cancel
{
  JobId m_job;
  WallTime m_at;
};

struct StartRun
{
  TaskRef m_task;
  RunNumber m_run;
  WorkerIncarnation m_worker;
};

struct EndRun
{
  TaskRef m_task;
  RunNumber m_run;
  RunEnd m_endReason = RunEnd::kDone;
  std::string m_checkpoint;
  WallTime m_at;
  /** Set if the run ended because its worker was lost. */
  CrashEvidence m_evidence = CrashEvidence::kNone;
  InstanceId m_lostInstance{};
  /** The run was reported as done after the system had ended it. */
  bool m_isLate = false;
  /** Time of the last report that showed the run; unset if none did, or if that
   * is unknown. */
  std::optional<WallTime> m_ranUntil{};
};

/** Marks a long-running task's run as stable: it has run for so long that the
 * loss of its worker says nothing about the task. */
struct MarkRunStable
{
  TaskRef m_task;
  RunNumber m_run;
};

/** Sets the worker incarnation of a run that an earlier version recorded with
 * the worker's id only. */
struct SetRunIncarnation
{
  TaskRef m_task;
  RunNumber m_run;
  WorkerIncarnation m_worker;
};

/** Fails a job that cannot be completed. */
struct FailJob
{
  JobId m_job;
  std::string m_reason;
  WallTime m_at;
};

/** Removes jobs that ended before the given time; callers can no longer query
 * them. */
struct RemoveEndedJobs
{
  WallTime m_before;
};

/** Removes a loss from the evidence against a task: the worker had not crashed.
 * Proposed only to groups whose replicas all know it. */
struct RetractLoss
{
  TaskRef m_task;
  RunNumber m_run;
};

using Change = std::variant<Submit,
                            Cancel,
                            StartRun,
                            EndRun,
                            FailJob,
                            RemoveEndedJobs,
                            MarkRunStable,
                            SetRunIncarnation,
                            RetractLoss>;

/** The changes of one log entry, made durable by a single disk sync. */
struct Batch
{
  std::vector<Change> m_changes;
};

/** Outcome of the first Submit or Cancel in a batch. */
enum class CallOutcome : std::uint8_t
{
  kNone,
  kAccepted,
  /** A job with this id already exists. */
  kDuplicate,
  kUnknownJob,
  kCancelled,
};

struct BatchReply
{
  CallOutcome m_outcome = CallOutcome::kNone;
};

/** Returns how often a task of the queue may fail. Called while a batch is
 * applied. */
using AttemptLimit = std::function<std::uint32_t(const QueueId&)>;

/** What the tasks of a worker reserve, and how many of each kind there are. */
struct WorkerUse
{
  std::int64_t m_cpuMillis = 0;
  std::int64_t m_memoryMb = 0;
  std::int64_t m_accelerators = 0;
  std::int64_t m_longRunningCpuMillis = 0;
  std::int64_t m_longRunningMemoryMb = 0;
  std::int64_t m_longRunningAccelerators = 0;
  std::uint32_t m_runs = 0;
  std::uint32_t m_longRunning = 0;
  std::uint32_t m_inGang = 0;
  std::uint32_t m_latencySensitive = 0;

  bool operator==(const WorkerUse&) const = default;
};

/** What the running tasks of a workspace need. */
struct WorkspaceUse
{
  workspaces::Resources m_resources;
  std::uint32_t m_runs = 0;

  bool operator==(const WorkspaceUse&) const = default;
};

/**
 * @brief The replicated state of jobs, tasks and runs.
 *
 * Deterministic: replicas that applied the same batches have equal state. A
 * change that no longer applies (a start of a running task, an end of an
 * earlier run) is ignored, so changes may be proposed from a stale state.
 */
class JobTable
{
public:
  JobTable() = default;
  JobTable(const JobTable& aOther);
  JobTable& operator=(const JobTable& aOther);
  JobTable(JobTable&&) = default;
  JobTable& operator=(JobTable&&) = default;
  ~JobTable() = default;

  BatchReply Apply(const Batch& aBatch, const AttemptLimit& aLimit);

  /** Stops keeping occurrences that are done. Called at the same position of
   * the log on all replicas. */
  void ForgetDoneOccurrences();

  /** Estimated size in memory of all jobs, including those that have ended and
   * can still be queried; in bytes. The same on all replicas. */
  std::size_t Bytes() const { return m_bytes; }
  /** What a job adds to Bytes() when it is accepted. */
  static std::size_t BytesOf(const JobId& aJob, const JobSpec& aSpec);
  /** What a step adds to Bytes() when its first task is started. aIdBytes: size
   * of the job's id. */
  static std::size_t BytesOfTasks(std::size_t aIdBytes, std::uint32_t aCount);

  const Job* Find(const JobId& aId) const;
  /** Jobs that are active or still have running tasks, in order of
   * acceptance. */
  const std::map<std::uint64_t, JobId>& OpenJobs() const { return m_open; }
  /** The same jobs in the same order, without a lookup for each. The pointers
   * are valid until the table changes. */
  const std::vector<const Job*>& OpenJobsInOrder() const { return m_openJobs; }
  const std::unordered_map<JobId, Job>& Jobs() const { return m_jobs; }
  /** Tasks that are running, or may be running, by worker incarnation. */
  const std::unordered_map<WorkerIncarnation, std::vector<TaskRef>>&
  TasksByWorker() const
  {
    return m_tasksByWorker;
  }
  /** The sums over TasksByWorker(), of each worker and of each workspace that
   * has running tasks. */
  const std::unordered_map<WorkerIncarnation, WorkerUse>& UseByWorker() const
  {
    return m_useByWorker;
  }
  const std::unordered_map<WorkspaceId, WorkspaceUse>& UseByWorkspace() const
  {
    return m_useByWorkspace;
  }
  /** Null for a worker without tasks. */
  const WorkerUse* FindUse(const WorkerIncarnation& aWorker) const;
  /** Open jobs, in order of acceptance, except those of which no task may be
   * started: their tasks are running, done, or wait for earlier steps. Repeated
   * jobs are among them while they are active. */
  const std::map<std::uint64_t, JobId>& StartableJobs() const
  {
    return m_startable;
  }
  const Task* FindTask(const TaskRef& aTask) const;
  /** The worker losses of an existing task; for a gang, those of all its
   * members. */
  std::vector<WorkerLoss> LossesOf(const TaskRef& aTask) const;
  /** Returns what the next run of the task starts from: its own checkpoint, or
   * one for all members of its gang. Empty if there is none. */
  const std::string& CheckpointOf(const TaskRef& aTask) const;
  /** Whether the system has ended this run while its task is not done yet. A
   * late report that the run is done then completes the task, whether or not
   * the task has been started again. */
  bool AcceptsLateEnd(const TaskRef& aTask, RunNumber aRun) const;
  bool AreInSameGang(const TaskRef& aLeft, const TaskRef& aRight) const;
  /** Tasks of active jobs that were running on workers that were lost. */
  const std::set<TaskRef>& TasksWithLosses() const { return m_tasksWithLosses; }
  /** Returns a retraction of each loss of the incarnation that counts. */
  std::vector<RetractLoss> LossesOn(const WorkerIncarnation& aWorker) const;
  bool HasLosses(const JobId& aJob) const;
  /** Whether any task's next or current run is an isolated run. */
  bool HasSuspects() const;
  /** Number of accepted jobs without a due time of which no task has been
   * placed. */
  std::uint64_t PendingJobs(const QueueId& aQueue) const;

  /** Whether all steps that this step depends on are done. */
  static bool AreDependenciesDone(const Occurrence& aOccurrence,
                                  const StepSpec& aStep);
  static Occurrence MakeOccurrence(const JobSpec& aSpec);

private:
  friend struct JobTableCodec;

  CallOutcome ApplyChange(const Submit& aSubmit, const AttemptLimit&);
  CallOutcome ApplyChange(const Cancel& aCancel, const AttemptLimit&);
  CallOutcome ApplyChange(const StartRun& aStart, const AttemptLimit&);
  CallOutcome ApplyChange(const EndRun& aEnd, const AttemptLimit& aLimit);
  CallOutcome ApplyChange(const FailJob& aFail, const AttemptLimit&);
  CallOutcome ApplyChange(const RemoveEndedJobs& aRemoval, const AttemptLimit&);
  CallOutcome ApplyChange(const MarkRunStable& aMark, const AttemptLimit&);
  CallOutcome ApplyChange(const SetRunIncarnation& aChange,
                          const AttemptLimit&);
  CallOutcome ApplyChange(const RetractLoss& aRetraction, const AttemptLimit&);

  Job* FindJob(const JobId& aId);
  Task* FindMutableTask(const TaskRef& aTask);
  void AddToWorker(const WorkerIncarnation& aWorker,
                   const Job& aJob,
                   const TaskRef& aTask);
  void RemoveFromWorker(const WorkerIncarnation& aWorker,
                        const Job& aJob,
                        const TaskRef& aTask);
  /** Adds a running task aTimes times to what is in use; -1 removes it. */
  void AddUse(const WorkerIncarnation& aWorker,
              const Job& aJob,
              const StepSpec& aStep,
              int aTimes);
  static bool IsStartable(const Job& aJob);
  /** Called after each change of the job's tasks or state. */
  void UpdateStartable(const Job& aJob);
  void Finish(Job& aJob, JobState aState, WallTime aAt);
  void MarkStarted(Job& aJob);
  void MarkPendingIfNoProgress(Job& aJob);
  void CloseIfIdle(Job& aJob);
  /** Returns a running task to the waiting phase. */
  void StopRunning(Job& aJob, const TaskRef& aTask);
  void MarkDone(Job& aJob, const TaskRef& aTask);
  /** Creates the states of a step's tasks if it has none yet. */
  void CreateTasks(Job& aJob, StepRun& aStep);
  void RemoveTasks(Job& aJob, StepRun& aStep);
  /** The same for a job that has ended. */
  void RemoveTasks(Job& aJob);
  void SetCheckpoint(Job& aJob,
                     StepRun& aStep,
                     Task& aTask,
                     const std::string& aCheckpoint);
  void AddBytes(Job& aJob, std::size_t aBytes);
  void SubtractBytes(Job& aJob, std::size_t aBytes);
  /** Removes the leading occurrences that are done. */
  void RemoveDoneOccurrences(Job& aJob);
  static std::size_t BytesOf(const Occurrence& aOccurrence);
  void FailIfAttemptsExhausted(Job& aJob,
                               const EndRun& aEnd,
                               const StepRun& aStep,
                               const AttemptLimit& aLimit);
  void AddLoss(Job& aJob, const EndRun& aEnd, StepRun& aStep);
  /** Adds or removes the index entries of a task's losses. */
  void IndexLosses(const TaskRef& aTask, const Task& aState);
  void UnindexLosses(const TaskRef& aTask, const Task& aState);
  /** Rebuilds the state derived from m_jobs after a snapshot was read. */
  void RebuildIndexes();
  /** Fills m_openJobs from m_open. */
  void ListOpenJobs();

  std::unordered_map<JobId, Job> m_jobs;
  std::uint64_t m_nextOrder = 1;
  std::map<std::uint64_t, JobId> m_open;
  /** The jobs of m_open. Each stays at its address while it is in m_jobs. */
  std::vector<const Job*> m_openJobs;
  std::unordered_map<WorkerIncarnation, std::vector<TaskRef>> m_tasksByWorker;
  std::unordered_map<WorkerIncarnation, WorkerUse> m_useByWorker;
  std::unordered_map<WorkspaceId, WorkspaceUse> m_useByWorkspace;
  std::map<std::uint64_t, JobId> m_startable;
  std::unordered_map<QueueId, std::uint64_t> m_pending;
  std::set<TaskRef> m_tasksWithLosses;
  /** The same tasks by the workers that were lost. */
  std::map<WorkerIncarnation, std::set<TaskRef>> m_tasksByLostWorker;
  std::size_t m_bytes = 0;
  bool m_forgetsDoneOccurrences = false;
};

std::string EncodeBatch(const Batch& aBatch);
std::optional<Batch> DecodeBatch(const std::string& aBytes);
/** aIsCompact: only replicas of state version 2 or later read it. */
std::string EncodeJobTable(const JobTable& aBook, bool aIsCompact);
std::optional<JobTable> DecodeJobTable(const std::string& aBytes);

} // namespace bamboostile::jobs
