#include "replicas.h"

#include "check.h"

using namespace bamboostile;
using namespace bamboostile::test;

TEST_GROUP(Replica){ void CheckNoViolation(const Replicas& aReplicas){
  CHECK_STRING("", aReplicas.Violation());
}
}
;

TEST(Replica, EmptyReplica_WithoutBootstrap_NeverVotesOrLeads)
{
  Replicas replicas(3, 1, {});
  replicas.Run(kMaxWait);
  CHECK_FALSE(replicas.Leader().has_value());
  for (std::size_t i = 0; i < replicas.Size(); ++i) {
    LONGS_EQUAL(0, replicas.At(i).CurrentTerm().Get());
  }
}

TEST(Replica, Group_Formed_CommitsAndAppliesEverywhere)
{
  Replicas replicas(3, 2, {});
  CHECK(replicas.Form());
  CHECK(ProposeAndWait(replicas, "a"));
  replicas.Run(kPastTimeouts);
  for (std::size_t i = 0; i < replicas.Size(); ++i) {
    CHECK(replicas.AppliedBy(i) == replicas.AppliedBy(0));
  }
  CheckNoViolation(replicas);
}

// The leader dies after it has acknowledged a change. The new leader must have
// that change, since it was acknowledged only after a quorum had synced it.
TEST(Replica, Leader_KilledAfterAcknowledgement_ChangeSurvives)
{
  Replicas replicas(3, 3, {});
  CHECK(replicas.Form());
  CHECK(ProposeAndWait(replicas, "a"));
  const std::size_t old = *replicas.Leader();
  replicas.Crash(old);
  CHECK(ProposeAndWait(replicas, "b"));
  const std::size_t now = *replicas.Leader();
  CHECK(now != old);
  LONGS_EQUAL(replicas.Acknowledged().rbegin()->first.Get(),
              replicas.AppliedBy(now).Get());
  CHECK(IsAcknowledged(replicas, "a"));
  CheckNoViolation(replicas);
}

// Guards against callers that wait for an election timeout while a leader is
// stopped as planned.
TEST(Replica, LeaderHandsOver_AnotherLeadsBeforeAnElectionTimeout)
{
  for (const std::size_t size : { 2, 3, 5 }) {
    Replicas replicas(size, size, {});
    CHECK(replicas.Form());
    CHECK(ProposeAndWait(replicas, "a"));
    const std::size_t old = *replicas.Leader();
    CHECK(replicas.HandOver());
    CHECK_FALSE(replicas.At(old).HoldsLease(replicas.LocalNow(old)));
    const auto isElected = [&]() {
      const auto leader = replicas.Leader();
      return leader && *leader != old;
    };
    CHECK(replicas.RunUntil(
      isElected, consensus::ReplicaOptions{}.m_minElectionTimeout / 2));
    CHECK(ProposeAndWait(replicas, "b"));
    CheckNoViolation(replicas);
  }
}

// Guards against a delayed handover that ends the term of a later leader.
TEST(Replica, HandoverArrivesLate_IsIgnored)
{
  Replicas replicas(3, 7, {});
  CHECK(replicas.Form());
  const std::size_t old = *replicas.Leader();
  const Term oldTerm = replicas.At(old).CurrentTerm();
  replicas.Crash(old);
  replicas.Run(kPastTimeouts);
  const std::size_t leader = *replicas.Leader();
  const std::size_t follower = 3 - old - leader;
  replicas.Start(old);
  replicas.Run(kPastTimeouts);
  for (const std::size_t sender : { old, leader }) {
    replicas.At(follower).Receive({ replicas.At(sender).Self(),
                                    replicas.At(follower).Self(),
                                    oldTerm,
                                    consensus::Handover{} },
                                  replicas.LocalNow(follower));
    replicas.Drain(follower);
  }
  replicas.Run(kPastTimeouts);
  LONGS_EQUAL(leader, *replicas.Leader());
  CHECK(replicas.At(leader).CurrentTerm() ==
        replicas.At(follower).CurrentTerm());
}

