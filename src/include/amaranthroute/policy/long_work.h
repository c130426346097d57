#ifndef AMARANTHROUTE_POLICY_LONG_WORK_H_
#define AMARANTHROUTE_POLICY_LONG_WORK_H_

/// Limits the slots held by long work beside short calls.
///
/// Load pattern: a few requests that take a thousand times as long (a retreat
/// download, a batch of proofs) beside many short ones. Without a limit they
/// occupy one slot after the other until all short calls, nearly all of the
/// requests, wait for a long one to end.

namespace amaranth {

/// The share of a server's slots that long work may hold at once.
class LongWorkShare {
 public:
  /// `share` is a fraction of the slots. The default is half: short calls need
  /// few slots.
  explicit LongWorkShare(double share = 0.5);

  /// Returns whether one more long call may start with `long_in_flight`
  /// running.
  bool Allows(int long_in_flight, int limit) const;
  /// Returns the slots for long work out of `limit`: at least one, since it
  /// would otherwise never run, and at most all but one unless there is only
  /// one.
  int Slots(int limit) const;

 private:
  double share_;
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_LONG_WORK_H_
