#include "savorytrestle/core/Fingerprint.h"

#include <xxhash.h>

namespace savorytrestle::core {

Fingerprint makeFingerprint(std::string_view workspace, std::string_view route,
                            std::string_view canonicalBody) {
  // Each part seeds the next, so that no two splits of the same text agree.
  const auto first = XXH3_64bits(workspace.data(), workspace.size());
  const auto second = XXH3_64bits_withSeed(route.data(), route.size(), first);
  const auto whole =
      XXH3_128bits_withSeed(canonicalBody.data(), canonicalBody.size(), second);
  return {whole.high64, whole.low64};
}

void FingerprintLruSet::insert(const Fingerprint &print) {
  if (const auto it = Places.find(print); it != Places.end()) {
    ByUse.splice(ByUse.begin(), ByUse, it->second);
    return;
  }
  ByUse.push_front(print);
  Places.emplace(print, ByUse.begin());
  if (Places.size() <= Capacity)
    return;
  Places.erase(ByUse.back());
  ByUse.pop_back();
}

void FingerprintLruSet::erase(const Fingerprint &print) {
  const auto it = Places.find(print);
  if (it == Places.end())
    return;
  ByUse.erase(it->second);
  Places.erase(it);
}

bool FingerprintLruSet::contains(const Fingerprint &print) const {
  return Places.contains(print);
}

} // namespace savorytrestle::core
