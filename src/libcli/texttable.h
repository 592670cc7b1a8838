#pragma once

#include <string>
#include <vector>

namespace cowslippin {

/// A table of text whose columns are as wide as their widest cell.
class TextTable
{
public:
  explicit TextTable(std::vector<std::string> headings);

  /// Adds a row with as many cells as there are headings.
  void addRow(std::vector<std::string> cells);

  /// One line a row, the headings first.
  std::string toString() const;

private:
  std::vector<std::size_t> columnWidths() const;

  std::vector<std::vector<std::string>> m_rows;
};

} // namespace cowslippin
