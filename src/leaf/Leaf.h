#ifndef SAVORYTRESTLE_LEAF_LEAF_H
#define SAVORYTRESTLE_LEAF_LEAF_H

/// @file
/// @brief One process of a leaf: its entry in the store, its score, and this
/// host's connections to it.

#include <utility>

#include <algorithm>
#include <functional>
#include <memory>
#include <vector>

#include "leaf/LeafConnection.h"
#include "leaf/LeafEndings.h"
#include "savorytrestle/core/DepartedLeaves.h"
#include "savorytrestle/core/LeafEntry.h"
#include "savorytrestle/core/LeafSilence.h"
#include "savorytrestle/core/balance/LeafScore.h"
#include "savorytrestle/core/placement/ColdLeaf.h"
#include "savorytrestle/core/rates/LeafRateLimit.h"

namespace savorytrestle::leaf {

/// @brief What one run of a leaf has asked of this host.
struct LeafDemands {
  /// Time in which it wants no requests.
  core::LeafSilence Silence;
  /// Rate of requests that it takes from all hosts together.
  core::LeafRateLimit RateLimit;
  /// Bound on the requests to it while it is cold.
  core::ColdLeaf Cold;
};

/// @brief One process of a leaf; a restart of the leaf makes a new object.
class Leaf : public std::enable_shared_from_this<Leaf> {
public:
  /// @brief Creates a leaf without connections.
  /// @param io runs the handlers of its connections
  /// @param entry its entry in the store
  /// @param address the entry's address, parsed
  /// @param distance its distance from this host
  /// @param memory bounds of answers, shared by all leaves
  /// @param region its region; empty if unknown
  Leaf(boost::asio::io_context &io, core::LeafEntry entry,
       const boost::asio::ip::tcp::endpoint &address,
       core::LeafDistance distance, std::shared_ptr<AnswerMemory> memory,
       std::string region = {});

  const core::LeafEntry &entry() const { return Entry; }
  const boost::asio::ip::tcp::endpoint &address() const { return Address; }

  /// @brief Region of its failure domain; empty if unknown.
  const std::string &region() const { return Region; }
  void setRegion(std::string region) { Region = std::move(region); }

  /// @brief Replaces the entry by a newer one of the same process.
  void update(core::LeafEntry entry);

  /// @brief The run of the leaf's process that this object stands for.
  core::LeafRun run() const {
    return {Entry.Id, Entry.Address, Entry.StartedAt};
  }

  /// @brief Stops new requests to the leaf, closes idle connections and cancels
  /// the requests that wait for a connection.
  void retire();

  /// @brief Sends the leaf no requests for a time that it asked for, and
  /// cancels the requests that wait for a connection.
  /// @param now current time
  /// @param wait the time
  /// @param draw see @ref core::LeafSilence::onRetryAfter
  void pause(core::TimePoint now, core::Duration wait, double draw);

  /// @brief Closes the connections that carry no request.
  void closeIdleConnections();

  /// @brief Whether new requests may be sent to the leaf.
  bool acceptsRequests() const { return !Retired && !Evacuated; }

  /// @brief Whether the leaf's failure domain is evacuated.
  bool evacuated() const { return Evacuated; }

  /// @brief Whether the run is leaving or has left.
  bool retired() const { return Retired; }

  /// @brief Sets whether the leaf's failure domain is evacuated. While it is,
  /// the leaf gets no new requests; afterwards it counts as cold.
  /// @return whether that has changed
  bool setEvacuated(bool evacuated, core::TimePoint now);

  /// @brief Closes idle connections and cancels the requests that wait for a
  /// connection. Their handlers may send them to other leaves at once.
  void cancelUnsent();

  /// @brief Sets whether requests may be sent for now, for hosts that say that
  /// they take none.
  void setAvailable(bool available) { Available = available; }
  bool available() const { return Available; }

  /// @brief Sets this host's share of the connections that the leaf accepts.
  void setMaxConnections(std::size_t maxConnections) {
    MaxConnections = maxConnections;
  }

  /// @brief Whether a connection is idle or may be opened now.
  bool hasFreeConnection() const;

