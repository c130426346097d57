#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

#include "amaranthroute/settings.h"
#include "libutil/parse_number.h"
#include "libutil/shallow_json.h"

namespace amaranth {

namespace {

using Json = nlohmann::json;

constexpr size_t kMaxSegmentLength = 64;
constexpr size_t kMaxSegments = 3;
// Limits the cost of validation, which resolves the settings of each class for
// each service.
constexpr size_t kMaxPaths = 1000;
constexpr std::string_view kAnyService = "*";

std::vector<std::string> SplitPath(const std::string& path) {
  std::vector<std::string> segments;
  if (path.empty()) return segments;
  size_t start = 0;
  while (true) {
    const size_t slash = path.find('/', start);
    segments.push_back(path.substr(start, slash - start));
    if (slash == std::string::npos) return segments;
    start = slash + 1;
  }
}

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

bool IsName(const std::string& segment) {
  return !segment.empty() && segment.size() <= kMaxSegmentLength &&
         std::all_of(segment.begin(), segment.end(), IsNameCharacter);
}

// Returns what is wrong with `path`, or an empty string if it is well formed.
std::string PathError(const std::string& path) {
  const std::vector<std::string> segments = SplitPath(path);
  if (segments.size() > kMaxSegments) {
    return "has more than mesh/service/class";
  }
  for (size_t i = 0; i < segments.size(); ++i) {
    const bool wildcard =
        i == 1 && segments.size() == 3 && segments[i] == kAnyService;
    if (!wildcard && !IsName(segments[i])) {
      return "has a part that is not 1 to 64 letters, digits, '-', '_', '.' "
             "(or '*' for the service before a class)";
    }
  }
  return "";
}

bool InRange(const SettingDefinition& row, double number) {
  return std::isfinite(number) && number >= row.minimum &&
         number <= row.maximum;
}

bool IsValid(const SettingDefinition& row, const std::string& value) {
  switch (row.type) {
    case SettingType::kChoice:
      return std::find(row.choices.begin(), row.choices.end(), value) !=
             row.choices.end();
    case SettingType::kFlag:
      return value == "true" || value == "false";
    case SettingType::kInteger: {
      const std::optional<int64_t> number = pvt::ParseNumber<int64_t>(value);
      return number && InRange(row, static_cast<double>(*number));
    }
    case SettingType::kRatio: {
      const std::optional<double> number = pvt::ParseNumber<double>(value);
      return number && InRange(row, *number);
    }
  }
  return false;
}

// Returns the same text for numbers of equal value, so that equal trees have
// equal text.
std::string CanonicalValue(const std::string& name, const std::string& value) {
  const SettingDefinition* row = FindSetting(name);
  if (row == nullptr) return value;
  if (row->type == SettingType::kInteger) {
    const std::optional<int64_t> number = pvt::ParseNumber<int64_t>(value);
    return number ? std::to_string(*number) : value;
  }
  if (row->type == SettingType::kRatio) {
    const std::optional<double> number = pvt::ParseNumber<double>(value);
    if (!number || !std::isfinite(*number)) return value;
    return Json(*number == 0 ? 0.0 : *number).dump();
  }
  return value;
}

Json ToJson(const std::string& name, const std::string& value) {
  const SettingDefinition* row = FindSetting(name);
  if (row == nullptr || !IsValid(*row, value)) return value;
  switch (row->type) {
    case SettingType::kChoice:
      return value;
    case SettingType::kFlag:
      return value == "true";
    case SettingType::kInteger:
      return std::stoll(value);
    case SettingType::kRatio:
      return std::stod(value);
  }
  return value;
}

std::string ValueText(const Json& json) {
  return json.is_string() ? json.get<std::string>() : json.dump();
}

std::string ValueError(const SettingDefinition& row) {
  switch (row.type) {
    case SettingType::kChoice: {
      std::string text = "is not one of";
      for (const std::string_view choice : row.choices) {
        text += " " + std::string(choice);
      }
      return text;
    }
    case SettingType::kFlag:
      return "is not true or false";
    case SettingType::kInteger:
      return "is not a whole number from " +
             std::to_string(static_cast<int64_t>(row.minimum)) + " to " +
             std::to_string(static_cast<int64_t>(row.maximum));
    case SettingType::kRatio:
      return "is not a number from " + Json(row.minimum).dump() + " to " +
             Json(row.maximum).dump();
  }
  return "is wrong";
}

void CheckValue(const std::string& path, const std::string& name,
                const std::string& value, std::vector<std::string>& errors) {
  const std::string where = "\"" + path + "\": " + name;
  const SettingDefinition* row = FindSetting(name);
  if (row == nullptr) {
    errors.push_back(where + " is not a setting");
    return;
  }
  if (!IsValid(*row, value)) {
    errors.push_back(where + " = \"" + value + "\" " + ValueError(*row));
  }
  if (row->scope == SettingScope::kService && SplitPath(path).size() == 3) {
    errors.push_back(where +
                     " belongs to a whole service, not to a request class");
  }
}

// Returns the levels that apply to a request, in increasing order of
// precedence.
std::vector<std::string> ApplicableLevels(const std::string& mesh,
                                          const std::string& service,
                                          const std::string& request_class) {
  std::vector<std::string> paths = {""};
  if (mesh.empty()) return paths;
  paths.push_back(mesh);
  const bool named = !service.empty() && service != kAnyService;
  if (named) paths.push_back(mesh + "/" + service);
  if (request_class.empty()) return paths;
  paths.push_back(mesh + "/*/" + request_class);
  if (named) paths.push_back(mesh + "/" + service + "/" + request_class);
  return paths;
}

struct ResolveKey {
  std::string mesh;
  std::string service;
  std::string request_class;

