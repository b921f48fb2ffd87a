#include "entries.h"

#include "check.h"

using namespace bamboostile;
using test::Entries;
using test::EntryFaults;

namespace {

constexpr std::size_t kEntryCount = 4;

void
Disturb(Entries& aEntries)
{
  auto& random = aEntries.Random();
  const std::size_t at = random() % kEntryCount;
  switch (random() % 8) {
    case 0:
      aEntries.Restart(at);
      break;
    case 1:
    case 2:
      aEntries.Freeze(at, random() % 2 == 0);
      break;
    case 3:
    case 4:
      aEntries.CutControl(at, random() % 2 == 0);
      break;
    default:
      for (std::size_t i = 0; i < kEntryCount; ++i) {
        aEntries.Freeze(i, false);
        aEntries.CutControl(i, false);
      }
      break;
  }
}

/** A caller that asks again elsewhere, also while its first copy runs. */
void
SendCopies(Entries& aEntries, int aNumber)
{
  auto& random = aEntries.Random();
  const RequestId id{ "q" + std::to_string(aNumber) };
  const bool idempotent = random() % 4 == 0;
  const Duration timeout = Millis{ 50 + random() % 800 };
  const std::size_t copies = 1 + random() % 3;
  for (std::size_t i = 0; i < copies; ++i) {
    aEntries.Arrive(random() % kEntryCount, id, idempotent, 1, timeout);
    aEntries.Run(Millis{ random() % 60 });
  }
}

/** Every attempt that was told "not run" is asked for once more under the
 * next number, while late copies of the old number still come in. */
void
SendNextAttempts(Entries& aEntries)
{
  const auto statements = aEntries.Statements();
  std::set<RequestId> asked;
  for (const auto& said : statements) {
    const bool again = said.m_state == outcome::State::kNotRun &&
                       !said.m_mayRepeat && asked.insert(said.m_request).second;
    if (again) {
      auto& random = aEntries.Random();
      aEntries.Arrive(random() % kEntryCount, said.m_request, false, 2);
      aEntries.Arrive(random() % kEntryCount, said.m_request, false, 1);
      aEntries.Run(Millis{ random() % 10 });
    }
  }
}

} // namespace

TEST_GROUP(RequestTruth){};

// Callers send copies of a request to several entries; entries are restarted,
// frozen and woken, or cut off from control; upstreams refuse, cut answers
// short, or prove that they did not run. Each statement to a caller is held
// against what the upstreams counted.
TEST(RequestTruth, RandomFaults_AnySeed_StatementsAgreeWithRuns)
{
  std::size_t done = 0;
  std::size_t all = 0;
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    EntryFaults faults;
    faults.m_controlLoss = 0.05 * static_cast<double>(seed % 4);
    faults.m_refuse = 0.05 * static_cast<double>(seed % 3);
    faults.m_cutAnswer = 0.05 * static_cast<double>(seed % 5);
    faults.m_provesNotRun = 0.04 * static_cast<double>(seed % 2);
    Entries entries(kEntryCount, 6, seed, faults);
    entries.Run(Millis{ 50 });
    for (int i = 0; i < 80; ++i) {
      SendCopies(entries, i);
      if (i % 5 == 4) {
        Disturb(entries);
      }
    }
    SendNextAttempts(entries);
    for (std::size_t i = 0; i < kEntryCount; ++i) {
      entries.Freeze(i, false);
      entries.CutControl(i, false);
    }
    entries.Run(std::chrono::seconds{ 8 });
    if (!entries.Contradiction().empty()) {
      FAIL(("seed " + std::to_string(seed) + ": " + entries.Contradiction())
             .c_str());
    }
    LONGS_EQUAL(0, entries.OpenCopies());
    for (const auto& said : entries.Statements()) {
      ++all;
      done += said.m_state == outcome::State::kDone ? 1 : 0;
    }
  }
  // The truth must not come from refusing everything.
  CHECK(done * 100 > all * 50);
}

// Every entry obeys a cordon within 2 s, also one that was frozen or cut off
// when it came.
TEST(RequestTruth, UpstreamTakenOut_EntriesFrozenOrCut_NoNewWorkAfterTwoSeconds)
{
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Entries entries(kEntryCount, 6, seed, {});
    entries.Run(Millis{ 50 });
    for (int i = 0; i < 120; ++i) {
      if (i % 30 == 10) {
        entries.Freeze(entries.Random()() % kEntryCount, true);
        entries.CutControl(entries.Random()() % kEntryCount, true);
        entries.SetCordon(entries.Random()() % 6, true);
      }
      if (i % 30 == 29) {
        for (std::size_t at = 0; at < kEntryCount; ++at) {
          entries.Freeze(at, false);
          entries.CutControl(at, false);
        }
      }
      for (std::size_t at = 0; at < kEntryCount; ++at) {
        entries.Arrive(
          at, RequestId{ std::to_string(i) + "." + std::to_string(at) }, true);
      }
      entries.Run(Millis{ 100 + entries.Random()() % 100 });
    }
    LONGS_EQUAL(0, entries.LateStarts().size());
  }
}
