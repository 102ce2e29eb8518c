#include "savorytrestle/core/RelayPolicy.h"

namespace savorytrestle::core {

namespace {

/// With fewer shards than this share at hand, most parts would cross.
constexpr double FewAtHand = 0.5;
/// A domain that lacks more than a few shards would fetch parts itself.
constexpr double MostThere = 0.8;

} // namespace

std::optional<std::string> relayDomain(const std::string &own,
                                       const ShardsByDomain &near,
                                       std::size_t total) {
  const auto share = [total](std::size_t shards) {
    return static_cast<double>(shards) / static_cast<double>(total);
  };
  // A single part costs no more to fetch than a merged answer.
  if (total < 2)
    return std::nullopt;
  if (const auto it = near.find(own);
      it != near.end() && share(it->second) >= FewAtHand)
    return std::nullopt;
  const std::string *best = nullptr;
  std::size_t most = 0;
  for (const auto &[domain, shards] : near)
    if (domain != own && shards > most) {
      best = &domain;
      most = shards;
    }
  if (best == nullptr || share(most) < MostThere)
    return std::nullopt;
  return *best;
}

} // namespace savorytrestle::core
