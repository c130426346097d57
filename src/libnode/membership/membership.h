#ifndef AMARANTHROUTE_LIBNODE_MEMBERSHIP_MEMBERSHIP_H_
#define AMARANTHROUTE_LIBNODE_MEMBERSHIP_MEMBERSHIP_H_

// Keeps track of the nodes of the fleet and of their backend servers without a
// central registry: SWIM inside a data centre, anti-entropy between data
// centres. See docs/design/membership.md.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "amaranthroute/messages.h"
#include "libnode/membership/departure_list.h"
#include "libnode/membership/membership_table.h"
#include "libnode/membership/membership_updates.h"
#include "libnode/membership/relay_tree.h"
#include "libnode/membership/retained_state.h"
#include "libnode/shared/context.h"
#include "libnode/shared/settings_watchers.h"

namespace amaranth::pvt {

class Membership {
 public:
  explicit Membership(const NodeIdentity& identity);

  // Called when a peer reports a settings version above this node's, and on
  // every report while this node holds no settings.
  std::function<void(const std::string& peer, uint64_t version, Context&)>
      on_settings_version;
  // `settings_confirmed_at` returns the latest time, on the platform's clock,
  // at which this node's settings were known to be the newest; it is sent to
  // peers. `on_settings_confirmed` is called with the same time received from a
  // peer.
  std::function<std::optional<PlatformTime>()> settings_confirmed_at;
  std::function<void(uint64_t version, PlatformTime at, Context&)>
      on_settings_confirmed;
  // Called when the platform's epoch rises.
  std::function<void(uint64_t epoch, Context&)> on_platform_epoch;

  void Start(Context& context);
  void OnGossip(const GossipReceived& received, Context& context);
  void OnSync(const NodeRef& from, const MemberSync& sync, Context& context);
  // Returns true if the reply belongs to an operation of this module.
  bool OnPlatformReplied(const PlatformReplied& replied, Context& context);
  // Handles a successful answer of the platform to another module's operation.
  void OnPlatformAnswered(Context& context);
  // Records the epoch of the platform that a reply or a peer reported. A new
  // epoch may lack this node's peer row, which is then written again.
  void OnPlatformEpoch(uint64_t epoch, Context& context);
  void OnTimer(Context& context);
  TimePoint next_timer() const;

  // Handles a local backend server's announcement. A repeated announcement with
  // the same content only renews the lease; it makes no new version of this
  // node's record.
  void AnnounceServer(const ServerRecord& record, Context& context);
  void RemoveServer(const std::string& server, Context& context);
  void SetServerDraining(const std::string& server, Context& context);
  // Passes on that a local backend server leaves or drains, so that the next
  // process of this node knows it. Returns a number that on_departure_copied
  // gets after this event, at the latest after kMaxCopyWait.
  uint64_t PublishDeparture(const Departure& departure, Context& context);
  // Returns the number of the last departure that others do not hold yet;
  // nullopt if there is none.
  std::optional<uint64_t> departure_in_copy() const {
    if (copy_waits_.empty()) return std::nullopt;
    return copy_waits_.back().number;
  }
  // Called when others hold the departure with this number, and all before it,
  // or cannot confirm it in time.
  std::function<void(uint64_t number, Context&)> on_departure_copied;
  // Called for each departure that an earlier process of this node has
  // acknowledged. `source` is a node or "platform".
  std::function<void(const Departure&, const std::string& source, Context&)>
      on_departure_learned;
  // Returns what this node knows of the departures that its earlier processes
  // have acknowledged.
  DepartureKnowledge departure_knowledge(TimePoint now) const;
  // Returns the time at which learning ends in any case.
  TimePoint learning_until() const { return learning_until_; }
  // Sets the fitness of a local backend server, which is published in this
  // node's record for the nodes that call its service.
  void SetServerFitness(const std::string& server, const ServerFitness& fitness,
                        Context& context);
  // Removes local servers whose announcement lease has run out.
  void ExpireServers(Context& context);
  // Announces a planned stop to others at once, so that they send no new work.
  void Leave(Context& context);

