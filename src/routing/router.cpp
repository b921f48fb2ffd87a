#include "bamboostile/routing/router.h"

#include "bamboostile/units/hash.h"

#include <algorithm>
#include <cmath>

namespace bamboostile::routing {

namespace {

constexpr std::size_t kNone = static_cast<std::size_t>(-1);
/** Upstreams probed for a free owned slot. A fixed number keeps the cost of a
 * decision independent of the number of upstreams. */
constexpr std::size_t kOwnedProbes = 8;
constexpr int kBorrowProbes = 4;
constexpr double kErrorWeight = 8.0;
constexpr double kErrorGain = 0.2;
/** Lower error shares count as 0, so that an old error does not decide between
 * equally loaded upstreams. */
constexpr double kMinErrorShare = 0.01;
constexpr Duration kErrorHalfLife = Millis{ 2000 };
constexpr int kMaxEjectionFactor = 6;
constexpr int kMeanTimeDivisor = 16;
/** Number of successful answers whose mean time is compared with the baseline.
 */
constexpr std::uint32_t kWindowSize = 32;
constexpr double kBaselineGrowth = 1.01;
constexpr double kCongestionFactor = 2.0;
constexpr double kBorrowDecrease = 0.5;
constexpr double kBorrowIncrease = 0.02;
constexpr double kMinBorrowFactor = 0.01;

} // namespace

Router::Router(Options aOptions, ZoneId aOwnZone)
  : m_options(aOptions)
  , m_ownZone(std::move(aOwnZone))
  , m_randomState(aOptions.m_seed * 0x9E3779B97F4A7C15ULL + 1)
{
}

std::uint64_t
Router::NextRandom()
{
  m_randomState ^= m_randomState << 13;
  m_randomState ^= m_randomState >> 7;
  m_randomState ^= m_randomState << 17;
  return m_randomState;
}

// Slot s of an upstream belongs to entry (s + hash) mod entries. The hash of
// the upstream's id distributes the remainders evenly over the entries.
std::uint32_t
Router::OwnedSlots(const Upstream& aUpstream) const
{
  const std::uint64_t shift =
    StableHash{}.Add(aUpstream.m_id.Get()).Get() % m_entryCount;
  const std::uint32_t evenShare = aUpstream.m_slots / m_entryCount;
  const std::uint32_t remainder = aUpstream.m_slots % m_entryCount;
  const std::uint64_t offset =
    (m_position + m_entryCount - shift) % m_entryCount;
  return evenShare + (offset < remainder ? 1 : 0);
}

std::uint32_t
Router::LocalLimit(const Upstream& aUpstream) const
{
  if (m_options.m_policy != Policy::kOwnedSlots) {
    return aUpstream.m_slots;
  }
  const std::uint32_t othersSlots = aUpstream.m_slots - aUpstream.m_owned;
  const double borrowable =
    othersSlots * m_options.m_borrowPercent * m_borrowFactor / 100;
  const std::uint32_t limit =
    aUpstream.m_owned + static_cast<std::uint32_t>(std::ceil(borrowable));
  return m_ownsNoSlot ? std::max<std::uint32_t>(limit, 1) : limit;
}

void
Router::Update(const fleet::Instance& aInstance, bool aRoutable)
{
  const fleet::Announcement& announced = aInstance.m_announced;
  const auto [found, isNew] =
    m_positions.try_emplace(announced.m_id, m_upstreams.size());
  if (isNew) {
    m_upstreams.emplace_back();
    m_upstreams.back().m_id = announced.m_id;
  }
  Upstream& upstream = m_upstreams[found->second];
  // A new incarnation of the instance starts without the errors of the previous
  // one.
  if (upstream.m_incarnation != announced.m_incarnation) {
    upstream.m_consecutiveErrors = 0;
    upstream.m_errorShare = 0;
    upstream.m_ejections = 0;
    upstream.m_ejectedUntil = TimePoint{};
  }
  upstream.m_rack = announced.m_rack;
  upstream.m_zone = announced.m_zone;
  upstream.m_address = announced.m_address;
  upstream.m_incarnation = announced.m_incarnation;
  upstream.m_slots = std::max<std::uint32_t>(announced.m_slots, 1);
  upstream.m_owned = OwnedSlots(upstream);
  m_routable +=
    static_cast<int>(aRoutable) - static_cast<int>(upstream.m_routable);
  upstream.m_routable = aRoutable;
  m_refreshAt.reset();
}

void
Router::Remove(const InstanceId& aInstance)
{
  const auto found = m_positions.find(aInstance);
  if (found == m_positions.end()) {
    return;
  }
  const std::size_t index = found->second;
  m_routable -= m_upstreams[index].m_routable ? 1 : 0;
  m_inFlight -= m_upstreams[index].m_inFlight;
  m_positions.erase(found);
  if (index + 1 != m_upstreams.size()) {
    m_upstreams[index] = std::move(m_upstreams.back());
    m_positions[m_upstreams[index].m_id] = index;
  }
  m_upstreams.pop_back();
  m_refreshAt.reset();
}

void
Router::SetLimits(std::uint32_t aEjectionCeilingPercent,
                  std::uint32_t aPanicPercent,
                  bool aSameZoneFirst)
{
  m_ejectionCeilingPercent = aEjectionCeilingPercent;
  m_panicPercent = aPanicPercent;
  m_sameZoneFirst = aSameZoneFirst;
  m_refreshAt.reset();
}

void
Router::SetShare(std::uint32_t aPosition, std::uint32_t aCount)
{
  m_entryCount = std::max<std::uint32_t>(aCount, 1);
  m_position = aPosition % m_entryCount;
  for (Upstream& upstream : m_upstreams) {
    upstream.m_owned = OwnedSlots(upstream);
  }
  m_refreshAt.reset();
}

void
Router::Refresh(TimePoint aNow)
{
  if (m_refreshAt && aNow < *m_refreshAt) {
    return;
  }
  Positions healthy;
  Positions all;
  TimePoint next = aNow + std::chrono::hours{ 1 };
  for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
    const Upstream& upstream = m_upstreams[i];
    if (!upstream.m_routable) {
      continue;
    }
    all.push_back(i);
    if (upstream.m_ejectedUntil <= aNow) {
      healthy.push_back(i);
    } else {
      next = std::min(next, upstream.m_ejectedUntil);
    }
  }
  // With too few healthy upstreams, ejected ones are used too: spreading the
  // load over unhealthy upstreams is better than overloading the healthy ones.
  const bool panic = healthy.size() * 100 < all.size() * m_panicPercent;
  m_usable = panic ? std::move(all) : std::move(healthy);
  m_usableInZone.clear();
  m_capacity = 0;
  m_ownsNoSlot = false;
  for (const std::size_t at : m_usable) {
    const Upstream& upstream = m_upstreams[at];
    m_capacity += LocalLimit(upstream);
    if (upstream.m_zone == m_ownZone) {
      m_usableInZone.push_back(at);
    }
  }
  // With more entries than slots, an entry may own none. It may then still
  // borrow one per upstream, or its callers would wait forever.
  m_ownsNoSlot = m_capacity == 0;
  if (m_ownsNoSlot) {
    m_capacity = m_usable.size();
  }
  m_refreshAt = next;
}

