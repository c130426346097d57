#ifndef AMARANTHROUTE_LIBNODE_FAKES_SETTINGS_FLEET_H_
#define AMARANTHROUTE_LIBNODE_FAKES_SETTINGS_FLEET_H_

// Test fixture: several SettingsStore objects, an in-memory platform and the
// links between the nodes, all in virtual time. The platform can be down, lose
// the reply after a write took effect, lose the request, or delay the request
// until the next read of a change id.

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "amaranthroute/hash.h"
#include "libnode/settings/settings_store.h"

namespace amaranth::pvt {

// In-memory implementation of the table and object store operations that
// settings use.
class FakePlatform {
 public:
  uint64_t version = 0;
  std::string object;
  std::map<std::string, uint64_t> changes;
  std::map<std::string, std::string> objects;

  PlatformReply Execute(const PlatformRequest& request) {
    PlatformReply reply;
    reply.status = PlatformStatus::kOk;
    if (std::holds_alternative<TableReadHead>(request)) {
      reply.status =
          version == 0 ? PlatformStatus::kNotFound : PlatformStatus::kOk;
      reply.version = version;
      reply.bytes = object;
    } else if (const auto* move = std::get_if<TableMoveHead>(&request)) {
      reply.status = Move(*move);
    } else if (const auto* read = std::get_if<TableReadChange>(&request)) {
      const auto found = changes.find(read->change_id);
      if (found == changes.end()) {
        reply.status = PlatformStatus::kNotFound;
      } else {
        reply.version = found->second;
      }
    } else if (const auto* put = std::get_if<ObjectPut>(&request)) {
      objects.emplace(put->name, put->bytes);
    } else if (const auto* get = std::get_if<ObjectGet>(&request)) {
      const auto found = objects.find(get->name);
      if (found == objects.end()) {
        reply.status = PlatformStatus::kNotFound;
      } else {
        reply.bytes = found->second;
      }
    }
    return reply;
  }

 private:
  PlatformStatus Move(const TableMoveHead& move) {
    if (move.expected_version != version) {
      return PlatformStatus::kConditionFailed;
    }
    version = move.version;
    object = move.object;
    changes[move.change_id] = move.version;
    return PlatformStatus::kOk;
  }
};

class SettingsFleet {
 public:
  enum class Fault { kNone, kDown, kLoseReply, kLoseRequest, kDelayRequest };

  struct SimulatedNode {
    NodeIdentity identity;
    std::unique_ptr<SettingsStore> store;
    Random random;
    uint64_t next_id = 1;
    uint64_t max_version = 0;
    bool heard_peer = false;  // since its start
  };

  explicit SettingsFleet(uint64_t seed) : random_(seed) {}

  FakePlatform platform;
  // Returns the fault to apply to a platform request.
  std::function<Fault(const PlatformRequest&)> fault = [](const auto&) {
    return Fault::kNone;
  };
  bool links_up = true;
  std::map<CallId, HttpResponse> answers;
  bool versions_monotonic = true;
  int head_reads = 0;
  // Source of the settings. With kWatch the nodes watch a document that
  // operators write elsewhere, and `document_version` is its version.
  SettingsSource source = SettingsSource::kHeadRow;
  uint64_t document_version = 0;
  std::set<std::string> refused;           // their watches fail as unreachable
  std::multiset<std::string> watch_calls;  // node name of each watch started

  void WriteDocument(uint64_t version) {
    document_version = version;
    document_position_ = ++position_;
    document_invalid_ = false;
    std::vector<Watch> waiting;
    for (const Watch& watch : std::exchange(open_watches_, {})) {
      if (watch.after < document_position_) {
        AnswerWatch(watch);
      } else {
        waiting.push_back(watch);
      }
    }
    open_watches_ = std::move(waiting);
  }

  // Writes other rows, which only advances the position.
  void WriteOtherRows(uint64_t count) { position_ += count; }

