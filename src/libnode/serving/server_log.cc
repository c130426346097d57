#include "libnode/serving/server_log.h"

namespace amaranth::pvt {

std::string DescribeStamp(const AnnouncementStamp& stamp) {
  return "started_ms=" + std::to_string(stamp.started_ms) +
         " sequence=" + std::to_string(stamp.sequence);
}

std::string DescribeKnown(const LocalServer* server, TimePoint now) {
  if (server == nullptr) return "known=none";
  std::string text = server->draining ? "known=draining" : "known=ready";
  text += " known_started_ms=" + std::to_string(server->stamp.started_ms);
  text += " known_sequence=" + std::to_string(server->stamp.sequence);
  text += " known_age_ms=" + std::to_string(ToMillis(now - server->last_heard));
  return text;
}

std::string DescribeServerEvent(const std::string& server,
                                std::string_view what,
                                const AnnouncementStamp& stamp,
                                const LocalServer* known,
                                std::string_view decision, TimePoint now) {
  std::string text = "Backend server " + server + " ";
  text += what;
  text += ": " + DescribeStamp(stamp) + " " + DescribeKnown(known, now);
  text += " decision=";
  text += decision;
  return text;
}

}  // namespace amaranth::pvt
