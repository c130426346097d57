#ifndef AMARANTHROUTE_LIBNODE_SETTINGS_SETTINGS_CHANGE_H_
#define AMARANTHROUTE_LIBNODE_SETTINGS_SETTINGS_CHANGE_H_

// One operator's change on its way through the platform.
//
//   read head -> (get base snapshot) -> validate -> put snapshot
//     -> move head -> accepted
//
// A lost answer to the move is settled by reading the change id. "Not found"
// alone does not settle it, since the write may still be under way: the same
// move is sent again, and only after its condition failed is "not found" final,
// because the head then stands past the expected version for good.

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

  // Sends the request of `step`.
  void Take(Step step, Context& context);
  PlatformRequest RequestOf(Step step) const;
  void RetryLater(Step step, Context& context);
  void OnReply(Step step, const PlatformReply& reply, Context& context);
  void OnHead(const PlatformReply& reply, Context& context);
  void OnBase(const PlatformReply& reply, Context& context);
  void OnPut(const PlatformReply& reply, Context& context);
  void OnMoved(const PlatformReply& reply, Context& context);
  void OnChangeRead(const PlatformReply& reply, Context& context);
  void Build(Context& context);
  bool CollidesSince(uint64_t version) const;
  std::string NewChangeId(Context& context) const;
  void Accepted(Context& context);
  void LostRace(Context& context);
  void Conflict(uint64_t version, Context& context);
  void GiveUp(Context& context);
  void Answer(int status, const std::string& json, Duration retry_after,
              Context& context);

  SettingsChangeRequest request_;
  SettingsDocument base_;
  std::optional<uint64_t> first_base_;  // version that the first try built on
  SettingsHead head_;
  SettingsDocument next_;
  std::string next_text_;
  std::string object_;
  std::string change_id_;
  Step step_ = Step::kReadHead;
  Step retry_step_ = Step::kReadHead;
  PlatformOpId op_ = 0;
  bool move_in_doubt_ = false;     // a move was sent and its end is not known
  bool in_doubt_before_ = false;   // the same, before the move now under way
  bool condition_failed_ = false;  // the head stands past the expected version
  int rebases_ = 0;
  TimePoint deadline_ = kNever;
  TimePoint step_deadline_ = kNever;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SETTINGS_SETTINGS_CHANGE_H_
