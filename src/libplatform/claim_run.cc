#include "libplatform/claim_run.h"

#include <set>
#include <utility>

namespace amaranth::pvt {
namespace {

// Calls in a row that may bring no row's holder before the request is given
// up on. A lost insert and its read-back are two; more than two such pairs in
// a row mean an outage, in which more calls only delay the caller's answer.
constexpr int kMaxFruitlessCalls = 4;

}  // namespace

ClaimRun::ClaimRun(std::shared_ptr<PlatformLink> link,
                   const TableClaimRows& request, PlatformDone done)
    : link_(std::move(link)),
      request_(request),
      done_(std::move(done)),
      give_up_at_(link_->Now() + link_->options().request_timeout) {}

void ClaimRun::Next() {
  rows_ = PickRows();
  if (rows_.empty()) {
    Finish(PlatformStatus::kOk);
    return;
  }
  if (fruitless_calls_ >= kMaxFruitlessCalls || link_->Now() >= give_up_at_ ||
      !link_->TakeWrites(rows_.size())) {
    Finish(GaveUp());
    return;
  }
  Insert();
}

// A transaction must not name a row twice, so of two claims for one key the
// first is made and both are told its holder.
std::vector<TableClaimRows::Row> ClaimRun::PickRows() const {
  std::vector<TableClaimRows::Row> rows;
  std::set<std::string> picked;
  for (const TableClaimRows::Row& row : request_.rows) {
    if (rows.size() == kMaxRowsPerCall) break;
    if (holders_.count(row.key) > 0) continue;
    if (picked.insert(row.key).second) rows.push_back(row);
  }
  return rows;
}

void ClaimRun::Insert() {
  std::vector<ConditionalPut> puts;
  for (const TableClaimRows::Row& row : rows_) {
    ConditionalPut put;
    put.item.key = KeyOf(row.key);
    put.item.text = row.holder;
    puts.push_back(put);
  }
  ++fruitless_calls_;
  link_->CallTable(
      TransactPutRequest(link_->options().table, puts),
      [self = shared_from_this()](const HttpClientResult& result) {
        self->OnInserted(ReadTransactAnswer(result, self->rows_.size()));
      });
}

void ClaimRun::OnInserted(const TransactAnswer& answer) {
  switch (answer.result) {
    case TableResult::kDone:
      may_have_written_ = true;
      for (const TableClaimRows::Row& row : rows_) Know(row.key, row.holder);
      Next();
      return;
    case TableResult::kCancelled:
      OnCancelled(answer.rows);
      return;
    case TableResult::kLost:
      may_have_written_ = true;
      ReadBack();
      return;
    case TableResult::kRefused:
    case TableResult::kNotSent:
      Finish(GaveUp());
      return;
  }
}

void ClaimRun::OnCancelled(const std::vector<CancelledRow>& rows) {
  bool holder_missing = false;
  for (size_t i = 0; i < rows.size(); ++i) {
    if (rows[i].result != RowResult::kConditionFailed) continue;
    if (rows[i].old_item) {
      Know(rows_[i].key, rows[i].old_item->text);
    } else {
      holder_missing = true;
    }
  }
  if (holder_missing) {
    ReadBack();
  } else {
    Next();
  }
}

void ClaimRun::ReadBack() {
  if (link_->Now() >= give_up_at_ || !link_->TakeReads(rows_.size())) {
    Finish(GaveUp());
    return;
  }
  std::vector<TableKey> keys;
  for (const TableClaimRows::Row& row : rows_) keys.push_back(KeyOf(row.key));
  ++fruitless_calls_;
  const std::string& table = link_->options().table;
  link_->CallTable(BatchGetRequest(table, keys),
                   [self = shared_from_this()](const HttpClientResult& result) {
                     self->OnReadBack(ReadBatchGetAnswer(
                         result, self->link_->options().table));
                   });
}

void ClaimRun::OnReadBack(const ItemsAnswer& answer) {
  for (const TableItem& item : answer.items) {
    for (const TableClaimRows::Row& row : rows_) {
      if (KeyOf(row.key) == item.key) Know(row.key, item.text);
    }
  }
  Next();
}

void ClaimRun::Know(const std::string& key, const std::string& holder) {
  holders_[key] = holder;
  fruitless_calls_ = 0;
}

TableKey ClaimRun::KeyOf(const std::string& key) const {
  return {link_->options().fleet + "/claim/" + key, "row"};
}

PlatformStatus ClaimRun::GaveUp() const {
  return may_have_written_ ? PlatformStatus::kUnknown
                           : PlatformStatus::kUnreachable;
}

void ClaimRun::Finish(PlatformStatus status) {
  PlatformReply reply = ReplyOf(status);
  for (const TableClaimRows::Row& row : request_.rows) {
    const auto holder = holders_.find(row.key);
    reply.holders.push_back(holder == holders_.end() ? "" : holder->second);
  }
  done_(std::move(reply));
}

}  // namespace amaranth::pvt
