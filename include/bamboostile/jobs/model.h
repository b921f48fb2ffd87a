#pragma once

#include "bamboostile/jobs/worker_life.h"
#include "bamboostile/units/ids.h"
#include "bamboostile/units/time.h"
#include "bamboostile/workspaces/model.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bamboostile {

using JobId = Strong<struct JobIdTag, std::string>;
using QueueId = Strong<struct QueueIdTag, std::string>;
using ImageId = Strong<struct ImageIdTag, std::string>;
/** Number of a run within its task, counted from 1. */
using RunNumber = Strong<struct RunNumberTag, std::uint32_t>;

} // namespace bamboostile

namespace bamboostile::jobs {

struct Resources
{
  std::uint32_t m_cpuMillis = 0;
  std::uint32_t m_memoryMb = 0;
  std::uint32_t m_accelerators = 0;

  bool operator==(const Resources&) const = default;
};

struct StepSpec
{
  std::uint32_t m_count = 0;
  /** Resources that each task needs. */
  Resources m_resources;
  /** The caller's estimate of a task's duration. */
  Millis m_estimate{};
  /** Indexes of earlier steps that must be done before this step starts. */
  std::vector<std::uint32_t> m_dependsOn;
  bool m_savesProgress = false;
  /** All tasks run at the same time, or none runs. */
  bool m_gang = false;
  bool m_sameRack = false;
  /** Copies of a task may run in parallel. */
  bool m_speculative = false;
  /** Runs until the job is cancelled. */
  bool m_longRunning = false;
  /** Uses CPU that other tasks leave idle; reserves none of its own. */
  bool m_bestEffort = false;
  std::string m_requiredLabel;
  /** The rack that holds the input data; tasks are slower on other racks. */
  RackId m_preferredRack;
  /** Maximum number of this step's tasks on one worker; 0 for no limit. */
  std::uint32_t m_maxPerWorker = 0;
  ImageId m_image;
  /** Target for the tail of the users' response times; 0 for no target. */
  Millis m_latencyTarget{};
  /** Maximum number of a long-running step's tasks that the system may disrupt
   * at the same time. */
  std::optional<std::uint32_t> m_disruptionBudget;

  /** CPU that each task reserves on a worker, in thousandths of a core; 0 for
   * best-effort tasks. */
  std::int64_t ReservedCpu() const
  {
    return m_bestEffort ? 0 : m_resources.m_cpuMillis;
  }

  /** Adds an earlier step to m_dependsOn, once. */
  void DependOn(std::uint32_t aStep)
  {
    if (std::find(m_dependsOn.begin(), m_dependsOn.end(), aStep) ==
        m_dependsOn.end()) {
      m_dependsOn.push_back(aStep);
    }
  }

  bool operator==(const StepSpec&) const = default;
};

struct JobSpec
{
  /** Opaque data, passed to the workers unchanged. */
  std::string m_payload;
  std::vector<StepSpec> m_steps;
  /** Number of occurrences; 0 for a job that runs once, immediately. */
  std::uint32_t m_repeatCount = 0;
  WallTime m_startAt;
  Millis m_interval{};

  bool operator==(const JobSpec&) const = default;
};

struct TaskRef
{
  JobId m_job;
  std::uint32_t m_occurrence = 0;
  std::uint32_t m_step = 0;
  std::uint32_t m_index = 0;

