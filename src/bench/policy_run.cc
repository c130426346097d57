#include "bench/policy_run.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>
#include <unordered_map>

namespace amaranth::bench {
namespace {

using pvt::FakeAnswer;
using pvt::FakeFleet;
using pvt::FakeServerRun;

// Load before and after the trigger, as a share of the capacity.
constexpr double kNormalLoad = 0.7;
constexpr Duration kDeadline = std::chrono::seconds(1);
// Time for membership to spread, settings to be in force everywhere and slow
// start to end.
constexpr Duration kSettleTime = std::chrono::seconds(8);
// Goodput has recovered once, over this many consecutive bins, the share of
// good requests is at least kRecoveredShare of that before the trigger.
constexpr size_t kRecoveryBins = 5;
constexpr double kRecoveredShare = 0.95;

struct RequestClass {
  const char* name;
  Tier tier;
  double share;
};
constexpr RequestClass kRequestClasses[] = {
    {"browse", Tier::kBrowse, 0.5},
    {"standard", Tier::kStandard, 0.3},
    {"renewal", Tier::kCritical, 0.2},
};

// A request of a client, including all its resends.
struct Request {
  TimePoint at{};
  size_t class_index = 0;  // index into kRequestClasses
  int resends_left = 0;
  bool finished = false;
  bool good = false;
  uint32_t runs = 0;
  uint32_t deepest_runs = 0;
};

std::vector<std::pair<std::string, std::string>> SettingsFor(Policy policy) {
  switch (policy) {
    case Policy::kNone:
      return {{"concurrency", "fixed"},     {"fixed_limit", "100000"},
              {"queue_capacity", "100000"}, {"queue_target_ms", "60000"},
              {"retry_ratio", "1"},         {"max_eject_share", "0"},
              {"deadline_ms", "1000"}};
    case Policy::kFixedLimit:
      return {{"concurrency", "fixed"},
              {"queue_target_ms", "60000"},
              {"retry_ratio", "1"},
              {"max_eject_share", "0"}};
    case Policy::kSlots:
      return {{"concurrency", "fixed"}};
    case Policy::kAmaranth:
      break;
  }
  return {};
}

class PolicyRun {
 public:
  PolicyRun(const Topology& topology, const Scenario& scenario, Policy policy,
            const RunOptions& options)
      : topology_(topology),
        scenario_(scenario),
        policy_(policy),
        options_(options),
        fleet_(options.seed) {}

  RunResult Execute() {
    AddNodes();
    ApplySettings();
    AddServers();
    fleet_.RunFor(kSettleTime);
    fleet_.DiscardHistory();
    fleet_.on_answer = [this](uint64_t call, const FakeAnswer& answer) {
      OnAnswer(call, answer);
    };
    fleet_.on_run = [this](const FakeServerRun& run) { OnRun(run); };
    start_ = fleet_.now();
    load_ = kNormalLoad;
    ScheduleArrival();
    fleet_.RunFor(options_.before);
    SetTriggered(true);
    fleet_.RunFor(options_.trigger);
    SetTriggered(false);
    fleet_.RunFor(options_.after);
    load_ = 0;
    fleet_.RunFor(kDeadline * (2 + scenario_.hard_resends));
    return Summarize();
  }

 private:
  void AddNodes() {
    for (const Topology::Host& host : topology_.hosts) {
      fleet_.AddNode(host.name, host.data_centre, true);
    }
    fleet_.RunFor(std::chrono::seconds(3));
  }

  void ApplySettings() {
    nlohmann::json changes = nlohmann::json::array();
    for (const auto& [name, value] : SettingsFor(policy_)) {
      changes.push_back({{"path", ""}, {"name", name}, {"value", value}});
    }
    if (policy_ == Policy::kAmaranth || policy_ == Policy::kSlots) {
      for (const RequestClass& request_class : kRequestClasses) {
        changes.push_back(
            {{"path", "default/*/" + std::string(request_class.name)},
             {"name", "tier"},
             {"value", std::string(ToString(request_class.tier))}});
      }
    }
    HttpRequest request;
    request.method = "POST";
    request.target = "/settings";
    request.body = Body(nlohmann::json({{"changes", changes}}).dump());
    const HttpResponse response = fleet_.CallOperatorApi(
        topology_.hosts.front().name, std::move(request));
    if (response.status != 200) {
      throw std::runtime_error("settings change was refused: " +
                               std::string(response.body.view()));
    }
    fleet_.RunFor(std::chrono::seconds(5));
  }

