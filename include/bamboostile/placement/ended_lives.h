#pragma once

#include "bamboostile/jobs/worker_life.h"

#include <deque>
#include <set>

namespace bamboostile::placement {

/**
 * @brief The lives of workers that ended last, so that their late reports are
 * known for what they are.
 *
 * Bounded: instances that are moved and restarted for months would fill a
 * leader's memory.
 */
class EndedLives
{
public:
  void Add(const WorkerLife& aLife)
  {
    if (!m_lives.insert(aLife).second) {
      return;
    }
    m_inOrder.push_back(aLife);
    if (m_inOrder.size() > kMost) {
      m_lives.erase(m_inOrder.front());
      m_inOrder.pop_front();
    }
  }

  void Remove(const WorkerLife& aLife)
  {
    if (m_lives.erase(aLife) > 0) {
      std::erase(m_inOrder, aLife);
    }
  }

  bool Contains(const WorkerLife& aLife) const
  {
    return m_lives.contains(aLife);
  }

  const std::set<WorkerLife>& All() const { return m_lives; }

  /** Far more than can end while a report is on its way. */
  static constexpr std::size_t kMost = 20'000;

private:
  std::set<WorkerLife> m_lives;
  std::deque<WorkerLife> m_inOrder;
};

} // namespace bamboostile::placement
