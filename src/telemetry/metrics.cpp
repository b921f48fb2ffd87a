#include "bamboostile/telemetry/metrics.h"

// Boost.Accumulators 1.74 uses a string stream without including it.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <sstream>

namespace bamboostile::telemetry {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 4> kQuantiles{ 0.5, 0.9, 0.99, 0.999 };

using Accumulator =
  acc::accumulator_set<double,
                       acc::stats<acc::tag::count,
                                  acc::tag::sum,
                                  acc::tag::extended_p_square_quantile>>;

constexpr const char* kPrefix = "bamboostile_";

std::string
NameWithoutLabels(const std::string& aName)
{
  return aName.substr(0, aName.find('{'));
}

std::string
WithSuffix(const std::string& aName, const char* aSuffix)
{
  const std::string baseName = NameWithoutLabels(aName);
  return kPrefix + baseName + aSuffix + aName.substr(baseName.size());
}

std::string
WithQuantile(const std::string& aName, double aQuantile)
{
  const std::string baseName = NameWithoutLabels(aName);
  std::ostringstream text;
  text << kPrefix << baseName << "{quantile=\"" << aQuantile << "\"";
  if (baseName.size() < aName.size()) {
    text << "," << aName.substr(baseName.size() + 1);
  } else {
    text << "}";
  }
  return text.str();
}

void
RenderValues(std::ostringstream& aText,
             const std::map<std::string, double>& aValues,
             const char* aType)
{
  std::string lastBaseName;
  for (const auto& [name, value] : aValues) {
    const std::string baseName = NameWithoutLabels(name);
    if (baseName != lastBaseName) {
      aText << "# TYPE " << kPrefix << baseName << " " << aType << "\n";
      lastBaseName = baseName;
    }
    aText << kPrefix << name << " " << value << "\n";
  }
}

} // namespace

struct Metrics::Summary
{
  Accumulator m_values{ acc::extended_p_square_probabilities = kQuantiles };
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;
Metrics::Metrics(Metrics&&) noexcept = default;
Metrics& Metrics::operator=(Metrics&&) noexcept = default;

void
Metrics::Count(const std::string& aName, double aBy)
{
  m_counters[aName] += aBy;
}

void
Metrics::SetTotal(const std::string& aName, double aTotal)
{
  m_counters[aName] = aTotal;
}

void
Metrics::Set(const std::string& aName, double aValue)
{
  m_gauges[aName] = aValue;
}

void
Metrics::Observe(const std::string& aName, double aSeconds)
{
  auto& summary = m_summaries[aName];
  if (!summary) {
    summary = std::make_unique<Summary>();
  }
  summary->m_values(aSeconds);
}

void
Metrics::RemoveGauges(const std::string& aPrefix)
{
  auto gauge = m_gauges.lower_bound(aPrefix);
  while (gauge != m_gauges.end() && gauge->first.starts_with(aPrefix)) {
    gauge = m_gauges.erase(gauge);
  }
}

std::string
Metrics::Render() const
{
  std::ostringstream text;
  text.precision(12);
  RenderValues(text, m_counters, "counter");
  RenderValues(text, m_gauges, "gauge");
  std::string lastBaseName;
  for (const auto& [name, summary] : m_summaries) {
    const std::string baseName = NameWithoutLabels(name);
    if (baseName != lastBaseName) {
      text << "# TYPE " << kPrefix << baseName << " summary\n";
      lastBaseName = baseName;
    }
    for (const double quantile : kQuantiles) {
      text << WithQuantile(name, quantile) << " "
           << acc::quantile(summary->m_values,
                            acc::quantile_probability = quantile)
           << "\n";
    }
    text << WithSuffix(name, "_sum") << " " << acc::sum(summary->m_values)
         << "\n";
    text << WithSuffix(name, "_count") << " " << acc::count(summary->m_values)
         << "\n";
  }
  return text.str();
}

} // namespace bamboostile::telemetry
