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
  out << "deployment   case             group      tasks     p50     p99"
         "    worst attempt  wasted crossing refused% failed%  late% useful%"
         "  starts  daemon endpoint\n";
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
    const auto write = [&out](int width, int digits, double value) {
      out << std::setw(width) << std::setprecision(digits) << value;
    };
    out << std::left << std::setw(13) << deployment << std::setw(17) << caseName
        << std::setw(9) << name << std::right << std::fixed << std::setw(7)
        << group.submitted;
    write(8, 3, quantile(ratios, 0.50));
    write(8, 3, quantile(ratios, 0.99));
    write(9, 3, quantile(ratios, 1.0));
    // An attempt is a request and a reply.
    write(8, 3, each(2 * group.starts, group.submitted));
    write(8, 3, each(2 * (group.starts - answered), group.submitted));
    write(9, 3, each(2 * group.crossings, group.submitted));
    write(9, 2, 100 * each(group.refused, group.submitted));
    write(8, 2, 100 * each(group.failed, group.submitted));
    write(7, 2, 100 * each(group.late, group.submitted));
    write(8, 2, 100 * group.useful);
    write(8, 3, each(group.starts, group.submitted));
    write(8, 1, 1000 * each(group.waitedAtDaemon, group.starts));
    write(9, 1, 1000 * each(group.waitedAtEndpoint, group.starts));
    out << '\n';
  }
}

} // namespace cowslippin
