#include "bamboostile/placement/losses.h"

#include <algorithm>

namespace bamboostile::placement {

namespace {

/** How long a loss is kept. Noticing any loss takes less time. */
constexpr Duration kLossRetention = std::chrono::seconds{ 15 };

/** A loss is distinct from others if, together with them, it takes at most one
 * worker per this many of its service. */
constexpr std::size_t kWorkersPerDistinctLoss = 8;

/** Minimum share of the service's workers in a mass loss. */
constexpr std::size_t kMassLossPercent = 25;
/** Minimum number of workers in a mass loss. */
constexpr std::size_t kMinWorkersInMassLoss = 4;

} // namespace

const char*
Describe(LossCause aCause) noexcept
{
  switch (aCause) {
    case LossCause::kLaterIncarnation:
      return "a later life of its instance reports";
    case LossCause::kLeaseEnded:
      return "its lease ended";
    case LossCause::kNeverReported:
      return "this leader never heard of it";
    case LossCause::kListedEnd:
      return "the platform lists it no longer";
  }
  return "unknown";
}

const char*
Describe(LossExemption aExemption) noexcept
{
  switch (aExemption) {
    case LossExemption::kNone:
      return "none";
    case LossExemption::kDraining:
      return "the worker was draining";
    case LossExemption::kOrdered:
      return "an order may have ended the worker";
  }
  return "unknown";
}

const char*
Describe(LossRisk aRisk) noexcept
{
  switch (aRisk) {
    case LossRisk::kNone:
      return "none";
    case LossRisk::kRecentRun:
      return "one of its runs has just begun";
    case LossRisk::kSuspect:
      return "it runs a suspect";
    case LossRisk::kUnconfirmedStart:
      return "one of its starts is unconfirmed";
    case LossRisk::kReportOverdue:
      return "its report is overdue";
  }
  return "unknown";
}

bool
IsLossDistinct(const LossCount& aOthers, std::size_t aWorkersOfService)
{
  return aOthers.m_inFleet == 0 ||
         (aOthers.m_inService + 1) * kWorkersPerDistinctLoss <=
           aWorkersOfService;
}

bool
IsMassLoss(const LossCount& aLosses, std::size_t aWorkersOfService)
{
  return aLosses.m_inService >= kMinWorkersInMassLoss &&
         aLosses.m_inService * 100 >= aWorkersOfService * kMassLossPercent;
}

bool
IsUnseenMassLoss(std::size_t aWorkers)
{
  return aWorkers >= kMinWorkersInMassLoss;
}

void
RecentLosses::Add(TimePoint aMoment, const ServiceId& aService)
{
  std::erase_if(m_losses, [&](const Loss& aLoss) {
    return aLoss.m_at + kLossRetention < aMoment;
  });
  m_losses.push_back({ aMoment, aService });
}

void
RecentLosses::AddIsolated(TimePoint aMoment, const jobs::TaskRef& aTask)
{
  std::erase_if(m_isolated, [&](const auto& aLoss) {
    return aLoss.first + kLossRetention < aMoment;
  });
  m_isolated.emplace_back(aMoment, aTask);
}

LossCount
RecentLosses::CountBetween(TimePoint aFrom,
                           TimePoint aTo,
                           const ServiceId& aService) const
{
  LossCount count;
  for (const Loss& loss : m_losses) {
    const bool isBetween = aFrom <= loss.m_at && loss.m_at <= aTo;
    count.m_inFleet += isBetween ? 1 : 0;
    count.m_inService += isBetween && loss.m_service == aService ? 1 : 0;
  }
  return count;
}

LossCount
RecentLosses::CountAround(TimePoint aMoment,
                          Duration aWindow,
                          const ServiceId& aService) const
{
  return CountBetween(aMoment - aWindow, aMoment + aWindow, aService);
}

LossCount
RecentLosses::CountAfter(TimePoint aMoment, const ServiceId& aService) const
{
  return CountBetween(aMoment + Duration{ 1 }, TimePoint::max(), aService);
}

} // namespace bamboostile::placement
