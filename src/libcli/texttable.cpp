#include "texttable.h"

#include <algorithm>
#include <utility>

namespace cowslippin {

namespace {

constexpr std::size_t columnGap = 2;

} // namespace

TextTable::TextTable(std::vector<std::string> headings)
  : m_rows{ std::move(headings) }
{
}

void
TextTable::addRow(std::vector<std::string> cells)
{
  cells.resize(m_rows.front().size());
  m_rows.push_back(std::move(cells));
}

std::string
TextTable::toString() const
{
  const std::vector<std::size_t> widths = columnWidths();
  std::string text;
  for (const std::vector<std::string>& row : m_rows) {
    std::string line;
    for (std::size_t column = 0; column < row.size(); ++column) {
      line += row[column];
      line.append(widths[column] + columnGap - row[column].size(), ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + '\n';
  }
  return text;
}

std::vector<std::size_t>
TextTable::columnWidths() const
{
  std::vector<std::size_t> widths(m_rows.front().size());
  for (const std::vector<std::string>& row : m_rows) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  return widths;
}

} // namespace cowslippin