  // Restores the platform from a copy with an older document and position. Open
  // watches stay open.
  void RestoreFromCopy(uint64_t version, uint64_t position) {
    document_version = version;
    position_ = position;
    document_position_ = position;
    ++epoch_;
  }

  // Loses the answers of all open watches: the platform goes on, and the nodes
  // get neither an answer nor an error.
  void LoseOpenWatches() { open_watches_.clear(); }

  // Replaces the document by one that cannot be decoded, until the next
  // WriteDocument.
  void InvalidateDocument() {
    document_position_ = ++position_;
    document_invalid_ = true;
  }

  // Garbles the document in the answers of all open watches.
  void GarbleOpenWatches() {
    for (Watch& watch : open_watches_) watch.garbled = true;
  }

  void Kill(const std::string& name) { nodes_.erase(name); }

  void Add(const std::string& name) {
    SimulatedNode& node = nodes_[name];
    node.identity.node = {name, 0};
    node.identity.peer_address = {"127.0.0.1", 1};
    node.identity.rules.settings_source = source;
    Restart(name);
  }

  void Restart(const std::string& name) {
    SimulatedNode& node = nodes_[name];
    ++node.identity.node.incarnation;
    node.random.seed(random_());
    node.max_version = 0;
    node.heard_peer = false;
    node.store = std::make_unique<SettingsStore>(node.identity);
    node.store->rank_in_data_centre = [this, name] { return RankOf(name); };
    node.store->on_confirmed = [this, name](Context&) { Confirm(name); };
    node.store->peers_consulted = [this, name] {
      return nodes_.size() == 1 || nodes_[name].heard_peer;
    };
    RunOnNode(name,
              [](SettingsStore& s, Context& context) { s.Start(context); });
  }

  SettingsStore& at(const std::string& name) { return *nodes_[name].store; }
  std::map<std::string, SimulatedNode>& nodes() { return nodes_; }
  TimePoint now() const { return now_; }

  CallId Change(const std::string& name, std::vector<SettingsChange> changes,
                std::optional<uint64_t> expected = std::nullopt) {
    const CallId call = ++last_call_;
    RunOnNode(name, [&](SettingsStore& s, Context& context) {
      s.Change(call, std::move(changes), expected, "operator", context);
    });
    return call;
  }

  // Returns the HTTP status of the answer, or 0 while there is none.
  int Status(CallId call) const {
    const auto found = answers.find(call);
    return found == answers.end() ? 0 : found->second.status;
  }

  std::string BodyText(CallId call) const {
    const auto found = answers.find(call);
    return found == answers.end() ? "" : std::string(found->second.body.view());
  }

