#pragma once

#include "bamboostile/placement/load_shedder.h"

namespace bamboostile::placement {

/**
 * @brief Decides when the next pass of placing runs while ends of runs keep
 * coming in.
 *
 * A pass sees what has been committed, so one right behind each batch of ends
 * places soonest. It takes the leader's time, though, which grows faster than
 * the number of workers.
 */
class PlanPacer
{
public:
  /** aHasMore: ends wait to be committed. */
  bool IsDue(bool aHasMore, TimePoint aNow) const
  {
    return !aHasMore || aNow >= m_notBefore;
  }
  void OnPlanned(TimePoint aBegan,
                 TimePoint aEnded,
                 Shedding aShedding = Shedding::kNothing);

private:
  TimePoint m_notBefore;
};

} // namespace bamboostile::placement
