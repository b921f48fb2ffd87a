#include "free_cpu_index.h"

#include <algorithm>

namespace bamboostile::placement {

void
FreeCpuIndex::Sort()
{
  std::sort(m_entries.begin(), m_entries.end());
}

FreeCpuIndex::Iterator
FreeCpuIndex::FindFirst(std::int64_t aFreeCpuMillis) const
{
  return std::lower_bound(
    m_entries.begin(), m_entries.end(), Entry{ aFreeCpuMillis, 0 });
}

void
FreeCpuIndex::Insert(Entry aEntry)
{
  m_entries.insert(std::lower_bound(m_entries.begin(), m_entries.end(), aEntry),
                   aEntry);
}

void
FreeCpuIndex::Erase(Entry aEntry)
{
  m_entries.erase(std::lower_bound(m_entries.begin(), m_entries.end(), aEntry));
}

void
FreeCpuIndex::Replace(Entry aOld, Entry aNew)
{
  const auto from = std::lower_bound(m_entries.begin(), m_entries.end(), aOld);
  const auto to = std::lower_bound(m_entries.begin(), m_entries.end(), aNew);
  if (to <= from) {
    std::move_backward(to, from, from + 1);
    *to = aNew;
  } else {
    std::move(from + 1, to, from);
    *(to - 1) = aNew;
  }
}

} // namespace bamboostile::placement
