#include "savorytrestle/core/WeightedRoundRobin.h"

#include <algorithm>
#include <numeric>

namespace savorytrestle::core {

namespace {

/// Turns among which a reset selects the first one; several periods of the
/// usual weights.
constexpr double StartTurns = 1000;

} // namespace

std::size_t WeightedRoundRobin::next(const std::vector<double> &weights,
                                     double start) {
  if (Credits.size() != weights.size()) {
    Credits.assign(weights.size(), 0);
    for (auto n = static_cast<int>(start * StartTurns); n > 0; --n)
      advance(weights);
  }
  return advance(weights);
}

std::size_t WeightedRoundRobin::advance(const std::vector<double> &weights) {
  std::size_t best = 0;
  for (std::size_t i = 0; i < weights.size(); ++i) {
    Credits[i] += weights[i];
    if (weights[best] <= 0 || (weights[i] > 0 && Credits[i] > Credits[best]))
      best = i;
  }
  if (!weights.empty())
    Credits[best] -= std::accumulate(weights.begin(), weights.end(), 0.0);
  return best;
}

} // namespace savorytrestle::core
