#include "bamboostile/jobs/book.h"
#include "bamboostile/jobs/spec_codec.h"

#include "text.h"

#include "bamboostile/units/visit.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

namespace bamboostile::jobs {

namespace {

/** A snapshot of all jobs may hold more than Cap'n Proto reads by default. */
constexpr std::uint64_t kMaxWords = 512ULL * 1024 * 1024 / sizeof(capnp::word);

std::string
ToBytes(capnp::MessageBuilder& aMessage)
{
  kj::VectorOutputStream out;
  capnp::writePackedMessage(out, aMessage);
  const auto bytes = out.getArray().asChars();
  return { bytes.begin(), bytes.size() };
}

/** Reads a packed message; nothing where the bytes are damaged. */
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
  aTo.setJob(aTask.m_job.Get());
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

WorkerLife
ReadLife(capnp::Text::Reader aId, std::int64_t aStartedAtMs)
{
  return { WorkerId{ Text(aId) }, WallTime{ aStartedAtMs } };
}

void
Write(const Change& aChange, schema::Change::Builder aTo)
{
  std::visit(Overloaded{
               [&](const Submit& aOne) {
                 auto to = aTo.initSubmit();
                 to.setJob(aOne.m_job.Get());
                 to.setQueue(aOne.m_queue.Get());
                 jobs::Write(aOne.m_spec, to.initSpec());
                 to.setAtMs(aOne.m_at.Get());
               },
               [&](const Cancel& aOne) {
                 auto to = aTo.initCancel();
                 to.setCancelled(aOne.m_job.Get());
                 to.setCancelAtMs(aOne.m_at.Get());
               },
               [&](const StartRun& aOne) {
                 auto to = aTo.initStart();
                 Write(aOne.m_task, to.initTask());
                 to.setRun(aOne.m_run.Get());
                 to.setWorker(aOne.m_worker.m_id.Get());
                 to.setWorkerStartedAtMs(aOne.m_worker.m_startedAt.Get());
               },
               [&](const EndRun& aOne) {
                 auto to = aTo.initEnd();
                 Write(aOne.m_task, to.initEnded());
                 to.setEndedRun(aOne.m_run.Get());
                 to.setHow(static_cast<std::uint8_t>(aOne.m_how));
                 to.setCheckpoint(aOne.m_checkpoint);
                 to.setEndAtMs(aOne.m_at.Get());
                 to.setLate(aOne.m_isLate);
                 if (aOne.m_evidence != CrashEvidence::kNone) {
                   to.setEvidence(static_cast<std::uint8_t>(aOne.m_evidence));
                   to.setLostInstance(aOne.m_lostInstance.Get());
                 }
               },
               [&](const FailJob& aOne) {
                 auto to = aTo.initFail();
                 to.setFailed(aOne.m_job.Get());
                 to.setReason(aOne.m_reason);
                 to.setFailAtMs(aOne.m_at.Get());
               },
               [&](const ForgetEnded& aOne) {
                 aTo.initForget().setEndedBeforeMs(aOne.m_before.Get());
               },
               [&](const SettleRun& aOne) {
                 auto to = aTo.initSettle();
                 Write(aOne.m_task, to.initSettled());
                 to.setSettledRun(aOne.m_run.Get());
               },
               [&](const AdoptRun& aOne) {
                 auto to = aTo.initAdopt();
                 Write(aOne.m_task, to.initAdopted());
                 to.setAdoptedRun(aOne.m_run.Get());
                 to.setAdopter(aOne.m_worker.m_id.Get());
                 to.setAdopterStartedAtMs(aOne.m_worker.m_startedAt.Get());
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
                     WallTime{ from.getAtMs() } };
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
                       ReadLife(from.getWorker(),
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
                     from.getLate() };
    }
    case schema::Change::FAIL: {
      const auto from = aFrom.getFail();
      return FailJob{ JobId{ Text(from.getFailed()) },
                      Text(from.getReason()),
                      WallTime{ from.getFailAtMs() } };
    }
    case schema::Change::FORGET:
      return ForgetEnded{ WallTime{ aFrom.getForget().getEndedBeforeMs() } };
    case schema::Change::SETTLE: {
      const auto from = aFrom.getSettle();
      return SettleRun{ Read(from.getSettled()),
                        RunNumber{ from.getSettledRun() } };
    }
    case schema::Change::ADOPT: {
      const auto from = aFrom.getAdopt();
      return AdoptRun{ Read(from.getAdopted()),
                       RunNumber{ from.getAdoptedRun() },
                       ReadLife(from.getAdopter(),
                                from.getAdopterStartedAtMs()) };
    }
  }
  KJ_FAIL_REQUIRE("unknown kind of change");
}

// Hardly any task has losses, and a list that is not made takes no bytes.
void
WriteLosses(const std::vector<WorkerLoss>& aLosses,
            schema::TaskState::Builder aTo)
{
  if (aLosses.empty()) {
    return;
  }
  auto list = aTo.initLosses(static_cast<unsigned>(aLosses.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setWorker(aLosses[i].m_worker.m_id.Get());
    list[i].setWorkerStartedAtMs(aLosses[i].m_worker.m_startedAt.Get());
    list[i].setInstance(aLosses[i].m_instance.Get());
    list[i].setRun(aLosses[i].m_run.Get());
    list[i].setEvidence(static_cast<std::uint8_t>(aLosses[i].m_evidence));
    list[i].setAtMs(aLosses[i].m_at.Get());
  }
}

std::vector<WorkerLoss>
ReadLosses(schema::TaskState::Reader aFrom)
{
  std::vector<WorkerLoss> losses;
  for (auto one : aFrom.getLosses()) {
    losses.push_back({ ReadLife(one.getWorker(), one.getWorkerStartedAtMs()),
                       InstanceId{ Text(one.getInstance()) },
                       RunNumber{ one.getRun() },
                       static_cast<CrashEvidence>(one.getEvidence()),
                       WallTime{ one.getAtMs() } });
  }
  return losses;
}

} // namespace

struct BookCodec
{
  static void Write(const Job& aJob, schema::JobState::Builder aTo)
  {
    aTo.setId(aJob.m_id.Get());
    aTo.setQueue(aJob.m_queue.Get());
    jobs::Write(aJob.m_spec, aTo.initSpec());
    aTo.setState(static_cast<std::uint8_t>(aJob.m_state));
    aTo.setAcceptedAtMs(aJob.m_acceptedAt.Get());
    aTo.setEndedAtMs(aJob.m_endedAt.Get());
    aTo.setReason(aJob.m_reason);
    aTo.setOrder(aJob.m_order);
    aTo.setStarted(aJob.m_started);
    auto occurrences =
      aTo.initOccurrences(static_cast<unsigned>(aJob.m_occurrences.size()));
    unsigned at = 0;
    for (const auto& [number, occurrence] : aJob.m_occurrences) {
      auto to = occurrences[at++];
      to.setNumber(number);
      auto steps =
        to.initSteps(static_cast<unsigned>(occurrence.m_steps.size()));
      for (unsigned s = 0; s < steps.size(); ++s) {
        const auto& tasks = occurrence.m_steps[s].m_tasks;
        auto list = steps[s].initTasks(static_cast<unsigned>(tasks.size()));
        for (unsigned i = 0; i < list.size(); ++i) {
          list[i].setPhase(static_cast<std::uint8_t>(tasks[i].m_phase));
          list[i].setLastRun(tasks[i].m_lastRun.Get());
          list[i].setFailures(tasks[i].m_failures);
          list[i].setWorker(tasks[i].m_worker.m_id.Get());
          list[i].setWorkerStartedAtMs(tasks[i].m_worker.m_startedAt.Get());
          list[i].setCheckpoint(tasks[i].m_checkpoint);
          list[i].setSettled(tasks[i].m_settled);
          WriteLosses(tasks[i].m_losses, list[i]);
        }
      }
    }
  }

