#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bamboostile::placement {

/** A mechanism of placement. Each can be switched off by the settings, so that
 * what it is worth can be measured. */
enum class Mechanism : std::uint8_t
{
  /** Instances follow demand from pool to pool. */
  kMoves,
  /** What nothing needs goes to standby. */
  kStandby,
  /** Surplus instances that still work are emptied. */
  kEmptying,
  /** A worker is kept free for large tasks. */
  kRoomForLarge,
  /** Durations are learned by image. */
  kLearnedDurations,
  /** What can't be in time comes after what can. */
  kLateLast,
  /** Long-running tasks share workers. */
  kSharing,
  /** Other tasks are packed on few workers. */
  kPacking,
  /** What maintenance takes is replaced before it goes. */
  kReplacement,
  /** A worker on which all fails gets no more for a while. */
  kSettingAside,
  /** Runs that stand still are stopped. */
  kStuckRuns,
  /** Reports of quiet workers are held until there is an order. */
  kHeldReports,
};

/** The name in the settings. */
const char* NameOf(Mechanism aMechanism) noexcept;
std::optional<Mechanism> MechanismOf(const std::string& aName);

/** All are on but those that were switched off. */
class Mechanisms
{
public:
  void SwitchOff(Mechanism aMechanism) { m_off |= Bit(aMechanism); }
  bool Has(Mechanism aMechanism) const
  {
    return (m_off & Bit(aMechanism)) == 0;
  }

private:
  static std::uint32_t Bit(Mechanism aMechanism)
  {
    return 1U << static_cast<std::uint32_t>(aMechanism);
  }

  std::uint32_t m_off = 0;
};

} // namespace bamboostile::placement
