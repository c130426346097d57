#ifndef AMARANTHROUTE_LIBPLATFORM_CLAIM_OPERATION_H_
#define AMARANTHROUTE_LIBPLATFORM_CLAIM_OPERATION_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "amaranthroute/platform.h"
#include "libplatform/platform_link.h"
#include "libplatform/table_codec.h"

namespace amaranth::pvt {

// Runs one TableClaimRows request until the holder of every row is known or the
// request fails.
//
// An answer can be lost after the transaction took effect, and a row that
// another claim already holds cancels the whole transaction. If these cases
// were not handled, a caller could be told that its request was not run
// although its key is held, or one held key could keep all other keys of its
// batch from being claimed. So rows held by others are dropped and the rest is
// inserted again, and after a lost answer the rows are read back. A row that
// the read-back does not find is inserted again. If the lost write takes effect
// after all, whichever write comes second finds the row present and reports its
// holder, so both orders are safe.
class ClaimOperation : public std::enable_shared_from_this<ClaimOperation> {
 public:
  ClaimOperation(std::shared_ptr<PlatformLink> link,
                 const TableClaimRows& request, PlatformCallback done);

  void Start() { InsertRemaining(); }

 private:
  void InsertRemaining();
  void Insert();
  void OnInserted(const TransactAnswer& answer);
  void OnCancelled(const std::vector<CancelledRow>& rows);
  void ReadBack();
  void OnReadBack(const ItemsAnswer& answer);

  // Returns the rows for the next transaction: the first ones, up to
  // kMaxRowsPerCall, whose holder is not known yet.
  std::vector<TableClaimRows::Row> SelectRows() const;
  // Records the holder of a row, which counts as progress.
  void Resolve(const std::string& key, const std::string& holder);
  TableKey RowKey(const std::string& key) const;
  // Returns the status of a request that ends without all holders known.
  PlatformStatus FailureStatus() const;
  void Finish(PlatformStatus status);

  const std::shared_ptr<PlatformLink> link_;
  const TableClaimRows request_;
  const PlatformCallback done_;
  const TimePoint deadline_;
  std::vector<TableClaimRows::Row> rows_;  // of the current transaction
  std::map<std::string, std::string> holders_;
  int calls_without_progress_ = 0;
  bool may_have_written_ = false;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBPLATFORM_CLAIM_OPERATION_H_
