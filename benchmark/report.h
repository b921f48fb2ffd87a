#pragma once

#include <map>
#include <string>
#include <vector>

namespace bamboostile::benchmark {

/**
 * @brief Collects the figures of one run, and holds ratios within bounds.
 *
 * Only ratios of figures from the same run are bounded, so that the verdict
 * does not depend on the machine.
 */
class Report
{
public:
  explicit Report(std::string aName);

  void Set(const std::string& aFigure, double aValue);
  double Get(const std::string& aFigure) const;
  void Bound(const std::string& aRatio,
             double aValue,
             double aLeast,
             double aMost);

  /** Writes NAME.json to the working folder; returns 1 if a bound broke. */
  int Finish() const;

private:
  struct Bounded
  {
    std::string m_name;
    double m_value;
    double m_least;
    double m_most;
  };

  std::string m_name;
  std::map<std::string, double> m_figures;
  std::vector<Bounded> m_bounds;
};

double Quantile(std::vector<double> aValues, double aShare);

/** Seconds of processor time of this process. */
double ProcessorSeconds();

/** Memory in use by this process's objects, in KiB. */
double AllocatedKiB();

} // namespace bamboostile::benchmark
