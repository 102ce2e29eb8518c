#ifndef SAVORYTRESTLE_CORE_PLACEMENT_EVACUATIONS_H
#define SAVORYTRESTLE_CORE_PLACEMENT_EVACUATIONS_H

/// @file
/// @brief The failure domains whose leaves get no requests by order of the
/// operators.

#include <set>
#include <string>

namespace savorytrestle::core {

/// @brief Set of evacuated failure domains. It also holds names of domains that
/// this host doesn't know, as it may learn of them later.
class Evacuations {
public:
  /// @brief What a list of evacuated domains changes.
  struct Change {
    std::set<std::string> Begun;
    std::set<std::string> Ended;
  };

  /// @brief Adds a domain. O(log n).
  /// @return whether it was not evacuated before
  bool begin(const std::string &domain) {
    return Domains.insert(domain).second;
  }

  /// @brief Removes a domain. O(log n).
  /// @return whether it was evacuated before
  bool end(const std::string &domain) { return Domains.erase(domain) > 0; }

  /// @brief Replaces all domains. O(n log n).
  /// @return the domains whose evacuation has begun or ended by this
  Change replace(std::set<std::string> domains);

  /// @brief Whether a domain is evacuated. O(log n).
  bool contains(const std::string &domain) const {
    return Domains.count(domain) > 0;
  }

  const std::set<std::string> &domains() const { return Domains; }

private:
  std::set<std::string> Domains;
};

} // namespace savorytrestle::core

#endif
