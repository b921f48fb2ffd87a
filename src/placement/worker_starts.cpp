#include "bamboostile/placement/workers.h"

#include "bamboostile/placement/workspace_accounts.h"

#include "run_lookup.h"

#include <algorithm>
#include <utility>

namespace bamboostile::placement {

namespace {

/** Minimum number of received answers with a start before it counts as ignored:
 * a report may be sent while an answer is under way. */
constexpr std::uint32_t kMinAnswersToIgnore = 3;
/** Minimum time from an answer that arrives to the next report. A connection
 * that is reset takes less, as the worker reports to another node at once. */
constexpr Duration kMinIntervalAfterReceipt = Millis{ 40 };
/** Time between two reports up to which the answer to the first one has
 * arrived. Workers whose clock is slow by LeaseOptions::m_driftPercent are
 * covered. */
constexpr Duration kMaxIntervalAfterReceipt = kAnswerTimeout * 9 / 10;
/** Limits how often the exclusion of a worker that ignores starts grows, each
 * time by half. */
constexpr std::uint32_t kMaxExclusionSteps = 8;

// A worker waits kAnswerTimeout for an answer before it reports again, so an
// earlier report proves that the answer has arrived. Its own clock shows the
// time between the two, however long either was under way.
bool
HasReceivedAnswer(const Worker& aWorker,
                  const WorkerReport& aReport,
                  TimePoint aNow)
{
  const WorkerReport& last = aWorker.m_lastReport;
  const bool hasForgottenEnds =
    !last.m_ended.empty() &&
    (aReport.m_ended.empty() ||
     aReport.m_ended.front().m_number > last.m_ended.front().m_number);
  const Duration betweenReports =
    aReport.m_sentAt && last.m_sentAt
      ? Duration{ *aReport.m_sentAt - *last.m_sentAt }
      : aNow - aWorker.m_lastReportAt;
  return hasForgottenEnds || (betweenReports >= kMinIntervalAfterReceipt &&
                              betweenReports < kMaxIntervalAfterReceipt);
}

} // namespace

// The account of the workspace includes the start itself.
bool
WorkerTable::IsWithinCap(const jobs::Job& aJob,
                         const jobs::StepSpec& aStep) const
{
  const workspaces::Account* account = m_accounts.Find(aJob.m_workspace);
  return account == nullptr || account->MayKeep(ChargeOf(aStep));
}

// A worker may report less free capacity after a start was decided. A worker
// that does not check its capacity would accept the start anyway.
std::vector<WorkerTable::PendingStart>
WorkerTable::FindPending(const Worker& aWorker,
                         const jobs::JobTable& aBook) const
{
  std::vector<PendingStart> pending;
  const WorkerReport& report = aWorker.m_lastReport;
  const auto placed = aBook.TasksByWorker().find(report.m_worker);
  if (placed == aBook.TasksByWorker().end()) {
    return pending;
  }
  ReservedCapacity use = aWorker.m_reservedByActive;
  for (const jobs::TaskRef& ref : placed->second) {
    const RunNumber run = aBook.FindTask(ref)->m_lastRun;
    if (Contains(report.m_active, ref, run) ||
        Contains(report.m_ended, ref, run)) {
      continue;
    }
    const jobs::Job* job = aBook.Find(ref.m_job);
    const jobs::StepSpec& step = StepOf(*job, ref);
    const bool fits =
      use.LeavesCapacityFor(report.m_capacity, step) && IsWithinCap(*job, step);
    if (fits) {
      use.Add(step);
    }
    pending.push_back({ ref, run, job, fits });
  }
  return pending;
}

void
WorkerTable::TrackReceipt(Worker& aWorker,
                          const WorkerReport& aReport,
                          TimePoint aNow,
                          ReportResult& aResult)
{
  const bool isReceived = HasReceivedAnswer(aWorker, aReport, aNow);
  for (auto& [task, start] : aWorker.m_unshownStarts) {
    start.m_answersReceived += isReceived && start.m_isInLastAnswer ? 1 : 0;
    start.m_isInLastAnswer = false;
  }
  if (!isReceived) {
    return;
  }
  aWorker.m_answerReceivedAt = aNow;
  aResult.m_isReachableAgain = std::exchange(aWorker.m_isUnreachable, false);
  aResult.m_changed = aResult.m_changed || aResult.m_isReachableAgain;
}

void
WorkerTable::TrackUnshownStarts(Worker& aWorker,
                                const jobs::JobTable& aBook,
                                TimePoint aNow)
{
  const WorkerReport& report = aWorker.m_lastReport;
  std::erase_if(aWorker.m_unshownStarts, [&](const auto& aEntry) {
    const auto& [task, start] = aEntry;
    const bool isShown = Contains(report.m_active, task, start.m_run) ||
                         Contains(report.m_ended, task, start.m_run);
    if (isShown) {
      aWorker.m_ignored = {};
      aWorker.m_isUnreachable = false;
      aWorker.m_answerReceivedAt = aNow;
    }
    return isShown || !IsPlaced(aBook, report.m_worker, task, start.m_run);
  });
}

// Another program may send valid reports and execute no order, and a process
// may hang while its reports go on. Its tasks would wait for good, as no lease
// ends and nothing fails. It gets one start at a time, after ever longer
// pauses, until a report shows one. Answers that are lost say nothing about
// their worker: a fault of the network or of the leader loses those to many
// workers at once. A worker for which no answer is known to have arrived in the
// time of a lease gets starts again with the first one that arrives.
void
WorkerTable::ExcludeIfIgnoringStarts(Worker& aWorker,
                                     TimePoint aNow,
                                     ReportResult& aResult) const
{
  if (aWorker.IsIgnoringStarts(aNow)) {
    return;
  }
  for (const auto& [task, start] : aWorker.m_unshownStarts) {
    const TimePoint since = start.m_firstSentAt;
    if (start.m_isGivenUp) {
      continue;
    }
    if (start.m_answersReceived >= kMinAnswersToIgnore &&
        aNow >= since + m_options.m_startTimeout) {
      Exclude(aWorker, aNow);
      aResult.m_isIgnoringStarts = true;
      aResult.m_changed = true;
      return;
    }
    if (start.m_answers >= kMinAnswersToIgnore &&
        aNow >=
          std::max(since, aWorker.m_answerReceivedAt) + MaxLeaseDuration()) {
      aWorker.m_isUnreachable = true;
      aResult.m_hasBecomeUnreachable = true;
      aResult.m_changed = true;
      return;
    }
  }
}

void
WorkerTable::Exclude(Worker& aWorker, TimePoint aNow) const
{
  IgnoredStarts& ignored = aWorker.m_ignored;
  const Duration first = m_options.m_maxReportDelay;
  // A start that is ignored long after the last exclusion is another fault.
  const bool isRecent = aNow < ignored.m_excludedUntil + first;
  const std::uint32_t steps =
    isRecent ? std::min(ignored.m_exclusions, kMaxExclusionSteps) : 0;
  Duration period = first;
  for (std::uint32_t i = 0; i < steps; ++i) {
    period += period / 2;
  }
  ignored.m_excludedUntil = aNow + period;
  ignored.m_exclusions = steps + 1;
  for (auto& [task, start] : aWorker.m_unshownStarts) {
    start.m_isGivenUp = true;
  }
}

bool
WorkerTable::IsGivenUp(const Worker& aWorker, const jobs::TaskRef& aTask)
{
  const auto found = aWorker.m_unshownStarts.find(aTask);
  return found != aWorker.m_unshownStarts.end() && found->second.m_isGivenUp;
}

// A start that no report shows long after it was sent was lost together with
// its answer, or its worker ignores starts. If the run is no longer wanted
// there, or does not fit, its reservation is released; other starts are simply
// sent again. Without this, a task whose start was lost on a draining worker
// would wait until that worker ends. The next report alone proves nothing: one
// that announces draining is sent while an answer is under way, and a run that
// starts with that answer would run a second time elsewhere.
void
WorkerTable::EndLostStarts(Worker& aWorker,
                           const jobs::JobTable& aBook,
                           TimePoint aNow,
                           WallTime aWall,
                           ReportResult& aResult)
{
  const auto placed = aBook.TasksByWorker().find(aWorker.m_lastReport.m_worker);
  if (placed == aBook.TasksByWorker().end() ||
      placed->second.size() == aWorker.m_reportedRuns) {
    return;
  }
  ExcludeIfIgnoringStarts(aWorker, aNow, aResult);
  for (const PendingStart& start : FindPending(aWorker, aBook)) {
    const jobs::TaskRef& ref = start.m_task;
    const bool isWanted = start.m_job->m_state == jobs::JobState::kActive &&
                          !aWorker.m_lastReport.m_draining && start.m_fits &&
                          !aWorker.IsIgnoringStarts(aNow) &&
                          !IsGivenUp(aWorker, ref);
    if (isWanted) {
      continue;
    }
    const auto sent = aWorker.m_sentAt.find(ref);
    const TimePoint since =
      sent == aWorker.m_sentAt.end() ? m_leaderSince : sent->second;
    const bool isLostStart = aNow >= since + m_options.m_maxReportDelay;
    if (isLostStart) {
      aWorker.m_sentAt.erase(ref);
      aWorker.m_unshownStarts.erase(ref);
      aWorker.m_unsent[ref] = { start.m_run, true };
      aResult.m_changed = true;
      aResult.m_ends.push_back(
        { ref, start.m_run, jobs::RunEnd::kStopped, "", aWall });
    }
  }
}

} // namespace bamboostile::placement
