#include "libnode/shared/caller_headers.h"

#include <CppUTest/TestHarness.h>

namespace amaranth::pvt {

// clang-format would format this group as an initializer list.
// clang-format off
TEST_GROUP(CallerHeaders) {
  static HttpRequest MakeRequest(std::vector<Header> headers) {
    HttpRequest request;
    request.headers = std::move(headers);
    return request;
  }
};
// clang-format on

TEST(CallerHeaders, ServiceIsRequired) {
  CHECK(!ParseCallerHeaders(MakeRequest({})));
  const Outcome<CallerHeaders> parsed =
      ParseCallerHeaders(MakeRequest({{"x-amaranth-service", "catalogue"}}));
  CHECK(parsed.has_value());
  STRCMP_EQUAL("default", parsed.value().request_class.c_str());
}

TEST(CallerHeaders, InvalidValuesAreRejected) {
  const std::vector<std::string> invalid_values = {
      "a/b", "a b", "a\"b", std::string(500, 'a'), "a\x01", "*"};
  for (const std::string& value : invalid_values) {
    CHECK(!ParseCallerHeaders(MakeRequest({{"X-Amaranth-Service", value}})));
  }
}

TEST(CallerHeaders, DeadlineMustBeAPositiveNumber) {
  for (const std::string value : {"0", "-1", "x", "3600001", "1e3"}) {
    CHECK(!ParseCallerHeaders(MakeRequest(
        {{"X-Amaranth-Service", "s"}, {"X-Amaranth-Deadline-Ms", value}})));
  }
  const Outcome<CallerHeaders> parsed = ParseCallerHeaders(MakeRequest(
      {{"X-Amaranth-Service", "s"}, {"X-Amaranth-Deadline-Ms", "250"}}));
  CHECK(parsed.value().deadline == Duration(250'000));
}

TEST(CallerHeaders, ContextTokensRoundTripAndRejectMalformedText) {
  const ContextToken token{12345, 0xfeedu};
  const std::optional<ContextToken> read =
      ParseContextToken(FormatContextToken(token));
  CHECK(read.has_value());
  CHECK_EQUAL(token.hop, read->hop);
  CHECK_EQUAL(token.nonce, read->nonce);
  for (const char* malformed : {"", "c1", "c1..", "c1.1.", "c2.1.1", "c1.1.1.1",
                                "c1.zz.1", "c1.11111111111111111.1"}) {
    CHECK(!ParseContextToken(malformed));
  }
}

TEST(CallerHeaders, TicketsRoundTripTheirHome) {
  const std::optional<Ticket> read =
      ParseTicket(FormatTicket({"bilbao-a.n1", 77, 99}));
  CHECK(read.has_value());
  STRCMP_EQUAL("bilbao-a.n1", read->home.c_str());
  CHECK_EQUAL(77u, read->incarnation);
  CHECK(!ParseTicket("t1~~1~1"));
  CHECK(!ParseTicket("an-ordinary-key"));
}

}  // namespace amaranth::pvt
