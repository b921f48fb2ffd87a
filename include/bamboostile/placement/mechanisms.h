#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bamboostile::placement {

/** A mechanism of placement. The settings can switch each of them on or off. */
enum class Mechanism : std::uint8_t
{
  /** Moves instances between pools as demand changes. */
  kMoves,
  /** Puts instances that no pool needs into standby. */
  kStandby,
  /** Moves work off surplus instances that still run tasks. */
  kEmptying,
  /** Reserves workers for large tasks that do not fit. */
  kRoomForLarge,
  /** Estimates durations from earlier runs of the same image. */
  kLearnedDurations,
  /** Places jobs that are late after those that can still be in time. */
  kLateLast,
  /** Places long-running tasks on shared workers. */
  kSharing,
  /** Packs other tasks onto few workers. */
  kPacking,
  /** Replaces instances before maintenance takes them. */
  kReplacement,
  /** Starts nothing for a while on a worker on which all tasks fail. */
  kSettingAside,
  /** Stops runs that make no progress. */
  kStuckRuns,
  /** Delays the answer to a steady worker's report until there is an order. */
  kHeldReports,
  /** Refuses jobs that are expected to end too late for their callers. Off
   * unless switched on, like those below. */
  kAdmission,
  /** Sizes pools for the work that is expected to arrive. */
  kInflowForecast,
};

/** The name in the settings. */
const char* NameOf(Mechanism aMechanism) noexcept;
std::optional<Mechanism> MechanismOf(const std::string& aName);

/** The enabled mechanisms; initially all but the opt-in ones. */
class Mechanisms
{
public:
  void SwitchOn(Mechanism aMechanism) { m_disabled &= ~Bit(aMechanism); }
  void SwitchOff(Mechanism aMechanism) { m_disabled |= Bit(aMechanism); }
  bool Has(Mechanism aMechanism) const
  {
    return (m_disabled & Bit(aMechanism)) == 0;
  }

private:
  static std::uint32_t Bit(Mechanism aMechanism)
  {
    return 1U << static_cast<std::uint32_t>(aMechanism);
  }

  std::uint32_t m_disabled =
    Bit(Mechanism::kAdmission) | Bit(Mechanism::kInflowForecast);
};

} // namespace bamboostile::placement
