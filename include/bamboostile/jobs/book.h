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
  WorkerLife m_worker;
};

struct EndRun
{
  TaskRef m_task;
  RunNumber m_run;
  RunEnd m_how = RunEnd::kDone;
  std::string m_checkpoint;
  WallTime m_at;
  /** Of a run that ended with its worker. */
  CrashEvidence m_evidence = CrashEvidence::kNone;
  InstanceId m_lostInstance{};
  /** Done, as was heard after the run had been given up. */
  bool m_isLate = false;
};

/** A long-running task has been at work for long. */
struct SettleRun
{
  TaskRef m_task;
  RunNumber m_run;
};

/** Names the life that a run is in. Only of a run on record under a worker's id
 * alone, as earlier versions kept it. */
struct AdoptRun
{
  TaskRef m_task;
  RunNumber m_run;
  WorkerLife m_worker;
};

/** Ends a job that cannot be completed. */
struct FailJob
{
  JobId m_job;
  std::string m_reason;
  WallTime m_at;
};

/** Drops ended jobs whose state callers need no longer be able to fetch. */
struct ForgetEnded
{
  WallTime m_before;
};

using Change = std::variant<Submit,
                            Cancel,
                            StartRun,
                            EndRun,
                            FailJob,
                            ForgetEnded,
                            SettleRun,
                            AdoptRun>;

/** One entry of the log; a sync of the disk carries all of it. */
struct Batch
{
  std::vector<Change> m_changes;
};

/** What became of the first Submit or Cancel of a batch. */
enum class CallOutcome : std::uint8_t
{
  kNone,
  kAccepted,
  /** The same job is there already. */
  kRepeated,
  kUnknownJob,
  kCancelled,
};

struct BatchReply
{
  CallOutcome m_outcome = CallOutcome::kNone;
};

/** How often tasks of a queue may fail; asked while applying. */
using AttemptLimit = std::function<std::uint32_t(const QueueId&)>;

/**
 * @brief The replicated state of jobs, tasks and runs.
 *
 * Deterministic: replicas that applied the same batches are equal. A change
 * that no longer fits (a start of a task that runs, an end of an earlier run)
 * does nothing, so commands may be proposed from a state that has moved on.
 */
class Book
{
public:
  BatchReply Apply(const Batch& aBatch, const AttemptLimit& aLimit);

  const Job* Find(const JobId& aId) const;
  /** Jobs that are active or still have runs under way, in order of
   * acceptance. */
  const std::map<std::uint64_t, JobId>& Open() const { return m_open; }
  const std::unordered_map<JobId, Job>& Jobs() const { return m_jobs; }
  /** Tasks that run, or may run, on a worker. */
  const std::unordered_map<WorkerLife, std::vector<TaskRef>>& Placed() const
  {
    return m_placed;
  }
  const Task* FindTask(const TaskRef& aTask) const;
  /** Of a task that exists; of a gang, those of all its members. */
  std::vector<WorkerLoss> LossesOf(const TaskRef& aTask) const;
  /** The run was given up, and its task is not done yet: if the run was done,
   * so is the task, whether or not it has been started again. */
  bool CountsLate(const TaskRef& aTask, RunNumber aRun) const;
  bool AreOneGang(const TaskRef& aLeft, const TaskRef& aRight) const;
  /** Tasks of active jobs under which workers were lost. */
  const std::set<TaskRef>& LostWithWorkers() const { return m_lost; }
  bool HasLosses(const JobId& aJob) const;
  /** Some task's next run, or the one under way, is a trial. */
  bool HasSuspects() const;
  /** Accepted jobs without a due time of which no task has started. */
  std::uint64_t Pending(const QueueId& aQueue) const;

  /** All steps that this one waits for are done. */
  static bool IsTurn(const Occurrence& aOccurrence, const StepSpec& aStep);
  static Occurrence MakeOccurrence(const JobSpec& aSpec);

private:
  friend struct BookCodec;

  CallOutcome On(const Submit& aSubmit, const AttemptLimit&);
  CallOutcome On(const Cancel& aCancel, const AttemptLimit&);
  CallOutcome On(const StartRun& aStart, const AttemptLimit&);
  CallOutcome On(const EndRun& aEnd, const AttemptLimit& aLimit);
  CallOutcome On(const FailJob& aFail, const AttemptLimit&);
  CallOutcome On(const ForgetEnded& aForget, const AttemptLimit&);
  CallOutcome On(const SettleRun& aSettle, const AttemptLimit&);
  CallOutcome On(const AdoptRun& aAdopt, const AttemptLimit&);

  Job* FindJob(const JobId& aId);
  Task* FindTaskToChange(const TaskRef& aTask);
  void Unplace(const WorkerLife& aWorker, const TaskRef& aTask);
  void Finish(Job& aJob, JobState aState, WallTime aAt);
  void MarkStarted(Job& aJob);
  void WaitAgain(Job& aJob);
  void CloseIfIdle(const Job& aJob);
  /** Waits again, if it runs. */
  void StopRunning(Job& aJob, const TaskRef& aTask);
  void MarkDone(Job& aJob, const TaskRef& aTask);
  void FailIfSpent(Job& aJob,
                   const EndRun& aEnd,
                   const StepRun& aStep,
                   const AttemptLimit& aLimit);
  void AddLoss(Job& aJob, const EndRun& aEnd, StepRun& aStep);
  /** Derived from m_jobs; made anew after a snapshot was read. */
  void Reindex();

  std::unordered_map<JobId, Job> m_jobs;
  std::uint64_t m_nextOrder = 1;
  std::map<std::uint64_t, JobId> m_open;
  std::unordered_map<WorkerLife, std::vector<TaskRef>> m_placed;
  std::unordered_map<QueueId, std::uint64_t> m_pending;
  std::set<TaskRef> m_lost;
};

std::string EncodeBatch(const Batch& aBatch);
std::optional<Batch> DecodeBatch(const std::string& aBytes);
std::string EncodeBook(const Book& aBook);
std::optional<Book> DecodeBook(const std::string& aBytes);

} // namespace bamboostile::jobs
