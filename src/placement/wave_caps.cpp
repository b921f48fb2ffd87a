#include "bamboostile/placement/wave_caps.h"

#include <algorithm>

namespace bamboostile::placement {

WaveCaps::WaveCaps(
  const std::map<std::uint64_t, fleet::MaintenanceWave>& aWaves)
{
  for (const auto& [number, wave] : aWaves) {
    if (wave.IsDone()) {
      continue;
    }
    m_open.push_back(&wave);
    for (const auto& [instance, step] : wave.m_instances) {
      if (step == fleet::MaintenanceStep::kOrdered ||
          step == fleet::MaintenanceStep::kDown) {
        m_down.insert(instance);
      }
    }
  }
}

std::size_t
WaveCaps::RemainingIn(const fleet::MaintenanceWave& aWave) const
{
  const auto down = static_cast<std::size_t>(
    std::count_if(m_down.begin(), m_down.end(), [&](const auto& aInstance) {
      return aWave.m_instances.contains(aInstance);
    }));
  return aWave.m_cap > down ? aWave.m_cap - down : std::size_t{ 0 };
}

bool
WaveCaps::CanTakeDown(const InstanceId& aInstance) const
{
  return !IsDown(aInstance) &&
         std::all_of(m_open.begin(), m_open.end(), [&](const auto* aWave) {
           return !aWave->m_instances.contains(aInstance) ||
                  RemainingIn(*aWave) > 0;
         });
}

} // namespace bamboostile::placement
