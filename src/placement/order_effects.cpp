#include "bamboostile/placement/order_effects.h"

#include <algorithm>

namespace bamboostile::placement {

void
OrderEffects::OnSent(const InstanceId& aInstance, TimePoint aNow)
{
  Orders& orders = m_orders[aInstance];
  ++orders.m_unanswered;
  orders.m_lastSentAt = aNow;
}

// An order that was refused or never sent leaves those before it, whose outcome
// may be unknown, as they were.
void
OrderEffects::OnAnswered(const InstanceId& aInstance,
                         InstanceAnswer aAnswer,
                         TimePoint aNow)
{
  const auto found = m_orders.find(aInstance);
  if (found == m_orders.end() || found->second.m_unanswered == 0) {
    return;
  }
  Orders& orders = found->second;
  --orders.m_unanswered;
  if (aAnswer == InstanceAnswer::kAccepted) {
    orders.m_executedBy = std::max(orders.m_executedBy, aNow);
  } else if (aAnswer == InstanceAnswer::kUnclear) {
    orders.m_executedBy =
      std::max(orders.m_executedBy, orders.m_lastSentAt + m_maxDelay);
  }
}

void
OrderEffects::Inherit(const InstanceId& aInstance, TimePoint aNow)
{
  m_orders[aInstance].m_executedBy = aNow + m_maxDelay;
}

bool
OrderEffects::MayOccurAfter(const InstanceId& aInstance, TimePoint aTime) const
{
  const auto found = m_orders.find(aInstance);
  return found != m_orders.end() &&
         (found->second.m_unanswered > 0 || found->second.m_executedBy > aTime);
}

} // namespace bamboostile::placement
