#include "bamboostile/control/job_service.h"

#include "worker_log.h"

#include <algorithm>

namespace bamboostile::control {

/**
 * @file
 * @brief What the job service takes from workers and answers them.
 */

namespace {

using telemetry::Level;

/** A report waits this long for what its worker is to start next. Longer than
 * batches take, also at a full leader; after 1 s the worker drops the answer,
 * and with it its lease. */
constexpr Duration kAnswerWithin = Millis{ 500 };

} // namespace

kj::Promise<WorkerAnswer>
JobService::Report(const placement::WorkerReport& aReport,
                   TimePoint aReceivedAt)
{
  if (!Leads()) {
    return NotLeading();
  }
  const TimePoint now = MonotonicNow();
  m_pace.Observe(Stage::kReportQueued, now - aReceivedAt);
  m_shedder.OnWaited(now - aReceivedAt, now);
  const WorkerLife worker = aReport.m_worker;
  const std::uint64_t sequence = aReport.m_sequence;
  const bool isNew = m_workers->Find(worker) == nullptr;
  placement::Heard heard =
    m_workers->OnReport(aReport, m_node.State().Jobs(), now, WallNow());
  if (heard.m_superseded) {
    NoteRestart(aReport, heard);
  }
  if (heard.m_skippedEnds > 0) {
    NoteSkippedEnds(aReport, heard.m_skippedEnds);
  }
  if (heard.m_ignored) {
    NoteIgnored(aReport, *heard.m_ignored, now);
    WorkerAnswer late;
    late.m_refusal = placement::Describe(*heard.m_ignored);
    if (heard.m_ignored == placement::Ignored::kUnproven) {
      late.m_orders = m_workers->AnswerUnproven();
      late.m_fencingToken = m_term;
    }
    return late;
  }
  if (isNew) {
    LineOf(Level::kInfo, "worker heard for the first time", worker)
      .With("ofInstance", aReport.m_instance.Get())
      .With("service", aReport.m_service.Get())
      .With("cpuMillis", aReport.m_capacity.m_cpuMillis)
      .With("active", aReport.m_active.size())
      .Write();
  }
  m_isDirty = m_isDirty || heard.m_changed;
  const bool isTaken = heard.m_ends.empty();
  Gather(std::move(heard.m_ends));
  m_gathered.insert(
    m_gathered.end(), heard.m_adopted.begin(), heard.m_adopted.end());
  auto pair = kj::newPromiseAndFulfiller<WorkerAnswer>();
  // What a batch under way decides is worth waiting for, but not for long.
  const bool nothingToDo = !m_isDirty && !m_isCycling && m_gathered.empty();
  m_waiting.push_back({ worker,
                        sequence,
                        aReceivedAt,
                        isTaken,
                        nothingToDo,
                        kj::mv(pair.fulfiller) });
  if (nothingToDo) {
    AnswerPlanned();
  } else {
    Kick();
  }
  return kj::mv(pair.promise);
}

kj::Promise<WorkerAnswer>
JobService::Leave(const WorkerLife& aWorker)
{
  if (!Leads()) {
    return NotLeading();
  }
  // One that does not say which life it is of ends none where there are
  // several.
  const WorkerLife life =
    aWorker.SaysStart()
      ? aWorker
      : m_workers->FindOnlyLife(aWorker.m_id).value_or(aWorker);
  LineOf(Level::kInfo, "worker left", life).Write();
  OnLifeEnded(life);
  WorkerAnswer answer;
  answer.m_orders.emplace();
  return answer;
}

WorkerAnswer
JobService::AnswerOf(const Waiting& aOne, bool aLeads, TimePoint aNow)
{
  if (!aLeads) {
    return NotLeading();
  }
  WorkerAnswer answer;
  const placement::Worker* worker = m_workers->Find(aOne.m_worker);
  if (worker == nullptr || worker->m_last.m_sequence != aOne.m_sequence) {
    answer.m_refusal = "overtaken by a later report, or the worker has ended";
    return answer;
  }
  m_pace.Observe(Stage::kReportAnswered, aNow - aOne.m_receivedAt);
  answer.m_orders =
    m_workers->Answer(aOne.m_worker, m_node.State().Jobs(), aNow);
  answer.m_fencingToken = m_term;
  return answer;
}

void
JobService::AnswerPlanned()
{
  const bool leads = Leads();
  const TimePoint now = MonotonicNow();
  const auto isPlanned = [](const Waiting& aOne) { return aOne.m_planned; };
  for (Waiting& one : TakeWaiting(isPlanned)) {
    if (leads &&
        m_options.m_mechanisms.Has(placement::Mechanism::kHeldReports) &&
        m_workers->IsQuiet(one.m_worker, m_node.State().Jobs())) {
      Hold(kj::mv(one), now);
    } else {
      one.m_fulfiller->fulfill(AnswerOf(one, leads, now));
    }
  }
  AnswerHeld(leads, now);
}

void
JobService::AnswerOverdue(TimePoint aNow)
{
  const auto isOverdue = [aNow](const Waiting& aOne) {
    return aNow >= aOne.m_receivedAt + kAnswerWithin;
  };
  for (Waiting& one : TakeWaiting(isOverdue)) {
    one.m_fulfiller->fulfill(AnswerOf(one, true, aNow));
  }
}

void
JobService::AnswerAllAsFollower()
{
  for (Waiting& one : std::exchange(m_waiting, {})) {
    one.m_fulfiller->fulfill(NotLeading());
  }
  for (auto& [worker, held] : std::exchange(m_held, {})) {
    held.m_report.m_fulfiller->fulfill(NotLeading());
  }
}

std::vector<JobService::Waiting>
JobService::TakeWaiting(const std::function<bool(const Waiting&)>& aIsTaken)
{
  const auto taken =
    std::stable_partition(m_waiting.begin(),
                          m_waiting.end(),
                          [&](const Waiting& aOne) { return !aIsTaken(aOne); });
  std::vector<Waiting> all(std::make_move_iterator(taken),
                           std::make_move_iterator(m_waiting.end()));
  m_waiting.erase(taken, m_waiting.end());
  return all;
}

// A start goes out with the answer to a report. Quiet workers that report often
// take the leader's time, those that report seldom get their starts late; one
// whose report is held gets them at once, and reports less than twice a second.
void
JobService::Hold(Waiting aOne, TimePoint aNow)
{
  const WorkerLife worker = aOne.m_worker;
  Held& held = m_held[worker];
  if (held.m_report.m_fulfiller.get() != nullptr) {
    held.m_report.m_fulfiller->fulfill(NotLeading());
  }
  held.m_report = kj::mv(aOne);
  held.m_until = aNow + m_options.m_lease.m_holdQuiet;
}

void
JobService::AnswerHeld(bool aLeads, TimePoint aNow)
{
  for (auto it = m_held.begin(); it != m_held.end();) {
    const bool isQuiet =
      aLeads && m_workers->IsQuiet(it->first, m_node.State().Jobs());
    if (isQuiet && aNow < it->second.m_until) {
      ++it;
      continue;
    }
    Waiting& report = it->second.m_report;
    report.m_fulfiller->fulfill(AnswerOf(report, aLeads, aNow));
    it = m_held.erase(it);
  }
}

void
JobService::NoteIgnored(const placement::WorkerReport& aReport,
                        placement::Ignored aReason,
                        TimePoint aNow)
{
  const std::string reason = placement::Describe(aReason);
  m_metrics.Count("reports_ignored_total{reason=\"" + reason + "\"}");
  if (const auto leftOut = m_ignoredLog.Admit(aNow)) {
    LineOf(Level::kInfo, "report ignored", aReport.m_worker)
      .With("sequence", aReport.m_sequence)
      .With("reason", reason)
      .With("unloggedBefore", *leftOut)
      .Write();
  }
}

void
JobService::NoteRestart(const placement::WorkerReport& aReport,
                        const placement::Heard& aHeard)
{
  m_metrics.Count("worker_restarts_total");
  LineOf(Level::kInfo, "worker has started again", aReport.m_worker)
    .With("ofInstance", aReport.m_instance.Get())
    .With("sequence", aReport.m_sequence)
    .With("previous", aHeard.m_superseded->m_id.Get())
    .With("previousStartedAtMs", aHeard.m_superseded->m_startedAt.Get())
    .With("runsEnded", aHeard.m_ends.size())
    .Write();
}

// The worker forgets what is acknowledged; a run whose end was not believed
// would stay placed there for ever.
void
JobService::NoteSkippedEnds(const placement::WorkerReport& aReport,
                            std::size_t aCount)
{
  m_metrics.Count("ends_skipped_total");
  LineOf(Level::kWarning,
         "ends skipped, acknowledged before they came",
         aReport.m_worker)
    .With("sequence", aReport.m_sequence)
    .With("ends", aCount)
    .Write();
}

} // namespace bamboostile::control
