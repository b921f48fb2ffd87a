#pragma once

#include "bamboostile/placement/load_shedder.h"

namespace bamboostile::placement {

/**
 * @brief Decides when the next placement pass runs while ends of runs keep
 * arriving.
 *
 * A pass sees only committed ends, so a pass after each batch places tasks
 * soonest. But passes take the leader's time, which grows faster than the
 * number of workers.
 */
class PlanPacer
{
public:
  /** aHasMore: more ends wait to be committed. */
  bool IsDue(bool aHasMore, TimePoint aNow) const
  {
    return !aHasMore || aNow >= m_notBefore;
  }
  void OnPassEnded(TimePoint aBegan,
                   TimePoint aEnded,
                   SheddingLevel aShedding = SheddingLevel::kNone);

private:
  TimePoint m_notBefore;
};

} // namespace bamboostile::placement
