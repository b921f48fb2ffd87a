#include "bamboostile/fleet/upkeep.h"

#include <algorithm>

namespace bamboostile::fleet {

const char*
Describe(UpkeepStep aStep) noexcept
{
  switch (aStep) {
    case UpkeepStep::kWaiting:
      return "waiting";
    case UpkeepStep::kOrdered:
      return "ordered";
    case UpkeepStep::kDown:
      return "down";
    case UpkeepStep::kDone:
      return "done";
    case UpkeepStep::kSkipped:
      return "skipped";
  }
  return "unknown";
}

std::size_t
UpkeepWave::Down() const
{
  return static_cast<std::size_t>(std::count_if(
    m_instances.begin(), m_instances.end(), [](const auto& aEntry) {
      return aEntry.second == UpkeepStep::kOrdered ||
             aEntry.second == UpkeepStep::kDown;
    }));
}

bool
UpkeepWave::IsDone() const
{
  return std::all_of(
    m_instances.begin(), m_instances.end(), [](const auto& aEntry) {
      return aEntry.second == UpkeepStep::kDone ||
             aEntry.second == UpkeepStep::kSkipped;
    });
}

} // namespace bamboostile::fleet
