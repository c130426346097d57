#ifndef AMARANTHROUTE_LIBNODE_SETTINGS_SETTINGS_DOCUMENT_H_
#define AMARANTHROUTE_LIBNODE_SETTINGS_SETTINGS_DOCUMENT_H_

// A settings snapshot as it is stored on the platform and sent between peers:
// the settings tree, the most recent changes to it, routes and customers.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "amaranthroute/customers.h"
#include "amaranthroute/outcome.h"
#include "amaranthroute/routes.h"
#include "amaranthroute/settings.h"

namespace amaranth::pvt {

// Number of changes kept in a snapshot; also the number of versions over which
// a change can be rebased.
inline constexpr size_t kSettingsHistoryLength = 50;

struct SettingsHistoryEntry {
  uint64_t version = 0;
  std::string author;
  std::string change_id;
  std::vector<SettingsChange> changes;

  friend bool operator==(const SettingsHistoryEntry& a,
                         const SettingsHistoryEntry& b) {
    return a.version == b.version && a.author == b.author &&
           a.change_id == b.change_id && a.changes == b.changes;
  }
};

struct SettingsDocument {
  uint64_t version = 0;
  SettingsTree tree;
  std::vector<SettingsHistoryEntry> history;  // newest last
  RouteTable routes;
  CustomerTable customers;

  friend bool operator==(const SettingsDocument& a, const SettingsDocument& b) {
    return a.version == b.version && a.tree == b.tree &&
           a.history == b.history && a.routes == b.routes &&
           a.customers == b.customers;
  }
};

// Content of the platform's head row: the newest version and the name of its
// snapshot object.
struct SettingsHead {
  uint64_t version = 0;
  std::string object;
};

// Returns `base` with `changes` applied, one version higher.
SettingsDocument NextDocument(const SettingsDocument& base,
                              const std::vector<SettingsChange>& changes,
                              const std::string& author,
                              const std::string& change_id);

// Returns canonical JSON; an empty string represents version 0.
std::string ToText(const SettingsDocument& document);
Outcome<SettingsDocument> ParseDocument(std::string_view text);

// Returns the name of the snapshot object, which contains the hash of `text`.
std::string ObjectName(uint64_t version, const std::string& change_id,
                       std::string_view text);
// Returns true if the hash in `object` is that of `text`.
bool ObjectNameMatches(const std::string& object, std::string_view text);

// Returns the history as JSON for operators.
std::string HistoryText(const std::vector<SettingsHistoryEntry>& history);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SETTINGS_SETTINGS_DOCUMENT_H_
