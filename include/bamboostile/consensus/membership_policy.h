#pragma once

#include "bamboostile/consensus/types.h"

#include <map>

namespace bamboostile::consensus {

struct MembershipPolicyOptions
{
  /** Two for each replica whose loss must be survived, and one. */
  std::size_t m_voters = 3;
  /** Never formed with fewer: as many as there are seeds. */
  std::size_t m_leastVoters = 3;
  /** A voter that is silent for so long gives its place to a learner. Longer
   * than a restart takes. */
  Duration m_dropSilentAfter = Millis{ 6000 };
  /** A group that stays smaller than m_voters for so long, with no replica
   * joining, is as large as it gets: there are no more disks. Replicas that
   * start together join well before. */
  Duration m_settlesAfter = Millis{ 5000 };
};

/**
 * @brief Decides when a group is large enough to acknowledge anything, and
 * which silent voter loses its place.
 */
class MembershipPolicy
{
public:
  explicit MembershipPolicy(MembershipPolicyOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /** This replica has become leader; what an earlier term heard is void. */
  void Reset() { m_heardFrom.clear(); }
  void OnHeard(const ReplicaId& aFrom, TimePoint aNow)
  {
    m_heardFrom[aFrom] = aNow;
  }

  /** Found out while the group forms: some seeds keep no log. */
  void SetLeastVoters(std::size_t aVoters)
  {
    m_options.m_leastVoters = aVoters;
  }

  bool IsFormed(const Membership& aMembership, TimePoint aNow);

  /** aSynced: learners that hold all that is committed. */
  std::optional<Member> FindReplaceable(const Membership& aMembership,
                                        const ReplicaId& aSelf,
                                        const std::vector<ReplicaId>& aSynced,
                                        TimePoint aNow);

private:
  bool IsSilent(const ReplicaId& aId, TimePoint aNow);

  MembershipPolicyOptions m_options;
  std::map<ReplicaId, TimePoint> m_heardFrom;
  std::size_t m_lastSize = 0;
  TimePoint m_sizeSince;
};

} // namespace bamboostile::consensus
