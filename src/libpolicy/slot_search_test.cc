#include "amaranthroute/policy/slot_search.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <random>

namespace amaranth {
namespace {

using std::chrono::milliseconds;

constexpr double kServiceTimeSpread = 0.5;  // sigma of lognormal service times

// Simulates, in virtual time, one backend server with a backlog of calls.
class SaturatedServer {
 public:
  struct Options {
    int slots = 110;
    double mean_ms = 24;
    // Factor on the service time of a call that starts as one of `in_flight`.
    std::function<double(int in_flight)> congestion = [](int) { return 1.0; };
    // Factor on all service times, by the seconds since the start.
    std::function<double(double seconds)> slowness = [](double) { return 1.0; };
    // Between these seconds there is no backlog and half of the slots are used.
    double underload_from = 1e9;
    double underload_to = 1e9;
  };

  SaturatedServer(Options options, uint64_t seed)
      : options_(std::move(options)), random_(seed) {
    search_.SetSlots(options_.slots);
  }

  // Runs until `to` and returns the calls completed per second in [from, to).
  double Throughput(double from, double to) {
    RunUntil(from);
    const int before = completed_;
    RunUntil(to);
    return (completed_ - before) / (to - from);
  }

  void RunUntil(double seconds) {
    FillSlots();
    while (!running_.empty() && running_.top().ends_at_ms < seconds * 1000) {
      const RunningCall call = running_.top();
      running_.pop();
      now_ms_ = call.ends_at_ms;
      ++completed_;
      const Duration service_time(static_cast<int64_t>(call.service_ms * 1000));
      search_.OnServed(service_time, HasBacklog(),
                       FromMicros(int64_t(now_ms_ * 1000)));
      lowest_limit_ = std::min(lowest_limit_, search_.limit());
      FillSlots();
    }
  }

  const SlotSearch& search() const { return search_; }
  int lowest_limit() const { return lowest_limit_; }

 private:
  struct RunningCall {
    double ends_at_ms;
    double service_ms;
    bool operator<(const RunningCall& other) const {
      return ends_at_ms > other.ends_at_ms;
    }
  };

  bool HasBacklog() const {
    const double seconds = now_ms_ / 1000;
    return seconds < options_.underload_from ||
           seconds >= options_.underload_to;
  }

  void FillSlots() {
    const int max_in_flight =
        HasBacklog() ? search_.limit() : search_.limit() / 2;
    while (static_cast<int>(running_.size()) < max_in_flight) {
      const int in_flight = static_cast<int>(running_.size()) + 1;
      std::lognormal_distribution<double> spread(
          -kServiceTimeSpread * kServiceTimeSpread / 2, kServiceTimeSpread);
      const double service_time = options_.mean_ms * spread(random_) *
                                  options_.congestion(in_flight) *
                                  options_.slowness(now_ms_ / 1000);
      running_.push({now_ms_ + service_time, service_time});
    }
  }

