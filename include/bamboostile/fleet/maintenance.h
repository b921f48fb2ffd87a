#pragma once

#include "bamboostile/jobs/model.h"

#include <map>

namespace bamboostile::fleet {

enum class MaintenanceStep
{
  kWaiting,
  /** The order has been or is about to be sent to the platform; the instance
   * may be down. */
  kOrdered,
  /** The platform has accepted the order. */
  kDown,
  kDone,
  /** The platform does not know the instance, or the wave for it. */
  kSkipped,
};

const char* Describe(MaintenanceStep aStep) noexcept;

/** A set of instances that each undergo maintenance once. */
struct MaintenanceWave
{
  std::uint64_t m_number = 0;
  /** Maximum number of instances that this wave may take down at once. */
  std::uint32_t m_cap = 1;
  WallTime m_startedAt;
  Millis m_within{};
  std::map<InstanceId, MaintenanceStep> m_instances;

  std::size_t DownCount() const;
  bool IsDone() const;
};

struct StartMaintenance
{
  MaintenanceWave m_wave;
};

struct AdvanceMaintenance
{
  std::uint64_t m_wave = 0;
  InstanceId m_instance;
  MaintenanceStep m_to = MaintenanceStep::kWaiting;
};

} // namespace bamboostile::fleet
