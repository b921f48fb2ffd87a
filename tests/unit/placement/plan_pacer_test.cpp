#include "bamboostile/placement/plan_pacer.h"

#include "check.h"

using namespace bamboostile;
using placement::PlanPacer;

TEST_GROUP(PlanPacer)
{
  struct Second
  {
    int m_passes = 0;
    Duration m_inPasses{};
  };

  /** One second in which ends wait whenever a batch has been committed. */
  static Second Busy(Duration aPass, Duration aBatch)
  {
    PlanPacer pacer;
    Second second;
    TimePoint now{ std::chrono::hours{ 1 } };
    const TimePoint end = now + std::chrono::seconds{ 1 };
    while (now < end) {
      if (pacer.IsDue(true, now)) {
        pacer.OnPlanned(now, now + aPass);
        now += aPass;
        ++second.m_passes;
        second.m_inPasses += aPass;
      }
      now += aBatch;
    }
    return second;
  }
};

// Workers tell of ends without a pause. Each waits for its next task until a
// pass has seen its end, so passes must not wait until no end is left: with
// batches of 10 ms there is one every 24 ms or sooner.
TEST(PlanPacer, EndsWithoutPause_PassesGoOn)
{
  const Second grown = Busy(Millis{ 6 }, Millis{ 10 });
  CHECK(grown.m_passes >= 36);
  const Second small = Busy(std::chrono::microseconds{ 300 }, Millis{ 7 });
  CHECK(small.m_passes >= 130);
}

// With several thousand workers a pass takes longer than a batch; it must leave
// the leader time to take reports.
TEST(PlanPacer, LongPasses_LeaveMostOfTheTime)
{
  const Second second = Busy(Millis{ 60 }, Millis{ 10 });
  CHECK(second.m_inPasses <= Millis{ 300 });
}

TEST(PlanPacer, NoMoreEnds_IsDueAtOnce)
{
  PlanPacer pacer;
  const TimePoint now{ std::chrono::hours{ 1 } };
  pacer.OnPlanned(now, now + Millis{ 6 });
  CHECK_FALSE(pacer.IsDue(true, now + Millis{ 6 }));
  CHECK(pacer.IsDue(false, now + Millis{ 6 }));
}

TEST(PlanPacer, FullLeader_PassesTakeHalfAsMuchTime)
{
  PlanPacer pacer;
  const TimePoint now{ std::chrono::hours{ 1 } };
  const TimePoint ended = now + Millis{ 10 };
  pacer.OnPlanned(now, ended, placement::Shedding::kPlacing);
  CHECK_FALSE(pacer.IsDue(true, ended + Millis{ 69 }));
  CHECK(pacer.IsDue(true, ended + Millis{ 70 }));
  CHECK(pacer.IsDue(false, ended));
}
