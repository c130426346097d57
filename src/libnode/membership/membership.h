#ifndef AMARANTHROUTE_LIBNODE_MEMBERSHIP_MEMBERSHIP_H_
#define AMARANTHROUTE_LIBNODE_MEMBERSHIP_MEMBERSHIP_H_

// Who is in the fleet and which backend servers they have, without any list
// kept elsewhere: SWIM inside a data centre, anti-entropy between data centres.
// See docs/design/membership.md.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "amaranthroute/messages.h"
#include "libnode/membership/membership_table.h"
#include "libnode/membership/membership_updates.h"
#include "libnode/shared/context.h"

namespace amaranth::pvt {

class Membership {
 public:
  explicit Membership(const NodeIdentity& identity);

  // A peer was heard to hold a settings version above ours, or we hold none.
  std::function<void(const std::string& peer, uint64_t version, Context&)>
      on_settings_version;
  // How long ago the settings in force here were known to be the newest, as
  // told to and by peers.
  std::function<std::optional<Duration>(TimePoint now)> settings_confirmed;
  std::function<void(uint64_t version, Duration ago, Context&)>
      on_settings_confirmed;

  void Start(Context& context);
  void OnGossip(const GossipReceived& received, Context& context);
  void OnSync(const NodeRef& from, const MemberSync& sync, Context& context);
  // True if the reply was to an operation of this module.
  bool OnPlatformReplied(const PlatformReplied& replied, Context& context);
  void OnTimer(Context& context);
  TimePoint next_timer() const;

  // A local backend server's announcement. The same content again only keeps
  // it from expiring; it makes no new version of our record.
  void AnnounceServer(const ServerRecord& record, Context& context);
  void RemoveServer(const std::string& server, Context& context);
  void SetServerDraining(const std::string& server, Context& context);
  // How a local backend server does, told to all who call its service.
  void SetServerFitness(const std::string& server, const ServerFitness& fitness,
                        Context& context);
  // Drops local servers that have not announced themselves lately.
  void ExpireServers(Context& context);
  // A planned stop: told to others at once; they send us no new work.
  void Leave(Context& context);

  // Null if there is no record.
  const MemberRecord* Find(const std::string& node_name) const;
  // Where the node's peer link is dialled; port 0 if there is no record, which
  // leaves only a link that is open already.
  Endpoint PeerAddressOf(const std::string& node_name) const;
  const std::map<std::string, MemberRecord>& members() const {
    return table_.members();
  }
  // Places where new work for `service` may go.
  const std::vector<ServerPlace>& ServersOf(const std::string& service) const {
    return table_.ServersOf(service);
  }
  // True once any node has ever announced the service.
  bool ServiceKnown(const std::string& service) const {
    return table_.ServiceKnown(service);
  }
  // Names of this data centre's nodes that are up, ours included: all choose
  // the same delegates from them by hash.
  std::vector<std::string> AliveInDataCentre() const;

  // Nodes that are up or were until lately, ours included: those of a data
  // centre that is cut off may still be at work.
  size_t NodesKnown() const { return table_.members().size(); }

  void SetSettingsVersion(uint64_t version);
  // Shares a crash-making fingerprint with the fleet.
  void AddQuarantine(const QuarantineRecord& record, Context& context);
  bool IsQuarantined(const std::string& service, uint64_t fingerprint) const {
    return CrashesOf(service, fingerprint) >= kQuarantineCrashes;
  }
  // Crashes that the fleet knows of for a fingerprint: 1 makes it a suspect.
  uint32_t CrashesOf(const std::string& service, uint64_t fingerprint) const {
    return quarantines_.CrashesOf(service, fingerprint);
  }
  std::vector<QuarantineRecord> quarantines() const {
    return quarantines_.All(last_now_);
  }

  uint64_t version() const { return Self().version; }
  uint64_t hash() const { return table_.hash(); }
  // False from the end of a pause until a peer has answered: what this node
  // knows may be stale until then.
  bool view_verified() const { return verified_; }
  // True if a later incarnation of this node's name runs elsewhere.
  bool superseded() const { return superseded_; }
  // The incarnation of that process if it ran at this one's address; else 0.
  // Two processes cannot have one address: it is gone, and its host's clock was
  // set back before this one was started.
  uint64_t superseded_here_by() const { return superseded_here_by_; }

 private:
  struct Probe {
    std::string target;
    uint64_t sequence = 0;
    TimePoint indirect_at{};  // kNever once the indirect probes are out
  };
  // A probe made for another node.
  struct Relay {
    Endpoint asker;
    uint64_t asker_sequence = 0;
    TimePoint expires{};
  };
  struct Suspicion {
    TimePoint since{};
    TimePoint deadline{};
    bool ours = false;         // our own probe failed
    bool last_chance = false;  // asked once more after the deadline
  };

