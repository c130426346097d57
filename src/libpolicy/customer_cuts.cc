#include "amaranthroute/policy/customer_cuts.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "amaranthroute/policy/rank_demand.h"

namespace amaranth {

double CustomerCuts::Freshness(Duration age) {
  if (age <= kFadeDelay) return 1;
  const double faded = static_cast<double>((age - kFadeDelay).count()) /
                       static_cast<double>(kFadeTime.count());
  return std::max(0.0, 1 - faded);
}

void CustomerCuts::OnReport(const std::string& service,
                            const std::string& customer, double cut,
                            double share, TimePoint now) {
  if (cut <= 0) return;
  DropFaded(now);
  const bool is_known = divided_.count(service) > 0;
  if (!is_known && divided_.size() >= kMaxCustomers) return;
  divided_[service] = now;
  const double reported = CutPosition(cut) + 1 - share;
  const Key key(service, customer);
  const auto found = reports_.find(key);
  if (found == reports_.end()) {
    if (reports_.size() < kMaxCustomers) reports_[key] = {reported, now};
    return;
  }
  Report& report = found->second;
  const double elapsed = static_cast<double>((now - report.updated).count()) /
                         static_cast<double>(kAveragingTime.count());
  report.cut += (1 - std::exp(-elapsed)) * (reported - report.cut);
  report.updated = now;
}

void CustomerCuts::DropFaded(TimePoint now) {
  if (now < next_drop_) return;
  next_drop_ = now + kFadeTime;
  for (auto it = reports_.begin(); it != reports_.end();) {
    const bool faded = Freshness(now - it->second.updated) <= 0;
    it = faded ? reports_.erase(it) : std::next(it);
  }
  for (auto it = divided_.begin(); it != divided_.end();) {
    const bool faded = Freshness(now - it->second) <= 0;
    it = faded ? divided_.erase(it) : std::next(it);
  }
}

bool CustomerCuts::IsDivided(const std::string& service, TimePoint now) const {
  const auto found = divided_.find(service);
  return found != divided_.end() && Freshness(now - found->second) > 0;
}

double CustomerCuts::ShareOf(const std::string& service,
                             const std::string& customer, double cut,
                             TimePoint now) const {
  const int position = CutPosition(cut);
  const double common = AdmittedShare(cut, position);
  const double unknown = std::min(1.0, kSmallCustomerFactor * common);
  const auto found = reports_.find({service, customer});
  if (found == reports_.end()) return unknown;
  const double share = std::clamp(position + 1 - found->second.cut, 0.0, 1.0);
  const double freshness = Freshness(now - found->second.updated);
  return freshness * share + (1 - freshness) * unknown;
}

}  // namespace amaranth
