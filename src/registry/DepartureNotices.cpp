#include "registry/DepartureNotices.h"

namespace savorytrestle::registry {

DepartureNotices::DepartureNotices(boost::asio::io_context &io,
                                   leaf::LeafDirectory &leaves,
                                   PublishHandler onPublish)
    : Leaves(leaves), OnPublish(std::move(onPublish)),
      Pending(std::make_shared<PendingNotices>(
          io, [this](const auto &due) { publish(due); })) {}

void DepartureNotices::onLeaving(const core::LeafRun &run) {
  Pending->add(run, Leaves.draw());
}

void DepartureNotices::onPublished(const std::vector<core::LeafRun> &runs) {
  for (const core::LeafRun &run : runs) {
    Pending->drop(run);
    Leaves.markDeparted(run);
  }
}

void DepartureNotices::publish(const std::vector<core::LeafRun> &due) {
  // The leaf's own entry tells the other hosts, as soon as it says so.
  std::vector<core::LeafRun> runs;
  for (const core::LeafRun &run : due)
    if (Leaves.listedAsReady(run))
      runs.push_back(run);
  if (!runs.empty())
    OnPublish(runs);
}

} // namespace savorytrestle::registry
