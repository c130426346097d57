#include "amaranthctl/table.h"

#include <algorithm>
#include <utility>

namespace amaranth::pvt {
namespace {

constexpr const char* kColumnSeparator = "  ";

std::string Pad(const std::string& cell, size_t width, bool right_aligned) {
  const std::string padding(width - cell.size(), ' ');
  return right_aligned ? padding + cell : cell + padding;
}

}  // namespace

Table::Table(std::vector<std::string> headings) {
  for (std::string& heading : headings) {
    const bool right_aligned = !heading.empty() && heading[0] == '>';
    right_aligned_.push_back(right_aligned);
    if (right_aligned) {
      heading.erase(0, 1);
    }
  }
  rows_.push_back(std::move(headings));
}

void Table::AddRow(std::vector<std::string> cells) {
  cells.resize(right_aligned_.size());
  rows_.push_back(std::move(cells));
}

std::vector<size_t> Table::Widths() const {
  std::vector<size_t> widths(right_aligned_.size(), 0);
  for (const std::vector<std::string>& row : rows_) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  return widths;
}

std::string Table::ToText() const {
  const std::vector<size_t> widths = Widths();
  std::string text;
  for (const std::vector<std::string>& row : rows_) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += (i > 0 ? kColumnSeparator : "") +
              Pad(row[i], widths[i], right_aligned_[i]);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

}  // namespace amaranth::pvt
