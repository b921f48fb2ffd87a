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
BareName(const std::string& aName)
{
  return aName.substr(0, aName.find('{'));
}

std::string
Suffixed(const std::string& aName, const char* aSuffix)
{
  const std::string bare = BareName(aName);
  return kPrefix + bare + aSuffix + aName.substr(bare.size());
}

std::string
WithQuantile(const std::string& aName, double aQuantile)
{
  const std::string bare = BareName(aName);
  std::ostringstream text;
  text << kPrefix << bare << "{quantile=\"" << aQuantile << "\"";
  if (bare.size() < aName.size()) {
    text << "," << aName.substr(bare.size() + 1);
  } else {
    text << "}";
  }
  return text.str();
}

void
RenderPlain(std::ostringstream& aText,
            const std::map<std::string, double>& aValues,
            const char* aType)
{
  std::string last;
  for (const auto& [name, value] : aValues) {
    const std::string bare = BareName(name);
    if (bare != last) {
      aText << "# TYPE " << kPrefix << bare << " " << aType << "\n";
      last = bare;
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

std::string
Metrics::Render() const
{
  std::ostringstream text;
  text.precision(12);
  RenderPlain(text, m_counters, "counter");
  RenderPlain(text, m_gauges, "gauge");
  std::string last;
  for (const auto& [name, summary] : m_summaries) {
    const std::string bare = BareName(name);
    if (bare != last) {
      text << "# TYPE " << kPrefix << bare << " summary\n";
      last = bare;
    }
    for (const double quantile : kQuantiles) {
      text << WithQuantile(name, quantile) << " "
           << acc::quantile(summary->m_values,
                            acc::quantile_probability = quantile)
           << "\n";
    }
    text << Suffixed(name, "_sum") << " " << acc::sum(summary->m_values)
         << "\n";
    text << Suffixed(name, "_count") << " " << acc::count(summary->m_values)
         << "\n";
  }
  return text.str();
}

} // namespace bamboostile::telemetry
