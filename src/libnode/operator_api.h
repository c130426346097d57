#ifndef AMARANTHROUTE_LIBNODE_OPERATOR_API_H_
#define AMARANTHROUTE_LIBNODE_OPERATOR_API_H_

// The operators' HTTP interface (see docs/operators/): GET returns state as
// JSON or text, POST changes settings or begins a graceful shutdown. POST needs
// the operators' token if one is configured.

#include "amaranthroute/event.h"
#include "libnode/node_state.h"

namespace amaranth::pvt {

// Answers `request`. A valid change of settings is passed to the settings
// store, which answers it.
void HandleOperatorRequest(const OperatorRequest& request, NodeState& state,
                           Context& context);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_OPERATOR_API_H_
