#ifndef AMARANTHROUTE_LIBNODE_SETTINGS_SETTINGS_DOCUMENT_H_
#define AMARANTHROUTE_LIBNODE_SETTINGS_SETTINGS_DOCUMENT_H_

// A settings snapshot as it is stored and passed between peers: the tree and
// the last changes that led to it.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "amaranthroute/outcome.h"
#include "amaranthroute/routes.h"
#include "amaranthroute/settings.h"

namespace amaranth::pvt {

// Changes kept in a snapshot; also how far back a change can be rebased.
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

  friend bool operator==(const SettingsDocument& a, const SettingsDocument& b) {
    return a.version == b.version && a.tree == b.tree &&
           a.history == b.history && a.routes == b.routes;
  }
};

// What the platform's head row says.
struct SettingsHead {
  uint64_t version = 0;
  std::string object;
};

// The document that `changes` make of `base`, one version higher.
SettingsDocument NextDocument(const SettingsDocument& base,
                              const std::vector<SettingsChange>& changes,
                              const std::string& author,
                              const std::string& change_id);

// Canonical JSON; the empty text stands for version 0.
std::string ToText(const SettingsDocument& document);
Outcome<SettingsDocument> ParseDocument(std::string_view text);

// Name of the snapshot object; holds the hash of its text.
std::string ObjectName(uint64_t version, const std::string& change_id,
                       std::string_view text);
// True if `text` is what ObjectName was given.
bool ObjectNameMatches(const std::string& object, std::string_view text);

// The history as JSON for operators.
std::string HistoryText(const std::vector<SettingsHistoryEntry>& history);

}  // namespace amaranth::pvt

#endif  // AMARANTHROUTE_LIBNODE_SETTINGS_SETTINGS_DOCUMENT_H_
