#include "hosts/PeerView.h"

#include "support/BoundedJson.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace savorytrestle::hosts {

namespace {

/// Age up to which a failed call to the store counts as an outage; longer than
/// the longest time between two checks during an outage.
constexpr std::chrono::milliseconds MaxFailureAge{15000};

/// Age up to which a peer's report of an outage counts.
constexpr std::chrono::milliseconds MaxPeerReportAge{5000};

} // namespace

bool PeerView::applyHosts(core::VersionedBlob blob) {
  const auto parsed = support::parseJsonOrDiscarded(blob.Payload);
  if (!parsed.is_object() || !core::isIntact(blob))
    return false;
  std::vector<core::HostInfo> holders;
  for (const auto &item : parsed)
    if (item.is_string())
      if (auto host = core::parseHost(item.get<std::string>()))
        holders.push_back(std::move(*host));
  const std::lock_guard guard(Lock);
  // A higher revision is stored even if the contents are equal, because peers
  // compare revisions.
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

void PeerView::onPeerCallEnded(const std::string &id, bool reached,
                               core::TimePoint now) {
  const std::lock_guard guard(Lock);
  if (reached)
    Members.onReachable(id);
  else
    Members.onUnreachable(id, now);
}

void PeerView::onSettingsCurrent(core::TimePoint at) {
  const std::lock_guard guard(Lock);
  SettingsCurrentAt = std::max(SettingsCurrentAt, at);
}

core::Duration PeerView::settingsAge(core::TimePoint now) const {
  const std::lock_guard guard(Lock);
  return std::max(now - SettingsCurrentAt, core::Duration::zero());
}

void PeerView::onHostsCurrent(core::TimePoint at) {
  const std::lock_guard guard(Lock);
  HostsCurrentAt = std::max(HostsCurrentAt, at);
}

core::Duration PeerView::hostsAge(core::TimePoint now) const {
  const std::lock_guard guard(Lock);
  return std::max(now - HostsCurrentAt, core::Duration::zero());
}

void PeerView::onStoreCallEnded(bool reached, core::TimePoint now) {
  const std::lock_guard guard(Lock);
  if (reached)
    LastStoreFailure.reset();
  else
    LastStoreFailure = now;
}

bool PeerView::isStoreDown(core::TimePoint now) const {
  const std::lock_guard guard(Lock);
  return LastStoreFailure && now - *LastStoreFailure < MaxFailureAge;
}

void PeerView::onPeerReportedOutage(core::TimePoint now) {
  const std::lock_guard guard(Lock);
  PeerReportAt = now;
}

bool PeerView::peerReportedOutage(core::TimePoint now) const {
  const std::lock_guard guard(Lock);
  return PeerReportAt && now - *PeerReportAt < MaxPeerReportAge;
}

} // namespace savorytrestle::hosts
