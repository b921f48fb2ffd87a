#pragma once

#include "bamboostile/jobs/worker_life.h"
#include "bamboostile/units/ids.h"
#include "bamboostile/units/time.h"

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

/** The platform's list. Each entry shows a state no older than the request for
 * the list. */
struct InstanceList
{
  TimePoint m_askedAt;
  std::vector<ListedInstance> m_instances;
};

} // namespace bamboostile::placement
