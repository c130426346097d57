#ifndef AMARANTHROUTE_LIBNODE_ENTRY_ADMISSION_H_
#define AMARANTHROUTE_LIBNODE_ENTRY_ADMISSION_H_

// Decides which of the requests that enter at this node are admitted, by the
// shedding thresholds that answers reported for downstream services and by the
// admission window of each class.

#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "amaranthroute/policy/admission_window.h"
#include "amaranthroute/policy/caller_shares.h"
#include "amaranthroute/policy/shedder.h"
#include "libnode/entry/call.h"

namespace amaranth::pvt {

class Admission {
 public:
  // Returns the table key of a call's service and class. Callers choose class
  // names, but only calls of known services get here.
  static std::string ClassKey(const Call& call);

  // Sets the shedding level of a request at its entry node. With `by_cost`,
  // requests that make nested calls are shed first within each tier.
  void AssignLevel(Call& call, bool by_cost, TimePoint now);

  // Records that the backend server made nested calls for a call like this.
  void RecordNestedCalls(const Call& call);
  bool HasNestedCalls(const Call& call) const;
  // Records the shedding threshold that an answer reported for downstream
  // services.
  void RecordThreshold(const Call& call, uint32_t threshold, TimePoint now);
  uint32_t ThresholdFor(const Call& call, TimePoint now) const;
  bool IsBelowThreshold(const Call& call, TimePoint now) const;

  // Counts the request in the window of its class; false if the window is full.
  // Classes beyond the limit of the table have no window: their requests are
  // admitted. A request with a reservation enters a full window, too; new ones
  // then wait until the window has room again.
  bool TryEnterWindow(Call& call, std::mt19937_64& random);
  // Takes a completed request out of its window and adjusts the limits.
  // `target` is the latency target of its class. Returns whether the request
  // was late or failed because it waited, so that a window shrinks.
  bool CompleteInWindow(Call& call, bool served, Duration target,
                        TimePoint now);
  // Takes a request out of its window without adjusting any limit, for example
  // after its caller disconnected.
  void AbandonInWindow(Call& call);
  // Returns the limit of the class's window; 0 if it is unlimited.
  double WindowLimit(const Call& call) const;

 private:
  struct ClassWindow {
    AdmissionWindow window;
    Tier tier = Tier::kStandard;
  };

  // Returns the window to shrink when requests in the window `own` wait too
  // long. Of the windows of less important tiers whose requests have lately
  // waited, too (for the same services, as far as this node can tell), this is
  // one of the least important tier; if there is none, `own` itself.
  ClassWindow& WindowToShrink(ClassWindow& own);

  DownstreamThresholds thresholds_;
  // By service and tier.
  std::map<std::pair<std::string, Tier>, CallerShares> caller_shares_;
  // Service and class of the calls for which servers make nested calls.
  std::set<std::pair<std::string, std::string>> has_nested_calls_;
  std::map<std::string, ClassWindow> windows_;  // by ClassKey
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_ENTRY_ADMISSION_H_
