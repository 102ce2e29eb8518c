#ifndef SAVORYTRESTLE_REGISTRY_RATE_LIMIT_NOTICES_H
#define SAVORYTRESTLE_REGISTRY_RATE_LIMIT_NOTICES_H

/// @file
/// @brief Tells other hosts the rate limits that leaves name in their answers,
/// so that hosts which haven't asked those leaves yet keep them too.

#include <utility>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "leaf/LeafDirectory.h"
#include "registry/PendingNotices.h"

namespace savorytrestle::registry {

/// @brief What one host's entry says of rate limits.
struct PublishedRateLimits {
  /// Limits, in requests a second.
  leaf::RateLimits Limits;
  /// Leaves that don't name the limit any more which others publish.
  std::set<core::LeafRun> Ended;

  bool operator==(const PublishedRateLimits &) const = default;
};

/// @brief Publishes each limit, and its end, through one host in most cases.
class RateLimitNotices {
public:
  using PublishHandler = std::function<void(const PublishedRateLimits &)>;

  /// @brief Makes notices.
  /// @param io runs its timer
  /// @param leaves the leaves
  /// @param onPublish called with all that this host publishes, after each
  /// change
  RateLimitNotices(boost::asio::io_context &io, leaf::LeafDirectory &leaves,
                   PublishHandler onPublish);

  /// @brief Sets the number of hosts, over which the waits are spread.
  void setHostCount(std::size_t hosts) { Pending->setHostCount(hosts); }

  /// @brief An answer to this host changed a leaf's limit.
  void onObserved(const core::LeafRun &run);

  /// @brief Another host's entry says this and no more.
  /// @param host its id
  /// @param said what it says
  void onPublished(const std::string &host, const PublishedRateLimits &said);

private:
  /// The limit that another host publishes, if any.
  std::optional<double> publishedByOthers(const core::LeafRun &run) const;
  bool endedByOthers(const core::LeafRun &run) const;
  void publish(const std::vector<core::LeafRun> &due);
  /// Publishes what differs from what was published before.
  void publishChange(const PublishedRateLimits &before);

  leaf::LeafDirectory &Leaves;
  PublishHandler OnPublish;
  std::shared_ptr<PendingNotices> Pending;
  PublishedRateLimits Own;
  std::map<std::string, PublishedRateLimits> ByHost;
};

} // namespace savorytrestle::registry

#endif
