#ifndef SAVORYTRESTLE_STORE_ERA_TRACKER_H
#define SAVORYTRESTLE_STORE_ERA_TRACKER_H

/// @file
/// @brief The era of the store, as seen by all connections of one host.

#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "store/StoreTypes.h"

namespace savorytrestle::store {

/// @brief Notices that the store came back from an older copy. Not thread-safe.
class EraTracker {
public:
  using RiseHandler = std::function<void(Era)>;

  /// @brief Adds a handler of rises; it is called within @ref observe, before
  /// the answer that shows the rise is handled.
  void onRise(RiseHandler handler) { Handlers.push_back(std::move(handler)); }

  /// @brief Takes the era of an answer.
  /// @param era the era; an answer without one is accepted
  /// @return false if the answer is from an older era and must be dropped
  bool observe(std::optional<Era> era);

  /// @brief The newest era; nothing before the first answer that has one.
  std::optional<Era> current() const { return Newest; }

  /// @brief The first era that was seen; that of hosts that know none.
  std::optional<Era> first() const { return Oldest; }

  /// @brief Whether the store has come back from a copy at any time.
  bool hasEverRisen() const { return Newest && *Newest > FirstEra; }

private:
  /// Era of a store that has never come back from a copy.
  static constexpr Era FirstEra = 1;

  std::optional<Era> Oldest;
  std::optional<Era> Newest;
  std::vector<RiseHandler> Handlers;
};

} // namespace savorytrestle::store

#endif