// The error share also decays with time, since an upstream that is avoided for
// its errors gets no request whose success could lower it.
double
Router::ErrorShare(const Upstream& aUpstream, TimePoint aNow)
{
  const double halvings =
    std::chrono::duration<double>(aNow - aUpstream.m_errorUpdatedAt) /
    std::chrono::duration<double>(kErrorHalfLife);
  const double share = aUpstream.m_errorShare * std::exp2(-halvings);
  return share < kMinErrorShare ? 0 : share;
}

// Returns the load, weighted by the error share. An upstream that fails every
// request quickly always has free slots, and by load alone it would get the
// most work.
double
Router::Cost(const Upstream& aUpstream, TimePoint aNow)
{
  const double load = (aUpstream.m_inFlight + 1.0) / aUpstream.m_slots;
  if (aUpstream.m_errorShare == 0) {
    return load;
  }
  return load * (1.0 + kErrorWeight * ErrorShare(aUpstream, aNow));
}

std::size_t
Router::SampleRandom(const Positions& aCandidates)
{
  const std::size_t at = aCandidates[NextRandom() % aCandidates.size()];
  const Upstream& upstream = m_upstreams[at];
  return upstream.m_inFlight < LocalLimit(upstream) ? at : kNone;
}

std::size_t
Router::SampleOwned(const Positions& aCandidates,
                    const std::set<RackId>& aAvoidedRacks,
                    TimePoint aNow)
{
  const std::size_t start = NextRandom() % aCandidates.size();
  const std::size_t probes = std::min(aCandidates.size(), kOwnedProbes);
  std::size_t best = kNone;
  for (std::size_t i = 0; i < probes; ++i) {
    const std::size_t at = aCandidates[(start + i) % aCandidates.size()];
    const Upstream& upstream = m_upstreams[at];
    const bool hasFreeSlot = upstream.m_inFlight < upstream.m_owned &&
                             !aAvoidedRacks.contains(upstream.m_rack);
    if (hasFreeSlot && (best == kNone ||
                        Cost(upstream, aNow) < Cost(m_upstreams[best], aNow))) {
      best = at;
    }
  }
  return best;
}

