#ifndef AMARANTHROUTE_LIBNODE_ENTRY_ADMISSION_H_
#define AMARANTHROUTE_LIBNODE_ENTRY_ADMISSION_H_

// Which of the requests that enter at this node are let in: by the threshold
// that answers brought up from the services below, and by the window of each
// class.

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
  // Fixes the level of a request at the edge. `by_cost`: in each tier those
  // that make calls of their own go first.
  void TakeLevel(Call& call, bool by_cost, TimePoint now);

  // An answer told whether the backend server made calls for it, and the
  // threshold of the services below.
  void LearnMakesCalls(const Call& call);
  bool MakesCalls(const Call& call) const;
  void LearnThreshold(const Call& call, uint32_t threshold, TimePoint now);
  uint32_t ThresholdFor(const Call& call, TimePoint now) const;
  bool IsUnderThreshold(const Call& call, TimePoint now) const;

  // Takes a place in the window of the request's class; false if it is full.
  bool TakePlace(Call& call, std::mt19937_64& random);
  // A request that has a place has ended: `target` is its class's latency
  // target.
  void EndPlace(Call& call, bool served, Duration target, TimePoint now);
  // It has ended without news: its caller left.
  void AbandonPlace(Call& call);
  // Limit of the class's window; 0 for none.
  double WindowOf(const Call& call) const;

 private:
  struct ClassWindow {
    AdmissionWindow window;
    Tier tier = Tier::kStandard;
  };

  // The window that gives way to the class of `own`, which waits too long: the
  // least important one whose requests lately waited, too, for the same
  // services as far as this node can see; else `own` itself.
  ClassWindow& GivesWayTo(ClassWindow& own);

  // Callers choose class names, but only known services get here.
  static std::string KeyOf(const Call& call);

  DownstreamThresholds thresholds_;
  // By service and tier.
  std::map<std::pair<std::string, Tier>, CallerShares> caller_shares_;
  // Service and class of calls whose servers make calls of their own.
  std::set<std::pair<std::string, std::string>> makes_calls_;
  std::map<std::string, ClassWindow> windows_;  // by KeyOf
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_ENTRY_ADMISSION_H_
