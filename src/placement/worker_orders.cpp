#include "bamboostile/placement/workers.h"

#include "run_lookup.h"

#include <algorithm>

namespace bamboostile::placement {

namespace {

constexpr std::uint32_t kFullRate = 100;
/** Of its CPU in use, where a worker counts as full: what is left is less than
 * a task of the usual size needs. */
constexpr std::int64_t kFullPercent = 85;
/** Share of a latency target at which filler tasks beside it is slowed, and
 * below which it is let go again. Between them lies the noise of a tail that
 * is measured over half a second. */
constexpr std::uint32_t kSlowAtPercent = 75;
constexpr std::uint32_t kReleaseAtPercent = 50;
constexpr std::uint32_t kReleaseStep = 25;
/** However full the leader is, a worker can miss two reports in a row before
 * its tasks are in doubt, and four before its lease is over. */
constexpr Duration kSeldomest = Millis{ 700 };

/** A long-running task that is at work as it should be. Those that fill are
 * paced by reports, and those that warm up are waited for. */
bool
IsAtRest(const jobs::Book& aBook,
         const WorkerLife& aWorker,
         const RunReport& aRun)
{
  const jobs::Job* job = aBook.Find(aRun.m_task.m_job);
  if (job == nullptr || job->m_state != jobs::JobState::kActive ||
      !IsExpected(aBook, aWorker, aRun.m_task, aRun.m_run)) {
    return false;
  }
  const jobs::StepSpec& step = StepOf(*job, aRun.m_task);
  return step.m_longRunning && !step.m_fills &&
         aRun.m_percent >= kAtWorkPercent;
}

} // namespace

bool
WorkerTable::IsQuiet(const WorkerLife& aWorker, const jobs::Book& aBook) const
{
  const Worker* worker = Find(aWorker);
  if (worker == nullptr || worker->m_last.m_draining ||
      !worker->m_last.m_ended.empty() || !worker->m_toStop.empty()) {
    return false;
  }
  const auto& active = worker->m_last.m_active;
  const auto placed = aBook.Placed().find(aWorker);
  const std::size_t expected =
    placed == aBook.Placed().end() ? 0 : placed->second.size();
  return active.size() == expected &&
         std::all_of(active.begin(), active.end(), [&](const auto& aRun) {
           return IsAtRest(aBook, aWorker, aRun);
         });
}

// Reports without ends are most of what a leader takes in a peak, and full
// workers are most of those that send them.
Duration
WorkerTable::UsualNextReport(const Worker& aWorker,
                             const jobs::Book& aBook) const
{
  const WorkerLife& id = aWorker.m_last.m_worker;
  // A trial takes the worker from all others until a report shows its outcome.
  if (IsQuiet(id, aBook) || HasTrial(aWorker, aBook)) {
    return m_options.m_reportAgain;
  }
  const auto placed = aBook.Placed().find(id);
  if (placed == aBook.Placed().end() || !aWorker.m_rates.empty()) {
    return m_options.m_reportEvery;
  }
  std::int64_t usedCpu = 0;
  for (const jobs::TaskRef& ref : placed->second) {
    const jobs::StepSpec& step = StepOf(*aBook.Find(ref.m_job), ref);
    usedCpu += step.CountedCpu();
  }
  const std::int64_t allCpu = aWorker.m_last.m_capacity.m_cpuMillis;
  const bool isFull = usedCpu * 100 >= allCpu * kFullPercent;
  return isFull ? m_options.m_reportWhenFull : m_options.m_reportEvery;
}

Duration
WorkerTable::NextReport(const Worker& aWorker, const jobs::Book& aBook) const
{
  return std::min<Duration>(UsualNextReport(aWorker, aBook) * m_reportStretch,
                            kSeldomest);
}

Orders
WorkerTable::AnswerUnproven() const
{
  Orders orders;
  orders.m_nextReport = m_options.m_reportEvery;
  return orders;
}

Orders
WorkerTable::Answer(const WorkerLife& aWorker,
                    const jobs::Book& aBook,
                    TimePoint aNow)
{
  Orders orders;
  Worker& worker = m_workers.at(aWorker);
  const WorkerReport& report = worker.m_last;
  orders.m_ackedUpTo = worker.m_ackedUpTo;
  orders.m_lease = m_options.m_lease;
  orders.m_nextReport = NextReport(worker, aBook);
  worker.m_leaseEnd = aNow + LongestHold();
  for (const RunReport& run : report.m_active) {
    const jobs::Job* job = aBook.Find(run.m_task.m_job);
    // Between the decision to move a task and this answer, others of its step
    // may have been lost; the stop is then taken back.
    if (job != nullptr && !report.m_draining &&
        worker.m_toStop.contains({ run.m_task, run.m_run }) &&
        IsExpected(aBook, aWorker, run.m_task, run.m_run) &&
        !MayDisrupt(*job, run.m_task, aNow)) {
      worker.m_toStop.erase({ run.m_task, run.m_run });
    }
    const bool wanted = job != nullptr &&
                        job->m_state == jobs::JobState::kActive &&
                        IsExpected(aBook, aWorker, run.m_task, run.m_run) &&
                        !worker.m_toStop.contains({ run.m_task, run.m_run });
    if (!wanted) {
      orders.m_stops.push_back({ run.m_task, run.m_run });
    }
  }
  if (!report.m_draining) {
    for (const PendingStart& start : FindPending(worker, aBook)) {
      if (start.m_job->m_state != jobs::JobState::kActive || !start.m_fits) {
        continue;
      }
      worker.m_sentAt[start.m_task] = aNow;
      orders.m_starts.push_back({ start.m_task,
                                  start.m_run,
                                  start.m_job->m_spec.m_payload,
                                  aBook.FindTask(start.m_task)->m_checkpoint });
    }
  }
  AddRates(worker, aBook, orders);
  return orders;
}

// Filler tasks raise the tail of tasks that serve beside them. They are
// slowed by halves while a target is near, and let go in steps: fast down,
// slow up, so that a target is passed for less than a second.
void
WorkerTable::AddRates(Worker& aWorker, const jobs::Book& aBook, Orders& aOrders)
{
  bool isClose = false;
  bool isCalm = true;
  for (const RunReport& run : aWorker.m_last.m_active) {
    const jobs::StepSpec* step = FindStep(aBook, run.m_task);
    if (step == nullptr) {
      continue;
    }
    const auto target =
      static_cast<std::uint32_t>(step->m_latencyTarget.count());
    if (target == 0) {
      continue;
    }
    isClose = isClose || run.m_load * 100 > target * kSlowAtPercent;
    isCalm = isCalm && run.m_load * 100 < target * kReleaseAtPercent;
  }
  for (const RunReport& run : aWorker.m_last.m_active) {
    const jobs::StepSpec* step = FindStep(aBook, run.m_task);
    if (step == nullptr || !step->m_fills) {
      continue;
    }
    const auto known = aWorker.m_rates.find(run.m_task);
    const std::uint32_t before =
      known == aWorker.m_rates.end() ? kFullRate : known->second;
    std::uint32_t rate = before;
    if (isClose) {
      rate = before / 2;
    } else if (isCalm) {
      rate = std::min(kFullRate, before + kReleaseStep);
    }
    if (rate != kFullRate || before != kFullRate) {
      aWorker.m_rates[run.m_task] = rate;
      aOrders.m_rates.push_back({ run.m_task, run.m_run, rate });
    }
  }
}

} // namespace bamboostile::placement
