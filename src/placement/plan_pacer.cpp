#include "bamboostile/placement/plan_pacer.h"

namespace bamboostile::placement {

namespace {

/** Passes take at most one part of this many of the leader's time while ends
 * arrive; the rest is for reports and their answers. */
constexpr int kPassTimeDivisor = 4;
/** The same for a leader so loaded that it sheds placement work. */
constexpr int kPassTimeDivisorWhenShedding = 8;

} // namespace

// Waiting until no end is left to commit would starve placement. In a peak many
// batches arrive for each pass: workers would wait for their next task, and
// part of a full pool would stay idle while tasks wait.
void
PlanPacer::OnPassEnded(TimePoint aBegan,
                       TimePoint aEnded,
                       SheddingLevel aShedding)
{
  const int divisor = aShedding == SheddingLevel::kPlacement
                        ? kPassTimeDivisorWhenShedding
                        : kPassTimeDivisor;
  m_notBefore = aEnded + (divisor - 1) * (aEnded - aBegan);
}

} // namespace bamboostile::placement
