#include "bamboostile/workspaces/share_limiter.h"

#include <algorithm>
#include <cmath>

namespace bamboostile::workspaces {

namespace {

constexpr double kBurstSeconds = 1;
/** Jobs beyond the share, in seconds of it, that may wait for capacity. Callers
 * do not wait longer than that for a job. */
constexpr double kMaxDebtSeconds = 5;
/** Upper bound of the retry delay; also that of a workspace without a share. */
constexpr Millis kMaxRetryAfter{ 30'000 };

Millis
TimeFor(double aTokens, double aWeight)
{
  constexpr double kMillisPerSecond = 1000;
  const double needed = aTokens / aWeight * kMillisPerSecond;
  return needed < static_cast<double>(kMaxRetryAfter.count())
           ? Millis{ static_cast<std::int64_t>(std::ceil(needed)) }
           : kMaxRetryAfter;
}

// Only the steps between consecutive jobs are taken from the wall clock: a
// clock that was set back, or that is behind the one of the previous leader,
// yields a step of 0 in one place and leaves the other steps as they are.
std::vector<TimePoint>
MapToMonotonic(const std::vector<AcceptedJob>& aJobs,
               Millis aWall,
               TimePoint aNow)
{
  std::vector<TimePoint> times(aJobs.size());
  Millis nextWall = aWall;
  TimePoint nextTime = aNow;
  for (std::size_t i = aJobs.size(); i-- > 0;) {
    nextTime -= std::max(Millis{}, nextWall - aJobs[i].m_acceptedAt);
    nextWall = aJobs[i].m_acceptedAt;
    times[i] = nextTime;
  }
  return times;
}

} // namespace

ShareLimiter::Bucket&
ShareLimiter::Refill(const WorkspaceId& aWorkspace,
                     double aWeight,
                     TimePoint aNow)
{
  const double size = std::max(1.0, aWeight * kBurstSeconds);
  const auto [found, isNew] =
    m_buckets.try_emplace(aWorkspace, Bucket{ size, aNow });
  Bucket& bucket = found->second;
  const std::chrono::duration<double> elapsed = aNow - bucket.m_refilledAt;
  bucket.m_tokens = std::min(size, bucket.m_tokens + elapsed.count() * aWeight);
  bucket.m_refilledAt = aNow;
  return bucket;
}

ShareUse
ShareLimiter::Assess(const WorkspaceId& aWorkspace,
                     double aWeight,
                     TimePoint aNow)
{
  const Bucket& bucket = Refill(aWorkspace, aWeight, aNow);
  const double missing = 1 - kMaxDebtSeconds * aWeight - bucket.m_tokens;
  ShareUse use;
  use.m_isBeyond = bucket.m_tokens < 1;
  if (use.m_isBeyond && missing > 0) {
    use.m_retryAfter = aWeight > 0 ? TimeFor(missing, aWeight) : kMaxRetryAfter;
  }
  return use;
}

void
ShareLimiter::Charge(const WorkspaceId& aWorkspace,
                     double aWeight,
                     TimePoint aNow)
{
  Refill(aWorkspace, aWeight, aNow).m_tokens -= 1;
}

ShareLimiter
ShareLimiter::Rebuild(std::vector<AcceptedJob> aJobs,
                      const Directory& aDirectory,
                      Millis aWall,
                      TimePoint aNow)
{
  std::sort(aJobs.begin(),
            aJobs.end(),
            [](const AcceptedJob& aLeft, const AcceptedJob& aRight) {
              return aLeft.m_order < aRight.m_order;
            });
  const std::vector<TimePoint> times = MapToMonotonic(aJobs, aWall, aNow);
  ShareLimiter limiter;
  for (std::size_t i = 0; i < aJobs.size(); ++i) {
    const auto weight = aDirectory.WeightOf(aJobs[i].m_workspace);
    if (weight) {
      limiter.Charge(aJobs[i].m_workspace, *weight, times[i]);
    }
  }
  return limiter;
}

} // namespace bamboostile::workspaces
