#pragma once

#include "bamboostile/placement/instance_answer.h"
#include "bamboostile/units/ids.h"
#include "bamboostile/units/time.h"

#include <map>

namespace bamboostile::placement {

/**
 * @brief Until when orders that were sent may take effect on their instances.
 *
 * A decision that was not sent ends nothing. The loss of a worker on which an
 * order may have taken effect since its last report is explained by the order.
 */
class OrderEffects
{
public:
  /** aMaxDelay: the longest time from sending an order until the platform
   * executes it. */
  explicit OrderEffects(Duration aMaxDelay)
    : m_maxDelay(aMaxDelay)
  {
  }

  void OnSent(const InstanceId& aInstance, TimePoint aNow);
  void OnAnswered(const InstanceId& aInstance,
                  InstanceAnswer aAnswer,
                  TimePoint aNow);
  /** An earlier leader may have sent an order until aNow. */
  void Inherit(const InstanceId& aInstance, TimePoint aNow);

  /** Whether an order may take effect on the instance after aTime. */
  bool MayOccurAfter(const InstanceId& aInstance, TimePoint aTime) const;

private:
  struct Orders
  {
    std::size_t m_unanswered = 0;
    TimePoint m_lastSentAt;
    /** When the last answered order that may have been executed was executed at
     * the latest. */
    TimePoint m_executedBy = TimePoint::min();
  };

  Duration m_maxDelay;
  std::map<InstanceId, Orders> m_orders;
};

} // namespace bamboostile::placement
