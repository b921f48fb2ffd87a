#include "bamboostile/consensus/membership_policy.h"

#include "check.h"

using namespace bamboostile;
using namespace bamboostile::consensus;

TEST_GROUP(MembershipPolicy)
{
  static TimePoint At(std::int64_t aMs)
  {
    return TimePoint{ Millis{ aMs } };
  }

  static ReplicaId Id(int aNumber)
  {
    return { InstanceId{ "c" + std::to_string(aNumber) },
             Incarnation{ static_cast<std::uint64_t>(aNumber) } };
  }

  static Membership Group(int aVoters, int aLearners)
  {
    Membership group;
    for (int i = 1; i <= aVoters + aLearners; ++i) {
      group.m_members.push_back(
        { Id(i), "10.0.0." + std::to_string(i), i <= aVoters });
    }
    return group;
  }

  /** Five voters, so that the group survives the loss of two. */
  MembershipPolicy m_policy{ MembershipPolicyOptions{ 5 } };

  void ReceiveFrom(std::initializer_list<int> aSenders, std::int64_t aAt)
  {
    for (const int sender : aSenders) {
      m_policy.OnMessage(Id(sender), At(aAt));
    }
  }
};

// Two of five voters are unresponsive for longer than a restart takes. If both
// were removed and the disks of two of the three others were then lost,
// everything acknowledged would be lost. If both stay, they and the one
// remaining replica, three that hold everything, are the majority of five once
// they return.
TEST(MembershipPolicy, TwoOfFiveVotersUnresponsiveWithoutSpare_BothStay)
{
  const Membership group = Group(5, 0);
  ReceiveFrom({ 2, 3, 4, 5 }, 1000);
  ReceiveFrom({ 2, 3 }, 20'000);
  CHECK_FALSE(
    m_policy.FindReplaceable(group, Id(1), {}, At(20'000)).has_value());
}

TEST(MembershipPolicy, UnresponsiveVoterAndSyncedLearner_VoterIsReplaced)
{
  const Membership group = Group(5, 1);
  ReceiveFrom({ 2, 3, 4, 5, 6 }, 1000);
  ReceiveFrom({ 2, 3, 4, 6 }, 7500);
  const auto found =
    m_policy.FindReplaceable(group, Id(1), { Id(6) }, At(7500));
  CHECK(found.has_value());
  CHECK_STRING("c5", found->m_id.m_instance.Get());
}

TEST(MembershipPolicy, UnresponsiveLearner_ReplacesNoVoter)
{
  const Membership group = Group(5, 1);
  ReceiveFrom({ 2, 3, 4, 5, 6 }, 1000);
  ReceiveFrom({ 2, 3, 4 }, 7500);
  CHECK_FALSE(
    m_policy.FindReplaceable(group, Id(1), { Id(6) }, At(7500)).has_value());
}

TEST(MembershipPolicy, MoreVotersThanNeeded_UnresponsiveVoterIsRemoved)
{
  const Membership group = Group(6, 0);
  ReceiveFrom({ 2, 3, 4, 5, 6 }, 1000);
  ReceiveFrom({ 2, 3, 4, 5 }, 7500);
  CHECK(m_policy.FindReplaceable(group, Id(1), {}, At(7500)).has_value());
}

TEST(MembershipPolicy, ThreeOfFiveVoters_GroupIsNotFormedYet)
{
  CHECK_FALSE(m_policy.IsFormed(Group(3, 0), At(1000)));
  CHECK_FALSE(m_policy.IsFormed(Group(4, 0), At(5900)));
  CHECK(m_policy.IsFormed(Group(5, 0), At(6000)));
}

TEST(MembershipPolicy, FewerDisksThanVoters_GroupIsFormedOnceSizeIsStable)
{
  CHECK_FALSE(m_policy.IsFormed(Group(3, 0), At(1000)));
  CHECK_FALSE(m_policy.IsFormed(Group(3, 0), At(5900)));
  CHECK(m_policy.IsFormed(Group(3, 0), At(6000)));
}

// The other seeds are late or cut off. Anything that the founder acknowledged
// alone would be lost with its disk.
TEST(MembershipPolicy, FewerThanMinVoters_GroupIsNeverFormed)
{
  CHECK_FALSE(m_policy.IsFormed(Group(1, 0), At(1000)));
  CHECK_FALSE(m_policy.IsFormed(Group(1, 0), At(60'000)));
  CHECK_FALSE(m_policy.IsFormed(Group(2, 0), At(90'000)));
  CHECK_FALSE(m_policy.IsFormed(Group(2, 0), At(190'000)));
}
