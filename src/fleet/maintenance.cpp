#include "bamboostile/fleet/maintenance.h"

#include <algorithm>

namespace bamboostile::fleet {

const char*
Describe(MaintenanceStep aStep) noexcept
{
  switch (aStep) {
    case MaintenanceStep::kWaiting:
      return "waiting";
    case MaintenanceStep::kOrdered:
      return "ordered";
    case MaintenanceStep::kDown:
      return "down";
    case MaintenanceStep::kDone:
      return "done";
    case MaintenanceStep::kSkipped:
      return "skipped";
  }
  return "unknown";
}

std::size_t
MaintenanceWave::DownCount() const
{
  return static_cast<std::size_t>(std::count_if(
    m_instances.begin(), m_instances.end(), [](const auto& aEntry) {
      return aEntry.second == MaintenanceStep::kOrdered ||
             aEntry.second == MaintenanceStep::kDown;
    }));
}

bool
MaintenanceWave::IsDone() const
{
  return std::all_of(
    m_instances.begin(), m_instances.end(), [](const auto& aEntry) {
      return aEntry.second == MaintenanceStep::kDone ||
             aEntry.second == MaintenanceStep::kSkipped;
    });
}

} // namespace bamboostile::fleet
