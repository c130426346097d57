#include "amaranthroute/platform_client.h"

#include <utility>

#include "libplatform/object_store.h"
#include "libplatform/table_store.h"

namespace amaranth {
namespace {

TimePoint SteadyNow() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

}  // namespace

class PlatformClient::Impl {
 public:
  explicit Impl(std::shared_ptr<pvt::PlatformLink> link)
      : table_(link), objects_(std::move(link)) {}

  void Call(const PlatformRequest& request, pvt::PlatformCallback done) {
    std::visit(
        [&](const auto& alternative) { Start(alternative, std::move(done)); },
        request);
  }

 private:
  void Start(const TableClaimRows& request, pvt::PlatformCallback done) {
    table_.Claim(request, std::move(done));
  }
  void Start(const TableReadHead&, pvt::PlatformCallback done) {
    table_.ReadHead(std::move(done));
  }
  void Start(const TableMoveHead& request, pvt::PlatformCallback done) {
    table_.MoveHead(request, std::move(done));
  }
  void Start(const TableReadChange& request, pvt::PlatformCallback done) {
    table_.ReadChange(request, std::move(done));
  }
  void Start(const TableReadPeers&, pvt::PlatformCallback done) {
    table_.ReadPeers(std::move(done));
  }
  void Start(const TableWritePeer& request, pvt::PlatformCallback done) {
    table_.WritePeer(request, std::move(done));
  }
  void Start(const TableReadRetained& request, pvt::PlatformCallback done) {
    table_.ReadRetained(request, std::move(done));
  }
  void Start(const TableWriteRetained& request, pvt::PlatformCallback done) {
    table_.WriteRetained(request, std::move(done));
  }
  void Start(const TableWatchSettings&, const pvt::PlatformCallback& done) {
    // Not supported: with this table, settings change only through the head
    // row, so there are no settings written outside the product to wait for.
    PlatformReply reply;
    reply.status = PlatformStatus::kUnreachable;
    done(std::move(reply));
  }
  void Start(const ObjectPut& request, pvt::PlatformCallback done) {
    objects_.Put(request, std::move(done));
  }
  void Start(const ObjectGet& request, pvt::PlatformCallback done) {
    objects_.Get(request, std::move(done));
  }

  pvt::TableStore table_;
  pvt::ObjectStore objects_;
};

PlatformClient::PlatformClient(PlatformOptions options, HttpCall http_call)
    : PlatformClient(std::move(options), std::move(http_call), SteadyNow) {}

PlatformClient::PlatformClient(PlatformOptions options, HttpCall http_call,
                               NowFunction now)
    : impl_(std::make_shared<Impl>(std::make_shared<pvt::PlatformLink>(
          std::move(options), std::move(http_call), std::move(now)))) {}

PlatformClient::~PlatformClient() = default;

// Calls `done` only while the client exists, because a late HTTP answer must
// not call into an owner that has been destroyed.
void PlatformClient::Call(const PlatformRequest& request,
                          std::function<void(PlatformReply)> done) {
  impl_->Call(request, [alive = std::weak_ptr<Impl>(impl_),
                        done = std::move(done)](PlatformReply reply) {
    if (alive.lock()) done(std::move(reply));
  });
}

}  // namespace amaranth
