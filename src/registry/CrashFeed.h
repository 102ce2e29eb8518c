#ifndef SAVORYTRESTLE_REGISTRY_CRASH_FEED_H
#define SAVORYTRESTLE_REGISTRY_CRASH_FEED_H

/// @file
/// @brief Keeps the runs in which leaves ended in the store, where they outlive
/// the hosts that found them.

#include <utility>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "registry/StoreMirror.h"
#include "savorytrestle/core/Error.h"
#include "savorytrestle/core/quarantine/CrashLedger.h"
#include "store/StoreConnection.h"

namespace savorytrestle::registry {

/// Key prefix of the runs' items; see @ref crashRunKey.
inline constexpr const char *CrashRunPrefix = "crashes/";

/// @brief Key of a run's item: fingerprint, run id and first round.
std::string crashRunKey(const core::FatalRun &run);

/// @brief Encodes the value of a run's item.
std::string encodeCrashRun(const core::FatalRun &run);

/// @brief Decodes a run's item.
/// @return the run, or an error that says what is malformed
core::Result<core::FatalRun> decodeCrashRun(const std::string &key,
                                            std::string_view value);

/// @brief Writes this host's runs to the store, and passes on all runs there.
///
/// Items have no lease: a lease may end while the store is away. The host that
/// has known an item for the longest time removes it, once hosts have forgotten
/// its request.
class CrashFeed : public std::enable_shared_from_this<CrashFeed> {
public:
  using RunHandler = std::function<void(const core::FatalRun &run)>;
  using KeepsHandler = std::function<bool(const core::Fingerprint &)>;

  /// @brief Makes a feed.
  /// @param io runs its handlers
  /// @param store the store's address
  /// @param eras era of the store, shared with the host's other connections
  /// @param onAdded called with each run that appears in the store
  /// @param onRemoved called with each run that disappears from it
  /// @param keeps tells whether this host remembers runs of a request
  CrashFeed(boost::asio::io_context &io,
            const boost::asio::ip::tcp::endpoint &store,
            std::shared_ptr<store::EraTracker> eras, RunHandler onAdded,
            RunHandler onRemoved, KeepsHandler keeps);

  /// @brief Subscribes to the mirror; must be called before the mirror starts.
  void start(StoreMirror &mirror);

  /// @brief Writes a run to the store, soon and until that has succeeded.
  void publish(const core::FatalRun &run);

  /// @brief Removes runs from the store.
  void withdraw(const std::vector<core::FatalRun> &runs);

private:
  /// A run that is in the store.
  struct Item {
    core::FatalRun Run;
    /// When this host removes it for its age.
    core::TimePoint ExpiresAt;
  };

  void onList(const std::vector<store::StoredItem> &items);
  void onItem(const store::StoredItem &item);
  /// Drops a write that another host has made. Lists don't tell which items the
  /// store has: they also hold those that it has lost.
  void dropPendingWrite(const store::StoredItem &item);
  void removeItem(const std::string &key);
  void writeAgain();
  void scheduleExpiry();
  void scheduleWrite(std::chrono::milliseconds delay);
  void write();

  boost::asio::steady_timer WriteTimer;
  boost::asio::steady_timer ExpiryTimer;
  std::shared_ptr<store::StoreConnection> Connection;
  RunHandler OnAdded;
  RunHandler OnRemoved;
  KeepsHandler Keeps;
  std::map<std::string, Item> Items;
  /// Items to be written, or removed if there is no value.
  std::map<std::string, std::optional<std::string>> Pending;
  std::minstd_rand Random{std::random_device{}()};
  /// Whether a write is in flight or waits for its time.
  bool Writing = false;
};

} // namespace savorytrestle::registry

#endif
