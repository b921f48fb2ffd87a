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
OrderRecord::TakeSettled(TimePoint aNow)
{
  std::vector<InstanceId> settled;
  if (aNow >= m_inheritedAt + m_between) {
    for (const InstanceId& instance : m_inherited) {
      if (!m_answeredAt.contains(instance)) {
        settled.push_back(instance);
      }
    }
    m_inherited.clear();
  }
  std::erase_if(m_answeredAt, [&](const auto& aEntry) {
    const auto& [instance, answeredAt] = aEntry;
    const bool isSettled = answeredAt && aNow >= *answeredAt + m_between;
    if (isSettled) {
      settled.push_back(instance);
    }
    return isSettled;
  });
  return settled;
}

} // namespace bamboostile::placement
