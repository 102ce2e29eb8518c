#ifndef SAVORYTRESTLE_HOSTS_STORE_READER_H
#define SAVORYTRESTLE_HOSTS_STORE_READER_H

/// @file
/// @brief What a peer node reads of the key-value service.

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "hosts/SlotKeys.h"
#include "savorytrestle/core/VersionedBlob.h"
#include "store/KvStore.h"

namespace savorytrestle::hosts {

/// @brief Key that changes with each accepted change of the settings.
inline const std::string ManifestKey = "settings/manifest";

/// @brief State of the settings as a watch saw it.
struct ManifestState {
  /// Revision of the tree; 0 when there is none yet.
  std::uint64_t Revision = 0;
  /// Position to wait beyond in the next watch.
  store::Revision At = 0;
};

/// @brief Reads of one thread; each thread of a node makes its own.
struct StoreReader {
  /// Waits until the manifest may have changed; after 0 answers at once.
  std::function<core::Result<ManifestState>(store::Revision after,
                                            std::chrono::milliseconds wait)>
      WatchSettings;
  /// Reads the whole tree.
  std::function<core::Result<core::VersionedBlob>()> ReadSettings;
  /// Waits until a slot may have changed hands; after 0 answers at once.
  std::function<core::Result<store::StorePage>(store::Revision after,
                                               std::chrono::milliseconds wait)>
      WatchSlots;
};

/// @brief Makes a feed over a client of the store.
/// @tparam Store type of the client
/// @tparam ReadTree callable as Result<VersionedBlob>(Store &)
/// @tparam RevisionOf callable as uint64_t(const std::string &manifest)
/// @param store client that only this feed uses
/// @param readTree reads the whole tree
/// @param revisionOf reads the revision out of the manifest's value
/// @return the feed
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
