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

constexpr size_t kKeys = 50'000;

// Random disk labelling: a name takes `weight` free slots of a prime number of
// slots; a key probes from a hashed start by a hashed step until a slot has a
// name. Slots are found by hash of name and probing, so that every node that
// knows the same names in the same order agrees.
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

using Choice = std::function<std::string(const std::string& key)>;
using Builder = std::function<Choice(const std::vector<std::string>& names)>;

std::vector<std::string> Names(size_t count) {
  std::vector<std::string> names;
  for (size_t i = 0; i < count; ++i) {
    names.push_back("host-" + std::to_string(i));
  }
  return names;
}

std::vector<std::string> PlaceAll(const Choice& choose) {
  std::vector<std::string> placed;
  for (size_t key = 0; key < kKeys; ++key) {
    placed.push_back(choose("key-" + std::to_string(key)));
  }
  return placed;
}

double Moved(const std::vector<std::string>& a,
             const std::vector<std::string>& b) {
  size_t moved = 0;
  for (size_t i = 0; i < a.size(); ++i) moved += a[i] == b[i] ? 0 : 1;
  return 100.0 * static_cast<double>(moved) / static_cast<double>(a.size());
}

void Measure(std::ostream& out, const std::string& method, size_t count,
             const Builder& build) {
  using Clock = std::chrono::steady_clock;
  const std::vector<std::string> names = Names(count);
  const Clock::time_point began = Clock::now();
  const Choice choose = build(names);
  const Clock::time_point built = Clock::now();
  const std::vector<std::string> placed = PlaceAll(choose);
  const Clock::time_point ended = Clock::now();

  std::vector<size_t> loads;
  loads.reserve(names.size());
  for (const std::string& name : names) {
    loads.push_back(
        static_cast<size_t>(std::count(placed.begin(), placed.end(), name)));
  }
  const double mean = static_cast<double>(kKeys) / static_cast<double>(count);
  double squares = 0;
  for (const size_t load : loads) {
    squares += std::pow(static_cast<double>(load) - mean, 2);
  }
  const double deviation =
      std::sqrt(squares / static_cast<double>(count)) / mean;
  const size_t most = *std::max_element(loads.begin(), loads.end());

  std::vector<std::string> fewer = names;
  fewer.erase(fewer.begin() + static_cast<ptrdiff_t>(count / 2));
  std::vector<std::string> more = Names(count + 1);
  const std::chrono::duration<double, std::micro> build_time = built - began;
  const std::chrono::duration<double, std::micro> choose_time = ended - built;
  out << method << ',' << count << ',' << deviation * 100 << ','
      << static_cast<double>(most) / mean << ','
      << Moved(placed, PlaceAll(build(more))) << ','
      << 100.0 / static_cast<double>(count + 1) << ','
      << Moved(placed, PlaceAll(build(fewer))) << ','
      << 100.0 / static_cast<double>(count) << ',' << build_time.count() << ','
      << choose_time.count() / static_cast<double>(kKeys) << '\n';
}

Builder Slots(size_t slots, size_t weight) {
  return [slots, weight](const std::vector<std::string>& names) -> Choice {
    const SlotTable table(names, slots, weight);
    return [names, table](const std::string& key) {
      return names[table.Choose(key)];
    };
  };
}

Choice Rendezvous(const std::vector<std::string>& names) {
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
    Measure(out, "rendezvous", count, Rendezvous);
    Measure(out, "slots x1 of 65537", count, Slots(kSlots, 1));
    Measure(out, "slots x20 of 65537", count, Slots(kSlots, 20));
    Measure(out, "slots x1 of 1009", count, Slots(1009, 1));
  }
}

}  // namespace amaranth::bench
