#ifndef AMARANTHROUTE_SETTINGS_H_
#define AMARANTHROUTE_SETTINGS_H_

/// The operators' settings tree. A value set at one level applies to every
/// mesh, service and request class below it, unless a lower level overrides it.
///
/// Paths, from the lowest to the highest precedence for a request:
///   ""                    root
///   "mesh"                a mesh
///   "mesh/service"        a service of the mesh
///   "mesh/*/class"        a request class in all services of the mesh
///   "mesh/service/class"  a request class of one service

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "amaranthroute/messages.h"
#include "amaranthroute/outcome.h"
#include "amaranthroute/time.h"

namespace amaranth {

/// Whether requests may safely be repeated. kAuto decides by the method: only
/// GET, HEAD and OPTIONS are idempotent.
enum class IdempotentMode { kAuto, kYes, kNo };

/// How the concurrency limit of a backend server is determined.
enum class ConcurrencyMode {
  kAdaptive,    ///< from the latency, see ConcurrencyLimit
  kFixed,       ///< fixed_limit, or the announced slots
  kThroughput,  ///< from the throughput of the server, see SlotSearch
};

/// Order in which a backend server's queue serves the calls of one rank.
enum class QueueOrder {
  kAge,    ///< by turns of callers, see AdmissionQueue
  kSlack,  ///< by progress and slack of the request, see AdmissionQueue
};

/// All settings as they apply to a request class. See SettingDefinitions for
/// their ranges and meaning.
struct EffectiveSettings {
  Tier tier = Tier::kStandard;
  Duration deadline = std::chrono::milliseconds(2000);
  IdempotentMode idempotent = IdempotentMode::kAuto;
  uint32_t retry_credits = 3;
  double retry_ratio = 0.1;
  bool long_work = false;
  double long_work_share = 0.5;
  uint32_t queue_capacity = 256;
  Duration queue_target = std::chrono::milliseconds(20);
  ConcurrencyMode concurrency = ConcurrencyMode::kAdaptive;
  uint32_t fixed_limit = 0;  ///< 0: the announced slots of the server
  double spill_share = 0.2;
  double max_eject_share = 0.3;
  Duration slow_start = std::chrono::milliseconds(5000);
  double target_goodput = 0.97;
  Duration target_p99{0};  ///< 0: no target
  Duration drain_timeout = std::chrono::milliseconds(30000);
  bool rank_admission = false;
  bool retry_reservations = false;
  bool customer_fairness = false;
  bool feasibility_check = false;
  QueueOrder queue_order = QueueOrder::kAge;

  friend bool operator==(const EffectiveSettings& a,
                         const EffectiveSettings& b);
  friend bool operator!=(const EffectiveSettings& a,
                         const EffectiveSettings& b) {
    return !(a == b);
  }
};

/// Type of the value of a setting.
enum class SettingType { kChoice, kInteger, kRatio, kFlag };

/// Lowest level at which a setting may be set. A service-wide setting would
/// have no effect at a request class, so Validate reports it there.
enum class SettingScope { kService, kClass };

/// Definition of a setting, from which it is validated, resolved and
/// documented.
struct SettingDefinition {
  std::string_view name;
  SettingType type;
  std::string_view unit;  ///< "ms", "share", ... or empty
  double minimum;         ///< numbers only
  double maximum;         ///< numbers only
  std::vector<std::string_view> choices;
  std::string_view default_value;
  SettingScope scope;
  std::string_view help;
  std::string_view source;  ///< origin of the default value
  void (*apply)(EffectiveSettings& settings, const std::string& value);
};

/// Returns the definitions of all settings, in the order of the reference page.
const std::vector<SettingDefinition>& SettingDefinitions();

/// Returns the definition of the setting `name`, or null.
const SettingDefinition* FindSetting(std::string_view name);

/// Returns the operators' reference page (Markdown), generated from the
/// definitions.
std::string SettingsReference();

/// A change of the tree: sets `name` at `path`, or unsets it if there is no
/// value.
struct SettingsChange {
  std::string path;
  std::string name;
  std::optional<std::string> value;

  friend bool operator==(const SettingsChange& a, const SettingsChange& b) {
    return a.path == b.path && a.name == b.name && a.value == b.value;
  }
  friend bool operator!=(const SettingsChange& a, const SettingsChange& b) {
    return !(a == b);
  }
};
std::ostream& operator<<(std::ostream& out, const SettingsChange& change);

/// Value of a setting at a path, and the level that sets it.
struct ExplainedValue {
  std::string name;
  std::string value;
  std::string origin;  ///< "default", or the path that sets it ("" is the root)
  bool is_default = false;

  friend bool operator==(const ExplainedValue& a, const ExplainedValue& b) {
    return a.name == b.name && a.value == b.value && a.origin == b.origin &&
           a.is_default == b.is_default;
  }
};

/// Immutable settings tree: changes return a new tree. Copies are cheap.
class SettingsTree {
 public:
  /// Values, in canonical text, by name of the setting.
  using Values = std::map<std::string, std::string>;
  /// Values by path.
  using Levels = std::map<std::string, Values>;

  SettingsTree();
  explicit SettingsTree(const Levels& levels);

  /// Returns a tree in which `name` has `value` at `path`. Accepts any text;
  /// Validate reports errors.
  SettingsTree Set(const std::string& path, const std::string& name,
                   const std::string& value) const;
  /// Returns a tree in which `path` does not set `name`.
  SettingsTree Unset(const std::string& path, const std::string& name) const;
  /// Returns a tree with all changes applied in order.
  SettingsTree Apply(const std::vector<SettingsChange>& changes) const;

  /// Returns one message per error; empty if the tree is valid.
  std::vector<std::string> Validate() const;

  /// Returns the settings that apply to a request. An empty `service` or
  /// `request_class` omits those levels. Ignores values that Validate reports.
  EffectiveSettings Resolve(const std::string& mesh, const std::string& service,
                            const std::string& request_class) const;

  /// Returns each setting at `path` with the level that sets it.
  std::vector<ExplainedValue> Explain(const std::string& path) const;

  const Levels& levels() const { return *levels_; }

  friend bool operator==(const SettingsTree& a, const SettingsTree& b) {
    return a.levels_ == b.levels_ || *a.levels_ == *b.levels_;
  }
  friend bool operator!=(const SettingsTree& a, const SettingsTree& b) {
    return !(a == b);
  }

 private:
  std::shared_ptr<const Levels> levels_;
};

/// Returns canonical JSON: equal trees yield equal text.
std::string ToText(const SettingsTree& tree);

/// Parses the output of ToText, or a file of an operator. Checks only the
/// structure; Validate checks names and values.
/// Errors: kInvalid.
Outcome<SettingsTree> ParseSettings(std::string_view text);

/// Parses an operator's change request:
/// {"changes": [{"path": "", "name": "tier", "value": "critical"}, ...]}.
/// A value of null unsets the setting.
/// Errors: kInvalid.
Outcome<std::vector<SettingsChange>> ParseSettingsChanges(
    std::string_view text);

}  // namespace amaranth

#endif  // AMARANTHROUTE_SETTINGS_H_
