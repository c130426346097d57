#ifndef AMARANTHROUTE_LIBNODE_CUSTOMERS_QUOTA_VIEW_H_
#define AMARANTHROUTE_LIBNODE_CUSTOMERS_QUOTA_VIEW_H_

// Who gives out customers' quotas, as far as this node can tell: the home of
// each customer in each data centre, and the part of all quotas that belongs to
// the nodes of this data centre.

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "amaranthroute/customers.h"
#include "libnode/membership/membership.h"

namespace amaranth::pvt {

class QuotaView {
 public:
  QuotaView(const Membership& membership, std::string data_centre)
      : membership_(membership), data_centre_(std::move(data_centre)) {}

  void Start(TimePoint now) { started_at_ = changed_at_ = now; }
  // Reads the members again if the last reading is too old. Returns true if
  // the nodes that are up in this data centre, and so the homes, have changed.
  bool Refresh(TimePoint now);

  // Returns the home of the customer in this data centre.
  std::string HomeOf(const std::string& customer);
  // Returns the home and the node that stands in for it. Valid until the next
  // Refresh.
  const std::vector<std::string>& HomeAndDeputyOf(const std::string& customer);
  // Returns its homes in the other data centres.
  std::vector<std::string> OtherHomesOf(const std::string& customer) const;
  // Returns the part of the quota that a home in this data centre gives out.
  Quota PartOfHome(const Quota& quota) const;
  // Returns the part that one node may give out without a home.
  Quota PartOfNode(const Quota& quota) const;
  // Returns when the homes last changed.
  TimePoint changed_at() const { return changed_at_; }
  TimePoint started_at() const { return started_at_; }

 private:
  using NodesByDataCentre = std::map<std::string, std::vector<std::string>>;

  const std::vector<std::string>& Local() const;

  const Membership& membership_;
  std::string data_centre_;
  NodesByDataCentre up_;
  // Home and deputy by customer, since up_ last changed: each request of a
  // customer with a quota needs them.
  std::unordered_map<std::string, std::vector<std::string>> homes_;
  // Nodes that may be serving callers, in all data centres.
  size_t may_serve_ = 1;
  TimePoint read_at_{};
  TimePoint started_at_{};  // start of this node
  TimePoint changed_at_{};
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_CUSTOMERS_QUOTA_VIEW_H_
