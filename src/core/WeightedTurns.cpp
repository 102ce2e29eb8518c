#include "savorytrestle/core/WeightedTurns.h"

#include <algorithm>
#include <numeric>

namespace savorytrestle::core {

std::size_t WeightedTurns::next(const std::vector<double> &weights) {
  if (Credit.size() != weights.size())
    Credit.assign(weights.size(), 0);
  std::size_t best = 0;
  for (std::size_t i = 0; i < weights.size(); ++i) {
    Credit[i] += weights[i];
    if (weights[best] <= 0 || (weights[i] > 0 && Credit[i] > Credit[best]))
      best = i;
  }
  if (!weights.empty())
    Credit[best] -= std::accumulate(weights.begin(), weights.end(), 0.0);
  return best;
}

} // namespace savorytrestle::core
