#include "replicas.h"

#include "check.h"

using namespace bamboostile;
using test::Faults;
using test::Replicas;

namespace {

/** Injects one random fault or ends some. */
void
InjectFault(Replicas& aReplicas, std::size_t aMaxDown)
{
  auto& random = aReplicas.Random();
  const std::size_t node = random() % aReplicas.Size();
  std::size_t down = 0;
  for (std::size_t i = 0; i < aReplicas.Size(); ++i) {
    down += aReplicas.IsUp(i) ? 0 : 1;
  }
  switch (random() % 10) {
    case 0:
      if (aReplicas.IsUp(node) && down < aMaxDown) {
        aReplicas.Crash(node);
      }
      break;
    case 1:
    case 2:
      if (!aReplicas.IsUp(node)) {
        aReplicas.Start(node);
      }
      break;
    case 3:
      aReplicas.Isolate(node, random() % 2 == 0);
      break;
    case 4:
      aReplicas.Cut(node, random() % aReplicas.Size(), random() % 2 == 0);
      break;
    case 5:
      if (aReplicas.IsUp(node)) {
        aReplicas.Freeze(node, random() % 2 == 0);
      }
      break;
    case 6:
      if (aReplicas.IsUp(node)) {
        aReplicas.At(node).Compact(aReplicas.AppliedBy(node),
                                   aReplicas.StateOf(node),
                                   aReplicas.LocalNow(node));
        aReplicas.Drain(node);
      }
      break;
    case 7:
      // All replicas crash at once, as in a power failure.
      for (std::size_t i = 0; i < aReplicas.Size(); ++i) {
        aReplicas.Crash(i);
      }
      for (std::size_t i = 0; i < aReplicas.Size(); ++i) {
        aReplicas.Start(i);
      }
      break;
    case 8:
      // The leader crashes right after a proposal.
      if (const auto leader = aReplicas.Leader(); leader && down < aMaxDown) {
        aReplicas.Propose("late");
        aReplicas.Crash(*leader);
      }
      break;
    default:
      for (std::size_t i = 0; i < aReplicas.Size(); ++i) {
        aReplicas.Isolate(i, false);
      }
      break;
  }
}

/** Ends all faults and checks that the group commits and that all replicas
 * agree. */
void
Heal(Replicas& aReplicas, const Faults& aNoFaults)
{
  for (std::size_t i = 0; i < aReplicas.Size(); ++i) {
    aReplicas.Isolate(i, false);
    aReplicas.Cut(i, i, false);
    if (!aReplicas.IsUp(i)) {
      aReplicas.Start(i);
    }
    aReplicas.Freeze(i, false);
  }
  aReplicas.SetFaults(aNoFaults);
  const std::size_t before = aReplicas.Acknowledged().size();
  const auto commits = [&]() {
    aReplicas.Propose("last");
    return aReplicas.Acknowledged().size() > before;
  };
  CHECK(aReplicas.RunUntil(commits, std::chrono::seconds{ 60 }));
  aReplicas.Run(std::chrono::seconds{ 10 });
  for (std::size_t i = 0; i < aReplicas.Size(); ++i) {
    LONGS_EQUAL(aReplicas.AppliedBy(*aReplicas.Leader()).Get(),
                aReplicas.AppliedBy(i).Get());
  }
}

/** Plays seeds with messages that are lost, duplicated and reordered, replicas
 * that crash between write and sync, freeze, and are cut off in one direction
 * or both, and snapshots at any point. */
void
PlaySeeds(std::size_t aMaxBatchBytes, bool aHasHandovers = false)
{
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    Faults faults;
    faults.m_loss = 0.02 * static_cast<double>(seed % 5);
    faults.m_duplicate = 0.05;
    faults.m_maxDelay = Millis{ 5 + 20 * (seed % 4) };
    faults.m_maxSync = Millis{ 1 + 15 * (seed % 3) };
    // All replicas have the same timeouts: a leader's lease relies on the
    // election timeouts of the voters.
    faults.m_options.m_heartbeatInterval = Millis{ 15 };
    faults.m_options.m_minElectionTimeout = Millis{ 90 };
    faults.m_options.m_electionJitter = Millis{ 90 };
    faults.m_options.m_snapshotChunkBytes = 64;
    faults.m_options.m_maxBatchBytes = aMaxBatchBytes;
    Faults noFaults;
    noFaults.m_options = faults.m_options;
    Replicas replicas(seed % 2 == 0 ? 3 : 5, seed, noFaults);
    CHECK(replicas.Form());
    replicas.SetFaults(faults);
    const std::size_t maxDown = replicas.Size() / 2;
    for (int round = 0; round < 100; ++round) {
      replicas.Propose("c" + std::to_string(round));
      InjectFault(replicas, maxDown);
      if (aHasHandovers && round % 4 == 0) {
        replicas.HandOver();
      }
      replicas.Run(Millis{ 10 + replicas.Random()() % 250 });
    }
    Heal(replicas, noFaults);
    if (!replicas.Violation().empty()) {
      FAIL(
        ("seed " + std::to_string(seed) + ": " + replicas.Violation()).c_str());
    }
  }
}

} // namespace

TEST_GROUP(ConsensusHistory){};

// Guards against replicas whose entries differ from the one sequence of the
// naive one-copy machine, and against a replica that holds its lease but lags
// behind an acknowledged command.
TEST(ConsensusHistory, RandomFaults_AnySeed_EqualsOneCopyMachine)
{
  PlaySeeds(consensus::ReplicaOptions{}.m_maxBatchBytes);
}

// Guards against an entry that differs, or is never whole, on a replica to
// which fragments of it were lost, sent twice or reordered. Each command is
// sent in fragments of one byte.
TEST(ConsensusHistory, RandomFaults_EntriesInFragments_EqualsOneCopyMachine)
{
  PlaySeeds(1);
}

// Guards against a leader that answers reads under a lease while its successor
// already leads.
TEST(ConsensusHistory, RandomFaultsAndHandovers_EqualsOneCopyMachine)
{
  PlaySeeds(consensus::ReplicaOptions{}.m_maxBatchBytes, true);
}
