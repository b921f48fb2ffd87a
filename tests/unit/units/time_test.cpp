#include "bamboostile/units/time.h"

#include "check.h"

#include <cerrno>

namespace {

/** What the clocks of this program show, in seconds. */
std::time_t g_steady = 0;
std::time_t g_withSuspension = 0;

} // namespace

/** Takes the place of the C library's for the whole program. */
extern "C" int
clock_gettime(clockid_t aClock, std::timespec* aTime) noexcept
{
  *aTime = {};
  aTime->tv_sec = aClock == CLOCK_BOOTTIME ? g_withSuspension : g_steady;
  return 0;
}

TEST_GROUP(MonotonicNow){};

// A leader's machine is suspended for five seconds; meanwhile another replica
// is elected. The clock by which the first one judges its lease must have
// moved, or it would go on answering as the leader.
TEST(MonotonicNow, MachineSuspended_TimeHasPassed)
{
  using namespace bamboostile;
  g_steady = 100;
  g_withSuspension = 100;
  const TimePoint before = MonotonicNow();
  g_withSuspension += 5;
  CHECK(MonotonicNow() - before == Millis{ 5000 });
}
