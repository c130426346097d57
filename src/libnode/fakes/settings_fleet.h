#ifndef AMARANTHROUTE_LIBNODE_FAKES_SETTINGS_FLEET_H_
#define AMARANTHROUTE_LIBNODE_FAKES_SETTINGS_FLEET_H_

// For tests: several SettingsStore objects, the platform kept in memory and
// the links between nodes, all in virtual time. The platform can be down, lose
// answers after a write took effect, or hold a write back until later.

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

#include "libnode/settings/settings_store.h"

namespace amaranth::pvt {

// The table and the object store, as far as settings use them.
class FakePlatform {
 public:
  uint64_t version = 0;
  std::string object;
  std::map<std::string, uint64_t> changes;
  std::map<std::string, std::string> objects;

  PlatformReply Do(const PlatformRequest& request) {
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
  enum class Fault { kNone, kDown, kLoseAnswer, kLoseRequest, kHoldBack };

  struct Host {
    NodeIdentity identity;
    std::unique_ptr<SettingsStore> store;
    Random random;
    uint64_t next_id = 1;
    uint64_t highest = 0;
  };

  explicit SettingsFleet(uint64_t seed) : random_(seed) {}

  FakePlatform platform;
  // How the platform treats the next request.
  std::function<Fault(const PlatformRequest&)> fault = [](const auto&) {
    return Fault::kNone;
  };
  bool links_up = true;
  std::map<CallId, HttpResponse> answers;
  bool versions_rose = true;
  int head_reads = 0;
  // Where operators write a document elsewhere, which the nodes watch.
  SettingsSource source = SettingsSource::kHeadRow;
  uint64_t document_version = 0;
  std::set<std::string> turned_away;  // by the platform
  std::multiset<std::string> watch_calls;

  void WriteDocument(uint64_t version) {
    document_version = version;
    for (const Watch& watch : std::exchange(open_watches_, {})) {
      AnswerWatch(watch);
    }
  }

  void Kill(const std::string& name) { hosts_.erase(name); }

  void Add(const std::string& name) {
    Host& host = hosts_[name];
    host.identity.node = {name, 0};
    host.identity.peer_address = {"127.0.0.1", 1};
    host.identity.rules.settings_source = source;
    Restart(name);
  }

  void Restart(const std::string& name) {
    Host& host = hosts_[name];
    ++host.identity.node.incarnation;
    host.random.seed(random_());
    host.highest = 0;
    host.store = std::make_unique<SettingsStore>(host.identity);
    host.store->up_in_data_centre = [this] {
      std::vector<std::string> names;
      for (const auto& [other, unused] : hosts_) names.push_back(other);
      return names;
    };
    Do(name, [](SettingsStore& s, Context& context) { s.Start(context); });
  }

  SettingsStore& at(const std::string& name) { return *hosts_[name].store; }
  std::map<std::string, Host>& hosts() { return hosts_; }
  TimePoint now() const { return now_; }

  CallId Change(const std::string& name, std::vector<SettingsChange> changes,
                std::optional<uint64_t> expected = std::nullopt) {
    const CallId call = ++last_call_;
    Do(name, [&](SettingsStore& s, Context& context) {
      s.Change(call, std::move(changes), expected, "operator", context);
    });
    return call;
  }

  // 0 while there is no answer.
  int Status(CallId call) const {
    const auto found = answers.find(call);
    return found == answers.end() ? 0 : found->second.status;
  }

  std::string Text(CallId call) const {
    const auto found = answers.find(call);
    return found == answers.end() ? "" : std::string(found->second.body.view());
  }

  void Run(Duration time) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += std::chrono::milliseconds(10);
      DeliverDue();
      if (++rounds_ % 20 == 0) Gossip();
      for (auto& [name, host] : hosts_) {
        if (now_ < host.store->next_timer()) continue;
        Do(name,
           [](SettingsStore& s, Context& context) { s.OnTimer(context); });
      }
    }
  }

  bool RunUntil(const std::function<bool()>& condition, Duration limit) {
    const TimePoint end = now_ + limit;
    while (!condition()) {
      if (now_ >= end) return false;
      Run(std::chrono::milliseconds(10));
    }
    return true;
  }

  bool AllAt(uint64_t version) {
    return std::all_of(hosts_.begin(), hosts_.end(), [&](const auto& entry) {
      return entry.second.store->version() == version &&
             entry.second.store->ready();
    });
  }

  void Do(const std::string& name,
          const std::function<void(SettingsStore&, Context&)>& action) {
    Host& host = hosts_[name];
    Effects effects;
    Context context{host.identity, now_, host.random, host.next_id, effects};
    action(*host.store, context);
    if (host.store->version() < host.highest) versions_rose = false;
    host.highest = host.store->version();
    for (const Effect& effect : effects) CarryOut(host, effect);
  }

 private:
  struct Watch {
    std::string host;
    uint64_t incarnation = 0;
    PlatformOpId op = 0;
  };
  struct Pending {
    TimePoint at;
    std::string host;
    uint64_t incarnation = 0;
    std::function<void(SettingsStore&, Context&)> action;
  };

  void Later(const Host& host,
             std::function<void(SettingsStore&, Context&)> action) {
    pending_.push_back({now_ + Delay(), host.identity.node.name,
                        host.identity.node.incarnation, std::move(action)});
  }

