#include "bamboostile/jobs/book.h"
#include "bamboostile/jobs/spec_codec.h"

#include "text.h"

#include "bamboostile/units/visit.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <algorithm>
#include <limits>

namespace bamboostile::jobs {

namespace {

/** Read limit; a snapshot of all jobs may exceed Cap'n Proto's default. */
constexpr std::uint64_t kMaxWords = 512ULL * 1024 * 1024 / sizeof(capnp::word);

std::string
ToBytes(capnp::MessageBuilder& aMessage)
{
  kj::VectorOutputStream out;
  capnp::writePackedMessage(out, aMessage);
  const auto bytes = out.getArray().asChars();
  return { bytes.begin(), bytes.size() };
}

/** Reads a packed message; returns nullopt if the bytes are corrupt. */
template<typename Schema, typename Fn>
auto
ReadPacked(const std::string& aBytes, Fn aRead)
  -> std::optional<decltype(aRead(std::declval<typename Schema::Reader>()))>
{
  try {
    kj::ArrayInputStream in(kj::arrayPtr(
      reinterpret_cast<const kj::byte*>(aBytes.data()), aBytes.size()));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMaxWords;
    capnp::PackedMessageReader reader(in, options);
    return aRead(reader.template getRoot<Schema>());
  } catch (const kj::Exception&) {
    return std::nullopt;
  }
}

void
Write(const TaskRef& aTask, schema::TaskRef::Builder aTo)
{
  aTo.setJob(ToText(aTask.m_job.Get()));
  aTo.setOccurrence(aTask.m_occurrence);
  aTo.setStep(aTask.m_step);
  aTo.setIndex(aTask.m_index);
}

TaskRef
Read(schema::TaskRef::Reader aFrom)
{
  return { JobId{ Text(aFrom.getJob()) },
           aFrom.getOccurrence(),
           aFrom.getStep(),
           aFrom.getIndex() };
}

WorkerIncarnation
ReadIncarnation(capnp::Text::Reader aId, std::int64_t aStartedAtMs)
{
  return { WorkerId{ Text(aId) }, WallTime{ aStartedAtMs } };
}

// A small number takes fewer bytes than a second time of day. The wall clock
// may have been set back in between.
std::uint32_t
EncodeTimeBefore(const EndRun& aEnd)
{
  constexpr std::int64_t kMax = std::numeric_limits<std::uint32_t>::max() - 1;
  const std::int64_t before = aEnd.m_at.Get() - aEnd.m_ranUntil->Get();
  return static_cast<std::uint32_t>(
    1 + std::clamp(before, std::int64_t{ 0 }, kMax));
}

std::optional<WallTime>
DecodeTimeBefore(std::uint32_t aEncoded, WallTime aEnd)
{
  return aEncoded == 0 ? std::nullopt
                       : std::optional{ WallTime{ aEnd.Get() + 1 - aEncoded } };
}

void
Write(const Change& aChange, schema::Change::Builder aTo)
{
  std::visit(Overloaded{
               [&](const Submit& aSubmit) {
                 auto to = aTo.initSubmit();
                 to.setJob(ToText(aSubmit.m_job.Get()));
                 to.setQueue(ToText(aSubmit.m_queue.Get()));
                 jobs::Write(aSubmit.m_spec, to.initSpec());
                 to.setAtMs(aSubmit.m_at.Get());
                 if (!aSubmit.m_workspace.Get().empty()) {
                   to.setWorkspace(ToText(aSubmit.m_workspace.Get()));
                   to.setBeyondShare(aSubmit.m_isBeyondShare);
                 }
               },
               [&](const Cancel& aCancel) {
                 auto to = aTo.initCancel();
                 to.setCancelled(ToText(aCancel.m_job.Get()));
                 to.setCancelAtMs(aCancel.m_at.Get());
               },
               [&](const StartRun& aStart) {
                 auto to = aTo.initStart();
                 Write(aStart.m_task, to.initTask());
                 to.setRun(aStart.m_run.Get());
                 to.setWorker(ToText(aStart.m_worker.m_id.Get()));
                 to.setWorkerStartedAtMs(aStart.m_worker.m_startedAt.Get());
               },
               [&](const EndRun& aEnd) {
                 auto to = aTo.initEnd();
                 Write(aEnd.m_task, to.initEnded());
                 to.setEndedRun(aEnd.m_run.Get());
                 to.setHow(static_cast<std::uint8_t>(aEnd.m_endReason));
                 to.setCheckpoint(ToText(aEnd.m_checkpoint));
                 to.setEndAtMs(aEnd.m_at.Get());
                 to.setLate(aEnd.m_isLate);
                 if (aEnd.m_evidence != CrashEvidence::kNone) {
                   to.setEvidence(static_cast<std::uint8_t>(aEnd.m_evidence));
                   to.setLostInstance(ToText(aEnd.m_lostInstance.Get()));
                 }
                 if (aEnd.m_ranUntil) {
                   to.setShownBeforeEndMs(EncodeTimeBefore(aEnd));
                 }
               },
               [&](const FailJob& aFail) {
                 auto to = aTo.initFail();
                 to.setFailed(ToText(aFail.m_job.Get()));
                 to.setReason(ToText(aFail.m_reason));
                 to.setFailAtMs(aFail.m_at.Get());
               },
               [&](const RemoveEndedJobs& aRemoval) {
                 aTo.initForget().setEndedBeforeMs(aRemoval.m_before.Get());
               },
               [&](const MarkRunStable& aMark) {
                 auto to = aTo.initSettle();
                 Write(aMark.m_task, to.initSettled());
                 to.setSettledRun(aMark.m_run.Get());
               },
               [&](const SetRunIncarnation& aSetIncarnation) {
                 auto to = aTo.initAdopt();
                 Write(aSetIncarnation.m_task, to.initAdopted());
                 to.setAdoptedRun(aSetIncarnation.m_run.Get());
                 to.setAdopter(ToText(aSetIncarnation.m_worker.m_id.Get()));
                 to.setAdopterStartedAtMs(
                   aSetIncarnation.m_worker.m_startedAt.Get());
               },
               [&](const RetractLoss& aRetraction) {
                 auto to = aTo.initRetract();
                 Write(aRetraction.m_task, to.initRetracted());
                 to.setRetractedRun(aRetraction.m_run.Get());
               },
             },
             aChange);
}

Change
Read(schema::Change::Reader aFrom)
{
  switch (aFrom.which()) {
    case schema::Change::SUBMIT: {
      const auto from = aFrom.getSubmit();
      return Submit{ JobId{ Text(from.getJob()) },
                     QueueId{ Text(from.getQueue()) },
                     jobs::Read(from.getSpec()),
                     WallTime{ from.getAtMs() },
                     WorkspaceId{ Text(from.getWorkspace()) },
                     from.getBeyondShare() };
    }
    case schema::Change::CANCEL: {
      const auto from = aFrom.getCancel();
      return Cancel{ JobId{ Text(from.getCancelled()) },
                     WallTime{ from.getCancelAtMs() } };
    }
    case schema::Change::START: {
      const auto from = aFrom.getStart();
      return StartRun{ Read(from.getTask()),
                       RunNumber{ from.getRun() },
                       ReadIncarnation(from.getWorker(),
                                       from.getWorkerStartedAtMs()) };
    }
    case schema::Change::END: {
      const auto from = aFrom.getEnd();
      return EndRun{ Read(from.getEnded()),
                     RunNumber{ from.getEndedRun() },
                     static_cast<RunEnd>(from.getHow()),
                     Text(from.getCheckpoint()),
                     WallTime{ from.getEndAtMs() },
                     static_cast<CrashEvidence>(from.getEvidence()),
                     InstanceId{ Text(from.getLostInstance()) },
                     from.getLate(),
                     DecodeTimeBefore(from.getShownBeforeEndMs(),
                                      WallTime{ from.getEndAtMs() }) };
    }
    case schema::Change::FAIL: {
      const auto from = aFrom.getFail();
      return FailJob{ JobId{ Text(from.getFailed()) },
                      Text(from.getReason()),
                      WallTime{ from.getFailAtMs() } };
    }
    case schema::Change::FORGET:
      return RemoveEndedJobs{ WallTime{
        aFrom.getForget().getEndedBeforeMs() } };
    case schema::Change::SETTLE: {
      const auto from = aFrom.getSettle();
      return MarkRunStable{ Read(from.getSettled()),
                            RunNumber{ from.getSettledRun() } };
    }
    case schema::Change::ADOPT: {
      const auto from = aFrom.getAdopt();
      return SetRunIncarnation{ Read(from.getAdopted()),
                                RunNumber{ from.getAdoptedRun() },
                                ReadIncarnation(from.getAdopter(),
                                                from.getAdopterStartedAtMs()) };
    }
    case schema::Change::RETRACT: {
      const auto from = aFrom.getRetract();
      return RetractLoss{ Read(from.getRetracted()),
                          RunNumber{ from.getRetractedRun() } };
    }
  }
  KJ_FAIL_REQUIRE("unknown kind of change");
}

// Hardly any task has losses, and a list that is not initialized takes no
// bytes.
void
WriteLosses(const std::vector<WorkerLoss>& aLosses,
            schema::TaskState::Builder aTo)
{
  if (aLosses.empty()) {
    return;
  }
  auto list = aTo.initLosses(static_cast<unsigned>(aLosses.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setWorker(ToText(aLosses[i].m_worker.m_id.Get()));
    list[i].setWorkerStartedAtMs(aLosses[i].m_worker.m_startedAt.Get());
    list[i].setInstance(ToText(aLosses[i].m_instance.Get()));
    list[i].setRun(aLosses[i].m_run.Get());
    list[i].setEvidence(static_cast<std::uint8_t>(aLosses[i].m_evidence));
    list[i].setAtMs(aLosses[i].m_at.Get());
  }
}

std::vector<WorkerLoss>
ReadLosses(schema::TaskState::Reader aFrom)
{
  std::vector<WorkerLoss> losses;
  for (auto loss : aFrom.getLosses()) {
    losses.push_back(
      { ReadIncarnation(loss.getWorker(), loss.getWorkerStartedAtMs()),
        InstanceId{ Text(loss.getInstance()) },
        RunNumber{ loss.getRun() },
        static_cast<CrashEvidence>(loss.getEvidence()),
        WallTime{ loss.getAtMs() } });
  }
  return losses;
}

} // namespace

struct JobTableCodec
{
  /** aIsCompact: a step without states of tasks is written as a count. */
  static void Write(const StepRun& aStep,
                    schema::JobState::Step::Builder aTo,
                    bool aIsCompact)
  {
    if (aIsCompact && !aStep.HasTasks()) {
      aTo.setCount(aStep.m_count);
      aTo.setDone(aStep.IsDone());
      return;
    }
    auto list = aTo.initTasks(aStep.m_count);
    for (unsigned i = 0; i < list.size(); ++i) {
      const Task& task = aStep.TaskAt(i);
      list[i].setPhase(static_cast<std::uint8_t>(task.m_phase));
      list[i].setLastRun(task.m_lastRun.Get());
      list[i].setFailures(task.m_failures);
      list[i].setWorker(ToText(task.m_worker.m_id.Get()));
      list[i].setWorkerStartedAtMs(task.m_worker.m_startedAt.Get());
      list[i].setCheckpoint(ToText(task.m_checkpoint));
      list[i].setSettled(task.m_isStable);
      if (task.m_ranUntil) {
        list[i].setRanUntilMs(task.m_ranUntil->Get());
      }
      WriteLosses(task.m_losses, list[i]);
    }
  }

