#ifndef AMARANTHROUTE_AMARANTHCTL_TABLE_H_
#define AMARANTHROUTE_AMARANTHCTL_TABLE_H_

// A text table with aligned columns.

#include <string>
#include <vector>

namespace amaranth::pvt {

class Table {
 public:
  // A title that starts with '>' marks a column aligned to the right.
  explicit Table(std::vector<std::string> titles);

  void AddRow(std::vector<std::string> cells);
  std::string ToText() const;

 private:
  std::vector<size_t> Widths() const;

  std::vector<bool> right_;
  std::vector<std::vector<std::string>> rows_;  // titles first
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_AMARANTHCTL_TABLE_H_
