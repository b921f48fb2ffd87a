#include "bamboostile/placement/plan_pacer.h"

namespace bamboostile::placement {

namespace {

/** Passes take at most one part in so many of the leader's time while ends come
 * in; the rest is for reports and their answers. */
constexpr int kTimeShare = 4;
/** The same of a leader that is full. */
constexpr int kTimeShareWhenFull = 8;

} // namespace

// Were ends committed until none is left before a pass runs, placing would
// starve. In a peak there are many batches for each pass: workers wait for
// their next task, and part of a full pool stands unused beside its queue.
void
PlanPacer::OnPlanned(TimePoint aBegan, TimePoint aEnded, Shedding aShedding)
{
  const int share =
    aShedding == Shedding::kPlacing ? kTimeShareWhenFull : kTimeShare;
  m_notBefore = aEnded + (share - 1) * (aEnded - aBegan);
}

} // namespace bamboostile::placement
