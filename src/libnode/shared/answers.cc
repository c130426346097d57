#include "libnode/shared/answers.h"

#include <nlohmann/json.hpp>

#include "libnode/shared/caller_headers.h"

namespace amaranth::pvt {
namespace {

int StatusFor(const Failure& failure) {
  switch (failure.reason) {
    case Reason::kBadRequest:
      return 400;
    case Reason::kUnknownKey:
      return 401;
    case Reason::kOverQuota:
      return 429;
    case Reason::kNoRoute:
    case Reason::kUnknownService:
      return 404;
    case Reason::kTooLarge:
      // 413 says that the request must not be sent again, so it is only for a
      // request that was refused for its own size.
      return failure.verdict == Verdict::kNotRun ? 413 : 502;
    case Reason::kQuarantined:
      return 422;
    case Reason::kDeadline:
      return 504;
    case Reason::kPlatformDown:
      return 503;
    default:
      return failure.verdict == Verdict::kNotRun ? 503 : 502;
  }
}

int64_t CeilSeconds(Duration d) {
  constexpr int64_t kMicrosPerSecond = 1'000'000;
  return (d.count() + kMicrosPerSecond - 1) / kMicrosPerSecond;
}

}  // namespace

HttpResponse FailureResponse(const Failure& failure,
                             std::string_view request_id,
                             std::string_view node) {
  nlohmann::ordered_json body;
  body["verdict"] = ToString(failure.verdict);
  body["reason"] = ToString(failure.reason);
  body["retry_after_ms"] = ToMillis(failure.retry_after);
  body["request_id"] = request_id;
  body["node"] = node;
  body["detail"] = failure.detail;
  // Details may quote bytes of a caller. Invalid UTF-8 is replaced because the
  // strict handler would throw.
  HttpResponse response = JsonResponse(
      StatusFor(failure),
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  response.headers.push_back(
      {std::string(kVerdictHeader), std::string(ToString(failure.verdict))});
  response.headers.push_back(
      {std::string(kRequestIdHeader), std::string(request_id)});
  if (failure.final) {
    response.headers.push_back({std::string(kFinalHeader), "1"});
  }
  if (failure.retry_after.count() > 0) {
    response.headers.push_back(
        {"Retry-After", std::to_string(CeilSeconds(failure.retry_after))});
  }
  return response;
}

HttpResponse JsonResponse(int status, std::string json) {
  HttpResponse response;
  response.status = status;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body = Body(std::move(json));
  return response;
}

}  // namespace amaranth::pvt
