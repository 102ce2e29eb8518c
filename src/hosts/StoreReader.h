#ifndef SAVORYTRESTLE_HOSTS_STORE_READER_H
#define SAVORYTRESTLE_HOSTS_STORE_READER_H

/// @file
/// @brief Reads of the key-value store by a peer node.

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "hosts/SlotKeys.h"
#include "savorytrestle/core/VersionedBlob.h"
#include "store/KvStore.h"

namespace savorytrestle::hosts {

/// @brief Key of the manifest, which is rewritten by each accepted change of
/// the settings.
inline const std::string ManifestKey = "settings/manifest";

/// @brief Result of a watch of the settings manifest.
struct ManifestState {
  /// Revision of the settings tree; 0 if there is none yet.
  std::uint64_t Revision = 0;
  /// Position in the store's history after which the next watch waits.
  store::Revision At = 0;
};

/// @brief Reads from the store; each thread of a peer node has its own reader.
struct StoreReader {
  /// Waits until the manifest may have changed; returns at once if after is 0.
  std::function<core::Result<ManifestState>(store::Revision after,
                                            std::chrono::milliseconds wait)>
      WatchSettings;
  /// Reads the whole settings tree.
  std::function<core::Result<core::VersionedBlob>()> ReadSettings;
  /// Waits until a slot entry may have changed; returns at once if after is 0.
  std::function<core::Result<store::StorePage>(store::Revision after,
                                               std::chrono::milliseconds wait)>
      WatchSlots;
};

/// @brief Makes a reader that uses a client of the store.
/// @tparam Store type of the client
/// @tparam ReadTree callable as Result<VersionedBlob>(Store &)
/// @tparam RevisionOf callable as uint64_t(const std::string &manifest)
/// @param store client that only this reader uses
/// @param readTree reads the whole settings tree
/// @param revisionOf parses the revision from the manifest's value
/// @return the reader
template <store::KvStore Store, typename ReadTree, typename RevisionOf>
StoreReader makeStoreReader(std::shared_ptr<Store> store, ReadTree readTree,
                            RevisionOf revisionOf) {
  StoreReader reader;
  reader.WatchSettings =
      [store, revisionOf](
          store::Revision after,
          std::chrono::milliseconds wait) -> core::Result<ManifestState> {
    auto page = store->watch(ManifestKey, after, wait);
    if (!page)
      return tl::unexpected(page.error());
    ManifestState manifest{0, page->At};
    for (const auto &entry : page->Items)
      if (entry.Key == ManifestKey)
        manifest.Revision = revisionOf(entry.Value);
    return manifest;
  };
  reader.ReadSettings = [store, readTree] { return readTree(*store); };
  reader.WatchSlots = [store](store::Revision after,
                              std::chrono::milliseconds wait) {
    return store->watch(SlotPrefix, after, wait);
  };
  return reader;
}

} // namespace savorytrestle::hosts

#endif
