#pragma once

#include "bamboostile/jobs/model.h"

#include <algorithm>
#include <vector>

namespace bamboostile::placement {

/**
 * @brief What tasks needed that found no worker in a pool during a pass.
 *
 * Free capacity only decreases during a pass, so a task that needs at least as
 * much of each resource, and is at least as restricted, finds none either.
 */
class FailedRequests
{
public:
  bool Covers(const jobs::StepSpec& aStep) const
  {
    return std::any_of(
      m_steps.begin(), m_steps.end(), [&](const auto* aFailed) {
        return NeedsAtLeast(aStep, *aFailed);
      });
  }

  /** aStep must outlive this object. No worker may have been excluded because
   * of a limit of the step's tasks on one worker. */
  void Add(const jobs::StepSpec& aStep)
  {
    std::erase_if(m_steps, [&](const auto* aFailed) {
      return NeedsAtLeast(*aFailed, aStep);
    });
    if (m_steps.size() < kMaxSteps) {
      m_steps.push_back(&aStep);
    }
  }

private:
  /** Bounds the time of Covers() if each task needs more of one resource and
   * less of another than all others. */
  static constexpr std::size_t kMaxSteps = 32;

  static bool NeedsAtLeast(const jobs::StepSpec& aStep,
                           const jobs::StepSpec& aOther)
  {
    return aStep.ReservedCpu() >= aOther.ReservedCpu() &&
           aStep.m_resources.m_memoryMb >= aOther.m_resources.m_memoryMb &&
           aStep.m_resources.m_accelerators >=
             aOther.m_resources.m_accelerators &&
           (aOther.m_requiredLabel.empty() ||
            aStep.m_requiredLabel == aOther.m_requiredLabel);
  }

  /** None of them needs at least as much as another. */
  std::vector<const jobs::StepSpec*> m_steps;
};

} // namespace bamboostile::placement
