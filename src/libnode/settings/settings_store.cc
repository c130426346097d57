#include "libnode/settings/settings_store.h"

#include <algorithm>
#include <random>
#include <utility>

#include "amaranthroute/hash.h"

namespace amaranth::pvt {

namespace {

constexpr char kPart[] = "settings";
constexpr size_t kDelegateCount = 2;

// A version must be in force on every node within 5 s. Polling every second
// leaves 4 s for gossip and the transfer of the snapshot.
constexpr Duration kPollInterval = std::chrono::seconds(1);
// Limits the exponential backoff of nodes that poll only because they are not
// ready yet. If every node of a large fleet waited and polled each second, the
// polls would exhaust the platform's read capacity.
constexpr Duration kMaxPollInterval = std::chrono::seconds(8);
constexpr Duration kOperationTimeout = std::chrono::seconds(3);

// Time from the start of a failed watch or read to the next, doubled after each
// further failure up to kMaxWatchRetryDelay. A changed document must be in
// force soon after the platform has recovered, but the retries of a whole fleet
// must not use up its rate limits then.
constexpr Duration kWatchRetryDelay = std::chrono::milliseconds(200);
constexpr Duration kMaxWatchRetryDelay = std::chrono::milliseconds(1600);
// A watch that ends sooner than this without a change did not wait; restarting
// it at once would be a busy loop over the network.
constexpr Duration kMinWatchDuration = std::chrono::milliseconds(100);
// How long the platform holds the watch of a node that is not ready yet.
constexpr Duration kWatchWait = std::chrono::seconds(2);
// A watch that is not answered this long after its wait is given up.
constexpr Duration kWatchReplyTimeout = std::chrono::milliseconds(1500);

constexpr Duration kRequestInterval = std::chrono::milliseconds(300);
constexpr size_t kPeersPerRequest = 3;
constexpr size_t kMaxPeers = 16;
// A node that starts waits this long for its peers: from the platform's reply
// for the version of any peer, or, without the platform, from the first peer's
// snapshot for the snapshots of others.
constexpr Duration kPeerWait = std::chrono::milliseconds(500);
// If a peer reports a newer version than it has then, it waits up to this long,
// from the same moment, for that one.
constexpr Duration kNewerVersionWait = std::chrono::seconds(3);

constexpr size_t kMaxQueuedChanges = 16;

bool Failed(const PlatformReply& reply) {
  return reply.status == PlatformStatus::kUnreachable ||
         reply.status == PlatformStatus::kUnknown;
}

std::string DescribeAge(std::optional<Duration> age) {
  return age ? std::to_string(ToMillis(*age)) + " ms ago" : "never";
}

// Returns a random duration between 0.9 and 1.1 of `interval`, so that nodes do
// not poll in lockstep.
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
    : identity_(identity),
      poll_interval_(kPollInterval),
      times_(identity.rules.settings_bound) {}

void SettingsStore::Start(Context& context) {
  if (!identity_.use_platform) {
    // Without a platform no change can ever have been accepted.
    BecomeReady(context, "no platform is configured");
    return;
  }
  if (uses_watch()) {
    poll_interval_ = kWatchRetryDelay;
    WatchUntilReady(context);
    return;
  }
  PollHead(context);
}

void SettingsStore::OnTimer(Context& context) {
  if (context.now >= op_deadline_) OnPlatformFailure(context);
  if (context.now >= next_poll_) {
    if (uses_watch()) {
      ReviewWatch(context);
    } else {
      PollHead(context);
    }
  }
  if (context.now >= next_request_) RequestSnapshots(context);
  if (!ready_) UpdateReadiness(context);
  if (running_change_) {
    running_change_->OnTimer(context);
    AdvanceChanges(context);
  }
}

TimePoint SettingsStore::next_timer() const {
  TimePoint next = std::min({next_poll_, next_request_, op_deadline_});
  if (!ready_) {
    for (const TimePoint end : {peer_wait_end_, newer_version_wait_end_}) {
      if (end > readiness_checked_at_) next = std::min(next, end);
    }
  }
  if (running_change_) next = std::min(next, running_change_->next_timer());
  return next;
}

bool SettingsStore::OnPlatformReplied(const PlatformReplied& replied,
                                      Context& context) {
  if (running_change_ && running_change_->OnPlatformReplied(replied, context)) {
    AdvanceChanges(context);
    return true;
  }
  if (!op_ || *op_ != replied.op) return false;
  op_.reset();
  op_deadline_ = kNever;
  if (uses_watch()) {
    OnWatchReply(replied.reply, context);
  } else if (op_reads_object_) {
    OnObjectReply(replied.reply, context);
  } else {
    OnHeadReply(replied.reply, context);
  }
  if (!ready_) UpdateReadiness(context);
  return true;
}

DataCentreRank SettingsStore::Rank() const {
  return rank_in_data_centre ? rank_in_data_centre() : DataCentreRank();
}

bool SettingsStore::IsDelegate() const { return Rank().rank < kDelegateCount; }

void SettingsStore::OnConfirmed(uint64_t version, PlatformTime at,
                                TimePoint now) {
  if (version > document_.version || document_.version == 0) return;
  freshness_.OnConfirmed(at, now);
}

void SettingsStore::OnPlatformEpoch(uint64_t epoch, Context& context) {
  if (epoch <= platform_epoch_) return;
  platform_epoch_ = epoch;
  freshness_.Forget();
  if (uses_watch()) next_poll_ = std::min(next_poll_, context.now);
}

void SettingsStore::ReviewWatch(Context& context) {
  if (!ready_) return WatchUntilReady(context);
  const DataCentreRank rank = Rank();
  const Duration read_age = times_.ReadAge(rank.rank);
  const std::optional<Duration> age = freshness_.Age(context.now);
  if (!age || *age >= read_age) return ReadDocument(age, context);
  const TimePoint read_due = context.now + (read_age - *age);
  next_poll_ = read_due;
  if (op_) return;
  if (rank.rank < kSettingsWatcherCount) {
    // While the other watchers confirm, one that gets no answers tries again
    // when its next slot ends.
    const TimePoint watch_due =
        failures_ == 0
            ? next_attempt_
            : std::max(next_attempt_, watch_started_at_ + WatchPeriod(rank));
    if (context.now >= watch_due) {
      return StartWatch(WatchWait(rank, context.now), context);
    }
    next_poll_ = std::min(watch_due, read_due);
    return;
  }
  // By the time of the next watch the position may belong to an earlier epoch
  // of the platform, and a watch would report that only when it ends.
  watch_position_ = 0;
  const Duration request_age = times_.RequestAge();
  if (*age < request_age) {
    next_poll_ = context.now + (request_age - *age);
    return;
  }
  if (on_confirmation_wanted) on_confirmation_wanted(context);
}

void SettingsStore::WatchUntilReady(Context& context) {
  next_poll_ = kNever;
  if (op_) return;
  if (context.now < next_attempt_) {
    next_poll_ = next_attempt_;
    return;
  }
  StartWatch(kWatchWait, context);
}

void SettingsStore::ReadDocument(std::optional<Duration> age,
                                 Context& context) {
  next_poll_ = std::max(next_attempt_, context.now);
  const bool is_reading = op_ && watch_wait_ == Duration(0);
  if (is_reading) {
    next_poll_ = kNever;  // until its reply or its deadline
    return;
  }
  if (context.now < next_attempt_) return;
  context.Log(LogLevel::kInfo, kPart,
              "reading the settings, last confirmed " + DescribeAge(age));
  op_.reset();
  watch_position_ = 0;
  StartWatch(Duration(0), context);
}

Duration SettingsStore::WatchPeriod(const DataCentreRank& rank) const {
  const size_t watchers = std::min(rank.nodes, kSettingsWatcherCount);
  return times_.Slot() * static_cast<int64_t>(watchers);
}

Duration SettingsStore::WatchWait(const DataCentreRank& rank,
                                  TimePoint now) const {
  const Duration slot = times_.Slot();
  const Duration period = WatchPeriod(rank);
  const std::optional<PlatformTime> clock = freshness_.ClockAt(now);
  if (!clock) return period;
  const Duration end = slot * static_cast<int64_t>(rank.rank);
  const Duration elapsed = clock->time_since_epoch() % period;
  const Duration wait = (end - elapsed + period) % period;
  return wait < times_.ShortestWatch() ? wait + period : wait;
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

void SettingsStore::OnHeadReply(const PlatformReply& reply, Context& context) {
  if (Failed(reply)) {
    OnPlatformFailure(context);
    return;
  }
  NotePlatformSuccess(context);
  poll_interval_ = kPollInterval;
  head_known_ = true;
  if (reply.version >= head_.version) head_ = {reply.version, reply.bytes};
  if (head_.version <= document_.version) return;
  op_ = context.NextId();
  op_reads_object_ = true;
  op_deadline_ = context.now + kOperationTimeout;
  context.Emit(SendPlatform{*op_, ObjectGet{head_.object}});
}

void SettingsStore::OnObjectReply(const PlatformReply& reply,
                                  Context& context) {
  if (reply.status != PlatformStatus::kOk ||
      !ObjectNameMatches(head_.object, reply.bytes)) {
    return;  // The next poll reads it again; a peer may send it sooner.
  }
  Outcome<SettingsDocument> document = ParseDocument(reply.bytes);
  if (!document || document.value().version != head_.version) {
    context.Log(LogLevel::kError, kPart,
                "settings snapshot " + head_.object + " cannot be parsed");
    return;
  }
  Adopt(std::move(document.value()), reply.bytes, "the platform", context);
}

void SettingsStore::StartWatch(Duration wait, Context& context) {
  if (watch_position_ == 0) wait = Duration(0);
  op_ = context.NextId();
  watch_started_at_ = context.now;
  watch_wait_ = wait;
  op_deadline_ =
      context.now + (wait > Duration(0) ? wait + kWatchReplyTimeout
                                        : times_.ReadTimeout(failures_));
  context.Emit(SendPlatform{*op_, TableWatchSettings{watch_position_, wait}});
}

void SettingsStore::OnWatchReply(const PlatformReply& reply, Context& context) {
  const bool is_outdated = reply.epoch != 0 && reply.epoch < platform_epoch_;
  if (Failed(reply) || is_outdated) {
    OnPlatformFailure(context);
    return;
  }
  NotePlatformSuccess(context);
  poll_interval_ = kWatchRetryDelay;
  failures_ = 0;
  const bool read_again = IsPositionObsolete(reply);
  const bool is_readable = TakeDocument(reply, context);
  watch_position_ = read_again || !is_readable ? 0 : reply.version;
  if (reply.epoch != 0) watch_epoch_ = reply.epoch;
  // An empty table does not make the node ready, since the operators' first
  // document is still to be written.
  head_known_ = document_.version > 0;
  if (read_again) {
    context.Log(LogLevel::kWarning, kPart,
                "the platform came back from a copy, epoch " +
                    std::to_string(reply.epoch) + "; reading the settings");
    StartWatch(Duration(0), context);
    return;
  }
  const bool waited = context.now - watch_started_at_ >= kMinWatchDuration;
  if (!is_readable) {
    next_attempt_ = context.now + Jittered(kMaxWatchRetryDelay, context);
  } else if (!waited && reply.bytes.empty()) {
    next_attempt_ = context.now + Jittered(poll_interval_, context);
  }
  if (is_readable) Confirm(reply, context);
  ReviewWatch(context);
}

bool SettingsStore::TakeDocument(const PlatformReply& reply, Context& context) {
  if (reply.is_document_invalid) return false;
  if (reply.bytes.empty()) return true;
  Outcome<SettingsDocument> document = ParseDocument(reply.bytes);
  if (document) {
    Adopt(std::move(document.value()), reply.bytes, "the platform", context);
    return true;
  }
  context.Log(LogLevel::kError, kPart,
              "settings document cannot be parsed, version " +
                  std::to_string(document_.version) +
                  " stays in force: " + document.error().message);
  return false;
}

void SettingsStore::Confirm(const PlatformReply& reply, Context& context) {
  // A watch without news was answered at the end of its wait.
  const TimePoint wait_end = watch_started_at_ + watch_wait_;
  const bool waited = reply.bytes.empty() && context.now >= wait_end;
  freshness_.OnPlatformClock(reply.clock, waited ? wait_end : watch_started_at_,
                             context.now);
  freshness_.OnConfirmed(reply.clock, context.now);
  if (on_confirmed) on_confirmed(context);
}

void SettingsStore::NotePlatformSuccess(Context& context) {
  if (!platform_failing_) return;
  platform_failing_ = false;
  context.Log(LogLevel::kInfo, kPart, "the platform is reachable again");
}

void SettingsStore::OnPlatformFailure(Context& context) {
  op_.reset();
  op_deadline_ = kNever;
  if (!platform_failing_) {
    platform_failing_ = true;
    context.Log(LogLevel::kWarning, kPart,
                "the platform is unreachable or failing; version " +
                    std::to_string(document_.version) + " stays in force");
  }
  if (uses_watch()) {
    // A read from position 0 is answered at once, whereas a watch would take
    // seconds to show that the platform has recovered.
    watch_position_ = 0;
    ++failures_;
    next_attempt_ = std::max(
        context.now, watch_started_at_ + Jittered(poll_interval_, context));
    next_poll_ = next_attempt_;
    poll_interval_ = std::min(poll_interval_ * 2, kMaxWatchRetryDelay);
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
  // Version 0 is sent only when ready: a node that is not ready does not know
  // whether settings exist.
  const bool newer = document_.version > request.have_version;
  const bool no_settings_exist =
      ready_ && document_.version == 0 && !uses_watch();
  if (!newer && !no_settings_exist) return;
  context.Emit(
      SendPeer{from.name, address,
               SettingsSnapshot{document_.version, Hash64(text_), text_}});
}

void SettingsStore::OnSnapshot(const SettingsSnapshot& snapshot,
                               Context& context) {
  if (Hash64(snapshot.text) != snapshot.text_hash) return;
  Outcome<SettingsDocument> document = ParseDocument(snapshot.text);
  if (!document || document.value().version != snapshot.version) return;
  if (!ready_) StartPeerWait(context.now);
  if (snapshot.version > document_.version) {
    Adopt(std::move(document.value()), snapshot.text, "a peer", context);
  }
}

void SettingsStore::OnVersionSeen(const std::string& peer,
                                  const Endpoint& address, uint64_t version,
                                  Context& context) {
  if (ready_ && version <= document_.version) return;
  if (uses_watch() && version <= document_.version) return;
  if (peers_.size() >= kMaxPeers && peers_.count(peer) == 0) return;
  PeerVersion& entry = peers_[peer];
  entry.address = address;
  if (version > entry.version) {
    entry.version = version;
    entry.requested = false;
  }
  if (next_request_ == kNever) RequestSnapshots(context);
}

// Requests the snapshot from the peers with the highest versions first, and
// from each peer once until all have been requested.
void SettingsStore::RequestSnapshots(Context& context) {
  if (peers_.empty()) {
    next_request_ = kNever;
    return;
  }
  next_request_ = context.now + kRequestInterval;
  std::vector<std::pair<uint64_t, std::string>> candidates;
  for (const auto& [name, peer] : peers_) {
    if (!peer.requested) candidates.emplace_back(peer.version, name);
  }
  if (candidates.empty()) {
    for (auto& [name, peer] : peers_) peer.requested = false;
    return;
  }
  std::sort(candidates.rbegin(), candidates.rend());
  const size_t count =
      std::min(candidates.size(), ready_ ? 1 : kPeersPerRequest);
  for (size_t i = 0; i < count; ++i) {
    PeerVersion& peer = peers_[candidates[i].second];
    peer.requested = true;
    context.Emit(SendPeer{candidates[i].second, peer.address,
                          SettingsRequest{document_.version}});
  }
}

uint64_t SettingsStore::HighestVersionSeen() const {
  uint64_t highest = document_.version;
  for (const auto& [name, peer] : peers_) {
    highest = std::max(highest, peer.version);
  }
  return highest;
}

void SettingsStore::Adopt(SettingsDocument document, std::string text,
                          const char* source, Context& context) {
  if (document.version <= document_.version) return;
  document_ = std::move(document);
  text_ = std::move(text);
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    const bool still_ahead = peer->second.version > document_.version;
    peer = still_ahead ? std::next(peer) : peers_.erase(peer);
  }
  const std::string confirmed =
      uses_watch()
          ? ", last confirmed " + DescribeAge(freshness_.Age(context.now))
          : "";
  context.Log(LogLevel::kInfo, kPart,
              "version " + std::to_string(document_.version) +
                  " in force, from " + source + confirmed);
  if (on_adopted) on_adopted(document_.version, context);
  if (!ready_) UpdateReadiness(context);
}

void SettingsStore::StartPeerWait(TimePoint now) {
  if (peer_wait_end_ != kNever) return;
  peer_wait_end_ = now + kPeerWait;
  newer_version_wait_end_ = now + kNewerVersionWait;
}

void SettingsStore::UpdateReadiness(Context& context) {
  if (ready_) return;
  readiness_checked_at_ = context.now;
  if (head_known_) {
    // The head is known, so a lower version is not sufficient.
    if (document_.version < head_.version) return;
    StartPeerWait(context.now);
  }
  const bool needs_no_peer =
      head_known_ && (!peers_consulted || peers_consulted());
  if (!needs_no_peer && context.now < peer_wait_end_) return;
  if (!head_known_ && uses_watch() && document_.version == 0) return;
  const bool highest = document_.version >= HighestVersionSeen();
  if (!highest && context.now < newer_version_wait_end_) return;
  BecomeReady(context,
              head_known_ ? "read from the platform" : "received from peers");
}

void SettingsStore::BecomeReady(Context& context, const char* source) {
  ready_ = true;
  if (uses_watch()) next_poll_ = std::min(next_poll_, context.now);
  peer_wait_end_ = kNever;
  newer_version_wait_end_ = kNever;
  context.Log(LogLevel::kInfo, kPart,
              "ready with version " + std::to_string(document_.version) + ", " +
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
  if (queued_changes_.size() >= kMaxQueuedChanges) {
    AnswerUnavailable(call, "too many changes are waiting", context);
    return;
  }
  queued_changes_.push_back(
      {call, std::move(changes), expected_version, std::move(author)});
  if (!running_change_) StartNextChange(context);
}

// Runs changes one at a time, since concurrent changes from one node would only
// race each other.
void SettingsStore::StartNextChange(Context& context) {
  while (!running_change_ && !queued_changes_.empty()) {
    running_change_ = std::make_unique<SettingsChangeRun>(
        std::move(queued_changes_.front()), document_);
    queued_changes_.pop_front();
    running_change_->on_accepted = [this](SettingsDocument document,
                                          std::string text,
                                          Context& accepted_context) {
      Adopt(std::move(document), std::move(text), "a change made here",
            accepted_context);
    };
    running_change_->Start(context);
    if (running_change_->finished()) running_change_.reset();
  }
}

void SettingsStore::AdvanceChanges(Context& context) {
  if (!running_change_->finished()) return;
  running_change_.reset();
  StartNextChange(context);
}

}  // namespace amaranth::pvt