  static void Write(const Job& aJob,
                    schema::JobState::Builder aTo,
                    bool aIsCompact)
  {
    aTo.setId(ToText(aJob.m_id.Get()));
    aTo.setQueue(ToText(aJob.m_queue.Get()));
    aTo.setWorkspace(ToText(aJob.m_workspace.Get()));
    aTo.setBeyondShare(aJob.m_isBeyondShare);
    jobs::Write(aJob.m_spec, aTo.initSpec());
    aTo.setState(static_cast<std::uint8_t>(aJob.m_state));
    aTo.setAcceptedAtMs(aJob.m_acceptedAt.Get());
    aTo.setEndedAtMs(aJob.m_endedAt.Get());
    aTo.setReason(ToText(aJob.m_reason));
    aTo.setOrder(aJob.m_order);
    aTo.setStarted(aJob.m_started);
    aTo.setFirstOccurrence(aJob.m_firstOccurrence);
    auto occurrences =
      aTo.initOccurrences(static_cast<unsigned>(aJob.m_occurrences.size()));
    unsigned at = 0;
    for (const auto& [number, occurrence] : aJob.m_occurrences) {
      auto to = occurrences[at++];
      to.setNumber(number);
      auto steps =
        to.initSteps(static_cast<unsigned>(occurrence.m_steps.size()));
      for (unsigned s = 0; s < steps.size(); ++s) {
        Write(occurrence.m_steps[s], steps[s], aIsCompact);
      }
    }
  }

