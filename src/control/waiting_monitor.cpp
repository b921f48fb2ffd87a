#include "bamboostile/control/waiting_monitor.h"

#include "bamboostile/telemetry/log.h"

#include "worker_log.h"

#include <algorithm>

namespace bamboostile::control {

namespace {

using telemetry::Level;
using telemetry::LogLine;

/** Minimum time between two lines on one task: passes follow each other within
 * milliseconds, and reasons may alternate. */
constexpr Duration kLogInterval = Millis{ 1000 };
/** Maximum number of lines of one pass. The tasks left out have their lines in
 * later passes. */
constexpr std::size_t kMaxLines = 8;

} // namespace

// A leader that was elected meanwhile has not seen the wait from its beginning.
Duration
WaitingMonitor::Waiting::WaitedAt(TimePoint aNow) const
{
  const Duration seen = aNow - m_since;
  return std::max(seen, Duration{ m_last.m_sinceLoss.value_or(Millis{}) });
}

void
WaitingMonitor::Log(const char* aMessage,
                    const jobs::TaskRef& aTask,
                    const Waiting& aWaiting,
                    TimePoint aNow)
{
  LogLine line{ Level::kInfo, aMessage };
  line.With("job", aTask.m_job.Get())
    .With("step", aTask.m_step)
    .With("task", aTask.m_index)
    .With("reason", placement::Describe(aWaiting.m_last.m_reason))
    .With("waitedMs", ToMillis(aWaiting.WaitedAt(aNow)).count());
  if (aWaiting.m_last.m_withoutRun) {
    line.With("withoutRunMs", aWaiting.m_last.m_withoutRun->count());
  }
  if (aWaiting.m_last.m_blockedBy) {
    line.With("behindTask", aWaiting.m_last.m_blockedBy->m_index)
      .With("behindStep", aWaiting.m_last.m_blockedBy->m_step);
  }
  if (const auto& workers = aWaiting.m_last.m_workers) {
    line.With("workersExcluded", workers->m_excluded)
      .With("workersUnresponsive", workers->m_unresponsive)
      .With("workersDisallowed", workers->m_disallowed)
      .With("workersFull", workers->m_full)
      .With("workersFullOfLongRunning", workers->m_fullOfLongRunning)
      .With("workersFullByReport", workers->m_fullByReport)
      .With("workersWithheld", workers->m_withheld);
  }
  line.Write();
}

void
WaitingMonitor::OnPlanned(
  const std::map<jobs::TaskRef, placement::WaitingTask>& aWaiting,
  TimePoint aNow)
{
  std::size_t lines = 0;
  std::erase_if(m_waiting, [&](const auto& aEntry) {
    const auto& [task, waiting] = aEntry;
    if (aWaiting.contains(task)) {
      return false;
    }
    if (waiting.m_logged && lines < kMaxLines) {
      Log("task waits no longer", task, waiting, aNow);
      ++lines;
    }
    return true;
  });
  for (const auto& [task, reason] : aWaiting) {
    const auto [found, isNew] = m_waiting.try_emplace(task);
    Waiting& waiting = found->second;
    if (isNew) {
      waiting.m_since = aNow;
      waiting.m_quietUntil = aNow + kLogInterval;
    }
    waiting.m_last = reason;
    const bool isChanged = waiting.m_logged != reason.m_reason;
    const bool isDue = aNow >= waiting.m_quietUntil;
    const bool isRepeated = isChanged || aNow >= waiting.m_repeatAt;
    if (isDue && isRepeated && lines < kMaxLines) {
      Log(reason.m_isLongRunning ? "long-running task waits" : "suspect waits",
          task,
          waiting,
          aNow);
      waiting.m_quietUntil = aNow + kLogInterval;
      waiting.m_repeatAt = aNow + (aNow - waiting.m_since);
      waiting.m_logged = reason.m_reason;
      ++lines;
    }
  }
}

void
WaitingMonitor::OnRestarted(const std::vector<placement::Restart>& aRestarts)
{
  std::size_t lines = 0;
  for (const placement::Restart& restart : aRestarts) {
    if (++lines > kMaxLines) {
      break;
    }
    LogLine line = WorkerLogLine(
      Level::kInfo, "long-running task restarts", restart.m_worker);
    line.With("job", restart.m_task.m_job.Get())
      .With("step", restart.m_task.m_step)
      .With("task", restart.m_task.m_index)
      .With("run", restart.m_run.Get())
      .With("losses", restart.m_losses)
      .With("workerRisk", placement::Describe(restart.m_risk))
      .With("reportAgeMs", restart.m_reportAge.count())
      .With("startsBeside", restart.m_startsBeside);
    if (restart.m_withoutRun) {
      line.With("withoutRunMs", restart.m_withoutRun->count());
    }
    line.Write();
  }
}

void
WaitingMonitor::Export(TimePoint aNow,
                       telemetry::Metrics& aMetrics,
                       Millis aLongestWithoutRun) const
{
  std::size_t longRunning = 0;
  std::size_t suspects = 0;
  Duration longest{};
  Duration longestOfSuspects{};
  Millis longestWithoutRun = aLongestWithoutRun;
  for (const auto& [task, waiting] : m_waiting) {
    const Duration waited = waiting.WaitedAt(aNow);
    if (waiting.m_last.m_isLongRunning) {
      ++longRunning;
      longest = std::max(longest, waited);
      longestWithoutRun = std::max(
        longestWithoutRun, waiting.m_last.m_withoutRun.value_or(Millis{}));
    }
    if (waiting.m_last.m_sinceLoss) {
      ++suspects;
      longestOfSuspects = std::max(longestOfSuspects, waited);
    }
  }
  const auto set = [&](const char* aName, auto aValue) {
    aMetrics.Set(aName, static_cast<double>(aValue));
  };
  set("long_running_tasks_waiting", longRunning);
  set("long_running_tasks_longest_wait_ms", ToMillis(longest).count());
  set("long_running_tasks_longest_without_run_ms", longestWithoutRun.count());
  set("suspects_waiting", suspects);
  set("suspects_longest_wait_ms", ToMillis(longestOfSuspects).count());
}

} // namespace bamboostile::control