  void AddServers() {
    for (size_t depth = 0; depth < topology_.chain.size(); ++depth) {
      const Topology::Service& service = topology_.chain[depth];
      for (const std::string& host : service.hosts) {
        pvt::FakeServerOptions server = service.server;
        server.service = service.name;
        server.name = service.name + "-" + host;
        server.random_service_time = true;
        server.cancellable = policy_ != Policy::kNone;
        server.passes_context = policy_ != Policy::kNone;
        if (depth + 1 < topology_.chain.size()) {
          server.nested = {topology_.chain[depth + 1].name};
        }
        fleet_.AddServer(host, std::move(server));
      }
    }
  }

  void SetTriggered(bool triggered) {
    load_ = triggered ? scenario_.load : kNormalLoad;
    const Topology::Service& deepest = topology_.chain.back();
    const double factor = triggered ? scenario_.slowdown : 1;
    const Duration time(static_cast<int64_t>(
        static_cast<double>(deepest.server.service_time.count()) * factor));
    for (const std::string& host : deepest.hosts) {
      fleet_.SetServiceTime(deepest.name + "-" + host, time);
    }
  }

  void ScheduleArrival() {
    if (load_ <= 0) return;
    std::exponential_distribution<double> gap(load_ * topology_.Capacity());
    const Duration gap_time(static_cast<int64_t>(1e6 * gap(random_)));
    fleet_.At(gap_time, [this] {
      if (load_ <= 0) return;
      AddRequest();
      ScheduleArrival();
    });
  }

  void AddRequest() {
    Request request;
    request.at = fleet_.now();
    double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    while (draw >= kRequestClasses[request.class_index].share &&
           request.class_index + 1 < std::size(kRequestClasses)) {
      draw -= kRequestClasses[request.class_index].share;
      ++request.class_index;
    }
    request.resends_left = scenario_.hard_resends;
    requests_.push_back(request);
    Send(requests_.size() - 1);
  }

  void Send(size_t id) {
    ++send_count_;
    HttpRequest http = pvt::MakeRequest(
        "GET", topology_.chain.front().name,
        kRequestClasses[requests_[id].class_index].name, std::to_string(id));
    http.target = "/" + std::to_string(id);
    http.headers.push_back(
        {"X-Amaranth-Deadline-Ms", std::to_string(ToMillis(kDeadline))});
    std::uniform_int_distribution<size_t> host(0, topology_.hosts.size() - 1);
    const std::string& node = topology_.hosts[host(random_)].name;
    request_by_call_[fleet_.Call(node, std::move(http))] = id;
  }

  void OnAnswer(uint64_t call, const FakeAnswer& answer) {
    const auto found = request_by_call_.find(call);
    if (found == request_by_call_.end()) return;
    const size_t id = found->second;
    request_by_call_.erase(found);
    Request& request = requests_[id];
    const bool in_time = answer.at - answer.sent_at <= kDeadline;
    if (answer.response.status == 200 && in_time) {
      request.good = true;
      request.finished = true;
      return;
    }
    if (request.resends_left == 0) {
      request.finished = true;
      return;
    }
    --request.resends_left;
    Send(id);
  }

  void OnRun(const FakeServerRun& run) {
    // stoul() parses up to the first dot: nested calls without context append
    // their own number to the request id.
    Request& request = requests_.at(std::stoul(run.request_id));
    ++request.runs;
    if (run.service == topology_.chain.back().name) ++request.deepest_runs;
  }

