#include "amaranthroute/platform.h"

#include "libutil/fields.h"
#include "libutil/print.h"

namespace amaranth {

bool operator==(const TableClaimRows& a, const TableClaimRows& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const TableReadHead& a, const TableReadHead& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const TableMoveHead& a, const TableMoveHead& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const TableReadChange& a, const TableReadChange& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const TableReadPeers& a, const TableReadPeers& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const TableWritePeer& a, const TableWritePeer& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const TableReadRetained& a, const TableReadRetained& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const TableWriteRetained& a, const TableWriteRetained& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const TableWatchSettings& a, const TableWatchSettings& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const ObjectPut& a, const ObjectPut& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const ObjectGet& a, const ObjectGet& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

bool operator==(const PlatformReply& a, const PlatformReply& b) {
  return pvt::Fields(a) == pvt::Fields(b);
}

void AddPeerRow(const std::string& key, const std::string& value,
                PlatformReply& reply) {
  const size_t suffix = kRetainedRowSuffix.size();
  const bool is_retained =
      key.size() > suffix &&
      key.compare(key.size() - suffix, suffix, kRetainedRowSuffix) == 0;
  if (is_retained) {
    reply.retained.push_back(key.substr(0, key.size() - suffix) + "=" + value);
  } else {
    reply.peers.push_back(key + "=" + value);
  }
}

std::string_view ToString(PlatformStatus status) {
  switch (status) {
    case PlatformStatus::kOk:
      return "ok";
    case PlatformStatus::kConditionFailed:
      return "condition-failed";
    case PlatformStatus::kNotFound:
      return "not-found";
    case PlatformStatus::kUnreachable:
      return "unreachable";
    case PlatformStatus::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::ostream& operator<<(std::ostream& out, const PlatformRequest& value) {
  pvt::Print(out, value);
  return out;
}

std::ostream& operator<<(std::ostream& out, const PlatformReply& value) {
  pvt::Print(out, value);
  return out;
}

}  // namespace amaranth
