#include "libnode/node_state.h"

#include <algorithm>

#include "amaranthroute/policy/retry_after.h"
#include "libnode/operator_api.h"
#include "libnode/shared/answers.h"

namespace amaranth::pvt {
namespace {

constexpr std::string_view kTicketPath = "/amaranth/v1/ticket";

// Time for which a node that exits waits for the answers to calls that it has
// withdrawn from the queues of other nodes.
constexpr Duration kWithdrawTime = std::chrono::milliseconds(200);

std::string_view KindLabel(const PlatformRequest& request) {
  if (const auto* watch = std::get_if<TableWatchSettings>(&request)) {
    return watch->after == 0 ? "kind=\"read-settings\""
                             : "kind=\"watch-settings\"";
  }
  if (std::holds_alternative<TableReadHead>(request)) {
    return "kind=\"read-head\"";
  }
  if (std::holds_alternative<TableReadPeers>(request)) {
    return "kind=\"read-peers\"";
  }
  if (std::holds_alternative<TableWritePeer>(request)) {
    return "kind=\"write-peer\"";
  }
  if (std::holds_alternative<TableReadRetained>(request)) {
    return "kind=\"read-retained\"";
  }
  if (std::holds_alternative<TableWriteRetained>(request)) {
    return "kind=\"write-retained\"";
  }
  if (std::holds_alternative<TableClaimRows>(request)) {
    return "kind=\"claim-keys\"";
  }
  return "kind=\"other\"";
}

}  // namespace

NodeState::NodeState(NodeIdentity id)
    : identity(std::move(id)),
      random(identity.random_seed),
      membership(identity),
      settings(identity),
      settings_cache(settings, identity.mesh),
      quotas(identity, membership, settings_cache, outbox, stats),
      serving(membership, settings_cache, outbox, stats, records),
      claims(membership, outbox, stats),
      entry({membership, settings_cache, quotas, serving, claims, outbox, stats,
             records, identity.data_centre}) {
  ConnectModules();
}

void NodeState::ConnectModules() {
  outbox.SetOnSend(
      [this](const std::string& peer, const Endpoint& address,
             Context& context) { links.OnSent(peer, address, context); });
  membership.on_settings_version = [this](const std::string& peer,
                                          uint64_t version, Context& context) {
    const MemberRecord* member = membership.Find(peer);
    if (member == nullptr) return;
    settings.OnVersionSeen(peer, member->peer_address, version, context);
  };
  membership.settings_confirmed_at = [this]() {
    return settings.confirmed_at();
  };
  membership.on_settings_confirmed = [this](uint64_t version, PlatformTime at,
                                            Context& context) {
    settings.OnConfirmed(version, at, context.now);
  };
  membership.on_platform_epoch = [this](uint64_t epoch, Context& context) {
    settings.OnPlatformEpoch(epoch, context);
  };
  settings.rank_in_data_centre = [this]() { return membership.SettingsRank(); };
  settings.on_confirmed = [this](Context& context) {
    membership.AnnounceConfirmation(context);
  };
  settings.on_confirmation_wanted = [this](Context& context) {
    membership.RequestConfirmation(context);
  };
  settings.peers_consulted = [this]() { return membership.peers_consulted(); };
  settings.on_adopted = [this](uint64_t version, Context& context) {
    membership.SetSettingsVersion(version);
    records.Add(context.now, "", "settings",
                "version " + std::to_string(version) + " is in force");
  };
  membership.on_departure_copied = [this](uint64_t number, Context& context) {
    serving.OnDepartureCopied(number, context);
  };
  membership.on_departure_learned = [this](const Departure& departure,
                                           const std::string& source,
                                           Context& context) {
    serving.OnDepartureLearned(departure, source, context);
  };
  serving.on_hop_cancelled = [this](uint64_t hop, Context& context) {
    entry.OnHopCancelled(hop, context);
  };
  quotas.on_decision = [this](uint64_t call, const QuotaDecision& decision,
                              Context& context) {
    return entry.OnQuotaDecision(call, decision, context);
  };
  claims.on_result = [this](const ClaimResult& result, Context& context) {
    entry.OnClaimResult(result, context);
  };
  links.awaits_answer = [this](const std::string& peer) {
    return entry.AwaitsAnswerFrom(peer);
  };
  links.on_unresponsive = [this](const std::string& peer, Context& context) {
    entry.OnPeerUnresponsive(peer, context);
  };
  links.on_dropped = [this](const std::string& peer, Context& context) {
    HandlePeerLost(peer, context);
  };
}

Effects NodeState::Start(TimePoint now) {
  Effects effects;
  Context context{identity, now, random, next_id, effects};
  context.Log(LogLevel::kInfo, "node",
              "Process started: incarnation=" +
                  std::to_string(identity.node.incarnation) + ".");
  membership.Start(context);
  serving.Start(now, identity);
  settings.Start(context);
  quotas.Start(now);
  RequestWake(context);
  CountPlatformCalls(effects);
  return effects;
}

Effects NodeState::Reduce(const Event& event) {
  Effects effects;
  Context context{identity, event.now, random, next_id, effects};
  std::visit([&](const auto& body) { ApplyOne(body, context); }, event.body);
  DeliverLocal(context);
  RunTimers(context);
  serving.AcceptHeld(context);
  DeliverLocal(context);
  // A new process took over the host while this one was paused. Tickets and
  // claims of this process name its incarnation, so nothing runs twice, but the
  // new process now serves the callers and backend servers.
  if (membership.superseded()) RequestStop(context);
  ExitIfDrained(context);
  RequestWake(context);
  CountPlatformCalls(effects);
  return effects;
}

void NodeState::CountPlatformCalls(const Effects& effects) {
  for (const Effect& effect : effects) {
    const auto* call = std::get_if<SendPlatform>(&effect);
    if (call == nullptr) continue;
    stats.Count("amaranth_platform_calls_total", KindLabel(call->request));
  }
}

void NodeState::RefuseCaller(const CallerRequest& event, Reason reason,
                             Context& context) {
  Failure failure;
  failure.verdict = UnregisteredVerdict(event.request, identity.rules);
  failure.reason = reason;
  failure.retry_after = RetryAfter(0, 0, random);
  context.Emit(AnswerCaller{event.call,
                            FailureResponse(failure, "", identity.node.name)});
}

void NodeState::ApplyOne(const CallerRequest& event, Context& context) {
  const std::string& target = event.request.target;
  const bool is_announcer = event.from == CallerKind::kAnnouncer;
  const bool may_announce = is_announcer || !identity.rules.announce_port;
  if (may_announce && target == kAnnouncePath) {
    return serving.OnAnnounce(event.call, event.request, context);
  }
  if (may_announce && target == kLeavePath) {
    return serving.OnLeave(event.call, event.request, context);
  }
  if (is_announcer) {
    context.Emit(AnswerCaller{
        event.call, JsonResponse(404, R"({"error":"no such call"})")});
    return;
  }
  if (!settings.ready()) {
    return RefuseCaller(event, Reason::kNotReady, context);
  }
  if (target == kTicketPath) return entry.OnTicketRequest(event.call, context);
  const bool nested =
      !FindHeader(event.request.headers, kContextHeader).empty();
  const bool past_grace =
      stop.requested && context.now - stop.since >= identity.rules.leave_grace;
  if (past_grace && !nested) {
    return RefuseCaller(event, Reason::kDraining, context);
  }
  entry.OnCallerRequest(event, context);
}

void NodeState::ApplyOne(const CallerGone& event, Context& context) {
  entry.OnCallerGone(event.call, context);
}

void NodeState::ApplyOne(const OperatorRequest& event, Context& context) {
  HandleOperatorRequest(event, *this, context);
}

void NodeState::ApplyOne(const PeerReceived& event, Context& context) {
  links.OnReceived(event.peer.name, context);
  entry.OnPeerResponded(event.peer.name);
  Deliver(event.peer, event.message, context);
}

void NodeState::ApplyOne(const PeerLost& event, Context& context) {
  context.Log(
      LogLevel::kWarning, "links",
      "Link to node " + event.peer + " closed; calls there may have run.");
  HandlePeerLost(event.peer, context);
}

void NodeState::HandlePeerLost(const std::string& peer, Context& context) {
  links.OnLost(peer);
  entry.OnPeerLost(peer, context);
  serving.OnEntryLost(peer, context);
  claims.OnPeerLost(peer, context);
  quotas.OnPeerLost(peer, context);
}

void NodeState::ApplyOne(const PeerSendFailed& event, Context& context) {
  entry.OnSendFailed(event.peer, event.message, context);
  if (std::holds_alternative<ClaimRequest>(event.message)) {
    claims.OnPeerLost(event.peer, context);
  } else if (const auto* ask = std::get_if<QuotaRequest>(&event.message)) {
    quotas.OnSendFailed(*ask, context);
  }
}

void NodeState::ApplyOne(const GossipReceived& event, Context& context) {
  membership.OnGossip(event, context);
}

void NodeState::ApplyOne(const ServerReplied& event, Context& context) {
  serving.OnServerReplied(event, context);
}

void NodeState::ApplyOne(const ServerFailed& event, Context& context) {
  serving.OnServerFailed(event, context);
}

void NodeState::ApplyOne(const PlatformReplied& event, Context& context) {
  membership.OnPlatformEpoch(event.reply.epoch, context);
  if (event.reply.status == PlatformStatus::kOk) {
    membership.OnPlatformAnswered(context);
  }
  if (claims.OnPlatformReplied(event, context)) return;
  if (settings.OnPlatformReplied(event, context)) return;
  membership.OnPlatformReplied(event, context);
}

void NodeState::ApplyOne(const Tick&, Context&) {
  requested_wake_ = kNever;  // Reduce runs the timers after every event
}

void NodeState::ApplyOne(const StopRequested&, Context& context) {
  RequestStop(context);
}

void NodeState::RequestStop(Context& context) {
  if (stop.requested) return;
  stop.requested = true;
  stop.since = context.now;
  if (identity.rules.leave_delay == Duration::zero()) {
    membership.Leave(context);
  }
  records.Add(context.now, "", "stop", "graceful shutdown began");
  context.Log(LogLevel::kInfo, "node", "Graceful shutdown began.");
}

void NodeState::Deliver(const NodeRef& from, const PeerMessage& message,
                        Context& context) {
  if (const auto* forward = std::get_if<CallForward>(&message)) {
    serving.OnForward(from, *forward, context);
  } else if (const auto* answer = std::get_if<CallAnswer>(&message)) {
    entry.OnCallAnswer(from, *answer, context);
  } else if (const auto* cancel = std::get_if<CallCancel>(&message)) {
    serving.OnCancel(from, *cancel, context);
  } else if (const auto* home = std::get_if<HomeForward>(&message)) {
    entry.OnHomeForward(from, *home, context);
  } else if (const auto* ping = std::get_if<LinkPing>(&message)) {
    const Endpoint address = membership.PeerAddressOf(from.name);
    context.Emit(SendPeer{from.name, address, LinkPong{ping->sequence}});
  } else if (const auto* request = std::get_if<SettingsRequest>(&message)) {
    const Endpoint address = membership.PeerAddressOf(from.name);
    settings.OnSettingsRequest(from, address, *request, context);
  } else if (const auto* snapshot = std::get_if<SettingsSnapshot>(&message)) {
    settings.OnSnapshot(*snapshot, context);
  } else if (const auto* claim = std::get_if<ClaimRequest>(&message)) {
    claims.OnClaimRequest(from, *claim, context);
  } else if (const auto* reply = std::get_if<ClaimReply>(&message)) {
    claims.OnClaimReply(*reply, context);
  } else if (const auto* ask = std::get_if<QuotaRequest>(&message)) {
    quotas.OnRequest(from, *ask, context);
  } else if (const auto* quota = std::get_if<QuotaReply>(&message)) {
    quotas.OnReply(*quota, context);
  } else if (const auto* sync = std::get_if<MemberSync>(&message)) {
    membership.OnSync(from, *sync, context);
  }
}

void NodeState::DeliverLocal(Context& context) {
  while (outbox.HasLocal()) {
    const PeerMessage message = outbox.TakeLocal();
    Deliver(identity.node, message, context);
  }
}

void NodeState::RunTimers(Context& context) {
  if (context.now < NextTimer()) return;
  membership.OnTimer(context);
  settings.OnTimer(context);
  quotas.OnTimer(context);
  entry.OnTimer(context);
  serving.OnTimer(context);
  claims.OnTimer(context);
  links.OnTimer(context);
}

TimePoint NodeState::NextTimer() const {
  return std::min({membership.next_timer(), settings.next_timer(),
                   quotas.next_timer(), entry.next_timer(),
                   serving.next_timer(), claims.next_timer(),
                   links.next_timer()});
}

void NodeState::ExitIfDrained(Context& context) {
  if (!stop.requested || stop.exited) return;
  const Duration since = context.now - stop.since;
  if (since >= identity.rules.leave_delay) membership.Leave(context);
  const bool idle = entry.calls() == 0 && serving.hops() == 0 &&
                    !serving.has_waiting_acknowledgements();
  const Duration limit = settings_cache.Resolve("", "").drain_timeout;
  if (since < identity.rules.leave_grace || (!idle && since < limit)) return;
  if (!idle && !stop.withdrew_waiting) {
    stop.withdrew_waiting = true;
    context.Log(LogLevel::kInfo, "node",
                "Drain timed out; withdrawing the calls that wait.");
    entry.WithdrawWaiting(context);
    serving.RefuseWaiting(context);
    DeliverLocal(context);
  }
  const bool still_idle = entry.calls() == 0 && serving.hops() == 0;
  if (!still_idle && since < limit + kWithdrawTime) return;
  stop.exited = true;
  context.Log(LogLevel::kInfo, "node",
              idle ? "Drained; exiting." : "Drain timed out; exiting.");
  entry.FailAll(context);
  context.Emit(ExitProcess{membership.superseded_at_same_address_by()});
}

void NodeState::RequestWake(Context& context) {
  TimePoint next = NextTimer();
  if (stop.requested && !stop.exited) {
    const TimePoint grace_end = stop.since + identity.rules.leave_grace;
    const TimePoint retry = context.now + std::chrono::milliseconds(50);
    next = std::min(next, std::max(grace_end, retry));
    const TimePoint leave_at = stop.since + identity.rules.leave_delay;
    if (context.now < leave_at) next = std::min(next, leave_at);
  }
  // The next timer often moves later as calls end. An early Tick costs little,
  // so the shell's timer is set again only for an earlier time.
  if (next == kNever || next >= requested_wake_) return;
  requested_wake_ = next;
  context.Emit(WakeAt{next});
}

}  // namespace amaranth::pvt
