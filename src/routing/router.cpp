#include "bamboostile/routing/router.h"

#include "bamboostile/units/hash.h"

#include <algorithm>
#include <cmath>

namespace bamboostile::routing {

namespace {

constexpr std::size_t kNone = static_cast<std::size_t>(-1);
/** Upstreams looked at for a free owned slot. A fixed number keeps the cost
 * of a decision flat as the service grows. */
constexpr std::size_t kOwnedProbes = 8;
constexpr int kBorrowProbes = 4;
constexpr double kErrorWeight = 8.0;
constexpr double kErrorGain = 0.2;
/** Below this, an old error no longer decides between equals. */
constexpr double kErrorForgotten = 0.01;
constexpr Duration kErrorHalfLife = Millis{ 2000 };
constexpr int kMaxEjectionFactor = 6;
constexpr int kMeanTimeShift = 16;
/** Answers that are judged together. */
constexpr std::uint32_t kWindow = 32;
constexpr double kBaselineCreep = 1.01;
constexpr double kCongested = 2.0;
constexpr double kLentCut = 0.5;
constexpr double kLentGrowth = 0.02;
constexpr double kLentLeast = 0.01;

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

// Slot s of an upstream belongs to entry (s + hash) mod entries. The hash
// shifts the start, so that entries share the remainders evenly.
std::uint32_t
Router::OwnedSlots(const Upstream& aUpstream) const
{
  const std::uint64_t shift =
    StableHash{}.Add(aUpstream.m_id.Get()).Get() % m_entryCount;
  const std::uint32_t whole = aUpstream.m_slots / m_entryCount;
  const std::uint32_t remainder = aUpstream.m_slots % m_entryCount;
  const std::uint64_t rank = (m_position + m_entryCount - shift) % m_entryCount;
  return whole + (rank < remainder ? 1 : 0);
}

std::uint32_t
Router::LocalLimit(const Upstream& aUpstream) const
{
  if (m_options.m_policy != Policy::kOwnedSlots) {
    return aUpstream.m_slots;
  }
  const std::uint32_t others = aUpstream.m_slots - aUpstream.m_owned;
  const double lent = others * m_options.m_borrowPercent * m_lent / 100;
  const std::uint32_t limit =
    aUpstream.m_owned + static_cast<std::uint32_t>(std::ceil(lent));
  return m_ownsNone ? std::max<std::uint32_t>(limit, 1) : limit;
}

void
Router::Update(const fleet::Instance& aInstance, bool aRoutable)
{
  const fleet::Announcement& said = aInstance.m_announced;
  const auto [found, isNew] =
    m_positions.try_emplace(said.m_id, m_upstreams.size());
  if (isNew) {
    m_upstreams.emplace_back();
    m_upstreams.back().m_id = said.m_id;
  }
  Upstream& upstream = m_upstreams[found->second];
  // A new life of the instance starts without the errors of the old one.
  if (upstream.m_incarnation != said.m_incarnation) {
    upstream.m_errorsInRow = 0;
    upstream.m_errorShare = 0;
    upstream.m_ejections = 0;
    upstream.m_ejectedUntil = TimePoint{};
  }
  upstream.m_rack = said.m_rack;
  upstream.m_zone = said.m_zone;
  upstream.m_address = said.m_address;
  upstream.m_incarnation = said.m_incarnation;
  upstream.m_slots = std::max<std::uint32_t>(said.m_slots, 1);
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
  const std::size_t hole = found->second;
  m_routable -= m_upstreams[hole].m_routable ? 1 : 0;
  m_inFlight -= m_upstreams[hole].m_inFlight;
  m_positions.erase(found);
  if (hole + 1 != m_upstreams.size()) {
    m_upstreams[hole] = std::move(m_upstreams.back());
    m_positions[m_upstreams[hole].m_id] = hole;
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
  // With too few left, those set aside are used again: spreading the load
  // over doubtful upstreams beats crushing the last good ones.
  const bool panic = healthy.size() * 100 < all.size() * m_panicPercent;
  m_usable = panic ? std::move(all) : std::move(healthy);
  m_usableNear.clear();
  m_capacity = 0;
  m_ownsNone = false;
  for (const std::size_t at : m_usable) {
    const Upstream& upstream = m_upstreams[at];
    m_capacity += LocalLimit(upstream);
    if (upstream.m_zone == m_ownZone) {
      m_usableNear.push_back(at);
    }
  }
  // Where entries outnumber slots an entry may own none; it still may borrow
  // one, or its callers would wait for ever.
  m_ownsNone = m_capacity == 0;
  if (m_ownsNone) {
    m_capacity = m_usable.size();
  }
  m_refreshAt = next;
}

// The share fades with time too: an upstream that is avoided for its errors
// has no chance to show that it is well again.
double
Router::ErrorShare(const Upstream& aUpstream, TimePoint aNow)
{
  const double halvings =
    std::chrono::duration<double>(aNow - aUpstream.m_errorAt) /
    std::chrono::duration<double>(kErrorHalfLife);
  const double share = aUpstream.m_errorShare * std::exp2(-halvings);
  return share < kErrorForgotten ? 0 : share;
}

// Load, raised by errors: an upstream that fails everything at once always
// has free slots, and by load alone it would draw the most work.
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
Router::SampleRandom(const Positions& aFrom)
{
  const std::size_t at = aFrom[NextRandom() % aFrom.size()];
  const Upstream& upstream = m_upstreams[at];
  return upstream.m_inFlight < LocalLimit(upstream) ? at : kNone;
}

std::size_t
Router::SampleOwned(const Positions& aFrom,
                    const std::set<RackId>& aAvoid,
                    TimePoint aNow)
{
  const std::size_t start = NextRandom() % aFrom.size();
  const std::size_t probes = std::min(aFrom.size(), kOwnedProbes);
  std::size_t best = kNone;
  for (std::size_t i = 0; i < probes; ++i) {
    const std::size_t at = aFrom[(start + i) % aFrom.size()];
    const Upstream& upstream = m_upstreams[at];
    const bool open = upstream.m_inFlight < upstream.m_owned &&
                      !aAvoid.contains(upstream.m_rack);
    if (open && (best == kNone ||
                 Cost(upstream, aNow) < Cost(m_upstreams[best], aNow))) {
      best = at;
    }
  }
  return best;
}

std::size_t
Router::SampleTwo(const Positions& aFrom,
                  const std::set<RackId>& aAvoid,
                  TimePoint aNow)
{
  std::size_t best = kNone;
  int found = 0;
  for (int i = 0; i < kBorrowProbes && found < 2; ++i) {
    const std::size_t at = aFrom[NextRandom() % aFrom.size()];
    const Upstream& upstream = m_upstreams[at];
    const bool open = upstream.m_inFlight < LocalLimit(upstream) &&
                      !aAvoid.contains(upstream.m_rack);
    if (!open) {
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
Router::ScanLeast(const Positions& aFrom, TimePoint aNow)
{
  std::size_t best = kNone;
  for (const std::size_t at : aFrom) {
    const Upstream& upstream = m_upstreams[at];
    const bool open = upstream.m_inFlight < LocalLimit(upstream);
    if (open && (best == kNone ||
                 Cost(upstream, aNow) < Cost(m_upstreams[best], aNow))) {
      best = at;
    }
  }
  return best;
}

std::size_t
Router::ChooseIn(const Positions& aFrom,
                 const std::set<RackId>& aAvoid,
                 TimePoint aNow)
{
  if (aFrom.empty()) {
    return kNone;
  }
  switch (m_options.m_policy) {
    case Policy::kRandom:
      return SampleRandom(aFrom);
    case Policy::kLeastOutstanding:
      return ScanLeast(aFrom, aNow);
    case Policy::kTwoChoices:
    case Policy::kOwnedSlots:
      break;
  }
  return SampleTwo(aFrom, aAvoid, aNow);
}

std::optional<Pick>
Router::Choose(const std::set<RackId>& aAvoid, TimePoint aNow)
{
  Refresh(aNow);
  if (m_usable.empty()) {
    return std::nullopt;
  }
  const bool near = m_sameZoneFirst && !m_usableNear.empty();
  std::size_t chosen = kNone;
  if (m_options.m_policy == Policy::kOwnedSlots) {
    if (near) {
      chosen = SampleOwned(m_usableNear, aAvoid, aNow);
    }
    if (chosen == kNone) {
      chosen = SampleOwned(m_usable, aAvoid, aNow);
    }
  }
  if (chosen == kNone && near) {
    chosen = ChooseIn(m_usableNear, aAvoid, aNow);
  }
  if (chosen == kNone) {
    chosen = ChooseIn(m_usable, aAvoid, aNow);
  }
  // Sampling can miss the last free slot, and a request may have failed in
  // every rack; a full scan settles it, only when the service is nearly full.
  if (chosen == kNone) {
    chosen = ScanLeast(m_usable, aNow);
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
               Duration aTook,
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
  const bool good = aVerdict == Verdict::kGood;
  const double share = ErrorShare(upstream, aNow);
  upstream.m_errorShare = share + kErrorGain * ((good ? 0.0 : 1.0) - share);
  upstream.m_errorAt = aNow;
  if (good) {
    upstream.m_errorsInRow = 0;
    upstream.m_ejections = 0;
    Learn(aTook);
    return;
  }
  ++upstream.m_errorsInRow;
  if (upstream.m_errorsInRow >= m_options.m_ejectAfter) {
    MaybeEject(upstream, aNow);
  }
}

void
Router::Learn(Duration aTook)
{
  const Duration off = aTook - m_meanTime;
  m_meanTime += off / kMeanTimeShift;
  m_deviation += (std::chrono::abs(off) - m_deviation) / kMeanTimeShift;
  m_windowSum += std::chrono::duration<double>(aTook).count();
  if (++m_windowCount == kWindow) {
    CloseWindow();
  }
}

// Borrowing is good while others leave their slots idle. When all entries have
// too much work, what each borrows only queues up at the upstreams, until every
// answer comes too late (benchmark/slot_sharing.cpp). Longer answers than in
// the best windows show such queues; the right to borrow is then halved, and
// grows back slowly.
void
Router::CloseWindow()
{
  const double mean = m_windowSum / kWindow;
  m_windowSum = 0;
  m_windowCount = 0;
  // The baseline creeps up, so that upstreams which became slower for good do
  // not count as congested for ever.
  m_baseline =
    m_baseline == 0 ? mean : std::min(mean, m_baseline * kBaselineCreep);
  const double before = m_lent;
  m_lent = mean > m_baseline * kCongested ? m_lent * kLentCut
                                          : std::min(1.0, m_lent + kLentGrowth);
  if (m_lent < kLentLeast) {
    m_lent = 0;
  }
  if (m_lent != before) {
    m_refreshAt.reset();
  }
}

void
Router::MaybeEject(Upstream& aUpstream, TimePoint aNow)
{
  const std::size_t limit =
    static_cast<std::size_t>(m_routable) * m_ejectionCeilingPercent / 100;
  // The ceiling: when everything fails, the fault is not the upstreams', and
  // setting them all aside would be the outage.
  if (aUpstream.m_ejectedUntil > aNow || EjectedCount(aNow) >= limit) {
    return;
  }
  aUpstream.m_ejections =
    std::min(aUpstream.m_ejections + 1, kMaxEjectionFactor);
  aUpstream.m_ejectedUntil =
    aNow + m_options.m_ejectFor * aUpstream.m_ejections;
  m_refreshAt.reset();
}

std::size_t
Router::EjectedCount(TimePoint aNow) const
{
  return std::count_if(
    m_upstreams.begin(), m_upstreams.end(), [&](const Upstream& aOne) {
      return aOne.m_routable && aOne.m_ejectedUntil > aNow;
    });
}

std::uint32_t
Router::Capacity(TimePoint aNow)
{
  Refresh(aNow);
  return m_capacity;
}

std::vector<std::pair<InstanceId, std::uint32_t>>
Router::Leftovers() const
{
  std::vector<std::pair<InstanceId, std::uint32_t>> left;
  for (const Upstream& upstream : m_upstreams) {
    if (!upstream.m_routable && upstream.m_inFlight > 0) {
      left.emplace_back(upstream.m_id, upstream.m_inFlight);
    }
  }
  return left;
}

} // namespace bamboostile::routing
