#include "replicas.h"

#include "check.h"

#include <algorithm>
#include <array>

using namespace bamboostile;
using namespace bamboostile::test;

namespace {

/** Time within which a replica that lost its disk must be a voter again. */
constexpr Duration kCatchUp = std::chrono::seconds{ 4 };

/** Asks for admission until the leader agrees, as a replica without a leader
 * does. */
bool
Admit(Replicas& aReplicas, std::size_t aNode)
{
  const auto isAdmitted = [&]() {
    const std::size_t leader = *aReplicas.Leader();
    const auto error = aReplicas.At(leader).AddMember(
      { aReplicas.At(aNode).Self(), "r" + std::to_string(aNode), false },
      aReplicas.LocalNow(leader));
    aReplicas.Drain(leader);
    return error == consensus::Error::kNone;
  };
  return aReplicas.RunUntil(isAdmitted, kMaxWait);
}

/** Commits without a pause, on links that need longer for a snapshot than a
 * connection may be silent. */
class BusyGroup
{
public:
  explicit BusyGroup(std::uint64_t aSeed, Faults aFaults = {})
    : m_replicas(5, aSeed, aFaults)
  {
  }

  bool Form(std::size_t aStateBytes)
  {
    if (!m_replicas.Form()) {
      return false;
    }
    const std::size_t before = m_replicas.Acknowledged().size();
    for (std::size_t bytes = 0; bytes < aStateBytes; bytes += kCommandBytes) {
      m_replicas.Propose(std::string(kCommandBytes, 'x'));
    }
    const bool isCommitted = m_replicas.RunUntil(
      [&]() {
        return m_replicas.Acknowledged().size() >=
               before + aStateBytes / kCommandBytes;
      },
      kMaxWait);
    Compact();
    Faults slow;
    slow.m_linkRate = 1000 * 1000;
    slow.m_maxDelay = Duration::zero();
    m_replicas.SetFaults(slow);
    return isCommitted;
  }

  void Run(Duration aTime, std::uint64_t aCommandsBetweenSnapshots = 0)
  {
    std::uint64_t commands = 0;
    for (Duration passed{}; passed < aTime; passed += kPause) {
      m_replicas.Propose(std::string(kCommandBytes, 'y'));
      m_replicas.Run(kPause);
      ++commands;
      if (aCommandsBetweenSnapshots > 0 &&
          commands % aCommandsBetweenSnapshots == 0) {
        Compact();
      }
    }
  }

  bool Admit(std::size_t aNode) { return ::Admit(m_replicas, aNode); }

  bool IsVoter(std::size_t aNode)
  {
    const auto leader = m_replicas.Leader();
    return leader && m_replicas.At(*leader).CurrentMembership().IsVoter(
                       m_replicas.At(aNode).Self());
  }

  Replicas& All() { return m_replicas; }
  std::size_t SnapshotBytes() const { return m_snapshotBytes; }

private:
  static constexpr std::size_t kCommandBytes = 1000;
  static constexpr Duration kPause = Millis{ 10 };

  void Compact()
  {
    const std::size_t leader = *m_replicas.Leader();
    m_snapshotBytes = m_replicas.StateOf(leader).size();
    m_replicas.At(leader).Compact(m_replicas.AppliedBy(leader),
                                  m_replicas.StateOf(leader),
                                  m_replicas.LocalNow(leader));
    m_replicas.Drain(leader);
  }

  Replicas m_replicas;
  std::size_t m_snapshotBytes = 0;
};

} // namespace

TEST_GROUP(CatchUp){ void CheckNoViolation(const Replicas& aReplicas){
  CHECK_STRING("", aReplicas.Violation());
}
}
;

// Guards against a snapshot that never arrives whole: the replica would stay
// without a vote, and the next two lost disks would lose the group.
TEST(CatchUp, EmptiedReplica_SlowLinkAndSteadyCommits_VotesWithinCatchUpTime)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    BusyGroup group(seed);
    CHECK(group.Form(1000 * 1000));
    const std::size_t emptied = (*group.All().Leader() + 1) % 5;
    group.All().LoseDisk(emptied);
    group.All().Start(emptied);
    CHECK(group.Admit(emptied));
    group.Run(kCatchUp);
    CHECK(group.IsVoter(emptied));
    CheckNoViolation(group.All());
  }
}

