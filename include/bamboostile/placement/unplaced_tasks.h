#pragma once

#include "bamboostile/fleet/state.h"
#include "bamboostile/units/ids.h"
#include "bamboostile/units/time.h"

#include <map>
#include <vector>

namespace bamboostile::placement {

/** Tasks of one step. */
struct TaskGroup
{
  const jobs::StepSpec* m_step = nullptr;
  std::uint32_t m_count = 0;
};

/** Long-running tasks of a step that a placement pass found no worker for. */
struct UnplacedTasks
{
  std::uint32_t m_count = 0;
  /** Those of them that no worker of the pool has capacity for, even once all
   * tasks that end by themselves have ended there. */
  std::uint32_t m_withoutRoom = 0;
  /** Index of one of them, which changes when others have begun to wait. */
  std::uint32_t m_task = 0;

  void Add(const UnplacedTasks& aOther)
  {
    m_count += aOther.m_count;
    m_withoutRoom += aOther.m_withoutRoom;
    m_task = aOther.m_task;
  }
};

/** By the first task of their step. */
using UnplacedBySteps = std::map<jobs::TaskRef, UnplacedTasks>;

/** What the unplaced tasks of one pool ask of its size. */
struct PlacementShortage
{
  /** Tasks that other workers than the pool's have to take. The steps are those
   * of the state. */
  std::vector<TaskGroup> m_needWorkers;
  /** The longest time for which none of the tasks of one step was placed. */
  Duration m_waited{};
  /** Tasks have begun to wait a moment ago. Workers that are about to leave the
   * pool may take them, so none should. */
  bool m_holdsWorkers = false;
};

/**
 * @brief Long-running tasks that wait because no worker of their pool can take
 * them, as the placement passes of this leader found.
 *
 * The size of a pool follows from sums and from a packing of its own, while a
 * pass has to place a task beside those that run already. Long-running tasks do
 * not end, so nothing but another worker would end such a wait.
 */
class UnplacedTaskRecord
{
public:
  void OnPlanned(const UnplacedBySteps& aUnplaced, TimePoint aNow);
  std::map<ServiceId, PlacementShortage> Assess(const fleet::State& aState,
                                                TimePoint aNow) const;

private:
  struct Wait
  {
    UnplacedTasks m_tasks;
    TimePoint m_since;
    TimePoint m_withoutRoomSince;
    /** The last time that there were other tasks among them, or fewer. */
    TimePoint m_changedAt;
    TimePoint m_shrankAt;
  };

  std::map<jobs::TaskRef, Wait> m_waits;
};

} // namespace bamboostile::placement
