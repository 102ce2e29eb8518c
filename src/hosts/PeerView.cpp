#include "hosts/PeerView.h"

#include "support/BoundedJson.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace savorytrestle::hosts {

namespace {

/// How long a failed call to the store says that it is down; longer than the
/// longest time between two looks during an outage.
constexpr std::chrono::milliseconds StoreDownFor{15000};

/// How long a peer's word that the store is down counts.
constexpr std::chrono::milliseconds PeerWordFor{5000};

} // namespace

bool PeerView::offerHosts(core::VersionedBlob blob) {
  const auto parsed = support::parseJsonOrDiscarded(blob.Payload);
  if (!parsed.is_object() || !core::isIntact(blob))
    return false;
  std::vector<core::HostInfo> holders;
  for (const auto &item : parsed)
    if (item.is_string())
      if (auto host = core::parseHost(item.get<std::string>()))
        holders.push_back(std::move(*host));
  const std::lock_guard guard(Lock);
  // Equal contents still take the higher revision: peers compare revisions.
  if (blob.Revision <= Hosts.Revision)
    return false;
  Members.setHosts(std::move(holders));
  Hosts = std::move(blob);
  return true;
}

core::VersionedBlob PeerView::hosts() const {
  const std::lock_guard guard(Lock);
  return Hosts;
}

void PeerView::setLeaving(std::vector<std::string> leaving) {
  const std::lock_guard guard(Lock);
  Members.setLeaving(std::move(leaving));
}

std::vector<core::HostInfo> PeerView::live(core::TimePoint now) const {
  const std::lock_guard guard(Lock);
  return Members.live(now);
}

std::vector<core::HostInfo> PeerView::all() const {
  const std::lock_guard guard(Lock);
  return Members.all();
}

void PeerView::onCalled(const std::string &id, bool reached,
                        core::TimePoint now) {
  const std::lock_guard guard(Lock);
  if (reached)
    Members.onReachable(id);
  else
    Members.onUnreachable(id, now);
}

void PeerView::onStoreSeen(core::TimePoint at) {
  const std::lock_guard guard(Lock);
  StoreSeen = std::max(StoreSeen, at);
}

core::Duration PeerView::age(core::TimePoint now) const {
  const std::lock_guard guard(Lock);
  return std::max(now - StoreSeen, core::Duration::zero());
}

void PeerView::onSlotsSeen(core::TimePoint at) {
  const std::lock_guard guard(Lock);
  SlotsSeen = std::max(SlotsSeen, at);
}

core::Duration PeerView::slotsAge(core::TimePoint now) const {
  const std::lock_guard guard(Lock);
  return std::max(now - SlotsSeen, core::Duration::zero());
}

void PeerView::onStoreCalled(bool reached, core::TimePoint now) {
  const std::lock_guard guard(Lock);
  if (reached)
    StoreFailed.reset();
  else
    StoreFailed = now;
}

bool PeerView::storeDown(core::TimePoint now) const {
  const std::lock_guard guard(Lock);
  return StoreFailed && now - *StoreFailed < StoreDownFor;
}

void PeerView::onPeerStoreDown(core::TimePoint now) {
  const std::lock_guard guard(Lock);
  PeerStoreDown = now;
}

bool PeerView::peersConfirmOutage(core::TimePoint now) const {
  const std::lock_guard guard(Lock);
  return PeerStoreDown && now - *PeerStoreDown < PeerWordFor;
}

} // namespace savorytrestle::hosts
