#ifndef AMARANTHROUTE_PLATFORM_H_
#define AMARANTHROUTE_PLATFORM_H_

/// Requests to the platform and its replies, as plain values. Only two services
/// of the platform are used: a table with conditional writes, and an object
/// store of immutable objects.

#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "amaranthroute/time.h"

namespace amaranth {

/// Inserts each row whose key is absent and leaves existing rows unchanged.
/// Rows are independent of each other and may be written in one transaction or
/// in several. The reply names the holder of every row, also after a lost
/// answer: rows whose holder is not known from the write are read back.
struct TableClaimRows {
  struct Row {
    std::string key;
    std::string holder;  ///< opaque to the platform

    friend bool operator==(const Row& a, const Row& b) {
      return a.key == b.key && a.holder == b.holder;
    }
  };
  std::vector<Row> rows;
};

/// Reads the head row of the settings.
struct TableReadHead {};

/// Moves the head from `expected_version` to `version`, in one transaction that
/// also writes the change row `change_id`. An `expected_version` of 0 means
/// that there is no head yet.
struct TableMoveHead {
  uint64_t expected_version = 0;
  uint64_t version = 0;
  std::string object;  ///< name of the snapshot in the object store
  std::string change_id;
};

/// Reads whether a change id was recorded, to find out whether a TableMoveHead
/// took effect whose answer was lost.
struct TableReadChange {
  std::string change_id;
};

/// Lists the peer rows of a fleet: peer discovery at start if no seed answers.
struct TableReadPeers {
  std::string name;  ///< of the node that asks
  /// PlatformReply::more_from of an earlier reply, to go on from there; empty
  /// for the first rows.
  std::string from = {};
};
/// Writes the peer row of this node.
struct TableWritePeer {
  std::string name;
  std::string address;  ///< "ip:port" of the peer link
};

/// Writes what the next process of this node must know of this one: its row of
/// retained state. TableReadPeers returns it.
struct TableWriteRetained {
  std::string name;  ///< of the node
  std::string text;  ///< opaque to the platform
};
/// Reads that row of one node.
struct TableReadRetained {
  std::string name;  ///< of the node
};
/// Added to a node's name in the key of its row of retained state, which stands
/// beside its peer row.
inline constexpr std::string_view kRetainedRowSuffix = "/retained";

/// Long poll for a settings document that operators maintain outside this
/// product's settings tree. Answered with the complete document once it is
/// newer than `after`, or without a document when the wait ends. An `after` of
/// 0 requests the current document.
struct TableWatchSettings {
  uint64_t after = 0;  ///< PlatformReply::version of the previous reply
  Duration wait{0};    ///< how long to wait for a newer document
};

struct ObjectPut {
  std::string name;
  std::string bytes;
};
struct ObjectGet {
  std::string name;
};

using PlatformRequest =
    std::variant<TableClaimRows, TableReadHead, TableMoveHead, TableReadChange,
                 TableReadPeers, TableWritePeer, TableReadRetained,
                 TableWriteRetained, TableWatchSettings, ObjectPut, ObjectGet>;

/// Result of a request to the platform.
enum class PlatformStatus {
  kOk,
  /// The condition did not hold (TableMoveHead).
  kConditionFailed,
  /// No such row or object.
  kNotFound,
  /// The request certainly had no effect, for example because no connection
  /// could be made.
  kUnreachable,
  /// Any other failure: a write may have taken effect.
  kUnknown,
};

/// Reply of the platform. The fields used depend on the request.
struct PlatformReply {
  PlatformStatus status = PlatformStatus::kUnknown;
  /// TableClaimRows: the holder of each row, in the order of the request.
  std::vector<std::string> holders;
  /// TableReadHead, TableReadChange: the version (0 if none).
  /// TableWatchSettings: value of `after` for the next watch.
  uint64_t version = 0;
  /// TableReadHead: name of the object. ObjectGet: its content.
  /// TableWatchSettings: the settings document; empty if there is none or it
  /// has not changed.
  std::string bytes;
  /// TableReadPeers: "name=ip:port" of each peer.
  std::vector<std::string> peers;
  /// Counts the times that the platform's table came back from a copy, which
  /// lacks the last writes and from which versions are given out again; 0 if
  /// the platform does not report it.
  uint64_t epoch = 0;
  /// TableWatchSettings, TableReadPeers, TableReadRetained: what the platform's
  /// clock showed when it answered; 0 if it does not tell.
  PlatformTime clock{};
  /// TableWatchSettings: there is a newer settings document, but it cannot be
  /// decoded, so `bytes` is empty.
  bool is_document_invalid = false;
  /// TableReadPeers, TableReadRetained: retained state as "name=text" of each
  /// node that has a row of it. Of large fleets, some rows may be missing, but
  /// never that of the node that asks.
  std::vector<std::string> retained = {};
  /// TableReadPeers: where the next rows begin; empty if there are no more.
  std::string more_from = {};
};

bool operator==(const TableClaimRows& a, const TableClaimRows& b);
bool operator==(const TableReadHead& a, const TableReadHead& b);
bool operator==(const TableMoveHead& a, const TableMoveHead& b);
bool operator==(const TableReadChange& a, const TableReadChange& b);
bool operator==(const TableReadPeers& a, const TableReadPeers& b);
bool operator==(const TableWritePeer& a, const TableWritePeer& b);
bool operator==(const TableReadRetained& a, const TableReadRetained& b);
bool operator==(const TableWriteRetained& a, const TableWriteRetained& b);
bool operator==(const TableWatchSettings& a, const TableWatchSettings& b);
bool operator==(const ObjectPut& a, const ObjectPut& b);
bool operator==(const ObjectGet& a, const ObjectGet& b);
bool operator==(const PlatformReply& a, const PlatformReply& b);
/// Adds a row of the table of peers to a reply to TableReadPeers.
void AddPeerRow(const std::string& key, const std::string& value,
                PlatformReply& reply);

std::string_view ToString(PlatformStatus status);
std::ostream& operator<<(std::ostream& out, const PlatformRequest& request);
std::ostream& operator<<(std::ostream& out, const PlatformReply& reply);

}  // namespace amaranth

#endif  // AMARANTHROUTE_PLATFORM_H_
