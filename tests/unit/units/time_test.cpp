#include "bamboostile/units/time.h"

#include "check.h"

#include <cerrno>

namespace {

/** Readings of the simulated clocks, in seconds; only CLOCK_BOOTTIME counts
 * time in suspension. */
std::time_t g_steadySeconds = 0;
std::time_t g_bootTimeSeconds = 0;

} // namespace

/** Replaces the function of the C library in the whole program. */
extern "C" int
clock_gettime(clockid_t aClock, std::timespec* aTime) noexcept
{
  *aTime = {};
  aTime->tv_sec =
    aClock == CLOCK_BOOTTIME ? g_bootTimeSeconds : g_steadySeconds;
  return 0;
}

TEST_GROUP(MonotonicNow){};

// Guards against a leader that still trusts its lease after its machine was
// suspended for five seconds, in which another replica was elected: it would go
// on answering as the leader.
TEST(MonotonicNow, MachineSuspended_TimeHasPassed)
{
  using namespace bamboostile;
  g_steadySeconds = 100;
  g_bootTimeSeconds = 100;
  const TimePoint before = MonotonicNow();
  g_bootTimeSeconds += 5;
  CHECK(MonotonicNow() - before == Millis{ 5000 });
}
