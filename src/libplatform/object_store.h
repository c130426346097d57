#ifndef AMARANTHROUTE_LIBPLATFORM_OBJECT_STORE_H_
#define AMARANTHROUTE_LIBPLATFORM_OBJECT_STORE_H_

#include <memory>

#include "amaranthroute/platform.h"
#include "libplatform/platform_link.h"

namespace amaranth::pvt {

// The object store's adapter: S3's REST protocol, path style.
class ObjectStore {
 public:
  explicit ObjectStore(std::shared_ptr<PlatformLink> link);

  // kConditionFailed if an object of that name is there, whatever it holds.
  void Put(const ObjectPut& put, PlatformDone done);
  void Get(const ObjectGet& get, PlatformDone done);

 private:
  std::string Target(const std::string& name) const;

  std::shared_ptr<PlatformLink> link_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBPLATFORM_OBJECT_STORE_H_
