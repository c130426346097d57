// Customers' keys at one node that watches a settings document.

#include <CppUTest/TestHarness.h>

#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "amaranthroute/reducer.h"
#include "libnode/fakes/find_effect.h"
#include "libnode/settings/settings_document.h"
#include "libnode/shared/caller_headers.h"

namespace amaranth::pvt {
namespace {

constexpr const char* kHost = "a.example";

Customer MakeCustomer(const char* name, const char* key) {
  Customer customer;
  customer.name = name;
  customer.keys = {KeyDigest::Of(key)};
  customer.tier = Tier::kCritical;
  return customer;
}

SettingsDocument MakeDocument(uint64_t version,
                              std::vector<Customer> customers) {
  SettingsDocument document;
  document.version = version;
  document.routes =
      RouteTable({Route{"browse", kHost, "/b/", {{"front", 1}}, false},
                  Route{"open", kHost, "/o/", {{"front", 1}}, true},
                  Route{"deep", kHost, "/d/", {{"deep", 1}}, false},
                  Route{"open-deep", kHost, "/od/", {{"deep", 1}}, true}});
  document.customers = CustomerTable(std::move(customers));
  return document;
}

HttpRequest MakeGet(const std::string& target, const std::string& key) {
  HttpRequest request;
  request.target = target;
  request.headers = {{"Host", kHost},
                     {std::string(kRequestIdHeader), "r1"},
                     {std::string(kTenantHeader), "stated"},
                     {std::string(kCustomerHeader), "stated"}};
  if (!key.empty()) {
    request.headers.push_back({std::string(kKeyHeader), key});
  }
  return request;
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming)
TEST_GROUP(CustomerKeys) {
  std::optional<Node> node;
  TimePoint now = FromMicros(1'000'000);
  CallId next_call = 1;
  std::optional<PlatformOpId> watch;

  void setup() override { StartNode(true); }

  void StartNode(bool request_id_per_send) {
    NodeIdentity identity;
    identity.node = {"a1", 1};
    identity.rules.settings_source = SettingsSource::kWatch;
    identity.rules.request_id_per_send = request_id_per_send;
    identity.rules.announce_port = true;
    node.emplace(identity);
    const Effects effects = node->Start(now);
    NoteWatch(effects);
    AnswerPeerRead(effects);
  }

  // A platform that does not answer would be taken for one in an outage.
  void AnswerPeerRead(const Effects& effects) {
    for (const Effect& effect : effects) {
      const SendPlatform* send = std::get_if<SendPlatform>(&effect);
      if (send == nullptr) continue;
      if (!std::holds_alternative<TableReadPeers>(send->request)) continue;
      PlatformReply reply;
      reply.status = PlatformStatus::kOk;
      NoteWatch(node->Reduce({now, PlatformReplied{send->op, reply}}));
    }
  }

  void NoteWatch(const Effects& effects) {
    for (const Effect& effect : effects) {
      const SendPlatform* send = std::get_if<SendPlatform>(&effect);
      const bool watches =
          send != nullptr &&
          std::holds_alternative<TableWatchSettings>(send->request);
      if (watches) watch = send->op;
    }
  }

  void Announce(const std::string& server, const std::string& address) {
    HttpRequest request;
    request.method = "POST";
    request.target = "/amaranth/v1/announce";
    request.body =
        Body(R"({"server":")" + server + R"(","service":")" + server +
             R"(","address":")" + address + R"(","slots":10})");
    NoteWatch(node->Reduce(
        {now, CallerRequest{next_call++, request, CallerKind::kAnnouncer}}));
  }

  void SetDocument(const SettingsDocument& document) {
    PlatformReply reply;
    reply.status = PlatformStatus::kOk;
    reply.version = document.version;
    reply.bytes = ToText(document);
    ReplyToWatch(reply);
  }

  void ReplyToWatch(const PlatformReply& reply) {
    const PlatformOpId op = watch.value();
    watch.reset();
    now += std::chrono::milliseconds(100);
    NoteWatch(node->Reduce({now, PlatformReplied{op, reply}}));
    RunForOneSecond();
  }

  void RunForOneSecond() {
    for (int i = 0; i < 10; ++i) {
      now += std::chrono::milliseconds(100);
      NoteWatch(node->Reduce({now, Tick{}}));
    }
  }

  Effects Send(HttpRequest request) {
    return node->Reduce({now, CallerRequest{next_call++, std::move(request)}});
  }

  int StatusOf(const HttpRequest& request) {
    AnnounceServers();
    const std::optional<AnswerCaller> answer =
        FindEffect<AnswerCaller>(Send(request));
    return answer ? answer->response.status : 0;
  }

  void AnnounceServers() {
    Announce("front", "10.0.0.1:1");
    Announce("deep", "10.0.0.1:2");
  }

  HttpRequest RequestAtServer(HttpRequest request) {
    AnnounceServers();
    return FindEffect<SendServer>(Send(std::move(request))).value().request;
  }
};

// Guards against requests whose key nobody holds, or that have none.
TEST(CustomerKeys, OnlyRequestsWithAKnownKeyRun) {
  SetDocument(MakeDocument(1, {MakeCustomer("c1", "k1")}));
  CHECK_EQUAL(0, StatusOf(MakeGet("/b/1", "k1")));
  CHECK_EQUAL(401, StatusOf(MakeGet("/b/1", "k2")));
  CHECK_EQUAL(401, StatusOf(MakeGet("/b/1", "")));
}

