#pragma once

#include "bamboostile/jobs/worker_life.h"
#include "bamboostile/units/ids.h"
#include "bamboostile/units/time.h"

#include <cstddef>
#include <vector>

namespace bamboostile::placement {

enum class InstanceState
{
  kUp,
  kMoving,
  kMaintenance,
  /** Crashed or off. */
  kDown,
  /** Listed with a state that this version does not know. */
  kUnknown,
};

/** An instance as the platform lists it. */
struct ListedInstance
{
  InstanceId m_id;
  ServiceId m_pool;
  InstanceState m_state = InstanceState::kUnknown;
  /** The worker that runs on it; empty if there is none. */
  WorkerId m_worker{};
};

/** The entries of the platform's list, as far as they can be read. */
struct ListedInstances
{
  std::vector<ListedInstance> m_readable;
  /** Number of entries, readable or not, that do not tell whether there is a
   * worker and which one. */
  std::size_t m_unnamedWorkerCount = 0;
};

/** The platform's list. Each entry shows a state no older than the request for
 * the list. */
struct InstanceList
{
  TimePoint m_askedAt;
  std::vector<ListedInstance> m_instances;
  /** As in ListedInstances. */
  std::size_t m_unnamedWorkerCount = 0;
};

} // namespace bamboostile::placement
