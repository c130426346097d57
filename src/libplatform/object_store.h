#ifndef AMARANTHROUTE_LIBPLATFORM_OBJECT_STORE_H_
#define AMARANTHROUTE_LIBPLATFORM_OBJECT_STORE_H_

#include <memory>

#include "amaranthroute/platform.h"
#include "libplatform/platform_link.h"

namespace amaranth::pvt {

// Client of the object store: S3's REST protocol with path-style addressing.
class ObjectStore {
 public:
  explicit ObjectStore(std::shared_ptr<PlatformLink> link);

  // Replies with kConditionFailed if an object of that name exists, whatever
  // its content.
  void Put(const ObjectPut& put, PlatformCallback done);
  void Get(const ObjectGet& get, PlatformCallback done);

 private:
  std::string Target(const std::string& name) const;

  std::shared_ptr<PlatformLink> link_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBPLATFORM_OBJECT_STORE_H_
