#include "savorytrestle/core/rates/RateLenders.h"

#include <algorithm>
#include <array>
#include <utility>

#include <xxhash.h>

namespace savorytrestle::core {

namespace {

constexpr std::size_t MaxLenders = 3;
/// The first lender gets most requests for grants, so it owns most. Two thirds
/// or half of the limit remain if one of the others is lost.
constexpr std::array<double, MaxLenders> Shares{0.5, 0.3, 0.2};
constexpr std::array<double, 2> SharesOfTwo{0.6, 0.4};

} // namespace

std::vector<std::string> chooseLenders(std::string_view workspace,
                                       const std::vector<std::string> &hosts) {
  std::vector<std::pair<XXH64_hash_t, const std::string *>> scores;
  scores.reserve(hosts.size());
  for (const std::string &host : hosts)
    scores.emplace_back(
        XXH3_64bits_withSeed(workspace.data(), workspace.size(),
                             XXH3_64bits(host.data(), host.size())),
        &host);
  const std::size_t n = std::min(MaxLenders, scores.size());
  std::partial_sort(scores.begin(), scores.begin() + static_cast<long>(n),
                    scores.end(), [](const auto &a, const auto &b) {
                      return a.first != b.first ? a.first > b.first
                                                : *a.second < *b.second;
                    });
  std::vector<std::string> lenders;
  for (std::size_t i = 0; i < n; ++i)
    lenders.push_back(*scores[i].second);
  return lenders;
}

double lenderShare(std::size_t rank, std::size_t lenders) {
  if (rank >= std::min(lenders, MaxLenders))
    return 0;
  if (lenders == 1)
    return 1;
  return lenders == 2 ? SharesOfTwo[rank] : Shares[rank];
}

void OwnedShare::set(double share, Duration wait, TimePoint now) {
  usable(now);
  if (share == Target)
    return;
  Target = share;
  Usable = std::min(Usable, Target);
  if (Usable < Target)
    RaiseAt = std::max(RaiseAt, now + wait);
}

double OwnedShare::usable(TimePoint now) {
  if (now >= RaiseAt)
    Usable = Target;
  return Usable;
}

} // namespace savorytrestle::core
