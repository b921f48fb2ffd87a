#pragma once

#include <compare>
#include <cstdint>
#include <vector>

namespace bamboostile::placement {

/**
 * @brief Workers of a pool by free CPU, the least first, and by position in the
 * pool among equals.
 *
 * A sorted array: a start moves its worker by a few places, which costs less
 * than a node of a tree.
 */
class FreeCpuIndex
{
public:
  struct Entry
  {
    std::int64_t m_freeCpuMillis = 0;
    /** Position in the pool. */
    std::uint32_t m_position = 0;

    auto operator<=>(const Entry&) const = default;
  };

  using Iterator = std::vector<Entry>::const_iterator;

  /** Adds an entry; Sort() must follow before any other call. */
  void Append(Entry aEntry) { m_entries.push_back(aEntry); }
  void Sort();
  /** The first worker with at least this much free CPU. */
  Iterator FindFirst(std::int64_t aFreeCpuMillis) const;
  Iterator End() const { return m_entries.end(); }

  void Insert(Entry aEntry);
  /** The entry must be there. */
  void Erase(Entry aEntry);
  /** Replaces an entry that must be there. */
  void Replace(Entry aOld, Entry aNew);

private:
  std::vector<Entry> m_entries;
};

} // namespace bamboostile::placement
