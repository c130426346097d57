#include "libnode/customers/quota_view.h"

#include <algorithm>
#include <utility>

#include "amaranthroute/hash.h"

namespace amaranth::pvt {
namespace {

constexpr Duration kReadInterval = std::chrono::milliseconds(200);

// A node that does not respond may only be cut off and still serve its callers
// from its own part, so that part stays reserved for this long. A node whose
// whole data centre does not respond keeps its part until it is forgotten.
constexpr Duration kReservedTime = std::chrono::seconds(20);

Quota PartOf(const Quota& quota, double share) {
  return {quota.rate * share, quota.burst * share};
}

}  // namespace

bool QuotaView::Refresh(TimePoint now) {
  const bool first = up_.empty();
  if (!first && now - read_at_ < kReadInterval) return false;
  read_at_ = now;
  NodesByDataCentre up;
  std::map<std::string, size_t> reserved;
  std::map<std::string, size_t> down;
  for (const auto& [name, member] : membership_.members()) {
    if (IsUp(member)) {
      up[member.data_centre].push_back(name);
    } else if (member.state == MemberState::kDead) {
      ++down[member.data_centre];
      const std::optional<TimePoint> since = membership_.DownSince(name);
      if (!since || now - *since < kReservedTime) {
        ++reserved[member.data_centre];
      }
    }
  }
  may_serve_ = 0;
  for (const auto& [data_centre, nodes] : up) may_serve_ += nodes.size();
  for (const auto& [data_centre, count] : down) {
    const bool none_up = up.count(data_centre) == 0;
    may_serve_ += none_up ? count : reserved[data_centre];
  }
  may_serve_ = std::max<size_t>(1, may_serve_);
  const bool changed = !first && up[data_centre_] != Local();
  if (changed) changed_at_ = now;
  if (first || changed) homes_.clear();
  up_ = std::move(up);
  return changed;
}

const std::vector<std::string>& QuotaView::Local() const {
  static const std::vector<std::string> none;
  const auto found = up_.find(data_centre_);
  return found == up_.end() ? none : found->second;
}

std::string QuotaView::HomeOf(const std::string& customer) {
  const std::vector<std::string>& nodes = HomeAndDeputyOf(customer);
  return nodes.empty() ? std::string() : nodes.front();
}

const std::vector<std::string>& QuotaView::HomeAndDeputyOf(
    const std::string& customer) {
  const auto [entry, is_new] = homes_.try_emplace(customer);
  if (is_new) entry->second = RendezvousChoose(Local(), customer, 2);
  return entry->second;
}

std::vector<std::string> QuotaView::OtherHomesOf(
    const std::string& customer) const {
  std::vector<std::string> homes;
  for (const auto& [data_centre, nodes] : up_) {
    if (data_centre == data_centre_) continue;
    homes.push_back(RendezvousChoose(nodes, customer, 1).front());
  }
  return homes;
}

Quota QuotaView::PartOfHome(const Quota& quota) const {
  return PartOf(quota, static_cast<double>(Local().size()) /
                           static_cast<double>(may_serve_));
}

Quota QuotaView::PartOfNode(const Quota& quota) const {
  return PartOf(quota, 1.0 / static_cast<double>(may_serve_));
}

}  // namespace amaranth::pvt
