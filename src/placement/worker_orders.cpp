#include "bamboostile/placement/workers.h"

#include "run_lookup.h"

#include <algorithm>

namespace bamboostile::placement {

namespace {

constexpr std::uint32_t kFullRate = 100;
/** Percentage of reserved CPU from which a worker counts as full: the rest is
 * less than a task of the usual size needs. */
constexpr std::int64_t kFullCpuPercent = 85;
/** Percentages of a latency target: at the first, best-effort tasks on the same
 * worker are slowed; below the second, they are sped up again. The gap covers
 * the noise of a tail latency that is measured over half a second. */
constexpr std::uint32_t kSlowAtPercent = 75;
constexpr std::uint32_t kSpeedUpAtPercent = 50;
constexpr std::uint32_t kSpeedUpStep = 25;
/** Upper bound of the report interval under any load of the leader: a worker
 * can miss two reports in a row before it counts as unresponsive, and four
 * before its lease ends. */
constexpr Duration kMaxReportInterval = Millis{ 700 };

/** Maximum size of the starts in one answer, before they are encoded. A worker
 * drops an answer of more than 4 MiB, and characters of a payload may take six
 * bytes each. */
constexpr std::size_t kMaxStartBytes = 512 * 1024;

std::size_t
SizeOf(const StartOrder& aStart)
{
  constexpr std::size_t kNameAndNumbers = 64;
  return kNameAndNumbers + aStart.m_payload.size() + aStart.m_checkpoint.size();
}

/** Whether the run needs no attention: a ready long-running task. Best-effort
 * tasks are excluded because reports control their rate, and tasks that are
 * warming up because others wait for them. */
bool
IsSteadyRun(const jobs::JobTable& aBook,
            const WorkerIncarnation& aWorker,
            const RunReport& aRun)
{
  const jobs::Job* job = aBook.Find(aRun.m_task.m_job);
  if (job == nullptr || job->m_state != jobs::JobState::kActive ||
      !IsExpected(aBook, aWorker, aRun.m_task, aRun.m_run)) {
    return false;
  }
  const jobs::StepSpec& step = StepOf(*job, aRun.m_task);
  return step.m_longRunning && !step.m_bestEffort &&
         aRun.m_percent >= kReadyPercent;
}

} // namespace

bool
WorkerTable::IsSteady(const WorkerIncarnation& aWorker,
                      const jobs::JobTable& aBook) const
{
  const Worker* worker = Find(aWorker);
  if (worker == nullptr || worker->m_lastReport.m_draining ||
      !worker->m_lastReport.m_ended.empty() || !worker->m_toStop.empty()) {
    return false;
  }
  const auto& active = worker->m_lastReport.m_active;
  const auto placed = aBook.TasksByWorker().find(aWorker);
  const std::size_t expected =
    placed == aBook.TasksByWorker().end() ? 0 : placed->second.size();
  return active.size() == expected &&
         std::all_of(active.begin(), active.end(), [&](const auto& aRun) {
           return IsSteadyRun(aBook, aWorker, aRun);
         });
}

// Reports without ends are most of a leader's load at a peak, and full workers
// send most of them.
Duration
WorkerTable::BaseReportInterval(const Worker& aWorker,
                                const jobs::JobTable& aBook) const
{
  const WorkerIncarnation& id = aWorker.m_lastReport.m_worker;
  // An overloaded leader answers steady workers at once, without holding their
  // reports.
  if (IsSteady(id, aBook) && m_reportIntervalFactor > 1) {
    return m_options.m_steadyAnswerDelay + m_options.m_steadyReportDelay;
  }
  // An isolated run blocks the worker for all other tasks until a report shows
  // its outcome, and so does the suspicion that no answer reaches it.
  if (aWorker.m_isUnreachable || IsSteady(id, aBook) ||
      HasIsolatedRun(aWorker, aBook)) {
    return m_options.m_steadyReportDelay;
  }
  const auto placed = aBook.TasksByWorker().find(id);
  if (placed == aBook.TasksByWorker().end() || !aWorker.m_rates.empty()) {
    return m_options.m_reportInterval;
  }
  std::int64_t usedCpu = 0;
  for (const jobs::TaskRef& ref : placed->second) {
    const jobs::StepSpec& step = StepOf(*aBook.Find(ref.m_job), ref);
    usedCpu += step.ReservedCpu();
  }
  const std::int64_t totalCpu = aWorker.m_lastReport.m_capacity.m_cpuMillis;
  const bool isFull = usedCpu * 100 >= totalCpu * kFullCpuPercent;
  return isFull ? m_options.m_fullReportInterval : m_options.m_reportInterval;
}

Duration
WorkerTable::ReportInterval(const Worker& aWorker,
                            const jobs::JobTable& aBook) const
{
  return std::min<Duration>(BaseReportInterval(aWorker, aBook) *
                              m_reportIntervalFactor,
                            kMaxReportInterval);
}

Orders
WorkerTable::AnswerUnconfirmed() const
{
  Orders orders;
  orders.m_nextReport = m_options.m_reportInterval;
  return orders;
}

void
WorkerTable::ForgetStop(Worker& aWorker,
                        const jobs::TaskRef& aTask,
                        RunNumber aRun)
{
  aWorker.m_toStop.erase({ aTask, aRun });
  aWorker.m_stopSentAt.erase({ aTask, aRun });
}

// Other tasks of the step may have been lost since the decision to move this
// one. A stop that was never sent is then withdrawn. One that was sent may be
// under way or obeyed already, while reports still show the run: if the run
// counted as ready again, its place in the budget would be given to another
// task, and both would be away. So it is not repeated, and the run does not
// count as ready until its end is reported, or until it is still active at a
// time when the stop would have taken effect.
bool
WorkerTable::ConfirmStop(Worker& aWorker,
                         const jobs::Job& aJob,
                         const jobs::TaskRef& aTask,
                         RunNumber aRun,
                         TimePoint aNow)
{
  const std::pair run{ aTask, aRun };
  if (!aWorker.m_toStop.contains(run)) {
    return false;
  }
  if (aWorker.m_lastReport.m_draining || MayDisrupt(aJob, aTask, aNow)) {
    aWorker.m_stopSentAt[run] = aNow;
    return true;
  }
  const auto sent = aWorker.m_stopSentAt.find(run);
  const bool mayBeUnderWay = sent != aWorker.m_stopSentAt.end() &&
                             aNow < sent->second + m_options.m_maxReportDelay;
  if (!mayBeUnderWay) {
    ForgetStop(aWorker, aTask, aRun);
  }
  return false;
}

void
WorkerTable::RecordSent(Worker& aWorker,
                        const PendingStart& aStart,
                        TimePoint aNow)
{
  aWorker.m_unsent.erase(aStart.m_task);
  aWorker.m_sentAt[aStart.m_task] = aNow;
  UnshownStart& unshown = aWorker.m_unshownStarts[aStart.m_task];
  if (unshown.m_run != aStart.m_run) {
    unshown = { aStart.m_run, aNow };
  }
  ++unshown.m_answers;
  unshown.m_isInLastAnswer = true;
}

Orders
WorkerTable::Answer(const WorkerIncarnation& aWorker,
                    const jobs::JobTable& aBook,
                    TimePoint aNow)
{
  Orders orders;
  Worker& worker = m_workers.at(aWorker);
  const WorkerReport& report = worker.m_lastReport;
  orders.m_ackedUpTo = worker.m_ackedUpTo;
  orders.m_lease = m_options.m_lease;
  orders.m_nextReport = ReportInterval(worker, aBook);
  worker.m_leaseEnd = aNow + MaxLeaseDuration();
  for (const RunReport& run : report.m_active) {
    const jobs::Job* job = aBook.Find(run.m_task.m_job);
    const bool isWanted =
      job != nullptr && job->m_state == jobs::JobState::kActive &&
      IsExpected(aBook, aWorker, run.m_task, run.m_run) &&
      !ConfirmStop(worker, *job, run.m_task, run.m_run, aNow);
    if (!isWanted) {
      orders.m_stops.push_back({ run.m_task, run.m_run });
    }
  }
  if (!report.m_draining && !worker.IsIgnoringStarts(aNow)) {
    std::size_t bytes = 0;
    for (const PendingStart& start : FindPending(worker, aBook)) {
      // The other members of a gang wait for those in the next answers.
      if (bytes >= kMaxStartBytes) {
        orders.m_nextReport =
          m_options.m_steadyReportDelay * m_reportIntervalFactor;
        break;
      }
      const auto unsent = worker.m_unsent.find(start.m_task);
      const bool isWithdrawn = unsent != worker.m_unsent.end() &&
                               unsent->second.m_run == start.m_run &&
                               unsent->second.m_isWithdrawn;
      if (start.m_job->m_state != jobs::JobState::kActive || !start.m_fits ||
          isWithdrawn || IsGivenUp(worker, start.m_task)) {
        continue;
      }
      RecordSent(worker, start, aNow);
      orders.m_starts.push_back({ start.m_task,
                                  start.m_run,
                                  start.m_job->m_spec.m_payload,
                                  aBook.CheckpointOf(start.m_task) });
      bytes += SizeOf(orders.m_starts.back());
    }
  }
  worker.m_reportDueAt =
    aNow + orders.m_nextReport + m_options.m_reportTolerance;
  AddRates(worker, aBook, orders);
  return orders;
}

// Best-effort tasks raise the tail latency of the tasks that they share a
// worker with. Their rate is halved while a target is close and raised in fixed
// steps afterwards. Slowing down faster than speeding up keeps a target from
// being exceeded for more than a second.
void
WorkerTable::AddRates(Worker& aWorker,
                      const jobs::JobTable& aBook,
                      Orders& aOrders)
{
  bool isNearTarget = false;
  bool isFarFromTarget = true;
  for (const RunReport& run : aWorker.m_lastReport.m_active) {
    const jobs::StepSpec* step = FindStep(aBook, run.m_task);
    if (step == nullptr) {
      continue;
    }
    const auto target =
      static_cast<std::uint32_t>(step->m_latencyTarget.count());
    if (target == 0) {
      continue;
    }
    isNearTarget = isNearTarget || run.m_load * 100 > target * kSlowAtPercent;
    isFarFromTarget =
      isFarFromTarget && run.m_load * 100 < target * kSpeedUpAtPercent;
  }
  for (const RunReport& run : aWorker.m_lastReport.m_active) {
    const jobs::StepSpec* step = FindStep(aBook, run.m_task);
    if (step == nullptr || !step->m_bestEffort) {
      continue;
    }
    const auto known = aWorker.m_rates.find(run.m_task);
    const std::uint32_t previous =
      known == aWorker.m_rates.end() ? kFullRate : known->second;
    std::uint32_t rate = previous;
    if (isNearTarget) {
      rate = previous / 2;
    } else if (isFarFromTarget) {
      rate = std::min(kFullRate, previous + kSpeedUpStep);
    }
    if (rate != kFullRate || previous != kFullRate) {
      aWorker.m_rates[run.m_task] = rate;
      aOrders.m_rates.push_back({ run.m_task, run.m_run, rate });
    }
  }
}

} // namespace bamboostile::placement
