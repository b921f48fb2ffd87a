#pragma once

#include "bamboostile/jobs/worker_life.h"

#include <deque>
#include <set>

namespace bamboostile::placement {

/**
 * @brief The worker incarnations that ended last, so that their delayed
 * reports are recognized.
 *
 * The number is bounded: without a bound, instances that are moved and
 * restarted for months would fill the leader's memory.
 */
class EndedIncarnations
{
public:
  void Add(const WorkerIncarnation& aIncarnation)
  {
    if (!m_incarnations.insert(aIncarnation).second) {
      return;
    }
    m_inOrder.push_back(aIncarnation);
    if (m_inOrder.size() > kMaxIncarnations) {
      m_incarnations.erase(m_inOrder.front());
      m_inOrder.pop_front();
    }
  }

  void Remove(const WorkerIncarnation& aIncarnation)
  {
    if (m_incarnations.erase(aIncarnation) > 0) {
      std::erase(m_inOrder, aIncarnation);
    }
  }

  bool Contains(const WorkerIncarnation& aIncarnation) const
  {
    return m_incarnations.contains(aIncarnation);
  }

  const std::set<WorkerIncarnation>& All() const { return m_incarnations; }

  /** Maximum number of incarnations; far fewer can end while a report is under
   * way. */
  static constexpr std::size_t kMaxIncarnations = 20'000;

private:
  std::set<WorkerIncarnation> m_incarnations;
  std::deque<WorkerIncarnation> m_inOrder;
};

} // namespace bamboostile::placement