// Guards against a member that counts as silent because its answers are to
// messages that waited on a slow link: its log would be cut.
TEST(CatchUp, EmptiedReplica_ChunksQueueOnSlowLink_LogIsKeptAndItVotes)
{
  Faults faults;
  faults.m_options.m_maxBatchBytes = 64 * 1024;
  for (const std::uint64_t commandsBetweenSnapshots : { 0, 50 }) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      BusyGroup group(seed, faults);
      CHECK(group.Form(4 * 1000 * 1000));
      Faults slow;
      slow.m_linkRate = 400 * 1000;
      slow.m_maxDelay = Duration::zero();
      group.All().SetFaults(slow);
      const std::size_t emptied = (*group.All().Leader() + 1) % 5;
      group.All().LoseDisk(emptied);
      group.All().Start(emptied);
      CHECK(group.Admit(emptied));
      // The snapshot takes 10 s, what is written meanwhile 4 s.
      group.Run(std::chrono::seconds{ 40 }, commandsBetweenSnapshots);
      CHECK(group.IsVoter(emptied));
      CheckNoViolation(group.All());
    }
  }
}

// Guards against a log that is cut while a snapshot is on its way: the replica
// would need a newer snapshot each time one has arrived.
TEST(CatchUp, EmptiedReplica_LogCompactedDuringTransfer_VotesWithinCatchUpTime)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    BusyGroup group(seed);
    CHECK(group.Form(1000 * 1000));
    const std::size_t emptied = (*group.All().Leader() + 1) % 5;
    group.All().LoseDisk(emptied);
    group.All().Start(emptied);
    CHECK(group.Admit(emptied));
    group.Run(kCatchUp, 50);
    CHECK(group.IsVoter(emptied));
    CheckNoViolation(group.All());
  }
}

// Guards against a replica that was down for long and is sent an old snapshot,
// then the newest.
TEST(CatchUp, Voter_DownDuringSeveralSnapshots_GetsOneSnapshot)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    BusyGroup group(seed);
    CHECK(group.Form(100 * 1000));
    const std::size_t down = (*group.All().Leader() + 1) % 5;
    group.All().Crash(down);
    group.Run(std::chrono::seconds{ 20 }, 200);
    const std::size_t before = group.All().SnapshotBytesSent();
    group.All().Start(down);
    group.Run(std::chrono::seconds{ 15 });
    CHECK(group.All().AppliedBy(down) > Index{ 2000 });
    UNSIGNED_LONGS_EQUAL(group.SnapshotBytes(),
                         group.All().SnapshotBytesSent() - before);
    CheckNoViolation(group.All());
  }
}

// Guards against chunks that are sent again because answers are late, which
// keeps a busy leader busy.
TEST(CatchUp, EmptiedReplica_AnswersAreLate_EachChunkIsSentOnce)
{
  constexpr std::size_t kStateBytes = 1000 * 1000;
  BusyGroup group(1);
  CHECK(group.Form(kStateBytes));
  const std::size_t emptied = (*group.All().Leader() + 1) % 5;
  group.All().LoseDisk(emptied);
  group.All().Start(emptied);
  group.All().SetDelayTo(emptied, Millis{ 800 });
  CHECK(group.Admit(emptied));
  const auto isInstalled = [&]() {
    return group.All().AppliedBy(emptied) > Index{};
  };
  CHECK(group.All().RunUntil(isInstalled, kMaxWait));
  LONGS_EQUAL(group.SnapshotBytes(), group.All().SnapshotBytesSent());
  CheckNoViolation(group.All());
}

// Guards against more messages under way to a slow replica than its connection
// accepts: it would lose some, reject all later ones, and stay behind.
TEST(CatchUp, Follower_DoesNotAnswer_FewMessagesAreUnderWayToIt)
{
  constexpr std::size_t kMaxUnanswered = 256;
  Replicas replicas(3, 15, {});
  CHECK(replicas.Form());
  const std::size_t leader = *replicas.Leader();
  const std::size_t slow = (leader + 1) % 3;
  replicas.Freeze(slow, true);
  for (int i = 0; i < 1000; ++i) {
    replicas.Propose("x" + std::to_string(i));
    replicas.Run(Millis{ 2 });
  }
  CHECK(replicas.BacklogOf(slow) < kMaxUnanswered);
  replicas.Freeze(slow, false);
  const auto caughtUp = [&]() {
    return replicas.AppliedBy(slow) == replicas.AppliedBy(leader);
  };
  CHECK(replicas.RunUntil(caughtUp, kMaxWait));
  CheckNoViolation(replicas);
}

