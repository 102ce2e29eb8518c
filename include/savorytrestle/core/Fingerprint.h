#ifndef SAVORYTRESTLE_CORE_FINGERPRINT_H
#define SAVORYTRESTLE_CORE_FINGERPRINT_H

/// @file
/// @brief Hash of a request's content, the same on every host.

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace savorytrestle::core {

/// @brief 128-bit hash of workspace, route and body of a request.
struct Fingerprint {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;

  bool operator==(const Fingerprint &) const = default;

  /// @brief Total order, for sorted containers.
  /// @param other the other fingerprint
  /// @return whether this fingerprint sorts before the other
  bool operator<(const Fingerprint &other) const {
    return High != other.High ? High < other.High : Low < other.Low;
  }
};

/// @brief Hash for unordered containers.
struct FingerprintHash {
  /// @brief Hashes a fingerprint.
  /// @param fingerprint the fingerprint
  /// @return the low half, which is already uniformly distributed
  std::size_t operator()(const Fingerprint &fingerprint) const {
    return fingerprint.Low;
  }
};

/// @brief Computes the fingerprint of a request.
/// @param workspace the workspace
/// @param route the route
/// @param canonicalBody the body with sorted keys, without the fields that
/// differ between resends (request id, deadline)
/// @return the fingerprint; O(body)
Fingerprint makeFingerprint(std::string_view workspace, std::string_view route,
                            std::string_view canonicalBody);

/// @brief Bounded set that evicts the least recently used fingerprint.
class FingerprintLruSet {
public:
  /// @brief Makes an empty set.
  /// @param capacity maximum number of fingerprints; about 100 bytes each
  explicit FingerprintLruSet(std::size_t capacity) : Capacity(capacity) {}

  /// @brief Adds a fingerprint, or marks it as most recently used.
  /// @param fingerprint the fingerprint
  void insert(const Fingerprint &fingerprint);

  /// @brief Removes a fingerprint.
  /// @param fingerprint the fingerprint
  void erase(const Fingerprint &fingerprint);

  /// @brief Whether the set holds a fingerprint; does not mark it as used.
  /// @param fingerprint the fingerprint
  /// @return true if present; O(1)
  bool contains(const Fingerprint &fingerprint) const;

  /// @brief Number of fingerprints in the set.
  /// @return the number
  std::size_t size() const { return Positions.size(); }

private:
  std::size_t Capacity;
  std::list<Fingerprint> MostRecentlyUsedFirst;
  std::unordered_map<Fingerprint, std::list<Fingerprint>::iterator,
                     FingerprintHash>
      Positions;
};

} // namespace savorytrestle::core

#endif
