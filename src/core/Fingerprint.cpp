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
  if (const auto it = Positions.find(print); it != Positions.end()) {
    NewestFirst.splice(NewestFirst.begin(), NewestFirst, it->second);
    return;
  }
  NewestFirst.push_front(print);
  Positions.emplace(print, NewestFirst.begin());
  if (Positions.size() <= Capacity)
    return;
  Positions.erase(NewestFirst.back());
  NewestFirst.pop_back();
}

void FingerprintLruSet::erase(const Fingerprint &print) {
  const auto it = Positions.find(print);
  if (it == Positions.end())
    return;
  NewestFirst.erase(it->second);
  Positions.erase(it);
}

bool FingerprintLruSet::contains(const Fingerprint &print) const {
  return Positions.contains(print);
}

} // namespace savorytrestle::core
