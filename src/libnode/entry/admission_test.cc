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
  call.call_class = request_class;
  call.context.tier = tier;
  call.context.class_tier = tier;
  return call;
}

}  // namespace

TEST_GROUP(AdmissionTest) {
  Admission admission;
  std::mt19937_64 random{3};
  TimePoint now{milliseconds(5000)};

  std::vector<Call> Admit(const std::string& request_class, Tier tier,
                          int count) {
    std::vector<Call> calls;
    for (int i = 0; i < count; ++i) {
      Call call = MakeCall(request_class, tier);
      call.started = now;
      if (admission.TryEnterWindow(call, random)) calls.push_back(call);
    }
    return calls;
  }

  void Complete(Call & call, int latency_ms, int waited_ms,
                bool served = true) {
    call.started = now - milliseconds(latency_ms);
    call.waited = milliseconds(waited_ms);
    admission.CompleteInWindow(call, served, kTarget, now);
  }

  double WindowLimit(const std::string& request_class, Tier tier) {
    return admission.WindowLimit(MakeCall(request_class, tier));
  }
};

// Guards against windows that change their order with each request: customers
// of a higher tier send browse requests, too.
TEST(AdmissionTest, TheTierOfACustomerDoesNotChangeTheOrderOfWindows) {
  std::vector<Call> browse = Admit("browse", Tier::kBrowse, 20);
  std::vector<Call> renewal = Admit("renewal", Tier::kStandard, 20);
  Call important = MakeCall("browse", Tier::kBrowse);
  important.context.tier = Tier::kCritical;
  CHECK(admission.TryEnterWindow(important, random));
  for (int i = 0; i < 10; ++i) Complete(browse[i], 700, 500);
  Complete(renewal[0], 1100, 700);
  CHECK(WindowLimit("browse", Tier::kBrowse) > 0);
  DOUBLES_EQUAL(0, WindowLimit("renewal", Tier::kStandard), 0);
}

// Renewals complete late while browsing, which waits at the same service, is
// still in time. If a late class shrank its own window, renewals would be shed
// while browsing is still admitted. Only the window of browsing shrinks.
TEST(AdmissionTest, LeastImportantClassShrinksFirst) {
  std::vector<Call> browse = Admit("browse", Tier::kBrowse, 20);
  std::vector<Call> renewal = Admit("renewal", Tier::kCritical, 20);
  for (int i = 0; i < 10; ++i) Complete(browse[i], 700, 500);
  Complete(renewal[0], 1100, 700);
  CHECK(WindowLimit("browse", Tier::kBrowse) > 0);
  DOUBLES_EQUAL(0, WindowLimit("renewal", Tier::kCritical), 0);
}

// A class that hardly waits uses other services. Shedding its requests would
// gain nothing, so the late class shrinks its own window.
TEST(AdmissionTest, ClassThatDoesNotWaitIsNotShrunk) {
  std::vector<Call> download = Admit("download", Tier::kBrowse, 20);
  std::vector<Call> renewal = Admit("renewal", Tier::kCritical, 20);
  for (int i = 0; i < 10; ++i) Complete(download[i], 100, 1);
  Complete(renewal[0], 1100, 700);
  DOUBLES_EQUAL(0, WindowLimit("download", Tier::kBrowse), 0);
  CHECK(WindowLimit("renewal", Tier::kCritical) > 0);
}

// A request whose caller disconnects leaves its window. Otherwise the window
// fills with requests that have ended, and sheds all others.
TEST(AdmissionTest, AbandonedRequestFreesItsWindowEntry) {
  std::vector<Call> calls = Admit("browse", Tier::kBrowse, 10);
  Complete(calls[0], 1200, 900);
  CHECK(Admit("browse", Tier::kBrowse, 1).empty());
  for (int i = 1; i < 10; ++i) admission.AbandonInWindow(calls[i]);
  CHECK_EQUAL(1u, Admit("browse", Tier::kBrowse, 1).size());
}

}  // namespace amaranth::pvt