// Guards against a group that is two voters short while two replicas with empty
// disks are replaced by their later incarnations: a fault then could cost it
// its quorum.
TEST(CatchUp, TwoEmptiedReplicas_CatchUpTogether_GroupIsNeverTwoVotersShort)
{
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Faults faults;
    faults.m_maxDelay = Millis{ 40 };
    faults.m_options.m_maxVoters = 5;
    Replicas replicas(5, seed, faults);
    CHECK(replicas.Form());
    const std::size_t leader = *replicas.Leader();
    const std::array<std::size_t, 2> emptied{ (leader + 1) % 5,
                                              (leader + 2) % 5 };
    for (const std::size_t node : emptied) {
      replicas.LoseDisk(node);
      replicas.Start(node);
      CHECK(Admit(replicas, node));
    }
    const auto areVoters = [&]() {
      const auto& membership = replicas.At(leader).CurrentMembership();
      CHECK(membership.VoterCount() >= 4);
      replicas.Propose("x");
      return std::all_of(
        emptied.begin(), emptied.end(), [&](std::size_t aNode) {
          return membership.IsVoter(replicas.At(aNode).Self());
        });
    };
    CHECK(replicas.RunUntil(areVoters, kMaxWait));
    CheckNoViolation(replicas);
  }
}

// Guards against a promotion that waits for an instant without entries on their
// way, which never comes while commits go on over a link with a long delay.
TEST(CatchUp, Learner_RoundTripBehindSteadyCommits_BecomesVoter)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    BusyGroup group(seed);
    CHECK(group.Form(0));
    const std::size_t emptied = (*group.All().Leader() + 1) % 5;
    group.All().LoseDisk(emptied);
    group.All().Start(emptied);
    group.All().SetDelayTo(emptied, Millis{ 80 });
    CHECK(group.Admit(emptied));
    group.Run(kCatchUp);
    CHECK(group.IsVoter(emptied));
    CheckNoViolation(group.All());
  }
}

// Guards against a voter of a later term that is only sent snapshots: neither
// it nor the leader would learn of the other's term.
TEST(CatchUp, Voter_OfLaterTermThanLeaderNeedsSnapshot_CatchesUp)
{
  int played = 0;
  for (std::uint64_t seed = 1; seed <= 40 && played < 3; ++seed) {
    Faults faults;
    faults.m_maxSync = Millis{ 20 };
    Replicas replicas(5, seed, faults);
    CHECK(replicas.Form());
    CHECK(ProposeAndWait(replicas, "a"));
    const std::size_t leader = *replicas.Leader();
    const Term term = replicas.At(leader).CurrentTerm();
    replicas.Isolate(leader, true);
    std::optional<std::size_t> candidate;
    for (int i = 0; i < 850 && !candidate; ++i) {
      replicas.Run(Millis{ 1 });
      for (std::size_t node = 0; node < replicas.Size(); ++node) {
        if (replicas.At(node).CurrentTerm() > term) {
          candidate = node;
        }
      }
    }
    if (!candidate) {
      continue;
    }
    replicas.Isolate(leader, false);
    replicas.Isolate(*candidate, true);
    replicas.Run(Millis{ 100 });
    replicas.Crash(*candidate);
    replicas.Isolate(*candidate, false);
    replicas.Run(kPastTimeouts);
    if (replicas.Leader() != leader ||
        replicas.At(leader).CurrentTerm() != term) {
      continue;
    }
    // More than is under way to a replica that does not answer, so that the
    // leader begins with the snapshot.
    for (int i = 0; i < 100; ++i) {
      CHECK(ProposeAndWait(replicas, "b"));
    }
    replicas.At(leader).Compact(replicas.AppliedBy(leader),
                                replicas.StateOf(leader),
                                replicas.LocalNow(leader));
    replicas.Drain(leader);
    replicas.Start(*candidate);
    if (replicas.At(*candidate).CurrentTerm() == term) {
      continue;
    }
    ++played;
    const auto caughtUp = [&]() {
      return replicas.AppliedBy(*candidate) >= replicas.AppliedBy(leader);
    };
    CHECK(replicas.RunUntil(caughtUp, kMaxWait));
    CheckNoViolation(replicas);
  }
  CHECK(played > 0);
}

