#pragma once

#include "bamboostile/fleet/state.h"

#include <map>
#include <set>

namespace bamboostile::placement {

/**
 * @brief Checks the instances that are or may be down against the cap of each
 * open wave.
 *
 * An instance that is down for one wave counts in every wave that includes it.
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
  /** Returns how many more instances of the wave may go down. */
  std::size_t RemainingIn(const fleet::MaintenanceWave& aWave) const;
  /** Whether the caps of all waves that include the instance allow it. */
  bool CanTakeDown(const InstanceId& aInstance) const;
  void MarkDown(const InstanceId& aInstance) { m_down.insert(aInstance); }

private:
  std::vector<const fleet::MaintenanceWave*> m_open;
  std::set<InstanceId> m_down;
};

} // namespace bamboostile::placement
