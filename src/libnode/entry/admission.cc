#include "libnode/entry/admission.h"

#include <algorithm>

namespace amaranth::pvt {
namespace {

// Callers choose class names: the tables must not grow without bound.
constexpr size_t kMaxClasses = 4096;

}  // namespace

std::string Admission::ClassKey(const Call& call) {
  return call.context.service + "/" + call.context.request_class;
}

void Admission::AssignLevel(Call& call, bool by_cost, TimePoint now) {
  CallContext& context = call.context;
  CallerShares& shares = caller_shares_[{context.service, context.tier}];
  shares.OnArrival(context.caller_key, now);
  context.level = WeightedSheddingLevel(context.tier, context.request_id,
                                        shares.Weight(context.caller_key));
  if (by_cost) context.level = LevelByCost(context.level, HasNestedCalls(call));
  if (!call.customer.empty()) {
    context.level = LevelByClass(context.level, context.class_tier);
  }
}

void Admission::RecordNestedCalls(const Call& call) {
  if (has_nested_calls_.size() >= kMaxClasses) return;
  has_nested_calls_.emplace(call.context.service, call.call_class);
}

bool Admission::HasNestedCalls(const Call& call) const {
  return has_nested_calls_.count({call.context.service, call.call_class}) > 0;
}

void Admission::RecordThreshold(const Call& call, uint32_t threshold,
                                TimePoint now) {
  thresholds_.Learn(ClassKey(call), threshold, now);
}

uint32_t Admission::ThresholdFor(const Call& call, TimePoint now) const {
  return thresholds_.ThresholdFor(ClassKey(call), now);
}

bool Admission::IsBelowThreshold(const Call& call, TimePoint now) const {
  return call.context.level < ThresholdFor(call, now);
}

bool Admission::TryEnterWindow(Call& call, std::mt19937_64& random) {
  const std::string key = ClassKey(call);
  if (windows_.size() >= kMaxClasses && windows_.count(key) == 0) return true;
  ClassWindow& own = windows_[key];
  own.tier = call.context.class_tier;
  if (!call.reservable.ReturnedInTime() && !own.window.HasRoom(random)) {
    return false;
  }
  own.window.OnBegin();
  call.in_window = true;
  return true;
}

bool Admission::CompleteInWindow(Call& call, bool served, Duration target,
                                 TimePoint now) {
  call.in_window = false;
  EndedRequest ended;
  ended.latency = now - call.started;
  ended.served = served;
  // An attempt that is still in flight at the deadline has not reported its
  // waiting time. Without that time such a request counts as overload only if
  // its earlier attempts waited long enough.
  ended.waited = call.waited;
  ClassWindow& own = windows_[ClassKey(call)];
  if (!own.window.OnEnd(ended, target)) return false;
  WindowToShrink(own).window.Shrink(ended.latency, now);
  return true;
}

Admission::ClassWindow& Admission::WindowToShrink(ClassWindow& own) {
  ClassWindow* lowest = &own;
  for (auto& [key, other] : windows_) {
    if (other.tier < lowest->tier && other.window.CanShrink()) lowest = &other;
  }
  return *lowest;
}

void Admission::AbandonInWindow(Call& call) {
  if (!call.in_window) return;
  call.in_window = false;
  windows_[ClassKey(call)].window.OnAbandoned();
}

double Admission::WindowLimit(const Call& call) const {
  const auto found = windows_.find(ClassKey(call));
  return found == windows_.end() ? 0 : found->second.window.limit();
}

}  // namespace amaranth::pvt
