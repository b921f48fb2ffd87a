#include "bamboostile/inflow/meter.h"

#include "check.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <optional>
#include <random>
#include <vector>

using namespace bamboostile;
using namespace bamboostile::inflow;

namespace {

constexpr std::int64_t kTickMs = 100;
constexpr std::size_t kPools = 2;
constexpr double kCores = 32'000;

/** Rate of arrivals in thousandths of a core, by pool and time in ms. */
using Arrivals = std::function<double(std::size_t, std::int64_t)>;

struct Outcome
{
  double m_work = 0;
  double m_onTime = 0;
  double m_instanceSeconds = 0;
  int m_moves = 0;

  double OnTimeShare() const { return m_onTime / m_work; }

  void Add(const Outcome& aOther)
  {
    m_work += aOther.m_work;
    m_onTime += aOther.m_onTime;
    m_instanceSeconds += aOther.m_instanceSeconds;
    m_moves += aOther.m_moves;
  }
};

/** Two pools that are sized every 100 ms from a shared standby of instances.
 * Work is served in order of arrival; a job of 1 s cannot use more CPU than it
 * has tasks. It is on time within 2.5 s. */
class Pools
{
public:
  /** aMethod: unset to follow the backlog only. */
  Pools(Arrivals aArrivals, const std::optional<Method>& aMethod)
    : m_arrivals(std::move(aArrivals))
    , m_hasForecast(aMethod.has_value())
  {
    for (Pool& pool : m_pools) {
      pool.m_meter =
        Meter({ aMethod.value_or(Level{}), Millis{ 700 }, kMoveDuration });
    }
  }

  Outcome Play(std::int64_t aMs)
  {
    for (std::int64_t at = 0; at < aMs; at += kTickMs) {
      for (std::size_t i = 0; i < kPools; ++i) {
        Tick(m_pools[i], m_arrivals(i, at), at);
      }
    }
    return m_outcome;
  }

private:
  static constexpr Millis kMoveDuration{ 1500 };
  static constexpr std::int64_t kTargetMs = 1500;
  static constexpr std::int64_t kJobMs = 1000;
  static constexpr std::int64_t kDueMs = 2500;
  static constexpr std::size_t kIdleTicks = 7;
  static constexpr int kOrdersPerTick = 20;
  static constexpr int kMinInstances = 3;

  struct Cohort
  {
    std::int64_t m_at = 0;
    double m_maxCpu = 0;
    double m_left = 0;
  };

  struct Pool
  {
    Meter m_meter;
    int m_instances = kMinInstances;
    /** When the ordered instances arrive. */
    std::vector<std::int64_t> m_arriving;
    std::vector<Cohort> m_backlog;
    /** Idle instances in the last ticks. */
    std::vector<int> m_idle;
  };

  void Tick(Pool& aPool, double aRate, std::int64_t aAt)
  {
    const double work = aRate * kTickMs;
    m_outcome.m_work += work;
    aPool.m_backlog.push_back({ aAt, work / kJobMs, work });
    aPool.m_meter.Add(work, TimePoint{ Millis{ aAt } });
    aPool.m_instances += static_cast<int>(std::erase_if(
      aPool.m_arriving, [&](std::int64_t aTime) { return aTime <= aAt; }));
    Serve(aPool, aAt);
    Resize(aPool, aAt);
    m_outcome.m_instanceSeconds +=
      (aPool.m_instances + static_cast<double>(aPool.m_arriving.size())) *
      kTickMs / 1000;
  }

  void Serve(Pool& aPool, std::int64_t aAt)
  {
    double free = aPool.m_instances * kCores;
    for (Cohort& cohort : aPool.m_backlog) {
      const double used =
        std::min({ free, cohort.m_maxCpu, cohort.m_left / kTickMs });
      free -= used;
      cohort.m_left -= used * kTickMs;
      const bool isOnTime = aAt + kTickMs <= cohort.m_at + kDueMs;
      m_outcome.m_onTime += isOnTime ? used * kTickMs : 0;
    }
    std::erase_if(aPool.m_backlog,
                  [](const Cohort& aCohort) { return aCohort.m_left < 1; });
    aPool.m_idle.push_back(static_cast<int>(free / kCores));
    if (aPool.m_idle.size() > kIdleTicks) {
      aPool.m_idle.erase(aPool.m_idle.begin());
    }
  }

