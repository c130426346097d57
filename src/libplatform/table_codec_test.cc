#include "libplatform/table_codec.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <nlohmann/json.hpp>

namespace amaranth::pvt {
namespace {

HttpClientResult Answered(int status, const std::string& body) {
  HttpClientResult result;
  result.verdict = Verdict::kRan;
  result.response = HttpResponse{status, {}, Body(body)};
  return result;
}

HttpClientResult Unanswered(Verdict verdict) {
  HttpClientResult result;
  result.verdict = verdict;
  result.reason = Reason::kConnectionLost;
  return result;
}

TableItem SampleItem() { return {{"f/claim/k", "row"}, "holder", 7}; }

}  // namespace

TEST_GROUP(TableCodec){};

TEST(TableCodec, TransactPutRequestMatchesProtocol) {
  ConditionalPut absent;
  absent.item = SampleItem();
  ConditionalPut versioned = absent;
  versioned.condition = PutCondition::kVersionIs;
  versioned.expected_version = 6;
  const HttpRequest request = TransactPutRequest("t", {absent, versioned});
  CHECK("DynamoDB_20120810.TransactWriteItems" ==
        FindHeader(request.headers, "X-Amz-Target"));
  const nlohmann::json expected = nlohmann::json::parse(R"json({
    "TransactItems":[
    {"Put":{"TableName":"t","ConditionExpression":"attribute_not_exists(pk)",
      "Item":{"pk":{"S":"f/claim/k"},"sk":{"S":"row"},
              "row_text":{"S":"holder"},"row_version":{"N":"7"}},
      "ReturnValuesOnConditionCheckFailure":"ALL_OLD"}},
    {"Put":{"TableName":"t","ConditionExpression":"row_version = :expected",
      "ExpressionAttributeValues":{":expected":{"N":"6"}},
      "Item":{"pk":{"S":"f/claim/k"},"sk":{"S":"row"},
              "row_text":{"S":"holder"},"row_version":{"N":"7"}},
      "ReturnValuesOnConditionCheckFailure":"ALL_OLD"}}]})json");
  CHECK(expected == nlohmann::json::parse(request.body.view()));
}

TEST(TableCodec, CancelledTransactionReportsHolder) {
  const TransactAnswer answer = ReadTransactAnswer(
      Answered(400, R"({"__type":"x#TransactionCanceledException",
        "CancellationReasons":[{"Code":"None"},
          {"Code":"ConditionalCheckFailed","Item":{"pk":{"S":"f/claim/k"},
           "sk":{"S":"row"},"row_text":{"S":"holder"},
           "row_version":{"N":"7"}}},
          {"Code":"TransactionConflict"}]})"),
      3);
  CHECK(answer.result == TableResult::kCancelled);
  CHECK(answer.rows[0].result == RowResult::kNone);
  CHECK(answer.rows[1].result == RowResult::kConditionFailed);
  CHECK(answer.rows[1].existing_item == SampleItem());
  CHECK(answer.rows[2].result == RowResult::kConflict);
}

// Callers rely on "no effect" as proved, so it requires an error reported by
// the service itself. After a lost answer, a server error or an error page from
// an intermediary the outcome stays unknown.
TEST(TableCodec, OnlyErrorFromTheServiceProvesNoEffect) {
  const std::string throttled = R"({"__type":"x#ThrottlingException"})";
  CHECK(ReadPutAnswer(Answered(400, throttled)) == TableResult::kRefused);
  CHECK(ReadPutAnswer(Answered(400, "<html>")) == TableResult::kOutcomeUnknown);
  CHECK(ReadPutAnswer(Answered(500, throttled)) ==
        TableResult::kOutcomeUnknown);
  CHECK(ReadPutAnswer(Unanswered(Verdict::kMayHaveRun)) ==
        TableResult::kOutcomeUnknown);
  CHECK(ReadPutAnswer(Unanswered(Verdict::kNotRun)) == TableResult::kNotSent);
  CHECK(ReadPutAnswer(Answered(200, "{}")) == TableResult::kDone);
}

// A malformed body from a faulty or hostile service must give an answer, not an
// exception that ends the node.
TEST(TableCodec, AnyBodyIsParsedWithoutThrowing) {
  const std::vector<std::string> malformed = {
      "",
      "null",
      "[]",
      "7",
      R"({"Item":7})",
      R"({"Item":{"pk":7,"sk":{"S":8}}})",
      R"({"Items":{"a":1}})",
      R"({"Items":[null],"LastEvaluatedKey":3})",
      R"({"Responses":{"t":5}})",
      R"({"__type":5})",
      R"({"__type":"x#TransactionCanceledException"})",
      R"({"__type":"x#TransactionCanceledException",
          "CancellationReasons":[5]})",
      R"({"__type":"x#TransactionCanceledException",
          "CancellationReasons":[{"Code":"ConditionalCheckFailed",
                                  "Item":"x"}]})"};
  for (const std::string& body : malformed) {
    for (const int status : {200, 400}) {
      const HttpClientResult result = Answered(status, body);
      ReadTransactAnswer(result, 1);
      ReadGetAnswer(result);
      ReadBatchGetAnswer(result, "t");
      ReadQueryAnswer(result);
    }
  }
  const bool ok = rc::check([](const std::string& body) {
    ReadTransactAnswer(Answered(400, body), 1);
    ReadQueryAnswer(Answered(200, body));
  });
  CHECK(ok);
}

}  // namespace amaranth::pvt
