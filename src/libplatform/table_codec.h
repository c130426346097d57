#ifndef AMARANTHROUTE_LIBPLATFORM_TABLE_CODEC_H_
#define AMARANTHROUTE_LIBPLATFORM_TABLE_CODEC_H_

// The table service's wire form: DynamoDB's JSON 1.0 protocol. Requests are
// built and answers read here; what to do about them is in table_store.cc.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "amaranthroute/http.h"
#include "amaranthroute/http_result.h"

namespace amaranth::pvt {

// Key of a row. Rows that are listed together share the partition.
struct TableKey {
  std::string partition;
  std::string sort;

  friend bool operator==(const TableKey& a, const TableKey& b) {
    return a.partition == b.partition && a.sort == b.sort;
  }
};

// All of our rows have this shape; the key says what the fields mean.
struct TableItem {
  TableKey key;
  std::string text;
  uint64_t version = 0;

  friend bool operator==(const TableItem& a, const TableItem& b) {
    return a.key == b.key && a.text == b.text && a.version == b.version;
  }
};

enum class PutCondition { kAbsent, kVersionIs };

struct ConditionalPut {
  TableItem item;
  PutCondition condition = PutCondition::kAbsent;
  uint64_t expected_version = 0;  // for kVersionIs
};

// How a call ended, as far as its effect goes.
enum class TableResult {
  kDone,
  kCancelled,  // a transaction without effect; see the rows
  kRefused,    // the service says that it did nothing (throttled, denied)
  kNotSent,    // proved: no byte left
  kLost,       // no word: it may have taken effect
};

enum class RowResult { kFine, kConditionFailed, kConflict };

struct CancelledRow {
  RowResult result = RowResult::kFine;
  std::optional<TableItem> old_item;  // kConditionFailed: what is there
};

struct TransactAnswer {
  TableResult result = TableResult::kLost;
  std::vector<CancelledRow> rows;  // kCancelled: in the order of the puts
};

struct ItemsAnswer {
  TableResult result = TableResult::kLost;
  std::vector<TableItem> items;
  std::optional<TableKey> next;  // Query: go on behind this key
};

// Rows that one transaction or batch read takes at most.
inline constexpr size_t kMaxRowsPerCall = 100;

HttpRequest TransactPutRequest(const std::string& table,
                               const std::vector<ConditionalPut>& puts);
HttpRequest PutRequest(const std::string& table, const TableItem& item);
HttpRequest GetRequest(const std::string& table, const TableKey& key);
HttpRequest BatchGetRequest(const std::string& table,
                            const std::vector<TableKey>& keys);
HttpRequest QueryRequest(const std::string& table, const std::string& partition,
                         const std::optional<TableKey>& behind);

TransactAnswer ReadTransactAnswer(const HttpClientResult& result, size_t puts);
TableResult ReadPutAnswer(const HttpClientResult& result);
ItemsAnswer ReadGetAnswer(const HttpClientResult& result);
ItemsAnswer ReadBatchGetAnswer(const HttpClientResult& result,
                               const std::string& table);
ItemsAnswer ReadQueryAnswer(const HttpClientResult& result);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBPLATFORM_TABLE_CODEC_H_