  int Desired(const Pool& aPool, std::int64_t aAt) const
  {
    double backlog = 0;
    for (const Cohort& cohort : aPool.m_backlog) {
      backlog += cohort.m_left;
    }
    double cpu = backlog / kTargetMs;
    if (m_hasForecast) {
      Supply supply;
      supply.Add(aPool.m_instances * kCores, kMoveDuration);
      for (const std::int64_t arrival : aPool.m_arriving) {
        supply.Add(kCores, kMoveDuration - Millis{ arrival - aAt });
      }
      cpu += CpuAhead(
        aPool.m_meter.Get(), supply, kMoveDuration, Millis{ kTargetMs });
    }
    return std::max(static_cast<int>(std::ceil(cpu / kCores)), kMinInstances);
  }

  void Resize(Pool& aPool, std::int64_t aAt)
  {
    const int desired = Desired(aPool, aAt);
    const int actual =
      aPool.m_instances + static_cast<int>(aPool.m_arriving.size());
    const int orders =
      std::clamp(desired - actual, 0, std::min(kOrdersPerTick, m_standby));
    for (int i = 0; i < orders; ++i) {
      aPool.m_arriving.push_back(aAt + kMoveDuration.count());
    }
    const int idle =
      *std::min_element(aPool.m_idle.begin(), aPool.m_idle.end());
    const int returned = std::clamp(actual - desired, 0, idle);
    aPool.m_instances -= returned;
    for (int& sample : aPool.m_idle) {
      sample -= returned;
    }
    m_standby += returned - orders;
    m_outcome.m_moves += returned + orders;
  }

