#include "savorytrestle/core/FeedPolicy.h"

#include <algorithm>
#include <set>

namespace savorytrestle::core {

namespace {

/// In a smaller failure domain, the frequent short polls of a reader cost the
/// store as much as the few long polls of the other hosts that they replace.
constexpr std::size_t MinHostsPerDomain = 5;
/// Most hosts that share a reader, including itself. The reader sends every
/// change to each of them; its link can carry no more on a day with many
/// changes.
constexpr std::size_t MaxHostsPerReader = 24;
constexpr std::size_t MaxCollectors = 2;
/// Most fallback sources of a host.
constexpr std::size_t MaxFallbackSources = 3;

} // namespace

FeedPlan planFeed(const FeedHost &own,
                  const std::map<std::string, std::string> &regions,
                  const std::vector<FeedHost> &hosts) {
  std::map<std::string, std::set<std::string>> domains;
  domains[own.FailureDomain].insert(own.Id);
  for (const FeedHost &host : hosts)
    domains[host.FailureDomain].insert(host.Id);
  const auto regionOf = [&](const std::string &domain) {
    const auto it = regions.find(domain);
    return it == regions.end() ? std::string() : it->second;
  };

  // The first hosts of each domain, by id, are its readers. They remain the
  // first ones while hosts with later ids start and stop.
  FeedPlan plan;
  const auto &ownDomain = domains[own.FailureDomain];
  std::vector<std::string> fallbacks;
  if (ownDomain.size() >= MinHostsPerDomain) {
    const std::vector<std::string> ids(ownDomain.begin(), ownDomain.end());
    const std::size_t readers = 1 + (ids.size() - 1) / MaxHostsPerReader;
    const auto rank = static_cast<std::size_t>(
        std::find(ids.begin(), ids.end(), own.Id) - ids.begin());
    if (rank < readers) {
      plan.ServesOthers = true;
    } else {
      plan.PreferredSources.push_back(ids[rank % readers]);
      if (readers > 1)
        fallbacks.push_back(ids[(rank + 1) % readers]);
    }
  }
  for (const bool sameRegion : {true, false})
    for (const auto &[domain, ids] : domains)
      if (domain != own.FailureDomain &&
          (regionOf(domain) == regionOf(own.FailureDomain)) == sameRegion)
        fallbacks.push_back(*ids.begin());
  if (fallbacks.size() > MaxFallbackSources)
    fallbacks.resize(MaxFallbackSources);
  plan.FallbackSources = std::move(fallbacks);
  return plan;
}

std::vector<std::string> planCollectors(const FeedHost &own,
                                        const std::vector<FeedHost> &hosts) {
  std::set<std::string> ids{own.Id};
  for (const FeedHost &host : hosts)
    if (host.FailureDomain == own.FailureDomain)
      ids.insert(host.Id);
  if (ids.size() < MinHostsPerDomain)
    return {};
  std::vector<std::string> collectors(ids.begin(), ids.end());
  collectors.resize(MaxCollectors);
  return collectors;
}

} // namespace savorytrestle::core
