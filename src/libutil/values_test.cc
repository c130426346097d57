#include <CppUTest/TestHarness.h>

#include <sstream>

#include "amaranthroute/effect.h"
#include "amaranthroute/event.h"

namespace amaranth {

TEST_GROUP(Values){};

TEST(Values, HeaderNamesAreCaseInsensitive) {
  std::vector<Header> headers = {{"Retry-After", "2"}};
  CHECK(FindHeader(headers, "retry-after") == "2");
  SetHeader(headers, "RETRY-AFTER", "3");
  CHECK_EQUAL(1u, headers.size());
  CHECK(FindHeader(headers, "Retry-After") == "3");
}

TEST(Values, EffectsCompareByValue) {
  const Effect one = AnswerCaller{7, HttpResponse{200, {}, Body("whole")}};
  const Effect same = AnswerCaller{7, HttpResponse{200, {}, Body("whole")}};
  const Effect other = AnswerCaller{8, HttpResponse{200, {}, Body("whole")}};
  CHECK(one == same);
  CHECK(!(one == other));
}

TEST(Values, EventsPrintTheirTypeAndTime) {
  std::ostringstream out;
  out << Event{FromMicros(5), PeerLost{"n1"}};
  STRCMP_EQUAL("@5 PeerLost{\"n1\" }", out.str().c_str());
}

}  // namespace amaranth
