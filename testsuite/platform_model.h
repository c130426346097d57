#ifndef AMARANTHROUTE_TESTSUITE_PLATFORM_MODEL_H_
#define AMARANTHROUTE_TESTSUITE_PLATFORM_MODEL_H_

// In-memory model of the platform's table service and object store. Implements
// the part of DynamoDB's JSON protocol and of S3's REST protocol that
// amaranthroute uses. Shares no code with src/libplatform, so that an error in
// its codec is not repeated here and hidden.

#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "amaranthroute/http.h"

namespace amaranth::testsuite {

struct PlatformCounts {
  uint64_t reads = 0;         // rows or objects read; a query counts once
  uint64_t writes = 0;        // rows or objects written
  uint64_t transactions = 0;  // transactions that took effect
  uint64_t cancelled = 0;     // transactions whose conditions failed
};

// Thread-safe.
class PlatformModel {
 public:
  HttpResponse Handle(const HttpRequest& request);
  PlatformCounts counts() const;

 private:
  using Json = nlohmann::json;
  using Key = std::pair<std::string, std::string>;
  using Table = std::map<Key, Json>;

  HttpResponse DispatchOperation(const std::string& operation,
                                 const Json& body);
  HttpResponse TransactWrite(const Json& body);
  HttpResponse PutItem(const Json& body);
  HttpResponse GetItem(const Json& body);
  HttpResponse BatchGet(const Json& body);
  HttpResponse Query(const Json& body);
  HttpResponse PutObject(const HttpRequest& request);
  HttpResponse GetObject(const HttpRequest& request);

  // Returns why the put would fail, or {"Code": "None"} if it would succeed.
  Json CheckPut(const Json& put);
  bool ConditionHolds(const Json& put, const Json* old_item) const;
  const Json* Find(const std::string& table, const Key& key) const;
  void Store(const Json& put);

  mutable std::mutex mutex_;
  std::map<std::string, Table> tables_;
  std::map<std::string, std::string> objects_;
  PlatformCounts counts_;
};

}  // namespace amaranth::testsuite

#endif  // AMARANTHROUTE_TESTSUITE_PLATFORM_MODEL_H_
