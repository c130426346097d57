#include <sstream>

#include "amaranthroute/settings.h"

namespace amaranth {

namespace {

using Row = SettingDefinition;

uint32_t ToCount(const std::string& value) {
  return static_cast<uint32_t>(std::stoul(value));
}

Duration ToMilliseconds(const std::string& value) {
  return std::chrono::milliseconds(std::stoll(value));
}

Tier ToTier(const std::string& value) {
  for (int i = 0; i < kTierCount; ++i) {
    const Tier tier = static_cast<Tier>(i);
    if (ToString(tier) == value) return tier;
  }
  return Tier::kStandard;
}

IdempotentMode ToIdempotentMode(const std::string& value) {
  if (value == "yes") return IdempotentMode::kYes;
  if (value == "no") return IdempotentMode::kNo;
  return IdempotentMode::kAuto;
}

ConcurrencyMode ToConcurrencyMode(const std::string& value) {
  if (value == "fixed") return ConcurrencyMode::kFixed;
  if (value == "throughput") return ConcurrencyMode::kThroughput;
  return ConcurrencyMode::kAdaptive;
}

// Returns the settings that control how a request is treated. They may be set
// for a request class.
std::vector<Row> RequestRows() {
  return {
      {"tier",
       SettingType::kChoice,
       "",
       0,
       0,
       {"background", "browse", "standard", "critical"},
       "standard",
       SettingScope::kClass,
       "Importance. Under overload lower tiers are shed first: use critical "
       "for renewals, payments, bookings and proofs, browse for catalogue "
       "browsing and memorial page views.",
       "users' brief, What must always hold",
       [](EffectiveSettings& s, const std::string& v) { s.tier = ToTier(v); }},
      {"deadline_ms",
       SettingType::kInteger,
       "ms",
       1,
       3'600'000,
       {},
       "2000",
       SettingScope::kClass,
       "Time for the whole request, from the edge. Work that cannot end in "
       "time is not started.",
       "impatient clients give up after a few seconds",
       [](EffectiveSettings& s, const std::string& v) {
         s.deadline = ToMilliseconds(v);
       }},
      {"idempotent",
       SettingType::kChoice,
       "",
       0,
       0,
       {"auto", "yes", "no"},
       "auto",
       SettingScope::kClass,
       "Whether running a request twice does no harm. auto: GET, HEAD and "
       "OPTIONS only. Others are retried only when proved not to have run.",
       "HTTP semantics (RFC 9110)",
       [](EffectiveSettings& s, const std::string& v) {
         s.idempotent = ToIdempotentMode(v);
       }},
      {"retry_credits",
       SettingType::kInteger,
       "retries",
       0,
       100,
       {},
       "3",
       SettingScope::kClass,
       "Retries for one request over its whole call tree, however deep.",
       "design: with three attempts at each level, a chain of five nested "
       "calls would send 243 attempts to the last service",
       [](EffectiveSettings& s, const std::string& v) {
         s.retry_credits = ToCount(v);
       }},
      {"long_work",
       SettingType::kFlag,
       "",
       0,
       0,
       {},
       "false",
       SettingScope::kClass,
       "The class takes long compared with others of its service, such as "
       "downloads; see long_work_share.",
       "design: long calls must leave slots for short ones",
       [](EffectiveSettings& s, const std::string& v) {
         s.long_work = v == "true";
       }},
      {"target_goodput",
       SettingType::kRatio,
       "share",
       0,
       1,
       {},
       "0.97",
       SettingScope::kClass,
       "Target share of whole requests that succeed in time; reported in the "
       "metrics.",
       "service contract",
       [](EffectiveSettings& s, const std::string& v) {
         s.target_goodput = std::stod(v);
       }},
      {"target_p99_ms",
       SettingType::kInteger,
       "ms",
       0,
       3'600'000,
       {},
       "0",
       SettingScope::kClass,
       "Target for the 99th percentile of latency; 0 for none. At most "
       "deadline_ms.",
       "service contract",
       [](EffectiveSettings& s, const std::string& v) {
         s.target_p99 = ToMilliseconds(v);
       }},
  };
}

// Returns the settings that control how a service's backend servers are used.
std::vector<Row> ServiceRows() {
  return {
      {"retry_ratio",
       SettingType::kRatio,
       "share",
       0,
       1,
       {},
       "0.1",
       SettingScope::kService,
       "Maximum ratio of retries to first attempts that a node sends to a "
       "service, so that a widespread failure cannot double the load.",
       "common size of a retry budget",
       [](EffectiveSettings& s, const std::string& v) {
         s.retry_ratio = std::stod(v);
       }},
      {"long_work_share",
       SettingType::kRatio,
       "share",
       0,
       1,
       {},
       "0.5",
       SettingScope::kService,
       "Share of a backend server's slots that long_work classes may take "
       "together.",
       "design: long calls must leave slots for short ones",
       [](EffectiveSettings& s, const std::string& v) {
         s.long_work_share = std::stod(v);
       }},
      {"queue_capacity",
       SettingType::kInteger,
       "calls",
       0,
       100'000,
       {},
       "256",
       SettingScope::kService,
       "Calls that may wait for a slot of one backend server, over all tiers.",
       "two to three times the largest announced slots (100 to 140)",
       [](EffectiveSettings& s, const std::string& v) {
         s.queue_capacity = ToCount(v);
       }},
      {"queue_target_ms",
       SettingType::kInteger,
       "ms",
       1,
       60'000,
       {},
       "20",
       SettingScope::kService,
       "Queueing delay that may persist before load is shed.",
       "CoDel's target, scaled from packets to requests",
       [](EffectiveSettings& s, const std::string& v) {
         s.queue_target = ToMilliseconds(v);
       }},
      {"concurrency",
       SettingType::kChoice,
       "",
       0,
       0,
       {"adaptive", "fixed", "throughput"},
       "adaptive",
       SettingScope::kService,
       "How the limit of calls in flight at a backend server is determined: "
       "from measured latency (adaptive), from fixed_limit (fixed), or from "
       "the rate at which the server completes calls while others wait for it "
       "(throughput).",
       "gradient limiters",
       [](EffectiveSettings& s, const std::string& v) {
         s.concurrency = ToConcurrencyMode(v);
       }},
      {"fixed_limit",
       SettingType::kInteger,
       "calls",
       0,
       100'000,
       {},
       "0",
       SettingScope::kService,
       "Limit when concurrency is fixed; 0 for the slots that the backend "
       "server announced.",
       "announcements",
       [](EffectiveSettings& s, const std::string& v) {
         s.fixed_limit = ToCount(v);
       }},
      {"spill_share",
       SettingType::kRatio,
       "share",
       0,
       1,
       {},
       "0.2",
       SettingScope::kService,
       "Share of a node's calls that may go to other data centres while its "
       "own is overloaded.",
       "design: one overloaded data centre must not overload the next",
       [](EffectiveSettings& s, const std::string& v) {
         s.spill_share = std::stod(v);
       }},
      {"max_eject_share",
       SettingType::kRatio,
       "share",
       0,
       1,
       {},
       "0.3",
       SettingScope::kService,
       "Share of a service's backend servers that may be ejected as outliers.",
       "one of three or four servers; if all were ejected, none would be left "
       "to serve",
       [](EffectiveSettings& s, const std::string& v) {
         s.max_eject_share = std::stod(v);
       }},
      {"slow_start_ms",
       SettingType::kInteger,
       "ms",
       0,
       600'000,
       {},
       "5000",
       SettingScope::kService,
       "Time over which a new backend server is brought to its full share.",
       "users' brief: cold starts",
       [](EffectiveSettings& s, const std::string& v) {
         s.slow_start = ToMilliseconds(v);
       }},
      {"drain_timeout_ms",
       SettingType::kInteger,
       "ms",
       0,
       3'600'000,
       {},
       "30000",
       SettingScope::kService,
       "Time that a planned stop waits for requests in flight. Set it above "
       "the longest deadline_ms, or the stop may abort a request.",
       "longest expected request",
       [](EffectiveSettings& s, const std::string& v) {
         s.drain_timeout = ToMilliseconds(v);
       }},
      {"rank_admission",
       SettingType::kFlag,
       "",
       0,
       0,
       {},
       "false",
       SettingScope::kService,
       "Admit requests at their entry node by rank and by what they cost at "
       "the service that is short of capacity.",
       "design: docs/design/rank-admission.md",
       [](EffectiveSettings& s, const std::string& v) {
         s.rank_admission = v == "true";
       }},
      {"retry_reservations",
       SettingType::kFlag,
       "",
       0,
       0,
       {},
       "false",
       SettingScope::kService,
       "Keep capacity for callers that were told when to return.",
       "design: docs/design/retry-reservations.md",
       [](EffectiveSettings& s, const std::string& v) {
         s.retry_reservations = v == "true";
       }},
      {"customer_fairness",
       SettingType::kFlag,
       "",
       0,
       0,
       {},
       "false",
       SettingScope::kService,
       "Divide what a rank gets at a service that is short of capacity "
       "among customers. Needs rank_admission.",
       "design: docs/design/customer-fairness.md",
       [](EffectiveSettings& s, const std::string& v) {
         s.customer_fairness = v == "true";
       }},
      {"feasibility_check",
       SettingType::kFlag,
       "",
       0,
       0,
       {},
       "false",
       SettingScope::kService,
       "Refuse requests that are not idempotent and have hardly any chance "
       "to end because a service below refuses its calls.",
       "design: docs/design/feasibility.md",
       [](EffectiveSettings& s, const std::string& v) {
         s.feasibility_check = v == "true";
       }},
      {"queue_order",
       SettingType::kChoice,
       "",
       0,
       0,
       {"age", "slack"},
       "age",
       SettingScope::kService,
       "Order of the calls of one rank in a backend server's queue: by age and "
       "callers' turns, or by progress and slack of their requests.",
       "design: docs/design/feasibility.md",
       [](EffectiveSettings& s, const std::string& v) {
         s.queue_order = v == "slack" ? QueueOrder::kSlack : QueueOrder::kAge;
       }},
  };
}

std::vector<Row> AllRows() {
  std::vector<Row> rows = RequestRows();
  for (const Row& row : ServiceRows()) rows.push_back(row);
  return rows;
}

void WriteRange(std::ostream& out, const Row& row) {
  switch (row.type) {
    case SettingType::kChoice:
      for (size_t i = 0; i < row.choices.size(); ++i) {
        out << (i == 0 ? "" : ", ") << row.choices[i];
      }
      return;
    case SettingType::kFlag:
      out << "true, false";
      return;
    case SettingType::kInteger:
      out << static_cast<int64_t>(row.minimum) << " to "
          << static_cast<int64_t>(row.maximum);
      return;
    case SettingType::kRatio:
      out << row.minimum << " to " << row.maximum;
      return;
  }
}

void WriteRow(std::ostream& out, const Row& row) {
  out << "| `" << row.name << "` | ";
  WriteRange(out, row);
  out << " | " << row.unit << " | " << row.default_value << " | "
      << (row.scope == SettingScope::kClass ? "class" : "service") << " | "
      << row.help << " | " << row.source << " |\n";
}

}  // namespace

const std::vector<SettingDefinition>& SettingDefinitions() {
  static const std::vector<SettingDefinition> rows = AllRows();
  return rows;
}

const SettingDefinition* FindSetting(std::string_view name) {
  for (const SettingDefinition& row : SettingDefinitions()) {
    if (row.name == name) return &row;
  }
  return nullptr;
}

std::string SettingsReference() {
  std::ostringstream out;
  out << "# Settings reference\n\n"
         "Generated from the table in "
         "src/libnode/settings/settings_definitions.cc; a "
         "test fails when the\ntwo differ. Change the table, not this page.\n\n"
         "A value applies to everything below the level that sets it, unless "
         "a lower level\nsets it too. Levels, in increasing order of "
         "precedence for one request:\n\n"
         "| path | level |\n| --- | --- |\n"
         "| `` (empty) | root |\n"
         "| `mesh` | a mesh |\n"
         "| `mesh/service` | a service of the mesh |\n"
         "| `mesh/*/class` | a request class in all services of the mesh |\n"
         "| `mesh/service/class` | a request class of one service |\n\n"
         "`lowest level` is the lowest level at which a setting may be set: "
         "one that belongs\nto a service is rejected on a request class.\n\n"
         "| name | values | unit | default | lowest level | meaning | why this "
         "default |\n| --- | --- | --- | --- | --- | --- | --- |\n";
  for (const SettingDefinition& row : SettingDefinitions()) WriteRow(out, row);
  return out.str();
}

}  // namespace amaranth
