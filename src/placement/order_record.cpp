#include "bamboostile/placement/order_record.h"

namespace bamboostile::placement {

void
OrderRecord::Inherit(const std::set<InstanceId>& aInstances, TimePoint aNow)
{
  m_inherited = aInstances;
  m_inheritedAt = aNow;
}

void
OrderRecord::OnOrdered(const InstanceId& aInstance)
{
  m_answeredAt[aInstance] = std::nullopt;
}

void
OrderRecord::OnAnswered(const InstanceId& aInstance, TimePoint aNow)
{
  m_answeredAt[aInstance] = aNow;
}

bool
OrderRecord::IsInherited(const InstanceId& aInstance) const
{
  return m_inherited.contains(aInstance);
}

std::vector<InstanceId>
OrderRecord::TakeExpired(TimePoint aNow)
{
  std::vector<InstanceId> expired;
  if (aNow >= m_inheritedAt + m_minInterval) {
    for (const InstanceId& instance : m_inherited) {
      if (!m_answeredAt.contains(instance)) {
        expired.push_back(instance);
      }
    }
    m_inherited.clear();
  }
  std::erase_if(m_answeredAt, [&](const auto& aEntry) {
    const auto& [instance, answeredAt] = aEntry;
    const bool isExpired = answeredAt && aNow >= *answeredAt + m_minInterval;
    if (isExpired) {
      expired.push_back(instance);
    }
    return isExpired;
  });
  return expired;
}

} // namespace bamboostile::placement
