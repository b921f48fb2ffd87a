#pragma once

#include "bamboostile/fleet/state.h"
#include "bamboostile/units/time.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace bamboostile::routing {

enum class Policy
{
  /** The policies up to kTwoChoices are baselines for comparison. */
  kRandom,
  kLeastOutstanding,
  kTwoChoices,
  /** Owned slots first, then two choices among borrowable slots. */
  kOwnedSlots,
};

struct Options
{
  Policy m_policy = Policy::kOwnedSlots;
  /** Consecutive errors after which an upstream is ejected. */
  int m_ejectionThreshold = 5;
  Duration m_ejectionTime = Millis{ 5000 };
  /** Maximum share of other entries' slots that may be borrowed, in percent. */
  std::uint32_t m_borrowPercent = 50;
  std::uint64_t m_seed = 1;
};

/** Result of an attempt at an upstream, as seen by routing. */
enum class Verdict
{
  kSuccess,
  /** Connection refused or reset, answer truncated, or a 5xx status. */
  kFailure,
  kTimedOut,
  /** Cancelled by this entry; not counted for or against the upstream. */
  kAbandoned,
};

struct Pick
{
  InstanceId m_instance;
  RackId m_rack;
  std::string m_address;
  Incarnation m_incarnation;
};

/**
 * @brief Chooses the upstream of one service for each attempt.
 *
 * Several entries share the slots of each upstream without communicating per
 * request. Every entry owns some slots, by a rule that all entries compute
 * alike from the upstream and the number of entries. It borrows slots of other
 * entries only when its own are busy.
 */
class Router
{
public:
  Router(Options aOptions, ZoneId aOwnZone);

  /** Adds an upstream or updates a known one, whose in-flight count is kept. */
  void Update(const fleet::Instance& aInstance, bool aRoutable);
  void Remove(const InstanceId& aInstance);
  void SetLimits(std::uint32_t aEjectionCeilingPercent,
                 std::uint32_t aPanicPercent,
                 bool aSameZoneFirst);
  /** Sets this entry's position among the live entries, which determines the
   * owned slots. */
  void SetShare(std::uint32_t aPosition, std::uint32_t aCount);

  /** Picks an upstream and counts the attempt as in flight. aAvoidedRacks holds
   * the racks in which this request already failed. */
  std::optional<Pick> Choose(const std::set<RackId>& aAvoidedRacks,
                             TimePoint aNow);
  void Finish(const InstanceId& aInstance,
              Verdict aVerdict,
              Duration aElapsed,
              TimePoint aNow);

  /** Maximum number of concurrent attempts of this entry. */
  std::uint32_t Capacity(TimePoint aNow);
  std::uint32_t InFlight() const { return m_inFlight; }
  bool HasUpstreams() const { return m_routable > 0; }
  Duration MeanServiceTime() const { return m_meanTime; }
  /** Mean service time plus two mean deviations; most requests take no longer.
   */
  Duration MaxUsualServiceTime() const
  {
    return m_meanTime + 2 * m_meanDeviation;
  }
  std::size_t EjectedCount(TimePoint aNow) const;
  /** Attempts in flight per upstream that takes no new work. */
  std::vector<std::pair<InstanceId, std::uint32_t>> DrainingInFlight() const;

private:
  struct Upstream
  {
    InstanceId m_id;
    RackId m_rack;
    ZoneId m_zone;
    std::string m_address;
    Incarnation m_incarnation;
    std::uint32_t m_slots = 1;
    std::uint32_t m_owned = 0;
    std::uint32_t m_inFlight = 0;
    bool m_routable = false;
    int m_consecutiveErrors = 0;
    int m_ejections = 0;
    TimePoint m_ejectedUntil;
    /** Exponentially weighted share of errors, 0 to 1, at m_errorUpdatedAt. */
    double m_errorShare = 0;
    TimePoint m_errorUpdatedAt;
  };

  /** Indexes into m_upstreams. */
  using Positions = std::vector<std::size_t>;

  std::uint32_t OwnedSlots(const Upstream& aUpstream) const;
  std::uint32_t LocalLimit(const Upstream& aUpstream) const;
  static double ErrorShare(const Upstream& aUpstream, TimePoint aNow);
  static double Cost(const Upstream& aUpstream, TimePoint aNow);
  void Refresh(TimePoint aNow);
  std::size_t SampleRandom(const Positions& aCandidates);
  std::size_t SampleOwned(const Positions& aCandidates,
                          const std::set<RackId>& aAvoidedRacks,
                          TimePoint aNow);
  std::size_t SampleTwo(const Positions& aCandidates,
                        const std::set<RackId>& aAvoidedRacks,
                        TimePoint aNow);
  std::size_t ScanLeastLoaded(const Positions& aCandidates, TimePoint aNow);
  std::size_t ChooseAmong(const Positions& aCandidates,
                          const std::set<RackId>& aAvoidedRacks,
                          TimePoint aNow);
  void RecordServiceTime(Duration aElapsed);
  void EvaluateWindow();
  void MaybeEject(Upstream& aUpstream, TimePoint aNow);
  std::uint64_t NextRandom();

  Options m_options;
  ZoneId m_ownZone;
  std::uint32_t m_ejectionCeilingPercent = 30;
  std::uint32_t m_panicPercent = 50;
  bool m_sameZoneFirst = true;
  std::uint32_t m_position = 0;
  std::uint32_t m_entryCount = 1;
  std::vector<Upstream> m_upstreams;
  std::unordered_map<InstanceId, std::size_t> m_positions;
  /** Upstreams that may be chosen now; rebuilt by Refresh(). */
  Positions m_usable;
  Positions m_usableInZone;
  std::optional<TimePoint> m_refreshAt;
  std::uint32_t m_routable = 0;
  std::uint32_t m_capacity = 0;
  bool m_ownsNoSlot = false;
  std::uint32_t m_inFlight = 0;
  Duration m_meanTime = Millis{ 20 };
  /** Mean absolute deviation of the service time from its mean. */
  Duration m_meanDeviation = Millis{ 10 };
  /** Factor on m_borrowPercent, 0 to 1; reduced under congestion. */
  double m_borrowFactor = 1;
  double m_windowSum = 0;
  std::uint32_t m_windowCount = 0;
  /** Mean service time, in seconds, without queues at the upstreams. */
  double m_baselineTime = 0;
  std::uint64_t m_randomState;
};

} // namespace bamboostile::routing
