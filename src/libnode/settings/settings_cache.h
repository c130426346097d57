#ifndef AMARANTHROUTE_LIBNODE_SETTINGS_SETTINGS_CACHE_H_
#define AMARANTHROUTE_LIBNODE_SETTINGS_SETTINGS_CACHE_H_

// Caches resolved settings by service and request class until the settings
// version changes: resolving them from the tree for each call would cost more
// than the other decisions about the call.

#include <map>
#include <string>
#include <utility>

#include "amaranthroute/settings.h"
#include "libnode/settings/settings_store.h"

namespace amaranth::pvt {

class SettingsCache {
 public:
  SettingsCache(const SettingsStore& store, std::string mesh)
      : store_(store), mesh_(std::move(mesh)) {}

  const EffectiveSettings& Resolve(const std::string& service,
                                   const std::string& request_class) {
    if (store_.version() != version_ || cache_.size() > kMaxEntries) {
      cache_.clear();
      version_ = store_.version();
    }
    const std::pair<std::string, std::string> key(service, request_class);
    const auto found = cache_.find(key);
    if (found != cache_.end()) return found->second;
    return cache_
        .emplace(key, store_.tree().Resolve(mesh_, service, request_class))
        .first->second;
  }

  const std::string& mesh() const { return mesh_; }
  const RouteTable& routes() const { return store_.routes(); }
  const CustomerTable& customers() const { return store_.customers(); }

 private:
  // Callers choose class names, so the cache size must be bounded: it is
  // cleared when it exceeds this many entries.
  static constexpr size_t kMaxEntries = 10'000;

  const SettingsStore& store_;
  std::string mesh_;
  uint64_t version_ = 0;
  std::map<std::pair<std::string, std::string>, EffectiveSettings> cache_;
};

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SETTINGS_SETTINGS_CACHE_H_
