#ifndef AMARANTHROUTE_LIBPLATFORM_TABLE_STORE_H_
#define AMARANTHROUTE_LIBPLATFORM_TABLE_STORE_H_

#include <memory>
#include <optional>

#include "amaranthroute/platform.h"
#include "libplatform/platform_link.h"
#include "libplatform/table_codec.h"

namespace amaranth::pvt {

// The table service's adapter.
class TableStore {
 public:
  explicit TableStore(std::shared_ptr<PlatformLink> link);

  void Claim(const TableClaimRows& request, PlatformDone done);
  void ReadHead(PlatformDone done);
  void MoveHead(const TableMoveHead& move, PlatformDone done);
  void ReadChange(const TableReadChange& read, PlatformDone done);
  void ReadPeers(PlatformDone done);
  void WritePeer(const TableWritePeer& peer, PlatformDone done);

 private:
  void ReadRow(const TableKey& key, PlatformDone done);
  TableKey HeadKey() const;
  TableKey ChangeKey(const std::string& change_id) const;
  std::string PeerPartition() const;
  const std::string& table() const { return link_->options().table; }

  std::shared_ptr<PlatformLink> link_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBPLATFORM_TABLE_STORE_H_
