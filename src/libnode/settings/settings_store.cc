#include "libnode/settings/settings_store.h"

#include <algorithm>
#include <random>
#include <utility>

#include "amaranthroute/hash.h"

namespace amaranth::pvt {

namespace {

constexpr char kPart[] = "settings";
constexpr char kDelegateKey[] = "settings-delegates";
constexpr size_t kDelegates = 2;

// Nodes of a data centre that watch the platform; the others learn from them.
// Each change wakes every watch: with all nodes watching, the calls would grow
// with the fleet. So many, as a data centre that loses all of them at once
// hears of a change by kConfirmedLife later.
constexpr size_t kWatchers = 5;
// A node that has not heard for this long that the platform holds nothing newer
// asks by itself. Gossip reaches forty nodes in less.
constexpr Duration kConfirmedLife = std::chrono::seconds(2);

// One second for the poll leaves four of the five in which a version must be
// in force everywhere for gossip and the snapshot.
constexpr Duration kPollInterval = std::chrono::seconds(1);
// A node that cannot start yet asks less and less often: with every node of a
// large fleet waiting, polls each second would use up the platform's reads.
constexpr Duration kMaxPollInterval = std::chrono::seconds(8);
constexpr Duration kOperationTimeout = std::chrono::seconds(3);

// A watch that failed is begun anew after this, twice as long after each
// further failure: a changed document must be in force within two seconds, but
// refused calls of a whole fleet must not take the platform's rates when it
// comes back.
constexpr Duration kWatchRetry = std::chrono::milliseconds(200);
constexpr Duration kMaxWatchRetry = std::chrono::milliseconds(1600);
// A watch that ends sooner than this without news did not wait; asking again
// at once would be a busy loop over the network.
constexpr Duration kShortestWatch = std::chrono::milliseconds(100);
// The platform holds a watch for ten seconds at most.
constexpr Duration kWatchTimeout = std::chrono::seconds(13);

constexpr Duration kAskInterval = std::chrono::milliseconds(300);
constexpr size_t kPeersAsked = 3;
constexpr size_t kMaxPeers = 16;
// A start without the platform waits this long after the first peer's answer
// for better ones, and this long for a higher version that a peer claims.
constexpr Duration kPeersSettle = std::chrono::milliseconds(500);
constexpr Duration kHigherVersionWait = std::chrono::seconds(3);

constexpr size_t kMaxWaitingChanges = 16;

bool Failed(const PlatformReply& reply) {
  return reply.status == PlatformStatus::kUnreachable ||
         reply.status == PlatformStatus::kUnknown;
}

// Between 0.9 and 1.1 of `interval`, so that nodes do not poll in step.
Duration Jittered(Duration interval, Context& context) {
  const int64_t tenth = interval.count() / 10;
  std::uniform_int_distribution<int64_t> spread(-tenth, tenth);
  return interval + Duration(spread(context.random));
}

void AnswerUnavailable(CallId call, const char* message, Context& context) {
  HttpResponse response;
  response.status = 503;
  response.headers = {{"Content-Type", "application/json"},
                      {"Retry-After", "5"}};
  response.body = Body(
      std::string(R"({"accepted":"no","error":"unavailable","message":")") +
      message + "\"}");
  context.Emit(AnswerCaller{call, std::move(response)});
}

}  // namespace

SettingsStore::SettingsStore(const NodeIdentity& identity)
    : identity_(identity), poll_interval_(kPollInterval) {}

void SettingsStore::Start(Context& context) {
  if (!identity_.use_platform) {
    // Without a platform no change can ever have been accepted.
    BecomeReady(context, "no platform is used");
    return;
  }
  if (watches()) {
    poll_interval_ = kWatchRetry;
    Watch(context);
    return;
  }
  PollHead(context);
}

void SettingsStore::OnTimer(Context& context) {
  if (context.now >= op_deadline_) OnPlatformSilent(context);
  if (context.now >= next_poll_) {
    if (watches()) {
      ConsiderWatch(context);
    } else {
      PollHead(context);
    }
  }
  if (context.now >= next_ask_) AskPeers(context);
  if (!ready_) ConsiderReady(context);
  if (change_) {
    change_->OnTimer(context);
    ContinueChanges(context);
  }
}

TimePoint SettingsStore::next_timer() const {
  TimePoint next = std::min({next_poll_, next_ask_, op_deadline_});
  if (!ready_) next = std::min({next, peers_settled_at_, give_up_higher_at_});
  if (change_) next = std::min(next, change_->next_timer());
  return next;
}

bool SettingsStore::OnPlatformReplied(const PlatformReplied& replied,
                                      Context& context) {
  if (change_ && change_->OnPlatformReplied(replied, context)) {
    ContinueChanges(context);
    return true;
  }
  if (!op_ || *op_ != replied.op) return false;
  op_.reset();
  op_deadline_ = kNever;
  if (watches()) {
    OnWatched(replied.reply, context);
  } else if (op_reads_object_) {
    OnObject(replied.reply, context);
  } else {
    OnHead(replied.reply, context);
  }
  if (!ready_) ConsiderReady(context);
  return true;
}

bool SettingsStore::IsAmongFirst(size_t count) const {
  if (!up_in_data_centre) return true;
  const std::vector<std::string> chosen =
      RendezvousChoose(up_in_data_centre(), kDelegateKey, count);
  return std::find(chosen.begin(), chosen.end(), identity_.node.name) !=
         chosen.end();
}

bool SettingsStore::IsDelegate() const { return IsAmongFirst(kDelegates); }

void SettingsStore::OnConfirmed(uint64_t version, Duration ago, TimePoint now) {
  if (version > document_.version) return;
  if (!confirmed_ || *confirmed_ < now - ago) confirmed_ = now - ago;
}

std::optional<Duration> SettingsStore::ConfirmedAgo(TimePoint now) const {
  const bool watching = watches() && op_ && head_known_ && !platform_lost_;
  if (watching) return Duration(0);
  if (!confirmed_) return std::nullopt;
  return now - *confirmed_;
}

bool SettingsStore::HearsOfWatchers(TimePoint now) const {
  return ready_ && confirmed_ && now - *confirmed_ < kConfirmedLife;
}

void SettingsStore::ConsiderWatch(Context& context) {
  if (HearsOfWatchers(context.now) && !IsAmongFirst(kWatchers)) {
    next_poll_ = *confirmed_ + kConfirmedLife;
    return;
  }
  Watch(context);
}

void SettingsStore::PollHead(Context& context) {
  next_poll_ = context.now + Jittered(poll_interval_, context);
  const bool polls = !ready_ || IsDelegate();
  if (!polls || op_) return;
  op_ = context.NextId();
  op_reads_object_ = false;
  op_deadline_ = context.now + kOperationTimeout;
  context.Emit(SendPlatform{*op_, TableReadHead{}});
}

void SettingsStore::OnHead(const PlatformReply& reply, Context& context) {
  if (Failed(reply)) {
    OnPlatformSilent(context);
    return;
  }
  NotePlatformAnswers(context);
  poll_interval_ = kPollInterval;
  head_known_ = true;
  if (reply.version >= head_.version) head_ = {reply.version, reply.bytes};
  if (head_.version <= document_.version) return;
  op_ = context.NextId();
  op_reads_object_ = true;
  op_deadline_ = context.now + kOperationTimeout;
  context.Emit(SendPlatform{*op_, ObjectGet{head_.object}});
}

void SettingsStore::OnObject(const PlatformReply& reply, Context& context) {
  if (reply.status != PlatformStatus::kOk ||
      !ObjectNameMatches(head_.object, reply.bytes)) {
    return;  // The next poll tries again; a peer may be sooner.
  }
  Outcome<SettingsDocument> document = ParseDocument(reply.bytes);
  if (!document || document.value().version != head_.version) {
    context.Log(LogLevel::kError, kPart,
                "snapshot " + head_.object + " cannot be read");
    return;
  }
  Adopt(std::move(document.value()), reply.bytes, context);
}

void SettingsStore::Watch(Context& context) {
  next_poll_ = kNever;
  if (op_) return;
  op_ = context.NextId();
  op_deadline_ = context.now + kWatchTimeout;
  watch_began_ = context.now;
  context.Emit(SendPlatform{*op_, TableWatchSettings{watched_}});
}

void SettingsStore::OnWatched(const PlatformReply& reply, Context& context) {
  if (Failed(reply)) {
    OnPlatformSilent(context);
    return;
  }
  NotePlatformAnswers(context);
  poll_interval_ = kWatchRetry;
  watched_ = reply.version;
  if (!reply.bytes.empty()) {
    Outcome<SettingsDocument> document = ParseDocument(reply.bytes);
    if (document) {
      Adopt(std::move(document.value()), reply.bytes, context);
    } else {
      context.Log(LogLevel::kError, kPart,
                  "settings document cannot be read, version " +
                      std::to_string(document_.version) +
                      " stays in force: " + document.error().message);
    }
  }
  // An empty table is no reason to serve: the operators' first document is
  // under way.
  head_known_ = document_.version > 0;
  const bool waited = context.now - watch_began_ >= kShortestWatch;
  if (waited || !reply.bytes.empty()) {
    ConsiderWatch(context);
  } else {
    next_poll_ = context.now + Jittered(poll_interval_, context);
  }
}

void SettingsStore::NotePlatformAnswers(Context& context) {
  if (!platform_lost_) return;
  platform_lost_ = false;
  context.Log(LogLevel::kInfo, kPart, "the platform answers again");
}

void SettingsStore::OnPlatformSilent(Context& context) {
  op_.reset();
  op_deadline_ = kNever;
  if (!platform_lost_) {
    platform_lost_ = true;
    context.Log(LogLevel::kWarning, kPart,
                "the platform does not answer; version " +
                    std::to_string(document_.version) + " stays in force");
  }
  if (watches()) {
    // The next call is answered at once: a watch would not tell for seconds
    // that the platform is back.
    watched_ = 0;
    next_poll_ = context.now + Jittered(poll_interval_, context);
    poll_interval_ = std::min(poll_interval_ * 2, kMaxWatchRetry);
    return;
  }
  poll_interval_ = IsDelegate()
                       ? kPollInterval
                       : std::min(poll_interval_ * 2, kMaxPollInterval);
  next_poll_ = context.now + Jittered(poll_interval_, context);
}

void SettingsStore::OnSettingsRequest(const NodeRef& from,
                                      const Endpoint& address,
                                      const SettingsRequest& request,
                                      Context& context) {
  // A node that is not ready does not know that there are no settings.
  const bool newer = document_.version > request.have_version;
  const bool none_at_all = ready_ && document_.version == 0 && !watches();
  if (!newer && !none_at_all) return;
  context.Emit(
      SendPeer{from.name, address,
               SettingsSnapshot{document_.version, Hash64(text_), text_}});
}

void SettingsStore::OnSnapshot(const SettingsSnapshot& snapshot,
                               Context& context) {
  if (Hash64(snapshot.text) != snapshot.text_hash) return;
  Outcome<SettingsDocument> document = ParseDocument(snapshot.text);
  if (!document || document.value().version != snapshot.version) return;
  if (!ready_ && peers_settled_at_ == kNever) {
    peers_settled_at_ = context.now + kPeersSettle;
    give_up_higher_at_ = context.now + kHigherVersionWait;
  }
  if (snapshot.version > document_.version) {
    Adopt(std::move(document.value()), snapshot.text, context);
  }
}

void SettingsStore::OnVersionSeen(const std::string& peer,
                                  const Endpoint& address, uint64_t version,
                                  Context& context) {
  if (ready_ && version <= document_.version) return;
  if (watches() && version <= document_.version) return;
  if (peers_.size() >= kMaxPeers && peers_.count(peer) == 0) return;
  PeerVersion& entry = peers_[peer];
  entry.address = address;
  if (version > entry.version) {
    entry.version = version;
    entry.asked = false;
  }
  if (next_ask_ == kNever) AskPeers(context);
}

// Those who hold the highest version first, each once until all were asked.
void SettingsStore::AskPeers(Context& context) {
  if (peers_.empty()) {
    next_ask_ = kNever;
    return;
  }
  next_ask_ = context.now + kAskInterval;
  std::vector<std::pair<uint64_t, std::string>> unasked;
  for (const auto& [name, peer] : peers_) {
    if (!peer.asked) unasked.emplace_back(peer.version, name);
  }
  if (unasked.empty()) {
    for (auto& [name, peer] : peers_) peer.asked = false;
    return;
  }
  std::sort(unasked.rbegin(), unasked.rend());
  const size_t count = std::min(unasked.size(), ready_ ? 1 : kPeersAsked);
  for (size_t i = 0; i < count; ++i) {
    PeerVersion& peer = peers_[unasked[i].second];
    peer.asked = true;
    context.Emit(SendPeer{unasked[i].second, peer.address,
                          SettingsRequest{document_.version}});
  }
}

uint64_t SettingsStore::HighestSeen() const {
  uint64_t highest = document_.version;
  for (const auto& [name, peer] : peers_) {
    highest = std::max(highest, peer.version);
  }
  return highest;
}

void SettingsStore::Adopt(SettingsDocument document, std::string text,
                          Context& context) {
  if (document.version <= document_.version) return;
  document_ = std::move(document);
  text_ = std::move(text);
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    const bool still_ahead = peer->second.version > document_.version;
    peer = still_ahead ? std::next(peer) : peers_.erase(peer);
  }
  context.Log(LogLevel::kInfo, kPart,
              "version " + std::to_string(document_.version) + " in force");
  if (on_adopted) on_adopted(document_.version, context);
  if (!ready_) ConsiderReady(context);
}

