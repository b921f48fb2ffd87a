#include "bamboostile/control/job_service.h"

#include "worker_log.h"

#include "bamboostile/placement/origin.h"

#include <algorithm>

namespace bamboostile::control {

/**
 * @file
 * @brief The job service's handling of worker reports and the answers to them.
 */

namespace {

using telemetry::Level;

/** Maximum time for which a report waits for its worker's next start. Longer
 * than batches take, even at an overloaded leader; after 1 s the worker drops
 * the answer and with it its lease. */
constexpr Duration kMaxAnswerDelay = Millis{ 500 };

} // namespace

kj::Promise<WorkerAnswer>
JobService::Report(const placement::WorkerReport& aReport,
                   TimePoint aReceivedAt)
{
  if (!EnsureLeading()) {
    return NotLeaderAnswer();
  }
  const TimePoint now = MonotonicNow();
  m_latencies.Observe(Stage::kReportQueued, now - aReceivedAt);
  m_shedder.RecordWait(now - aReceivedAt, now);
  const WorkerIncarnation worker = aReport.m_worker;
  const std::uint64_t sequence = aReport.m_sequence;
  const placement::Worker* known = m_workers->Find(worker);
  if (const auto foreign =
        placement::CheckOrigin(aReport, m_node.State(), known)) {
    return Ignore(aReport, *foreign, now);
  }
  const bool isNew = known == nullptr;
  placement::ReportResult result =
    m_workers->OnReport(aReport, m_node.State().Jobs(), now, WallNow());
  if (result.m_superseded) {
    RecordRestart(aReport, result);
  }
  if (result.m_skippedEnds > 0) {
    RecordSkippedEnds(aReport, result.m_skippedEnds);
  }
  if (result.m_isIgnoringStarts) {
    RecordIgnoringStarts(worker);
  }
  if (result.m_hasBecomeUnreachable || result.m_isReachableAgain) {
    RecordReachability(worker, result.m_isReachableAgain);
  }
  if (result.m_ignored) {
    return Ignore(aReport, *result.m_ignored, now);
  }
  if (isNew) {
    WorkerLogLine(Level::kInfo, "first report from worker", worker)
      .With("ofInstance", Excerpt(aReport.m_instance.Get()))
      .With("service", Excerpt(aReport.m_service.Get()))
      .With("cpuMillis", aReport.m_capacity.m_cpuMillis)
      .With("active", aReport.m_active.size())
      .Write();
  }
  m_needsPlan = m_needsPlan || result.m_changed;
  const bool hasNoEnds = result.m_ends.empty();
  QueueEnds(std::move(result.m_ends));
  m_queuedChanges.insert(
    m_queuedChanges.end(), result.m_adopted.begin(), result.m_adopted.end());
  QueueRetractions(worker, result.m_retractions);
  auto pair = kj::newPromiseAndFulfiller<WorkerAnswer>();
  // The report waits for the result of a batch in progress, but not for long.
  const bool nothingToDo =
    !m_needsPlan && !m_isCycleActive && m_queuedChanges.empty();
  m_pendingReports.push_back({ worker,
                               sequence,
                               aReceivedAt,
                               hasNoEnds,
                               nothingToDo,
                               kj::mv(pair.fulfiller) });
  if (nothingToDo) {
    AnswerPlanned();
  } else {
    ScheduleCycle();
  }
  return kj::mv(pair.promise);
}

void
JobService::QueueRetractions(const WorkerIncarnation& aWorker,
                             const std::vector<jobs::RetractLoss>& aRetractions)
{
  if (m_node.State().Version() < fleet::kVersionWithRetractions) {
    return;
  }
  for (const jobs::RetractLoss& loss : aRetractions) {
    m_metrics.Count("losses_retracted_total");
    WorkerLogLine(Level::kInfo, "loss retracted: its worker runs on", aWorker)
      .With("job", loss.m_task.m_job.Get())
      .With("occurrence", loss.m_task.m_occurrence)
      .With("step", loss.m_task.m_step)
      .With("task", loss.m_task.m_index)
      .With("run", loss.m_run.Get())
      .Write();
    m_queuedChanges.emplace_back(loss);
    m_needsPlan = true;
  }
}

kj::Promise<WorkerAnswer>
JobService::Leave(const WorkerIncarnation& aWorker)
{
  if (!EnsureLeading()) {
    return NotLeaderAnswer();
  }
  // A leave that does not name its incarnation ends none if the worker has
  // several.
  const WorkerIncarnation incarnation =
    aWorker.HasStartTime()
      ? aWorker
      : m_workers->FindOnlyIncarnation(aWorker.m_id).value_or(aWorker);
  WorkerLogLine(Level::kInfo, "worker left", incarnation).Write();
  OnIncarnationEnded(incarnation);
  WorkerAnswer answer;
  answer.m_orders.emplace();
  return answer;
}

WorkerAnswer
JobService::AnswerOf(const PendingReport& aReport,
                     bool aIsLeader,
                     TimePoint aNow)
{
  if (!aIsLeader) {
    return NotLeaderAnswer();
  }
  WorkerAnswer answer;
  const placement::Worker* worker = m_workers->Find(aReport.m_worker);
  if (worker == nullptr ||
      worker->m_lastReport.m_sequence != aReport.m_sequence) {
    answer.m_refusal = "overtaken by a later report, or the worker has ended";
    return answer;
  }
  m_latencies.Observe(Stage::kReportAnswered, aNow - aReport.m_receivedAt);
  answer.m_orders =
    m_workers->Answer(aReport.m_worker, m_node.State().Jobs(), aNow);
  answer.m_fencingToken = m_term;
  LogStops(aReport.m_worker, answer.m_orders->m_stops, aNow);
  return answer;
}

// The end of a long-running task is seen by its users. What the leader knew of
// the rest of the step tells a decision on outdated reports from a run that the
// leader had given up and that went on.
void
JobService::LogStops(const WorkerIncarnation& aWorker,
                     const std::vector<placement::StopOrder>& aStops,
                     TimePoint aNow) const
{
  const jobs::JobTable& book = m_node.State().Jobs();
  for (const placement::StopOrder& stop : aStops) {
    const jobs::Job* job = book.Find(stop.m_task.m_job);
    const jobs::Task* task = book.FindTask(stop.m_task);
    if (job == nullptr || task == nullptr ||
        job->m_state != jobs::JobState::kActive ||
        !job->m_spec.m_steps[stop.m_task.m_step].m_longRunning) {
      continue;
    }
    const auto others =
      m_workers->AvailabilityOfOthers(*job, stop.m_task, aNow);
    WorkerLogLine(Level::kInfo, "stopping a long-running task", aWorker)
      .With("job", stop.m_task.m_job.Get())
      .With("step", stop.m_task.m_step)
      .With("task", stop.m_task.m_index)
      .With("run", stop.m_run.Get())
      .With("placedHere",
            placement::IsExpected(book, aWorker, stop.m_task, stop.m_run))
      .With("lastRun", task->m_lastRun.Get())
      .With("others", others.m_others)
      .With("unavailable", others.m_unavailable)
      .With("budget", others.m_budget.value_or(others.m_others))
      .With("oldestReportMs", ToMillis(others.m_oldestReport).count())
      .Write();
  }
}

void
JobService::AnswerPlanned()
{
  const bool isLeader = EnsureLeading();
  const TimePoint now = MonotonicNow();
  const auto isPlanned = [](const PendingReport& aReport) {
    return aReport.m_isPlanned;
  };
  const bool mayHold =
    isLeader && m_sheddingLevel == placement::SheddingLevel::kNone &&
    m_options.m_mechanisms.Has(placement::Mechanism::kHeldReports);
  for (PendingReport& report : TakePending(isPlanned)) {
    const TimePoint deadline =
      report.m_receivedAt + m_options.m_lease.m_steadyAnswerDelay;
    if (mayHold && now < deadline &&
        m_workers->IsSteady(report.m_worker, m_node.State().Jobs())) {
      HoldReport(kj::mv(report), deadline);
    } else {
      report.m_fulfiller->fulfill(AnswerOf(report, isLeader, now));
    }
  }
  AnswerHeld(isLeader, now);
}

void
JobService::AnswerOverdue(TimePoint aNow)
{
  const auto isOverdue = [aNow](const PendingReport& aReport) {
    return aNow >= aReport.m_receivedAt + kMaxAnswerDelay;
  };
  for (PendingReport& report : TakePending(isOverdue)) {
    report.m_fulfiller->fulfill(AnswerOf(report, true, aNow));
  }
}

void
JobService::AnswerAllAsFollower()
{
  for (PendingReport& report : std::exchange(m_pendingReports, {})) {
    report.m_fulfiller->fulfill(NotLeaderAnswer());
  }
  for (auto& [worker, held] : std::exchange(m_heldReports, {})) {
    held.m_report.m_fulfiller->fulfill(NotLeaderAnswer());
  }
}

std::vector<JobService::PendingReport>
JobService::TakePending(
  const std::function<bool(const PendingReport&)>& aIsSelected)
{
  const auto selected = std::stable_partition(
    m_pendingReports.begin(),
    m_pendingReports.end(),
    [&](const PendingReport& aReport) { return !aIsSelected(aReport); });
  std::vector<PendingReport> all(
    std::make_move_iterator(selected),
    std::make_move_iterator(m_pendingReports.end()));
  m_pendingReports.erase(selected, m_pendingReports.end());
  return all;
}

// A start is sent with the answer to a report. If steady workers report often,
// they use up the leader's time; if they report seldom, they get their starts
// late. A worker whose report is held gets a start at once, and reports less
// than twice per second. The time for which a report may be held includes the
// time that it has waited already: the worker drops a late answer, and with it
// its lease. An overloaded leader adds to every wait and holds no reports; it
// asks for the next one later instead.
void
JobService::HoldReport(PendingReport aReport, TimePoint aDeadline)
{
  const WorkerIncarnation worker = aReport.m_worker;
  HeldReport& held = m_heldReports[worker];
  if (held.m_report.m_fulfiller.get() != nullptr) {
    held.m_report.m_fulfiller->fulfill(NotLeaderAnswer());
  }
  held.m_report = kj::mv(aReport);
  held.m_deadline = aDeadline;
}

void
JobService::AnswerHeld(bool aIsLeader, TimePoint aNow)
{
  for (auto it = m_heldReports.begin(); it != m_heldReports.end();) {
    const bool isSteady =
      aIsLeader && m_workers->IsSteady(it->first, m_node.State().Jobs());
    if (isSteady && aNow < it->second.m_deadline) {
      ++it;
      continue;
    }
    PendingReport& report = it->second.m_report;
    report.m_fulfiller->fulfill(AnswerOf(report, aIsLeader, aNow));
    it = m_heldReports.erase(it);
  }
}

WorkerAnswer
JobService::Ignore(const placement::WorkerReport& aReport,
                   placement::IgnoreReason aReason,
                   TimePoint aNow)
{
  const std::string reason = placement::Describe(aReason);
  m_metrics.Count("reports_ignored_total{reason=\"" + reason + "\"}");
  if (const auto unlogged = m_ignoredLog.Admit(aNow)) {
    WorkerLogLine(Level::kInfo, "report ignored", aReport.m_worker)
      .With("ofInstance", Excerpt(aReport.m_instance.Get()))
      .With("service", Excerpt(aReport.m_service.Get()))
      .With("sequence", aReport.m_sequence)
      .With("reason", reason)
      .With("unloggedBefore", *unlogged)
      .Write();
  }
  WorkerAnswer answer;
  answer.m_refusal = reason;
  if (aReason == placement::IgnoreReason::kUnconfirmed) {
    answer.m_orders = m_workers->AnswerUnconfirmed();
    answer.m_fencingToken = m_term;
  }
  return answer;
}

void
JobService::RecordRestart(const placement::WorkerReport& aReport,
                          const placement::ReportResult& aResult)
{
  m_metrics.Count("worker_restarts_total");
  WorkerLogLine(Level::kInfo, "worker has started again", aReport.m_worker)
    .With("ofInstance", Excerpt(aReport.m_instance.Get()))
    .With("service", Excerpt(aReport.m_service.Get()))
    .With("sequence", aReport.m_sequence)
    .With("previous", aResult.m_superseded->m_id.Get())
    .With("previousStartedAtMs", aResult.m_superseded->m_startedAt.Get())
    .With("runsEnded", aResult.m_ends.size())
    .Write();
}

void
JobService::RecordIgnoringStarts(const WorkerIncarnation& aWorker)
{
  m_metrics.Count("workers_ignoring_starts_total");
  const placement::Worker& worker = *m_workers->Find(aWorker);
  WorkerLogLine(Level::kWarning, "worker excluded: it ignores starts", aWorker)
    .With("ofInstance", worker.m_lastReport.m_instance.Get())
    .With("starts", worker.m_unshownStarts.size())
    .With("exclusions", worker.m_ignored.m_exclusions)
    .With("forMs",
          ToMillis(worker.m_ignored.m_excludedUntil - MonotonicNow()).count())
    .Write();
}

void
JobService::RecordReachability(const WorkerIncarnation& aWorker,
                               bool aIsReachable)
{
  m_metrics.Count(aIsReachable ? "workers_reachable_again_total"
                               : "workers_unreachable_total");
  const placement::Worker& worker = *m_workers->Find(aWorker);
  WorkerLogLine(Level::kWarning,
                aIsReachable ? "worker gets starts again: an answer reached it"
                             : "worker excluded: no answer reaches it",
                aWorker)
    .With("ofInstance", worker.m_lastReport.m_instance.Get())
    .With("starts", worker.m_unshownStarts.size())
    .Write();
}

// The worker forgets ends that are acknowledged; if such an end was not
// accepted, the run would stay placed there forever.
void
JobService::RecordSkippedEnds(const placement::WorkerReport& aReport,
                              std::size_t aCount)
{
  m_metrics.Count("ends_skipped_total");
  WorkerLogLine(
    Level::kWarning, "ends skipped: already acknowledged", aReport.m_worker)
    .With("sequence", aReport.m_sequence)
    .With("ends", aCount)
    .Write();
}

} // namespace bamboostile::control