TEST(Replica, NoOtherVoterAnswers_LeaderDoesNotHandOver)
{
  Replicas replicas(1, 8, {});
  CHECK(replicas.Form());
  CHECK_FALSE(replicas.HandOver());
  CHECK(ProposeAndWait(replicas, "a"));
}

// All processes die at once, with writes between the queue and the disk.
// Everything acknowledged had been synced by a quorum and must be recovered.
TEST(Replica, AllKilledAtOnce_Restarted_NothingAcknowledgedIsLost)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Faults slow;
    slow.m_maxSync = Millis{ 20 };
    Replicas replicas(3, seed, slow);
    CHECK(replicas.Form());
    CHECK(ProposeAndWait(replicas, "a"));
    for (int i = 0; i < 10; ++i) {
      replicas.Propose("b" + std::to_string(i));
    }
    replicas.Run(Millis{ 7 });
    for (std::size_t i = 0; i < replicas.Size(); ++i) {
      replicas.Crash(i);
    }
    for (std::size_t i = 0; i < replicas.Size(); ++i) {
      replicas.Start(i);
    }
    CHECK(ProposeAndWait(replicas, "c"));
    CheckNoViolation(replicas);
  }
}

// A minority loses its disks and restarts empty. It must not vote under its old
// identity: its lost vote or entries could let a second leader win. It counts
// only once it has been added as a new incarnation and is synced.
TEST(Replica, LostDisk_ComesBackEmpty_CannotVoteUntilAdmittedAndSynced)
{
  Replicas replicas(3, 5, {});
  CHECK(replicas.Form());
  CHECK(ProposeAndWait(replicas, "a"));
  const std::size_t leader = *replicas.Leader();
  const std::size_t lost = (leader + 1) % 3;
  const std::size_t other = (leader + 2) % 3;
  replicas.LoseDisk(lost);
  replicas.Start(lost);
  // The leader crashes too. Two of three processes run, but one of them has
  // lost its data: they must not elect a leader.
  replicas.Crash(leader);
  replicas.Run(kMaxWait);
  CHECK_FALSE(replicas.Leader().has_value());
  replicas.Start(leader);
  CHECK(ProposeAndWait(replicas, "b"));
  const std::size_t now = *replicas.Leader();
  CHECK(now == leader || now == other);
  replicas.At(now).AddMember({ replicas.At(lost).Self(), "r", false },
                             replicas.LocalNow(now));
  replicas.Drain(now);
  const auto repaired = [&]() {
    const auto& membership = replicas.At(now).CurrentMembership();
    return membership.IsVoter(replicas.At(lost).Self()) &&
           membership.m_members.size() == 3;
  };
  CHECK(replicas.RunUntil(repaired, kMaxWait));
  CheckNoViolation(replicas);
}

// Of four voters split into two halves neither half is a majority, and callers
// get no answer. With three voters and one learner, one half can always commit.
TEST(Replica, FourReplicasSplitInHalves_OneHalfCommits)
{
  for (const std::size_t with : { 1, 2, 3 }) {
    test::Faults faults;
    faults.m_options.m_maxVoters = 3;
    Replicas replicas(4, with, faults);
    CHECK(replicas.Form());
    CHECK(ProposeAndWait(replicas, "a"));
    for (std::size_t from = 0; from < 4; ++from) {
      for (std::size_t to = 0; to < 4; ++to) {
        const bool fromHalf = from == 0 || from == with;
        const bool toHalf = to == 0 || to == with;
        replicas.Cut(from, to, fromHalf != toHalf);
      }
    }
    replicas.Run(kMaxWait);
    CHECK(ProposeAndWait(replicas, "b"));
    CheckNoViolation(replicas);
  }
}

