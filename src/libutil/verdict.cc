#include "amaranthroute/verdict.h"

namespace amaranth {

std::string_view ToString(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return "not-run";
    case Verdict::kMayHaveRun:
      return "may-have-run";
    case Verdict::kRan:
      return "ran";
  }
  return "may-have-run";
}

std::string_view ToString(Reason reason) {
  switch (reason) {
    case Reason::kNone:
      return "none";
    case Reason::kBadRequest:
      return "bad-request";
    case Reason::kNoRoute:
      return "no-route";
    case Reason::kServerRefused:
      return "server-refused";
    case Reason::kUnknownKey:
      return "unknown-key";
    case Reason::kOverQuota:
      return "over-quota";
    case Reason::kUnknownService:
      return "unknown-service";
    case Reason::kNoServer:
      return "no-server";
    case Reason::kShedAtEntry:
      return "shed-at-entry";
    case Reason::kShedAtServer:
      return "shed-at-server";
    case Reason::kQueueFull:
      return "queue-full";
    case Reason::kDeadline:
      return "deadline";
    case Reason::kCancelled:
      return "cancelled";
    case Reason::kDraining:
      return "draining";
    case Reason::kConnectFailed:
      return "connect-failed";
    case Reason::kConnectionLost:
      return "connection-lost";
    case Reason::kServerError:
      return "server-error";
    case Reason::kRetriesSpent:
      return "retries-spent";
    case Reason::kQuarantined:
      return "quarantined";
    case Reason::kPlatformDown:
      return "platform-down";
    case Reason::kHomeUnreachable:
      return "home-unreachable";
    case Reason::kClaimedElsewhere:
      return "claimed-elsewhere";
    case Reason::kTooLarge:
      return "too-large";
    case Reason::kNotReady:
      return "not-ready";
  }
  return "none";
}

std::ostream& operator<<(std::ostream& out, Verdict verdict) {
  return out << ToString(verdict);
}

std::ostream& operator<<(std::ostream& out, Reason reason) {
  return out << ToString(reason);
}

std::ostream& operator<<(std::ostream& out, const Failure& failure) {
  return out << "{verdict:" << failure.verdict << " reason:" << failure.reason
             << " retry_after_ms:" << ToMillis(failure.retry_after)
             << " final:" << failure.final << " detail:\"" << failure.detail
             << "\"}";
}

}  // namespace amaranth
