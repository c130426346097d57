#include "amaranthroute/effect.h"

#include "libutil/fields.h"
#include "libutil/print.h"

namespace amaranth {

bool operator==(const AnswerCaller& a, const AnswerCaller& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const SendPeer& a, const SendPeer& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const ClosePeer& a, const ClosePeer& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const SendGossip& a, const SendGossip& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const SendServer& a, const SendServer& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const CancelServer& a, const CancelServer& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const DropIdleConnections& a, const DropIdleConnections& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const SendPlatform& a, const SendPlatform& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const WakeAt& a, const WakeAt& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const WriteLog& a, const WriteLog& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const ExitProcess& a, const ExitProcess& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

std::ostream& operator<<(std::ostream& out, const Effect& value) {
  pvt::Print(out, value);
  return out;
}

}  // namespace amaranth
