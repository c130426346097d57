#ifndef AMARANTHROUTE_LIBNODE_SETTINGS_SETTINGS_CHANGE_H_
#define AMARANTHROUTE_LIBNODE_SETTINGS_SETTINGS_CHANGE_H_

// Writes one operator's change to the platform.
//
//   read head -> (get base snapshot) -> validate -> put snapshot
//     -> move head -> accepted
//
// If the reply to the move is lost, the outcome is determined by reading the
// change id. "Not found" alone is not conclusive, since the write may still be
// in flight: the same move is sent again, and "not found" is final only after
// the move's condition failed, because the head is then permanently past the
// expected version.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "amaranthroute/settings.h"
#include "libnode/settings/settings_document.h"
#include "libnode/shared/context.h"

namespace amaranth::pvt {

struct SettingsChangeRequest {
  CallId call = 0;
  std::vector<SettingsChange> changes;
  std::optional<uint64_t> expected_version;
  std::string author;
};

class SettingsChangeRun {
 public:
  SettingsChangeRun(SettingsChangeRequest request, SettingsDocument known);

  // Called with the accepted document before the operator is answered.
  std::function<void(SettingsDocument, std::string text, Context&)> on_accepted;

  void Start(Context& context);
  bool OnPlatformReplied(const PlatformReplied& replied, Context& context);
  void OnTimer(Context& context);
  TimePoint next_timer() const;
  bool finished() const { return step_ == Step::kFinished; }

 private:
  enum class Step {
    kReadHead,
    kGetBase,
    kPutSnapshot,
    kMoveHead,
    kReadChange,
    kWaitRetry,
    kFinished,
  };

  // Enters `step` and sends its request.
  void StartStep(Step step, Context& context);
  PlatformRequest RequestFor(Step step) const;
  void RetryLater(Step step, Context& context);
  void OnReply(Step step, const PlatformReply& reply, Context& context);
  void OnHeadReply(const PlatformReply& reply, Context& context);
  void OnBaseReply(const PlatformReply& reply, Context& context);
  void OnPutReply(const PlatformReply& reply, Context& context);
  void OnMoveReply(const PlatformReply& reply, Context& context);
  void OnChangeReply(const PlatformReply& reply, Context& context);
  // Validates the changed settings and puts their snapshot.
  void BuildSnapshot(Context& context);
  // True if another change after `version` set one of the same paths, or if the
  // history does not reach back to `version`.
  bool ConflictsSince(uint64_t version) const;
  std::string NewChangeId(Context& context) const;
  void AnswerAccepted(Context& context);
  void RebaseAfterLostRace(Context& context);
  void AnswerConflict(uint64_t version, Context& context);
  void AnswerUnavailable(Context& context);
  void Answer(int status, const std::string& json, Duration retry_after,
              Context& context);

  SettingsChangeRequest request_;
  SettingsDocument base_;
  // Version that the first snapshot was built on.
  std::optional<uint64_t> first_base_version_;
  SettingsHead head_;
  SettingsDocument next_document_;
  std::string next_text_;
  std::string next_object_;
  std::string change_id_;
  Step step_ = Step::kReadHead;
  Step retry_step_ = Step::kReadHead;
  PlatformOpId op_ = 0;
  // A move was sent and it is not known whether it took effect.
  bool move_outcome_unknown_ = false;
  // The same for the moves sent before the one in flight.
  bool earlier_move_outcome_unknown_ = false;
  bool condition_failed_ = false;  // the head is past the expected version
  int rebases_ = 0;
  TimePoint deadline_ = kNever;
  TimePoint step_deadline_ = kNever;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SETTINGS_SETTINGS_CHANGE_H_
