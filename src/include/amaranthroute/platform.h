#ifndef AMARANTHROUTE_PLATFORM_H_
#define AMARANTHROUTE_PLATFORM_H_

/// The narrow part of the platform that the system uses, as values: a table
/// of rows with conditional writes, and an object store of immutable objects.

#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace amaranth {

/// Inserts each row whose key is absent; existing rows stay as they are. One
/// transaction per row or per batch: rows are independent of each other.
/// Every row is read back, so the reply says for each who holds it, also after
/// a lost answer.
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

/// Moves the head from `expected_version` to `version` in one transaction that
/// also writes the change row `change_id`. Version 0 means no head yet.
struct TableMoveHead {
  uint64_t expected_version = 0;
  uint64_t version = 0;
  std::string object;  ///< name of the snapshot in the object store
  std::string change_id;
};

/// Reads whether a change id was recorded: settles a lost answer.
struct TableReadChange {
  std::string change_id;
};

/// Lists node rows of a fleet (second place to find peers when starting).
struct TableReadPeers {};
/// Writes this node's own peer row.
struct TableWritePeer {
  std::string name;
  std::string address;  ///< "ip:port" of the peer link
};

/// Waits for settings that the operators write beside the product's own tree,
/// and answers with the whole document once it has changed since `after`, or
/// without one when the wait is over. 0 asks for what is there now.
struct TableWatchSettings {
  uint64_t after = 0;  ///< PlatformReply::version of the reply before
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
                 TableReadPeers, TableWritePeer, TableWatchSettings, ObjectPut,
                 ObjectGet>;

/// How a request to the platform ended.
enum class PlatformStatus {
  kOk,
  /// The condition did not hold (TableMoveHead), or no such row or object.
  kConditionFailed,
  kNotFound,
  /// Proved not to have taken effect: no connection could be made.
  kUnreachable,
  /// Anything else: the write may have taken effect.
  kUnknown,
};

/// The platform's answer; the fields used depend on the request.
struct PlatformReply {
  PlatformStatus status = PlatformStatus::kUnknown;
  /// TableClaimRows: the holder of each row, in the order of the request.
  std::vector<std::string> holders;
  /// TableReadHead, TableReadChange: the version (0 if none).
  /// TableWatchSettings: where the next watch goes on.
  uint64_t version = 0;
  /// TableReadHead: object name. ObjectGet: the bytes. TableWatchSettings: the
  /// settings document, empty if there is none or nothing has changed.
  std::string bytes;
  /// TableReadPeers: "name=ip:port" for each.
  std::vector<std::string> peers;
};

bool operator==(const TableClaimRows& a, const TableClaimRows& b);
bool operator==(const TableReadHead& a, const TableReadHead& b);
bool operator==(const TableMoveHead& a, const TableMoveHead& b);
bool operator==(const TableReadChange& a, const TableReadChange& b);
bool operator==(const TableReadPeers& a, const TableReadPeers& b);
bool operator==(const TableWritePeer& a, const TableWritePeer& b);
bool operator==(const TableWatchSettings& a, const TableWatchSettings& b);
bool operator==(const ObjectPut& a, const ObjectPut& b);
bool operator==(const ObjectGet& a, const ObjectGet& b);
bool operator==(const PlatformReply& a, const PlatformReply& b);
std::string_view ToString(PlatformStatus status);
std::ostream& operator<<(std::ostream& out, const PlatformRequest& request);
std::ostream& operator<<(std::ostream& out, const PlatformReply& reply);

}  // namespace amaranth

#endif  // AMARANTHROUTE_PLATFORM_H_
