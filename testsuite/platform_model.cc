#include "platform_model.h"

#include <set>

#include "http_server.h"

namespace amaranth::testsuite {
namespace {

using nlohmann::json;

constexpr std::string_view kTargetPrefix = "DynamoDB_20120810.";
// Small, so that lists of a few hundred nodes have several pages in tests.
constexpr size_t kQueryPageSize = 100;
constexpr size_t kMaxTransactItems = 100;
constexpr size_t kMaxBatchGetKeys = 100;

HttpResponse TableError(const std::string& type, const std::string& message) {
  const json body = {{"__type", "com.amazonaws.dynamodb.v20120810#" + type},
                     {"Message", message}};
  return JsonResponse(400, body.dump());
}

HttpResponse Invalid(const std::string& message) {
  return TableError("ValidationException", message);
}

HttpResponse ObjectError(int status, const std::string& code) {
  HttpResponse response;
  response.status = status;
  response.headers = {{"Content-Type", "application/xml"}};
  response.body = Body("<Error><Code>" + code + "</Code></Error>");
  return response;
}

std::pair<std::string, std::string> KeyOf(const json& item) {
  return {item.at("pk").at("S").get<std::string>(),
          item.at("sk").at("S").get<std::string>()};
}

}  // namespace

HttpResponse PlatformModel::Handle(const HttpRequest& request) {
  std::lock_guard<std::mutex> lock(mutex_);
  const std::string_view target = FindHeader(request.headers, "X-Amz-Target");
  if (target.empty()) {
    if (request.method == "PUT") return PutObject(request);
    if (request.method == "GET") return GetObject(request);
    return ObjectError(405, "MethodNotAllowed");
  }
  if (target.substr(0, kTargetPrefix.size()) != kTargetPrefix) {
    return TableError("UnknownOperationException", std::string(target));
  }
  try {
    return DispatchOperation(std::string(target.substr(kTargetPrefix.size())),
                             json::parse(request.body.view()));
  } catch (const json::exception& error) {
    return TableError("SerializationException", error.what());
  }
}

PlatformCounts PlatformModel::counts() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return counts_;
}

HttpResponse PlatformModel::DispatchOperation(const std::string& operation,
                                              const Json& body) {
  if (operation == "TransactWriteItems") return TransactWrite(body);
  if (operation == "PutItem") return PutItem(body);
  if (operation == "GetItem") return GetItem(body);
  if (operation == "BatchGetItem") return BatchGet(body);
  if (operation == "Query") return Query(body);
  return TableError("UnknownOperationException", operation);
}

HttpResponse PlatformModel::TransactWrite(const Json& body) {
  const Json& items = body.at("TransactItems");
  if (items.empty() || items.size() > kMaxTransactItems) {
    return Invalid("a transaction has 1 to 100 items");
  }
  Json reasons = Json::array();
  bool all_hold = true;
  std::set<std::pair<std::string, Key>> seen;
  for (const Json& item : items) {
    const Json& put = item.at("Put");
    const std::string table = put.at("TableName").get<std::string>();
    if (!seen.emplace(table, KeyOf(put.at("Item"))).second) {
      return Invalid(
          "Transaction request cannot include multiple operations on one item");
    }
    reasons.push_back(CheckPut(put));
    all_hold = all_hold && reasons.back()["Code"] == "None";
  }
  if (!all_hold) {
    ++counts_.cancelled;
    const Json error = {
        {"__type",
         "com.amazonaws.dynamodb.v20120810#TransactionCanceledException"},
        {"Message", "Transaction cancelled"},
        {"CancellationReasons", reasons}};
    return JsonResponse(400, error.dump());
  }
  for (const Json& item : items) Store(item.at("Put"));
  ++counts_.transactions;
  return JsonResponse(200, "{}");
}

PlatformModel::Json PlatformModel::CheckPut(const Json& put) {
  const Json* old_item =
      Find(put.at("TableName").get<std::string>(), KeyOf(put.at("Item")));
  if (ConditionHolds(put, old_item)) return {{"Code", "None"}};
  Json reason = {{"Code", "ConditionalCheckFailed"},
                 {"Message", "The conditional request failed"}};
  if (old_item != nullptr &&
      put.value("ReturnValuesOnConditionCheckFailure", "") == "ALL_OLD") {
    reason["Item"] = *old_item;
  }
  return reason;
}