  static StepRun Read(schema::JobState::Step::Reader aFrom)
  {
    StepRun run;
    run.m_count = std::max(aFrom.getCount(), aFrom.getTasks().size());
    run.m_done = aFrom.getDone() ? run.m_count : 0;
    for (auto taskState : aFrom.getTasks()) {
      Task& task = run.m_tasks.emplace_back();
      task.m_phase = static_cast<TaskPhase>(taskState.getPhase());
      task.m_lastRun = RunNumber{ taskState.getLastRun() };
      task.m_failures = taskState.getFailures();
      task.m_worker = ReadIncarnation(taskState.getWorker(),
                                      taskState.getWorkerStartedAtMs());
      task.m_checkpoint = Text(taskState.getCheckpoint());
      task.m_isStable = taskState.getSettled();
      task.m_losses = ReadLosses(taskState);
      if (taskState.getRanUntilMs() != 0) {
        task.m_ranUntil = WallTime{ taskState.getRanUntilMs() };
      }
    }
    const bool isUnused = std::all_of(
      run.m_tasks.begin(), run.m_tasks.end(), [](const Task& aTask) {
        return aTask.m_phase == TaskPhase::kWaiting &&
               aTask.m_lastRun == RunNumber{};
      });
    if (isUnused) {
      run.m_tasks = {};
    }
    return run;
  }

