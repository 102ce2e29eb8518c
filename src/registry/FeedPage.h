#ifndef SAVORYTRESTLE_REGISTRY_FEED_PAGE_H
#define SAVORYTRESTLE_REGISTRY_FEED_PAGE_H

/// @file
/// @brief What a host tells another one of the platform's store.

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "savorytrestle/core/Error.h"
#include "store/StoreTypes.h"

namespace savorytrestle::registry {

/// @brief What a host asks for.
struct FeedQuery {
  /// Position up to which it knows the items; 0 when it knows none.
  store::Revision After = 0;
  /// How long it waits for changes.
  std::chrono::milliseconds Wait{0};
};

/// @brief Items or changes as a host knows them.
struct FeedPage {
  std::vector<store::StoredItem> Items{};
  /// Position up to which they are known.
  store::Revision AtRevision = 0;
  /// Whether these are all items there are, not changes.
  bool IsFullList = false;
  /// How long ago the store was known to have nothing newer.
  std::chrono::milliseconds Age{0};
};

/// @brief Path and query of a call.
std::string formatFeedTarget(const FeedQuery &query);

/// @brief Reads path and query of a call.
/// @return the query, or nothing when it is none
std::optional<FeedQuery> parseFeedTarget(std::string_view target);

/// @brief Body of the reply.
std::string encodeFeedPage(const FeedPage &page);

/// @brief Reads the body of a reply.
/// @return the page; or why it can't be read
core::Result<FeedPage> decodeFeedPage(std::string_view body);

} // namespace savorytrestle::registry

#endif
