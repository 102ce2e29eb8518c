#ifndef SAVORYTRESTLE_REGISTRY_FEED_PAGE_H
#define SAVORYTRESTLE_REGISTRY_FEED_PAGE_H

/// @file
/// @brief Requests and replies with which a host gets store items and changes
/// from another host.

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "savorytrestle/core/Error.h"
#include "store/StoreTypes.h"

namespace savorytrestle::registry {

/// @brief Request of a host for changes.
struct FeedQuery {
  /// Position up to which the requesting host has the items; revision 0 if it
  /// has none.
  store::Position After{};
  /// Prefix of the keys of the items that it wants.
  std::string Prefix{};
  /// How long the reply may be held back while there are no changes.
  std::chrono::milliseconds Wait{0};
};

/// @brief Items or changes as held by the replying host.
struct FeedPage {
  std::vector<store::StoredItem> Items{};
  /// Position up to which Items is complete.
  store::Position At{};
  /// Whether Items holds all items of the store rather than changes.
  bool IsFullList = false;
  /// Time since the replying host's copy was last known to be up to date.
  std::chrono::milliseconds Age{0};
};

/// @brief Formats the path and query of a request.
std::string formatFeedTarget(const FeedQuery &query);

/// @brief Parses the path and query of a request.
/// @return the query, or nothing if the path or a value is invalid
std::optional<FeedQuery> parseFeedTarget(std::string_view target);

/// @brief Encodes the body of a reply.
std::string encodeFeedPage(const FeedPage &page);

/// @brief Decodes the body of a reply.
/// @return the page, or an error that says why the body is malformed
core::Result<FeedPage> decodeFeedPage(std::string_view body);

} // namespace savorytrestle::registry

#endif