  // Advances virtual time in steps of 10 ms.
  void RunFor(Duration time) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += std::chrono::milliseconds(10);
      DeliverDue();
      if (++steps_ % 20 == 0) Gossip();
      for (auto& [name, node] : nodes_) {
        if (now_ < node.store->next_timer()) continue;
        RunOnNode(name, [](SettingsStore& s, Context& context) {
          s.OnTimer(context);
        });
      }
    }
  }

  bool RunUntil(const std::function<bool()>& condition, Duration limit) {
    const TimePoint end = now_ + limit;
    while (!condition()) {
      if (now_ >= end) return false;
      RunFor(std::chrono::milliseconds(10));
    }
    return true;
  }

  bool AllReadyAt(uint64_t version) {
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& entry) {
      return entry.second.store->version() == version &&
             entry.second.store->ready();
    });
  }

  void RunOnNode(const std::string& name,
                 const std::function<void(SettingsStore&, Context&)>& action) {
    SimulatedNode& node = nodes_[name];
    Effects effects;
    Context context{node.identity, now_, node.random, node.next_id, effects};
    action(*node.store, context);
    if (node.store->version() < node.max_version) versions_monotonic = false;
    node.max_version = node.store->version();
    for (const Effect& effect : effects) HandleEffect(node, effect);
  }

 private:
  struct Watch {
    std::string node;
    uint64_t incarnation = 0;
    PlatformOpId op = 0;
    uint64_t after = 0;
    bool garbled = false;
  };
  struct Pending {
    TimePoint at;
    std::string node;
    uint64_t incarnation = 0;
    std::function<void(SettingsStore&, Context&)> action;
  };

  void Schedule(const SimulatedNode& node,
                std::function<void(SettingsStore&, Context&)> action) {
    pending_.push_back({now_ + RandomDelay(), node.identity.node.name,
                        node.identity.node.incarnation, std::move(action)});
  }

  void HandleEffect(SimulatedNode& node, const Effect& effect) {
    if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
      answers[answer->call] = answer->response;
    } else if (const auto* op = std::get_if<SendPlatform>(&effect)) {
      HandlePlatformRequest(node, *op);
    } else if (const auto* sent = std::get_if<SendPeer>(&effect)) {
      HandlePeerMessage(node, *sent);
    }
  }

  // Answers a watch at once if it is a read from position 0, if the document is
  // newer, if the position does not exist yet, or if the node is refused;
  // otherwise with the next write of the document, or after its wait.
  void HandleWatch(SimulatedNode& node, const SendPlatform& sent,
                   const TableWatchSettings& request) {
    const Watch watch{node.identity.node.name, node.identity.node.incarnation,
                      sent.op, request.after > position_ ? 0 : request.after};
    watch_calls.insert(watch.node);
    if (watch.after == 0 || watch.after < document_position_ ||
        refused.count(watch.node) > 0) {
      AnswerWatch(watch);
      return;
    }
    open_watches_.push_back(watch);
    pending_.push_back({now_ + request.wait, watch.node, watch.incarnation,
                        [this, watch](SettingsStore&, Context&) {
                          if (RemoveWatch(watch.op)) AnswerWatch(watch);
                        }});
  }

  bool RemoveWatch(PlatformOpId op) {
    const auto found =
        std::find_if(open_watches_.begin(), open_watches_.end(),
                     [op](const Watch& watch) { return watch.op == op; });
    if (found == open_watches_.end()) return false;
    open_watches_.erase(found);
    return true;
  }

  void AnswerWatch(const Watch& watch) {
    const auto found = nodes_.find(watch.node);
    if (found == nodes_.end()) return;
    PlatformReplied replied{watch.op, {}};
    replied.reply.status = PlatformStatus::kUnreachable;
    if (refused.count(watch.node) == 0) {
      SettingsDocument document;
      document.version = document_version;
      replied.reply.status = PlatformStatus::kOk;
      replied.reply.version = position_;
      replied.reply.epoch = epoch_;
      replied.reply.clock = PlatformTime(now_.time_since_epoch());
      const bool is_newer = watch.after < document_position_;
      replied.reply.is_document_invalid = is_newer && document_invalid_;
      if (is_newer && !document_invalid_) {
        replied.reply.bytes = ToText(document);
      }
      if (is_newer && watch.garbled) replied.reply.bytes.resize(1);
    }
    Schedule(found->second, [replied](SettingsStore& s, Context& context) {
      s.OnPlatformReplied(replied, context);
    });
  }

  void HandlePlatformRequest(SimulatedNode& node, const SendPlatform& sent) {
    if (const auto* watch = std::get_if<TableWatchSettings>(&sent.request)) {
      HandleWatch(node, sent, *watch);
      return;
    }
    if (std::holds_alternative<TableReadHead>(sent.request)) ++head_reads;
    PlatformReply reply;
    switch (fault(sent.request)) {
      case Fault::kNone:
        reply = platform.Execute(sent.request);
        break;
      case Fault::kDown:
        reply.status = PlatformStatus::kUnreachable;
        break;
      case Fault::kLoseReply:
        platform.Execute(sent.request);
        break;
      case Fault::kLoseRequest:
        break;
      case Fault::kDelayRequest:
        delayed_.push_back(sent.request);
        break;
    }
    // The worst time for a delayed request to take effect is just after the
    // change id was read and not found.
    if (std::holds_alternative<TableReadChange>(sent.request)) FlushDelayed();
    const PlatformReplied replied{sent.op, reply};
    Schedule(node, [replied](SettingsStore& s, Context& context) {
      s.OnPlatformReplied(replied, context);
    });
  }

  void HandlePeerMessage(SimulatedNode& from, const SendPeer& sent) {
    if (!links_up || nodes_.count(sent.peer) == 0) return;
    const NodeRef sender = from.identity.node;
    const Endpoint address = from.identity.peer_address;
    const PeerMessage message = sent.message;
    Schedule(nodes_[sent.peer], [=](SettingsStore& s, Context& context) {
      if (const auto* request = std::get_if<SettingsRequest>(&message)) {
        s.OnSettingsRequest(sender, address, *request, context);
      } else {
        s.OnSnapshot(std::get<SettingsSnapshot>(message), context);
      }
    });
  }

  void FlushDelayed() {
    for (const PlatformRequest& request : delayed_) platform.Execute(request);
    delayed_.clear();
  }

  void DeliverDue() {
    std::vector<Pending> due;
    for (size_t i = 0; i < pending_.size();) {
      if (pending_[i].at > now_) {
        ++i;
        continue;
      }
      due.push_back(std::move(pending_[i]));
      pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(i));
    }
    for (const Pending& item : due) {
      if (nodes_.count(item.node) == 0) continue;
      const SimulatedNode& node = nodes_[item.node];
      if (node.identity.node.incarnation != item.incarnation) continue;
      RunOnNode(item.node, item.action);
    }
  }

  // Each node receives the version of one randomly chosen node.
  void Gossip() {
    if (!links_up || nodes_.size() < 2) return;
    for (auto& [name, node] : nodes_) {
      auto other = nodes_.begin();
      std::advance(other, std::uniform_int_distribution<size_t>(
                              0, nodes_.size() - 1)(random_));
      if (other->first == name) continue;
      node.heard_peer = true;
      const uint64_t version = other->second.store->version();
      const std::optional<PlatformTime> confirmed =
          other->second.store->confirmed_at();
      RunOnNode(name, [&](SettingsStore& s, Context& context) {
        s.OnVersionSeen(other->first, other->second.identity.peer_address,
                        version, context);
        if (confirmed) s.OnConfirmed(version, *confirmed, now_);
      });
    }
  }

  DataCentreRank RankOf(const std::string& name) const {
    std::vector<std::string> names;
    for (const auto& [other, unused] : nodes_) names.push_back(other);
    const std::vector<std::string> ranked =
        RendezvousChoose(names, kSettingsDelegateKey, names.size());
    const auto found = std::find(ranked.begin(), ranked.end(), name);
    return {static_cast<size_t>(found - ranked.begin()), ranked.size()};
  }

  // Sends a node's version and confirmation to all others.
  void Confirm(const std::string& name) {
    if (!links_up) return;
    const SettingsStore& store = *nodes_[name].store;
    const uint64_t version = store.version();
    const Endpoint address = nodes_[name].identity.peer_address;
    const std::optional<PlatformTime> at = store.confirmed_at();
    if (!at) return;
    for (const auto& [other, node] : nodes_) {
      if (other == name) continue;
      Schedule(node, [=](SettingsStore& s, Context& context) {
        s.OnVersionSeen(name, address, version, context);
        s.OnConfirmed(version, *at, context.now);
      });
    }
  }

  Duration RandomDelay() {
    return Duration(
        std::uniform_int_distribution<int64_t>(1'000, 60'000)(random_));
  }

  Random random_;
  TimePoint now_ = FromMicros(1'000'000);
  CallId last_call_ = 0;
  int steps_ = 0;
  std::map<std::string, SimulatedNode> nodes_;
  std::vector<Pending> pending_;
  std::vector<PlatformRequest> delayed_;
  std::vector<Watch> open_watches_;
  uint64_t position_ = 1;
  uint64_t document_position_ = 1;
  uint64_t epoch_ = 1;
  bool document_invalid_ = false;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_FAKES_SETTINGS_FLEET_H_
