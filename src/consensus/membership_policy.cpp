#include "bamboostile/consensus/membership_policy.h"

#include <algorithm>

namespace bamboostile::consensus {

// A group starts with one voter, then has two. Anything acknowledged at that
// point would be lost with one disk; with three of five voters in place, two
// lost disks would lose it. Nothing is acknowledged until the group is large
// enough for the losses that it must survive.
bool
MembershipPolicy::IsFormed(const Membership& aMembership, TimePoint aNow)
{
  const std::size_t size = aMembership.m_members.size();
  if (size != m_lastSize) {
    m_lastSize = size;
    m_sizeChangedAt = aNow;
  }
  const bool isSizeStable =
    aNow >= m_sizeChangedAt + m_options.m_sizeStableAfter &&
    aMembership.VoterCount() == size && size >= m_options.m_minVoters;
  return aMembership.VoterCount() >= m_options.m_targetVoters || isSizeStable;
}

bool
MembershipPolicy::IsUnresponsive(const ReplicaId& aId, TimePoint aNow)
{
  const TimePoint lastMessageAt =
    m_lastMessageAt.try_emplace(aId, aNow).first->second;
  return aNow > lastMessageAt + m_options.m_replaceUnresponsiveAfter;
}

// An unresponsive voter still counts towards the quorum, so it is replaced by a
// learner that holds all committed entries. Without such a learner it stays,
// unless there are more voters than needed: a group of five reduced to its
// three responsive voters would be lost with the next two disks, although it
// must survive the loss of two.
std::optional<Member>
MembershipPolicy::FindReplaceable(const Membership& aMembership,
                                  const ReplicaId& aSelf,
                                  const std::vector<ReplicaId>& aSynced,
                                  TimePoint aNow)
{
  const bool hasSpare =
    std::any_of(aSynced.begin(), aSynced.end(), [&](const ReplicaId& aId) {
      return !aMembership.IsVoter(aId) && !IsUnresponsive(aId, aNow);
    });
  std::optional<Member> unresponsive;
  for (const Member& member : aMembership.m_members) {
    const bool isUnresponsive =
      member.m_id != aSelf && IsUnresponsive(member.m_id, aNow);
    if (!unresponsive && member.m_voter && isUnresponsive) {
      unresponsive = member;
    }
  }
  const bool hasSurplus = aMembership.VoterCount() > m_options.m_targetVoters;
  return hasSpare || hasSurplus ? unresponsive : std::nullopt;
}

} // namespace bamboostile::consensus
