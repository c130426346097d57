// Shares of customers on their way from a serving node to the entry nodes.

#include <CppUTest/TestHarness.h>

#include "libnode/bottleneck/bottleneck_state.h"

namespace amaranth::pvt {
namespace {

const TimePoint kStart = FromMicros(1'000'000);
constexpr char kService[] = "schedules";
constexpr char kCustomer[] = "large";
// Divides the position of the cheapest requests of Tier::kBrowse.
constexpr double kCut = 47.5;

CallAnswer AnswerWith(std::optional<uint16_t> share) {
  CallAnswer answer;
  ServicePressure pressure;
  pressure.service = kService;
  pressure.cut_x256 = ToWireCut(kCut);
  pressure.customer_share = share;
  answer.pressures = {pressure};
  return answer;
}

double AdmittedOf(BottleneckState& state, const std::string& customer) {
  CallContext call;
  call.service = kService;
  call.tenant = customer;
  call.tier = Tier::kBrowse;
  call.class_tier = Tier::kBrowse;
  return state.Decide("browse", call, kStart).share;
}

}  // namespace

TEST_GROUP(CustomerShare) {
  BottleneckState state;
  std::vector<ServicePressure> passed_on;
};

// Guards against a share that gets lost at the nodes in the middle of a chain:
// the entry node would take every customer for a small one.
TEST(CustomerShare, IsPassedOnUpTheCallChain) {
  const CallAnswer answer = AnswerWith(kFullAdmitShare / 4);
  state.OnAnswer(answer, kCustomer, kStart);
  BottleneckState::AddReported(answer, passed_on);
  CHECK_EQUAL(1, passed_on.size());
  CHECK(passed_on[0].customer_share == kFullAdmitShare / 4);

  CallAnswer relayed;
  relayed.pressures = passed_on;
  BottleneckState entry;
  entry.OnAnswer(relayed, kCustomer, kStart);
  DOUBLES_EQUAL(0.25, AdmittedOf(entry, kCustomer), 0.01);
  DOUBLES_EQUAL(1, AdmittedOf(entry, "unknown"), 0);
}

// Guards against an effect of customers where the setting is false, or at a
// serving node of an older build.
TEST(CustomerShare, WithoutReportedSharesAllCustomersShareAlike) {
  const CallAnswer answer = AnswerWith(std::nullopt);
  state.OnAnswer(answer, kCustomer, kStart);
  BottleneckState::AddReported(answer, passed_on);
  CHECK_EQUAL(1, passed_on.size());
  CHECK(!passed_on[0].customer_share);
  DOUBLES_EQUAL(0.5, AdmittedOf(state, kCustomer), 0.01);
  DOUBLES_EQUAL(0.5, AdmittedOf(state, "unknown"), 0.01);
}

}  // namespace amaranth::pvt
