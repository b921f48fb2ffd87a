#include "bamboostile/control/waiting_monitor.h"

#include "bamboostile/telemetry/log.h"

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

void
Log(const jobs::TaskRef& aTask, placement::WaitReason aReason, Duration aFor)
{
  LogLine(Level::kInfo, "long-running task waits")
    .With("job", aTask.m_job.Get())
    .With("step", aTask.m_step)
    .With("task", aTask.m_index)
    .With("reason", placement::Describe(aReason))
    .With("waitedMs", ToMillis(aFor).count())
    .Write();
}

} // namespace

void
WaitingMonitor::OnPlanned(
  const std::map<jobs::TaskRef, placement::WaitReason>& aWaiting,
  TimePoint aNow)
{
  std::erase_if(m_waiting, [&](const auto& aEntry) {
    return !aWaiting.contains(aEntry.first);
  });
  std::size_t lines = 0;
  for (const auto& [task, reason] : aWaiting) {
    const auto [found, isNew] = m_waiting.try_emplace(task);
    Waiting& waiting = found->second;
    if (isNew) {
      waiting.m_since = aNow;
      waiting.m_quietUntil = aNow + kLogInterval;
    }
    const bool isChanged = waiting.m_logged != reason;
    const bool isDue = aNow >= waiting.m_quietUntil;
    if (isChanged && isDue && lines < kMaxLines) {
      Log(task, reason, aNow - waiting.m_since);
      waiting.m_quietUntil = aNow + kLogInterval;
      waiting.m_logged = reason;
      ++lines;
    }
  }
}

void
WaitingMonitor::Export(TimePoint aNow, telemetry::Metrics& aMetrics) const
{
  Duration longest{};
  for (const auto& [task, waiting] : m_waiting) {
    longest = std::max(longest, Duration{ aNow - waiting.m_since });
  }
  aMetrics.Set("long_running_tasks_waiting",
               static_cast<double>(m_waiting.size()));
  aMetrics.Set("long_running_tasks_longest_wait_ms",
               static_cast<double>(ToMillis(longest).count()));
}

} // namespace bamboostile::control
