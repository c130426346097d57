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

// An operator waits this long at most; a slow platform mostly answers within.
constexpr Duration kChangeTimeout = std::chrono::seconds(8);
// The shell ends each operation; this only covers an end that never came.
constexpr Duration kStepTimeout = std::chrono::seconds(3);
constexpr Duration kRetryPause = std::chrono::milliseconds(250);
constexpr Duration kComeBackAfter = std::chrono::seconds(5);
// Losing more races than this means that others change the same fleet in a
// tight loop; the operator should look before going on.
constexpr int kMaxRebases = 3;
// A snapshot goes to every node in one frame.
constexpr size_t kMaxSnapshotBytes = 1u << 20;

bool Failed(const PlatformReply& reply) {
  return reply.status == PlatformStatus::kUnreachable ||
         reply.status == PlatformStatus::kUnknown;
}

std::string ErrorText(const char* error, const std::string& message) {
  return Json({{"error", error}, {"message", message}}).dump();
}

}  // namespace

SettingsChangeRun::SettingsChangeRun(SettingsChangeRequest request,
                                     SettingsDocument known)
    : request_(std::move(request)), base_(std::move(known)) {}

void SettingsChangeRun::Start(Context& context) {
  deadline_ = context.now + kChangeTimeout;
  if (request_.changes.empty()) {
    Answer(400, ErrorText("invalid", "no changes given"), Duration(0), context);
    return;
  }
  Take(Step::kReadHead, context);
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
    GiveUp(context);
    return;
  }
  if (context.now < step_deadline_) return;
  if (step_ == Step::kWaitRetry) {
    Take(retry_step_, context);
    return;
  }
  OnReply(step_, PlatformReply(), context);
}

TimePoint SettingsChangeRun::next_timer() const {
  return finished() ? kNever : std::min(deadline_, step_deadline_);
}

void SettingsChangeRun::Take(Step step, Context& context) {
  step_ = step;
  op_ = context.NextId();
  step_deadline_ = context.now + kStepTimeout;
  if (step == Step::kMoveHead) {
    in_doubt_before_ = move_in_doubt_;
    move_in_doubt_ = true;
  }
  context.Emit(SendPlatform{op_, RequestOf(step)});
}

