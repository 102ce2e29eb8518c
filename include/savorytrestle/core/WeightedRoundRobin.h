#ifndef SAVORYTRESTLE_CORE_WEIGHTED_ROUND_ROBIN_H
#define SAVORYTRESTLE_CORE_WEIGHTED_ROUND_ROBIN_H

/// @file
/// @brief Distributes requests over the parts of a traffic split by weight,
/// which must hold over few requests too.

#include <cstddef>
#include <vector>

namespace savorytrestle::core {

/// @brief Smooth weighted round robin: over any run of requests, each part's
/// share deviates from its weight by less than one request per part.
class WeightedRoundRobin {
public:
  /// @brief Chooses the part for the next request. O(parts).
  /// @param weights of the parts; a change of their number resets the state
  /// @param start uniform random number in [0, 1), which selects the position
  /// after a reset. Hosts that all start with the same part would send it far
  /// more than its share, as each of many hosts gets few requests.
  /// @return index of the part; 0 when no weight is positive
  std::size_t next(const std::vector<double> &weights, double start = 0);

private:
  std::size_t advance(const std::vector<double> &weights);

  std::vector<double> Credits;
};

} // namespace savorytrestle::core

#endif
