#pragma once

#include "bamboostile/units/ids.h"
#include "bamboostile/units/time.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bamboostile::placement {

/**
 * @brief Which instances have had an order lately, from this leader or an
 * earlier one, so that no two leaders take turns with an instance.
 *
 * The state has each order before the platform is asked, and forgets it some
 * time after its answer. What is not on record when a leader begins has had no
 * order of an earlier one for that time, and may be ordered at once.
 */
class OrderRecord
{
public:
  /** aBetween: least time between orders of two leaders for one instance. */
  explicit OrderRecord(Duration aBetween)
    : m_between(aBetween)
  {
  }

  /** What the state has on record as this leader begins. */
  void Inherit(const std::set<InstanceId>& aInstances, TimePoint aNow);
  void OnOrdered(const InstanceId& aInstance);
  void OnAnswered(const InstanceId& aInstance, TimePoint aNow);

  /** An order of an earlier leader may still be too close. */
  bool IsInherited(const InstanceId& aInstance) const;
  /** Those that the state may forget; each is named once. */
  std::vector<InstanceId> TakeSettled(TimePoint aNow);

private:
  Duration m_between;
  std::set<InstanceId> m_inherited;
  TimePoint m_inheritedAt;
  /** Orders of this leader; unset while one waits for its answer. */
  std::map<InstanceId, std::optional<TimePoint>> m_answeredAt;
};

} // namespace bamboostile::placement
