#include "bamboostile/consensus/membership_policy.h"

#include "replicas.h"

#include "check.h"

#include <algorithm>
#include <set>

using namespace bamboostile;
using namespace bamboostile::test;
using consensus::Member;
using consensus::Membership;
using consensus::ReplicaId;

namespace {

constexpr Duration kDutyInterval = Millis{ 200 };
/** Time in which a successor must be able to take over. */
constexpr Duration kCatchUp = std::chrono::seconds{ 4 };
/** Time in which a group of which enough replicas run commits again. */
constexpr Duration kRecovery = std::chrono::seconds{ 12 };

/** A group whose members are joined by successors and lost for good. Its leader
 * removes unresponsive voters, as a control node does. */
class ReplacedGroup
{
public:
  ReplacedGroup(std::size_t aFirst, std::size_t aMax, std::uint64_t aSeed)
    : m_replicas(aMax, aSeed, WithVoters(aFirst))
    , m_policy({ aFirst, aFirst })
  {
    for (std::size_t i = 0; i < aFirst; ++i) {
      m_running.insert(i);
    }
    CHECK(m_replicas.Form(aFirst));
  }

  /** Admits the next replica. */
  void AddSuccessor()
  {
    const std::size_t successor = m_next++;
    const auto isAdmitted = [&]() {
      RunDuties();
      return AdmitAtLeader(successor);
    };
    CHECK(m_replicas.RunUntil(isAdmitted, kMaxWait));
    m_running.insert(successor);
  }

  void Lose(std::size_t aNode)
  {
    m_replicas.Crash(aNode);
    m_running.erase(aNode);
  }

  void Run(Duration aTime)
  {
    for (Duration passed{}; passed < aTime; passed += kDutyInterval) {
      RunDuties();
      m_replicas.Run(kDutyInterval);
    }
  }

  bool Commits(const std::string& aCommand)
  {
    Duration passed{};
    while (passed < kRecovery && !IsAcknowledged(m_replicas, aCommand)) {
      m_replicas.Propose(aCommand);
      Run(kDutyInterval);
      passed += kDutyInterval;
    }
    return IsAcknowledged(m_replicas, aCommand);
  }

  const Membership& Members()
  {
    return m_replicas.At(*m_replicas.Leader()).CurrentMembership();
  }
  const std::set<std::size_t>& Running() const { return m_running; }
  bool HasSuccessor() const { return m_next < m_replicas.Size(); }
  Replicas& All() { return m_replicas; }

private:
  static Faults WithVoters(std::size_t aVoters)
  {
    Faults faults;
    faults.m_options.m_maxVoters = aVoters;
    faults.m_options.m_maxVotersInReplacement = 2 * aVoters + 1;
    return faults;
  }

  bool AdmitAtLeader(std::size_t aNode)
  {
    const auto leader = m_replicas.Leader();
    if (!leader) {
      return false;
    }
    m_replicas.At(*leader).AddMember(
      { m_replicas.At(aNode).Self(), "r" + std::to_string(aNode), false },
      m_replicas.LocalNow(*leader));
    m_replicas.Drain(*leader);
    return Members().Find(m_replicas.At(aNode).Self()) != nullptr;
  }

  void RunDuties()
  {
    const auto leader = m_replicas.Leader();
    if (leader != m_leader) {
      m_leader = leader;
      m_policy.Reset();
    }
    if (!leader) {
      return;
    }
    const TimePoint now = m_replicas.LocalNow(*leader);
    for (const std::size_t node : m_running) {
      m_policy.OnMessage(m_replicas.At(node).Self(), now);
    }
    consensus::Replica& replica = m_replicas.At(*leader);
    const auto unresponsive =
      m_policy.FindReplaceable(replica.CurrentMembership(),
                               replica.Self(),
                               replica.LearnersCaughtUp(now),
                               now);
    if (unresponsive) {
      replica.RemoveMember(unresponsive->m_id.m_instance, now);
      m_replicas.Drain(*leader);
    }
  }

  Replicas m_replicas;
  consensus::MembershipPolicy m_policy;
  std::optional<std::size_t> m_leader;
  std::set<std::size_t> m_running;
  std::size_t m_next = m_policy.TargetVoters();
};

} // namespace

TEST_GROUP(Replacement){ static void CheckNoViolation(ReplacedGroup & aGroup){
  STRCMP_EQUAL("", aGroup.All().Violation().c_str());
}
}
;

