#include "report.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <iomanip>
#include <iostream>

#include <malloc.h>

namespace bamboostile::benchmark {

Report::Report(std::string aName)
  : m_name(std::move(aName))
{
}

void
Report::Set(const std::string& aFigure, double aValue)
{
  m_figures[aFigure] = aValue;
}

double
Report::Get(const std::string& aFigure) const
{
  return m_figures.at(aFigure);
}

void
Report::AddBound(const std::string& aRatio,
                 double aValue,
                 double aMin,
                 double aMax)
{
  m_bounds.push_back({ aRatio, aValue, aMin, aMax });
}

int
Report::Finish() const
{
  std::ofstream out(m_name + ".json");
  out << "{\n  \"figures\": {";
  const char* separator = "\n";
  for (const auto& [name, value] : m_figures) {
    out << separator << "    " << std::quoted(name) << ": " << value;
    separator = ",\n";
  }
  out << "\n  },\n  \"bounds\": [";
  separator = "\n";
  int code = 0;
  for (const BoundedRatio& bound : m_bounds) {
    const bool holds =
      bound.m_value >= bound.m_min && bound.m_value <= bound.m_max;
    code = holds ? code : 1;
    out << separator << "    { \"ratio\": " << std::quoted(bound.m_name)
        << ", \"value\": " << bound.m_value << ", \"least\": " << bound.m_min
        << ", \"most\": " << bound.m_max
        << ", \"holds\": " << (holds ? "true" : "false") << " }";
    separator = ",\n";
    std::cout << (holds ? "holds  " : "BROKEN ") << bound.m_name << ": "
              << bound.m_value << " in [" << bound.m_min << ", " << bound.m_max
              << "]\n";
  }
  out << "\n  ]\n}\n";
  return code;
}

double
Quantile(std::vector<double> aValues, double aFraction)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  return aValues[static_cast<std::size_t>(
    aFraction * static_cast<double>(aValues.size() - 1))];
}

double
ProcessorSeconds()
{
  std::timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  constexpr double kNanosPerSecond = 1e9;
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / kNanosPerSecond;
}

double
AllocatedKiB()
{
  constexpr double kBytesPerKiB = 1024;
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd) / kBytesPerKiB;
}

} // namespace bamboostile::benchmark
