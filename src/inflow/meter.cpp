#include "bamboostile/inflow/meter.h"

#include <algorithm>
#include <cmath>

namespace bamboostile::inflow {

namespace {

/** Weight of a new observation in the mean error: it covers about ten ticks. */
constexpr double kErrorWeight = 0.1;
/** Part of the expected arrivals that counts. The peaks of noise around what
 * the instances serve would otherwise be ordered for, again and again. */
constexpr double kShareOfArrivals = 0.95;
/** A trend is expected to change the rate by at most this factor. */
constexpr double kMaxTrend = 2;

double
ToMs(Duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

} // namespace

double
Meter::RateSince(Duration aAgo, TimePoint aNow) const
{
  const auto after =
    std::upper_bound(m_samples.begin(),
                     m_samples.end(),
                     aNow - aAgo,
                     [](TimePoint aTime, const Sample& aSample) {
                       return aTime < aSample.m_at;
                     });
  const Sample& first =
    after == m_samples.begin() ? m_samples.front() : *std::prev(after);
  const Sample& last = m_samples.back();
  return last.m_at == first.m_at
           ? 0
           : (last.m_total - first.m_total) / ToMs(last.m_at - first.m_at);
}

// The rate of the last half of the window shows an end of the arrivals sooner
// than that of the whole window. A lower one is taken at once; a higher one may
// be a few jobs that arrived together.
double
Meter::Expect(const Level& /*aMethod*/, TimePoint aNow) const
{
  return std::min(m_forecast.m_rate, RateSince(m_options.m_window / 2, aNow));
}

double
Meter::Expect(const Trend& /*aMethod*/, TimePoint aNow) const
{
  const double recent = RateSince(m_options.m_window / 2, aNow);
  const double earlier = 2 * m_forecast.m_rate - recent;
  const double perMs = (recent - earlier) / ToMs(m_options.m_window / 2);
  const double expected = recent + perMs * ToMs(m_options.m_horizon) / 2;
  return std::clamp(expected, 0.0, kMaxTrend * recent);
}

// A forecast can be assessed once its horizon has passed.
void
Meter::Assess(TimePoint aNow)
{
  while (!m_predictions.empty() &&
         m_predictions.front().m_madeAt + m_options.m_horizon <= aNow) {
    const Prediction& made = m_predictions.front();
    const double arrived =
      (m_samples.back().m_total - made.m_total) / ToMs(aNow - made.m_madeAt);
    const double error = std::abs(arrived - made.m_expected);
    m_forecast.m_error += (error - m_forecast.m_error) * kErrorWeight;
    m_predictions.pop_front();
  }
}

void
Meter::Add(double aWork, TimePoint aNow)
{
  if (m_samples.empty()) {
    m_samples.push_back({ aNow, 0 });
    return;
  }
  m_samples.push_back({ aNow, m_samples.back().m_total + aWork });
  // One sample from before the window remains as its start.
  while (m_samples.size() > 2 &&
         m_samples[1].m_at <= aNow - m_options.m_window) {
    m_samples.pop_front();
  }
  if (m_samples.front().m_at > aNow - m_options.m_window) {
    return;
  }
  m_forecast.m_rate = RateSince(m_options.m_window, aNow);
  m_forecast.m_expected =
    std::visit([&](const auto& aMethod) { return Expect(aMethod, aNow); },
               m_options.m_method);
  Assess(aNow);
  m_predictions.push_back(
    { aNow, m_samples.back().m_total, m_forecast.m_expected });
}

void
Supply::Add(double aCpu, Duration aFor)
{
  m_work += aCpu * std::max(ToMs(aFor), 0.0);
}

double
CpuAhead(const Forecast& aForecast,
         const Supply& aSupply,
         Duration aHorizon,
         Duration aTarget)
{
  const double arriving =
    kShareOfArrivals * aForecast.m_expected * ToMs(aHorizon);
  return std::max(arriving - aSupply.m_work, 0.0) / ToMs(aTarget);
}

} // namespace bamboostile::inflow
