#ifndef SAVORYTRESTLE_REGISTRY_TRIAL_FEED_H
#define SAVORYTRESTLE_REGISTRY_TRIAL_FEED_H

/// @file
/// @brief Keeps the trials of requests under which leaves have ended in the
/// store, where all hosts take them from.

#include <utility>

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "registry/StoreMirror.h"
#include "savorytrestle/core/Error.h"
#include "savorytrestle/core/quarantine/CrashLedger.h"
#include "savorytrestle/core/quarantine/CrashTrials.h"
#include "store/StoreConnection.h"

namespace savorytrestle::registry {

/// Key prefix of the trials' items; the fingerprint follows it.
inline constexpr const char *TrialPrefix = "trials/";

/// @brief Key of a request's item.
std::string trialKey(const core::Fingerprint &fingerprint);

/// @brief Reads the fingerprint from an item's key; nothing if it has none.
std::optional<core::Fingerprint> parseTrialKey(std::string_view key);

/// @brief Encodes the value of an item.
std::string encodeTrial(const core::TrialRecord &record);

/// @brief Decodes the value of an item.
/// @return the record, or an error that says what is malformed
core::Result<core::TrialRecord> decodeTrial(std::string_view value);

/// @brief Writes trials to the store, and passes on those that are there.
class TrialFeed : public std::enable_shared_from_this<TrialFeed> {
public:
  using ReplyHandler = std::function<void(const core::TrialReply &reply)>;
  using KeepsHandler = std::function<bool(const core::Fingerprint &)>;

  /// @brief Makes a feed.
  /// @param io runs its handlers
  /// @param store the store's address
  /// @param eras era of the store, shared with the host's other connections
  /// @param trials takes in the records
  /// @param keeps tells whether this host remembers runs of a request
  TrialFeed(boost::asio::io_context &io,
            const boost::asio::ip::tcp::endpoint &store,
            std::shared_ptr<store::EraTracker> eras, core::CrashTrials &trials,
            KeepsHandler keeps);

  /// @brief Subscribes to the mirror; must be called before the mirror starts.
  void start(StoreMirror &mirror);

  /// @brief Writes a record once.
  /// @param onReply called once, also if the store doesn't reply in time
  void write(const core::TrialWrite &write, ReplyHandler onReply);

  /// @brief Writes a record that closes a trial, until the store replies.
  /// @param run the trial's run if leaves ended in it; written with the record,
  /// so that who sees that the trial is over knows of its run
  void close(const core::TrialWrite &write,
             const std::optional<core::FatalRun> &run, ReplyHandler onReply);

private:
  struct Write {
    store::StoreTransaction Transaction{};
    ReplyHandler OnReply;
    core::TimePoint Deadline;
    /// Whether it is sent again until the store replies.
    bool Repeats = false;
  };

  /// When an item is removed for its age.
  struct Item {
    store::Revision Revision = store::NoItem;
    core::TimePoint ExpiresAt;
  };

  void onList(const std::vector<store::StoredItem> &items);
  void onItem(const store::StoredItem &item);
  static Write makeWrite(const core::TrialWrite &write, ReplyHandler onReply);
  void enqueue(Write write);
  void sendNext();
  void onReply(Write write, const store::StoreReply &reply);
  void sendLater(Write write);
  void scheduleExpiry();
  void expire();

  boost::asio::io_context &Io;
  boost::asio::steady_timer ExpiryTimer;
  std::shared_ptr<store::StoreConnection> Connection;
  core::CrashTrials &Trials;
  KeepsHandler Keeps;
  std::map<core::Fingerprint, Item> Items;
  std::deque<Write> Queue;
  std::minstd_rand Random{std::random_device{}()};
  /// Writes that wait to be sent again.
  std::size_t Waiting = 0;
  bool Writing = false;
};

} // namespace savorytrestle::registry

#endif