// Guards against a leader that loses contact with its quorum because heartbeats
// wait behind the snapshot for one of its voters, and begins anew in each term.
TEST(CatchUp, TwoDown_VoterOfTheQuorumNeedsSnapshot_CommitsWithinCatchUpTime)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    Replicas replicas(5, seed, {});
    CHECK(replicas.Form());
    const std::size_t leader = *replicas.Leader();
    const auto other = [&](std::size_t aBy) { return (leader + aBy) % 5; };
    replicas.Crash(other(1));
    for (int i = 0; i < 4000; ++i) {
      replicas.Propose(std::string(1000, 'x'));
    }
    const std::size_t written = 4000;
    CHECK(replicas.RunUntil(
      [&]() { return replicas.Acknowledged().size() >= written; }, kMaxWait));
    replicas.Run(kPastTimeouts);
    for (const std::size_t node : { leader, other(2) }) {
      replicas.At(node).Compact(replicas.AppliedBy(node),
                                replicas.StateOf(node),
                                replicas.LocalNow(node));
      replicas.Drain(node);
    }
    replicas.Run(kPastTimeouts);
    Faults slow;
    slow.m_linkRate = 2 * 1000 * 1000;
    slow.m_maxDelay = Duration::zero();
    replicas.SetFaults(slow);
    replicas.Crash(other(3));
    replicas.Crash(other(4));
    replicas.Start(other(1));
    const std::size_t before = replicas.Acknowledged().size();
    const auto commits = [&]() {
      replicas.Propose("after");
      replicas.Run(Millis{ 50 });
      return replicas.Acknowledged().size() > before;
    };
    const std::size_t elections = replicas.ElectionCount();
    // A transfer takes 2 s. It arrives if half as much is under way at once.
    const bool isCommitting =
      replicas.RunUntil(commits, std::chrono::seconds{ 60 });
    CHECK(isCommitting);
    UNSIGNED_LONGS_EQUAL(elections, replicas.ElectionCount());
    CheckNoViolation(replicas);
  }
}

// Guards against batches of entries that a link cannot transfer before their
// connection counts as silent, while it can transfer the snapshot.
TEST(CatchUp, EmptiedReplica_BatchesOnSlowLink_Votes)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    BusyGroup group(seed);
    CHECK(group.Form(1000 * 1000));
    Faults slow;
    slow.m_linkRate = 600 * 1000;
    slow.m_maxDelay = Duration::zero();
    group.All().SetFaults(slow);
    const std::size_t emptied = (*group.All().Leader() + 1) % 5;
    group.All().LoseDisk(emptied);
    group.All().Start(emptied);
    CHECK(group.Admit(emptied));
    // A chunk takes 109 ms, the snapshot 1.7 s. At 100 KB/s of commands the
    // batches reach their limit if the replica is behind by more than 2.6 s.
    group.All().Freeze(emptied, true);
    group.Run(std::chrono::seconds{ 4 });
    group.All().Freeze(emptied, false);
    group.Run(std::chrono::seconds{ 20 });
    CHECK(group.IsVoter(emptied));
    CheckNoViolation(group.All());
  }
}

// Guards against a limit of the retained log that does not grow with the time
// that a snapshot takes: the replica would need another one each time.
TEST(CatchUp, EmptiedReplica_TransferOutlastsRetainedLog_Votes)
{
  Faults faults;
  faults.m_options.m_maxRetainedBytes = 64 * 1024;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    BusyGroup group(seed, faults);
    CHECK(group.Form(1000 * 1000));
    const std::size_t emptied = (*group.All().Leader() + 1) % 5;
    group.All().LoseDisk(emptied);
    group.All().Start(emptied);
    CHECK(group.Admit(emptied));
    group.Run(std::chrono::seconds{ 30 }, 50);
    CHECK(group.IsVoter(emptied));
    CheckNoViolation(group.All());
  }
}

