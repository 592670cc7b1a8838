#include "figures.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <ostream>

namespace cowslippin {

namespace {

double
quantile(const std::vector<double>& sorted, double part)
{
  if (sorted.empty()) {
    return 0.0;
  }
  const double rank = std::ceil(part * static_cast<double>(sorted.size()));
  const auto place = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
  return sorted[std::min(place, sorted.size() - 1)];
}

double
each(double count, int of)
{
  return of == 0 ? 0.0 : count / of;
}

} // namespace

void
Figures::printHeader(std::ostream& out)
{
  out << std::left << std::setw(13) << "deployment" << std::setw(17) << "case"
      << std::setw(9) << "group" << std::right << std::setw(7) << "tasks"
      << std::setw(8) << "p50" << std::setw(8) << "p99" << std::setw(9)
      << "worst" << std::setw(8) << "attempt" << std::setw(8) << "wasted"
      << std::setw(9) << "crossing" << std::setw(9) << "refused%"
      << std::setw(9) << "failed%" << std::setw(8) << "starts" << std::setw(9)
      << "daemon" << std::setw(9) << "endpoint" << '\n';
}

void
Figures::print(std::ostream& out,
               const std::string& deployment,
               const std::string& caseName) const
{
  for (const auto& [name, group] : m_groups) {
    std::vector<double> ratios = group.ratios;
    std::sort(ratios.begin(), ratios.end());
    const int answered = static_cast<int>(ratios.size());
    // An attempt is a request and a reply.
    out << std::left << std::setw(13) << deployment << std::setw(17) << caseName
        << std::setw(9) << name << std::right << std::setw(7) << group.submitted
        << std::fixed << std::setprecision(3) << std::setw(8)
        << quantile(ratios, 0.50) << std::setw(8) << quantile(ratios, 0.99)
        << std::setw(9) << quantile(ratios, 1.0) << std::setw(8)
        << each(2 * group.starts, group.submitted) << std::setw(8)
        << each(2 * (group.starts - answered), group.submitted) << std::setw(9)
        << each(2 * group.crossings, group.submitted) << std::setprecision(2)
        << std::setw(9) << 100.0 * each(group.refused, group.submitted)
        << std::setw(9) << 100.0 * each(group.failed, group.submitted)
        << std::setprecision(3) << std::setw(8)
        << each(group.starts, group.submitted) << std::setprecision(1)
        << std::setw(9) << 1000 * each(group.waitedAtDaemon, group.starts)
        << std::setw(9) << 1000 * each(group.waitedAtEndpoint, group.starts)
        << '\n';
  }
}

} // namespace cowslippin