  static Job Read(schema::JobState::Reader aFrom)
  {
    Job job;
    job.m_id = JobId{ Text(aFrom.getId()) };
    job.m_queue = QueueId{ Text(aFrom.getQueue()) };
    job.m_spec = jobs::Read(aFrom.getSpec());
    job.m_state = static_cast<JobState>(aFrom.getState());
    job.m_acceptedAt = WallTime{ aFrom.getAcceptedAtMs() };
    job.m_endedAt = WallTime{ aFrom.getEndedAtMs() };
    job.m_reason = Text(aFrom.getReason());
    job.m_order = aFrom.getOrder();
    job.m_started = aFrom.getStarted();
    for (auto from : aFrom.getOccurrences()) {
      Occurrence& occurrence = job.m_occurrences[from.getNumber()];
      for (auto step : from.getSteps()) {
        StepRun& run = occurrence.m_steps.emplace_back();
        for (auto one : step.getTasks()) {
          Task& task = run.m_tasks.emplace_back();
          task.m_phase = static_cast<TaskPhase>(one.getPhase());
          task.m_lastRun = RunNumber{ one.getLastRun() };
          task.m_failures = one.getFailures();
          task.m_worker = ReadLife(one.getWorker(), one.getWorkerStartedAtMs());
          task.m_checkpoint = Text(one.getCheckpoint());
          task.m_settled = one.getSettled();
          task.m_losses = ReadLosses(one);
        }
      }
    }
    return job;
  }

  static std::string Write(const Book& aBook)
  {
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::Jobs>();
    root.setNextOrder(aBook.m_nextOrder);
    auto list = root.initJobs(static_cast<unsigned>(aBook.m_jobs.size()));
    unsigned at = 0;
    for (const auto& [id, job] : aBook.m_jobs) {
      Write(job, list[at++]);
    }
    return ToBytes(message);
  }

  static Book Read(schema::Jobs::Reader aFrom)
  {
    Book book;
    book.m_nextOrder = aFrom.getNextOrder();
    for (auto one : aFrom.getJobs()) {
      Job job = Read(one);
      book.m_jobs.emplace(job.m_id, std::move(job));
    }
    book.Reindex();
    return book;
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
EncodeBook(const Book& aBook)
{
  return BookCodec::Write(aBook);
}

std::optional<Book>
DecodeBook(const std::string& aBytes)
{
  return ReadPacked<schema::Jobs>(
    aBytes, [](schema::Jobs::Reader aFrom) { return BookCodec::Read(aFrom); });
}

} // namespace bamboostile::jobs
