// write_corpus FOLDER: writes the seed corpus of the wire fuzzers, one file for
// each kind of message. Run it again and commit the result when the IDL
// changes.

#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "amaranthroute/wire.h"

namespace amaranth {
namespace {

namespace fs = std::filesystem;

HttpRequest SampleRequest() {
  return {"POST", "/pay?x=1", {{"Content-Type", "text/plain"}}, Body("body")};
}

MemberRecord SampleMember() {
  MemberRecord member;
  member.node = NodeRef{"n1", 77};
  member.version = 3;
  member.state = MemberState::kSuspect;
  member.data_centre = "dc1";
  member.region = "eu";
  member.peer_address = Endpoint{"127.0.0.1", 7001};
  member.gossip_address = Endpoint{"127.0.0.1", 7002};
  member.servers = {{"s1", "pay", Endpoint{"127.0.0.1", 8001}, 100, false, {}}};
  return member;
}

CallForward SampleForward() {
  CallForward forward;
  forward.attempt = 9;
  forward.server = "s1";
  forward.context.request_id = "r-1";
  forward.context.service = "pay";
  forward.context.tier = Tier::kCritical;
  forward.context.remaining = std::chrono::milliseconds(900);
  forward.context.retry_credits = 3;
  forward.request = SampleRequest();
  return forward;
}

CallAnswer SampleAnswer() {
  CallAnswer answer;
  answer.attempt = 9;
  answer.entry_incarnation = 77;
  answer.response = HttpResponse{200, {{"X", "y"}}, Body("ok")};
  answer.failure.detail = "detail";
  answer.load.server = "s1";
  answer.load.in_flight = 12;
  return answer;
}

MemberSync SampleSync() {
  MemberSync sync;
  sync.reply_wanted = true;
  sync.bucket_hashes = {1, 0xffffffffu};
  sync.members = {SampleMember(), SampleMember()};
  sync.quarantines = {{"pay", 5, 2}};
  return sync;
}

GossipMessage SampleGossip(GossipKind kind) {
  GossipMessage message;
  message.kind = kind;
  message.from = NodeRef{"n1", 77};
  message.from_address = Endpoint{"127.0.0.1", 7002};
  message.sequence = 5;
  message.target = "n2";
  message.updates = {SampleMember()};
  message.quarantines = {{"pay", 5, 2}};
  return message;
}

std::vector<PeerMessage> SamplePeerMessages() {
  return {Hello{NodeRef{"n1", 77}, "fleet", "dc1"},
          SampleForward(),
          SampleAnswer(),
          CallCancel{9},
          HomeForward{9, 77, SampleRequest(), std::chrono::milliseconds(5)},
          LinkPing{1},
          LinkPong{1},
          SettingsRequest{4},
          SettingsSnapshot{5, 6, "{}"},
          ClaimRequest{NodeRef{"n1", 77}, {{1, "key"}}},
          ClaimReply{{{1, true, NodeRef{"n1", 77}, 1}}},
          QuotaRequest{1, "customer", 1, false},
          QuotaReply{1, "customer", 1, std::chrono::milliseconds(5), false},
          SampleSync()};
}

void WriteFile(const fs::path& folder, size_t number,
               const std::string& bytes) {
  fs::create_directories(folder);
  std::ofstream out(folder / std::to_string(number), std::ios::binary);
  out << bytes;
}

void WriteCorpus(const fs::path& folder) {
  size_t number = 0;
  std::string stream(1, '\x07');  // fed in pieces of eight bytes
  for (const PeerMessage& message : SamplePeerMessages()) {
    const std::string payload = EncodePeerMessage(message);
    stream += EncodeFrame(payload);
    WriteFile(folder / "peer_message", number++, payload);
  }
  WriteFile(folder / "frames", 0, stream);
  WriteFile(folder / "frames", 1, stream.substr(0, stream.size() / 2));
  for (const GossipKind kind :
       {GossipKind::kPing, GossipKind::kAck, GossipKind::kPingRequest}) {
    WriteFile(folder / "gossip", static_cast<size_t>(kind),
              EncodeGossip(SampleGossip(kind)));
  }
}

}  // namespace
}  // namespace amaranth

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: write_corpus FOLDER\n";
    return 2;
  }
  amaranth::WriteCorpus(argv[1]);
  return 0;
}
