#include "bamboostile/jobs/book.h"

#include "bamboostile/jobs/crash_loop.h"
#include "bamboostile/units/visit.h"

#include <algorithm>
#include <utility>

namespace bamboostile::jobs {

const char*
Describe(RunEnd aEnd) noexcept
{
  switch (aEnd) {
    case RunEnd::kDone:
      return "done";
    case RunEnd::kFailed:
      return "failed";
    case RunEnd::kStopped:
      return "stopped";
    case RunEnd::kLeaseExpired:
      return "lease expired";
    case RunEnd::kGangBroken:
      return "gang broken";
    case RunEnd::kGangIncomplete:
      return "gang incomplete";
    case RunEnd::kRefused:
      return "refused by the worker";
    case RunEnd::kWorkerLost:
      return "worker lost";
  }
  return "unknown";
}

const char*
Describe(JobState aState) noexcept
{
  switch (aState) {
    case JobState::kActive:
      return "active";
    case JobState::kCompleted:
      return "completed";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

const Task&
StepRun::TaskAt(std::uint32_t aIndex) const
{
  static const Task kNeverStarted;
  static const Task kIsDone = []() {
    Task task;
    task.m_phase = TaskPhase::kDone;
    return task;
  }();
  if (HasTasks()) {
    return m_tasks[aIndex];
  }
  return IsDone() ? kIsDone : kNeverStarted;
}

// The list of open jobs points into its own table.
JobTable::JobTable(const JobTable& aOther)
  : m_jobs(aOther.m_jobs)
  , m_nextOrder(aOther.m_nextOrder)
  , m_open(aOther.m_open)
  , m_tasksByWorker(aOther.m_tasksByWorker)
  , m_useByWorker(aOther.m_useByWorker)
  , m_useByWorkspace(aOther.m_useByWorkspace)
  , m_startable(aOther.m_startable)
  , m_pending(aOther.m_pending)
  , m_tasksWithLosses(aOther.m_tasksWithLosses)
  , m_tasksByLostWorker(aOther.m_tasksByLostWorker)
  , m_bytes(aOther.m_bytes)
  , m_forgetsDoneOccurrences(aOther.m_forgetsDoneOccurrences)
{
  ListOpenJobs();
}

JobTable&
JobTable::operator=(const JobTable& aOther)
{
  return *this = JobTable(aOther);
}

BatchReply
JobTable::Apply(const Batch& aBatch, const AttemptLimit& aLimit)
{
  BatchReply reply;
  for (const Change& change : aBatch.m_changes) {
    const CallOutcome outcome = std::visit(
      [&](const auto& aChange) { return ApplyChange(aChange, aLimit); },
      change);
    if (reply.m_outcome == CallOutcome::kNone) {
      reply.m_outcome = outcome;
    }
  }
  return reply;
}

Job*
JobTable::FindJob(const JobId& aId)
{
  const auto found = m_jobs.find(aId);
  return found == m_jobs.end() ? nullptr : &found->second;
}

const Job*
JobTable::Find(const JobId& aId) const
{
  const auto found = m_jobs.find(aId);
  return found == m_jobs.end() ? nullptr : &found->second;
}

Task*
JobTable::FindMutableTask(const TaskRef& aTask)
{
  Job* job = FindJob(aTask.m_job);
  if (job == nullptr || FindTask(aTask) == nullptr) {
    return nullptr;
  }
  StepRun& step =
    job->m_occurrences.at(aTask.m_occurrence).m_steps[aTask.m_step];
  return step.HasTasks() ? &step.m_tasks[aTask.m_index] : nullptr;
}

const Task*
JobTable::FindTask(const TaskRef& aTask) const
{
  const Job* job = Find(aTask.m_job);
  if (job == nullptr) {
    return nullptr;
  }
  const auto occurrence = job->m_occurrences.find(aTask.m_occurrence);
  if (occurrence == job->m_occurrences.end() ||
      aTask.m_step >= occurrence->second.m_steps.size()) {
    return nullptr;
  }
  const StepRun& step = occurrence->second.m_steps[aTask.m_step];
  return aTask.m_index < step.m_count ? &step.TaskAt(aTask.m_index) : nullptr;
}

std::vector<WorkerLoss>
JobTable::LossesOf(const TaskRef& aTask) const
{
  if (m_tasksWithLosses.empty() || FindTask(aTask) == nullptr) {
    return {};
  }
  const Job& job = *Find(aTask.m_job);
  return jobs::LossesOf(
    job.m_spec.m_steps[aTask.m_step],
    job.m_occurrences.at(aTask.m_occurrence).m_steps[aTask.m_step],
    aTask.m_index);
}

// Members save at different moments. The checkpoint of any of them is valid for
// all, and all have to start from the same one.
const std::string&
JobTable::CheckpointOf(const TaskRef& aTask) const
{
  const Job& job = *Find(aTask.m_job);
  const StepRun& step =
    job.m_occurrences.at(aTask.m_occurrence).m_steps[aTask.m_step];
  if (!job.m_spec.m_steps[aTask.m_step].m_gang) {
    return step.TaskAt(aTask.m_index).m_checkpoint;
  }
  const auto saved = std::find_if(
    step.m_tasks.begin(), step.m_tasks.end(), [](const Task& aMember) {
      return !aMember.m_checkpoint.empty();
    });
  return saved == step.m_tasks.end() ? step.TaskAt(0).m_checkpoint
                                     : saved->m_checkpoint;
}

void
JobTable::IndexLosses(const TaskRef& aTask, const Task& aState)
{
  for (const WorkerLoss& loss : aState.m_losses) {
    m_tasksWithLosses.insert(aTask);
    m_tasksByLostWorker[loss.m_worker].insert(aTask);
  }
}

void
JobTable::UnindexLosses(const TaskRef& aTask, const Task& aState)
{
  m_tasksWithLosses.erase(aTask);
  for (const WorkerLoss& loss : aState.m_losses) {
    const auto lost = m_tasksByLostWorker.find(loss.m_worker);
    if (lost != m_tasksByLostWorker.end() && lost->second.erase(aTask) > 0 &&
        lost->second.empty()) {
      m_tasksByLostWorker.erase(lost);
    }
  }
}

std::vector<RetractLoss>
JobTable::LossesOn(const WorkerIncarnation& aWorker) const
{
  std::vector<RetractLoss> losses;
  const auto lost = m_tasksByLostWorker.find(aWorker);
  if (lost == m_tasksByLostWorker.end()) {
    return losses;
  }
  for (const TaskRef& ref : lost->second) {
    for (const WorkerLoss& loss : FindTask(ref)->m_losses) {
      if (loss.m_worker == aWorker) {
        losses.push_back({ ref, loss.m_run });
      }
    }
  }
  return losses;
}

bool
JobTable::HasLosses(const JobId& aJob) const
{
  const auto first = m_tasksWithLosses.lower_bound(TaskRef{ aJob });
  return first != m_tasksWithLosses.end() && first->m_job == aJob;
}

bool
JobTable::HasSuspects() const
{
  return std::any_of(
    m_tasksWithLosses.begin(),
    m_tasksWithLosses.end(),
    [&](const TaskRef& aTask) { return IsSuspect(LossesOf(aTask)); });
}

bool
JobTable::AcceptsLateEnd(const TaskRef& aTask, RunNumber aRun) const
{
  const Task* task = FindTask(aTask);
  if (task == nullptr || task->m_phase == TaskPhase::kDone) {
    return false;
  }
  const Job& job = *Find(aTask.m_job);
  const bool hasRunEnded =
    aRun < task->m_lastRun ||
    (aRun == task->m_lastRun && task->m_phase == TaskPhase::kWaiting);
  return hasRunEnded && job.m_state == JobState::kActive &&
         !job.m_spec.m_steps[aTask.m_step].m_longRunning;
}

bool
JobTable::AreInSameGang(const TaskRef& aLeft, const TaskRef& aRight) const
{
  return aLeft.m_job == aRight.m_job &&
         aLeft.m_occurrence == aRight.m_occurrence &&
         aLeft.m_step == aRight.m_step &&
         Find(aLeft.m_job)->m_spec.m_steps[aLeft.m_step].m_gang;
}

std::uint64_t
JobTable::PendingJobs(const QueueId& aQueue) const
{
  const auto found = m_pending.find(aQueue);
  return found == m_pending.end() ? 0 : found->second;
}

bool
JobTable::AreDependenciesDone(const Occurrence& aOccurrence,
                              const StepSpec& aStep)
{
  return std::all_of(
    aStep.m_dependsOn.begin(), aStep.m_dependsOn.end(), [&](auto aEarlier) {
      return aOccurrence.m_steps[aEarlier].IsDone();
    });
}

Occurrence
JobTable::MakeOccurrence(const JobSpec& aSpec)
{
  Occurrence occurrence;
  for (const StepSpec& step : aSpec.m_steps) {
    occurrence.m_steps.emplace_back().m_count = step.m_count;
  }
  return occurrence;
}

CallOutcome
JobTable::ApplyChange(const Submit& aSubmit, const AttemptLimit& /*aLimit*/)
{
  const auto [found, isNew] = m_jobs.try_emplace(aSubmit.m_job);
  if (!isNew) {
    return CallOutcome::kDuplicate;
  }
  Job& job = found->second;
  job.m_id = aSubmit.m_job;
  job.m_queue = aSubmit.m_queue;
  job.m_workspace = aSubmit.m_workspace;
  job.m_isBeyondShare = aSubmit.m_isBeyondShare;
  job.m_spec = aSubmit.m_spec;
  job.m_acceptedAt = aSubmit.m_at;
  job.m_order = m_nextOrder++;
  AddBytes(job, BytesOf(job.m_id, job.m_spec));
  if (job.m_spec.m_repeatCount == 0) {
    job.m_occurrences.emplace(0, MakeOccurrence(job.m_spec));
    ++m_pending[job.m_queue];
  }
  m_open.emplace(job.m_order, job.m_id);
  m_openJobs.push_back(&job);
  UpdateStartable(job);
  return CallOutcome::kAccepted;
}

CallOutcome
JobTable::ApplyChange(const Cancel& aCancel, const AttemptLimit& /*aLimit*/)
{
  Job* job = FindJob(aCancel.m_job);
  if (job == nullptr) {
    return CallOutcome::kUnknownJob;
  }
  if (job->m_state == JobState::kActive) {
    Finish(*job, JobState::kCancelled, aCancel.m_at);
  }
  return CallOutcome::kCancelled;
}

CallOutcome
JobTable::ApplyChange(const StartRun& aStart, const AttemptLimit& /*aLimit*/)
{
  Job* job = FindJob(aStart.m_task.m_job);
  if (job == nullptr || job->m_state != JobState::kActive ||
      aStart.m_task.m_occurrence < job->m_firstOccurrence ||
      aStart.m_task.m_occurrence >= job->OccurrenceCount() ||
      aStart.m_task.m_step >= job->m_spec.m_steps.size()) {
    return CallOutcome::kNone;
  }
  const auto [found, isNew] = job->m_occurrences.try_emplace(
    aStart.m_task.m_occurrence, MakeOccurrence(job->m_spec));
  StepRun& step = found->second.m_steps[aStart.m_task.m_step];
  if (isNew) {
    AddBytes(*job, BytesOf(found->second));
  }
  if (aStart.m_task.m_index >= step.m_count ||
      step.TaskAt(aStart.m_task.m_index).m_phase != TaskPhase::kWaiting ||
      aStart.m_run <= step.TaskAt(aStart.m_task.m_index).m_lastRun) {
    return CallOutcome::kNone;
  }
  CreateTasks(*job, step);
  Task& task = step.m_tasks[aStart.m_task.m_index];
  task.m_phase = TaskPhase::kRunning;
  task.m_lastRun = aStart.m_run;
  task.m_worker = aStart.m_worker;
  task.m_isStable = false;
  ++step.m_running;
  ++job->m_running;
  AddToWorker(aStart.m_worker, *job, aStart.m_task);
  MarkStarted(*job);
  UpdateStartable(*job);
  return CallOutcome::kNone;
}

void
JobTable::MarkStarted(Job& aJob)
{
  if (aJob.m_started) {
    return;
  }
  aJob.m_started = true;
  if (aJob.m_spec.m_repeatCount == 0) {
    --m_pending[aJob.m_queue];
  }
}

void
JobTable::AddToWorker(const WorkerIncarnation& aWorker,
                      const Job& aJob,
                      const TaskRef& aTask)
{
  m_tasksByWorker[aWorker].push_back(aTask);
  AddUse(aWorker, aJob, aJob.m_spec.m_steps[aTask.m_step], 1);
}

void
JobTable::RemoveFromWorker(const WorkerIncarnation& aWorker,
                           const Job& aJob,
                           const TaskRef& aTask)
{
  const auto placed = m_tasksByWorker.find(aWorker);
  if (placed == m_tasksByWorker.end() ||
      std::erase(placed->second, aTask) == 0) {
    return;
  }
  AddUse(aWorker, aJob, aJob.m_spec.m_steps[aTask.m_step], -1);
  if (placed->second.empty()) {
    m_tasksByWorker.erase(placed);
  }
}

const WorkerUse*
JobTable::FindUse(const WorkerIncarnation& aWorker) const
{
  const auto use = m_useByWorker.find(aWorker);
  return use == m_useByWorker.end() ? nullptr : &use->second;
}

void
JobTable::AddUse(const WorkerIncarnation& aWorker,
                 const Job& aJob,
                 const StepSpec& aStep,
                 int aTimes)
{
  const auto times = static_cast<std::uint32_t>(aTimes);
  const Resources& needs = aStep.m_resources;
  WorkerUse& use = m_useByWorker[aWorker];
  use.m_cpuMillis += aStep.ReservedCpu() * aTimes;
  use.m_memoryMb += std::int64_t{ needs.m_memoryMb } * aTimes;
  use.m_accelerators += std::int64_t{ needs.m_accelerators } * aTimes;
  use.m_runs += times;
  use.m_longRunning += aStep.m_longRunning ? times : 0;
  if (aStep.m_longRunning) {
    use.m_longRunningCpuMillis += aStep.ReservedCpu() * aTimes;
    use.m_longRunningMemoryMb += std::int64_t{ needs.m_memoryMb } * aTimes;
    use.m_longRunningAccelerators +=
      std::int64_t{ needs.m_accelerators } * aTimes;
  }
  use.m_inGang += aStep.m_gang ? times : 0;
  use.m_latencySensitive += aStep.m_latencyTarget > Millis::zero() ? times : 0;
  if (use.m_runs == 0) {
    m_useByWorker.erase(aWorker);
  }
  WorkspaceUse& ofWorkspace = m_useByWorkspace[aJob.m_workspace];
  workspaces::Resources& total = ofWorkspace.m_resources;
  total.m_cpuMillis += std::int64_t{ needs.m_cpuMillis } * aTimes;
  total.m_memoryMb += std::int64_t{ needs.m_memoryMb } * aTimes;
  total.m_accelerators += std::int64_t{ needs.m_accelerators } * aTimes;
  ofWorkspace.m_runs += times;
  if (ofWorkspace.m_runs == 0) {
    m_useByWorkspace.erase(aJob.m_workspace);
  }
}

bool
JobTable::IsStartable(const Job& aJob)
{
  if (aJob.m_state != JobState::kActive) {
    return false;
  }
  const auto first = aJob.m_occurrences.find(0);
  if (aJob.m_spec.m_repeatCount != 0 || first == aJob.m_occurrences.end()) {
    return true;
  }
  const Occurrence& occurrence = first->second;
  for (std::size_t s = 0; s < occurrence.m_steps.size(); ++s) {
    if (occurrence.m_steps[s].Waiting() > 0 &&
        AreDependenciesDone(occurrence, aJob.m_spec.m_steps[s])) {
      return true;
    }
  }
  return false;
}

void
JobTable::UpdateStartable(const Job& aJob)
{
  if (IsStartable(aJob)) {
    m_startable.try_emplace(aJob.m_order, aJob.m_id);
  } else {
    m_startable.erase(aJob.m_order);
  }
}

void
JobTable::StopRunning(Job& aJob, const TaskRef& aTask)
{
  StepRun& step =
    aJob.m_occurrences.at(aTask.m_occurrence).m_steps[aTask.m_step];
  if (step.TaskAt(aTask.m_index).m_phase != TaskPhase::kRunning) {
    return;
  }
  Task& task = step.m_tasks[aTask.m_index];
  task.m_phase = TaskPhase::kWaiting;
  --step.m_running;
  --aJob.m_running;
  RemoveFromWorker(task.m_worker, aJob, aTask);
}

void
JobTable::MarkDone(Job& aJob, const TaskRef& aTask)
{
  Occurrence& occurrence = aJob.m_occurrences.at(aTask.m_occurrence);
  StepRun& step = occurrence.m_steps[aTask.m_step];
  if (step.TaskAt(aTask.m_index).m_phase == TaskPhase::kDone) {
    return;
  }
  CreateTasks(aJob, step);
  Task& task = step.m_tasks[aTask.m_index];
  StopRunning(aJob, aTask);
  task.m_phase = TaskPhase::kDone;
  SetCheckpoint(aJob, step, task, "");
  UnindexLosses(aTask, task);
  task.m_losses.clear();
  ++step.m_done;
  if (!step.IsDone()) {
    return;
  }
  RemoveTasks(aJob, step);
  ++occurrence.m_stepsDone;
  if (occurrence.m_stepsDone == occurrence.m_steps.size()) {
    ++aJob.m_occurrencesDone;
  }
}

CallOutcome
JobTable::ApplyChange(const EndRun& aEnd, const AttemptLimit& aLimit)
{
  Job* job = FindJob(aEnd.m_task.m_job);
  const Task* known = FindTask(aEnd.m_task);
  if (job == nullptr || known == nullptr) {
    return CallOutcome::kNone;
  }
  const bool isLate = aEnd.m_isLate && AcceptsLateEnd(aEnd.m_task, aEnd.m_run);
  const bool isRunning = known->m_phase == TaskPhase::kRunning;
  if (!isLate && (!isRunning || known->m_lastRun != aEnd.m_run)) {
    return CallOutcome::kNone;
  }
  StepRun& step =
    job->m_occurrences.at(aEnd.m_task.m_occurrence).m_steps[aEnd.m_task.m_step];
  const StepSpec& spec = job->m_spec.m_steps[aEnd.m_task.m_step];
  CreateTasks(*job, step);
  Task& task = step.m_tasks[aEnd.m_task.m_index];
  StopRunning(*job, aEnd.m_task);
  if (!isRunning) {
    MarkStarted(*job);
  }
  if (!aEnd.m_checkpoint.empty()) {
    SetCheckpoint(*job, step, task, aEnd.m_checkpoint);
  }
  if (aEnd.m_ranUntil) {
    task.m_ranUntil = aEnd.m_ranUntil;
  }
  if (aEnd.m_endReason == RunEnd::kDone && !spec.m_longRunning) {
    MarkDone(*job, aEnd.m_task);
    // All members of a gang are done together; the ends of the other members
    // may arrive later, or never if a member's worker is lost in between.
    for (std::uint32_t i = 0; spec.m_gang && i < step.m_count; ++i) {
      TaskRef member = aEnd.m_task;
      member.m_index = i;
      MarkDone(*job, member);
    }
  } else if (aEnd.m_endReason == RunEnd::kFailed) {
    ++task.m_failures;
    if (!spec.m_longRunning) {
      FailIfAttemptsExhausted(*job, aEnd, step, aLimit);
    }
  } else if (aEnd.m_endReason == RunEnd::kWorkerLost &&
             aEnd.m_evidence != CrashEvidence::kNone) {
    AddLoss(*job, aEnd, step);
  }
  if (job->m_state == JobState::kActive &&
      job->m_occurrencesDone == job->OccurrenceCount()) {
    Finish(*job, JobState::kCompleted, aEnd.m_at);
  }
  if (job->m_running == 0 && !spec.m_longRunning) {
    MarkPendingIfNoProgress(*job);
  }
  if (m_forgetsDoneOccurrences) {
    RemoveDoneOccurrences(*job);
  }
  CloseIfIdle(*job);
  UpdateStartable(*job);
  return CallOutcome::kNone;
}

bool
HasProgress(const Task& aTask)
{
  return aTask.m_phase == TaskPhase::kDone || aTask.m_failures > 0 ||
         !aTask.m_checkpoint.empty();
}

// A job whose runs made no progress counts as pending again. If it stayed
// started, jobs whose first workers were lost would not be counted as pending,
// and callers would be told that no job waits.
void
JobTable::MarkPendingIfNoProgress(Job& aJob)
{
  if (aJob.m_state != JobState::kActive || aJob.m_spec.m_repeatCount != 0 ||
      !aJob.m_started) {
    return;
  }
  for (const StepRun& step : aJob.m_occurrences.at(0).m_steps) {
    if (step.m_done > 0 ||
        std::any_of(step.m_tasks.begin(), step.m_tasks.end(), HasProgress)) {
      return;
    }
  }
  aJob.m_started = false;
  ++m_pending[aJob.m_queue];
}

// The memory of jobs. A step whose tasks have not been started, or are all
// done, is a count.

namespace {

/** Overhead of a container's node or of an allocation. */
constexpr std::size_t kNodeBytes = 64;

} // namespace

std::size_t
JobTable::BytesOfTasks(std::size_t aIdBytes, std::uint32_t aCount)
{
  constexpr std::size_t kWorkerIdBytes = 32;
  // The index by worker names each task that runs.
  return aCount * (sizeof(Task) + kWorkerIdBytes + sizeof(TaskRef) + aIdBytes);
}

std::size_t
JobTable::BytesOf(const Occurrence& aOccurrence)
{
  return kNodeBytes + sizeof(Occurrence) +
         aOccurrence.m_steps.size() * sizeof(StepRun);
}

std::size_t
JobTable::BytesOf(const JobId& aJob, const JobSpec& aSpec)
{
  std::size_t bytes = sizeof(Job) + 4 * (kNodeBytes + aJob.Get().size()) +
                      aSpec.m_payload.size() + kNodeBytes + sizeof(Occurrence);
  for (const StepSpec& step : aSpec.m_steps) {
    bytes += sizeof(StepSpec) + sizeof(StepRun) +
             step.m_dependsOn.size() * sizeof(step.m_dependsOn.front()) +
             step.m_requiredLabel.size() + step.m_preferredRack.Get().size() +
             step.m_image.Get().size();
  }
  return bytes;
}

void
JobTable::AddBytes(Job& aJob, std::size_t aBytes)
{
  aJob.m_bytes += aBytes;
  m_bytes += aBytes;
}

void
JobTable::SubtractBytes(Job& aJob, std::size_t aBytes)
{
  aJob.m_bytes -= aBytes;
  m_bytes -= aBytes;
}

void
JobTable::CreateTasks(Job& aJob, StepRun& aStep)
{
  if (!aStep.HasTasks()) {
    aStep.m_tasks.resize(aStep.m_count);
    AddBytes(aJob, BytesOfTasks(aJob.m_id.Get().size(), aStep.m_count));
  }
}

void
JobTable::RemoveTasks(Job& aJob, StepRun& aStep)
{
  if (aStep.HasTasks()) {
    SubtractBytes(aJob,
                  BytesOfTasks(aJob.m_id.Get().size(), aStep.m_count) +
                    aStep.m_checkpointBytes);
    aStep.m_tasks = {};
    aStep.m_checkpointBytes = 0;
  }
}

void
JobTable::RemoveTasks(Job& aJob)
{
  for (auto& [number, occurrence] : aJob.m_occurrences) {
    for (StepRun& step : occurrence.m_steps) {
      RemoveTasks(aJob, step);
    }
  }
  if (aJob.m_spec.m_repeatCount != 0) {
    aJob.m_occurrences.clear();
    SubtractBytes(aJob, aJob.m_bytes - BytesOf(aJob.m_id, aJob.m_spec));
  }
}

void
JobTable::SetCheckpoint(Job& aJob,
                        StepRun& aStep,
                        Task& aTask,
                        const std::string& aCheckpoint)
{
  SubtractBytes(aJob, aTask.m_checkpoint.size());
  aStep.m_checkpointBytes -= aTask.m_checkpoint.size();
  aTask.m_checkpoint = aCheckpoint;
  aTask.m_checkpoint.shrink_to_fit();
  aStep.m_checkpointBytes += aCheckpoint.size();
  AddBytes(aJob, aCheckpoint.size());
}

void
JobTable::RemoveDoneOccurrences(Job& aJob)
{
  if (aJob.m_spec.m_repeatCount == 0) {
    return;
  }
  for (auto first = aJob.m_occurrences.begin();
       first != aJob.m_occurrences.end() &&
       first->first == aJob.m_firstOccurrence &&
       first->second.m_stepsDone == first->second.m_steps.size();
       first = aJob.m_occurrences.erase(first)) {
    SubtractBytes(aJob, BytesOf(first->second));
    ++aJob.m_firstOccurrence;
  }
}

void
JobTable::ForgetDoneOccurrences()
{
  m_forgetsDoneOccurrences = true;
  for (auto& [id, job] : m_jobs) {
    RemoveDoneOccurrences(job);
  }
}

void
JobTable::FailIfAttemptsExhausted(Job& aJob,
                                  const EndRun& aEnd,
                                  const StepRun& aStep,
                                  const AttemptLimit& aLimit)
{
  std::uint32_t failures = aStep.m_tasks[aEnd.m_task.m_index].m_failures;
  if (aJob.m_spec.m_steps[aEnd.m_task.m_step].m_gang) {
    failures = 0;
    for (const Task& member : aStep.m_tasks) {
      failures += member.m_failures;
    }
  }
  if (aJob.m_state != JobState::kActive || failures < aLimit(aJob.m_queue)) {
    return;
  }
  aJob.m_reason =
    NameOf(aEnd.m_task) + " failed " + std::to_string(failures) + " times";
  Finish(aJob, JobState::kFailed, aEnd.m_at);
}

// The leader that detected the loss has classified the evidence. The decision
// that follows is made here, in the replicated state, so that it survives a
// change of leader.
void
JobTable::AddLoss(Job& aJob, const EndRun& aEnd, StepRun& aStep)
{
  if (aJob.m_state != JobState::kActive) {
    return;
  }
  Task& task = aStep.m_tasks[aEnd.m_task.m_index];
  task.m_losses.push_back({ task.m_worker,
                            aEnd.m_lostInstance,
                            aEnd.m_run,
                            aEnd.m_evidence,
                            aEnd.m_at });
  IndexLosses(aEnd.m_task, task);
  const auto losses = jobs::LossesOf(
    aJob.m_spec.m_steps[aEnd.m_task.m_step], aStep, aEnd.m_task.m_index);
  if (IsProvenCrasher(losses)) {
    aJob.m_reason = DescribeCrashes(aEnd.m_task, losses);
    Finish(aJob, JobState::kFailed, aEnd.m_at);
  }
}

CallOutcome
JobTable::ApplyChange(const MarkRunStable& aMark,
                      const AttemptLimit& /*aLimit*/)
{
  Task* task = FindMutableTask(aMark.m_task);
  if (task != nullptr && task->m_phase == TaskPhase::kRunning &&
      task->m_lastRun == aMark.m_run) {
    task->m_isStable = true;
    UnindexLosses(aMark.m_task, *task);
    task->m_losses.clear();
    task->m_ranUntil.reset();
  }
  return CallOutcome::kNone;
}

CallOutcome
JobTable::ApplyChange(const SetRunIncarnation& aChange,
                      const AttemptLimit& /*aLimit*/)
{
  Task* task = FindMutableTask(aChange.m_task);
  if (task != nullptr && task->m_phase == TaskPhase::kRunning &&
      task->m_lastRun == aChange.m_run && !task->m_worker.HasStartTime() &&
      task->m_worker.m_id == aChange.m_worker.m_id) {
    const Job& job = *Find(aChange.m_task.m_job);
    RemoveFromWorker(task->m_worker, job, aChange.m_task);
    task->m_worker = aChange.m_worker;
    AddToWorker(task->m_worker, job, aChange.m_task);
  }
  return CallOutcome::kNone;
}

CallOutcome
JobTable::ApplyChange(const RetractLoss& aRetraction,
                      const AttemptLimit& /*aLimit*/)
{
  Task* task = FindMutableTask(aRetraction.m_task);
  if (task != nullptr && m_tasksWithLosses.contains(aRetraction.m_task)) {
    UnindexLosses(aRetraction.m_task, *task);
    std::erase_if(task->m_losses, [&](const WorkerLoss& aLoss) {
      return aLoss.m_run == aRetraction.m_run;
    });
    IndexLosses(aRetraction.m_task, *task);
  }
  return CallOutcome::kNone;
}

CallOutcome
JobTable::ApplyChange(const FailJob& aFail, const AttemptLimit& /*aLimit*/)
{
  Job* job = FindJob(aFail.m_job);
  if (job != nullptr && job->m_state == JobState::kActive) {
    job->m_reason = aFail.m_reason;
    Finish(*job, JobState::kFailed, aFail.m_at);
  }
  return CallOutcome::kNone;
}

void
JobTable::Finish(Job& aJob, JobState aState, WallTime aAt)
{
  aJob.m_state = aState;
  aJob.m_endedAt = aAt;
  while (HasLosses(aJob.m_id)) {
    const TaskRef task = *m_tasksWithLosses.lower_bound(TaskRef{ aJob.m_id });
    UnindexLosses(task, *FindTask(task));
  }
  if (!aJob.m_started && aJob.m_spec.m_repeatCount == 0) {
    --m_pending[aJob.m_queue];
  }
  CloseIfIdle(aJob);
  UpdateStartable(aJob);
}

void
JobTable::CloseIfIdle(Job& aJob)
{
  if (aJob.m_state != JobState::kActive && aJob.m_running == 0) {
    RemoveTasks(aJob);
    m_open.erase(aJob.m_order);
    const auto found =
      std::lower_bound(m_openJobs.begin(),
                       m_openJobs.end(),
                       aJob.m_order,
                       [](const Job* aLeft, std::uint64_t aOrder) {
                         return aLeft->m_order < aOrder;
                       });
    if (found != m_openJobs.end() && *found == &aJob) {
      m_openJobs.erase(found);
    }
  }
}

CallOutcome
JobTable::ApplyChange(const RemoveEndedJobs& aRemoval,
                      const AttemptLimit& /*aLimit*/)
{
  std::erase_if(m_jobs, [&](const auto& aEntry) {
    const Job& job = aEntry.second;
    const bool isRemoved = job.m_state != JobState::kActive &&
                           job.m_running == 0 &&
                           job.m_endedAt < aRemoval.m_before;
    m_bytes -= isRemoved ? job.m_bytes : 0;
    return isRemoved;
  });
  return CallOutcome::kNone;
}

void
JobTable::RebuildIndexes()
{
  m_open.clear();
  m_tasksByWorker.clear();
  m_useByWorker.clear();
  m_useByWorkspace.clear();
  m_startable.clear();
  m_pending.clear();
  m_tasksWithLosses.clear();
  m_tasksByLostWorker.clear();
  m_bytes = 0;
  for (auto& [id, job] : m_jobs) {
    job.m_running = 0;
    job.m_occurrencesDone = job.m_firstOccurrence;
    job.m_bytes = 0;
    AddBytes(job, BytesOf(id, job.m_spec));
    for (auto& [number, occurrence] : job.m_occurrences) {
      occurrence.m_stepsDone = 0;
      if (job.m_spec.m_repeatCount != 0) {
        AddBytes(job, BytesOf(occurrence));
      }
      for (std::uint32_t s = 0; s < occurrence.m_steps.size(); ++s) {
        StepRun& step = occurrence.m_steps[s];
        for (std::uint32_t i = 0; i < step.m_tasks.size(); ++i) {
          const Task& task = step.m_tasks[i];
          if (!task.m_losses.empty() && job.m_state == JobState::kActive) {
            IndexLosses(TaskRef{ id, number, s, i }, task);
          }
          step.m_checkpointBytes += task.m_checkpoint.size();
          if (task.m_phase == TaskPhase::kDone) {
            ++step.m_done;
          } else if (task.m_phase == TaskPhase::kRunning) {
            ++step.m_running;
            ++job.m_running;
            AddToWorker(task.m_worker, job, TaskRef{ id, number, s, i });
          }
        }
        if (step.HasTasks()) {
          AddBytes(job,
                   BytesOfTasks(id.Get().size(), step.m_count) +
                     step.m_checkpointBytes);
        }
        if (step.IsDone()) {
          RemoveTasks(job, step);
          ++occurrence.m_stepsDone;
        }
      }
      if (occurrence.m_stepsDone == occurrence.m_steps.size()) {
        ++job.m_occurrencesDone;
      }
    }
    if (job.m_state == JobState::kActive || job.m_running > 0) {
      m_open.emplace(job.m_order, id);
    } else {
      CloseIfIdle(job);
    }
    UpdateStartable(job);
    if (job.m_state == JobState::kActive && !job.m_started &&
        job.m_spec.m_repeatCount == 0) {
      ++m_pending[job.m_queue];
    }
  }
  ListOpenJobs();
}

void
JobTable::ListOpenJobs()
{
  m_openJobs.clear();
  m_openJobs.reserve(m_open.size());
  for (const auto& [order, id] : m_open) {
    m_openJobs.push_back(Find(id));
  }
}

} // namespace bamboostile::jobs
