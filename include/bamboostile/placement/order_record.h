#pragma once

#include "bamboostile/units/ids.h"
#include "bamboostile/units/time.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bamboostile::placement {

/**
 * @brief Instances that recently had an order from this or an earlier leader.
 * It keeps two leaders from giving conflicting orders for an instance in turn.
 *
 * The state records each order before the platform is called and removes it
 * some time after the platform's answer. An instance without a record when a
 * leader begins has had no order from an earlier leader for that time and may
 * be ordered at once.
 */
class OrderRecord
{
public:
  /** aMinInterval: minimum time between orders of two leaders for one
   * instance. */
  explicit OrderRecord(Duration aMinInterval)
    : m_minInterval(aMinInterval)
  {
  }

  /** Takes over the instances that the state has on record as this leader
   * begins. */
  void Inherit(const std::set<InstanceId>& aInstances, TimePoint aNow);
  void OnOrdered(const InstanceId& aInstance);
  void OnAnswered(const InstanceId& aInstance, TimePoint aNow);

  /** The instance may have had an order from an earlier leader too recently. */
  bool IsInherited(const InstanceId& aInstance) const;
  /** Returns instances whose records the state may remove, each only once. */
  std::vector<InstanceId> TakeExpired(TimePoint aNow);

private:
  Duration m_minInterval;
  std::set<InstanceId> m_inherited;
  TimePoint m_inheritedAt;
  /** Answer times of this leader's orders; unset while an order waits for its
   * answer. */
  std::map<InstanceId, std::optional<TimePoint>> m_answeredAt;
};

} // namespace bamboostile::placement
