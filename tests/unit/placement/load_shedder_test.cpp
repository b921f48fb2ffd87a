#include "bamboostile/placement/load_shedder.h"

#include "job_fixtures.h"

#include "check.h"

using namespace bamboostile;
using namespace bamboostile::placement;
using namespace job_fixtures;

TEST_GROUP(LoadShedder)
{
  placement::LoadShedder m_shedder;

  void Wait(std::int64_t aMs, std::int64_t aAt)
  {
    m_shedder.RecordWait(Millis{ aMs }, At(aAt));
  }

  bool Sheds(SheddingLevel aLevel, std::int64_t aAt)
  {
    return m_shedder.Level(At(aAt)) == aLevel;
  }
};

TEST(LoadShedder, ReportsWaitAsInAnyPeak_NothingIsSkipped)
{
  Wait(130, 1000);
  CHECK(Sheds(SheddingLevel::kNone, 1000));
}

// Guards against leases that run out under a healthy but overloaded leader,
// whose moves and waves take the time that renewals need. Orders are skipped
// first, then placement passes, and each wait counts for long enough to have
// an effect.
TEST(LoadShedder, ReportsWaitLonger_OrdersAreSkippedBeforePasses)
{
  Wait(160, 1000);
  CHECK(Sheds(SheddingLevel::kInstances, 1000));
  Wait(320, 1100);
  CHECK(Sheds(SheddingLevel::kPlacement, 1100));
  Wait(10, 1600);
  CHECK(Sheds(SheddingLevel::kPlacement, 1600));
}

TEST(LoadShedder, ReportsServedInTimeAgain_NothingIsSkipped)
{
  Wait(320, 1000);
  Wait(10, 1600);
  Wait(10, 2200);
  CHECK(Sheds(SheddingLevel::kNone, 2200));
}

TEST(LoadShedder, NoReportForLong_NothingIsSkipped)
{
  Wait(320, 1000);
  CHECK(Sheds(SheddingLevel::kNone, 2500));
}
