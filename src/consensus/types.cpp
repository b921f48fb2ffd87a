#include "bamboostile/consensus/types.h"

#include <algorithm>

namespace bamboostile::consensus {

const Member*
Membership::Find(const ReplicaId& aId) const
{
  const auto found =
    std::find_if(m_members.begin(),
                 m_members.end(),
                 [&](const Member& aMember) { return aMember.m_id == aId; });
  return found == m_members.end() ? nullptr : &*found;
}

const Member*
Membership::FindOtherIncarnation(const ReplicaId& aId) const
{
  const auto found = std::find_if(
    m_members.begin(), m_members.end(), [&](const Member& aMember) {
      return aMember.m_id.m_instance == aId.m_instance && aMember.m_id != aId;
    });
  return found == m_members.end() ? nullptr : &*found;
}

Membership
Membership::WithVoter(const ReplicaId& aId) const
{
  Membership changed = *this;
  for (Member& member : changed.m_members) {
    member.m_voter = member.m_voter || member.m_id == aId;
  }
  return changed;
}

Membership
Membership::WithLearner(const ReplicaId& aId) const
{
  Membership changed = *this;
  for (Member& member : changed.m_members) {
    member.m_voter = member.m_voter && member.m_id != aId;
  }
  return changed;
}

Membership
Membership::Without(const ReplicaId& aId) const
{
  Membership changed = *this;
  std::erase_if(changed.m_members,
                [&](const Member& aMember) { return aMember.m_id == aId; });
  return changed;
}

bool
Membership::IsVoter(const ReplicaId& aId) const
{
  const Member* member = Find(aId);
  return member != nullptr && member->m_voter;
}

std::size_t
Membership::VoterCount() const
{
  return std::count_if(m_members.begin(),
                       m_members.end(),
                       [](const Member& aMember) { return aMember.m_voter; });
}

const char*
Describe(Error aError) noexcept
{
  switch (aError) {
    case Error::kNone:
      return "no error";
    case Error::kNotLeader:
      return "this replica is not the leader";
    case Error::kNotReady:
      return "the leader has not yet committed an entry of its own term";
    case Error::kChangePending:
      return "an earlier membership change is not committed yet";
    case Error::kUnknownMember:
      return "no such member in the control group";
    case Error::kAlreadyMember:
      return "this replica is already a member of the control group";
    case Error::kLastVoter:
      return "the last voter cannot be removed";
    case Error::kNotEmpty:
      return "the data folder already holds a control group";
  }
  return "unknown consensus error";
}

} // namespace bamboostile::consensus
