#include "replicas.h"

#include "check.h"

using namespace bamboostile;
using test::Faults;
using test::Replicas;

namespace {

/** One random misfortune. */
void
Disturb(Replicas& aReplicas, std::size_t aMostDown)
{
  auto& random = aReplicas.Random();
  const std::size_t at = random() % aReplicas.Size();
  std::size_t down = 0;
  for (std::size_t i = 0; i < aReplicas.Size(); ++i) {
    down += aReplicas.IsUp(i) ? 0 : 1;
  }
  switch (random() % 10) {
    case 0:
      if (aReplicas.IsUp(at) && down < aMostDown) {
        aReplicas.Crash(at);
      }
      break;
    case 1:
    case 2:
      if (!aReplicas.IsUp(at)) {
        aReplicas.Start(at);
      }
      break;
    case 3:
      aReplicas.Isolate(at, random() % 2 == 0);
      break;
    case 4:
      aReplicas.Cut(at, random() % aReplicas.Size(), random() % 2 == 0);
      break;
    case 5:
      if (aReplicas.IsUp(at)) {
        aReplicas.Freeze(at, random() % 2 == 0);
      }
      break;
    case 6:
      if (aReplicas.IsUp(at)) {
        aReplicas.At(at).Compact(aReplicas.AppliedBy(at),
                                 aReplicas.StateOf(at));
        aReplicas.Drain(at);
      }
      break;
    case 7:
      // Everything at once, as when the power fails.
      for (std::size_t i = 0; i < aReplicas.Size(); ++i) {
        aReplicas.Crash(i);
      }
      for (std::size_t i = 0; i < aReplicas.Size(); ++i) {
        aReplicas.Start(i);
      }
      break;
    case 8:
      // The leader, in the middle of what it was just told.
      if (const auto leader = aReplicas.Leader(); leader && down < aMostDown) {
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

/** Mends everything and checks that the group works and agrees. */
void
Heal(Replicas& aReplicas, const Faults& aCalm)
{
  for (std::size_t i = 0; i < aReplicas.Size(); ++i) {
    aReplicas.Isolate(i, false);
    aReplicas.Cut(i, i, false);
    if (!aReplicas.IsUp(i)) {
      aReplicas.Start(i);
    }
    aReplicas.Freeze(i, false);
  }
  aReplicas.SetFaults(aCalm);
  const std::size_t before = aReplicas.Acknowledged().size();
  const auto works = [&]() {
    aReplicas.Propose("last");
    return aReplicas.Acknowledged().size() > before;
  };
  CHECK(aReplicas.RunUntil(works, std::chrono::seconds{ 60 }));
  aReplicas.Run(std::chrono::seconds{ 10 });
  for (std::size_t i = 0; i < aReplicas.Size(); ++i) {
    LONGS_EQUAL(aReplicas.AppliedBy(*aReplicas.Leader()).Get(),
                aReplicas.AppliedBy(i).Get());
  }
}

} // namespace

TEST_GROUP(ConsensusHistory){};

// Messages are lost, doubled, delayed past each other; replicas crash between
// write and sync, freeze, and are cut off in one direction or both; snapshots
// are taken at any point. Whatever any replica applies is compared with the
// one sequence of the naive one-copy machine, and no replica that holds its
// lease may be behind an acknowledged command.
TEST(ConsensusHistory, RandomFaults_AnySeed_EqualsOneCopyMachine)
{
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    Faults faults;
    faults.m_loss = 0.02 * static_cast<double>(seed % 5);
    faults.m_duplicate = 0.05;
    faults.m_maxDelay = Millis{ 5 + 20 * (seed % 4) };
    faults.m_maxSync = Millis{ 1 + 15 * (seed % 3) };
    // One set of timeouts for all: a leader's lease rests on what the voters
    // wait.
    faults.m_options.m_heartbeat = Millis{ 15 };
    faults.m_options.m_electionMin = Millis{ 90 };
    faults.m_options.m_electionSpread = Millis{ 90 };
    Faults calm;
    calm.m_options = faults.m_options;
    Replicas replicas(seed % 2 == 0 ? 3 : 5, seed, calm);
    CHECK(replicas.Form());
    replicas.SetFaults(faults);
    const std::size_t mostDown = replicas.Size() / 2;
    for (int round = 0; round < 100; ++round) {
      replicas.Propose("c" + std::to_string(round));
      Disturb(replicas, mostDown);
      replicas.Run(Millis{ 10 + replicas.Random()() % 250 });
    }
    Heal(replicas, calm);
    if (!replicas.Violation().empty()) {
      FAIL(
        ("seed " + std::to_string(seed) + ": " + replicas.Violation()).c_str());
    }
  }
}
