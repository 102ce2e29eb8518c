#include <algorithm>

#include "leaf/LeafDirectory.h"
#include "support/Log.h"

namespace savorytrestle::leaf {

using SteadyClock = std::chrono::steady_clock;

void LeafDirectory::setColdBounds(const core::ColdBounds &bounds) {
  Bounds = bounds;
  for (const core::ServiceRule &rule : ServiceRules) {
    Service &known = service(rule.Name);
    setColdRule(known, rule);
    for (const auto &leaf : known.Leaves)
      setShares(known, *leaf);
  }
}

void LeafDirectory::setColdRule(Service &service,
                                const core::ServiceRule &rule) const {
  service.Cold = core::coldLeafRule(rule.WarmUp, rule.WarmUpPerSecond, Bounds);
}

bool LeafDirectory::isKnownDomain(const std::string &domain) const {
  return domain == Location.FailureDomain ||
         Location.Regions.count(domain) > 0 ||
         std::any_of(ById.begin(), ById.end(), [&domain](const auto &it) {
           return it.second->entry().FailureDomain == domain;
         });
}

void LeafDirectory::applyDomain(Leaf &leaf) const {
  const std::string &domain = leaf.entry().FailureDomain;
  leaf.setRegion(regionOf(domain));
  // Hosts of an evacuated domain go on serving callers and other hosts.
  if (leaf.entry().Id.starts_with(PeerServicePrefix))
    return;
  if (leaf.setEvacuated(Evacuated.contains(domain), SteadyClock::now()))
    leaf.cancelUnsent();
}

void LeafDirectory::setEvacuated(const std::string &domain, bool evacuated) {
  if (!(evacuated ? Evacuated.begin(domain) : Evacuated.end(domain)))
    return;
  ++Generation;
  std::vector<std::shared_ptr<Leaf>> changed;
  const auto now = SteadyClock::now();
  for (const auto &[id, leaf] : ById)
    if (leaf->entry().FailureDomain == domain &&
        !id.starts_with(PeerServicePrefix) &&
        leaf->setEvacuated(evacuated, now))
      changed.push_back(leaf);
  support::LogLine(evacuated ? "evacuation_begun" : "evacuation_ended")
      .with("failure_domain", domain)
      .with("known", isKnownDomain(domain) ? 1 : 0)
      .with("leaves", changed.size());
  // Only now, as a request that is cancelled is sent to another leaf at once.
  if (evacuated)
    for (const auto &leaf : changed)
      leaf->cancelUnsent();
}

std::size_t LeafDirectory::evacuatedDomainCount() const {
  const auto &domains = Evacuated.domains();
  return static_cast<std::size_t>(std::count_if(
      domains.begin(), domains.end(),
      [this](const std::string &domain) { return isKnownDomain(domain); }));
}

std::size_t LeafDirectory::coldLeafCount() const {
  const auto now = SteadyClock::now();
  return static_cast<std::size_t>(
      std::count_if(ById.begin(), ById.end(), [now](const auto &it) {
        return it.second->cold().isBound(now);
      }));
}

} // namespace savorytrestle::leaf
