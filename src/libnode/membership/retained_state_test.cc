#include "libnode/membership/retained_state.h"

#include <CppUTest/TestHarness.h>

#include "libnode/membership/departure_list.h"

namespace amaranth::pvt {
namespace {

using std::chrono::seconds;

const PlatformTime kWritten(std::chrono::hours(1));

}  // namespace

TEST_GROUP(RetainedStateGroup){};

TEST(RetainedStateGroup, DeparturesAreReadWithTheirAges) {
  const Departure drain{"s", 100, 7, false};
  const Departure leave{"t", std::nullopt, 0, true, seconds(3)};
  const std::string text = ToText({{drain, leave}, {}}, kWritten);
  const std::vector<Departure> read =
      ParseRetainedState(text, kWritten + seconds(60)).departures;
  CHECK_EQUAL(2u, read.size());
  CHECK(CoverAll(read, {drain, leave}));
  CHECK(read[0].age == seconds(60));
  CHECK(read[1].age == seconds(63));
  CHECK(ParseRetainedState(text, std::nullopt).departures[0].age ==
        Duration(0));
}

TEST(RetainedStateGroup, QuarantinesEndAtTheSameTime) {
  const QuarantineRecord record{"s", 99, kQuarantineCrashes, seconds(100)};
  const std::string text = ToText({{}, {record}}, kWritten);
  const std::vector<QuarantineRecord> read =
      ParseRetainedState(text, kWritten + seconds(60)).quarantines;
  CHECK_EQUAL(1u, read.size());
  CHECK_EQUAL(99u, read[0].fingerprint);
  CHECK_EQUAL(kQuarantineCrashes, read[0].crashes);
  CHECK(read[0].remaining == seconds(40));
  CHECK(ParseRetainedState(text, kWritten + seconds(100)).quarantines.empty());
  CHECK(ParseRetainedState(text, std::nullopt).quarantines.empty());
}

TEST(RetainedStateGroup, AMalformedTextHoldsNothing) {
  for (const char* text :
       {"", "7", "[]", R"({"departures":7})",
        R"({"departures":[{"server":1}]})",
        R"({"departures":[],"quarantines":[{"service":1}]})", "\xff{"}) {
    const RetainedState state = ParseRetainedState(text, kWritten);
    CHECK_TRUE(state.departures.empty());
    CHECK_TRUE(state.quarantines.empty());
  }
}

}  // namespace amaranth::pvt
