#ifndef AMARANTHROUTE_LIBNODE_BOTTLENECK_FAILURE_CAUSE_H_
#define AMARANTHROUTE_LIBNODE_BOTTLENECK_FAILURE_CAUSE_H_

// Classifies why a call failed, for the nodes between it and the entry node of
// its request.

#include "amaranthroute/messages.h"
#include "amaranthroute/verdict.h"

namespace amaranth::pvt {

// Returns the cause of a failure; kNone if it was not caused by the called
// service.
FailureCause CauseOf(const Failure& failure);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_BOTTLENECK_FAILURE_CAUSE_H_
