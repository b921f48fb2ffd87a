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

  /** Two losses are to be survived. */
  MembershipPolicy m_policy{ MembershipPolicyOptions{ 5 } };

  void Hear(std::initializer_list<int> aFrom, std::int64_t aAt)
  {
    for (const int one : aFrom) {
      m_policy.OnHeard(Id(one), At(aAt));
    }
  }
};

// Callers lose everything that was acknowledged: two of five voters are away
// for longer than a restart takes, both are taken out of the group, and then
// the disks of two of the three that are left are lost. With both kept, the
// three that hold everything still are the majority of five when they return.
TEST(MembershipPolicy, TwoOfFiveVotersSilentWithoutSpare_BothKeepTheirPlaces)
{
  const Membership group = Group(5, 0);
  Hear({ 2, 3, 4, 5 }, 1000);
  Hear({ 2, 3 }, 20'000);
  CHECK_FALSE(
    m_policy.FindReplaceable(group, Id(1), {}, At(20'000)).has_value());
}

TEST(MembershipPolicy, SilentVoterAndSyncedLearner_VoterIsReplaced)
{
  const Membership group = Group(5, 1);
  Hear({ 2, 3, 4, 5, 6 }, 1000);
  Hear({ 2, 3, 4, 6 }, 7500);
  const auto found =
    m_policy.FindReplaceable(group, Id(1), { Id(6) }, At(7500));
  CHECK(found.has_value());
  CHECK_STRING("c5", found->m_id.m_instance.Get());
}

TEST(MembershipPolicy, SilentLearner_TakesNoVotersPlace)
{
  const Membership group = Group(5, 1);
  Hear({ 2, 3, 4, 5, 6 }, 1000);
  Hear({ 2, 3, 4 }, 7500);
  CHECK_FALSE(
    m_policy.FindReplaceable(group, Id(1), { Id(6) }, At(7500)).has_value());
}

TEST(MembershipPolicy, MoreVotersThanNeeded_SilentOneLeaves)
{
  const Membership group = Group(6, 0);
  Hear({ 2, 3, 4, 5, 6 }, 1000);
  Hear({ 2, 3, 4, 5 }, 7500);
  CHECK(m_policy.FindReplaceable(group, Id(1), {}, At(7500)).has_value());
}

TEST(MembershipPolicy, ThreeOfFiveVoters_GroupIsNotFormedYet)
{
  CHECK_FALSE(m_policy.IsFormed(Group(3, 0), At(1000)));
  CHECK_FALSE(m_policy.IsFormed(Group(4, 0), At(5900)));
  CHECK(m_policy.IsFormed(Group(5, 0), At(6000)));
}

TEST(MembershipPolicy, FewerDisksThanVoters_GroupIsFormedOnceNobodyJoins)
{
  CHECK_FALSE(m_policy.IsFormed(Group(3, 0), At(1000)));
  CHECK_FALSE(m_policy.IsFormed(Group(3, 0), At(5900)));
  CHECK(m_policy.IsFormed(Group(3, 0), At(6000)));
}

// The other seeds are late or cut off. The founder alone would acknowledge what
// is lost with its disk.
TEST(MembershipPolicy, FounderAlone_IsNoGroupHoweverLongItWaits)
{
  CHECK_FALSE(m_policy.IsFormed(Group(1, 0), At(1000)));
  CHECK_FALSE(m_policy.IsFormed(Group(1, 0), At(60'000)));
  CHECK_FALSE(m_policy.IsFormed(Group(2, 0), At(90'000)));
  CHECK_FALSE(m_policy.IsFormed(Group(2, 0), At(190'000)));
}
