#ifndef AMARANTHROUTE_AMARANTHCTL_TABLE_H_
#define AMARANTHROUTE_AMARANTHCTL_TABLE_H_

// Formats a text table with aligned columns.

#include <string>
#include <vector>

namespace amaranth::pvt {

class Table {
 public:
  // A heading that starts with '>' marks a right-aligned column; the '>' is not
  // shown.
  explicit Table(std::vector<std::string> headings);

  void AddRow(std::vector<std::string> cells);
  std::string ToText() const;

 private:
  std::vector<size_t> Widths() const;

  std::vector<bool> right_aligned_;
  std::vector<std::vector<std::string>> rows_;  // headings first
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_AMARANTHCTL_TABLE_H_
