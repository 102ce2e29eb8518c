#ifndef SAVORYTRESTLE_CORE_KEYS_KEY_RING_H
#define SAVORYTRESTLE_CORE_KEYS_KEY_RING_H

/// @file
/// @brief The keys of all workspaces, and how a caller presents one.

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "savorytrestle/core/ServingConfig.h"

namespace savorytrestle::core {

/// @brief Longest key that a configuration or a caller may name, in bytes.
inline constexpr std::size_t MaxKeyBytes = 256;

/// @brief Secret of one process under which it hashes keys.
using KeyRingSecret = std::array<std::uint8_t, 32>;

/// @brief Finds the workspace that holds a key. It holds only keyed hashes of
/// the keys (HMAC-SHA-256), so that neither the time of a lookup nor the
/// contents of its memory tell a caller anything about a key.
class KeyRing {
public:
  /// @brief Makes a ring without keys.
  KeyRing() = default;

  /// @brief Makes the ring of a configuration. O(keys).
  /// @param secret the process's secret
  /// @param config must outlive the ring
  KeyRing(const KeyRingSecret &secret, const ServingConfig &config);

  /// @brief Returns the workspace that holds a key; null if none does. O(1).
  const WorkspaceRule *find(std::string_view key) const;

  /// @brief Number of keys.
  std::size_t size() const { return ByDigest.size(); }

private:
  using Digest = std::array<std::uint8_t, 32>;
  struct DigestHash {
    std::size_t operator()(const Digest &digest) const;
  };
  struct DigestEqual {
    bool operator()(const Digest &a, const Digest &b) const;
  };

  Digest digestOf(std::string_view key) const;

  KeyRingSecret Secret{};
  std::unordered_map<Digest, const WorkspaceRule *, DigestHash, DigestEqual>
      ByDigest;
};

/// @brief Whether the value of an Authorization header has the scheme "Token".
bool hasTokenScheme(std::string_view authorization);

/// @brief Parses the value of an Authorization header, "Token KEY".
/// @return the key; nothing if the scheme is another one, or the key is empty,
/// too long or has spaces in it
std::optional<std::string_view> parseTokenKey(std::string_view authorization);

/// @brief Why the workspaces of a configuration are invalid, without any key.
/// @return nothing if they are valid
std::optional<std::string> findWorkspaceError(const ServingConfig &config);

} // namespace savorytrestle::core

#endif
