#ifndef AMARANTHROUTE_LIBNODE_OPERATOR_API_H_
#define AMARANTHROUTE_LIBNODE_OPERATOR_API_H_

// The operators' HTTP interface (see docs/operators/): reading state as JSON,
// and changes that need the operators' token.

#include "amaranthroute/event.h"
#include "libnode/node_state.h"

namespace amaranth::pvt {

// Answers the request, or hands a settings change to the store, which answers
// it later.
void HandleOperatorRequest(const OperatorRequest& request, NodeState& state,
                           Context& context);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_OPERATOR_API_H_
