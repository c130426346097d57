#include "amaranthroute/event.h"

#include "libutil/fields.h"
#include "libutil/print.h"

namespace amaranth {

bool operator==(const CallerRequest& a, const CallerRequest& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const CallerGone& a, const CallerGone& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const OperatorRequest& a, const OperatorRequest& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const PeerReceived& a, const PeerReceived& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const PeerLost& a, const PeerLost& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const PeerSendFailed& a, const PeerSendFailed& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const GossipReceived& a, const GossipReceived& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const ServerNotice& a, const ServerNotice& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const ServerReplied& a, const ServerReplied& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const ServerFailed& a, const ServerFailed& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const PlatformReplied& a, const PlatformReplied& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const Tick& a, const Tick& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const StopRequested& a, const StopRequested& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const Event& a, const Event& b) {
  return a.now == b.now && a.body == b.body;
}

std::ostream& operator<<(std::ostream& out, const Event& event) {
  out << "@" << ToMicros(event.now) << " ";
  pvt::Print(out, event.body);
  return out;
}

}  // namespace amaranth
