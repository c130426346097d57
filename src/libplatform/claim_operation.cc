#include "libplatform/claim_operation.h"

#include <set>
#include <utility>

namespace amaranth::pvt {
namespace {

// No insert is sent after this many consecutive calls that determined no row's
// holder. A lost insert and its read-back count as two calls; two such pairs in
// a row indicate an outage, in which more calls only delay the caller's answer.
constexpr int kMaxCallsWithoutProgress = 4;

}  // namespace

ClaimOperation::ClaimOperation(std::shared_ptr<PlatformLink> link,
                               const TableClaimRows& request,
                               PlatformCallback done)
    : link_(std::move(link)),
      request_(request),
      done_(std::move(done)),
      deadline_(link_->Now() + link_->options().request_timeout) {}

void ClaimOperation::InsertRemaining() {
  rows_ = SelectRows();
  if (rows_.empty()) {
    Finish(PlatformStatus::kOk);
    return;
  }
  if (calls_without_progress_ >= kMaxCallsWithoutProgress ||
      link_->Now() >= deadline_ || !link_->TakeWrites(rows_.size())) {
    Finish(FailureStatus());
    return;
  }
  Insert();
}

// A transaction must not contain a row twice. Of several claims for one key
// only the first is inserted, and all of them are answered with its holder.
std::vector<TableClaimRows::Row> ClaimOperation::SelectRows() const {
  std::vector<TableClaimRows::Row> rows;
  std::set<std::string> selected;
  for (const TableClaimRows::Row& row : request_.rows) {
    if (rows.size() == kMaxRowsPerCall) break;
    if (holders_.count(row.key) > 0) continue;
    if (selected.insert(row.key).second) rows.push_back(row);
  }
  return rows;
}

void ClaimOperation::Insert() {
  std::vector<ConditionalPut> puts;
  for (const TableClaimRows::Row& row : rows_) {
    ConditionalPut put;
    put.item.key = RowKey(row.key);
    put.item.text = row.holder;
    puts.push_back(put);
  }
  ++calls_without_progress_;
  link_->CallTable(
      TransactPutRequest(link_->options().table, puts),
      [self = shared_from_this()](const HttpClientResult& result) {
        self->OnInserted(ReadTransactAnswer(result, self->rows_.size()));
      });
}

void ClaimOperation::OnInserted(const TransactAnswer& answer) {
  switch (answer.result) {
    case TableResult::kDone:
      may_have_written_ = true;
      for (const TableClaimRows::Row& row : rows_) Resolve(row.key, row.holder);
      InsertRemaining();
      return;
    case TableResult::kCancelled:
      OnCancelled(answer.rows);
      return;
    case TableResult::kOutcomeUnknown:
      may_have_written_ = true;
      ReadBack();
      return;
    case TableResult::kRefused:
    case TableResult::kNotSent:
      Finish(FailureStatus());
      return;
  }
}

void ClaimOperation::OnCancelled(const std::vector<CancelledRow>& rows) {
  bool holder_unknown = false;
  for (size_t i = 0; i < rows.size(); ++i) {
    if (rows[i].result != RowResult::kConditionFailed) continue;
    if (rows[i].existing_item) {
      Resolve(rows_[i].key, rows[i].existing_item->text);
    } else {
      holder_unknown = true;
    }
  }
  if (holder_unknown) {
    ReadBack();
  } else {
    InsertRemaining();
  }
}

void ClaimOperation::ReadBack() {
  if (link_->Now() >= deadline_ || !link_->TakeReads(rows_.size())) {
    Finish(FailureStatus());
    return;
  }
  std::vector<TableKey> keys;
  for (const TableClaimRows::Row& row : rows_) keys.push_back(RowKey(row.key));
  ++calls_without_progress_;
  const std::string& table = link_->options().table;
  link_->CallTable(BatchGetRequest(table, keys),
                   [self = shared_from_this()](const HttpClientResult& result) {
                     self->OnReadBack(ReadBatchGetAnswer(
                         result, self->link_->options().table));
                   });
}

void ClaimOperation::OnReadBack(const ItemsAnswer& answer) {
  for (const TableItem& item : answer.items) {
    for (const TableClaimRows::Row& row : rows_) {
      if (RowKey(row.key) == item.key) Resolve(row.key, item.text);
    }
  }
  InsertRemaining();
}

void ClaimOperation::Resolve(const std::string& key,
                             const std::string& holder) {
  holders_[key] = holder;
  calls_without_progress_ = 0;
}

TableKey ClaimOperation::RowKey(const std::string& key) const {
  return {link_->options().fleet + "/claim/" + key, "row"};
}

PlatformStatus ClaimOperation::FailureStatus() const {
  return may_have_written_ ? PlatformStatus::kUnknown
                           : PlatformStatus::kUnreachable;
}

void ClaimOperation::Finish(PlatformStatus status) {
  PlatformReply reply = ReplyWithStatus(status);
  for (const TableClaimRows::Row& row : request_.rows) {
    const auto holder = holders_.find(row.key);
    reply.holders.push_back(holder == holders_.end() ? "" : holder->second);
  }
  done_(std::move(reply));
}

}  // namespace amaranth::pvt