// Guards against a replica that stays without a vote, or differs, after
// messages were lost, duplicated and reordered, replicas crashed, and snapshots
// were taken during transfers.
TEST(CatchUp, EmptiedReplica_AnyFaultDuringTransfer_VotesAndAgreesInTheEnd)
{
  constexpr std::uint64_t kSeeds = 60;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Faults calm;
    calm.m_options.m_snapshotChunkBytes = 64;
    calm.m_options.m_maxRetainedBytes = seed % 2 == 0 ? 2000 : 32 * 1024 * 1024;
    calm.m_options.m_maxVoters = 5;
    Faults faults = calm;
    faults.m_loss = 0.03 * static_cast<double>(seed % 4);
    faults.m_duplicate = 0.1;
    faults.m_maxDelay = Millis{ 2 + 40 * (seed % 3) };
    faults.m_maxSync = Millis{ 3 + 60 * (seed % 3) };
    Replicas replicas(5, seed, calm);
    CHECK(replicas.Form());
    for (int i = 0; i < 150; ++i) {
      replicas.Propose("a" + std::to_string(i) + std::string(20, 'x'));
      replicas.Run(Millis{ 2 });
    }
    replicas.SetFaults(faults);
    const std::size_t emptied = (*replicas.Leader() + 1) % 5;
    replicas.LoseDisk(emptied);
    replicas.Start(emptied);
    const auto admit = [&]() {
      const auto leader = replicas.Leader();
      if (leader && replicas.IsUp(emptied)) {
        replicas.At(*leader).AddMember(
          { replicas.At(emptied).Self(), "r" + std::to_string(emptied), false },
          replicas.LocalNow(*leader));
        replicas.Drain(*leader);
      }
    };
    auto& random = replicas.Random();
    for (int round = 0; round < 60; ++round) {
      admit();
      for (int i = 0; i < 5; ++i) {
        replicas.Propose("b" + std::to_string(round));
        replicas.Run(Millis{ 5 + random() % 30 });
      }
      std::size_t down = 0;
      for (std::size_t node = 0; node < 5; ++node) {
        down += replicas.IsUp(node) ? 0 : 1;
      }
      const std::size_t node = random() % 5;
      switch (random() % 8) {
        case 0:
          if (const auto leader = replicas.Leader(); leader && down < 1) {
            replicas.Crash(*leader);
          }
          break;
        case 1:
          if (replicas.IsUp(emptied)) {
            replicas.Crash(emptied);
          }
          replicas.Start(emptied);
          break;
        case 2:
        case 3:
        case 4:
          if (replicas.IsUp(node)) {
            replicas.At(node).Compact(replicas.AppliedBy(node),
                                      replicas.StateOf(node),
                                      replicas.LocalNow(node));
            replicas.Drain(node);
          }
          break;
        default:
          for (std::size_t i = 0; i < 5; ++i) {
            if (!replicas.IsUp(i)) {
              replicas.Start(i);
            }
          }
          break;
      }
    }
    for (std::size_t i = 0; i < 5; ++i) {
      if (!replicas.IsUp(i)) {
        replicas.Start(i);
      }
    }
    replicas.SetFaults(calm);
    const auto isWhole = [&]() {
      admit();
      replicas.Propose("last");
      const auto leader = replicas.Leader();
      if (!leader) {
        return false;
      }
      const auto& membership = replicas.At(*leader).CurrentMembership();
      for (std::size_t i = 0; i < 5; ++i) {
        if (!membership.IsVoter(replicas.At(i).Self()) ||
            replicas.AppliedBy(i).Get() + 20 <
              replicas.AppliedBy(*leader).Get()) {
          return false;
        }
      }
      return membership.VoterCount() == 5;
    };
    CHECK(replicas.RunUntil(isWhole, kMaxWait));
    CheckNoViolation(replicas);
  }
}

// Guards against an entry that a slow link cannot transfer before its
// connection counts as silent: everything after it would wait.
TEST(CatchUp, Entry_TooLargeForSlowLink_Commits)
{
  for (const std::size_t size : { 300 * 1000, 400 * 1000 }) {
    BusyGroup group(1);
    CHECK(group.Form(0));
    const std::string large(size, 'z');
    group.All().Propose(large);
    const auto isCommitted = [&]() {
      return IsAcknowledged(group.All(), large);
    };
    CHECK(group.All().RunUntil(isCommitted, kMaxWait));
    CheckNoViolation(group.All());
  }
}