  // Returns null if there is no record.
  const MemberRecord* Find(const std::string& node_name) const;
  // Returns the address for opening a peer link to the node. Its port is 0 if
  // there is no record; then only a link that is already open can be used.
  Endpoint PeerAddressOf(const std::string& node_name) const;
  const std::map<std::string, MemberRecord>& members() const {
    return table_.members();
  }
  // Returns the servers that may be given new work for `service`.
  const std::vector<ServerPlace>& ServersOf(const std::string& service) const {
    return table_.ServersOf(service);
  }
  // Returns true once any node is known to have announced the service.
  bool IsServiceKnown(const std::string& service) const {
    return table_.IsServiceKnown(service);
  }
  // Returns the names of this data centre's nodes that are up, this node
  // included. All nodes choose the same delegates from them by hash.
  std::vector<std::string> UpInDataCentre() const;

  // Returns this node's rank among them, by which the nodes that watch the
  // settings for the others are chosen.
  DataCentreRank SettingsRank() const;
  // Sends a confirmation of the settings that this node has got from the
  // platform itself to the others of its data centre.
  void AnnounceConfirmation(Context& context);
  // Asks others of this data centre for a newer confirmation.
  void RequestConfirmation(Context& context);

  // Returns when this node learned that the member had died or left; nullopt if
  // it is up or unknown.
  std::optional<TimePoint> DownSince(const std::string& node_name) const;

  // Returns the number of nodes that are up or whose tombstone is still kept,
  // this node included: nodes of a partitioned data centre may still be
  // working.
  size_t KnownNodeCount() const { return table_.members().size(); }

  void SetSettingsVersion(uint64_t version);
  // Shares the fingerprint of a request that crashed a server with the fleet.
  void AddQuarantine(const QuarantineRecord& record, Context& context);
  // Tells the nodes with a server of the service of a run of a suspect.
  void AddSuspectNews(const SuspectNews& news, Context& context);
  // Returns whether a run of the suspect has started at a server of the fleet
  // and not ended.
  bool IsSuspectRunning(const std::string& service, uint64_t fingerprint,
                        TimePoint now) const {
    return quarantines_.IsRunning(service, fingerprint, now);
  }
  // Returns the number of suspects of the service that are running somewhere.
  size_t RunningSuspects(const std::string& service, TimePoint now) const {
    return quarantines_.RunningOf(service, now);
  }
  // Returns whether news of an answer here would help to clear the suspect at
  // all nodes.
  bool CanBeCleared(const std::string& service, uint64_t fingerprint) const {
    return quarantines_.CanBeCleared(service, fingerprint, identity_.node.name);
  }
  // Returns when answers cleared the suspect at all nodes last; nullopt if none
  // have.
  std::optional<TimePoint> ClearedAt(const std::string& service,
                                     uint64_t fingerprint) const {
    return quarantines_.ClearedAt(service, fingerprint);
  }
  bool IsQuarantined(const std::string& service, uint64_t fingerprint) const {
    return CrashesOf(service, fingerprint) >= kQuarantineCrashes;
  }
  // Returns the number of crashes that the fleet knows of for a fingerprint.
  // One crash makes it a suspect.
  uint32_t CrashesOf(const std::string& service, uint64_t fingerprint) const {
    return quarantines_.CrashesOf(service, fingerprint);
  }
  // Returns the number of crashes in the fleet at which the fingerprint is
  // known to have been in flight.
  uint32_t ReportedCrashesOf(const std::string& service,
                             uint64_t fingerprint) const {
    return quarantines_.ReportedCrashesOf(service, fingerprint);
  }
  // Returns the time of the last crash that the fingerprint is known to have
  // been in flight at; nullopt if there is none.
  std::optional<TimePoint> LastCrashOf(const std::string& service,
                                       uint64_t fingerprint) const {
    return quarantines_.LastCrashOf(service, fingerprint);
  }
  // Returns the time of the last crash of which the fingerprint was suspected
  // at any node; nullopt if it is no suspect.
  std::optional<TimePoint> SuspectedAt(const std::string& service,
                                       uint64_t fingerprint) const {
    return quarantines_.SuspectedAt(service, fingerprint);
  }
  std::vector<QuarantineRecord> quarantines() const {
    return quarantines_.All(last_now_);
  }

