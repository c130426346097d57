#ifndef AMARANTHROUTE_LIBPLATFORM_TABLE_STORE_H_
#define AMARANTHROUTE_LIBPLATFORM_TABLE_STORE_H_

#include <memory>
#include <optional>

#include "amaranthroute/platform.h"
#include "libplatform/platform_link.h"
#include "libplatform/table_codec.h"

namespace amaranth::pvt {

// Client of the table service: maps each table request to rows and calls.
class TableStore {
 public:
  explicit TableStore(std::shared_ptr<PlatformLink> link);

  void Claim(const TableClaimRows& request, PlatformCallback done);
  void ReadHead(PlatformCallback done);
  void MoveHead(const TableMoveHead& move, PlatformCallback done);
  void ReadChange(const TableReadChange& read, PlatformCallback done);
  void ReadPeers(PlatformCallback done);
  void WritePeer(const TableWritePeer& peer, PlatformCallback done);
  void ReadRetained(const TableReadRetained& read, PlatformCallback done);
  void WriteRetained(const TableWriteRetained& retained, PlatformCallback done);

 private:
  // Writes the row `key` of the peers' partition.
  void PutPeerRow(std::string key, std::string text, PlatformCallback done);
  void ReadRow(const TableKey& key, PlatformCallback done);
  TableKey HeadKey() const;
  TableKey ChangeKey(const std::string& change_id) const;
  std::string PeerPartition() const;
  const std::string& table() const { return link_->options().table; }

  std::shared_ptr<PlatformLink> link_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBPLATFORM_TABLE_STORE_H_