PlatformRequest SettingsChangeRun::RequestOf(Step step) const {
  switch (step) {
    case Step::kGetBase:
      return ObjectGet{head_.object};
    case Step::kPutSnapshot:
      return ObjectPut{object_, next_text_};
    case Step::kMoveHead:
      return TableMoveHead{base_.version, next_.version, object_, change_id_};
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
  step_deadline_ = context.now + kRetryPause;
}

void SettingsChangeRun::OnReply(Step step, const PlatformReply& reply,
                                Context& context) {
  switch (step) {
    case Step::kReadHead:
      return OnHead(reply, context);
    case Step::kGetBase:
      return OnBase(reply, context);
    case Step::kPutSnapshot:
      return OnPut(reply, context);
    case Step::kMoveHead:
      return OnMoved(reply, context);
    case Step::kReadChange:
      return OnChangeRead(reply, context);
    case Step::kWaitRetry:
    case Step::kFinished:
      return;
  }
}

void SettingsChangeRun::OnHead(const PlatformReply& reply, Context& context) {
  if (Failed(reply)) {
    RetryLater(Step::kReadHead, context);
    return;
  }
  head_ = {reply.version, reply.bytes};
  if (head_.version < base_.version) {
    // The table forgot a version that was in force. Building on the older one
    // would bring it back, so nothing is changed until the table is whole.
    RetryLater(Step::kReadHead, context);
    return;
  }
  if (request_.expected_version &&
      *request_.expected_version != head_.version) {
    Conflict(head_.version, context);
    return;
  }
  if (head_.version == base_.version) {
    Build(context);
    return;
  }
  Take(Step::kGetBase, context);
}

void SettingsChangeRun::OnBase(const PlatformReply& reply, Context& context) {
  const bool whole = reply.status == PlatformStatus::kOk &&
                     ObjectNameMatches(head_.object, reply.bytes);
  if (!whole) {
    RetryLater(Step::kGetBase, context);
    return;
  }
  Outcome<SettingsDocument> base = ParseDocument(reply.bytes);
  if (!base || base.value().version != head_.version) {
    Answer(500, ErrorText("snapshot", "the snapshot in force cannot be read"),
           Duration(0), context);
    return;
  }
  base_ = std::move(base.value());
  if (first_base_ && CollidesSince(*first_base_)) {
    Conflict(head_.version, context);
    return;
  }
  Build(context);
}

void SettingsChangeRun::Build(Context& context) {
  if (!first_base_) first_base_ = base_.version;
  change_id_ = NewChangeId(context);
  next_ = NextDocument(base_, request_.changes, request_.author, change_id_);
  std::vector<std::string> faults = next_.tree.Validate();
  next_text_ = ToText(next_);
  if (next_text_.size() > kMaxSnapshotBytes) {
    faults.emplace_back("the settings are larger than 1 MiB");
  }
  if (!faults.empty()) {
    const Json json = {{"error", "invalid"}, {"errors", faults}};
    Answer(400, json.dump(-1, ' ', false, Json::error_handler_t::replace),
           Duration(0), context);
    return;
  }
  object_ = ObjectName(next_.version, change_id_, next_text_);
  move_in_doubt_ = false;
  condition_failed_ = false;
  Take(Step::kPutSnapshot, context);
}

void SettingsChangeRun::OnPut(const PlatformReply& reply, Context& context) {
  // The name holds the change id: an object that is there already is ours,
  // from a put whose answer was lost.
  if (reply.status == PlatformStatus::kOk ||
      reply.status == PlatformStatus::kConditionFailed) {
    Take(Step::kMoveHead, context);
    return;
  }
  RetryLater(Step::kPutSnapshot, context);
}

void SettingsChangeRun::OnMoved(const PlatformReply& reply, Context& context) {
  switch (reply.status) {
    case PlatformStatus::kOk:
      Accepted(context);
      return;
    case PlatformStatus::kUnreachable:
      move_in_doubt_ = in_doubt_before_;
      RetryLater(Step::kMoveHead, context);
      return;
    case PlatformStatus::kConditionFailed:
      // The one who moved the head may be ourselves, by an earlier move whose
      // answer was lost or that a library below sent twice.
      condition_failed_ = true;
      Take(Step::kReadChange, context);
      return;
    case PlatformStatus::kNotFound:
    case PlatformStatus::kUnknown:
      Take(Step::kReadChange, context);
      return;
  }
}

void SettingsChangeRun::OnChangeRead(const PlatformReply& reply,
                                     Context& context) {
  if (Failed(reply)) {
    RetryLater(Step::kReadChange, context);
    return;
  }
  if (reply.status == PlatformStatus::kOk && reply.version != 0) {
    Accepted(context);
    return;
  }
  if (condition_failed_) {
    LostRace(context);
    return;
  }
  RetryLater(Step::kMoveHead, context);
}

void SettingsChangeRun::Accepted(Context& context) {
  if (on_accepted) on_accepted(next_, next_text_, context);
  const Json json = {{"version", next_.version}, {"change_id", change_id_}};
  Answer(200, json.dump(), Duration(0), context);
}

void SettingsChangeRun::LostRace(Context& context) {
  move_in_doubt_ = false;
  if (++rebases_ > kMaxRebases) {
    Conflict(next_.version, context);
    return;
  }
  Take(Step::kReadHead, context);
}

// True if somebody changed one of our paths after `version`, or so much
// happened since that it cannot be told.
bool SettingsChangeRun::CollidesSince(uint64_t version) const {
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

void SettingsChangeRun::Conflict(uint64_t version, Context& context) {
  const Json json = {
      {"error", "conflict"},
      {"version", version},
      {"message", "version " + std::to_string(version) +
                      " was accepted first; nothing was changed"}};
  Answer(409, json.dump(), Duration(0), context);
}

void SettingsChangeRun::GiveUp(Context& context) {
  Json json = {{"error", "unavailable"},
               {"accepted", move_in_doubt_ ? "unknown" : "no"}};
  if (move_in_doubt_) {
    json["change_id"] = change_id_;
    json["message"] =
        "the platform did not tell whether the change was accepted; look for "
        "the change id in the history before sending it again";
  } else {
    json["message"] = "the platform cannot be reached; nothing was changed";
  }
  Answer(503, json.dump(), kComeBackAfter, context);
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