// A second replica is lost right after the first one was repaired. Everything
// acknowledged in between must be on the repaired one.
TEST(Replica, SecondLoss_RightAfterRepairOfFirst_LosesNothing)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Replicas replicas(3, seed, {});
    CHECK(replicas.Form());
    CHECK(ProposeAndWait(replicas, "a"));
    std::size_t leader = *replicas.Leader();
    const std::size_t first = (leader + 1) % 3;
    const std::size_t second = (leader + 2) % 3;
    replicas.LoseDisk(first);
    replicas.Start(first);
    replicas.At(leader).AddMember({ replicas.At(first).Self(), "r", false },
                                  replicas.LocalNow(leader));
    replicas.Drain(leader);
    const auto repaired = [&]() {
      return replicas.At(leader).CurrentMembership().IsVoter(
        replicas.At(first).Self());
    };
    CHECK(replicas.RunUntil(repaired, kMaxWait));
    CHECK(ProposeAndWait(replicas, "b"));
    replicas.LoseDisk(second);
    CHECK(ProposeAndWait(replicas, "c"));
    replicas.Crash(leader);
    replicas.Start(leader);
    CHECK(ProposeAndWait(replicas, "d"));
    CHECK(IsAcknowledged(replicas, "a"));
    CHECK(IsAcknowledged(replicas, "b"));
    CheckNoViolation(replicas);
  }
}

// A folder is restored from an old backup while the leader runs, so the replica
// has lost entries that it acknowledged. The leader detects this at the
// replica's first reply and stops counting it, also for its lease.
TEST(Replica, OldCopyOfFolder_Restored_IsDetectedAndNotCounted)
{
  Replicas replicas(3, 7, {});
  CHECK(replicas.Form());
  CHECK(ProposeAndWait(replicas, "a"));
  const std::size_t leader = *replicas.Leader();
  const std::size_t old = (leader + 1) % 3;
  replicas.CopyDisk(old);
  CHECK(ProposeAndWait(replicas, "b"));
  replicas.Run(Millis{ 500 });
  replicas.RestoreDisk(old);
  replicas.Start(old);
  replicas.Run(Millis{ 700 });
  CHECK(replicas.At(leader).RegressedPeers().contains(replicas.At(old).Self()));
  CHECK(ProposeAndWait(replicas, "c"));
  CheckNoViolation(replicas);
}

// The leader is frozen for longer than every timeout and resumes in the belief
// that it still leads. It must find its lease expired as soon as it reads the
// clock.
TEST(Replica, Leader_FrozenPastTimeoutsThenResumed_GivesNoStaleRead)
{
  Replicas replicas(3, 8, {});
  CHECK(replicas.Form());
  CHECK(ProposeAndWait(replicas, "a"));
  const std::size_t old = *replicas.Leader();
  replicas.Freeze(old, true);
  CHECK(ProposeAndWait(replicas, "b"));
  CHECK_FALSE(replicas.At(old).HoldsLease(replicas.LocalNow(old)));
  replicas.Freeze(old, false);
  CHECK_FALSE(replicas.At(old).HoldsLease(replicas.LocalNow(old)));
  CHECK(ProposeAndWait(replicas, "c"));
  CheckNoViolation(replicas);
}

// A leader is isolated for a long time while the others elect a new one. It
// must step down by itself, so that its callers turn to another replica, and
// its return must not cause an election.
TEST(Replica, Leader_IsolatedLong_StepsDownAndCausesNoElectionOnReturn)
{
  Replicas replicas(3, 9, {});
  CHECK(replicas.Form());
  const std::size_t old = *replicas.Leader();
  replicas.Isolate(old, true);
  CHECK(ProposeAndWait(replicas, "a"));
  replicas.Run(std::chrono::minutes{ 3 });
  CHECK(replicas.At(old).CurrentRole() != consensus::Role::kLeader);
  const std::size_t elections = replicas.ElectionCount();
  replicas.Isolate(old, false);
  replicas.Run(std::chrono::seconds{ 20 });
  LONGS_EQUAL(elections, replicas.ElectionCount());
  CHECK(replicas.AppliedBy(old) == replicas.AppliedBy(*replicas.Leader()));
  CheckNoViolation(replicas);
}

// The leader's links are cut in one direction. If it can send but not receive,
// its heartbeats keep the others from electing, so it must step down by itself.
TEST(Replica, Leader_CutInOneDirection_GroupElectsAnother)
{
  for (const bool receives : { false, true }) {
    Replicas replicas(3, 10, {});
    CHECK(replicas.Form());
    const std::size_t old = *replicas.Leader();
    for (std::size_t i = 0; i < 3; ++i) {
      if (i != old) {
        replicas.Cut(receives ? old : i, receives ? i : old, true);
      }
    }
    replicas.Run(kPastTimeouts);
    CHECK(ProposeAndWait(replicas, "a"));
    CHECK(*replicas.Leader() != old);
    CheckNoViolation(replicas);
  }
}