// Guards against an entry that begins anew with each lost connection: a link on
// which connections often end would never transfer it.
TEST(CatchUp, Entry_LinkIsCutDuringTransfer_ContinuesWhereItStopped)
{
  constexpr std::size_t kBytes = 2 * 1000 * 1000;
  // What is under way to a voter when the link is cut.
  constexpr std::size_t kMaxLostPerCut = 256 * 1024;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    Faults slow;
    slow.m_linkRate = 1000 * 1000;
    slow.m_maxDelay = Duration::zero();
    Replicas replicas(2, seed, slow);
    CHECK(replicas.Form());
    const std::size_t leader = *replicas.Leader();
    const std::size_t other = 1 - leader;
    const std::string large(kBytes, 'z');
    replicas.Propose(large);
    constexpr int kCuts = 3;
    for (int i = 0; i < kCuts; ++i) {
      replicas.Run(Millis{ 400 });
      replicas.Cut(leader, other, true);
      replicas.Run(Millis{ 300 });
      replicas.Cut(leader, other, false);
    }
    const auto isCommitted = [&]() { return IsAcknowledged(replicas, large); };
    CHECK(replicas.RunUntil(isCommitted, kMaxWait));
    CHECK(replicas.FragmentBytesSent() >= kBytes);
    CHECK(replicas.FragmentBytesSent() <= kBytes + kCuts * kMaxLostPerCut);
    CheckNoViolation(replicas);
  }
}

// Guards against a group of two versions that does not commit: a replica of an
// earlier version takes a fragment for a heartbeat and never holds the entry.
TEST(CatchUp,
     Entry_Large_OneReplicaOfEarlierVersion_CommitsAndAppliesEverywhere)
{
  for (std::size_t earlier = 0; earlier < 3; ++earlier) {
    Replicas replicas(3, 1, {});
    replicas.SetEarlierVersion(earlier);
    CHECK(replicas.Form());
    // Without a third replica, the entry needs the one of the earlier version.
    const std::size_t leader = *replicas.Leader();
    for (std::size_t node = 0; node < 3; ++node) {
      if (node != leader && node != earlier) {
        replicas.Crash(node);
        break;
      }
    }
    const std::string large(400 * 1000, 'z');
    replicas.Propose(large);
    const auto isCommitted = [&]() { return IsAcknowledged(replicas, large); };
    CHECK(replicas.RunUntil(isCommitted, kMaxWait));
    for (std::size_t node = 0; node < 3; ++node) {
      if (!replicas.IsUp(node)) {
        replicas.Start(node);
      }
    }
    replicas.Run(kPastTimeouts);
    for (std::size_t node = 0; node < 3; ++node) {
      CHECK(replicas.AppliedBy(node) == replicas.AppliedBy(leader));
    }
    CheckNoViolation(replicas);
  }
}

// Guards against an entry joined from fragments of two leaders, which may have
// different entries at the same index.
TEST(CatchUp, Fragments_OfTwoLeaders_AreNotJoined)
{
  using consensus::AppendReply;
  using consensus::AppendRequest;
  const auto id = [](const char* aName) {
    return consensus::ReplicaId{ InstanceId{ aName }, Incarnation{ 1 } };
  };
  const TimePoint now{ std::chrono::hours{ 1 } };
  consensus::Replica follower{ id("f"), {}, {}, now };
  const auto send = [&](const char* aLeader,
                        std::uint64_t aTerm,
                        std::uint64_t aOffset,
                        const char* aBytes) {
    AppendRequest append{ {}, {}, {}, {}, now };
    append.m_fragment =
      consensus::EntryFragment{ Term{ aTerm }, 4, aOffset, aBytes };
    follower.Receive(
      consensus::Message{ id(aLeader), id("f"), Term{ aTerm }, append }, now);
    // Each write is synced at once; the answer may wait for it.
    std::uint64_t received = 0;
    for (auto actions = follower.TakeActions(); !actions.empty();
         actions = follower.TakeActions()) {
      for (const auto& action : actions) {
        if (const auto* persist = std::get_if<consensus::Persist>(&action)) {
          follower.OnPersisted(persist->m_ticket, now);
        }
        if (const auto* sent = std::get_if<consensus::Send>(&action)) {
          const auto& reply = std::get<AppendReply>(sent->m_message.m_body);
          received = reply.m_fragment.value().m_received;
        }
      }
    }
    return received;
  };
  UNSIGNED_LONGS_EQUAL(2, send("a", 1, 0, "ab"));
  UNSIGNED_LONGS_EQUAL(0, send("b", 2, 2, "CD"));
  CHECK(follower.LastIndex() == Index{});
  UNSIGNED_LONGS_EQUAL(2, send("b", 2, 0, "AB"));
  UNSIGNED_LONGS_EQUAL(4, send("b", 2, 2, "CD"));
  CHECK(follower.LastIndex() == Index{ 1 });
}