  Arrivals m_arrivals;
  bool m_hasForecast;
  std::array<Pool, kPools> m_pools;
  int m_standby = 200;
  Outcome m_outcome;
};

/** Rate that keeps 30 instances busy. */
constexpr double kMean = 30 * kCores;

double
Peaks(std::size_t aPool, std::int64_t aAt, std::int64_t aPeriodMs)
{
  const std::int64_t phase =
    (aAt + static_cast<std::int64_t>(aPool) * aPeriodMs / 2) % aPeriodMs;
  return phase < aPeriodMs / 4 ? 3.8 * kMean : kMean / 20;
}

Outcome
Play(const Arrivals& aArrivals, const std::optional<Method>& aMethod)
{
  return Pools(aArrivals, aMethod).Play(120'000);
}

Arrivals
WithNoise(const Arrivals& aArrivals, unsigned aSeed)
{
  std::mt19937 random(aSeed);
  std::normal_distribution<double> normal(1, 0.3);
  std::vector<double> factors(4096);
  for (double& factor : factors) {
    factor = std::max(normal(random), 0.0);
  }
  return [=](std::size_t aPool, std::int64_t aAt) {
    const auto tick = static_cast<std::size_t>(aAt / kTickMs);
    return aArrivals(aPool, aAt) *
           factors[(tick + aPool * 1000) % factors.size()];
  };
}

/** The forecast is no worse than following the backlog in any figure. */
void
CheckNoWorse(const Outcome& aForecast, const Outcome& aFollowing)
{
  CHECK(aForecast.OnTimeShare() >= aFollowing.OnTimeShare());
  CHECK(aForecast.m_instanceSeconds <= aFollowing.m_instanceSeconds);
  CHECK(aForecast.m_moves <= aFollowing.m_moves);
}

void
CheckNoWorse(const Arrivals& aArrivals)
{
  CheckNoWorse(Play(aArrivals, Level{}), Play(aArrivals, std::nullopt));
}

/** Where following the backlog delivers much of each peak late, the forecast
 * delivers hardly any late, at a lower cost. */
void
CheckPeaksOnTime(const Arrivals& aArrivals)
{
  CheckNoWorse(aArrivals);
  CHECK(Play(aArrivals, std::nullopt).OnTimeShare() < 0.95);
  CHECK(Play(aArrivals, Level{}).OnTimeShare() > 0.997);
}

} // namespace

TEST_GROUP(InflowForecast){};

TEST(InflowForecast, ConstantArrivals_CostNoMoreThanTheBacklog)
{
  CheckNoWorse([](std::size_t, std::int64_t) { return kMean; });
}

// Eight seeds together: with one of them, the order of arrivals decides which
// of the two needs a few instance-seconds more.
TEST(InflowForecast, Noise_CostsNoMoreThanTheBacklog)
{
  Outcome following;
  Outcome level;
  for (unsigned seed = 1; seed <= 8; ++seed) {
    const Arrivals noise =
      WithNoise([](std::size_t, std::int64_t) { return kMean; }, seed);
    following.Add(Play(noise, std::nullopt));
    level.Add(Play(noise, Level{}));
  }
  CheckNoWorse(level, following);
}

TEST(InflowForecast, AlternatingPeaks_AreOnTimeWithFewerInstances)
{
  CheckPeaksOnTime([](std::size_t aPool, std::int64_t aAt) {
    return Peaks(aPool, aAt, 20'000);
  });
}

TEST(InflowForecast, PeaksWithNoise_AreOnTimeWithFewerInstances)
{
  for (unsigned seed = 1; seed <= 8; ++seed) {
    CheckPeaksOnTime(
      WithNoise([](std::size_t aPool,
                   std::int64_t aAt) { return Peaks(aPool, aAt, 20'000); },
                seed));
  }
}

TEST(InflowForecast, PeriodOfPeaksChanges_PeaksAreOnTimeWithFewerInstances)
{
  CheckPeaksOnTime([](std::size_t aPool, std::int64_t aAt) {
    return Peaks(aPool, aAt, aAt < 60'000 ? 20'000 : 8'000);
  });
}

TEST(InflowForecast, Step_CostsNoMoreThanTheBacklog)
{
  CheckNoWorse([](std::size_t aPool, std::int64_t aAt) {
    return aPool == 0 && aAt > 40'000 ? 4 * kMean : kMean / 2;
  });
}

TEST(InflowForecast, Stop_CostsNoMoreThanTheBacklog)
{
  CheckNoWorse([](std::size_t aPool, std::int64_t aAt) {
    return aPool == 0 && aAt > 40'000 ? 0 : kMean;
  });
}

// The reason why the level is used: a trend follows noise, and moves many times
// as many instances for arrivals that are constant on the whole.
TEST(InflowForecast, Noise_TrendMovesManyTimesAsMuchAsLevel)
{
  const Arrivals noise =
    WithNoise([](std::size_t, std::int64_t) { return kMean; }, 7);
  CHECK(Play(noise, Trend{}).m_moves > 4 * Play(noise, Level{}).m_moves);
}

TEST_GROUP(InflowMeter)
{
  Meter m_meter;
  std::int64_t m_at = 0;

  void Add(double aRate, std::int64_t aMs)
  {
    for (const std::int64_t end = m_at + aMs; m_at < end; m_at += kTickMs) {
      m_meter.Add(aRate * kTickMs, TimePoint{ Millis{ m_at } });
    }
  }
};

// A new leader does not know how fast the jobs that it finds have arrived.
TEST(InflowMeter, FirstWindow_HasNoForecast)
{
  Add(1000, 700);
  DOUBLES_EQUAL(0, m_meter.Get().m_expected, 0.001);
  Add(1000, 100);
  DOUBLES_EQUAL(1000, m_meter.Get().m_expected, 0.001);
}

TEST(InflowMeter, ArrivalsStop_ForecastEndsWithinHalfAWindow)
{
  Add(1000, 3000);
  Add(0, 400);
  DOUBLES_EQUAL(0, m_meter.Get().m_expected, 0.001);
  CHECK(m_meter.Get().m_rate > 0);
}

TEST(InflowMeter, ConstantArrivals_HaveNoError)
{
  Add(1000, 10'000);
  DOUBLES_EQUAL(0, m_meter.Get().m_error, 0.001);
}

TEST(InflowMeter, ArrivalsStop_ErrorIsObservedAndForgotten)
{
  Add(1000, 10'000);
  Add(0, 1500);
  CHECK(m_meter.Get().m_error > 300);
  Add(0, 10'000);
  CHECK(m_meter.Get().m_error < 10);
}

// The event loop of a busy leader delays ticks; a gap must not look like a peak
// or an end of the arrivals.
TEST(InflowMeter, DelayedTick_ChangesNoRate)
{
  Add(1000, 3000);
  m_at += 400;
  m_meter.Add(1000.0 * 500, TimePoint{ Millis{ m_at } });
  DOUBLES_EQUAL(1000, m_meter.Get().m_rate, 0.001);
  DOUBLES_EQUAL(1000, m_meter.Get().m_expected, 0.001);
}
