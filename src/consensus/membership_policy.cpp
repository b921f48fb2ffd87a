#include "bamboostile/consensus/membership_policy.h"

#include <algorithm>

namespace bamboostile::consensus {

// A group that forms consists of one voter at first, then of two. What it
// acknowledged then would be lost with one disk; and with three of five voters
// in place, two lost disks would lose it. So nothing is acknowledged before the
// group is as large as the losses that it must survive ask for.
bool
MembershipPolicy::IsFormed(const Membership& aMembership, TimePoint aNow)
{
  const std::size_t size = aMembership.m_members.size();
  if (size != m_lastSize) {
    m_lastSize = size;
    m_sizeSince = aNow;
  }
  const bool hasSettled = aNow >= m_sizeSince + m_options.m_settlesAfter &&
                          aMembership.VoterCount() == size &&
                          size >= m_options.m_leastVoters;
  return aMembership.VoterCount() >= m_options.m_voters || hasSettled;
}

bool
MembershipPolicy::IsSilent(const ReplicaId& aId, TimePoint aNow)
{
  const TimePoint heard = m_heardFrom.try_emplace(aId, aNow).first->second;
  return aNow > heard + m_options.m_dropSilentAfter;
}

// A voter that stays away weighs on the quorum. It gives its place to a learner
// that holds all that is committed. Without such a learner it stays, unless
// there are more voters than needed: a group of five that shrinks to the three
// that answer is lost with the next two disks, and it was to survive those.
std::optional<Member>
MembershipPolicy::FindReplaceable(const Membership& aMembership,
                                  const ReplicaId& aSelf,
                                  const std::vector<ReplicaId>& aSynced,
                                  TimePoint aNow)
{
  const bool hasSpare =
    std::any_of(aSynced.begin(), aSynced.end(), [&](const ReplicaId& aId) {
      return !aMembership.IsVoter(aId) && !IsSilent(aId, aNow);
    });
  std::optional<Member> silent;
  for (const Member& member : aMembership.m_members) {
    const bool isAway = member.m_id != aSelf && IsSilent(member.m_id, aNow);
    if (!silent && member.m_voter && isAway) {
      silent = member;
    }
  }
  const bool hasTooMany = aMembership.VoterCount() > m_options.m_voters;
  return hasSpare || hasTooMany ? silent : std::nullopt;
}

} // namespace bamboostile::consensus
