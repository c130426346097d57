#include "amaranthroute/reducer.h"
#include "libnode/node_state.h"

namespace amaranth {

Node::Node(NodeIdentity identity)
    : state_(std::make_unique<pvt::NodeState>(std::move(identity))) {}
Node::Node(Node&&) noexcept = default;
Node& Node::operator=(Node&&) noexcept = default;
Node::~Node() = default;

Effects Node::Start(TimePoint now) { return state_->Start(now); }
Effects Node::Reduce(const Event& event) { return state_->Reduce(event); }
const NodeIdentity& Node::identity() const { return state_->identity; }
std::string Node::MetricsText() const { return state_->stats.PrometheusText(); }
bool Node::ready() const { return state_->ready(); }

}  // namespace amaranth
