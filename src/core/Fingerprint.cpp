#include "savorytrestle/core/Fingerprint.h"

#include <xxhash.h>

namespace savorytrestle::core {

Fingerprint makeFingerprint(std::string_view workspace, std::string_view route,
                            std::string_view canonicalBody) {
  // The hash of each part seeds the next, so that ("ab", "c") and ("a", "bc")
  // give different fingerprints.
  const auto workspaceHash = XXH3_64bits(workspace.data(), workspace.size());
  const auto routeHash =
      XXH3_64bits_withSeed(route.data(), route.size(), workspaceHash);
  const auto hash = XXH3_128bits_withSeed(canonicalBody.data(),
                                          canonicalBody.size(), routeHash);
  return {hash.high64, hash.low64};
}

void FingerprintLruSet::insert(const Fingerprint &fingerprint) {
  if (const auto it = Positions.find(fingerprint); it != Positions.end()) {
    MostRecentlyUsedFirst.splice(MostRecentlyUsedFirst.begin(),
                                 MostRecentlyUsedFirst, it->second);
    return;
  }
  MostRecentlyUsedFirst.push_front(fingerprint);
  Positions.emplace(fingerprint, MostRecentlyUsedFirst.begin());
  if (Positions.size() <= Capacity)
    return;
  Positions.erase(MostRecentlyUsedFirst.back());
  MostRecentlyUsedFirst.pop_back();
}

void FingerprintLruSet::erase(const Fingerprint &fingerprint) {
  const auto it = Positions.find(fingerprint);
  if (it == Positions.end())
    return;
  MostRecentlyUsedFirst.erase(it->second);
  Positions.erase(it);
}

bool FingerprintLruSet::contains(const Fingerprint &fingerprint) const {
  return Positions.contains(fingerprint);
}

} // namespace savorytrestle::core
