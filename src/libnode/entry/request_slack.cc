#include "libnode/entry/request_slack.h"

#include <algorithm>
#include <limits>

namespace amaranth::pvt {

void RequestSlack::OnServed(const std::string& class_key, Duration busy) {
  if (busy_.size() >= kMaxClasses && busy_.count(class_key) == 0) return;
  busy_[class_key].Add(std::max(busy, Duration(0)));
}

void RequestSlack::Assign(const std::string& class_key,
                          const EffectiveSettings& settings, Call& call) const {
  const auto found = busy_.find(class_key);
  if (settings.queue_order != QueueOrder::kSlack || found == busy_.end()) {
    return;
  }
  const Duration busy = found->second.value();
  const Duration limit = call.deadline - call.started;
  const Duration target = settings.target_p99 > Duration::zero()
                              ? std::min(settings.target_p99, limit)
                              : limit;
  call.context.target_slack = target - busy;
  // A request that needs more than its whole deadline would be dropped at its
  // first queue. The typical time may be wrong, and only served requests
  // correct it.
  if (limit >= busy) call.context.deadline_slack = limit - busy;
}

void InheritSlack(const Hop& hop, TimePoint now, CallContext& nested) {
  const CallContext& parent = hop.context;
  if (!parent.target_slack) return;
  nested.target_slack = parent.target_slack;
  nested.deadline_slack = parent.deadline_slack;
  ReduceSlack(hop.WaitTime(now), nested);
}

void ReduceSlack(Duration elapsed, CallContext& call) {
  if (call.target_slack) *call.target_slack -= elapsed;
  if (call.deadline_slack) *call.deadline_slack -= elapsed;
}

}  // namespace amaranth::pvt
