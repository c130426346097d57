#ifndef AMARANTHROUTE_POLICY_LONG_WORK_H_
#define AMARANTHROUTE_POLICY_LONG_WORK_H_

/// Long work among short.
///
/// Load pattern: a few requests that take a thousand times as long (a retreat
/// download, a batch of proofs) among many short ones. Without a share of their
/// own they take one slot after the other and keep them, until short calls wait
/// for a long one to end, though they are nearly all of the requests.

namespace amaranth {

/// The part of a server's slots that long work may hold at once.
class LongWorkShare {
 public:
  /// Half of the slots: short work, being short, needs few.
  explicit LongWorkShare(double share = 0.5);

  /// Whether one more long call may start.
  bool Allows(int long_in_flight, int limit) const;
  /// Slots for long work out of `limit`: at least one, or it would never run;
  /// and all but one at most, unless there is only one.
  int Slots(int limit) const;

 private:
  double share_;
};

}  // namespace amaranth

#endif  // AMARANTHROUTE_POLICY_LONG_WORK_H_
