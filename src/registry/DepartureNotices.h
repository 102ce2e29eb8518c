#ifndef SAVORYTRESTLE_REGISTRY_DEPARTURE_NOTICES_H
#define SAVORYTRESTLE_REGISTRY_DEPARTURE_NOTICES_H

/// @file
/// @brief Tells other hosts which leaves said that they are leaving while the
/// store still lists them as ready.

#include <utility>

#include <functional>
#include <memory>
#include <vector>

#include "leaf/LeafDirectory.h"
#include "registry/PendingNotices.h"

namespace savorytrestle::registry {

/// @brief Publishes each departure through one host, in most cases.
class DepartureNotices {
public:
  using PublishHandler =
      std::function<void(const std::vector<core::LeafRun> &)>;

  /// @brief Makes notices.
  /// @param io runs its timer
  /// @param leaves the leaves
  /// @param onPublish called with departures to write to the store
  DepartureNotices(boost::asio::io_context &io, leaf::LeafDirectory &leaves,
                   PublishHandler onPublish);

  /// @brief Sets the number of hosts, over which the waits are spread.
  void setHostCount(std::size_t hosts) { Pending->setHostCount(hosts); }

  /// @brief This host found a leaf leaving.
  void onLeaving(const core::LeafRun &run);

  /// @brief Another host has published departures.
  void onPublished(const std::vector<core::LeafRun> &runs);

private:
  void publish(const std::vector<core::LeafRun> &due);

  leaf::LeafDirectory &Leaves;
  PublishHandler OnPublish;
  std::shared_ptr<PendingNotices> Pending;
};

} // namespace savorytrestle::registry

#endif
