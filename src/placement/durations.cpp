#include "bamboostile/placement/durations.h"

#include <algorithm>

namespace bamboostile::placement {

namespace {

/** Minimum weight of one observed duration in the mean. The mean follows a
 * change within about five runs, and one outlier moves it by a fifth. */
constexpr double kMinSampleWeight = 0.2;

} // namespace

void
DurationEstimator::Record(const jobs::StepSpec& aStep, Duration aDuration)
{
  ImageStatistics& statistics = m_statistics[aStep.m_image];
  const auto durationMs = static_cast<double>(ToMillis(aDuration).count());
  statistics.m_count += 1;
  const double weight = std::max(kMinSampleWeight, 1 / statistics.m_count);
  statistics.m_meanMs += (durationMs - statistics.m_meanMs) * weight;
}

std::optional<Millis>
DurationEstimator::Learned(const ImageId& aImage) const
{
  if (aImage.Get().empty()) {
    return std::nullopt;
  }
  const auto found = m_statistics.find(aImage);
  return found == m_statistics.end()
           ? std::nullopt
           : std::optional{ Millis{
               static_cast<std::int64_t>(found->second.m_meanMs) } };
}

Millis
DurationEstimator::Estimate(const jobs::StepSpec& aStep) const
{
  return Learned(aStep.m_image).value_or(aStep.m_estimate);
}

} // namespace bamboostile::placement