  /// @brief Returns the most recently used idle connection or a new one.
  /// @return the connection; null if the limit of connections is reached
  std::shared_ptr<LeafConnection> acquireConnection();

  /// @brief Returns a connection to the pool, if it can carry further requests.
  void releaseConnection(std::shared_ptr<LeafConnection> connection);

  /// @brief What is known of the end of the leaf's process, for a request that
  /// this host has stopped to wait for. Kept while it is held.
  std::shared_ptr<SuspectedLeaf> watchEnding();

  /// @brief The same, if it is held; else null.
  std::shared_ptr<SuspectedLeaf> watchedEnding() const { return Ending.lock(); }

  /// @brief Records that the leaf's process has answered.
  void onAnswered(core::TimePoint now) {
    if (const auto ending = Ending.lock())
      ending->AliveAt = now;
  }

  /// @brief Sets what is called if the leaf closes an idle connection before
  /// its time, as its process does when it ends.
  void onUnexpectedClose(std::function<void()> handler) {
    OnUnexpectedClose = std::move(handler);
  }

  /// @brief Time in which the leaf wants no requests.
  core::LeafSilence &silence() { return Demands.Silence; }
  const core::LeafSilence &silence() const { return Demands.Silence; }

  /// @brief Rate of requests that the leaf takes from all hosts together.
  core::LeafRateLimit &rateLimit() { return Demands.RateLimit; }
  const core::LeafRateLimit &rateLimit() const { return Demands.RateLimit; }

  /// @brief Bound on the requests to the leaf while it is cold.
  core::ColdLeaf &cold() { return Demands.Cold; }
  const core::ColdLeaf &cold() const { return Demands.Cold; }

  /// @brief Probability with which a request may be sent now, by the smaller of
  /// the rate limit and the bound of a cold leaf. O(1).
  double sendChance(core::TimePoint now) const {
    return std::min(Demands.RateLimit.sendChance(now),
                    Demands.Cold.sendChance(now));
  }

  /// @brief Records that a request is sent, for both limits. O(1).
  void onSend(core::TimePoint now) {
    Demands.RateLimit.onSend(now);
    Demands.Cold.onSend(now);
  }

  /// @brief Records that a request lost the draw against @ref sendChance. O(1).
  void onDrawLost(core::TimePoint now) {
    Demands.RateLimit.onDrawLost(now);
    Demands.Cold.onDrawLost(now);
  }

  /// @brief When both limits allow the next request. O(1).
  core::TimePoint nextSend(core::TimePoint now) const {
    return std::max(Demands.RateLimit.nextSend(now),
                    Demands.Cold.nextSend(now));
  }

  /// @brief What the leaf has asked of this host.
  const LeafDemands &demands() const { return Demands; }

  /// @brief Takes over what the same run has asked while it had an earlier
  /// entry.
  void restoreDemands(const LeafDemands &demands) {
    Demands = demands;
    // The test, if any, ended with the earlier entry.
    Demands.Silence.onTestLost();
    recordWarmUp();
  }

  /// @brief This host's score of the leaf.
  core::LeafScore &score() { return Score; }
  const core::LeafScore &score() const { return Score; }

private:
  void cancelConnecting();
  /// Records what the entry says of the leaf's warm-up.
  void recordWarmUp();

  boost::asio::io_context &Io;
  core::LeafEntry Entry;
  boost::asio::ip::tcp::endpoint Address;
  std::string Region;
  core::LeafScore Score;
  std::shared_ptr<AnswerMemory> Memory;
  LeafDemands Demands;
  std::weak_ptr<SuspectedLeaf> Ending;
  std::function<void()> OnUnexpectedClose;
  std::vector<std::shared_ptr<LeafConnection>> Idle;
  /// Connections that may still be being established.
  std::vector<std::weak_ptr<LeafConnection>> Connecting;
  std::size_t ConnectionCount = 0;
  std::size_t MaxConnections = 4;
  bool Retired = false;
  bool Evacuated = false;
  bool Available = true;
};

} // namespace savorytrestle::leaf

#endif
