#ifndef AMARANTHROUTE_LIBPLATFORM_CLAIM_RUN_H_
#define AMARANTHROUTE_LIBPLATFORM_CLAIM_RUN_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "amaranthroute/platform.h"
#include "libplatform/platform_link.h"
#include "libplatform/table_codec.h"

namespace amaranth::pvt {

// One TableClaimRows request, until the holder of every row is known.
//
// What fails: an answer is lost after the transaction took effect, or somebody
// else was first for some of the rows, which cancels the whole transaction.
// Without care a caller would be told that its request was not run while its
// key is held, or a single taken key would keep all others of its batch from
// being claimed. So rows taken by others are dropped and the rest tried again,
// and after a lost answer the rows are read back. A row that was not found
// there is inserted again: should the lost write still land, one of the two
// finds the row present and reports its holder, so both orders are safe.
class ClaimRun : public std::enable_shared_from_this<ClaimRun> {
 public:
  ClaimRun(std::shared_ptr<PlatformLink> link, const TableClaimRows& request,
           PlatformDone done);

  void Start() { Next(); }

 private:
  void Next();
  void Insert();
  void OnInserted(const TransactAnswer& answer);
  void OnCancelled(const std::vector<CancelledRow>& rows);
  void ReadBack();
  void OnReadBack(const ItemsAnswer& answer);

  // The rows of the current call: the first ones whose holder is not known.
  std::vector<TableClaimRows::Row> PickRows() const;
  void Know(const std::string& key, const std::string& holder);
  TableKey KeyOf(const std::string& key) const;
  PlatformStatus GaveUp() const;
  void Finish(PlatformStatus status);

  const std::shared_ptr<PlatformLink> link_;
  const TableClaimRows request_;
  const PlatformDone done_;
  const TimePoint give_up_at_;
  std::vector<TableClaimRows::Row> rows_;  // of the current call
  std::map<std::string, std::string> holders_;
  int fruitless_calls_ = 0;
  bool may_have_written_ = false;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBPLATFORM_CLAIM_RUN_H_
