#pragma once

#include <map>
#include <string>
#include <vector>

namespace bamboostile::benchmark {

/**
 * @brief Collects the figures of one run and checks ratios against bounds.
 *
 * Only ratios of figures from the same run have bounds, so that the result does
 * not depend on the machine.
 */
class Report
{
public:
  explicit Report(std::string aName);

  void Set(const std::string& aFigure, double aValue);
  double Get(const std::string& aFigure) const;
  void AddBound(const std::string& aRatio,
                double aValue,
                double aMin,
                double aMax);

  /** Writes NAME.json to the working directory. Returns 1 if a ratio is out of
   * its bounds. */
  int Finish() const;

private:
  struct BoundedRatio
  {
    std::string m_name;
    double m_value;
    double m_min;
    double m_max;
  };

  std::string m_name;
  std::map<std::string, double> m_figures;
  std::vector<BoundedRatio> m_bounds;
};

/** The value at a fraction of the sorted values, or 0 if there are none. */
double Quantile(std::vector<double> aValues, double aFraction);

/** CPU time of this process in seconds. */
double ProcessorSeconds();

/** Heap memory in use by this process, in KiB. */
double AllocatedKiB();

} // namespace bamboostile::benchmark
