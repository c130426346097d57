#ifndef AMARANTHROUTE_LIBNODE_ENTRY_TYPICAL_SERVICE_TIMES_H_
#define AMARANTHROUTE_LIBNODE_ENTRY_TYPICAL_SERVICE_TIMES_H_

// Keeps the typical service time of each kind of call (service, class and
// depth) from the answers that this entry node has received. It is sent with
// every call, so that the serving node can tell whether its server is slower
// than other servers of the service.

#include <cstdint>
#include <map>
#include <string>

#include "amaranthroute/messages.h"
#include "libnode/shared/moving_median.h"

namespace amaranth::pvt {

class TypicalServiceTimes {
 public:
  void Record(const CallContext& call, Duration service_time) {
    ByClass& of_service = times_[call.service];
    const bool known = of_service.count(call.request_class) > 0;
    // Callers choose class names: the table must not grow without bound.
    if (!known && of_service.size() >= kMaxClasses) return;
    of_service[call.request_class][call.depth].Add(service_time);
  }

  // Returns 0 if no call of this kind has been answered.
  Duration Of(const CallContext& call) const {
    const auto service = times_.find(call.service);
    if (service == times_.end()) return Duration(0);
    const auto of_class = service->second.find(call.request_class);
    if (of_class == service->second.end()) return Duration(0);
    const auto at_depth = of_class->second.find(call.depth);
    if (at_depth == of_class->second.end()) return Duration(0);
    return at_depth->second.value();
  }

 private:
  static constexpr size_t kMaxClasses = 256;
  using ByDepth = std::map<uint8_t, MovingMedian>;
  using ByClass = std::map<std::string, ByDepth>;
  std::map<std::string, ByClass> times_;  // by service
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_ENTRY_TYPICAL_SERVICE_TIMES_H_
