#pragma once

#include "bamboostile/jobs/model.h"

#include <map>

namespace bamboostile::fleet {

enum class UpkeepStep
{
  kWaiting,
  /** The platform was or will be asked; the instance may be down. */
  kOrdered,
  /** The platform has taken the order. */
  kDown,
  kDone,
  /** The platform does not know the instance or the wave for it. */
  kSkipped,
};

const char* Describe(UpkeepStep aStep) noexcept;

/** Instances that are each due for one upkeep. */
struct UpkeepWave
{
  std::uint64_t m_number = 0;
  /** Instances that may be down for this wave at once. */
  std::uint32_t m_cap = 1;
  WallTime m_startedAt;
  Millis m_within{};
  std::map<InstanceId, UpkeepStep> m_instances;

  std::size_t Down() const;
  bool IsDone() const;
};

struct StartUpkeep
{
  UpkeepWave m_wave;
};

struct AdvanceUpkeep
{
  std::uint64_t m_wave = 0;
  InstanceId m_instance;
  UpkeepStep m_to = UpkeepStep::kWaiting;
};

} // namespace bamboostile::fleet