// Guards against a group that ends although most of its replicas run and hold
// everything: the old ones vote, are lost together, and nothing can give their
// votes to their successors.
TEST(Replacement, FewerThanHalfOfAllReplicasAreLost_GroupCommits)
{
  for (const std::size_t voters : { 3, 5 }) {
    for (std::size_t all = voters; all <= 2 * voters + 2; ++all) {
      for (const bool isLeaderLost : { false, true }) {
        ReplacedGroup group(voters, all, all);
        while (group.HasSuccessor()) {
          group.AddSuccessor();
          group.Run(kCatchUp);
        }
        const std::size_t leader = *group.All().Leader();
        std::size_t lost = 0;
        for (std::size_t node = 0; lost < (all - 1) / 2; ++node) {
          if (node != leader || isLeaderLost) {
            group.Lose(node);
            ++lost;
          }
        }
        CHECK(group.Commits("after"));
        CheckNoViolation(group);
      }
    }
  }
}

// Guards against an even number of voters that stays once the replaced ones are
// gone: split into halves it has no majority.
TEST(Replacement, OldReplicasAreGone_NumberOfVotersIsTheTargetAgain)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    ReplacedGroup group(3, 6, seed);
    while (group.HasSuccessor()) {
      group.AddSuccessor();
    }
    group.Run(kCatchUp);
    LONGS_EQUAL(5, group.Members().VoterCount());
    group.Lose(0);
    group.Run(Millis{ 500 });
    group.Lose(1);
    group.Run(std::chrono::seconds{ 20 });
    LONGS_EQUAL(3, group.Members().VoterCount());
    CHECK(group.Commits("after"));
    CheckNoViolation(group);
  }
}

// Guards against a voter that stops for good and keeps its vote, so that the
// loss of another one ends the group although a successor has caught up.
TEST(Replacement, VoterDepartsAndAnotherIsLost_GroupCommits)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ReplacedGroup group(3, 4, seed);
    group.AddSuccessor();
    group.Run(kCatchUp);
    const std::size_t leader = *group.All().Leader();
    const std::size_t departing = (leader + 1) % 3;
    CHECK(group.All().At(departing).AnnounceDeparture());
    group.All().Drain(departing);
    group.Run(Millis{ 400 });
    LONGS_EQUAL(3, group.Members().VoterCount());
    group.Lose(departing);
    group.Lose(seed % 2 == 0 ? leader : (leader + 2) % 3);
    CHECK(group.Commits("after"));
    CheckNoViolation(group);
  }
}

// Guards against a group that becomes smaller than its target because voters
// are restarted.
TEST(Replacement, VoterDepartsWithoutSuccessor_ItKeepsItsVote)
{
  ReplacedGroup group(3, 3, 1);
  group.Run(kCatchUp);
  const std::size_t departing = (*group.All().Leader() + 1) % 3;
  CHECK_FALSE(group.All().At(departing).AnnounceDeparture());
  group.All().Drain(departing);
  group.Run(kCatchUp);
  LONGS_EQUAL(3, group.Members().VoterCount());
}

// Guards against a silent learner that counts as a vote of the group.
TEST(Replacement, SecondSuccessorIsSilent_NeitherVotes)
{
  ReplacedGroup group(3, 5, 1);
  group.AddSuccessor();
  group.Run(kCatchUp);
  group.All().Isolate(4, true);
  group.AddSuccessor();
  group.Run(kCatchUp);
  LONGS_EQUAL(3, group.Members().VoterCount());
}

// Guards against any order of successors and losses, with pauses of up to
// eight seconds, after which a group of which most members run does not commit
// or has lost what it had acknowledged.
TEST(Replacement, SuccessorsAndLossesInAnyOrder_GroupCommitsWhileMostMembersRun)
{
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    ReplacedGroup group(seed % 4 == 0 ? 5 : 3, 14, seed);
    auto& random = group.All().Random();
    for (int step = 0; step < 16; ++step) {
      const std::size_t members = group.Members().m_members.size();
      const bool mayLose = 2 * (group.Running().size() - 1) > members;
      if (group.HasSuccessor() && (!mayLose || random() % 2 == 0)) {
        group.AddSuccessor();
        group.Run(kCatchUp);
      } else if (mayLose) {
        auto lost = group.Running().begin();
        std::advance(lost, random() % group.Running().size());
        group.Lose(*lost);
      }
      const std::string command = "c" + std::to_string(step);
      if (!group.Commits(command)) {
        FAIL(("seed " + std::to_string(seed) + " step " + std::to_string(step))
               .c_str());
      }
      group.Run(Millis{ random() % 8'000 });
    }
    CheckNoViolation(group);
  }
}
