#include "event_json.h"

#include <optional>
#include <stdexcept>
#include <utility>

#include "amaranthroute/wire.h"
#include "libutil/base64.h"

namespace amaranth::pvt {
namespace {

using Json = nlohmann::json;

// Bodies and encoded messages are bytes and are stored in base64.
std::string BytesFromJson(const Json& text) {
  std::optional<std::string> bytes = DecodeBase64(text.get<std::string>());
  if (!bytes) throw std::invalid_argument("invalid base64");
  return std::move(*bytes);
}

Json ToJson(const std::vector<Header>& headers) {
  Json json = Json::array();
  for (const Header& header : headers) {
    json.push_back({EncodeBase64(header.name), EncodeBase64(header.value)});
  }
  return json;
}

std::vector<Header> HeadersFromJson(const Json& json) {
  std::vector<Header> headers;
  for (const Json& pair : json) {
    headers.push_back({BytesFromJson(pair.at(0)), BytesFromJson(pair.at(1))});
  }
  return headers;
}

Json ToJson(const HttpRequest& request) {
  return {{"method", request.method},
          {"target", EncodeBase64(request.target)},
          {"headers", ToJson(request.headers)},
          {"body", EncodeBase64(request.body.view())}};
}

HttpRequest RequestFromJson(const Json& json) {
  HttpRequest request;
  request.method = json.at("method");
  request.target = BytesFromJson(json.at("target"));
  request.headers = HeadersFromJson(json.at("headers"));
  request.body = Body(BytesFromJson(json.at("body")));
  return request;
}

Json ToJson(const HttpResponse& response) {
  return {{"status", response.status},
          {"headers", ToJson(response.headers)},
          {"body", EncodeBase64(response.body.view())}};
}

HttpResponse ResponseFromJson(const Json& json) {
  HttpResponse response;
  response.status = json.at("status");
  response.headers = HeadersFromJson(json.at("headers"));
  response.body = Body(BytesFromJson(json.at("body")));
  return response;
}

Json ToJson(const Endpoint& endpoint) {
  return {{"ip", endpoint.ip}, {"port", endpoint.port}};
}

Endpoint EndpointFromJson(const Json& json) {
  return {json.at("ip"), json.at("port")};
}

Json ToJson(const ServerNotice& notice) {
  Json json = Json::object();
  if (notice.rate_limit) json["rate_limit"] = *notice.rate_limit;
  if (notice.leaving) json["leaving"] = true;
  return json;
}

ServerNotice NoticeFromJson(const Json& json) {
  ServerNotice notice;
  if (json.contains("rate_limit")) notice.rate_limit = json["rate_limit"];
  notice.leaving = json.value("leaving", false);
  return notice;
}

Json ToJson(const PlatformReply& reply) {
  return {{"status", static_cast<int>(reply.status)},
          {"holders", reply.holders},
          {"version", reply.version},
          {"bytes", EncodeBase64(reply.bytes)},
          {"peers", reply.peers},
          {"more_from", reply.more_from},
          {"retained", reply.retained},
          {"epoch", reply.epoch},
          {"clock_us", reply.clock.time_since_epoch().count()},
          {"document_invalid", reply.is_document_invalid}};
}

PlatformReply PlatformReplyFromJson(const Json& json) {
  PlatformReply reply;
  reply.status = static_cast<PlatformStatus>(json.at("status").get<int>());
  reply.holders = json.at("holders").get<std::vector<std::string>>();
  reply.version = json.at("version");
  reply.bytes = BytesFromJson(json.at("bytes"));
  reply.peers = json.at("peers").get<std::vector<std::string>>();
  reply.more_from = json.value("more_from", std::string());
  reply.retained = json.value("retained", std::vector<std::string>());
  reply.epoch = json.value("epoch", uint64_t{0});
  reply.clock = PlatformTime(Duration(json.value("clock_us", int64_t{0})));
  reply.is_document_invalid = json.value("document_invalid", false);
  return reply;
}

PeerMessage MessageFromJson(const Json& json) {
  Outcome<PeerMessage> message = DecodePeerMessage(BytesFromJson(json));
  if (!message) throw std::invalid_argument(message.error().message);
  return std::move(message.value());
}

GossipMessage GossipFromJson(const Json& json) {
  Outcome<GossipMessage> message = DecodeGossip(BytesFromJson(json));
  if (!message) throw std::invalid_argument(message.error().message);
  return std::move(message.value());
}

struct EventBodyToJson {
  Json operator()(const CallerRequest& e) const {
    return {{"type", "caller-request"},
            {"call", e.call},
            {"from", static_cast<int>(e.from)},
            {"request", ToJson(e.request)}};
  }
  Json operator()(const CallerGone& e) const {
    return {{"type", "caller-gone"}, {"call", e.call}};
  }
  Json operator()(const OperatorRequest& e) const {
    return {{"type", "operator-request"},
            {"call", e.call},
            {"request", ToJson(e.request)}};
  }
  Json operator()(const PeerReceived& e) const {
    return {{"type", "peer-received"},
            {"peer", e.peer.name},
            {"incarnation", e.peer.incarnation},
            {"message", EncodeBase64(EncodePeerMessage(e.message))}};
  }
  Json operator()(const PeerLost& e) const {
    return {{"type", "peer-lost"}, {"peer", e.peer}};
  }
  Json operator()(const PeerSendFailed& e) const {
    return {{"type", "peer-send-failed"},
            {"peer", e.peer},
            {"message", EncodeBase64(EncodePeerMessage(e.message))}};
  }
  Json operator()(const GossipReceived& e) const {
    return {{"type", "gossip-received"},
            {"from", ToJson(e.from)},
            {"message", EncodeBase64(EncodeGossip(e.message))}};
  }
  Json operator()(const ServerReplied& e) const {
    return {{"type", "server-replied"},
            {"dispatch", e.dispatch},
            {"response", ToJson(e.response)}};
  }
  Json operator()(const ServerFailed& e) const {
    Json json = {{"type", "server-failed"},
                 {"dispatch", e.dispatch},
                 {"verdict", static_cast<int>(e.verdict)},
                 {"reason", static_cast<int>(e.reason)}};
    if (e.notice) json["notice"] = ToJson(*e.notice);
    return json;
  }
  Json operator()(const PlatformReplied& e) const {
    return {
        {"type", "platform-replied"}, {"op", e.op}, {"reply", ToJson(e.reply)}};
  }
  Json operator()(const Tick&) const { return {{"type", "tick"}}; }
  Json operator()(const StopRequested&) const {
    return {{"type", "stop-requested"}};
  }
};

}  // namespace

Json EventToJson(const EventBody& body) {
  return std::visit(EventBodyToJson(), body);
}

EventBody EventFromJson(const Json& json) {
  const std::string type = json.at("type");
  if (type == "caller-request") {
    // Logs of earlier versions have no "from" field.
    return CallerRequest{json.at("call"), RequestFromJson(json.at("request")),
                         static_cast<CallerKind>(json.value("from", 0))};
  }
  if (type == "caller-gone") return CallerGone{json.at("call")};
  if (type == "operator-request") {
    return OperatorRequest{json.at("call"),
                           RequestFromJson(json.at("request"))};
  }
  if (type == "peer-received") {
    return PeerReceived{{json.at("peer"), json.at("incarnation")},
                        MessageFromJson(json.at("message"))};
  }
  if (type == "peer-lost") return PeerLost{json.at("peer")};
  if (type == "peer-send-failed") {
    return PeerSendFailed{json.at("peer"), MessageFromJson(json.at("message"))};
  }
  if (type == "gossip-received") {
    return GossipReceived{EndpointFromJson(json.at("from")),
                          GossipFromJson(json.at("message"))};
  }
  if (type == "server-replied") {
    return ServerReplied{json.at("dispatch"),
                         ResponseFromJson(json.at("response"))};
  }
  if (type == "server-failed") {
    ServerFailed failed{json.at("dispatch"),
                        static_cast<Verdict>(json.at("verdict").get<int>()),
                        static_cast<Reason>(json.at("reason").get<int>())};
    if (json.contains("notice")) {
      failed.notice = NoticeFromJson(json["notice"]);
    }
    return failed;
  }
  if (type == "platform-replied") {
    return PlatformReplied{json.at("op"),
                           PlatformReplyFromJson(json.at("reply"))};
  }
  if (type == "tick") return Tick{};
  if (type == "stop-requested") return StopRequested{};
  throw std::invalid_argument("unknown event type " + type);
}

Json IdentityToJson(const NodeIdentity& identity) {
  Json seeds = Json::array();
  for (const Endpoint& seed : identity.seeds) seeds.push_back(ToJson(seed));
  return {{"node", identity.node.name},
          {"incarnation", identity.node.incarnation},
          {"fleet", identity.fleet},
          {"mesh", identity.mesh},
          {"data_centre", identity.data_centre},
          {"region", identity.region},
          {"peer_address", ToJson(identity.peer_address)},
          {"gossip_address", ToJson(identity.gossip_address)},
          {"seeds", std::move(seeds)},
          {"use_platform", identity.use_platform},
          {"random_seed", identity.random_seed},
          {"started_ms", identity.started_ms},
          {"has_operator_token", !identity.operator_token.empty()},
          {"max_body_bytes", identity.max_body_bytes},
          {"max_buffered_bytes", identity.max_buffered_bytes}};
}

NodeIdentity IdentityFromJson(const Json& json) {
  NodeIdentity identity;
  identity.node = {json.at("node"), json.at("incarnation")};
  identity.fleet = json.at("fleet");
  identity.mesh = json.at("mesh");
  identity.data_centre = json.at("data_centre");
  identity.region = json.at("region");
  identity.peer_address = EndpointFromJson(json.at("peer_address"));
  identity.gossip_address = EndpointFromJson(json.at("gossip_address"));
  for (const Json& seed : json.at("seeds")) {
    identity.seeds.push_back(EndpointFromJson(seed));
  }
  identity.use_platform = json.at("use_platform");
  identity.random_seed = json.at("random_seed");
  identity.started_ms = json.value("started_ms", uint64_t{0});
  identity.max_body_bytes = json.at("max_body_bytes");
  identity.max_buffered_bytes = json.at("max_buffered_bytes");
  return identity;
}

}  // namespace amaranth::pvt
