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
  /** Baselines, kept for comparison. */
  kRandom,
  kLeastOutstanding,
  kTwoChoices,
  /** Own slots first, then two choices among those lent. */
  kOwnedSlots,
};

struct Options
{
  Policy m_policy = Policy::kOwnedSlots;
  /** Errors in a row that set an upstream aside. */
  int m_ejectAfter = 5;
  Duration m_ejectFor = Millis{ 5000 };
  /** Share of other entries' slots that may be borrowed, in percent. */
  std::uint32_t m_borrowPercent = 50;
  std::uint64_t m_seed = 1;
};

/** How an attempt at an upstream ended, as far as routing cares. */
enum class Verdict
{
  kGood,
  /** Refused, reset, cut short, an answer of the 5xx class. */
  kBad,
  kTimedOut,
  /** Ended by us; says nothing about the upstream. */
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
 * Several entries share the slots of each upstream without talking to each
 * other per request. Every entry owns some slots outright, by a rule that all
 * compute alike from (upstream, number of entries); slots of other entries
 * are borrowed only when the own ones are busy.
 */
class Router
{
public:
  Router(Options aOptions, ZoneId aOwnZone);

  /** Takes over what the view says; unknown upstreams are added, and the
   * load under way at those that stay is kept. */
  void Update(const fleet::Instance& aInstance, bool aRoutable);
  void Remove(const InstanceId& aInstance);
  void SetLimits(std::uint32_t aEjectionCeilingPercent,
                 std::uint32_t aPanicPercent,
                 bool aSameZoneFirst);
  /** aPosition of aCount live entries, which decides the owned slots. */
  void SetShare(std::uint32_t aPosition, std::uint32_t aCount);

  /** Picks and counts the attempt as under way; aAvoid names racks that this
   * request already failed in. */
  std::optional<Pick> Choose(const std::set<RackId>& aAvoid, TimePoint aNow);
  void Finish(const InstanceId& aInstance,
              Verdict aVerdict,
              Duration aTook,
              TimePoint aNow);

  /** Attempts that could be under way together at this entry. */
  std::uint32_t Capacity(TimePoint aNow);
  std::uint32_t InFlight() const { return m_inFlight; }
  bool HasUpstreams() const { return m_routable > 0; }
  Duration MeanTime() const { return m_meanTime; }
  /** Most requests take no longer. */
  Duration UsualTime() const { return m_meanTime + 2 * m_deviation; }
  std::size_t EjectedCount(TimePoint aNow) const;
  /** Upstreams that take no new work but still have some under way. */
  std::vector<std::pair<InstanceId, std::uint32_t>> Leftovers() const;

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
    int m_errorsInRow = 0;
    int m_ejections = 0;
    TimePoint m_ejectedUntil;
    /** Exponentially weighted share of errors, 0 to 1, as of m_errorAt. */
    double m_errorShare = 0;
    TimePoint m_errorAt;
  };

  /** Positions in m_upstreams. */
  using Positions = std::vector<std::size_t>;

  std::uint32_t OwnedSlots(const Upstream& aUpstream) const;
  std::uint32_t LocalLimit(const Upstream& aUpstream) const;
  static double ErrorShare(const Upstream& aUpstream, TimePoint aNow);
  static double Cost(const Upstream& aUpstream, TimePoint aNow);
  void Refresh(TimePoint aNow);
  std::size_t SampleRandom(const Positions& aFrom);
  std::size_t SampleOwned(const Positions& aFrom,
                          const std::set<RackId>& aAvoid,
                          TimePoint aNow);
  std::size_t SampleTwo(const Positions& aFrom,
                        const std::set<RackId>& aAvoid,
                        TimePoint aNow);
  std::size_t ScanLeast(const Positions& aFrom, TimePoint aNow);
  std::size_t ChooseIn(const Positions& aFrom,
                       const std::set<RackId>& aAvoid,
                       TimePoint aNow);
  void Learn(Duration aTook);
  void CloseWindow();
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
  /** Those that may be chosen now; made anew after changes. */
  Positions m_usable;
  Positions m_usableNear;
  std::optional<TimePoint> m_refreshAt;
  std::uint32_t m_routable = 0;
  std::uint32_t m_capacity = 0;
  bool m_ownsNone = false;
  std::uint32_t m_inFlight = 0;
  Duration m_meanTime = Millis{ 20 };
  /** Mean distance from the mean. */
  Duration m_deviation = Millis{ 10 };
  /** What is left of the right to borrow, 0 to 1. */
  double m_lent = 1;
  double m_windowSum = 0;
  std::uint32_t m_windowCount = 0;
  /** Mean time while the upstreams had no queue. */
  double m_baseline = 0;
  std::uint64_t m_randomState;
};

} // namespace bamboostile::routing