// Guards against a replica that finds the log cut each time it has written a
// snapshot, because that takes longer than the leader retains entries for it.
TEST(CatchUp, EmptiedReplica_HangsAfterEachSnapshot_VotesInTheEnd)
{
  for (const Duration hang : { Millis{ 2000 }, Millis{ 3500 } }) {
    BusyGroup group(1);
    CHECK(group.Form(1000 * 1000));
    const std::size_t emptied = (*group.All().Leader() + 1) % 5;
    group.All().LoseDisk(emptied);
    group.All().Start(emptied);
    CHECK(group.Admit(emptied));
    Index snapshot;
    int installed = 0;
    for (int i = 0; i < 200 && installed < 8 && !group.IsVoter(emptied); ++i) {
      group.Run(Millis{ 100 }, 5);
      const Index now = group.All().At(emptied).SnapshotIndex();
      if (now != snapshot) {
        snapshot = now;
        ++installed;
        group.All().Freeze(emptied, true);
        group.Run(hang, 50);
        group.All().Freeze(emptied, false);
      }
    }
    CHECK(group.IsVoter(emptied));
    CheckNoViolation(group.All());
  }
}

// Guards against a log that is retained for ever for a replica that received a
// snapshot and is gone for good.
TEST(CatchUp, EmptiedReplica_SilentAfterSnapshot_LogIsRetainedForAMinute)
{
  for (const int silence : { 50, 70 }) {
    BusyGroup group(1);
    CHECK(group.Form(100 * 1000));
    const std::size_t emptied = (*group.All().Leader() + 1) % 5;
    group.All().LoseDisk(emptied);
    group.All().Start(emptied);
    CHECK(group.Admit(emptied));
    const auto isInstalled = [&]() {
      return group.All().At(emptied).SnapshotIndex() > Index{};
    };
    CHECK(group.All().RunUntil(isInstalled, kMaxWait));
    const std::size_t before = group.All().SnapshotBytesSent();
    group.All().Freeze(emptied, true);
    group.Run(std::chrono::seconds{ silence }, 200);
    group.All().Freeze(emptied, false);
    group.Run(std::chrono::seconds{ 20 }, 200);
    CHECK(group.IsVoter(emptied));
    CHECK_EQUAL(silence > 60, group.All().SnapshotBytesSent() > before);
    CheckNoViolation(group.All());
  }
}

// Guards against a change that a replica of an earlier version would not apply:
// the states of the group would differ from then on.
TEST(CatchUp, MemberOfEarlierVersion_NewerVersionOfStateIsNotCommon)
{
  Faults faults;
  faults.m_options.m_stateVersion = 1;
  Replicas replicas(3, 1, faults);
  replicas.SetEarlierVersion(2);
  CHECK(replicas.Form());
  replicas.Run(kPastTimeouts);
  LONGS_EQUAL(0, replicas.At(*replicas.Leader()).CommonStateVersion());
  const consensus::ReplicaId earlier = replicas.At(2).Self();
  replicas.Crash(2);
  replicas.Run(kPastTimeouts);
  const std::size_t leader = *replicas.Leader();
  LONGS_EQUAL(0, replicas.At(leader).CommonStateVersion());
  replicas.At(leader).RemoveMember(earlier.m_instance,
                                   replicas.LocalNow(leader));
  replicas.Drain(leader);
  replicas.Run(kPastTimeouts);
  LONGS_EQUAL(1, replicas.At(*replicas.Leader()).CommonStateVersion());
}