// A voter restarts within its leader's lease and no longer knows that it heard
// from that leader. If it voted at once, a second leader could win while
// the first still answers reads.
TEST(Replica, Follower_RestartedInsideLease_DoesNotVoteAtOnce)
{
  Replicas replicas(3, 11, {});
  CHECK(replicas.Form());
  const std::size_t leader = *replicas.Leader();
  const std::size_t follower = (leader + 1) % 3;
  replicas.Crash(follower);
  replicas.Start(follower);
  consensus::Message vote{ replicas.At((leader + 2) % 3).Self(),
                           replicas.At(follower).Self(),
                           Term{ 99 },
                           consensus::VoteRequest{
                             false, Index{ 1000 }, Term{ 98 } } };
  replicas.At(follower).Receive(vote, replicas.LocalNow(follower));
  replicas.Drain(follower);
  CHECK(replicas.At(follower).CurrentTerm() < Term{ 99 });
}

TEST(Replica, MembershipChange_WhileAnotherPends_IsRefused)
{
  Replicas replicas(3, 12, {});
  CHECK(replicas.Form());
  replicas.Run(kPastTimeouts);
  const std::size_t leader = *replicas.Leader();
  auto& replica = replicas.At(leader);
  const TimePoint now = replicas.LocalNow(leader);
  CHECK(replica.RemoveMember(replicas.At((leader + 1) % 3).Self().m_instance,
                             now) == consensus::Error::kNone);
  CHECK(replica.RemoveMember(replicas.At((leader + 2) % 3).Self().m_instance,
                             now) == consensus::Error::kChangePending);
}

TEST(Replica, LastVoter_Removal_IsRefused)
{
  Replicas replicas(1, 13, {});
  CHECK(replicas.Form());
  CHECK(
    replicas.RunUntil([&]() { return replicas.At(0).IsReady(); }, kMaxWait));
  CHECK(replicas.At(0).RemoveMember(replicas.At(0).Self().m_instance,
                                    replicas.LocalNow(0)) ==
        consensus::Error::kLastVoter);
}

TEST(Replica, Follower_BehindSnapshot_CatchesUpFromIt)
{
  Replicas replicas(3, 14, {});
  CHECK(replicas.Form());
  const std::size_t leader = *replicas.Leader();
  const std::size_t behind = (leader + 1) % 3;
  replicas.Crash(behind);
  for (int i = 0; i < 50; ++i) {
    CHECK(ProposeAndWait(replicas, "x" + std::to_string(i)));
  }
  replicas.At(leader).Compact(replicas.AppliedBy(leader),
                              replicas.StateOf(leader),
                              replicas.LocalNow(leader));
  replicas.Drain(leader);
  replicas.Start(behind);
  const auto caughtUp = [&]() {
    return replicas.AppliedBy(behind) == replicas.AppliedBy(leader);
  };
  CHECK(replicas.RunUntil(caughtUp, kMaxWait));
  CheckNoViolation(replicas);
}

namespace {

const consensus::ReplicaId kA{ InstanceId{ "a" }, Incarnation{ 1 } };
const consensus::ReplicaId kB{ InstanceId{ "b" }, Incarnation{ 1 } };
const consensus::ReplicaId kC{ InstanceId{ "c" }, Incarnation{ 1 } };

consensus::LogEntry
Command(std::uint64_t aIndex, std::uint64_t aTerm)
{
  return { Index{ aIndex }, Term{ aTerm }, consensus::CommandBytes{ "x" } };
}

consensus::RecoveredState
ThreeVoters()
{
  consensus::Membership three;
  for (const auto& id : { kA, kB, kC }) {
    three.m_members.push_back({ id, id.m_instance.Get(), true });
  }
  consensus::RecoveredState state;
  state.m_hardState.m_term = Term{ 1 };
  state.m_entries.push_back({ Index{ 1 }, Term{ 1 }, three });
  return state;
}

/** Reports every write handed to the disk so far as synced. */
std::vector<consensus::Action>
SyncAll(consensus::Replica& aReplica, TimePoint aNow)
{
  std::vector<consensus::Action> all;
  for (auto actions = aReplica.TakeActions(); !actions.empty();
       actions = aReplica.TakeActions()) {
    for (auto& action : actions) {
      if (auto* persist = std::get_if<consensus::Persist>(&action)) {
        aReplica.OnPersisted(persist->m_ticket, aNow);
      }
      all.push_back(std::move(action));
    }
  }
  return all;
}

} // namespace