// Guards against a node that refuses every key for good because it has no
// settings yet.
TEST(CustomerKeys, ANodeWithoutSettingsAsksTheCallerToComeBack) {
  CHECK_EQUAL(503, StatusOf(MakeGet("/b/1", "k1")));
}

// Guards against keys that reach backend servers, and against a customer that
// the caller states instead of proving it.
TEST(CustomerKeys, TheServerGetsTheNameOfTheHolderAndNotTheKey) {
  SetDocument(MakeDocument(1, {MakeCustomer("c1", "k1")}));
  const HttpRequest request = RequestAtServer(MakeGet("/b/1", "k1"));
  STRCMP_EQUAL(
      "c1", std::string(FindHeader(request.headers, kCustomerHeader)).c_str());
  STRCMP_EQUAL("c1",
               std::string(FindHeader(request.headers, kTenantHeader)).c_str());
  for (const Header& header : request.headers) CHECK(header.value != "k1");
}

TEST(CustomerKeys, AnOpenRouteNeedsNoKeyAndNamesNoCustomer) {
  SetDocument(MakeDocument(1, {MakeCustomer("c1", "k1")}));
  const HttpRequest request = RequestAtServer(MakeGet("/o/1", "k1"));
  CHECK(FindHeader(request.headers, kCustomerHeader).empty());
  CHECK(FindHeader(request.headers, kKeyHeader).empty());
  CHECK(FindHeader(request.headers, kTenantHeader) == "default");
}

TEST(CustomerKeys, ANestedCallNeedsNoKeyAndBelongsToTheSameCustomer) {
  SetDocument(MakeDocument(1, {MakeCustomer("c1", "k1")}));
  const HttpRequest parent = RequestAtServer(MakeGet("/b/1", "k1"));
  const Header token{std::string(kContextHeader),
                     std::string(FindHeader(parent.headers, kContextHeader))};
  HttpRequest nested = MakeGet("/d/1", "");
  nested.headers.push_back(token);
  CHECK(FindHeader(RequestAtServer(nested).headers, kCustomerHeader) == "c1");
  HttpRequest open = MakeGet("/od/1", "");
  open.headers.push_back(token);
  CHECK(FindHeader(RequestAtServer(open).headers, kCustomerHeader).empty());
}

// Guards against a made-up context that lets a request pass without a key.
TEST(CustomerKeys, AnUnknownContextReplacesNoKey) {
  SetDocument(MakeDocument(1, {MakeCustomer("c1", "k1")}));
  HttpRequest request = MakeGet("/b/1", "");
  request.headers.push_back(
      {std::string(kContextHeader), FormatContextToken({77, 77})});
  CHECK_EQUAL(400, StatusOf(request));
}

// Guards against a key that still counts after it was taken away, also at a
// node that then receives an older document.
TEST(CustomerKeys, ADroppedKeyIsRefusedAndStaysRefused) {
  SetDocument(MakeDocument(1, {MakeCustomer("c1", "k1")}));
  SetDocument(MakeDocument(2, {MakeCustomer("c1", "k2")}));
  CHECK_EQUAL(401, StatusOf(MakeGet("/b/1", "k1")));
  CHECK_EQUAL(0, StatusOf(MakeGet("/b/1", "k2")));
  const PlatformReply old = {
      PlatformStatus::kOk,
      {},
      3,
      ToText(MakeDocument(1, {MakeCustomer("c1", "k1")})),
      {},
      0};
  ReplyToWatch(old);
  CHECK_EQUAL(401, StatusOf(MakeGet("/b/1", "k1")));
}

// Guards against "not run" for a renewal that ran before its customer's key was
// taken away, and that is then resent under the same request id.
TEST(CustomerKeys, AResendWithADroppedKeyIsNotCalledNotRun) {
  StartNode(false);
  SetDocument(MakeDocument(1, {MakeCustomer("c1", "k1")}));
  HttpRequest renewal = MakeGet("/b/1", "k2");
  renewal.method = "POST";
  const AnswerCaller answer = FindEffect<AnswerCaller>(Send(renewal)).value();
  CHECK_EQUAL(401, answer.response.status);
  CHECK(FindHeader(answer.response.headers, kVerdictHeader) == "may-have-run");
}

// Guards against a fleet without customers that suddenly asks for keys.
TEST(CustomerKeys, WithoutCustomersNoKeyIsNeeded) {
  SetDocument(MakeDocument(1, {}));
  const HttpRequest request = RequestAtServer(MakeGet("/b/1", ""));
  CHECK(FindHeader(request.headers, kTenantHeader) == "stated");
  CHECK(FindHeader(request.headers, kCustomerHeader).empty());
}

// Guards against settings that peers and the platform store with keys in clear.
TEST(CustomerKeys, TheDocumentHoldsDigestsAndIsReadBack) {
  Customer customer = MakeCustomer("c1", "secret-key");
  customer.quota = {5, 7};
  const SettingsDocument document = MakeDocument(3, {customer});
  const std::string text = ToText(document);
  CHECK(text.find("secret-key") == std::string::npos);
  CHECK(ParseDocument(text).value() == document);
}

}  // namespace amaranth::pvt
