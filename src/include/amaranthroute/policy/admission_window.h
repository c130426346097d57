#ifndef AMARANTHROUTE_POLICY_ADMISSION_WINDOW_H_
#define AMARANTHROUTE_POLICY_ADMISSION_WINDOW_H_

/// Limits the number of requests of one class that an entry node has in flight.
///
/// Load pattern: requests that make several sequential nested calls to a
/// service that is overloaded for many seconds. A request waits at each of its
/// calls, so a wait of 100 ms that is acceptable for a single call makes a
/// request with eight calls late. A threshold controlled by the wait of a call
/// needs a permanent wait to refuse anything, and it oscillates because it
/// takes effect only after the requests in flight have ended. Admitted requests
/// are then served late or fail half way, and the capacity they used is wasted.
///
/// A window is self-clocking: a request is admitted when another one ends. It
/// shrinks when requests end too late or fail *because they waited* (waits are
/// measured in the queues and reported on the answers), and grows while
/// requests end in time. A request that is slow at a slow server, or fails at a
/// broken one, does not show that too many are in flight.
///
/// Each class has its own window, so a class with a short latency target
/// or many calls is limited first. Classes of higher tiers are admitted as long
/// as their requests end in time, since their calls precede the others in every
/// queue.

#include <cstddef>
#include <random>

#include "amaranthroute/time.h"

namespace amaranth {

/// Targets and step sizes of an AdmissionWindow.
struct AdmissionWindowOptions {
  /// Fraction of the latency target after which a request counts as late. The
  /// rest covers the variance of a call chain's latency.
  double late_fraction = 0.8;
  /// Minimum wait, as a fraction of the latency target, for a late or failed
  /// request to count as overload. Admitting fewer requests does not shorten a
  /// long service time. CanShrink() also requires that recent requests spent at
  /// least this fraction of their latency waiting.
  double min_wait_fraction = 0.2;
  /// Factor on the window for one such request. A step takes effect only after
  /// the latency of a whole request; with smaller steps a surge of several
  /// times the capacity is over before the window has converged.
  double shrink_factor = 0.5;
  /// Growth for each request that ends in time, up to the limit before the last
  /// shrink. The window recovers from half of that limit in two round trips.
  double growth_per_request = 0.5;
  /// Growth beyond that limit, in requests per full window of requests that end
  /// in time.
  double probe_growth = 0.5;
  /// Lower bound of the window. Some requests must be admitted for a recovery
  /// to be detected.
  double min_limit = 1.0;
};

/// Result of a request, as measured at its entry node.
struct EndedRequest {
  Duration latency{0};  ///< from its arrival at the entry node to its end
  Duration waited{0};   ///< part spent in queues, nested calls included
  bool served = false;  ///< false: failed here or downstream

  friend bool operator==(const EndedRequest& a, const EndedRequest& b) {
    return a.latency == b.latency && a.waited == b.waited &&
           a.served == b.served;
  }
  friend bool operator!=(const EndedRequest& a, const EndedRequest& b) {
    return !(a == b);
  }
};

/// The window of one class at one entry node. Unlimited until Shrink() is
/// called, and again once the limit is far above the requests in flight.
class AdmissionWindow {
 public:
  explicit AdmissionWindow(AdmissionWindowOptions options = {});

  /// Returns whether one more request may be admitted. A fractional place is
  /// granted at random: with two in flight a window of 2.4 admits a third with
  /// probability 0.4. With 64 entry nodes whole numbers would be too coarse.
  bool HasRoom(std::mt19937_64& random) const;
  /// Records that a request was admitted.
  void OnBegin();
  /// Records the end of an admitted request and grows the window if the request
  /// was in time. `target` is the latency target of its class; with 0 (not set)
  /// the window does not change. Returns true if the request was late or failed
  /// because it waited. The caller must then call Shrink() on this window or on
  /// one of a lower tier.
  bool OnEnd(const EndedRequest& ended, Duration target);
  /// Records the end of an admitted request whose result says nothing about the
  /// load: its caller left, or it was never sent.
  void OnAbandoned();

  /// Shrinks the window. `latency` is the latency of the late request; further
  /// calls are ignored for that long, so that requests in flight together
  /// shrink the window only once.
  void Shrink(Duration latency, TimePoint now);

  /// Returns whether shrinking this window can reduce the load: requests are in
  /// flight, and recent ones spent a considerable part of their latency
  /// waiting.
  bool CanShrink() const;
  size_t in_flight() const { return in_flight_; }
  /// Returns the limit; 0 while there is none.
  double limit() const { return limited_ ? limit_ : 0; }

 private:
  void UpdateWaitShare(const EndedRequest& ended);
  bool IsOverload(const EndedRequest& ended, Duration target) const;
  void Grow(double in_flight);

  AdmissionWindowOptions options_;
  size_t in_flight_ = 0;
  double wait_share_ = 0;  // of the latency, exponential moving average
  bool limited_ = false;
  double limit_ = 0;
  double limit_before_shrink_ = 0;
  TimePoint next_shrink_{};
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_ADMISSION_WINDOW_H_