  void CarryOut(Host& host, const Effect& effect) {
    if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
      answers[answer->call] = answer->response;
    } else if (const auto* op = std::get_if<SendPlatform>(&effect)) {
      CarryPlatform(host, *op);
    } else if (const auto* sent = std::get_if<SendPeer>(&effect)) {
      CarryPeer(host, *sent);
    }
  }

  // Answered at once if it only reads or there is news, else with the news or
  // after ten seconds without.
  void CarryWatch(Host& host, const SendPlatform& sent, uint64_t after) {
    const Watch watch{host.identity.node.name, host.identity.node.incarnation,
                      sent.op};
    watch_calls.insert(watch.host);
    if (after == 0 || after < document_version ||
        turned_away.count(watch.host) > 0) {
      AnswerWatch(watch);
      return;
    }
    open_watches_.push_back(watch);
    pending_.push_back({now_ + std::chrono::seconds(10), watch.host,
                        watch.incarnation,
                        [this, watch](SettingsStore&, Context&) {
                          if (EndWatch(watch.op)) AnswerWatch(watch);
                        }});
  }

  bool EndWatch(PlatformOpId op) {
    const auto found =
        std::find_if(open_watches_.begin(), open_watches_.end(),
                     [op](const Watch& watch) { return watch.op == op; });
    if (found == open_watches_.end()) return false;
    open_watches_.erase(found);
    return true;
  }

  void AnswerWatch(const Watch& watch) {
    const auto found = hosts_.find(watch.host);
    if (found == hosts_.end()) return;
    PlatformReplied replied{watch.op, {}};
    replied.reply.status = PlatformStatus::kUnreachable;
    if (turned_away.count(watch.host) == 0) {
      SettingsDocument document;
      document.version = document_version;
      replied.reply.status = PlatformStatus::kOk;
      replied.reply.version = document_version;
      replied.reply.bytes = ToText(document);
    }
    Later(found->second, [replied](SettingsStore& s, Context& context) {
      s.OnPlatformReplied(replied, context);
    });
  }

  void CarryPlatform(Host& host, const SendPlatform& sent) {
    if (const auto* watch = std::get_if<TableWatchSettings>(&sent.request)) {
      CarryWatch(host, sent, watch->after);
      return;
    }
    if (std::holds_alternative<TableReadHead>(sent.request)) ++head_reads;
    PlatformReply reply;
    switch (fault(sent.request)) {
      case Fault::kNone:
        reply = platform.Do(sent.request);
        break;
      case Fault::kDown:
        reply.status = PlatformStatus::kUnreachable;
        break;
      case Fault::kLoseAnswer:
        platform.Do(sent.request);
        break;
      case Fault::kLoseRequest:
        break;
      case Fault::kHoldBack:
        held_.push_back(sent.request);
        break;
    }
    // The worst moment for a write that comes late: just after its absence was
    // read.
    if (std::holds_alternative<TableReadChange>(sent.request)) ReleaseHeld();
    const PlatformReplied replied{sent.op, reply};
    Later(host, [replied](SettingsStore& s, Context& context) {
      s.OnPlatformReplied(replied, context);
    });
  }

  void CarryPeer(Host& from, const SendPeer& sent) {
    if (!links_up || hosts_.count(sent.peer) == 0) return;
    const NodeRef sender = from.identity.node;
    const Endpoint address = from.identity.peer_address;
    const PeerMessage message = sent.message;
    Later(hosts_[sent.peer], [=](SettingsStore& s, Context& context) {
      if (const auto* asked = std::get_if<SettingsRequest>(&message)) {
        s.OnSettingsRequest(sender, address, *asked, context);
      } else {
        s.OnSnapshot(std::get<SettingsSnapshot>(message), context);
      }
    });
  }

  void ReleaseHeld() {
    for (const PlatformRequest& request : held_) platform.Do(request);
    held_.clear();
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
      if (hosts_.count(item.host) == 0) continue;
      const Host& host = hosts_[item.host];
      if (host.identity.node.incarnation != item.incarnation) continue;
      Do(item.host, item.action);
    }
  }

  // Every node hears the version of a random other one.
  void Gossip() {
    if (!links_up || hosts_.size() < 2) return;
    for (auto& [name, host] : hosts_) {
      auto other = hosts_.begin();
      std::advance(other, std::uniform_int_distribution<size_t>(
                              0, hosts_.size() - 1)(random_));
      if (other->first == name) continue;
      const uint64_t version = other->second.store->version();
      const std::optional<Duration> confirmed =
          other->second.store->ConfirmedAgo(now_);
      Do(name, [&](SettingsStore& s, Context& context) {
        s.OnVersionSeen(other->first, other->second.identity.peer_address,
                        version, context);
        if (confirmed) s.OnConfirmed(version, *confirmed, now_);
      });
    }
  }

  Duration Delay() {
    return Duration(
        std::uniform_int_distribution<int64_t>(1'000, 60'000)(random_));
  }

  Random random_;
  TimePoint now_ = FromMicros(1'000'000);
  CallId last_call_ = 0;
  int rounds_ = 0;
  std::map<std::string, Host> hosts_;
  std::vector<Pending> pending_;
  std::vector<PlatformRequest> held_;
  std::vector<Watch> open_watches_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_FAKES_SETTINGS_FLEET_H_
