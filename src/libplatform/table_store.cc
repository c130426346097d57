#include "libplatform/table_store.h"

#include <utility>

#include "libplatform/claim_operation.h"

namespace amaranth::pvt {
namespace {

// Limit on the pages of the peer list. It is far above what a fleet's rows fill
// and ends the read if the service never returns a last page.
constexpr int kMaxPeerPages = 20;

PlatformStatus StatusOf(TableResult result) {
  switch (result) {
    case TableResult::kDone:
      return PlatformStatus::kOk;
    case TableResult::kCancelled:
    case TableResult::kRefused:
    case TableResult::kNotSent:
      return PlatformStatus::kUnreachable;
    case TableResult::kOutcomeUnknown:
      break;
  }
  return PlatformStatus::kUnknown;
}

PlatformReply RowReply(const ItemsAnswer& answer) {
  PlatformReply reply = ReplyWithStatus(StatusOf(answer.result));
  if (answer.result != TableResult::kDone) return reply;
  if (answer.items.empty()) {
    reply.status = PlatformStatus::kNotFound;
    return reply;
  }
  reply.version = answer.items.front().version;
  reply.bytes = answer.items.front().text;
  return reply;
}

// Converts the answer to a head move. Its rows are the head row and the change
// row, in this order.
PlatformReply MoveReply(const TransactAnswer& answer, uint64_t version) {
  PlatformReply reply = ReplyWithStatus(StatusOf(answer.result));
  if (answer.result == TableResult::kDone) reply.version = version;
  if (answer.result != TableResult::kCancelled) return reply;
  const CancelledRow& head = answer.rows[0];
  const CancelledRow& change = answer.rows[1];
  if (change.existing_item && change.existing_item->version == version) {
    // The same move took effect before and only its answer was lost.
    reply.status = PlatformStatus::kOk;
    reply.version = version;
  } else if (head.result == RowResult::kConditionFailed ||
             change.result == RowResult::kConditionFailed) {
    reply.status = PlatformStatus::kConditionFailed;
    if (head.existing_item) reply.version = head.existing_item->version;
  }
  return reply;
}

// Reads the peer list page by page.
class PeerListReader : public std::enable_shared_from_this<PeerListReader> {
 public:
  PeerListReader(std::shared_ptr<PlatformLink> link, std::string partition,
                 PlatformCallback done)
      : link_(std::move(link)),
        partition_(std::move(partition)),
        done_(std::move(done)) {}

  void ReadPage(const std::optional<TableKey>& start_after) {
    if (pages_++ == kMaxPeerPages || !link_->TakeReads(1)) {
      done_(ReplyWithStatus(PlatformStatus::kUnreachable));
      return;
    }
    link_->CallTable(
        QueryRequest(link_->options().table, partition_, start_after),
        [self = shared_from_this()](const HttpClientResult& result) {
          self->OnPage(ReadQueryAnswer(result));
        });
  }

 private:
  void OnPage(const ItemsAnswer& answer) {
    if (answer.result != TableResult::kDone) {
      done_(ReplyWithStatus(StatusOf(answer.result)));
      return;
    }
    for (const TableItem& item : answer.items) {
      AddPeerRow(item.key.sort, item.text, reply_);
    }
    if (answer.continue_after) {
      ReadPage(answer.continue_after);
      return;
    }
    reply_.status = PlatformStatus::kOk;
    done_(std::move(reply_));
  }

  const std::shared_ptr<PlatformLink> link_;
  const std::string partition_;
  const PlatformCallback done_;
  PlatformReply reply_;
  int pages_ = 0;
};

}  // namespace

TableStore::TableStore(std::shared_ptr<PlatformLink> link)
    : link_(std::move(link)) {}

void TableStore::Claim(const TableClaimRows& request, PlatformCallback done) {
  std::make_shared<ClaimOperation>(link_, request, std::move(done))->Start();
}

void TableStore::ReadHead(PlatformCallback done) {
  ReadRow(HeadKey(), std::move(done));
}

void TableStore::MoveHead(const TableMoveHead& move, PlatformCallback done) {
  ConditionalPut head;
  head.item = {HeadKey(), move.object, move.version};
  if (move.expected_version != 0) {
    head.condition = PutCondition::kVersionIs;
    head.expected_version = move.expected_version;
  }
  ConditionalPut change;
  change.item = {ChangeKey(move.change_id), move.object, move.version};
  const std::vector<ConditionalPut> puts = {head, change};
  if (!link_->TakeWrites(puts.size())) {
    done(ReplyWithStatus(PlatformStatus::kUnreachable));
    return;
  }
  link_->CallTable(
      TransactPutRequest(table(), puts),
      [done = std::move(done), version = move.version,
       count = puts.size()](const HttpClientResult& result) {
        done(MoveReply(ReadTransactAnswer(result, count), version));
      });
}

void TableStore::ReadChange(const TableReadChange& read,
                            PlatformCallback done) {
  ReadRow(ChangeKey(read.change_id), std::move(done));
}

void TableStore::ReadPeers(PlatformCallback done) {
  std::make_shared<PeerListReader>(link_, PeerPartition(), std::move(done))
      ->ReadPage(std::nullopt);
}

void TableStore::WritePeer(const TableWritePeer& peer, PlatformCallback done) {
  PutPeerRow(peer.name, peer.address, std::move(done));
}

void TableStore::ReadRetained(const TableReadRetained& read,
                              PlatformCallback done) {
  const std::string key = read.name + std::string(kRetainedRowSuffix);
  ReadRow({PeerPartition(), key},
          [key, done = std::move(done)](const PlatformReply& row) {
            PlatformReply reply = ReplyWithStatus(row.status);
            if (row.status == PlatformStatus::kOk) {
              AddPeerRow(key, row.bytes, reply);
            } else if (row.status == PlatformStatus::kNotFound) {
              reply.status = PlatformStatus::kOk;
            }
            done(std::move(reply));
          });
}

void TableStore::WriteRetained(const TableWriteRetained& retained,
                               PlatformCallback done) {
  PutPeerRow(retained.name + std::string(kRetainedRowSuffix), retained.text,
             std::move(done));
}

void TableStore::PutPeerRow(std::string key, std::string text,
                            PlatformCallback done) {
  if (!link_->TakeWrites(1)) {
    done(ReplyWithStatus(PlatformStatus::kUnreachable));
    return;
  }
  const TableItem item = {
      {PeerPartition(), std::move(key)}, std::move(text), 0};
  link_->CallTable(PutRequest(table(), item),
                   [done = std::move(done)](const HttpClientResult& result) {
                     done(ReplyWithStatus(StatusOf(ReadPutAnswer(result))));
                   });
}

void TableStore::ReadRow(const TableKey& key, PlatformCallback done) {
  if (!link_->TakeReads(1)) {
    done(ReplyWithStatus(PlatformStatus::kUnreachable));
    return;
  }
  link_->CallTable(GetRequest(table(), key),
                   [done = std::move(done)](const HttpClientResult& result) {
                     done(RowReply(ReadGetAnswer(result)));
                   });
}

TableKey TableStore::HeadKey() const {
  return {link_->options().fleet + "/settings", "head"};
}

TableKey TableStore::ChangeKey(const std::string& change_id) const {
  return {link_->options().fleet + "/change/" + change_id, "row"};
}

std::string TableStore::PeerPartition() const {
  return link_->options().fleet + "/peers";
}

}  // namespace amaranth::pvt
