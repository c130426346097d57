#include "amaranthctl/table.h"

#include <algorithm>
#include <utility>

namespace amaranth::pvt {
namespace {

constexpr const char* kGap = "  ";

std::string Padded(const std::string& cell, size_t width, bool right) {
  const std::string space(width - cell.size(), ' ');
  return right ? space + cell : cell + space;
}

}  // namespace

Table::Table(std::vector<std::string> titles) {
  for (std::string& title : titles) {
    const bool right = !title.empty() && title[0] == '>';
    right_.push_back(right);
    if (right) {
      title.erase(0, 1);
    }
  }
  rows_.push_back(std::move(titles));
}

void Table::AddRow(std::vector<std::string> cells) {
  cells.resize(right_.size());
  rows_.push_back(std::move(cells));
}

std::vector<size_t> Table::Widths() const {
  std::vector<size_t> widths(right_.size(), 0);
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
      line += (i > 0 ? kGap : "") + Padded(row[i], widths[i], right_[i]);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

}  // namespace amaranth::pvt
