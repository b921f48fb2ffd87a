#pragma once

#include "bamboostile/consensus/types.h"

#include <map>

namespace bamboostile::consensus {

struct MembershipPolicyOptions
{
  /** Target number of voters: two for each replica loss that the group must
   * survive, plus one. */
  std::size_t m_targetVoters = 3;
  /** Minimum number of voters of a formed group: the number of seeds. */
  std::size_t m_minVoters = 3;
  /** A voter that sends no message for this long is replaced by a learner. Must
   * be longer than a restart takes. */
  Duration m_replaceUnresponsiveAfter = Millis{ 6000 };
  /** A group that stays smaller than m_targetVoters, with no replica joining
   * for this long, counts as formed: no more disks are expected. Replicas that
   * start together join well within this time. */
  Duration m_sizeStableAfter = Millis{ 5000 };
};

/**
 * @brief Decides when a group is large enough to acknowledge writes, and which
 * unresponsive voter to replace.
 */
class MembershipPolicy
{
public:
  explicit MembershipPolicy(MembershipPolicyOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  std::size_t TargetVoters() const { return m_options.m_targetVoters; }

  /** Called when this replica becomes leader: message times of earlier terms no
   * longer apply. */
  void Reset() { m_lastMessageAt.clear(); }
  void OnMessage(const ReplicaId& aFrom, TimePoint aNow)
  {
    m_lastMessageAt[aFrom] = aNow;
  }

  /** Called while the group forms, once it is known that some seeds keep no
   * log. */
  void SetMinVoters(std::size_t aVoters) { m_options.m_minVoters = aVoters; }

  bool IsFormed(const Membership& aMembership, TimePoint aNow);

  /** Returns the voter to remove, if any. aSynced lists the learners that hold
   * all committed entries. */
  std::optional<Member> FindReplaceable(const Membership& aMembership,
                                        const ReplicaId& aSelf,
                                        const std::vector<ReplicaId>& aSynced,
                                        TimePoint aNow);

private:
  bool IsUnresponsive(const ReplicaId& aId, TimePoint aNow);

  MembershipPolicyOptions m_options;
  std::map<ReplicaId, TimePoint> m_lastMessageAt;
  std::size_t m_lastSize = 0;
  TimePoint m_sizeChangedAt;
};

} // namespace bamboostile::consensus
