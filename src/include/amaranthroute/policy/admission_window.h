#ifndef AMARANTHROUTE_POLICY_ADMISSION_WINDOW_H_
#define AMARANTHROUTE_POLICY_ADMISSION_WINDOW_H_

/// How many requests of one class an entry node has under way.
///
/// Load pattern: requests that make several calls one after the other at a
/// service that is short of capacity for many seconds. Each waits at every
/// call, so a wait of 100 ms that is no overload for a single call makes a
/// request with eight of them late. A threshold that is steered by the wait of
/// a call needs a standing wait to turn anything away, and swings, as it is
/// felt only when the requests under way have ended: what is let in is served
/// late, fails half way, and has used the capacity for nothing.
///
/// A window clocks itself: a request is let in when another ends. It shrinks
/// when requests end too late, or fail, *because they waited* (the waits are
/// measured in the queues and come up with the answers), and grows while they
/// end in time. A request that is slow at a slow server, or fails at a broken
/// one, says nothing about how many there should be.
///
/// Each class has its own window, so one with little time or many calls gives
/// way first, and what is more important is let in as long as it ends in time:
/// its calls stand before the others' in every queue.

#include <cstddef>
#include <random>

#include "amaranthroute/time.h"

namespace amaranth {

/// Targets and steps of an AdmissionWindow.
struct AdmissionWindowOptions {
  /// Part of its latency target by which a request should have ended. The rest
  /// covers the spread of a call chain's time around its mean.
  double goal = 0.8;
  /// A request that ended after that is a sign of overload only if it waited
  /// for at least this part of its target: work that is long by itself is not
  /// made shorter by letting in less.
  double least_wait = 0.2;
  /// What one such request leaves of the window. Each step takes a request's
  /// whole latency to be felt: in small ones a surge of several times the
  /// capacity is over before the window has found its size.
  double shrink = 0.5;
  /// A request that ends in time adds this, up to the size at which the window
  /// last shrank: it is back there from a half of it after two round trips.
  double grow = 0.5;
  /// ... and this many requests over one window beyond that size.
  double probe = 0.5;
  /// Never smaller: some requests must flow to tell of the recovery.
  double smallest = 1.0;
};

/// What an entry node learned from a request that has ended.
struct EndedRequest {
  Duration latency{0};  ///< from its arrival here to its end
  Duration waited{0};   ///< of that, in queues for a slot, its calls' too
  bool served = false;  ///< false: failed, here or further down

  friend bool operator==(const EndedRequest& a, const EndedRequest& b) {
    return a.latency == b.latency && a.waited == b.waited &&
           a.served == b.served;
  }
  friend bool operator!=(const EndedRequest& a, const EndedRequest& b) {
    return !(a == b);
  }
};

/// The window of one class at one entry node. Unlimited until a request ends
/// late for waiting.
class AdmissionWindow {
 public:
  explicit AdmissionWindow(AdmissionWindowOptions options = {});

  /// Whether one more may be let in. A window of 2.4 lets in a third beside two
  /// with a chance of 0.4: at 64 entry nodes whole numbers would be coarse.
  bool HasRoom(std::mt19937_64& random) const;
  /// A request was let in.
  void OnBegin();
  /// It has ended; `target` is its class's latency target (0: none is set, and
  /// nothing is learned). True if it was late, or failed, for waiting: then the
  /// window that is to give way is shrunk, this one or a less important one.
  bool OnEnd(const EndedRequest& ended, Duration target);
  /// It has ended and tells nothing: its caller left, or it never went out.
  void OnAbandoned();

  /// Lets in fewer, once for all that were under way together: `latency` is
  /// what the late request took.
  void Shrink(Duration latency, TimePoint now);

  /// Whether letting in fewer of these can help: some are under way, and lately
  /// a good part of their time was waiting.
  bool CanGiveWay() const;
  size_t under_way() const { return under_way_; }
  /// The limit; 0 while there is none.
  double limit() const { return limited_ ? limit_ : 0; }

 private:
  void LearnWaitShare(const EndedRequest& ended);
  bool IsOverload(const EndedRequest& ended, Duration target) const;
  void Grow(double under_way);

  AdmissionWindowOptions options_;
  size_t under_way_ = 0;
  double wait_share_ = 0;  // of a request's latency, moving average
  bool limited_ = false;
  double limit_ = 0;
  double last_size_ = 0;  // the window before it last shrank
  TimePoint next_shrink_{};
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_ADMISSION_WINDOW_H_
