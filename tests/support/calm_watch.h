#pragma once

#include "simulated_pool.h"

#include <algorithm>

/** Observes a pool every kTick, and finds what waits in calm. */
namespace calm_watch {

using namespace bamboostile;
using simulated_pool::SimulatedPool;

inline constexpr Millis kTick{ 50 };
/** After kCalm without a fault, no long-running task is without a run for
 * kMaxWithoutRun if kWorkersWithRoom have had room for it for kRoomLasts. */
inline constexpr Millis kCalm{ 7'000 };
inline constexpr Millis kMaxWithoutRun{ 6'000 };
inline constexpr Millis kRoomLasts{ 3'000 };
inline constexpr std::uint32_t kWorkersWithRoom = 2;
/** Maximum delay of a report; no exclusion can be expected to end sooner. */
inline constexpr Millis kMaxReportDelay{ 3'000 };

/** Looks for tasks of one job that are overdue. */
class TaskWatch
{
public:
  TaskWatch(std::string aJob, std::uint32_t aTasks)
    : m_job(std::move(aJob))
    , m_withoutRun(aTasks)
  {
  }

  void Observe(const SimulatedPool& aPool,
               Millis aCalm,
               std::vector<std::string>& aViolations)
  {
    if (aPool.StateOf(m_job) != jobs::JobState::kActive) {
      return;
    }
    const auto running = aPool.RunningTasksOf(m_job);
    const std::uint32_t workers = aPool.CountWorkersWithRoom(m_job);
    m_room = workers >= kWorkersWithRoom ? m_room + kTick : Millis{};
    for (std::uint32_t i = 0; i < m_withoutRun.size(); ++i) {
      Millis& withoutRun = m_withoutRun[i];
      withoutRun = running.contains(i) ? Millis{} : withoutRun + kTick;
      if (withoutRun >= kMaxWithoutRun && m_room >= kRoomLasts &&
          aCalm >= kCalm && m_overdue.insert(i).second) {
        aViolations.insert(aViolations.begin(), Describe(aPool, i, workers));
      }
    }
  }

private:
  std::string Describe(const SimulatedPool& aPool,
                       std::uint32_t aTask,
                       std::uint32_t aWorkers) const
  {
    const auto& tasks =
      aPool.JobOf(m_job).m_occurrences.begin()->second.m_steps.front().m_tasks;
    return m_job + "/" + std::to_string(aTask) + " at " +
           std::to_string(aPool.Now().count()) + " ms, without a run for " +
           std::to_string(m_withoutRun[aTask].count()) +
           " ms, workers with room " + std::to_string(aWorkers) + ", losses " +
           std::to_string(tasks[aTask].m_losses.size());
  }

  std::string m_job;
  std::vector<Millis> m_withoutRun;
  Millis m_room{};
  std::set<std::uint32_t> m_overdue;
};

/** Looks for workers that are excluded for too long. */
class ExclusionWatch
{
public:
  void Observe(const SimulatedPool& aPool,
               Millis aLongestFault,
               bool aIsCalm,
               std::vector<std::string>& aViolations)
  {
    for (std::uint32_t i = 0; i < m_excluded.size(); ++i) {
      const bool counts =
        aIsCalm && aPool.IsInService(i) && aPool.IsReporting(i);
      const std::string reason = counts ? aPool.ExclusionOf(i) : "";
      Millis& excluded = m_excluded[i];
      excluded = reason.empty() ? Millis{} : excluded + kTick;
      if (excluded > std::max(aLongestFault, kMaxReportDelay) &&
          m_reported.insert(i).second) {
        aViolations.push_back(
          "worker " + std::to_string(i) + " at " +
          std::to_string(aPool.Now().count()) + " ms, " + reason + " for " +
          std::to_string(excluded.count()) + " ms, longest fault " +
          std::to_string(aLongestFault.count()) + " ms");
      }
    }
  }

  explicit ExclusionWatch(std::uint32_t aWorkers)
    : m_excluded(aWorkers)
  {
  }

private:
  std::vector<Millis> m_excluded;
  std::set<std::uint32_t> m_reported;
};

} // namespace calm_watch