  // Returns whether a peer has answered this node's sync, or the platform lists
  // no other node.
  bool peers_consulted() const { return joined_ || is_only_node_; }

  uint64_t version() const { return Self().version; }
  uint64_t hash() const { return table_.hash(); }
  // Returns false from the end of a pause until a peer has answered: the view
  // may be stale until then. A node without peers counts as verified.
  bool view_verified() const { return view_verified_; }
  // Returns true if a record of this node's name with a higher incarnation has
  // been received.
  bool superseded() const { return superseded_; }
  // Returns the incarnation of that process if it had this process's peer
  // address, else 0. Two processes cannot hold one address, so it has ended,
  // and the host's clock was set back before this process was started.
  uint64_t superseded_at_same_address_by() const {
    return superseded_at_same_address_by_;
  }

 private:
  struct Probe {
    std::string target;
    uint64_t sequence = 0;
    TimePoint indirect_at{};  // kNever once the indirect probes are out
  };
  // A probe made on behalf of another node.
  struct Relay {
    Endpoint requester;
    uint64_t requester_sequence = 0;
    TimePoint expires{};
  };
  struct Suspicion {
    TimePoint since{};
    TimePoint deadline{};
    bool own_probe_failed = false;
    bool final_ping_sent = false;  // pinged once more after the deadline
  };

  // membership.cc: member records.
  const MemberRecord& Self() const;
  void ChangeSelf(MemberRecord record, bool urgent, Context& context);
  void DetectPause(Context& context);
  void Merge(const MemberRecord& record, Context& context);
  void MergeSelf(const MemberRecord& record, Context& context);
  void TrackState(const MemberRecord& record, Context& context);
  bool IsLocal(const MemberRecord& record) const;
  void MergeQuarantines(const std::vector<QuarantineRecord>& records);
  void HandleSettingsVersion(const std::string& peer, uint64_t version,
                             Context& context);

  // membership_probe.cc: failure detection in this data centre.
  void OnPeriod(Context& context);
  void StartProbe(Context& context);
  void FailOpenProbe(Context& context);
  void SendIndirectProbes(Context& context);
  std::string NextProbeTarget(Context& context);
  void MarkSuspect(const std::string& name, Context& context);
  void ExpireSuspects(Context& context);
  void PingSuspects(Context& context);
  void DropExpired(Context& context);
  Duration SuspicionTimeout(Context& context) const;
  void OnAck(const GossipMessage& message, Context& context);
  void OnPingRequest(const GossipReceived& received, Context& context);

