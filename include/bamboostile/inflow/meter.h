#pragma once

#include "bamboostile/units/time.h"

#include <deque>
#include <variant>

namespace bamboostile::inflow {

/** Expects work to keep arriving as it did in the last window. */
struct Level
{};

/** Expects the change within the last window to continue. */
struct Trend
{};

using Method = std::variant<Level, Trend>;

struct MeterOptions
{
  Method m_method = Level{};
  /** Time over which arrivals are averaged, and thus the delay until a peak is
   * known in full. With 500 ms, noise of constant arrivals costs more moves
   * than following the backlog; with 1 s, twice as much of a peak is late. */
  Duration m_window = Millis{ 700 };
  /** How far ahead to forecast: the time that the platform takes to move an
   * instance. */
  Duration m_horizon = Millis{ 1500 };
};

/** Rates are in thousandths of a core: the CPU that keeps up with the work that
 * arrives. */
struct Forecast
{
  /** Over the last window. */
  double m_rate = 0;
  /** Mean rate expected from now to the horizon. */
  double m_expected = 0;
  /** Mean absolute difference between earlier forecasts and what arrived. */
  double m_error = 0;
};

/**
 * @brief Measures the work that arrives at a pool and forecasts how much will
 * arrive until an instance that is ordered now could serve it.
 */
class Meter
{
public:
  explicit Meter(MeterOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /** Called at regular intervals. aWork: what has arrived since the last call,
   * in thousandths of a core times ms. The first call only sets the time. */
  void Add(double aWork, TimePoint aNow);

  /** All zero until a whole window has been measured. */
  const Forecast& Get() const { return m_forecast; }

private:
  struct Sample
  {
    TimePoint m_at;
    /** Total work that had arrived by then. */
    double m_total = 0;
  };

  struct Prediction
  {
    TimePoint m_madeAt;
    double m_total = 0;
    double m_expected = 0;
  };

  double RateSince(Duration aAgo, TimePoint aNow) const;
  double Expect(const Level&, TimePoint aNow) const;
  double Expect(const Trend&, TimePoint aNow) const;
  void Assess(TimePoint aNow);

  MeterOptions m_options;
  std::deque<Sample> m_samples;
  std::deque<Prediction> m_predictions;
  Forecast m_forecast;
};

/** CPU that serves a pool until the horizon, in thousandths of a core times
 * ms. */
struct Supply
{
  double m_work = 0;

  /** aFor: how long of the time until the horizon it serves. */
  void Add(double aCpu, Duration aFor);
};

/**
 * @brief The CPU to order now for work that is expected to arrive, in
 * thousandths of a core; in addition to what the work that has arrived needs.
 *
 * It is what the current and arriving instances will not have done by the time
 * at which an ordered instance arrives, divided by aTarget, the time in which a
 * backlog is to be done. It is 0 where the instances keep up with the arrivals.
 */
double CpuAhead(const Forecast& aForecast,
                const Supply& aSupply,
                Duration aHorizon,
                Duration aTarget);

} // namespace bamboostile::inflow
