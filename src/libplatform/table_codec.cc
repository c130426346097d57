#include "libplatform/table_codec.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "libutil/shallow_json.h"

namespace amaranth::pvt {
namespace {

using nlohmann::json;

constexpr char kPartition[] = "pk";
constexpr char kSort[] = "sk";
constexpr char kText[] = "row_text";
constexpr char kVersion[] = "row_version";

constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;

HttpRequest Request(const char* operation, const json& body) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/";
  request.headers = {
      {"Content-Type", "application/x-amz-json-1.0"},
      {"X-Amz-Target", std::string("DynamoDB_20120810.") + operation}};
  request.body =
      Body(body.dump(-1, ' ', false, json::error_handler_t::replace));
  return request;
}

json KeyJson(const TableKey& key) {
  return {{kPartition, {{"S", key.partition}}}, {kSort, {{"S", key.sort}}}};
}

json NumberJson(uint64_t number) { return {{"N", std::to_string(number)}}; }

json ItemJson(const TableItem& item) {
  json result = KeyJson(item.key);
  result[kText] = {{"S", item.text}};
  result[kVersion] = NumberJson(item.version);
  return result;
}

json PutJson(const std::string& table, const ConditionalPut& put) {
  json result = {{"TableName", table},
                 {"Item", ItemJson(put.item)},
                 {"ReturnValuesOnConditionCheckFailure", "ALL_OLD"}};
  if (put.condition == PutCondition::kAbsent) {
    result["ConditionExpression"] = "attribute_not_exists(pk)";
  } else {
    result["ConditionExpression"] = "row_version = :expected";
    result["ExpressionAttributeValues"] = {
        {":expected", NumberJson(put.expected_version)}};
  }
  return {{"Put", std::move(result)}};
}

// Returns the string at item[name][type], or an empty string if there is none.
std::string Attribute(const json& item, const char* name, const char* type) {
  if (!item.is_object()) return {};
  const json::const_iterator attribute = item.find(name);
  if (attribute == item.end() || !attribute->is_object()) return {};
  const json::const_iterator value = attribute->find(type);
  if (value == attribute->end() || !value->is_string()) return {};
  return value->get<std::string>();
}

TableKey ReadKey(const json& item) {
  return {Attribute(item, kPartition, "S"), Attribute(item, kSort, "S")};
}

TableItem ReadItem(const json& item) {
  TableItem result;
  result.key = ReadKey(item);
  result.text = Attribute(item, kText, "S");
  const std::string number = Attribute(item, kVersion, "N");
  std::from_chars(number.data(), number.data() + number.size(), result.version);
  return result;
}

json ReadBody(const HttpResponse& response) {
  return ParseShallowJson<json>(response.body.view());
}

// Returns the error's name without its namespace, or an empty string if the
// body has no error name.
std::string ErrorName(const json& body) {
  if (!body.is_object() || !body.contains("__type")) return {};
  if (!body["__type"].is_string()) return {};
  const std::string type = body["__type"].get<std::string>();
  const size_t hash = type.find('#');
  return hash == std::string::npos ? type : type.substr(hash + 1);
}

// A 4xx response with an error name of the service proves that the call had no
// effect, except for TransactionInProgressException. A 4xx response without one
// may come from an intermediary, which cannot know.
TableResult ClassifyResult(const HttpClientResult& result) {
  if (!result.response) {
    return result.verdict == Verdict::kNotRun ? TableResult::kNotSent
                                              : TableResult::kOutcomeUnknown;
  }
  const int status = result.response->status;
  if (status == 200) return TableResult::kDone;
  if (status < kFirstClientError || status >= kFirstServerError) {
    return TableResult::kOutcomeUnknown;
  }
  const std::string error = ErrorName(ReadBody(*result.response));
  if (error.empty() || error == "TransactionInProgressException") {
    return TableResult::kOutcomeUnknown;
  }
  if (error == "TransactionCanceledException") return TableResult::kCancelled;
  return TableResult::kRefused;
}

CancelledRow ReadCancellationReason(const json& reason) {
  CancelledRow row;
  const std::string code = reason.is_object() && reason.contains("Code") &&
                                   reason["Code"].is_string()
                               ? reason["Code"].get<std::string>()
                               : "None";
  if (code == "None") return row;
  if (code != "ConditionalCheckFailed") {
    row.result = RowResult::kConflict;
    return row;
  }
  row.result = RowResult::kConditionFailed;
  if (reason.contains("Item")) row.existing_item = ReadItem(reason["Item"]);
  return row;
}

void ReadItems(const json& items, std::vector<TableItem>& result) {
  if (!items.is_array()) return;
  for (const json& item : items) result.push_back(ReadItem(item));
}

// Parses the body of a 200 response with `read`. If the body is not a JSON
// object, the outcome is unknown.
template <typename Read>
ItemsAnswer ReadItemsAnswer(const HttpClientResult& result, Read read) {
  ItemsAnswer answer;
  answer.result = ClassifyResult(result);
  if (answer.result != TableResult::kDone) return answer;
  const json body = ReadBody(*result.response);
  if (body.is_object()) {
    read(body, answer);
  } else {
    answer.result = TableResult::kOutcomeUnknown;
  }
  return answer;
}

}  // namespace