// Supports "attribute_not_exists(pk)" and "NAME = :VALUE". Any other condition
// counts as failed.
bool PlatformModel::ConditionHolds(const Json& put,
                                   const Json* old_item) const {
  const std::string condition = put.value("ConditionExpression", "");
  if (condition.empty()) return true;
  if (condition == "attribute_not_exists(pk)") return old_item == nullptr;
  const size_t equals = condition.find(" = ");
  if (equals == std::string::npos || old_item == nullptr) return false;
  const std::string name = condition.substr(0, equals);
  const std::string value = condition.substr(equals + 3);
  return old_item->contains(name) &&
         old_item->at(name) == put.at("ExpressionAttributeValues").at(value);
}

const PlatformModel::Json* PlatformModel::Find(const std::string& table,
                                               const Key& key) const {
  const auto found_table = tables_.find(table);
  if (found_table == tables_.end()) return nullptr;
  const auto found = found_table->second.find(key);
  return found == found_table->second.end() ? nullptr : &found->second;
}

void PlatformModel::Store(const Json& put) {
  const Json& item = put.at("Item");
  tables_[put.at("TableName").get<std::string>()][KeyOf(item)] = item;
  ++counts_.writes;
}

HttpResponse PlatformModel::PutItem(const Json& body) {
  const Json reason = CheckPut(body);
  if (reason["Code"] != "None") {
    return TableError("ConditionalCheckFailedException",
                      "The conditional request failed");
  }
  Store(body);
  return JsonResponse(200, "{}");
}

HttpResponse PlatformModel::GetItem(const Json& body) {
  ++counts_.reads;
  const Json* item =
      Find(body.at("TableName").get<std::string>(), KeyOf(body.at("Key")));
  Json answer = Json::object();
  if (item != nullptr) answer["Item"] = *item;
  return JsonResponse(200, answer.dump());
}

HttpResponse PlatformModel::BatchGet(const Json& body) {
  Json responses = Json::object();
  for (const auto& [table, request] : body.at("RequestItems").items()) {
    const Json& keys = request.at("Keys");
    if (keys.size() > kMaxBatchGetKeys) return Invalid("more than 100 keys");
    counts_.reads += keys.size();
    responses[table] = Json::array();
    for (const Json& key : keys) {
      const Json* item = Find(table, KeyOf(key));
      if (item != nullptr) responses[table].push_back(*item);
    }
  }
  const Json answer = {{"Responses", responses},
                       {"UnprocessedKeys", Json::object()}};
  return JsonResponse(200, answer.dump());
}

// Supports "pk = :VALUE" only.
HttpResponse PlatformModel::Query(const Json& body) {
  const std::string condition =
      body.at("KeyConditionExpression").get<std::string>();
  const std::string start = "pk = ";
  if (condition.compare(0, start.size(), start) != 0) {
    return Invalid(condition);
  }
  const std::string partition = body.at("ExpressionAttributeValues")
                                    .at(condition.substr(start.size()))
                                    .at("S")
                                    .get<std::string>();
  const Table& table = tables_[body.at("TableName").get<std::string>()];
  auto row = table.lower_bound({partition, ""});
  if (body.contains("ExclusiveStartKey")) {
    row = table.upper_bound(KeyOf(body.at("ExclusiveStartKey")));
  }
  Json items = Json::array();
  for (; row != table.end() && row->first.first == partition; ++row) {
    if (items.size() == kQueryPageSize) break;
    items.push_back(row->second);
  }
  ++counts_.reads;
  Json answer = {{"Count", items.size()}};
  if (items.size() == kQueryPageSize) {
    answer["LastEvaluatedKey"] = {{"pk", items.back().at("pk")},
                                  {"sk", items.back().at("sk")}};
  }
  answer["Items"] = std::move(items);
  return JsonResponse(200, answer.dump());
}

HttpResponse PlatformModel::PutObject(const HttpRequest& request) {
  const bool absent_only = FindHeader(request.headers, "If-None-Match") == "*";
  if (absent_only && objects_.count(request.target) > 0) {
    return ObjectError(412, "PreconditionFailed");
  }
  objects_[request.target] = std::string(request.body.view());
  ++counts_.writes;
  return HttpResponse();
}

HttpResponse PlatformModel::GetObject(const HttpRequest& request) {
  ++counts_.reads;
  const auto found = objects_.find(request.target);
  if (found == objects_.end()) return ObjectError(404, "NoSuchKey");
  HttpResponse response;
  response.headers = {{"Content-Type", "application/octet-stream"}};
  response.body = Body(found->second);
  return response;
}

}  // namespace amaranth::testsuite
