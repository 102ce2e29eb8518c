#ifndef SAVORYTRESTLE_CORE_FINGERPRINT_H
#define SAVORYTRESTLE_CORE_FINGERPRINT_H

/// @file
/// @brief Identity of a request's content, the same on every host.

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace savorytrestle::core {

/// @brief 128-bit hash of what a request asks for.
struct Fingerprint {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;

  bool operator==(const Fingerprint &) const = default;

  /// @brief Total order, for tables in a fixed order.
  /// @param other the other fingerprint
  /// @return whether this one comes first
  bool operator<(const Fingerprint &other) const {
    return High != other.High ? High < other.High : Low < other.Low;
  }
};

/// @brief Hash for unordered containers.
struct FingerprintHash {
  /// @brief Hashes a fingerprint.
  /// @param fingerprint the fingerprint
  /// @return its low half, which is uniform already
  std::size_t operator()(const Fingerprint &fingerprint) const {
    return fingerprint.Low;
  }
};

/// @brief Makes the fingerprint of a request.
/// @param workspace the workspace
/// @param route the route
/// @param canonicalBody the body with sorted keys and without what changes when
/// it is sent again (request id, deadline)
/// @return the fingerprint; O(body)
Fingerprint makeFingerprint(std::string_view workspace, std::string_view route,
                            std::string_view canonicalBody);

/// @brief Bounded set that forgets what was used least recently.
class FingerprintLruSet {
public:
  /// @brief An empty set.
  /// @param capacity most fingerprints kept; about 100 bytes each
  explicit FingerprintLruSet(std::size_t capacity) : Capacity(capacity) {}

  /// @brief Adds a fingerprint or marks it as used.
  /// @param fingerprint the fingerprint
  void insert(const Fingerprint &fingerprint);

  /// @brief Forgets a fingerprint.
  /// @param fingerprint the fingerprint
  void erase(const Fingerprint &fingerprint);

  /// @brief Whether a fingerprint is kept.
  /// @param fingerprint the fingerprint
  /// @return true when kept; O(1)
  bool contains(const Fingerprint &fingerprint) const;

  /// @brief Number of fingerprints kept.
  /// @return the number
  std::size_t size() const { return Positions.size(); }

private:
  std::size_t Capacity;
  std::list<Fingerprint> NewestFirst;
  std::unordered_map<Fingerprint, std::list<Fingerprint>::iterator,
                     FingerprintHash>
      Positions;
};

} // namespace savorytrestle::core

#endif
