#include "bamboostile/placement/mechanisms.h"

#include <algorithm>
#include <array>
#include <utility>

namespace bamboostile::placement {

namespace {

struct Named
{
  Mechanism m_mechanism;
  const char* m_name;
};

constexpr std::array kNames{
  Named{ Mechanism::kMoves, "moves" },
  Named{ Mechanism::kStandby, "standby" },
  Named{ Mechanism::kEmptying, "emptying" },
  Named{ Mechanism::kRoomForLarge, "roomForLarge" },
  Named{ Mechanism::kLearnedDurations, "learnedDurations" },
  Named{ Mechanism::kLateLast, "lateLast" },
  Named{ Mechanism::kSharing, "sharing" },
  Named{ Mechanism::kPacking, "packing" },
  Named{ Mechanism::kReplacement, "replacement" },
  Named{ Mechanism::kSettingAside, "settingAside" },
  Named{ Mechanism::kStuckRuns, "stuckRuns" },
  Named{ Mechanism::kHeldReports, "heldReports" },
};

} // namespace

const char*
NameOf(Mechanism aMechanism) noexcept
{
  const auto found =
    std::find_if(kNames.begin(), kNames.end(), [&](const Named& aOne) {
      return aOne.m_mechanism == aMechanism;
    });
  return found == kNames.end() ? "unknown" : found->m_name;
}

std::optional<Mechanism>
MechanismOf(const std::string& aName)
{
  const auto found =
    std::find_if(kNames.begin(), kNames.end(), [&](const Named& aOne) {
      return aOne.m_name == aName;
    });
  return found == kNames.end() ? std::nullopt
                               : std::optional{ found->m_mechanism };
}

} // namespace bamboostile::placement
