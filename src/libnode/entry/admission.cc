#include "libnode/entry/admission.h"

#include <algorithm>

namespace amaranth::pvt {
namespace {

// Callers choose class names: the tables must not grow with them.
constexpr size_t kMaxClasses = 4096;

}  // namespace

std::string Admission::KeyOf(const Call& call) {
  return call.context.service + "/" + call.context.request_class;
}

void Admission::TakeLevel(Call& call, bool by_cost, TimePoint now) {
  CallContext& about = call.context;
  CallerShares& shares = caller_shares_[{about.service, about.tier}];
  shares.OnArrival(about.caller_key, now);
  about.level = WeightedSheddingLevel(about.tier, about.request_id,
                                      shares.Weight(about.caller_key));
  if (by_cost) about.level = LevelByCost(about.level, MakesCalls(call));
}

void Admission::LearnMakesCalls(const Call& call) {
  if (makes_calls_.size() >= kMaxClasses) return;
  makes_calls_.emplace(call.context.service, call.own_class);
}

bool Admission::MakesCalls(const Call& call) const {
  return makes_calls_.count({call.context.service, call.own_class}) > 0;
}

void Admission::LearnThreshold(const Call& call, uint32_t threshold,
                               TimePoint now) {
  thresholds_.Learn(KeyOf(call), threshold, now);
}

uint32_t Admission::ThresholdFor(const Call& call, TimePoint now) const {
  return thresholds_.ThresholdFor(KeyOf(call), now);
}

bool Admission::IsUnderThreshold(const Call& call, TimePoint now) const {
  return call.context.level < ThresholdFor(call, now);
}

bool Admission::TakePlace(Call& call, std::mt19937_64& random) {
  const std::string key = KeyOf(call);
  if (windows_.size() >= kMaxClasses && windows_.count(key) == 0) return true;
  ClassWindow& own = windows_[key];
  own.tier = call.context.tier;
  if (!own.window.HasRoom(random)) return false;
  own.window.OnBegin();
  call.has_place = true;
  return true;
}

void Admission::EndPlace(Call& call, bool served, Duration target,
                         TimePoint now) {
  call.has_place = false;
  EndedRequest ended;
  ended.latency = now - call.started;
  ended.served = served;
  // A try that was in flight when the deadline came told nothing: its waits are
  // missing here, and such a request does not count as overload.
  ended.waited = call.waited;
  ClassWindow& own = windows_[KeyOf(call)];
  if (!own.window.OnEnd(ended, target)) return;
  GivesWayTo(own).window.Shrink(ended.latency, now);
}

Admission::ClassWindow& Admission::GivesWayTo(ClassWindow& own) {
  ClassWindow* least = &own;
  for (auto& [key, other] : windows_) {
    if (other.tier < least->tier && other.window.CanGiveWay()) least = &other;
  }
  return *least;
}

void Admission::AbandonPlace(Call& call) {
  if (!call.has_place) return;
  call.has_place = false;
  windows_[KeyOf(call)].window.OnAbandoned();
}

double Admission::WindowOf(const Call& call) const {
  const auto found = windows_.find(KeyOf(call));
  return found == windows_.end() ? 0 : found->second.window.limit();
}

}  // namespace amaranth::pvt