  // membership.cc: records.
  const MemberRecord& Self() const;
  void ChangeSelf(MemberRecord record, bool urgent, Context& context);
  void NoticePause(Context& context);
  void Merge(const MemberRecord& record, Context& context);
  void MergeSelf(const MemberRecord& record, Context& context);
  void FollowState(const MemberRecord& record, Context& context);
  bool IsLocal(const MemberRecord& record) const;
  void MergeQuarantines(const std::vector<QuarantineRecord>& records);
  void SeeSettings(const std::string& peer, uint64_t version, Context& context);

  // membership_probe.cc: who is up in this data centre.
  void OnPeriod(Context& context);
  void StartProbe(Context& context);
  void EndProbe(Context& context);
  void SendIndirect(Context& context);
  std::string NextProbeTarget(Context& context);
  void MarkSuspect(const std::string& name, Context& context);
  void ExpireSuspects(Context& context);
  void ProbeSuspects(Context& context);
  void ForgetGone(Context& context);
  Duration SuspicionTimeout(Context& context) const;
  void OnAck(const GossipMessage& message, Context& context);
  void OnPingRequest(const GossipReceived& received, Context& context);

  // membership_spread.cc: telling others.
  static bool IsDrawn(size_t peers, Context& context);
  void LookForReturned(Context& context);
  void FindPeers(Context& context);
  void Reconnect(Context& context);
  void ContactDataCentres(Context& context);
  void PushUrgent(Context& context);
  void TellQuarantines(Context& context);
  const std::vector<std::string>& UpPeers() const;
  std::vector<std::string> RandomPeers(size_t count, Context& context) const;
  std::vector<std::string> DelegatesOf(const std::string& data_centre) const;
  void Ping(const std::string& name, uint64_t sequence, Context& context);
  GossipMessage BuildMessage(GossipKind kind, uint64_t sequence,
                             const MemberRecord* receiver = nullptr);
  void AddRecord(const MemberRecord& record, size_t& size,
                 GossipMessage& message) const;
  void AddQueued(size_t budget, size_t& size, GossipMessage& message);
  void AddQuarantines(size_t& size, GossipMessage& message);

  // membership_sync.cc: exchange of whole buckets.
  void ConsiderSync(const NodeRef& peer, uint64_t hash, Context& context);
  void StartSync(const std::string& name, const Endpoint& address,
                 Context& context);
  void AnswerSync(const NodeRef& from, const MemberSync& sync,
                  Context& context);
  void FinishSync(const NodeRef& from, const MemberSync& sync, size_t learnt,
                  Context& context);
  void SyncWithSome(size_t count, Context& context);
  std::string RandomMemberOf(const std::string& data_centre,
                             Context& context) const;
  std::vector<MemberRecord> Trim(std::vector<MemberRecord> records,
                                 const std::string& first_data_centre,
                                 Context& context);

  NodeIdentity identity_;
  MembershipTable table_;
  UpdateQueue updates_;
  QuarantineList quarantines_;
  std::vector<QuarantineRecord> to_tell_;  // learned at a crash on this host
  uint64_t settings_version_ = 0;
  bool verified_ = true;
  bool superseded_ = false;
  uint64_t superseded_here_by_ = 0;
  std::optional<TimePoint> started_;
  TimePoint last_now_{};

  std::map<std::string, TimePoint> announced_;  // local servers, last heard
  std::set<std::string> told_to_drain_;         // local servers

  TimePoint next_period_ = kNever;
  uint64_t period_ = 0;
  std::optional<Probe> probe_;
  std::vector<std::string> probe_order_;
  std::map<uint64_t, Relay> relays_;
  std::map<std::string, Suspicion> suspicions_;
  std::map<std::string, TimePoint> last_heard_;  // datagrams, by sender
  std::map<std::string, TimePoint> tombstones_;  // when to forget

  // Urgent news and how many pushes of each are left.
  std::map<std::string, int> urgent_;
  int plain_pushes_left_ = 0;  // for the header and quarantines alone
  TimePoint next_push_ = kNever;

  ByteBudget gossip_budget_;
  ByteBudget sync_budget_;
  bool joined_ = false;  // a peer has answered a sync
  size_t merged_ = 0;    // records taken in so far
  TimePoint next_sync_{};
  Duration sync_interval_{0};
  TimePoint mismatch_since_ = kNever;
  TimePoint follow_up_at_ = kNever;
  std::string follow_up_peer_;
  int sync_answers_left_ = 0;
  std::map<std::string, TimePoint> remote_heard_;  // by data centre
  std::map<std::string, TimePoint> remote_sync_;   // earliest next one

  std::optional<PlatformOpId> read_peers_op_;
  std::optional<PlatformOpId> write_peer_op_;
  bool peer_row_written_ = false;
  TimePoint next_platform_ = kNever;
  Duration platform_interval_{0};

  mutable std::vector<std::string> up_peers_;
  mutable bool up_peers_stale_ = true;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_MEMBERSHIP_MEMBERSHIP_H_
