#pragma once

#include "bamboostile/jobs/model.h"

#include <optional>
#include <unordered_map>

namespace bamboostile::placement {

/**
 * @brief Estimates how long tasks take, from the successful runs of each image.
 *
 * Callers' estimates may be wrong by nine tenths.
 */
class DurationEstimator
{
public:
  void Record(const jobs::StepSpec& aStep, Duration aDuration);
  /** Estimate for one task of the step: the caller's own until a run of the
   * same image has succeeded. */
  Millis Estimate(const jobs::StepSpec& aStep) const;
  /** Mean of the successful runs of the image; unset if there are none or the
   * image has no name. */
  std::optional<Millis> Learned(const ImageId& aImage) const;

private:
  struct ImageStatistics
  {
    double m_meanMs = 0;
    double m_count = 0;
  };
  std::unordered_map<ImageId, ImageStatistics> m_statistics;
};

} // namespace bamboostile::placement