  static Job Read(schema::JobState::Reader aFrom)
  {
    Job job;
    job.m_id = JobId{ Text(aFrom.getId()) };
    job.m_queue = QueueId{ Text(aFrom.getQueue()) };
    job.m_workspace = WorkspaceId{ Text(aFrom.getWorkspace()) };
    job.m_isBeyondShare = aFrom.getBeyondShare();
    job.m_spec = jobs::Read(aFrom.getSpec());
    job.m_state = static_cast<JobState>(aFrom.getState());
    job.m_acceptedAt = WallTime{ aFrom.getAcceptedAtMs() };
    job.m_endedAt = WallTime{ aFrom.getEndedAtMs() };
    job.m_reason = Text(aFrom.getReason());
    job.m_order = aFrom.getOrder();
    job.m_started = aFrom.getStarted();
    job.m_firstOccurrence = aFrom.getFirstOccurrence();
    for (auto from : aFrom.getOccurrences()) {
      Occurrence& occurrence = job.m_occurrences[from.getNumber()];
      for (auto step : from.getSteps()) {
        occurrence.m_steps.push_back(Read(step));
      }
    }
    return job;
  }

  static std::string Write(const JobTable& aJobTable, bool aIsCompact)
  {
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::Jobs>();
    root.setNextOrder(aJobTable.m_nextOrder);
    auto list = root.initJobs(static_cast<unsigned>(aJobTable.m_jobs.size()));
    unsigned at = 0;
    for (const auto& [id, job] : aJobTable.m_jobs) {
      Write(job, list[at++], aIsCompact);
    }
    return ToBytes(message);
  }

  static JobTable Read(schema::Jobs::Reader aFrom)
  {
    JobTable jobTable;
    jobTable.m_nextOrder = aFrom.getNextOrder();
    for (auto jobState : aFrom.getJobs()) {
      Job job = Read(jobState);
      jobTable.m_jobs.emplace(job.m_id, std::move(job));
    }
    jobTable.RebuildIndexes();
    return jobTable;
  }
};

std::string
EncodeBatch(const Batch& aBatch)
{
  capnp::MallocMessageBuilder message;
  auto changes = message.initRoot<schema::Batch>().initChanges(
    static_cast<unsigned>(aBatch.m_changes.size()));
  for (unsigned i = 0; i < changes.size(); ++i) {
    Write(aBatch.m_changes[i], changes[i]);
  }
  return ToBytes(message);
}

std::optional<Batch>
DecodeBatch(const std::string& aBytes)
{
  return ReadPacked<schema::Batch>(aBytes, [](schema::Batch::Reader aFrom) {
    Batch batch;
    for (auto change : aFrom.getChanges()) {
      batch.m_changes.push_back(Read(change));
    }
    return batch;
  });
}

std::string
EncodeJobTable(const JobTable& aJobTable, bool aIsCompact)
{
  return JobTableCodec::Write(aJobTable, aIsCompact);
}

std::optional<JobTable>
DecodeJobTable(const std::string& aBytes)
{
  return ReadPacked<schema::Jobs>(aBytes, [](schema::Jobs::Reader aFrom) {
    return JobTableCodec::Read(aFrom);
  });
}

} // namespace bamboostile::jobs