  RunResult Summarize() const {
    RunResult result;
    uint64_t deepest_requests = 0;
    uint64_t deepest_runs = 0;
    const TimePoint begin = start_ + options_.before;
    const TimePoint end = begin + options_.trigger;
    const Duration run_length =
        options_.before + options_.trigger + options_.after;
    result.bins.resize(static_cast<size_t>(run_length / kBinLength));
    for (const Request& request : requests_) {
      result.runs += request.runs;
      if (!request.good) result.wasted_runs += request.runs;
      deepest_runs += request.deepest_runs;
      if (request.deepest_runs > 0) ++deepest_requests;
      const size_t bin =
          std::min(static_cast<size_t>((request.at - start_) / kBinLength),
                   result.bins.size() - 1);
      ++result.bins[bin].offered;
      if (request.good) ++result.bins[bin].good;
      if (request.at < begin || request.at >= end) continue;
      TierResult& tier = result.tiers[static_cast<size_t>(
          kRequestClasses[request.class_index].tier)];
      ++tier.offered;
      if (request.good) ++tier.good;
    }
    result.amplification =
        deepest_requests == 0
            ? 0
            : static_cast<double>(deepest_runs) / deepest_requests;
    result.resends = static_cast<double>(send_count_) / requests_.size() - 1;
    ComputeAllowed(result);
    result.recovery = RecoverySeconds(result.bins);
    return result;
  }

  void ComputeAllowed(RunResult& result) const {
    const double seconds =
        std::chrono::duration<double>(options_.trigger).count();
    double remaining = seconds * topology_.Capacity() / scenario_.slowdown;
    for (auto tier = result.tiers.rbegin(); tier != result.tiers.rend();
         ++tier) {
      tier->allowed = std::min(remaining, static_cast<double>(tier->offered));
      remaining -= tier->allowed;
    }
  }

  static double GoodShare(const std::vector<RunResult::Bin>& bins, size_t from,
                          size_t to) {
    uint64_t offered = 0;
    uint64_t good = 0;
    for (size_t bin = from; bin < to; ++bin) {
      offered += bins[bin].offered;
      good += bins[bin].good;
    }
    return offered == 0 ? 0 : static_cast<double>(good) / offered;
  }

  double RecoverySeconds(const std::vector<RunResult::Bin>& bins) const {
    const size_t trigger = static_cast<size_t>(options_.before / kBinLength);
    const size_t end =
        static_cast<size_t>((options_.before + options_.trigger) / kBinLength);
    const double required_share = kRecoveredShare * GoodShare(bins, 0, trigger);
    for (size_t bin = end; bin + kRecoveryBins <= bins.size(); ++bin) {
      if (GoodShare(bins, bin, bin + kRecoveryBins) < required_share) continue;
      return std::chrono::duration<double>(kBinLength * (bin - end)).count();
    }
    return -1;
  }

  const Topology& topology_;
  const Scenario& scenario_;
  Policy policy_;
  RunOptions options_;
  FakeFleet fleet_;
  // Separate from the fleet's generator, so that all policies get the same
  // arrivals. A resend also draws its node from here, so in scenarios with
  // resends the arrivals differ between policies.
  std::mt19937_64 random_{20261202};
  TimePoint start_{};
  double load_ = 0;
  uint64_t send_count_ = 0;
  std::vector<Request> requests_;
  // Index into requests_, by call id.
  std::unordered_map<uint64_t, size_t> request_by_call_;
};

}  // namespace

const char* ToString(Policy policy) {
  switch (policy) {
    case Policy::kNone:
      return "none";
    case Policy::kFixedLimit:
      return "fixed-limit";
    case Policy::kSlots:
      return "slots";
    case Policy::kAmaranth:
      break;
  }
  return "amaranthroute";
}

double Topology::Capacity() const {
  const Service& deepest = chain.back();
  const double seconds =
      std::chrono::duration<double>(deepest.server.service_time).count();
  return static_cast<double>(deepest.hosts.size() * deepest.server.slots) /
         seconds;
}

RunResult Run(const Topology& topology, const Scenario& scenario, Policy policy,
              const RunOptions& options) {
  const std::chrono::steady_clock::time_point begin =
      std::chrono::steady_clock::now();
  PolicyRun run(topology, scenario, policy, options);
  RunResult result = run.Execute();
  const std::chrono::duration<double> elapsed =
      std::chrono::steady_clock::now() - begin;
  result.real_seconds = elapsed.count();
  return result;
}

}  // namespace amaranth::bench