  auto operator<=>(const TaskRef&) const = default;
};

enum class TaskPhase : std::uint8_t
{
  kWaiting,
  kRunning,
  kDone,
};

/** What the loss of a worker indicates about a task that it ran. The values are
 * stored in logs. */
enum class CrashEvidence : std::uint8_t
{
  kNone = 0,
  /** The task was running there; another task may have caused the crash. */
  kRunning = 1,
  /** The task had just been started there. */
  kStarting = 2,
  /** The task was a suspect, and nothing else explains the loss. */
  kIsolated = 3,
  /** The task was running there, and other workers were lost at about the same
   * time. */
  kConcurrent = 4,
  /** The task was running there in an isolated run, and no other worker was
   * lost at about the same time. The worker may be cut off and still running.
   */
  kRunningIsolated = 5,
  /** The task may have just been started there, and a large part of the workers
   * was lost at about the same time. */
  kStartingInMassLoss = 6,
};

/** The loss, for an unknown reason, of a worker that was running a task. */
struct WorkerLoss
{
  WorkerIncarnation m_worker;
  /** Empty if the worker never reported. */
  InstanceId m_instance;
  RunNumber m_run;
  CrashEvidence m_evidence = CrashEvidence::kNone;
  WallTime m_at;
};

struct Task
{
  TaskPhase m_phase = TaskPhase::kWaiting;
  RunNumber m_lastRun;
  std::uint16_t m_failures = 0;
  /** The worker of the last run. */
  WorkerIncarnation m_worker;
  std::string m_checkpoint;
  std::vector<WorkerLoss> m_losses;
  /** Until when the last run that reports showed is known to have lasted. Runs
   * that no report showed may never have begun. */
  std::optional<WallTime> m_ranUntil;
  /** Set for a long-running task whose run has lasted so long that the loss of
   * its worker says nothing about the task. */
  bool m_isStable = false;
};

/** Whether a run of the task has got anywhere: it is done, has failed by itself
 * or has left a checkpoint. */
bool HasProgress(const Task& aTask);

struct StepRun
{
  /** Empty until a task is first started, and again once all are done. */
  std::vector<Task> m_tasks;
  /** Number of tasks. */
  std::uint32_t m_count = 0;
  std::uint32_t m_running = 0;
  std::uint32_t m_done = 0;
  /** Size of the tasks' checkpoints. */
  std::size_t m_checkpointBytes = 0;

  std::uint32_t Waiting() const { return m_count - m_running - m_done; }
  bool IsDone() const { return m_done == m_count; }
  bool HasTasks() const { return !m_tasks.empty(); }
  /** Returns the state of a task, aIndex < m_count. */
  const Task& TaskAt(std::uint32_t aIndex) const;
};

struct Occurrence
{
  std::vector<StepRun> m_steps;
  std::uint32_t m_stepsDone = 0;
};

enum class JobState : std::uint8_t
{
  kActive,
  kCompleted,
  kFailed,
  kCancelled,
};

struct Job
{
  JobId m_id;
  QueueId m_queue;
  /** The workspace that submitted the job; empty if no key was needed. */
  WorkspaceId m_workspace;
  /** The workspace had sent more jobs than its share covers. */
  bool m_isBeyondShare = false;
  JobSpec m_spec;
  JobState m_state = JobState::kActive;
  WallTime m_acceptedAt;
  WallTime m_endedAt;
  /** Why the job failed. */
  std::string m_reason;
  /** Rank in order of acceptance. */
  std::uint64_t m_order = 0;
  /** Whether a task is running or has made progress. */
  bool m_started = false;
  /** Number of running tasks in all occurrences. */
  std::uint32_t m_running = 0;
  std::uint32_t m_occurrencesDone = 0;
  /** All occurrences before this one are done and no longer kept. */
  std::uint32_t m_firstOccurrence = 0;
  /** Occurrences that are due or started, created when first needed. */
  std::map<std::uint32_t, Occurrence> m_occurrences;
  /** What the job takes in memory, as JobTable::Bytes() counts it. */
  std::size_t m_bytes = 0;

  std::uint32_t OccurrenceCount() const
  {
    return m_spec.m_repeatCount == 0 ? 1 : m_spec.m_repeatCount;
  }
};

/** Why a run ended, as decided by its worker or the system. */
enum class RunEnd : std::uint8_t
{
  kDone,
  /** Failed because of the task or the worker; counts as an attempt. */
  kFailed,
  kStopped,
  kLeaseExpired,
  /** Another member of the task's gang ended. */
  kGangBroken,
  /** The other members of the task's gang did not start in time. */
  kGangIncomplete,
  /** The worker did not start it. */
  kRefused,
  /** The worker was lost. */
  kWorkerLost,
};

const char* Describe(RunEnd aEnd) noexcept;
const char* Describe(JobState aState) noexcept;
const char* Describe(CrashEvidence aEvidence) noexcept;

} // namespace bamboostile::jobs