// An entry of an earlier term is held by a quorum, but no entry of the new
// leader's own term is. A replica with a later term could still win and replace
// it, so it must not be committed by counting replicas.
TEST(Replica, Leader_EntryOfEarlierTermOnQuorum_IsNotCommittedByCounting)
{
  const TimePoint start{ std::chrono::hours{ 1 } };
  auto state = ThreeVoters();
  state.m_hardState.m_term = Term{ 3 };
  state.m_entries.push_back(Command(2, 2));
  consensus::Replica replica(kA, {}, state, start);
  const TimePoint later = start + kPastTimeouts;
  replica.Tick(later);
  SyncAll(replica, later);
  const Term candidate{ 4 };
  replica.Receive({ kB, kA, Term{ 3 }, consensus::VoteReply{ true, true } },
                  later);
  SyncAll(replica, later);
  replica.Receive({ kB, kA, candidate, consensus::VoteReply{ false, true } },
                  later);
  SyncAll(replica, later);
  CHECK(replica.CurrentRole() == consensus::Role::kLeader);
  replica.Receive(
    { kB, kA, candidate, consensus::AppendReply{ true, Index{ 2 }, later } },
    later);
  LONGS_EQUAL(0, replica.CommitIndex().Get());
  replica.Receive(
    { kB, kA, candidate, consensus::AppendReply{ true, Index{ 3 }, later } },
    later);
  LONGS_EQUAL(3, replica.CommitIndex().Get());
}

// A new leader replaces entries whose write is still in progress. The
// completion of the old write must not count for the new entries at the same
// positions.
TEST(Replica, Follower_WriteCompletesAfterTruncation_DoesNotCountForNewEntries)
{
  const TimePoint now{ std::chrono::hours{ 1 } };
  consensus::Replica replica(kA, {}, ThreeVoters(), now);
  consensus::AppendRequest old{
    Index{ 1 }, Term{ 1 }, { Command(2, 2), Command(3, 2) }, Index{ 0 }, now
  };
  replica.Receive({ kB, kA, Term{ 2 }, old }, now);
  std::uint64_t oldTicket = 0;
  for (const auto& action : replica.TakeActions()) {
    if (const auto* persist = std::get_if<consensus::Persist>(&action)) {
      oldTicket = persist->m_ticket;
    }
  }
  consensus::AppendRequest fresh{
    Index{ 1 }, Term{ 1 }, { Command(2, 3), Command(3, 3) }, Index{ 0 }, now
  };
  replica.Receive({ kC, kA, Term{ 3 }, fresh }, now);
  replica.TakeActions();
  replica.OnPersisted(oldTicket, now);
  LONGS_EQUAL(1, replica.MatchIndexOf(kA).Get());
}

// No task starts while there is no leader, so a new one must be elected within
// a second. Three of sixty runs may take longer: two candidates split the vote,
// and a second round is needed.
TEST(Replica, LeaderKilled_NewLeaderWithinASecond)
{
  constexpr int kSeeds = 60;
  constexpr int kSplitVotes = 3;
  int late = 0;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    Replicas replicas(5, static_cast<std::uint64_t>(seed), {});
    CHECK(replicas.Form());
    CHECK(ProposeAndWait(replicas, "a"));
    replicas.Crash(*replicas.Leader());
    const auto isLed = [&]() {
      const auto leader = replicas.Leader();
      return leader && replicas.At(*leader).IsReady();
    };
    const bool isPrompt = replicas.RunUntil(isLed, Millis{ 1000 });
    late += isPrompt ? 0 : 1;
    CHECK(isPrompt || replicas.RunUntil(isLed, kMaxWait));
  }
  CHECK(late <= kSplitVotes);
}

