#ifndef SAVORYTRESTLE_OPERATORS_SETTINGS_READER_H
#define SAVORYTRESTLE_OPERATORS_SETTINGS_READER_H

/// @file
/// @brief Reads the settings tree and its audit trail from the store.

#include <algorithm>
#include <map>

#include "operators/SettingsManifest.h"
#include "operators/SettingsReplica.h"
#include "store/KvStore.h"

namespace savorytrestle::operators {

/// @brief Bounds on the store's calls.
struct SettingsStoreOptions {
  /// Bound on each call.
  std::chrono::milliseconds CallTimeout{1000};
  /// Attempts of one change at the compare-and-swap.
  int MaxAttempts = 12;
};

/// @brief The settings as one manifest names them.
struct LoadedSettings {
  SettingsManifest Manifest;
  store::Revision StoreRevision = store::NoItem;
  core::SettingsTree Tree;
};

/// @brief Reads settings from the store, keeping the parts that did not change;
/// one thread at a time.
template <store::KvStore Kv> class SettingsReader {
public:
  /// @brief Uses a store client, which must outlive this object.
  /// @param store the client
  /// @param options bounds
  SettingsReader(Kv &store, SettingsStoreOptions options)
      : Store(store), Options(options) {}

  /// @brief Reads the manifest and the tree that it names.
  /// @return both, or StoreUnavailable; a manifest older than one seen before
  ///   counts as that
  core::Result<LoadedSettings> load();

  /// @brief Reads the manifest alone.
  /// @return it, with an empty tree
  core::Result<LoadedSettings> loadManifest();

  /// @brief Visits audit entries, newest first.
  /// @param manifest where to begin
  /// @param visit returns false to stop
  /// @return false when a page was gone before the visitor stopped
  template <typename Visitor>
  core::Result<bool> visitAuditEntries(const SettingsManifest &manifest,
                                       Visitor visit);

  /// @brief Takes note of a revision that exists.
  /// @param revision from another source than this reader
  void raiseNewestKnownRevision(std::uint64_t revision) {
    NewestKnown = std::max(NewestKnown, revision);
  }

  /// @brief The newest revision known to exist.
  /// @return its number
  std::uint64_t newestKnownRevision() const { return NewestKnown; }

private:
  /// False when a part is gone because the manifest has moved on.
  core::Result<bool> loadNodes(LoadedSettings &loaded);
  core::Result<std::optional<AuditPage>> readPage(const std::string &key);

  Kv &Store;
  SettingsStoreOptions Options;
  /// Content of the parts that the last manifest read refers to.
  std::map<std::string, std::string> Parts;
  /// Newest revision seen; an older manifest is a stale read.
  std::uint64_t NewestKnown = 0;
};

template <store::KvStore Kv>
core::Result<LoadedSettings> SettingsReader<Kv>::loadManifest() {
  auto entry = Store.get(ManifestKey, Options.CallTimeout);
  if (!entry)
    return tl::unexpected(entry.error());
  LoadedSettings loaded;
  if (*entry) {
    auto manifest = parseManifest((*entry)->Value);
    if (!manifest)
      return tl::unexpected(manifest.error());
    loaded.Manifest = std::move(*manifest);
    loaded.StoreRevision = (*entry)->Changed;
  }
  if (loaded.Manifest.Revision < NewestKnown)
    return core::makeError(core::ErrorCode::StoreUnavailable,
                           "the store shows revision " +
                               std::to_string(loaded.Manifest.Revision) +
                               ", older than " + std::to_string(NewestKnown));
  NewestKnown = loaded.Manifest.Revision;
  return loaded;
}

template <store::KvStore Kv>
core::Result<bool> SettingsReader<Kv>::loadNodes(LoadedSettings &loaded) {
  std::map<std::string, std::string> parts;
  nlohmann::json nodes = nlohmann::json::object();
  for (const auto &[workspace, key] : loaded.Manifest.Nodes) {
    if (const auto it = Parts.find(key); it != Parts.end()) {
      parts[key] = it->second;
    } else {
      auto entry = Store.get(key, Options.CallTimeout);
      if (!entry)
        return tl::unexpected(entry.error());
      if (!*entry)
        return false;
      parts[key] = (*entry)->Value;
    }
    const auto part = parsePart(parts[key]);
    if (!part.is_object())
      return core::makeError(core::ErrorCode::StoreUnavailable,
                             key + " can't be read");
    nodes.update(part);
  }
  Parts = std::move(parts);
  auto tree = core::SettingsTree::fromJson(nodes);
  if (!tree)
    return tl::unexpected(tree.error());
  loaded.Tree = std::move(*tree);
  return true;
}

template <store::KvStore Kv>
core::Result<LoadedSettings> SettingsReader<Kv>::load() {
  constexpr int MaxReads = 3;
  for (int n = 0; n < MaxReads; ++n) {
    auto loaded = loadManifest();
    if (!loaded)
      return loaded;
    const auto complete = loadNodes(*loaded);
    if (!complete)
      return tl::unexpected(complete.error());
    if (*complete)
      return loaded;
  }
  return core::makeError(core::ErrorCode::StoreUnavailable,
                         "parts of the settings are missing in the store");
}

template <store::KvStore Kv>
core::Result<std::optional<AuditPage>>
SettingsReader<Kv>::readPage(const std::string &key) {
  auto entry = Store.get(key, Options.CallTimeout);
  if (!entry)
    return tl::unexpected(entry.error());
  if (!*entry)
    return std::optional<AuditPage>();
  auto page = parseAuditPage((*entry)->Value);
  if (!page)
    return tl::unexpected(page.error());
  return std::optional(std::move(*page));
}

template <store::KvStore Kv>
template <typename Visitor>
core::Result<bool>
SettingsReader<Kv>::visitAuditEntries(const SettingsManifest &manifest,
                                      Visitor visit) {
  AuditPage page{manifest.NewestPage, manifest.Audit};
  for (;;) {
    for (auto it = page.Entries.rbegin(); it != page.Entries.rend(); ++it)
      if (!visit(*it))
        return true;
    if (page.Previous.Key.empty())
      return true;
    auto next = readPage(page.Previous.Key);
    if (!next)
      return tl::unexpected(next.error());
    if (!*next)
      return false;
    page = std::move(**next);
  }
}

} // namespace savorytrestle::operators

#endif
