#include "libnode/entry/admission.h"

#include <CppUTest/TestHarness.h>

#include <vector>

namespace amaranth::pvt {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTarget = milliseconds(1000);

Call MakeCall(const std::string& request_class, Tier tier) {
  Call call;
  call.context.service = "lookup";
  call.context.request_class = request_class;
  call.own_class = request_class;
  call.context.tier = tier;
  return call;
}

}  // namespace

TEST_GROUP(AdmissionTest) {
  Admission admission;
  std::mt19937_64 random{3};
  TimePoint now{milliseconds(5000)};

  std::vector<Call> LetIn(const std::string& request_class, Tier tier,
                          int count) {
    std::vector<Call> calls;
    for (int i = 0; i < count; ++i) {
      Call call = MakeCall(request_class, tier);
      call.started = now;
      if (admission.TakePlace(call, random)) calls.push_back(call);
    }
    return calls;
  }

  void End(Call & call, int latency_ms, int waited_ms, bool served = true) {
    call.started = now - milliseconds(latency_ms);
    call.waited = milliseconds(waited_ms);
    admission.EndPlace(call, served, kTarget, now);
  }

  double WindowOf(const std::string& request_class, Tier tier) {
    return admission.WindowOf(MakeCall(request_class, tier));
  }
};

// Renewals end late although browsing, which waits at the same service, is
// still in time: with a window each, both would shrink, and renewals be turned
// away while browsing goes on. Browsing gives way alone.
TEST(AdmissionTest, WhatMattersLeastGivesWayFirst) {
  std::vector<Call> browse = LetIn("browse", Tier::kBrowse, 20);
  std::vector<Call> renewal = LetIn("renewal", Tier::kCritical, 20);
  for (int i = 0; i < 10; ++i) End(browse[i], 700, 500);
  End(renewal[0], 1100, 700);
  CHECK(WindowOf("browse", Tier::kBrowse) > 0);
  DOUBLES_EQUAL(0, WindowOf("renewal", Tier::kCritical), 0);
}

// A class that hardly waits uses other services: nothing is won by turning its
// callers away, so the late class shrinks its own window.
TEST(AdmissionTest, AClassThatDoesNotWaitIsLeftAlone) {
  std::vector<Call> download = LetIn("download", Tier::kBrowse, 20);
  std::vector<Call> renewal = LetIn("renewal", Tier::kCritical, 20);
  for (int i = 0; i < 10; ++i) End(download[i], 100, 1);
  End(renewal[0], 1100, 700);
  DOUBLES_EQUAL(0, WindowOf("download", Tier::kBrowse), 0);
  CHECK(WindowOf("renewal", Tier::kCritical) > 0);
}

// A caller that leaves frees its place: else the window would fill with
// requests that are long gone, and turn everybody away.
TEST(AdmissionTest, AnAbandonedRequestFreesItsPlace) {
  std::vector<Call> calls = LetIn("browse", Tier::kBrowse, 10);
  End(calls[0], 1200, 900);
  CHECK(LetIn("browse", Tier::kBrowse, 1).empty());
  for (int i = 1; i < 10; ++i) admission.AbandonPlace(calls[i]);
  CHECK_EQUAL(1u, LetIn("browse", Tier::kBrowse, 1).size());
}

}  // namespace amaranth::pvt
