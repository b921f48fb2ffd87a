#include "bamboostile/placement/unplaced_tasks.h"

#include <algorithm>

namespace bamboostile::placement {

namespace {

/** Time after which tasks that wait for others to end count as demand for
 * workers. A worker that is ordered then comes later than most of those ends.
 */
constexpr Duration kDemandAfter = Millis{ 1000 };
/** The same time for tasks that no worker of the pool will have room for.
 * Workers that were to leave it get tasks again within this time. */
constexpr Duration kDemandWithoutRoomAfter = Millis{ 200 };

} // namespace

void
UnplacedTaskRecord::OnPlanned(const UnplacedBySteps& aUnplaced, TimePoint aNow)
{
  std::erase_if(m_waits, [&](const auto& aEntry) {
    return !aUnplaced.contains(aEntry.first);
  });
  for (const auto& [step, tasks] : aUnplaced) {
    Wait& wait = m_waits.try_emplace(step, Wait{ {}, aNow, aNow, aNow, aNow })
                   .first->second;
    if (tasks.m_count > wait.m_tasks.m_count ||
        tasks.m_task != wait.m_tasks.m_task) {
      wait.m_changedAt = aNow;
    }
    if (tasks.m_count < wait.m_tasks.m_count) {
      wait.m_shrankAt = aNow;
    }
    wait.m_tasks = tasks;
    if (tasks.m_withoutRoom == 0) {
      wait.m_withoutRoomSince = aNow;
    }
  }
}

std::map<ServiceId, PlacementShortage>
UnplacedTaskRecord::Assess(const fleet::State& aState, TimePoint aNow) const
{
  std::map<ServiceId, PlacementShortage> shortages;
  for (const auto& [first, wait] : m_waits) {
    const jobs::Job* job = aState.Jobs().Find(first.m_job);
    if (job == nullptr || job->m_state != jobs::JobState::kActive) {
      continue;
    }
    const auto route = aState.RouteLookup().Find(job->m_queue);
    if (!route) {
      continue;
    }
    PlacementShortage& shortage =
      shortages[aState.Routes().m_routes[*route].m_service];
    shortage.m_holdsWorkers =
      shortage.m_holdsWorkers || aNow < wait.m_changedAt + kDemandAfter;
    std::uint32_t count = 0;
    if (aNow >= wait.m_since + kDemandAfter) {
      count = wait.m_tasks.m_count;
    } else if (aNow >= wait.m_withoutRoomSince + kDemandWithoutRoomAfter) {
      count = wait.m_tasks.m_withoutRoom;
    }
    if (count > 0) {
      shortage.m_needWorkers.push_back(
        { &job->m_spec.m_steps[first.m_step], count });
      shortage.m_waited =
        std::max<Duration>(shortage.m_waited, aNow - wait.m_shrankAt);
    }
  }
  return shortages;
}

} // namespace bamboostile::placement
