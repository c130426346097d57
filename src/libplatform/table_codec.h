#ifndef AMARANTHROUTE_LIBPLATFORM_TABLE_CODEC_H_
#define AMARANTHROUTE_LIBPLATFORM_TABLE_CODEC_H_

// Encoding of the table service's protocol, DynamoDB's JSON 1.0: builds
// requests and parses answers. table_store.cc and claim_operation.cc decide
// what to send and how to act on the answers.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "amaranthroute/http.h"
#include "amaranthroute/http_result.h"

namespace amaranth::pvt {

// Key of a row. Rows that are listed together share a partition.
struct TableKey {
  std::string partition;
  std::string sort;

  friend bool operator==(const TableKey& a, const TableKey& b) {
    return a.partition == b.partition && a.sort == b.sort;
  }
};

// A row. All rows have these fields; their meaning depends on the key.
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

// Whether a call to the table service took effect.
enum class TableResult {
  kDone,
  kCancelled,       // transaction cancelled without effect; see the rows
  kRefused,         // the service reports no effect (throttled, denied)
  kNotSent,         // no byte of the request was sent
  kOutcomeUnknown,  // it may have taken effect
};

// Reason a row gave for the cancellation of its transaction, kNone if it gave
// none. kConflict stands for every reason other than a failed condition.
enum class RowResult { kNone, kConditionFailed, kConflict };

struct CancelledRow {
  RowResult result = RowResult::kNone;
  std::optional<TableItem> existing_item;  // for kConditionFailed, if returned
};

struct TransactAnswer {
  TableResult result = TableResult::kOutcomeUnknown;
  std::vector<CancelledRow> rows;  // for kCancelled: in the order of the puts
};

struct ItemsAnswer {
  TableResult result = TableResult::kOutcomeUnknown;
  std::vector<TableItem> items;
  std::optional<TableKey> continue_after;  // query: set if more rows follow
};

// Most rows in one transaction or batch read.
inline constexpr size_t kMaxRowsPerCall = 100;

HttpRequest TransactPutRequest(const std::string& table,
                               const std::vector<ConditionalPut>& puts);
HttpRequest PutRequest(const std::string& table, const TableItem& item);
HttpRequest GetRequest(const std::string& table, const TableKey& key);
HttpRequest BatchGetRequest(const std::string& table,
                            const std::vector<TableKey>& keys);
HttpRequest QueryRequest(const std::string& table, const std::string& partition,
                         const std::optional<TableKey>& start_after);

TransactAnswer ReadTransactAnswer(const HttpClientResult& result, size_t puts);
TableResult ReadPutAnswer(const HttpClientResult& result);
ItemsAnswer ReadGetAnswer(const HttpClientResult& result);
ItemsAnswer ReadBatchGetAnswer(const HttpClientResult& result,
                               const std::string& table);
ItemsAnswer ReadQueryAnswer(const HttpClientResult& result);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBPLATFORM_TABLE_CODEC_H_
