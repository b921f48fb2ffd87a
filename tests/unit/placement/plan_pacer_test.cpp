#include "bamboostile/placement/plan_pacer.h"

#include "check.h"

using namespace bamboostile;
using placement::PlanPacer;

TEST_GROUP(PlanPacer)
{
  struct BusySecond
  {
    int m_passes = 0;
    Duration m_timeInPasses{};
  };

  /** Simulates a second in which more ends wait after each committed batch. */
  static BusySecond SimulateSecond(Duration aPass, Duration aBatch)
  {
    PlanPacer pacer;
    BusySecond second;
    TimePoint now{ std::chrono::hours{ 1 } };
    const TimePoint end = now + std::chrono::seconds{ 1 };
    while (now < end) {
      if (pacer.IsDue(true, now)) {
        pacer.OnPassEnded(now, now + aPass);
        now += aPass;
        ++second.m_passes;
        second.m_timeInPasses += aPass;
      }
      now += aBatch;
    }
    return second;
  }
};

// Guards against passes that wait until no end is left while workers report
// ends continuously: each worker waits for its next task until a pass has seen
// its end. With batches of 10 ms there must be a pass at least every 24 ms.
TEST(PlanPacer, ContinuousEnds_PassesContinue)
{
  const BusySecond grown = SimulateSecond(Millis{ 6 }, Millis{ 10 });
  CHECK(grown.m_passes >= 36);
  const BusySecond small =
    SimulateSecond(std::chrono::microseconds{ 300 }, Millis{ 7 });
  CHECK(small.m_passes >= 130);
}

// Guards against passes that leave the leader no time for reports: with several
// thousand workers a pass takes longer than a batch.
TEST(PlanPacer, LongPasses_LeaveMostOfTheTime)
{
  const BusySecond second = SimulateSecond(Millis{ 60 }, Millis{ 10 });
  CHECK(second.m_timeInPasses <= Millis{ 300 });
}

TEST(PlanPacer, NoMoreEnds_IsDueAtOnce)
{
  PlanPacer pacer;
  const TimePoint now{ std::chrono::hours{ 1 } };
  pacer.OnPassEnded(now, now + Millis{ 6 });
  CHECK_FALSE(pacer.IsDue(true, now + Millis{ 6 }));
  CHECK(pacer.IsDue(false, now + Millis{ 6 }));
}

TEST(PlanPacer, SheddingLeader_PassesTakeHalfAsMuchTime)
{
  PlanPacer pacer;
  const TimePoint now{ std::chrono::hours{ 1 } };
  const TimePoint ended = now + Millis{ 10 };
  pacer.OnPassEnded(now, ended, placement::SheddingLevel::kPlacement);
  CHECK_FALSE(pacer.IsDue(true, ended + Millis{ 69 }));
  CHECK(pacer.IsDue(true, ended + Millis{ 70 }));
  CHECK(pacer.IsDue(false, ended));
}