  friend bool operator<(const ResolveKey& a, const ResolveKey& b) {
    return std::tie(a.mesh, a.service, a.request_class) <
           std::tie(b.mesh, b.service, b.request_class);
  }
};

ResolveKey ToResolveKey(const std::string& path) {
  std::vector<std::string> segments = SplitPath(path);
  segments.resize(kMaxSegments);
  return {segments[0], segments[1], segments[2]};
}

// Returns every mesh, service and class for which the tree may resolve
// differently: those that it names, and each class of all services (`*`)
// combined with each service of its mesh.
std::set<ResolveKey> AllResolveKeys(const SettingsTree::Levels& levels) {
  std::set<ResolveKey> keys;
  for (const auto& [path, values] : levels) keys.insert(ToResolveKey(path));
  std::set<ResolveKey> combined;
  for (const ResolveKey& any : keys) {
    if (any.service != kAnyService) continue;
    for (const ResolveKey& named : keys) {
      if (named.mesh != any.mesh || named.service.empty()) continue;
      combined.insert({any.mesh, named.service, any.request_class});
    }
  }
  keys.merge(combined);
  return keys;
}

void CheckLatencyTargets(const SettingsTree& tree,
                         std::vector<std::string>& errors) {
  for (const ResolveKey& key : AllResolveKeys(tree.levels())) {
    const EffectiveSettings settings =
        tree.Resolve(key.mesh, key.service, key.request_class);
    if (settings.target_p99 <= settings.deadline) continue;
    std::string where = key.mesh;
    if (!key.service.empty()) where += "/" + key.service;
    if (!key.request_class.empty()) where += "/" + key.request_class;
    errors.push_back("\"" + where +
                     "\": target_p99_ms is above deadline_ms here");
  }
}

SettingsTree::Levels Canonicalize(const SettingsTree::Levels& levels) {
  SettingsTree::Levels canonical;
  for (const auto& [path, values] : levels) {
    for (const auto& [name, value] : values) {
      canonical[path][name] = CanonicalValue(name, value);
    }
  }
  return canonical;
}

}  // namespace

bool operator==(const EffectiveSettings& a, const EffectiveSettings& b) {
  const auto fields = [](const EffectiveSettings& v) {
    return std::tie(v.tier, v.deadline, v.idempotent, v.retry_credits,
                    v.retry_ratio, v.long_work, v.long_work_share,
                    v.queue_capacity, v.queue_target, v.concurrency,
                    v.fixed_limit, v.spill_share, v.max_eject_share,
                    v.slow_start, v.target_goodput, v.target_p99,
                    v.drain_timeout, v.rank_admission, v.retry_reservations,
                    v.customer_fairness, v.feasibility_check, v.queue_order);
  };
  return fields(a) == fields(b);
}

std::ostream& operator<<(std::ostream& out, const SettingsChange& change) {
  out << "\"" << change.path << "\": " << change.name;
  if (!change.value) return out << " unset";
  return out << " = " << *change.value;
}

SettingsTree::SettingsTree() : SettingsTree(Levels()) {}

SettingsTree::SettingsTree(const Levels& levels)
    : levels_(std::make_shared<const Levels>(Canonicalize(levels))) {}

SettingsTree SettingsTree::Set(const std::string& path, const std::string& name,
                               const std::string& value) const {
  return Apply({{path, name, value}});
}

SettingsTree SettingsTree::Unset(const std::string& path,
                                 const std::string& name) const {
  return Apply({{path, name, std::nullopt}});
}

SettingsTree SettingsTree::Apply(
    const std::vector<SettingsChange>& changes) const {
  Levels levels = *levels_;
  for (const SettingsChange& change : changes) {
    if (change.value) {
      levels[change.path][change.name] = *change.value;
    } else {
      levels[change.path].erase(change.name);
    }
  }
  return SettingsTree(levels);
}

std::vector<std::string> SettingsTree::Validate() const {
  std::vector<std::string> errors;
  if (levels_->size() > kMaxPaths) {
    errors.push_back("more than " + std::to_string(kMaxPaths) + " paths");
    return errors;
  }
  for (const auto& [path, values] : *levels_) {
    const std::string error = PathError(path);
    if (!error.empty()) {
      errors.push_back(std::string("path \"").append(path).append("\" ") +
                       error);
    }
    for (const auto& [name, value] : values) {
      CheckValue(path, name, value, errors);
    }
  }
  if (errors.empty()) CheckLatencyTargets(*this, errors);
  return errors;
}

EffectiveSettings SettingsTree::Resolve(
    const std::string& mesh, const std::string& service,
    const std::string& request_class) const {
  EffectiveSettings settings;
  for (const std::string& path :
       ApplicableLevels(mesh, service, request_class)) {
    const auto level = levels_->find(path);
    if (level == levels_->end()) continue;
    for (const auto& [name, value] : level->second) {
      const SettingDefinition* row = FindSetting(name);
      if (row != nullptr && IsValid(*row, value)) row->apply(settings, value);
    }
  }
  return settings;
}

std::vector<ExplainedValue> SettingsTree::Explain(
    const std::string& path) const {
  const ResolveKey key = ToResolveKey(path);
  std::vector<std::string> levels =
      ApplicableLevels(key.mesh, key.service, key.request_class);
  std::reverse(levels.begin(), levels.end());
  std::vector<ExplainedValue> explained;
  for (const SettingDefinition& row : SettingDefinitions()) {
    ExplainedValue value;
    value.name = row.name;
    value.value = row.default_value;
    value.origin = "default";
    value.is_default = true;
    for (const std::string& level : levels) {
      const auto values = levels_->find(level);
      if (values == levels_->end()) continue;
      const auto found = values->second.find(value.name);
      if (found == values->second.end()) continue;
      value.value = found->second;
      value.origin = level;
      value.is_default = false;
      break;
    }
    explained.push_back(std::move(value));
  }
  return explained;
}

std::string ToText(const SettingsTree& tree) {
  Json json = Json::object();
  for (const auto& [path, values] : tree.levels()) {
    Json& level = json[path];
    for (const auto& [name, value] : values) level[name] = ToJson(name, value);
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Outcome<SettingsTree> ParseSettings(std::string_view text) {
  const Json json = pvt::ParseShallowJson<Json>(text);
  if (!json.is_object()) {
    return Error{ErrorCode::kInvalid, "settings are not a JSON object"};
  }
  SettingsTree::Levels levels;
  for (const auto& [path, values] : json.items()) {
    if (!values.is_object()) {
      return Error{ErrorCode::kInvalid,
                   "\"" + path + "\" is not a JSON object of settings"};
    }
    for (const auto& [name, value] : values.items()) {
      levels[path][name] = ValueText(value);
    }
  }
  return SettingsTree(levels);
}

Outcome<std::vector<SettingsChange>> ParseSettingsChanges(
    std::string_view text) {
  const Json json = pvt::ParseShallowJson<Json>(text);
  const Error malformed{ErrorCode::kInvalid,
                        "expected {\"changes\": [{\"path\", \"name\", "
                        "\"value\"}, ...]}"};
  if (!json.is_object() || !json.contains("changes")) return malformed;
  if (!json["changes"].is_array()) return malformed;
  std::vector<SettingsChange> changes;
  for (const Json& item : json["changes"]) {
    const bool valid = item.is_object() && item.contains("path") &&
                       item["path"].is_string() && item.contains("name") &&
                       item["name"].is_string() && item.contains("value");
    if (!valid) return malformed;
    SettingsChange change;
    change.path = item["path"].get<std::string>();
    change.name = item["name"].get<std::string>();
    if (!item["value"].is_null()) change.value = ValueText(item["value"]);
    changes.push_back(std::move(change));
  }
  return changes;
}

}  // namespace amaranth
