#include "bamboostile/placement/mechanisms.h"

#include <algorithm>
#include <array>
#include <utility>

namespace bamboostile::placement {

namespace {

struct NamedMechanism
{
  Mechanism m_mechanism;
  const char* m_name;
};

constexpr std::array kNames{
  NamedMechanism{ Mechanism::kMoves, "moves" },
  NamedMechanism{ Mechanism::kStandby, "standby" },
  NamedMechanism{ Mechanism::kEmptying, "emptying" },
  NamedMechanism{ Mechanism::kRoomForLarge, "roomForLarge" },
  NamedMechanism{ Mechanism::kLearnedDurations, "learnedDurations" },
  NamedMechanism{ Mechanism::kLateLast, "lateLast" },
  NamedMechanism{ Mechanism::kSharing, "sharing" },
  NamedMechanism{ Mechanism::kPacking, "packing" },
  NamedMechanism{ Mechanism::kReplacement, "replacement" },
  NamedMechanism{ Mechanism::kSettingAside, "settingAside" },
  NamedMechanism{ Mechanism::kStuckRuns, "stuckRuns" },
  NamedMechanism{ Mechanism::kHeldReports, "heldReports" },
  NamedMechanism{ Mechanism::kAdmission, "admission" },
  NamedMechanism{ Mechanism::kInflowForecast, "inflowForecast" },
};

} // namespace

const char*
NameOf(Mechanism aMechanism) noexcept
{
  const auto found = std::find_if(
    kNames.begin(), kNames.end(), [&](const NamedMechanism& aNamed) {
      return aNamed.m_mechanism == aMechanism;
    });
  return found == kNames.end() ? "unknown" : found->m_name;
}

std::optional<Mechanism>
MechanismOf(const std::string& aName)
{
  const auto found = std::find_if(
    kNames.begin(), kNames.end(), [&](const NamedMechanism& aNamed) {
      return aNamed.m_name == aName;
    });
  return found == kNames.end() ? std::nullopt
                               : std::optional{ found->m_mechanism };
}

} // namespace bamboostile::placement