HttpRequest TransactPutRequest(const std::string& table,
                               const std::vector<ConditionalPut>& puts) {
  json items = json::array();
  for (const ConditionalPut& put : puts) items.push_back(PutJson(table, put));
  return Request("TransactWriteItems", {{"TransactItems", std::move(items)}});
}

HttpRequest PutRequest(const std::string& table, const TableItem& item) {
  return Request("PutItem", {{"TableName", table}, {"Item", ItemJson(item)}});
}

HttpRequest GetRequest(const std::string& table, const TableKey& key) {
  return Request(
      "GetItem",
      {{"TableName", table}, {"Key", KeyJson(key)}, {"ConsistentRead", true}});
}

HttpRequest BatchGetRequest(const std::string& table,
                            const std::vector<TableKey>& keys) {
  json list = json::array();
  for (const TableKey& key : keys) list.push_back(KeyJson(key));
  const json request = {{"Keys", std::move(list)}, {"ConsistentRead", true}};
  return Request("BatchGetItem", {{"RequestItems", {{table, request}}}});
}

HttpRequest QueryRequest(const std::string& table, const std::string& partition,
                         const std::optional<TableKey>& start_after) {
  json body = {
      {"TableName", table},
      {"KeyConditionExpression", "pk = :partition"},
      {"ExpressionAttributeValues", {{":partition", {{"S", partition}}}}},
      {"ConsistentRead", true}};
  if (start_after) body["ExclusiveStartKey"] = KeyJson(*start_after);
  return Request("Query", body);
}

TransactAnswer ReadTransactAnswer(const HttpClientResult& result, size_t puts) {
  TransactAnswer answer;
  answer.result = ClassifyResult(result);
  if (answer.result != TableResult::kCancelled) return answer;
  const json body = ReadBody(*result.response);
  const json::const_iterator reasons = body.find("CancellationReasons");
  if (reasons == body.end() || reasons->size() != puts) {
    answer.result = TableResult::kRefused;
    return answer;
  }
  for (const json& reason : *reasons) {
    answer.rows.push_back(ReadCancellationReason(reason));
  }
  return answer;
}

TableResult ReadPutAnswer(const HttpClientResult& result) {
  return ClassifyResult(result);
}

ItemsAnswer ReadGetAnswer(const HttpClientResult& result) {
  return ReadItemsAnswer(result, [](const json& body, ItemsAnswer& answer) {
    if (body.contains("Item")) answer.items.push_back(ReadItem(body["Item"]));
  });
}

ItemsAnswer ReadBatchGetAnswer(const HttpClientResult& result,
                               const std::string& table) {
  return ReadItemsAnswer(
      result, [&table](const json& body, ItemsAnswer& answer) {
        const json::const_iterator responses = body.find("Responses");
        if (responses == body.end() || !responses->is_object()) return;
        const json::const_iterator items = responses->find(table);
        if (items != responses->end()) ReadItems(*items, answer.items);
      });
}

ItemsAnswer ReadQueryAnswer(const HttpClientResult& result) {
  return ReadItemsAnswer(result, [](const json& body, ItemsAnswer& answer) {
    if (body.contains("Items")) ReadItems(body["Items"], answer.items);
    if (body.contains("LastEvaluatedKey")) {
      answer.continue_after = ReadKey(body["LastEvaluatedKey"]);
    }
  });
}

}  // namespace amaranth::pvt