  Options options_;
  std::mt19937_64 random_;
  SlotSearch search_;
  std::priority_queue<RunningCall> running_;
  double now_ms_ = 0;
  int completed_ = 0;
  int lowest_limit_ = 1 << 20;
};

// A server whose calls take `factor` times as long while more than `share` of
// its slots are in use.
SaturatedServer::Options SlowWhenNearlyFull(int slots, double mean_ms,
                                            double share, double factor) {
  SaturatedServer::Options options;
  options.slots = slots;
  options.mean_ms = mean_ms;
  options.congestion = [=](int in_flight) {
    return in_flight > share * slots ? factor : 1.0;
  };
  return options;
}

}  // namespace

TEST_GROUP(SlotSearchTest){};

// Guards against the loss of a fifth of a service's capacity: under overload
// all slots are in use, and nearly full servers take 1.4 times as long for each
// call, so the last slots cost more throughput than they add. Checked for small
// and large servers.
TEST(SlotSearchTest, LowersTheLimitOfAServerThatSlowsDownWhenNearlyFull) {
  for (const uint64_t seed : {1, 2, 3, 4, 5}) {
    for (const int slots : {15, 45, 110, 400}) {
      SaturatedServer server(SlowWhenNearlyFull(slots, 24, 0.92, 1.4), seed);
      const double best = std::floor(0.92 * slots) / 0.024;
      CHECK(server.Throughput(5, 25) >= 0.94 * best);
    }
  }
}

// Guards against a search that takes longer than a burst of a few seconds.
TEST(SlotSearchTest, FindsTheLimitWithinSeconds) {
  for (const uint64_t seed : {1, 2, 3, 4, 5}) {
    SaturatedServer server(SlowWhenNearlyFull(100, 20, 0.93, 1.3), seed);
    CHECK(server.Throughput(1.5, 4) >= 0.93 * 93 / 0.020);
  }
}

// Guards against lost throughput at a server that is busy but does not slow
// down when full: every slot adds its share, and trials with fewer slots are
// short.
TEST(SlotSearchTest, KeepsAllSlotsWithoutCongestion) {
  for (const uint64_t seed : {1, 2, 3, 4, 5}) {
    for (const int slots : {15, 110}) {
      SaturatedServer::Options options;
      options.slots = slots;
      SaturatedServer server(options, seed);
      CHECK(server.Throughput(0, 30) >= 0.97 * slots / 0.024);
    }
  }
}

// Guards against a change of speed that is mistaken for an effect of the limit,
// which would lower the limit again and again: a server becomes five times
// slower during a trial and then recovers.
TEST(SlotSearchTest, KeepsAllSlotsWhenAllCallsSlowDown) {
  for (int start = 0; start < 20; ++start) {
    SaturatedServer::Options options;
    const double from = 2 + start * 0.05;
    options.slowness = [from](double s) {
      return s >= from && s < from + 5 ? 5.0 : 1.0;
    };
    SaturatedServer server(options, static_cast<uint64_t>(start));
    CHECK(server.Throughput(from + 1, from + 5) >= 0.9 * 110 / 0.120);
    CHECK(server.Throughput(from + 8, from + 20) >= 0.95 * 110 / 0.024);
  }
}

// Guards against a limit that stays low after the cause of the congestion has
// gone.
TEST(SlotSearchTest, RaisesTheLimitWhenCongestionEnds) {
  SaturatedServer::Options options = SlowWhenNearlyFull(110, 24, 0.7, 1.8);
  const std::function<double(int)> congestion = options.congestion;
  bool congested = true;
  options.congestion = [&](int in_flight) {
    return congested ? congestion(in_flight) : 1.0;
  };
  SaturatedServer server(options, 7);
  CHECK(server.Throughput(12, 30) >= 0.9 * 77 / 0.024);
  CHECK(server.search().limit() < 95);
  congested = false;
  CHECK(server.Throughput(50, 60) >= 0.97 * 110 / 0.024);
}

// Guards against a limit that is lowered below capacity: the throughput of a
// server without a backlog is its offered load, which fewer slots would serve
// just as well until the next burst.
TEST(SlotSearchTest, StartsNoTrialWithoutABacklog) {
  SaturatedServer::Options options;
  options.underload_from = 0;
  SaturatedServer server(options, 1);
  server.RunUntil(20);
  CHECK_EQUAL(110, server.lowest_limit());
}

// Guards against a trial that goes on measuring the offered load after the
// backlog has gone.
TEST(SlotSearchTest, AbandonsATrialWhenTheBacklogEnds) {
  for (int i = 0; i < 20; ++i) {
    SaturatedServer::Options options;
    options.underload_from = 0.2 + i * 0.05;
    SaturatedServer server(options, 3);
    server.RunUntil(options.underload_from + 2);
    CHECK_EQUAL(110, server.search().limit());
  }
}

// Guards against trials that cost more than they could gain: ten slots with
// calls of one second complete ten calls per second, so a whole trial would
// take minutes. It is abandoned before the limit is lowered.
TEST(SlotSearchTest, KeepsAllSlotsOfAServerWithLongCalls) {
  SaturatedServer::Options options;
  options.slots = 10;
  options.mean_ms = 1000;
  SaturatedServer server(options, 1);
  server.RunUntil(120);
  CHECK_EQUAL(10, server.lowest_limit());
}

TEST(SlotSearchTest, LimitStaysBetweenOneAndTheAnnouncedSlots) {
  CHECK(rc::check([] {
    SlotSearch search;
    int slots = 1;
    TimePoint now{};
    const int phases = *rc::gen::inRange(1, 10);
    for (int phase = 0; phase < phases; ++phase) {
      if (*rc::gen::inRange(0, 3) == 0) {
        slots = *rc::gen::inRange(0, 300);
        search.SetSlots(slots);
      }
      const Duration service_time(*rc::gen::inRange(0, 1000000));
      const Duration gap(*rc::gen::inRange(0, 10000));
      const bool has_backlog = *rc::gen::inRange(0, 5) != 0;
      for (int call = 0; call < 2000; ++call) {
        now += gap;
        search.OnServed(service_time, has_backlog, now);
        RC_ASSERT(search.limit() >= 1);
        RC_ASSERT(search.limit() <= std::max(1, slots));
      }
    }
  }));
}

}  // namespace amaranth