  // membership_dissemination.cc: dissemination and peer discovery.
  static bool IsRandomlyChosen(size_t peers, Context& context);
  void PingDepartedMembers(Context& context);
  void DiscoverPeers(Context& context);
  Duration PeerRowDelay() const;
  // membership_discovery.cc: peers in the rows of the platform's table.
  void OnPeersRead(const PlatformReply& reply, Context& context);
  // Contacts some of the peers that were read, until one has answered.
  void DialPeers(Context& context);
  void Reconnect(Context& context);
  void ContactDataCentres(Context& context);
  void PushUrgent(Context& context);
  void BroadcastQuarantines(Context& context);
  // Returns as many messages without members as the records need.
  std::vector<GossipMessage> QuarantineDatagrams(
      const std::vector<QuarantineRecord>& records,
      const std::vector<SuspectNews>& news) const;
  const std::vector<std::string>& UpPeers() const;
  std::vector<std::string> RandomPeers(size_t count, Context& context) const;
  std::vector<std::string> DelegatesOf(const std::string& data_centre) const;
  void Ping(const std::string& name, uint64_t sequence, Context& context);
  GossipMessage BuildMessage(GossipKind kind, uint64_t sequence,
                             const MemberRecord* receiver = nullptr);
  // Returns a message without records.
  GossipMessage BuildHeader(GossipKind kind, uint64_t sequence) const;
  void AddRecord(const MemberRecord& record, size_t& size,
                 GossipMessage& message) const;
  // Adds what DeparturesMissingAt() returns for the receiver.
  void AddDepartures(const MemberRecord& receiver, size_t& size,
                     GossipMessage& message) const;
  void AddQueued(size_t budget, size_t& size, GossipMessage& message);
  void AddQuarantines(size_t& size, GossipMessage& message);

  // membership_departures.cc: departures of local servers.
  // An acknowledgement that waits for copies of a departure.
  struct CopyWait {
    uint64_t number = 0;
    std::string server;
    TimePoint until{};
    bool for_peer = false;
    bool for_table = false;
  };
  // Asks some nodes to confirm this node's record with the departure. Returns
  // false if there is no node to ask.
  bool PingWitnesses(uint64_t number, Context& context);
  void OnWitnessAck(uint64_t sequence, Context& context);
  // Reads this node's row of retained state, unless it is too early.
  void ReadRetained(Context& context);
  // Writes it if it is due and lacks departures.
  void WriteRetained(Context& context);
  // Returns the time until the next try after a failure, and doubles it.
  Duration NextRetainedInterval();
  void OnRetainedWritten(const PlatformReply& reply, Context& context);
  void OnRetainedRead(const PlatformReply& reply, Context& context);
  // Stops waiting for the platform's table.
  void EndTableWaits(Context& context);
  // Reports the departures whose copies are confirmed, or late.
  void EndCopyWaits(Context& context);
  void OnDepartureTimers(Context& context);
  TimePoint next_departure_timer() const;
  // Takes over what an earlier process of this node has acknowledged.
  void LearnDepartures(const std::vector<Departure>& departures,
                       const std::string& source, Context& context);
  // Keeps the departures of another node for its next process.
  void RememberDepartures(const MemberRecord& record, Context& context);
  // Returns the departures of an earlier process of a node that its present
  // process has not published.
  std::vector<Departure> DeparturesMissingAt(const MemberRecord& record) const;
  void ExpireDepartures(Context& context);

  // membership_relay.cc: confirmations of the settings in this data centre.
  const RelayTree& SettingsRelays() const;
  // Sends the latest confirmation to this node's children in the tree, if it is
  // newer than the last one sent.
  void RelayConfirmation(Context& context);

  // membership_sync.cc: anti-entropy by exchange of record buckets.
  void MaybeStartSync(const NodeRef& peer, uint64_t hash, Context& context);
  void StartSync(const std::string& name, const Endpoint& address,
                 Context& context);
  void AnswerSync(const NodeRef& from, const MemberSync& sync,
                  Context& context);
  void FinishSync(const NodeRef& from, const MemberSync& sync,
                  size_t records_learned, Context& context);
  void SyncWithRandomPeers(size_t count, Context& context);
  std::string RandomMemberOf(const std::string& data_centre,
                             Context& context) const;
  std::vector<MemberRecord> TrimToBudget(std::vector<MemberRecord> records,
                                         const std::string& first_data_centre,
                                         Context& context);

  NodeIdentity identity_;
  MembershipTable table_;
  UpdateQueue updates_;
  QuarantineList quarantines_;
  // Records of crashes on this host that are still to be sent to other nodes.
  std::vector<QuarantineRecord> quarantines_to_broadcast_;
  std::vector<SuspectNews> suspect_news_to_broadcast_;
  uint64_t settings_version_ = 0;
  bool view_verified_ = true;
  bool superseded_ = false;
  uint64_t superseded_at_same_address_by_ = 0;
  std::optional<TimePoint> started_;
  TimePoint last_now_{};

