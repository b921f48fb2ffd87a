#pragma once

#include "bamboostile/units/ids.h"

#include <vector>

namespace bamboostile::placement {

/** An instance as the platform lists it. */
struct ListedInstance
{
  InstanceId m_id;
  ServiceId m_pool;
  /** Neither moving nor down. */
  bool m_isUp = false;
};

struct InstanceList
{
  std::vector<ListedInstance> m_instances;
  /** Every entry could be read; what an incomplete list lacks may exist. */
  bool m_isComplete = true;
};

} // namespace bamboostile::placement
