#ifndef AMARANTHROUTE_LIBNODE_SETTINGS_SETTINGS_STORE_H_
#define AMARANTHROUTE_LIBNODE_SETTINGS_SETTINGS_STORE_H_

// Holds the settings in force at this node, changes them through the platform,
// restores them after a start and exchanges them with peers.
//
// A node holds only versions that the platform has accepted, so it may send
// its snapshot to any peer. The version never decreases.

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "amaranthroute/settings.h"
#include "libnode/settings/settings_change.h"
#include "libnode/settings/settings_document.h"
#include "libnode/settings/settings_freshness.h"
#include "libnode/shared/context.h"
#include "libnode/shared/settings_watchers.h"

namespace amaranth::pvt {

class SettingsStore {
 public:
  explicit SettingsStore(const NodeIdentity& identity);
  SettingsStore(const SettingsStore&) = delete;
  SettingsStore& operator=(const SettingsStore&) = delete;

  // Returns the rank of this node among the nodes of its data centre that are
  // up. The delegates that poll the platform's head, and the watchers, are the
  // first of them.
  std::function<DataCentreRank()> rank_in_data_centre;
  // Returns whether a peer has reported its version, or there is no peer to do
  // so. Until then a node that starts waits briefly before it becomes ready
  // with the platform's version: the platform may have come back from a copy.
  std::function<bool()> peers_consulted;
  // Called after a new version has come into force.
  std::function<void(uint64_t version, Context&)> on_adopted;
  // Called after the platform itself has confirmed this node's settings.
  std::function<void(Context&)> on_confirmed;
  // Called when the last confirmation is old enough to ask other nodes.
  std::function<void(Context&)> on_confirmation_wanted;

  void Start(Context& context);
  void OnTimer(Context& context);
  TimePoint next_timer() const;
  // Returns true if the reply belongs to an operation of this store.
  bool OnPlatformReplied(const PlatformReplied& replied, Context& context);

  // Handles a peer's request for the snapshot.
  void OnSettingsRequest(const NodeRef& from, const Endpoint& address,
                         const SettingsRequest& request, Context& context);
  void OnSnapshot(const SettingsSnapshot& snapshot, Context& context);
  // Records that a peer holds `version`. While this node is not ready, version
  // 0 counts too, since the peer may know that there are no settings yet; a
  // node that watches the platform ignores it.
  void OnVersionSeen(const std::string& peer, const Endpoint& address,
                     uint64_t version, Context& context);

  // Used where nodes watch the platform: records a peer's report that the
  // platform held nothing newer than `version` when its clock showed `at`.
  void OnConfirmed(uint64_t version, PlatformTime at, TimePoint now);
  // Returns the latest moment at which the platform is known to have held
  // nothing newer than version(); nullopt if none is known.
  std::optional<PlatformTime> confirmed_at() const {
    return freshness_.confirmed_at();
  }
  // Records a higher epoch of the platform, as PlatformReply::epoch.
  // Confirmations of an earlier one say nothing about it.
  void OnPlatformEpoch(uint64_t epoch, Context& context);

  // Queues an operator's change. It is answered exactly once, possibly later,
  // by AnswerCaller with a JSON body.
  void Change(CallId call, std::vector<SettingsChange> changes,
              std::optional<uint64_t> expected_version, std::string author,
              Context& context);

  const SettingsTree& tree() const { return document_.tree; }
  const RouteTable& routes() const { return document_.routes; }
  const CustomerTable& customers() const { return document_.customers; }
  uint64_t version() const { return document_.version; }
  bool ready() const { return ready_; }
  // Newest last.
  const std::vector<SettingsHistoryEntry>& history() const {
    return document_.history;
  }

 private:
  struct PeerVersion {
    Endpoint address;
    uint64_t version = 0;
    bool requested = false;
  };

