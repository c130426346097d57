#include "amaranthroute/event_log.h"

#include <CppUTest/TestHarness.h>

#include <sstream>

namespace amaranth {
namespace {

NodeIdentity Identity() {
  NodeIdentity identity;
  identity.node = {"n1", 77};
  identity.data_centre = "derby";
  identity.peer_address = {"127.0.0.1", 1};
  identity.gossip_address = {"127.0.0.1", 2};
  identity.use_platform = false;
  identity.random_seed = 5;
  return identity;
}

HttpRequest PostRequest(const std::string& target, const std::string& body) {
  HttpRequest request;
  request.method = "POST";
  request.target = target;
  request.body = Body(body);
  return request;
}

HttpRequest ServiceRequest() {
  HttpRequest request;
  request.headers = {{"X-Amaranth-Service", "proofing"}};
  request.body = Body(std::string("\0binary\xff", 8));
  return request;
}

// Returns events of every type, with times that increase.
std::vector<Event> EventsOfEveryType() {
  std::vector<EventBody> bodies = {
      CallerRequest{1, PostRequest("/amaranth/v1/announce",
                                   R"({"server":"p1","service":"proofing",)"
                                   R"("address":"127.0.0.1:9","slots":1})")},
      CallerRequest{2, ServiceRequest()},
      CallerRequest{3, ServiceRequest()},
      CallerRequest{4, ServiceRequest()},
      CallerGone{3},
      PeerReceived{{"n2", 5}, LinkPing{9}},
      PeerReceived{{"n2", 5},
                   CallAnswer{99, 77, {}, {}, 0, {}, false, {}, {}, {}, {}}},
      GossipReceived{{"127.0.0.1", 3}, {}},
      PeerSendFailed{"n2", LinkPong{9}},
      PeerLost{"n2"},
      ServerReplied{5, HttpResponse{200, {}, Body("whole")}},
      ServerFailed{7, Verdict::kMayHaveRun, Reason::kConnectionLost},
      PlatformReplied{3, {}},
      OperatorRequest{8, PostRequest("/nowhere", "")},
      Tick{},
      StopRequested{},
      Tick{},
  };
  std::vector<Event> events;
  int64_t at = 1'000'000;
  for (EventBody& body : bodies) {
    events.push_back({FromMicros(at), std::move(body)});
    at += 700'000;
  }
  return events;
}

std::string RecordLog(const std::vector<Event>& events) {
  std::ostringstream log;
  const TimePoint started = FromMicros(500'000);
  Node node(Identity());
  node.Start(started);
  log << FormatIdentity(Identity(), started) << "\n";
  for (const Event& event : events) {
    log << FormatEvent(event, DigestOf(node.Reduce(event))) << "\n";
  }
  return log.str();
}

}  // namespace

TEST_GROUP(EventLog){};

TEST(EventLog, ReplayYieldsTheRecordedEffects) {
  const std::vector<Event> events = EventsOfEveryType();
  std::istringstream log(RecordLog(events));
  const Outcome<ReplayReport> report = ReplayLog(log, nullptr);
  CHECK(report.has_value());
  CHECK_EQUAL(events.size(), report.value().events);
  CHECK(report.value().effects > 10);
  CHECK_EQUAL(0u, report.value().differing);
}

TEST(EventLog, ChangedLogIsDetected) {
  std::string text = RecordLog(EventsOfEveryType());
  const size_t type = text.find("caller-gone");
  text.replace(type, 11, "caller-gon3");
  std::istringstream unknown_type(text);
  CHECK(!ReplayLog(unknown_type, nullptr));
  std::vector<Event> events = EventsOfEveryType();
  const std::string whole = RecordLog(events);
  const size_t line = whole.find('\n', whole.find('\n') + 1);
  const size_t next = whole.find('\n', line + 1);
  std::istringstream without_an_event(whole.substr(0, line) +
                                      whole.substr(next));
  const Outcome<ReplayReport> report = ReplayLog(without_an_event, nullptr);
  CHECK(report.has_value());
  CHECK(report.value().differing > 0);
}

TEST(EventLog, OperatorTokenIsNotLogged) {
  OperatorRequest request{1, PostRequest("/drain", "")};
  request.request.headers = {{"Authorization", "Bearer secret-token"}};
  const std::string line = FormatEvent({FromMicros(1), request}, 0);
  std::istringstream log(FormatIdentity(Identity(), FromMicros(0)) + "\n" +
                         line + "\n");
  std::ostringstream trace;
  CHECK(ReplayLog(log, &trace).has_value());
  CHECK(trace.str().find("secret-token") == std::string::npos);
}

TEST(EventLog, MalformedLogIsAnError) {
  for (const char* malformed : {"", "{}", "not json", "[1,2]"}) {
    std::istringstream log(malformed);
    CHECK(!ReplayLog(log, nullptr));
  }
}

}  // namespace amaranth
