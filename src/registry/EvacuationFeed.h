#ifndef SAVORYTRESTLE_REGISTRY_EVACUATION_FEED_H
#define SAVORYTRESTLE_REGISTRY_EVACUATION_FEED_H

/// @file
/// @brief Reads the evacuated failure domains from the mirror of the store.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "registry/StoreMirror.h"
#include "savorytrestle/core/placement/Evacuations.h"

namespace savorytrestle::registry {

/// @brief Reports when evacuations begin and end. The key alone counts, so that
/// a malformed value can't keep requests going to a domain. An evacuation that
/// an older copy of the store doesn't have stays in force until its key is
/// removed in the new era.
class EvacuationFeed : public std::enable_shared_from_this<EvacuationFeed> {
public:
  using ChangeHandler =
      std::function<void(const std::string &domain, bool evacuated)>;

  /// @brief Makes a feed.
  /// @param onChange called with each domain whose evacuation begins or ends
  explicit EvacuationFeed(ChangeHandler onChange);

  /// @brief Subscribes to the mirror; must be called before the mirror starts.
  void start(StoreMirror &mirror);

private:
  void onList(const std::vector<store::StoredItem> &items);
  void onChanges(const std::vector<store::StoredItem> &items);

  ChangeHandler OnChange;
  core::Evacuations Known;
};

} // namespace savorytrestle::registry

#endif