std::size_t
Router::SampleTwo(const Positions& aCandidates,
                  const std::set<RackId>& aAvoidedRacks,
                  TimePoint aNow)
{
  std::size_t best = kNone;
  int found = 0;
  for (int i = 0; i < kBorrowProbes && found < 2; ++i) {
    const std::size_t at = aCandidates[NextRandom() % aCandidates.size()];
    const Upstream& upstream = m_upstreams[at];
    const bool hasFreeSlot = upstream.m_inFlight < LocalLimit(upstream) &&
                             !aAvoidedRacks.contains(upstream.m_rack);
    if (!hasFreeSlot) {
      continue;
    }
    ++found;
    if (best == kNone || Cost(upstream, aNow) < Cost(m_upstreams[best], aNow)) {
      best = at;
    }
  }
  return best;
}

std::size_t
Router::ScanLeastLoaded(const Positions& aCandidates, TimePoint aNow)
{
  std::size_t best = kNone;
  for (const std::size_t at : aCandidates) {
    const Upstream& upstream = m_upstreams[at];
    const bool hasFreeSlot = upstream.m_inFlight < LocalLimit(upstream);
    if (hasFreeSlot && (best == kNone ||
                        Cost(upstream, aNow) < Cost(m_upstreams[best], aNow))) {
      best = at;
    }
  }
  return best;
}

std::size_t
Router::ChooseAmong(const Positions& aCandidates,
                    const std::set<RackId>& aAvoidedRacks,
                    TimePoint aNow)
{
  if (aCandidates.empty()) {
    return kNone;
  }
  switch (m_options.m_policy) {
    case Policy::kRandom:
      return SampleRandom(aCandidates);
    case Policy::kLeastOutstanding:
      return ScanLeastLoaded(aCandidates, aNow);
    case Policy::kTwoChoices:
    case Policy::kOwnedSlots:
      break;
  }
  return SampleTwo(aCandidates, aAvoidedRacks, aNow);
}

std::optional<Pick>
Router::Choose(const std::set<RackId>& aAvoidedRacks, TimePoint aNow)
{
  Refresh(aNow);
  if (m_usable.empty()) {
    return std::nullopt;
  }
  const bool inZone = m_sameZoneFirst && !m_usableInZone.empty();
  std::size_t chosen = kNone;
  if (m_options.m_policy == Policy::kOwnedSlots) {
    if (inZone) {
      chosen = SampleOwned(m_usableInZone, aAvoidedRacks, aNow);
    }
    if (chosen == kNone) {
      chosen = SampleOwned(m_usable, aAvoidedRacks, aNow);
    }
  }
  if (chosen == kNone && inZone) {
    chosen = ChooseAmong(m_usableInZone, aAvoidedRacks, aNow);
  }
  if (chosen == kNone) {
    chosen = ChooseAmong(m_usable, aAvoidedRacks, aNow);
  }
  // Sampling can miss the last free slot, and a request may have failed in
  // every rack. The full scan runs only when the service is nearly full.
  if (chosen == kNone) {
    chosen = ScanLeastLoaded(m_usable, aNow);
  }
  if (chosen == kNone) {
    return std::nullopt;
  }
  Upstream& upstream = m_upstreams[chosen];
  ++upstream.m_inFlight;
  ++m_inFlight;
  return Pick{
    upstream.m_id, upstream.m_rack, upstream.m_address, upstream.m_incarnation
  };
}

