#include "entries.h"

#include "check.h"

using namespace bamboostile;
using test::Entries;
using test::EntryFaults;

namespace {

constexpr std::size_t kEntryCount = 4;

void
InjectFault(Entries& aEntries)
{
  auto& random = aEntries.Random();
  const std::size_t entry = random() % kEntryCount;
  switch (random() % 8) {
    case 0:
      aEntries.Restart(entry);
      break;
    case 1:
    case 2:
      aEntries.Freeze(entry, random() % 2 == 0);
      break;
    case 3:
    case 4:
      aEntries.CutControl(entry, random() % 2 == 0);
      break;
    default:
      for (std::size_t i = 0; i < kEntryCount; ++i) {
        aEntries.Freeze(i, false);
        aEntries.CutControl(i, false);
      }
      break;
  }
}

/** Sends copies of one request to several entries, also while the first copy
 * runs. */
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

/** Sends every request that was reported as "not run" once more under the next
 * attempt number, while late copies of the old number still arrive. */
void
SendNextAttempts(Entries& aEntries)
{
  const auto statements = aEntries.Statements();
  std::set<RequestId> repeated;
  for (const auto& statement : statements) {
    const bool isRepeatable = statement.m_state == outcome::State::kNotRun &&
                              !statement.m_mayRepeat &&
                              repeated.insert(statement.m_request).second;
    if (isRepeatable) {
      auto& random = aEntries.Random();
      aEntries.Arrive(random() % kEntryCount, statement.m_request, false, 2);
      aEntries.Arrive(random() % kEntryCount, statement.m_request, false, 1);
      aEntries.Run(Millis{ random() % 10 });
    }
  }
}

} // namespace

TEST_GROUP(RequestTruth){};

// Guards against answers to callers that contradict the runs that the upstreams
// counted. Callers send copies of a request to several entries; entries are
// restarted, frozen and resumed, or cut off from control; upstreams refuse, cut
// answers short, or prove that they did not run a request.
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
        InjectFault(entries);
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
    for (const auto& statement : entries.Statements()) {
      ++all;
      done += statement.m_state == outcome::State::kDone ? 1 : 0;
    }
  }
  // Entries that refuse every request must not pass.
  CHECK(done * 100 > all * 50);
}

// Guards against requests to a cordoned upstream more than 2 s after the
// cordon, also from entries that were frozen or cut off when it was set.
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
        for (std::size_t entry = 0; entry < kEntryCount; ++entry) {
          entries.Freeze(entry, false);
          entries.CutControl(entry, false);
        }
      }
      for (std::size_t entry = 0; entry < kEntryCount; ++entry) {
        entries.Arrive(
          entry,
          RequestId{ std::to_string(i) + "." + std::to_string(entry) },
          true);
      }
      entries.Run(Millis{ 100 + entries.Random()() % 100 });
    }
    LONGS_EQUAL(0, entries.LateStarts().size());
  }
}