void SettingsStore::ConsiderReady(Context& context) {
  if (ready_) return;
  if (head_known_) {
    // The platform named the head: nothing lower will do.
    if (document_.version >= head_.version) {
      BecomeReady(context, "the platform told the head");
    }
    return;
  }
  if (context.now < peers_settled_at_) return;
  if (watches() && document_.version == 0) return;
  const bool highest = document_.version >= HighestSeen();
  if (!highest && context.now < give_up_higher_at_) return;
  BecomeReady(context, "peers told what they hold");
}

void SettingsStore::BecomeReady(Context& context, const char* source) {
  ready_ = true;
  peers_settled_at_ = kNever;
  give_up_higher_at_ = kNever;
  context.Log(LogLevel::kInfo, kPart,
              "ready with version " + std::to_string(document_.version) + ": " +
                  source);
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    const bool ahead = peer->second.version > document_.version;
    peer = ahead ? std::next(peer) : peers_.erase(peer);
  }
}

void SettingsStore::Change(CallId call, std::vector<SettingsChange> changes,
                           std::optional<uint64_t> expected_version,
                           std::string author, Context& context) {
  if (!identity_.use_platform) {
    AnswerUnavailable(call, "this node runs without a platform", context);
    return;
  }
  if (waiting_changes_.size() >= kMaxWaitingChanges) {
    AnswerUnavailable(call, "too many changes are waiting", context);
    return;
  }
  waiting_changes_.push_back(
      {call, std::move(changes), expected_version, std::move(author)});
  if (!change_) StartNextChange(context);
}

// One at a time: changes from one node would only race each other.
void SettingsStore::StartNextChange(Context& context) {
  while (!change_ && !waiting_changes_.empty()) {
    change_ = std::make_unique<SettingsChangeRun>(
        std::move(waiting_changes_.front()), document_);
    waiting_changes_.pop_front();
    change_->on_accepted = [this](SettingsDocument document, std::string text,
                                  Context& accepted_context) {
      Adopt(std::move(document), std::move(text), accepted_context);
    };
    change_->Start(context);
    if (change_->finished()) change_.reset();
  }
}

void SettingsStore::ContinueChanges(Context& context) {
  if (!change_->finished()) return;
  change_.reset();
  StartNextChange(context);
}

}  // namespace amaranth::pvt
