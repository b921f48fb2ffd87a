#pragma once

#include "bamboostile/jobs/worker_life.h"
#include "bamboostile/units/ids.h"
#include "bamboostile/units/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bamboostile {

using JobId = Strong<struct JobIdTag, std::string>;
using QueueId = Strong<struct QueueIdTag, std::string>;
using ImageId = Strong<struct ImageIdTag, std::string>;
/** Numbers the starts of one task from 1. */
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
  /** Of each task. */
  Resources m_needs;
  /** The caller's guess of a task's duration. */
  Millis m_estimate{};
  /** Earlier steps that must be done before. */
  std::vector<std::uint32_t> m_dependsOn;
  bool m_savesProgress = false;
  /** All tasks run at the same time or not at all. */
  bool m_gang = false;
  bool m_sameRack = false;
  /** Copies of a task may run in parallel. */
  bool m_speculative = false;
  /** Runs until the job is cancelled. */
  bool m_longRunning = false;
  /** Uses what other tasks leave over; its CPU is not counted. */
  bool m_fills = false;
  std::string m_requiredLabel;
  /** Where the data is; tasks are slower on other racks. */
  RackId m_preferredRack;
  /** Tasks of this step on one worker; 0 for any number. */
  std::uint32_t m_maxPerWorker = 0;
  ImageId m_image;
  /** Tail of its users' response times that must be kept; 0 for none. */
  Millis m_latencyTarget{};
  /** Tasks of a long-running step that the system may take away at once. */
  std::optional<std::uint32_t> m_disruptionBudget;

  /** What each task takes of a worker's CPU, in thousandths of a core; tasks
   * that fill take none of their own. */
  std::int64_t CountedCpu() const { return m_fills ? 0 : m_needs.m_cpuMillis; }

  bool operator==(const StepSpec&) const = default;
};

struct JobSpec
{
  /** Opaque; handed to the workers as it is. */
  std::string m_payload;
  std::vector<StepSpec> m_steps;
  /** 0 for a job that runs once, at once. */
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

/** What the loss of a worker says about a task that it ran. Values are kept in
 * logs. */
enum class CrashEvidence : std::uint8_t
{
  kNone = 0,
  /** The task was at work there, perhaps beside the one that is to blame. */
  kRunning = 1,
  /** It had just been started there. */
  kStarting = 2,
  /** It was a suspect, and nothing else explains the loss. */
  kAlone = 3,
  /** It was at work there, and other workers were lost at about that time. */
  kShared = 4,
};

/** A worker that was lost with a task on it, for no reason known. */
struct WorkerLoss
{
  WorkerLife m_worker;
  /** Empty where the worker was never heard. */
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
  /** Where the last run is or was. */
  WorkerLife m_worker;
  std::string m_checkpoint;
  std::vector<WorkerLoss> m_losses;
  /** Long-running: the run has been at work for so long that the loss of its
   * worker says nothing about it. */
  bool m_settled = false;
};

struct StepRun
{
  std::vector<Task> m_tasks;
  std::uint32_t m_running = 0;
  std::uint32_t m_done = 0;

  std::uint32_t Waiting() const
  {
    return static_cast<std::uint32_t>(m_tasks.size()) - m_running - m_done;
  }
  bool IsDone() const { return m_done == m_tasks.size(); }
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
  JobSpec m_spec;
  JobState m_state = JobState::kActive;
  WallTime m_acceptedAt;
  WallTime m_endedAt;
  /** Why it failed. */
  std::string m_reason;
  /** Rank in order of acceptance. */
  std::uint64_t m_order = 0;
  /** A run of it is under way, or has got somewhere. */
  bool m_started = false;
  /** Runs under way, over all occurrences. */
  std::uint32_t m_running = 0;
  std::uint32_t m_occurrencesDone = 0;
  /** Those that are due or begun; made when first needed. */
  std::map<std::uint32_t, Occurrence> m_occurrences;

  std::uint32_t OccurrenceCount() const
  {
    return m_spec.m_repeatCount == 0 ? 1 : m_spec.m_repeatCount;
  }
};

/** How a run ended, as its worker or the system says. */
enum class RunEnd : std::uint8_t
{
  kDone,
  /** By its own fault or the worker's; counts as an attempt. */
  kFailed,
  kStopped,
  kLeaseExpired,
  /** Another member of its gang ended. */
  kGangBroken,
  /** Waited in vain for the other members of its gang. */
  kGangIncomplete,
  /** The worker did not start it. */
  kRefused,
  /** Its worker is gone. */
  kWorkerLost,
};

const char* Describe(RunEnd aEnd) noexcept;
const char* Describe(JobState aState) noexcept;
const char* Describe(CrashEvidence aEvidence) noexcept;

} // namespace bamboostile::jobs