// All replicas lose power. Every voter reports that it has not heard from a
// leader since it started, so none has to wait for the end of a lease that
// nobody holds. Half the minimum election timeout allows for one split vote.
TEST(Replica, AllRestarted_LeaderElectedBeforeAnyLeaseWouldEnd)
{
  constexpr int kSeeds = 60;
  const Duration maxWait = consensus::ReplicaOptions{}.m_minElectionTimeout / 2;
  int late = 0;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    Replicas replicas(5, static_cast<std::uint64_t>(seed), {});
    CHECK(replicas.Form());
    CHECK(ProposeAndWait(replicas, "a"));
    for (std::size_t i = 0; i < replicas.Size(); ++i) {
      replicas.Crash(i);
    }
    for (std::size_t i = 0; i < replicas.Size(); ++i) {
      replicas.Start(i);
      replicas.Run(Millis{ 10 });
    }
    const auto isLed = [&]() {
      const auto leader = replicas.Leader();
      return leader && replicas.At(*leader).IsReady();
    };
    late += replicas.RunUntil(isLed, maxWait) ? 0 : 1;
    CHECK(ProposeAndWait(replicas, "b"));
    CHECK(IsAcknowledged(replicas, "a"));
    CheckNoViolation(replicas);
  }
  LONGS_EQUAL(0, late);
}

// The leader is frozen while all others restart, then resumes and still answers
// reads under its lease. It has not reported that it does not lead, so the
// others must wait for that lease to end; otherwise callers of the old leader
// could read data that the new one has replaced.
TEST(Replica, AllButTheLeaderRestarted_OthersWaitForItsLease)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Replicas replicas(5, seed, {});
    CHECK(replicas.Form());
    CHECK(ProposeAndWait(replicas, "a"));
    const std::size_t old = *replicas.Leader();
    replicas.Freeze(old, true);
    for (std::size_t i = 0; i < replicas.Size(); ++i) {
      if (i != old) {
        replicas.Crash(i);
        replicas.Start(i);
      }
    }
    replicas.Run(consensus::ReplicaOptions{}.m_minElectionTimeout * 9 / 10);
    CHECK_FALSE(replicas.Leader().has_value());
    replicas.Freeze(old, false);
    CHECK(ProposeAndWait(replicas, "b"));
    CheckNoViolation(replicas);
  }
}

// A voter reports that it knows of no leader, then hears from one, and then
// receives the delayed vote request that its report led to. It must refuse: the
// leader that was elected meanwhile holds a lease.
TEST(Replica, LeaderContactAfterNoLeaderReply_VoteIsNotGrantedEarly)
{
  const consensus::ReplicaId self{ InstanceId{ "a" }, Incarnation{ 1 } };
  const consensus::ReplicaId candidate{ InstanceId{ "b" }, Incarnation{ 1 } };
  const consensus::ReplicaId leader{ InstanceId{ "c" }, Incarnation{ 1 } };
  const TimePoint now{ std::chrono::hours{ 1 } };
  consensus::RecoveredState recovered;
  recovered.m_hardState.m_term = Term{ 3 };
  consensus::Membership group;
  for (const auto& id : { self, candidate, leader }) {
    group.m_members.push_back({ id, id.m_instance.Get(), true });
  }
  recovered.m_entries.push_back({ Index{ 1 }, Term{ 1 }, group });
  const auto syncAndCollectVotes = [&](consensus::Replica& aReplica) {
    std::vector<consensus::VoteReply> replies;
    for (auto actions = aReplica.TakeActions(); !actions.empty();
         actions = aReplica.TakeActions()) {
      for (const consensus::Action& action : actions) {
        if (const auto* write = std::get_if<consensus::Persist>(&action)) {
          aReplica.OnPersisted(write->m_ticket, now);
        }
        const auto* send = std::get_if<consensus::Send>(&action);
        const auto* reply =
          send == nullptr
            ? nullptr
            : std::get_if<consensus::VoteReply>(&send->m_message.m_body);
        if (reply != nullptr) {
          replies.push_back(*reply);
        }
      }
    }
    return replies;
  };
  const consensus::VoteRequest preVote{ true, Index{ 1 }, Term{ 1 } };
  const consensus::VoteRequest vote{ false, Index{ 1 }, Term{ 1 } };
  for (const bool receives : { false, true }) {
    consensus::Replica replica(self, {}, recovered, now);
    replica.Receive({ candidate, self, Term{ 4 }, preVote }, now);
    const auto preVoteReplies = syncAndCollectVotes(replica);
    LONGS_EQUAL(1, preVoteReplies.size());
    CHECK(preVoteReplies[0].m_knowsNoLeader);
    CHECK_FALSE(preVoteReplies[0].m_granted);
    if (receives) {
      consensus::AppendRequest heartbeat;
      heartbeat.m_previousIndex = Index{ 1 };
      heartbeat.m_previousTerm = Term{ 1 };
      replica.Receive({ leader, self, Term{ 3 }, heartbeat }, now);
      syncAndCollectVotes(replica);
    }
    replica.Receive({ candidate, self, Term{ 4 }, vote }, now);
    const auto voteReplies = syncAndCollectVotes(replica);
    LONGS_EQUAL(receives ? 0 : 1, voteReplies.size());
    CHECK(receives || voteReplies[0].m_granted);
  }
}