void
Router::Finish(const InstanceId& aInstance,
               Verdict aVerdict,
               Duration aElapsed,
               TimePoint aNow)
{
  const auto found = m_positions.find(aInstance);
  if (found == m_positions.end()) {
    return;
  }
  Upstream& upstream = m_upstreams[found->second];
  if (upstream.m_inFlight > 0) {
    --upstream.m_inFlight;
    --m_inFlight;
  }
  if (aVerdict == Verdict::kAbandoned) {
    return;
  }
  const bool isSuccess = aVerdict == Verdict::kSuccess;
  const double share = ErrorShare(upstream, aNow);
  upstream.m_errorShare =
    share + kErrorGain * ((isSuccess ? 0.0 : 1.0) - share);
  upstream.m_errorUpdatedAt = aNow;
  if (isSuccess) {
    upstream.m_consecutiveErrors = 0;
    upstream.m_ejections = 0;
    RecordServiceTime(aElapsed);
    return;
  }
  ++upstream.m_consecutiveErrors;
  if (upstream.m_consecutiveErrors >= m_options.m_ejectionThreshold) {
    MaybeEject(upstream, aNow);
  }
}

void
Router::RecordServiceTime(Duration aElapsed)
{
  const Duration deviation = aElapsed - m_meanTime;
  m_meanTime += deviation / kMeanTimeDivisor;
  m_meanDeviation +=
    (std::chrono::abs(deviation) - m_meanDeviation) / kMeanTimeDivisor;
  m_windowSum += std::chrono::duration<double>(aElapsed).count();
  if (++m_windowCount == kWindowSize) {
    EvaluateWindow();
  }
}

// Borrowing helps while other entries leave their slots idle. When all entries
// are overloaded, borrowed slots only make requests queue at the upstreams
// until every answer comes too late (benchmark/slot_sharing.cpp). A mean time
// well above that of the best windows indicates such queues; the borrow factor
// is then halved and grows back slowly.
void
Router::EvaluateWindow()
{
  const double mean = m_windowSum / kWindowSize;
  m_windowSum = 0;
  m_windowCount = 0;
  // The baseline grows slowly, so that upstreams that became permanently slower
  // do not count as congested forever.
  m_baselineTime = m_baselineTime == 0
                     ? mean
                     : std::min(mean, m_baselineTime * kBaselineGrowth);
  const double previous = m_borrowFactor;
  m_borrowFactor = mean > m_baselineTime * kCongestionFactor
                     ? m_borrowFactor * kBorrowDecrease
                     : std::min(1.0, m_borrowFactor + kBorrowIncrease);
  if (m_borrowFactor < kMinBorrowFactor) {
    m_borrowFactor = 0;
  }
  if (m_borrowFactor != previous) {
    m_refreshAt.reset();
  }
}

void
Router::MaybeEject(Upstream& aUpstream, TimePoint aNow)
{
  const std::size_t limit =
    static_cast<std::size_t>(m_routable) * m_ejectionCeilingPercent / 100;
  // If all upstreams fail, the cause lies elsewhere, and ejecting all of them
  // would itself cause an outage. The ceiling prevents that.
  if (aUpstream.m_ejectedUntil > aNow || EjectedCount(aNow) >= limit) {
    return;
  }
  aUpstream.m_ejections =
    std::min(aUpstream.m_ejections + 1, kMaxEjectionFactor);
  aUpstream.m_ejectedUntil =
    aNow + m_options.m_ejectionTime * aUpstream.m_ejections;
  m_refreshAt.reset();
}

std::size_t
Router::EjectedCount(TimePoint aNow) const
{
  return std::count_if(
    m_upstreams.begin(), m_upstreams.end(), [&](const Upstream& aUpstream) {
      return aUpstream.m_routable && aUpstream.m_ejectedUntil > aNow;
    });
}

std::uint32_t
Router::Capacity(TimePoint aNow)
{
  Refresh(aNow);
  return m_capacity;
}

std::vector<std::pair<InstanceId, std::uint32_t>>
Router::DrainingInFlight() const
{
  std::vector<std::pair<InstanceId, std::uint32_t>> inFlight;
  for (const Upstream& upstream : m_upstreams) {
    if (!upstream.m_routable && upstream.m_inFlight > 0) {
      inFlight.emplace_back(upstream.m_id, upstream.m_inFlight);
    }
  }
  return inFlight;
}

} // namespace bamboostile::routing
