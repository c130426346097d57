#include "libplatform/object_store.h"

#include <utility>

namespace amaranth::pvt {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;
constexpr int kHttpPreconditionFailed = 412;

std::string PercentEncoded(const std::string& name) {
  static constexpr char kUnescaped[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.~/";
  static constexpr char kHex[] = "0123456789ABCDEF";
  std::string result;
  for (const char c : name) {
    if (std::string_view(kUnescaped).find(c) != std::string_view::npos) {
      result += c;
      continue;
    }
    const unsigned char byte = static_cast<unsigned char>(c);
    result += {'%', kHex[byte >> 4], kHex[byte & 15]};
  }
  return result;
}

// Returns the status of a call that did not end with an HTTP status that its
// operation expects. The call had no effect if no byte of it was sent or if it
// was refused with a 4xx status; in every other case its outcome is unknown.
PlatformStatus StatusOfFailure(const HttpClientResult& result) {
  if (!result.response) {
    return result.verdict == Verdict::kNotRun ? PlatformStatus::kUnreachable
                                              : PlatformStatus::kUnknown;
  }
  const int status = result.response->status;
  const bool refused = status >= 400 && status < 500;
  return refused ? PlatformStatus::kUnreachable : PlatformStatus::kUnknown;
}

PlatformStatus PutStatus(const HttpClientResult& result) {
  if (result.response) {
    const int status = result.response->status;
    if (status == kHttpOk) return PlatformStatus::kOk;
    if (status == kHttpPreconditionFailed) {
      return PlatformStatus::kConditionFailed;
    }
    // Another conditional put of the same name is in flight.
    if (status == kHttpConflict) return PlatformStatus::kUnreachable;
  }
  return StatusOfFailure(result);
}

PlatformReply GetReply(const HttpClientResult& result) {
  PlatformReply reply;
  if (result.response && result.response->status == kHttpOk) {
    reply.status = PlatformStatus::kOk;
    reply.bytes = std::string(result.response->body.view());
  } else if (result.response && result.response->status == kHttpNotFound) {
    reply.status = PlatformStatus::kNotFound;
  } else {
    reply.status = StatusOfFailure(result);
  }
  return reply;
}

}  // namespace

ObjectStore::ObjectStore(std::shared_ptr<PlatformLink> link)
    : link_(std::move(link)) {}

std::string ObjectStore::Target(const std::string& name) const {
  const PlatformOptions& options = link_->options();
  return PercentEncoded("/" + options.bucket + "/" + options.fleet + "/" +
                        name);
}

void ObjectStore::Put(const ObjectPut& put, PlatformCallback done) {
  if (!link_->TakeWrites(1)) {
    done(ReplyWithStatus(PlatformStatus::kUnreachable));
    return;
  }
  HttpRequest request;
  request.method = "PUT";
  request.target = Target(put.name);
  request.headers = {{"If-None-Match", "*"},
                     {"Content-Type", "application/octet-stream"}};
  request.body = Body(put.bytes);
  link_->CallObjects(std::move(request),
                     [done = std::move(done)](const HttpClientResult& result) {
                       done(ReplyWithStatus(PutStatus(result)));
                     });
}

void ObjectStore::Get(const ObjectGet& get, PlatformCallback done) {
  if (!link_->TakeReads(1)) {
    done(ReplyWithStatus(PlatformStatus::kUnreachable));
    return;
  }
  HttpRequest request;
  request.target = Target(get.name);
  link_->CallObjects(std::move(request),
                     [done = std::move(done)](const HttpClientResult& result) {
                       done(GetReply(result));
                     });
}

}  // namespace amaranth::pvt