// Guards against a leader that never learns of a later term.
TEST(Replica, Follower_ChunkOfEarlierTerm_TellsItsTerm)
{
  const TimePoint now{ std::chrono::hours{ 1 } };
  auto state = ThreeVoters();
  state.m_hardState.m_term = Term{ 5 };
  consensus::Replica replica(kA, {}, state, now);
  consensus::SnapshotChunk chunk;
  chunk.m_index = Index{ 9 };
  chunk.m_term = Term{ 4 };
  chunk.m_size = 10;
  chunk.m_sentAt = now;
  replica.Receive({ kB, kA, Term{ 4 }, chunk }, now);
  std::size_t answers = 0;
  for (const auto& action : SyncAll(replica, now)) {
    const auto* send = std::get_if<consensus::Send>(&action);
    if (send != nullptr && send->m_message.m_term == Term{ 5 }) {
      ++answers;
    }
  }
  LONGS_EQUAL(1, answers);
}

// Guards against a heartbeat that claims entries which are not on disk because
// others at the same positions were.
TEST(Replica, Follower_SnapshotReplacesConflictingLog_HeartbeatClaimsOnlySynced)
{
  const TimePoint now{ std::chrono::hours{ 1 } };
  auto state = ThreeVoters();
  state.m_hardState.m_term = Term{ 3 };
  for (std::uint64_t index = 2; index <= 20; ++index) {
    state.m_entries.push_back(Command(index, 2));
  }
  consensus::Replica replica(kA, {}, state, now);
  LONGS_EQUAL(20, replica.MatchIndexOf(kA).Get());
  const consensus::Membership group = replica.CurrentMembership();
  const consensus::SnapshotChunk chunk{ Index{ 10 }, Term{ 3 }, group, 1,
                                        0,           "s",       now };
  replica.Receive({ kB, kA, Term{ 3 }, chunk }, now);
  consensus::AppendRequest append{
    Index{ 10 }, Term{ 3 }, { Command(11, 3), Command(12, 3) }, Index{ 10 }, now
  };
  replica.Receive({ kB, kA, Term{ 3 }, append }, now);
  consensus::AppendRequest heartbeat{
    Index{ 12 }, Term{ 3 }, {}, Index{ 10 }, now
  };
  replica.Receive({ kB, kA, Term{ 3 }, heartbeat }, now);
  // Nothing is synced, so nothing after the start of this process is claimed.
  for (const auto& action : replica.TakeActions()) {
    const auto* send = std::get_if<consensus::Send>(&action);
    const auto* reply =
      send == nullptr
        ? nullptr
        : std::get_if<consensus::AppendReply>(&send->m_message.m_body);
    CHECK(reply == nullptr || reply->m_match <= Index{ 10 });
  }
}
