#pragma once

#include "bamboostile/fleet/state.h"

#include <map>
#include <set>

namespace bamboostile::placement {

/**
 * @brief How many instances of each open wave may be down, and how many are or
 * may be.
 *
 * An instance that is down for one wave counts in each that has it.
 */
class WaveCaps
{
public:
  explicit WaveCaps(
    const std::map<std::uint64_t, fleet::MaintenanceWave>& aWaves);

  bool IsDown(const InstanceId& aInstance) const
  {
    return m_down.contains(aInstance);
  }
  /** How many more instances of the wave may go down. */
  std::size_t RoomIn(const fleet::MaintenanceWave& aWave) const;
  /** Within the caps of all waves that have it. */
  bool MayGoDown(const InstanceId& aInstance) const;
  void OnDown(const InstanceId& aInstance) { m_down.insert(aInstance); }

private:
  std::vector<const fleet::MaintenanceWave*> m_open;
  std::set<InstanceId> m_down;
};

} // namespace bamboostile::placement