  DataCentreRank Rank() const;
  bool IsDelegate() const;
  void PollHead(Context& context);
  // Decides whether this node reads or watches the platform now, and sets the
  // time of the next decision.
  void ReviewWatch(Context& context);
  void WatchUntilReady(Context& context);
  // Reads the document, in place of an open watch, unless a read is under way.
  void ReadDocument(std::optional<Duration> age, Context& context);
  // Watches from the last position for `wait`; reads if there is none.
  void StartWatch(Duration wait, Context& context);
  // Returns the time in which each watcher has one slot.
  Duration WatchPeriod(const DataCentreRank& rank) const;
  // Returns how long this watcher's next watch is to wait: until its slot on
  // the platform's clock, so that the watchers' replies are spread over time.
  Duration WatchWait(const DataCentreRank& rank, TimePoint now) const;
  void OnWatchReply(const PlatformReply& reply, Context& context);
  // Returns false if the reply has a document that cannot be read.
  bool TakeDocument(const PlatformReply& reply, Context& context);
  void Confirm(const PlatformReply& reply, Context& context);
  // Returns whether the position of the last watch belongs to another epoch of
  // the platform than its reply, so that changes may have been skipped.
  bool IsPositionObsolete(const PlatformReply& reply) const {
    return watch_position_ != 0 && reply.epoch != 0 &&
           reply.epoch != watch_epoch_;
  }
  bool uses_watch() const {
    return identity_.rules.settings_source == SettingsSource::kWatch;
  }
  void OnHeadReply(const PlatformReply& reply, Context& context);
  void OnObjectReply(const PlatformReply& reply, Context& context);
  void NotePlatformSuccess(Context& context);
  void OnPlatformFailure(Context& context);
  void RequestSnapshots(Context& context);
  uint64_t HighestVersionSeen() const;
  // `source` says for the log where the document comes from.
  void Adopt(SettingsDocument document, std::string text, const char* source,
             Context& context);
  void UpdateReadiness(Context& context);
  // Starts the wait for peers' versions at a start, unless it has begun.
  void StartPeerWait(TimePoint now);
  void BecomeReady(Context& context, const char* source);
  void StartNextChange(Context& context);
  void AdvanceChanges(Context& context);

  NodeIdentity identity_;
  SettingsDocument document_;
  std::string text_;  // document_ as sent to peers
  bool ready_ = false;

  TimePoint next_poll_ = kNever;
  // With a watch: earliest time of the next call.
  TimePoint next_attempt_{};
  Duration poll_interval_{0};
  int failures_ = 0;                // of watches and reads, in a row
  std::optional<PlatformOpId> op_;  // reads the head or a snapshot, or watches
  bool op_reads_object_ = false;
  TimePoint op_deadline_ = kNever;
  // The platform has returned the head at least once. With a watch: the last
  // successful reply left a version above 0 in force.
  bool head_known_ = false;
  bool platform_failing_ = false;  // the last operation failed; already logged
  // Position from which the next watch continues, 0 to read the document, and
  // the platform's epoch to which it belongs.
  uint64_t watch_position_ = 0;
  uint64_t watch_epoch_ = 0;
  TimePoint watch_started_at_{};
  Duration watch_wait_{0};       // 0 for a read
  uint64_t platform_epoch_ = 0;  // highest known
  SettingsWatchTimes times_;
  SettingsFreshness freshness_;
  SettingsHead head_;

  // Peers with a newer version; while this node is not ready, and does not
  // watch the platform, peers with any version.
  std::map<std::string, PeerVersion> peers_;
  TimePoint next_request_ = kNever;
  // At a start: end of the wait for peers' versions or snapshots, and of the
  // wait for a newer version that a peer has reported.
  TimePoint peer_wait_end_ = kNever;
  TimePoint newer_version_wait_end_ = kNever;
  TimePoint readiness_checked_at_{};

  std::deque<SettingsChangeRequest> queued_changes_;
  std::unique_ptr<SettingsChangeRun> running_change_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SETTINGS_SETTINGS_STORE_H_