  // Local servers by name.
  std::map<std::string, TimePoint> last_announced_;
  std::set<std::string> drain_ordered_;

  // Records of crashes on this host, kept in the platform's table.
  QuarantineList own_quarantines_;
  bool stores_quarantines_ = false;  // with the next write of the row
  DepartureList own_departures_;
  std::map<std::string, DepartureList> remembered_departures_;  // by node
  std::vector<Departure> stored_departures_;   // in the platform's table
  std::vector<Departure> writing_departures_;  // by the write in flight
  std::deque<CopyWait> copy_waits_;
  std::map<uint64_t, uint64_t> witness_pings_;  // departure by ping sequence
  uint64_t departures_published_ = 0;
  bool departures_read_ = false;  // from the platform's table
  TimePoint departures_read_at_ = kNever;
  TimePoint learning_until_{};
  TimePoint next_witness_ping_ = kNever;
  bool table_failed_ = false;  // when the row was last read
  TimePoint next_retained_read_ = kNever;
  TimePoint next_retained_write_ = kNever;
  Duration retained_interval_{0};
  std::optional<PlatformOpId> read_retained_op_;
  std::optional<PlatformOpId> write_retained_op_;

  TimePoint next_period_ = kNever;
  uint64_t period_count_ = 0;
  std::optional<Probe> probe_;
  std::vector<std::string> probe_order_;
  std::map<uint64_t, Relay> relays_;
  std::map<std::string, Suspicion> suspicions_;
  std::map<std::string, TimePoint> last_heard_;  // last datagram, by sender
  std::map<std::string, TimePoint> tombstones_;  // when each expires

  // Members with urgent changes and the push rounds left for each.
  std::map<std::string, int> urgent_pushes_left_;
  // Push rounds left for the message header and quarantines alone.
  int header_pushes_left_ = 0;
  TimePoint next_push_ = kNever;

  ByteBudget gossip_budget_;
  ByteBudget sync_budget_;
  bool joined_ = false;        // a peer has answered a sync
  bool is_only_node_ = false;  // by the platform's last list of peers
  size_t records_merged_ = 0;  // records stored so far
  TimePoint next_sync_{};
  Duration sync_interval_{0};
  TimePoint mismatch_since_ = kNever;
  TimePoint follow_up_at_ = kNever;
  std::string follow_up_peer_;
  int sync_answers_left_ = 0;
  std::map<std::string, TimePoint> remote_heard_;      // by data centre
  std::map<std::string, TimePoint> next_remote_sync_;  // by data centre

  std::optional<PlatformOpId> read_peers_op_;
  bool peer_read_failed_ = false;           // at the last try
  bool reads_first_rows_ = true;            // at the last try
  std::string next_peer_rows_;              // see PlatformReply::more_from
  std::vector<std::string> peers_to_dial_;  // rows that were read
  size_t dials_at_once_ = 0;
  TimePoint next_dial_ = kNever;
  std::optional<PlatformOpId> write_peer_op_;
  bool peer_row_written_ = false;  // in the epoch platform_epoch_
  // Earliest time to write the peer row.
  std::optional<TimePoint> peer_row_due_;
  uint64_t platform_epoch_ = 0;  // highest known
  TimePoint next_platform_ = kNever;
  Duration platform_interval_{0};

  mutable std::vector<std::string> up_peers_;
  mutable bool up_peers_stale_ = true;

  mutable RelayTree settings_relays_;
  mutable bool settings_relays_stale_ = true;
  mutable size_t settings_rank_ = 0;  // in settings_relays_
  PlatformTime relayed_confirmation_{};
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_MEMBERSHIP_MEMBERSHIP_H_
