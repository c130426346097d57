#include "libnode/settings/settings_change.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "amaranthroute/hash.h"

namespace amaranth::pvt {

namespace {

using Json = nlohmann::json;

// Longest time until the operator is answered; a slow platform usually responds
// within it.
constexpr Duration kChangeTimeout = std::chrono::seconds(8);
// The platform client has a timeout of its own for each operation; this one
// only covers a reply that never arrives.
constexpr Duration kStepTimeout = std::chrono::seconds(3);
constexpr Duration kRetryDelay = std::chrono::milliseconds(250);
constexpr Duration kRetryAfter = std::chrono::seconds(5);
// Losing more races than this means that other operators change the same fleet
// in a tight loop; the operator should check before continuing.
constexpr int kMaxRebases = 3;
// A snapshot is sent to each node in a single frame.
constexpr size_t kMaxSnapshotBytes = 1u << 20;

bool Failed(const PlatformReply& reply) {
  return reply.status == PlatformStatus::kUnreachable ||
         reply.status == PlatformStatus::kUnknown;
}

std::string ErrorJson(const char* error, const std::string& message) {
  return Json({{"error", error}, {"message", message}}).dump();
}

}  // namespace

SettingsChangeRun::SettingsChangeRun(SettingsChangeRequest request,
                                     SettingsDocument known)
    : request_(std::move(request)), base_(std::move(known)) {}

void SettingsChangeRun::Start(Context& context) {
  deadline_ = context.now + kChangeTimeout;
  if (request_.changes.empty()) {
    Answer(400, ErrorJson("invalid", "no changes given"), Duration(0), context);
    return;
  }
  StartStep(Step::kReadHead, context);
}

bool SettingsChangeRun::OnPlatformReplied(const PlatformReplied& replied,
                                          Context& context) {
  if (finished() || step_ == Step::kWaitRetry || replied.op != op_) {
    return false;
  }
  OnReply(step_, replied.reply, context);
  return true;
}

void SettingsChangeRun::OnTimer(Context& context) {
  if (finished()) return;
  if (context.now >= deadline_) {
    AnswerUnavailable(context);
    return;
  }
  if (context.now < step_deadline_) return;
  if (step_ == Step::kWaitRetry) {
    StartStep(retry_step_, context);
    return;
  }
  OnReply(step_, PlatformReply(), context);
}

TimePoint SettingsChangeRun::next_timer() const {
  return finished() ? kNever : std::min(deadline_, step_deadline_);
}

void SettingsChangeRun::StartStep(Step step, Context& context) {
  step_ = step;
  op_ = context.NextId();
  step_deadline_ = context.now + kStepTimeout;
  if (step == Step::kMoveHead) {
    earlier_move_outcome_unknown_ = move_outcome_unknown_;
    move_outcome_unknown_ = true;
  }
  context.Emit(SendPlatform{op_, RequestFor(step)});
}

PlatformRequest SettingsChangeRun::RequestFor(Step step) const {
  switch (step) {
    case Step::kGetBase:
      return ObjectGet{head_.object};
    case Step::kPutSnapshot:
      return ObjectPut{next_object_, next_text_};
    case Step::kMoveHead:
      return TableMoveHead{base_.version, next_document_.version, next_object_,
                           change_id_};
    case Step::kReadChange:
      return TableReadChange{change_id_};
    case Step::kReadHead:
    case Step::kWaitRetry:
    case Step::kFinished:
      break;
  }
  return TableReadHead{};
}

void SettingsChangeRun::RetryLater(Step step, Context& context) {
  step_ = Step::kWaitRetry;
  retry_step_ = step;
  step_deadline_ = context.now + kRetryDelay;
}

void SettingsChangeRun::OnReply(Step step, const PlatformReply& reply,
                                Context& context) {
  switch (step) {
    case Step::kReadHead:
      return OnHeadReply(reply, context);
    case Step::kGetBase:
      return OnBaseReply(reply, context);
    case Step::kPutSnapshot:
      return OnPutReply(reply, context);
    case Step::kMoveHead:
      return OnMoveReply(reply, context);
    case Step::kReadChange:
      return OnChangeReply(reply, context);
    case Step::kWaitRetry:
    case Step::kFinished:
      return;
  }
}

void SettingsChangeRun::OnHeadReply(const PlatformReply& reply,
                                    Context& context) {
  if (Failed(reply)) {
    RetryLater(Step::kReadHead, context);
    return;
  }
  head_ = {reply.version, reply.bytes};
  if (head_.version < base_.version) {
    // The table lost a version that was in force. A change based on the older
    // version would revert the lost one, so nothing is changed until the table
    // has caught up.
    RetryLater(Step::kReadHead, context);
    return;
  }
  if (request_.expected_version &&
      *request_.expected_version != head_.version) {
    AnswerConflict(head_.version, context);
    return;
  }
  if (head_.version == base_.version) {
    BuildSnapshot(context);
    return;
  }
  StartStep(Step::kGetBase, context);
}

void SettingsChangeRun::OnBaseReply(const PlatformReply& reply,
                                    Context& context) {
  const bool valid = reply.status == PlatformStatus::kOk &&
                     ObjectNameMatches(head_.object, reply.bytes);
  if (!valid) {
    RetryLater(Step::kGetBase, context);
    return;
  }
  Outcome<SettingsDocument> base = ParseDocument(reply.bytes);
  if (!base || base.value().version != head_.version) {
    Answer(500, ErrorJson("snapshot", "the snapshot in force cannot be read"),
           Duration(0), context);
    return;
  }
  base_ = std::move(base.value());
  if (first_base_version_ && ConflictsSince(*first_base_version_)) {
    AnswerConflict(head_.version, context);
    return;
  }
  BuildSnapshot(context);
}

void SettingsChangeRun::BuildSnapshot(Context& context) {
  if (!first_base_version_) first_base_version_ = base_.version;
  change_id_ = NewChangeId(context);
  next_document_ =
      NextDocument(base_, request_.changes, request_.author, change_id_);
  std::vector<std::string> errors = next_document_.tree.Validate();
  next_text_ = ToText(next_document_);
  if (next_text_.size() > kMaxSnapshotBytes) {
    errors.emplace_back("the settings are larger than 1 MiB");
  }
  if (!errors.empty()) {
    const Json json = {{"error", "invalid"}, {"errors", errors}};
    Answer(400, json.dump(-1, ' ', false, Json::error_handler_t::replace),
           Duration(0), context);
    return;
  }
  next_object_ = ObjectName(next_document_.version, change_id_, next_text_);
  move_outcome_unknown_ = false;
  condition_failed_ = false;
  StartStep(Step::kPutSnapshot, context);
}

void SettingsChangeRun::OnPutReply(const PlatformReply& reply,
                                   Context& context) {
  // The object name contains the change id, so an object that already exists
  // comes from an earlier put of this change whose reply was lost.
  if (reply.status == PlatformStatus::kOk ||
      reply.status == PlatformStatus::kConditionFailed) {
    StartStep(Step::kMoveHead, context);
    return;
  }
  RetryLater(Step::kPutSnapshot, context);
}

void SettingsChangeRun::OnMoveReply(const PlatformReply& reply,
                                    Context& context) {
  switch (reply.status) {
    case PlatformStatus::kOk:
      AnswerAccepted(context);
      return;
    case PlatformStatus::kUnreachable:
      move_outcome_unknown_ = earlier_move_outcome_unknown_;
      RetryLater(Step::kMoveHead, context);
      return;
    case PlatformStatus::kConditionFailed:
      // The head may have been moved by this change: by an earlier move whose
      // reply was lost, or by a move that a lower layer sent twice.
      condition_failed_ = true;
      StartStep(Step::kReadChange, context);
      return;
    case PlatformStatus::kNotFound:
    case PlatformStatus::kUnknown:
      StartStep(Step::kReadChange, context);
      return;
  }
}

void SettingsChangeRun::OnChangeReply(const PlatformReply& reply,
                                      Context& context) {
  if (Failed(reply)) {
    RetryLater(Step::kReadChange, context);
    return;
  }
  if (reply.status == PlatformStatus::kOk && reply.version != 0) {
    AnswerAccepted(context);
    return;
  }
  if (condition_failed_) {
    RebaseAfterLostRace(context);
    return;
  }
  RetryLater(Step::kMoveHead, context);
}

void SettingsChangeRun::AnswerAccepted(Context& context) {
  if (on_accepted) on_accepted(next_document_, next_text_, context);
  const Json json = {{"version", next_document_.version},
                     {"change_id", change_id_}};
  Answer(200, json.dump(), Duration(0), context);
}

void SettingsChangeRun::RebaseAfterLostRace(Context& context) {
  move_outcome_unknown_ = false;
  if (++rebases_ > kMaxRebases) {
    AnswerConflict(next_document_.version, context);
    return;
  }
  StartStep(Step::kReadHead, context);
}

bool SettingsChangeRun::ConflictsSince(uint64_t version) const {
  if (base_.version - version > base_.history.size()) return true;
  for (const SettingsHistoryEntry& entry : base_.history) {
    if (entry.version <= version) continue;
    for (const SettingsChange& theirs : entry.changes) {
      for (const SettingsChange& ours : request_.changes) {
        if (ours.path == theirs.path) return true;
      }
    }
  }
  return false;
}

std::string SettingsChangeRun::NewChangeId(Context& context) const {
  const NodeRef& node = context.identity.node;
  char text[40];
  std::snprintf(text, sizeof(text), "%016" PRIx64 ".%" PRIx64,
                Hash64(node.name, node.incarnation), context.NextId());
  return text;
}

void SettingsChangeRun::AnswerConflict(uint64_t version, Context& context) {
  const Json json = {
      {"error", "conflict"},
      {"version", version},
      {"message", "version " + std::to_string(version) +
                      " was accepted first; nothing was changed"}};
  Answer(409, json.dump(), Duration(0), context);
}

void SettingsChangeRun::AnswerUnavailable(Context& context) {
  Json json = {{"error", "unavailable"},
               {"accepted", move_outcome_unknown_ ? "unknown" : "no"}};
  if (move_outcome_unknown_) {
    json["change_id"] = change_id_;
    json["message"] =
        "the platform did not tell whether the change was accepted; look "
        "for the change id in the history before sending it again";
  } else {
    json["message"] = "the platform cannot be reached; nothing was changed";
  }
  Answer(503, json.dump(), kRetryAfter, context);
}

void SettingsChangeRun::Answer(int status, const std::string& json,
                               Duration retry_after, Context& context) {
  step_ = Step::kFinished;
  HttpResponse response;
  response.status = status;
  response.headers.push_back({"Content-Type", "application/json"});
  if (retry_after > Duration(0)) {
    response.headers.push_back(
        {"Retry-After", std::to_string(ToMillis(retry_after) / 1000)});
  }
  response.body = Body(json);
  context.Emit(AnswerCaller{request_.call, std::move(response)});
}

}  // namespace amaranth::pvt
