#ifndef AMARANTHROUTE_TESTSUITE_EFFECT_LOG_H_
#define AMARANTHROUTE_TESTSUITE_EFFECT_LOG_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "amaranthroute/http.h"

namespace amaranth::testsuite {

// Counts the requests that a backend server ran, also by request id,
// idempotency key and token. A request is counted when it starts: from then on
// the verdict "not run" would be false.
class EffectLog {
 public:
  void RecordStart(const HttpRequest& request) {
    std::lock_guard<std::mutex> lock(mutex_);
    ++started_;
    Count(by_request_id_, FindHeader(request.headers, "X-Amaranth-Request-Id"));
    Count(by_key_, FindHeader(request.headers, "Idempotency-Key"));
    Count(by_token_, FindHeader(request.headers, "X-Token"));
  }

  void RecordFinish() {
    std::lock_guard<std::mutex> lock(mutex_);
    ++finished_;
  }

  void RecordRefusal() {
    std::lock_guard<std::mutex> lock(mutex_);
    ++refused_;
  }

  std::string ToJson() const {
    std::lock_guard<std::mutex> lock(mutex_);
    const nlohmann::json json = {
        {"started", started_}, {"finished", finished_},
        {"refused", refused_}, {"by_request_id", by_request_id_},
        {"by_key", by_key_},   {"by_token", by_token_}};
    return json.dump();
  }

 private:
  using Counts = std::map<std::string, uint64_t>;

  static void Count(Counts& counts, std::string_view name) {
    if (!name.empty()) ++counts[std::string(name)];
  }

  mutable std::mutex mutex_;
  uint64_t started_ = 0;
  uint64_t finished_ = 0;
  uint64_t refused_ = 0;
  Counts by_request_id_;
  Counts by_key_;
  Counts by_token_;
};

}  // namespace amaranth::testsuite

#endif  // AMARANTHROUTE_TESTSUITE_EFFECT_LOG_H_
