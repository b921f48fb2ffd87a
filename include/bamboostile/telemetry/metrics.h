#pragma once

#include <map>
#include <memory>
#include <string>

namespace bamboostile::telemetry {

/**
 * @brief Counters, gauges and latency summaries of one thread.
 *
 * Names include their labels, as in `requests_total{outcome="done"}`. Quantiles
 * are estimated with the P-square algorithm of Boost.Accumulators.
 */
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(Metrics&&) noexcept;
  Metrics& operator=(Metrics&&) noexcept;

  void Count(const std::string& aName, double aBy = 1);
  /** Sets a counter that is kept elsewhere. */
  void SetTotal(const std::string& aName, double aTotal);
  void Set(const std::string& aName, double aValue);
  void Observe(const std::string& aName, double aSeconds);
  /** Removes the gauges whose names begin with aPrefix: what they describe may
   * not exist any more. */
  void RemoveGauges(const std::string& aPrefix);

  /** Returns all metrics in the Prometheus text format, version 0.0.4. */
  std::string Render() const;

private:
  struct Summary;

  std::map<std::string, double> m_counters;
  std::map<std::string, double> m_gauges;
  std::map<std::string, std::unique_ptr<Summary>> m_summaries;
};

} // namespace bamboostile::telemetry
