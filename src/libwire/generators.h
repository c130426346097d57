#ifndef AMARANTHROUTE_LIBWIRE_GENERATORS_H_
#define AMARANTHROUTE_LIBWIRE_GENERATORS_H_

// rapidcheck generators for every message, for tests only. CheckPeerMessage
// accepts every generated peer message.

#include <rapidcheck.h>

#include "amaranthroute/wire.h"

namespace rc {

template <>
struct Arbitrary<amaranth::PeerMessage> {
  static Gen<amaranth::PeerMessage> arbitrary();
};

template <>
struct Arbitrary<amaranth::GossipMessage> {
  static Gen<amaranth::GossipMessage> arbitrary();
};

}  // namespace rc

#endif  // AMARANTHROUTE_LIBWIRE_GENERATORS_H_
