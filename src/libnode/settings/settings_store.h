#ifndef AMARANTHROUTE_LIBNODE_SETTINGS_SETTINGS_STORE_H_
#define AMARANTHROUTE_LIBNODE_SETTINGS_SETTINGS_STORE_H_

// The settings in force at this node: how they are changed through the
// platform, found again after a start, and passed on between peers.
//
// Only a version that the platform's head has named is ever held, so a node
// may hand what it holds to any peer. The version only rises.

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
#include "libnode/shared/context.h"

namespace amaranth::pvt {

class SettingsStore {
 public:
  explicit SettingsStore(const NodeIdentity& identity);
  SettingsStore(const SettingsStore&) = delete;
  SettingsStore& operator=(const SettingsStore&) = delete;

  // Nodes of this data centre that are up, this one included: the delegates
  // that poll the platform's head are chosen from them by hash.
  std::function<std::vector<std::string>()> up_in_data_centre;
  // Called after a new version came into force.
  std::function<void(uint64_t version, Context&)> on_adopted;

  void Start(Context& context);
  void OnTimer(Context& context);
  TimePoint next_timer() const;
  // True if the reply was to an operation of this store.
  bool OnPlatformReplied(const PlatformReplied& replied, Context& context);

  // A peer wants the snapshot.
  void OnSettingsRequest(const NodeRef& from, const Endpoint& address,
                         const SettingsRequest& request, Context& context);
  void OnSnapshot(const SettingsSnapshot& snapshot, Context& context);
  // A peer was heard to hold `version`. While this node is not ready, version
  // 0 counts too: the peer may know that there are no settings yet.
  void OnVersionSeen(const std::string& peer, const Endpoint& address,
                     uint64_t version, Context& context);

  // Where the platform is watched: a peer tells how long ago the platform was
  // known to hold nothing newer than `version`.
  void OnConfirmed(uint64_t version, Duration ago, TimePoint now);
  // The same of this node; nothing if it does not know.
  std::optional<Duration> ConfirmedAgo(TimePoint now) const;

  // An operator's change. Answered later, once, by AnswerCaller with JSON.
  void Change(CallId call, std::vector<SettingsChange> changes,
              std::optional<uint64_t> expected_version, std::string author,
              Context& context);

  const SettingsTree& tree() const { return document_.tree; }
  const RouteTable& routes() const { return document_.routes; }
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
    bool asked = false;
  };

  bool IsAmongFirst(size_t count) const;
  bool IsDelegate() const;
  void PollHead(Context& context);
  void Watch(Context& context);
  // Watches, or leaves that to the watchers while they are heard of.
  void ConsiderWatch(Context& context);
  bool HearsOfWatchers(TimePoint now) const;
  void OnWatched(const PlatformReply& reply, Context& context);
  bool watches() const {
    return identity_.rules.settings_source == SettingsSource::kWatch;
  }
  void OnHead(const PlatformReply& reply, Context& context);
  void OnObject(const PlatformReply& reply, Context& context);
  void NotePlatformAnswers(Context& context);
  void OnPlatformSilent(Context& context);
  void AskPeers(Context& context);
  uint64_t HighestSeen() const;
  void Adopt(SettingsDocument document, std::string text, Context& context);
  void ConsiderReady(Context& context);
  void BecomeReady(Context& context, const char* source);
  void StartNextChange(Context& context);
  void ContinueChanges(Context& context);

  NodeIdentity identity_;
  SettingsDocument document_;
  std::string text_;  // of document_, as handed to peers
  bool ready_ = false;

  TimePoint next_poll_ = kNever;
  Duration poll_interval_{0};
  std::optional<PlatformOpId> op_;  // reading the head or a snapshot
  bool op_reads_object_ = false;
  TimePoint op_deadline_ = kNever;
  bool head_known_ = false;     // the platform has told the head at least once
  bool platform_lost_ = false;  // told in the log
  uint64_t watched_ = 0;        // where the next watch goes on
  TimePoint watch_began_{};
  std::optional<TimePoint> confirmed_;  // as peers told
  SettingsHead head_;

  std::map<std::string, PeerVersion> peers_;  // that hold more than this node
  TimePoint next_ask_ = kNever;
  TimePoint peers_settled_at_ = kNever;  // enough peers heard to start with
  TimePoint give_up_higher_at_ = kNever;

  std::deque<SettingsChangeRequest> waiting_changes_;
  std::unique_ptr<SettingsChangeRun> change_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SETTINGS_SETTINGS_STORE_H_
