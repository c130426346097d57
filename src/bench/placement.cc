#include "bench/placement.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <string>
#include <vector>

#include "amaranthroute/hash.h"

namespace amaranth::bench {
namespace {

constexpr size_t kKeyCount = 50'000;

// Random disk labelling: each name owns `weight` slots out of a prime number of
// slots; a key probes from a hashed start by a hashed step until it finds a
// slot with an owner. Slots are assigned by the hash of the name and linear
// probing, so all nodes that know the same names in the same order build the
// same table.
class SlotTable {
 public:
  SlotTable(const std::vector<std::string>& names, size_t slots, size_t weight)
      : owner_(slots, -1) {
    for (size_t i = 0; i < names.size(); ++i) {
      for (size_t copy = 0; copy < weight; ++copy) {
        size_t slot = Hash64(names[i], copy + 1) % slots;
        while (owner_[slot] >= 0) slot = (slot + 1) % slots;
        owner_[slot] = static_cast<int>(i);
      }
    }
  }

  size_t Choose(const std::string& key) const {
    const uint64_t hash = Hash64(key);
    const size_t step = 1 + Hash64(key, 1) % (owner_.size() - 1);
    size_t slot = hash % owner_.size();
    while (owner_[slot] < 0) slot = (slot + step) % owner_.size();
    return static_cast<size_t>(owner_[slot]);
  }

 private:
  std::vector<int> owner_;
};

using Chooser = std::function<std::string(const std::string& key)>;
using ChooserBuilder =
    std::function<Chooser(const std::vector<std::string>& names)>;

std::vector<std::string> HostNames(size_t count) {
  std::vector<std::string> names;
  for (size_t i = 0; i < count; ++i) {
    names.push_back("host-" + std::to_string(i));
  }
  return names;
}

std::vector<std::string> PlaceKeys(const Chooser& choose) {
  std::vector<std::string> placement;
  for (size_t key = 0; key < kKeyCount; ++key) {
    placement.push_back(choose("key-" + std::to_string(key)));
  }
  return placement;
}

double MovedPercent(const std::vector<std::string>& a,
                    const std::vector<std::string>& b) {
  size_t moved = 0;
  for (size_t i = 0; i < a.size(); ++i) moved += a[i] == b[i] ? 0 : 1;
  return 100.0 * static_cast<double>(moved) / static_cast<double>(a.size());
}

void MeasureMethod(std::ostream& out, const std::string& method, size_t count,
                   const ChooserBuilder& build) {
  using Clock = std::chrono::steady_clock;
  const std::vector<std::string> names = HostNames(count);
  const Clock::time_point start = Clock::now();
  const Chooser choose = build(names);
  const Clock::time_point built = Clock::now();
  const std::vector<std::string> placement = PlaceKeys(choose);
  const Clock::time_point end = Clock::now();

  std::vector<size_t> loads;
  loads.reserve(names.size());
  for (const std::string& name : names) {
    loads.push_back(static_cast<size_t>(
        std::count(placement.begin(), placement.end(), name)));
  }
  const double mean =
      static_cast<double>(kKeyCount) / static_cast<double>(count);
  double sum_of_squares = 0;
  for (const size_t load : loads) {
    sum_of_squares += std::pow(static_cast<double>(load) - mean, 2);
  }
  const double deviation =
      std::sqrt(sum_of_squares / static_cast<double>(count)) / mean;
  const size_t max_load = *std::max_element(loads.begin(), loads.end());

  std::vector<std::string> names_after_removal = names;
  names_after_removal.erase(names_after_removal.begin() +
                            static_cast<ptrdiff_t>(count / 2));
  std::vector<std::string> names_after_addition = HostNames(count + 1);
  const std::chrono::duration<double, std::micro> build_time = built - start;
  const std::chrono::duration<double, std::micro> choose_time = end - built;
  out << method << ',' << count << ',' << deviation * 100 << ','
      << static_cast<double>(max_load) / mean << ','
      << MovedPercent(placement, PlaceKeys(build(names_after_addition))) << ','
      << 100.0 / static_cast<double>(count + 1) << ','
      << MovedPercent(placement, PlaceKeys(build(names_after_removal))) << ','
      << 100.0 / static_cast<double>(count) << ',' << build_time.count() << ','
      << choose_time.count() / static_cast<double>(kKeyCount) << '\n';
}

ChooserBuilder SlotTableBuilder(size_t slots, size_t weight) {
  return [slots, weight](const std::vector<std::string>& names) -> Chooser {
    const SlotTable table(names, slots, weight);
    return [names, table](const std::string& key) {
      return names[table.Choose(key)];
    };
  };
}

Chooser BuildRendezvous(const std::vector<std::string>& names) {
  return [names](const std::string& key) {
    return RendezvousChoose(names, key, 1).front();
  };
}

}  // namespace

void MeasurePlacement(std::ostream& out) {
  constexpr size_t kSlots = 65'537;  // prime
  out << "method,names,load deviation %,most/mean,moved on add %,least %,"
         "moved on remove %,least %,build us,choose us\n";
  for (const size_t count : {3u, 10u, 80u, 320u}) {
    MeasureMethod(out, "rendezvous", count, BuildRendezvous);
    MeasureMethod(out, "slots x1 of 65537", count, SlotTableBuilder(kSlots, 1));
    MeasureMethod(out, "slots x20 of 65537", count,
                  SlotTableBuilder(kSlots, 20));
    MeasureMethod(out, "slots x1 of 1009", count, SlotTableBuilder(1009, 1));
  }
}

}  // namespace amaranth::bench
