#include "libhost/refusal.h"

#include <nlohmann/json.hpp>

#include "libhost/framing.h"

namespace amaranth::pvt {
namespace {

constexpr int kServiceUnavailable = 503;
constexpr int kRetryAfterSeconds = 1;

}  // namespace

HttpResponse MakeRefusal(int status, Reason reason, const std::string& node,
                         std::string_view detail) {
  const bool is_retryable = status == kServiceUnavailable;
  const nlohmann::json body = {
      {"verdict", ToString(Verdict::kNotRun)},
      {"reason", ToString(reason)},
      {"retry_after_ms", is_retryable ? kRetryAfterSeconds * 1000 : 0},
      {"request_id", ""},
      {"node", node},
      {"detail", detail}};
  HttpResponse response;
  response.status = status;
  response.headers.push_back({"Content-Type", "application/json"});
  if (is_retryable) {
    response.headers.push_back(
        {"Retry-After", std::to_string(kRetryAfterSeconds)});
  }
  response.body = Body(body.dump() + "\n");
  return response;
}

std::string SerializeRefusal(const HttpResponse& refusal) {
  std::string text = "HTTP/1.1 " + std::to_string(refusal.status) + " ";
  text += ReasonPhrase(refusal.status);
  text += "\r\nConnection: close\r\nContent-Length: " +
          std::to_string(refusal.body.size()) + "\r\n";
  for (const Header& header : refusal.headers) {
    text += header.name + ": " + header.value + "\r\n";
  }
  text += "\r\n";
  text += refusal.body.view();
  return text;
}

}  // namespace amaranth::pvt
