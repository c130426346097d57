#include "libnode/bottleneck/failure_cause.h"

namespace amaranth::pvt {

FailureCause CauseOf(const Failure& failure) {
  switch (failure.reason) {
    case Reason::kShedAtEntry:
    case Reason::kShedAtServer:
    case Reason::kQueueFull:
      return FailureCause::kNoRoom;
    case Reason::kDeadline:
      // A call that was not run by its deadline waited for a slot until then.
      return failure.verdict == Verdict::kNotRun ? FailureCause::kNoRoom
                                                 : FailureCause::kBroken;
    case Reason::kServerRefused:
      return FailureCause::kRefusing;
    case Reason::kUnknownService:
    case Reason::kNoServer:
    case Reason::kNoRoute:
    case Reason::kDraining:
    case Reason::kConnectFailed:
    case Reason::kHomeUnreachable:
      return FailureCause::kUnreachable;
    case Reason::kConnectionLost:
    case Reason::kServerError:
    case Reason::kQuarantined:
      return FailureCause::kBroken;
    case Reason::kNone:
    case Reason::kBadRequest:
    case Reason::kCancelled:
    case Reason::kRetriesSpent:
    case Reason::kPlatformDown:
    case Reason::kClaimedElsewhere:
    case Reason::kTooLarge:
    case Reason::kNotReady:
    case Reason::kUnknownKey:
    case Reason::kOverQuota:
      break;
  }
  return FailureCause::kNone;
}

}  // namespace amaranth::pvt
