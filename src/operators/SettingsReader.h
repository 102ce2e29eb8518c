#ifndef SAVORYTRESTLE_OPERATORS_SETTINGS_READER_H
#define SAVORYTRESTLE_OPERATORS_SETTINGS_READER_H

/// @file
/// @brief Reads the settings tree and its audit log from the store.

#include <algorithm>
#include <map>

#include "operators/SettingsManifest.h"
#include "operators/SettingsReplica.h"
#include "store/KvStore.h"

namespace savorytrestle::operators {

/// @brief Limits on calls to the store.
struct SettingsStoreOptions {
  /// Timeout of each call.
  std::chrono::milliseconds CallTimeout{1000};
  /// Maximum number of compare-and-swap attempts for one change.
  int MaxAttempts = 12;
};

/// @brief A manifest and the settings tree that it refers to.
struct LoadedSettings {
  SettingsManifest Manifest;
  /// Store revision of the manifest's entry, for compare-and-swap.
  store::Revision StoreRevision = store::NoItem;
  core::SettingsTree Tree;
};

/// @brief Reads settings from the store and caches their parts, so that only
/// changed parts are fetched. Not thread-safe.
template <store::KvStore Kv> class SettingsReader {
public:
  /// @brief Constructs a reader.
  /// @param store store client; must outlive this object
  /// @param options limits on calls
  SettingsReader(Kv &store, SettingsStoreOptions options)
      : Store(store), Options(options) {}

  /// @brief Reads the manifest and the tree that it refers to.
  /// @return both, or an error; a manifest older than the newest known revision
  ///   is reported as StoreUnavailable
  core::Result<LoadedSettings> load();

  /// @brief Reads only the manifest.
  /// @return the manifest with an empty tree, or an error as for @ref load
  core::Result<LoadedSettings> loadManifest();

  /// @brief Reads the manifest and the tree also if they are older than the
  /// newest known revision, as after the store's return from an older copy.
  core::Result<LoadedSettings> loadAnyRevision();

  /// @brief Visits audit entries, newest first.
  /// @param manifest manifest with the newest entries
  /// @param visit called with each entry; returns false to stop
  /// @return false if a page has been deleted before the visitor stopped
  template <typename Visitor>
  core::Result<bool> visitAuditEntries(const SettingsManifest &manifest,
                                       Visitor visit);

  /// @brief Raises the newest known revision.
  /// @param revision a revision learned from another source than this reader
  void raiseNewestKnownRevision(std::uint64_t revision) {
    NewestKnown = std::max(NewestKnown, revision);
  }

  /// @brief The newest revision known to exist.
  /// @return its number
  std::uint64_t newestKnownRevision() const { return NewestKnown; }

private:
  core::Result<LoadedSettings> readManifest();
  /// Returns false if a part has been deleted because a newer manifest replaced
  /// this one.
  core::Result<bool> loadNodes(LoadedSettings &loaded);
  core::Result<std::optional<AuditPage>> readPage(const std::string &key);

  Kv &Store;
  SettingsStoreOptions Options;
  /// Parts of the tree that was read last, by key.
  std::map<std::string, std::string> Parts;
  /// Newest known revision; a read that returns an older manifest is stale.
  std::uint64_t NewestKnown = 0;
};

template <store::KvStore Kv>
core::Result<LoadedSettings> SettingsReader<Kv>::readManifest() {
  auto entry = Store.get(ManifestKey, Options.CallTimeout);
  if (!entry)
    return tl::unexpected(entry.error());
  LoadedSettings loaded;
  if (*entry) {
    auto manifest = parseManifest((*entry)->Value);
    if (!manifest)
      return tl::unexpected(manifest.error());
    loaded.Manifest = std::move(*manifest);
    loaded.StoreRevision = (*entry)->ModRevision;
  }
  return loaded;
}

template <store::KvStore Kv>
core::Result<LoadedSettings> SettingsReader<Kv>::loadAnyRevision() {
  auto loaded = readManifest();
  if (!loaded)
    return loaded;
  const auto complete = loadNodes(*loaded);
  if (!complete)
    return tl::unexpected(complete.error());
  if (!*complete)
    return core::makeError(core::ErrorCode::StoreUnavailable,
                           "parts of the settings are missing in the store");
  return loaded;
}

template <store::KvStore Kv>
core::Result<LoadedSettings> SettingsReader<Kv>::loadManifest() {
  auto read = readManifest();
  if (!read)
    return read;
  LoadedSettings &loaded = *read;
  if (loaded.Manifest.Revision < NewestKnown)
    return core::makeError(
        core::ErrorCode::StoreUnavailable,
        "stale read: the store returned settings revision " +
            std::to_string(loaded.Manifest.Revision) +
            ", newest known revision: " + std::to_string(NewestKnown));
  NewestKnown = loaded.Manifest.Revision;
  return read;
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
                             key + " is malformed");
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
