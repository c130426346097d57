#ifndef AMARANTHROUTE_LIBNODE_ENTRY_REQUEST_SLACK_H_
#define AMARANTHROUTE_LIBNODE_ENTRY_REQUEST_SLACK_H_

// Computes the slack of requests at their entry node: the time until their
// latency target or deadline, less the typical time of their class without
// waits.

#include <map>
#include <string>

#include "amaranthroute/messages.h"
#include "amaranthroute/settings.h"
#include "libnode/entry/call.h"
#include "libnode/serving/hop.h"
#include "libnode/shared/moving_median.h"

namespace amaranth::pvt {

class RequestSlack {
 public:
  // Records a served request of a class, which took `busy` without its waits.
  void OnServed(const std::string& class_key, Duration busy);

  // Sets the slack of a request that begins, if its class is known.
  void Assign(const std::string& class_key, const EffectiveSettings& settings,
              Call& call) const;

 private:
  // Callers choose class names: the table must not grow without bound.
  static constexpr size_t kMaxClasses = 1024;
  std::map<std::string, MovingMedian> busy_;  // by class
};

// Sets the slack of a nested call of `hop` that is made at `now`.
void InheritSlack(const Hop& hop, TimePoint now, CallContext& nested);

// Reduces the slack of a call that is sent `elapsed` after its start, because
// it waited at this node or an earlier attempt failed.
void ReduceSlack(Duration elapsed, CallContext& call);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_ENTRY_REQUEST_SLACK_H_
