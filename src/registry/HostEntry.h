#ifndef SAVORYTRESTLE_REGISTRY_HOST_ENTRY_H
#define SAVORYTRESTLE_REGISTRY_HOST_ENTRY_H

/// @file
/// @brief What a host tells the others of itself.

#include <string>
#include <string_view>

#include "savorytrestle/core/Error.h"

namespace savorytrestle::registry {

/// @brief One host, as its item in the store names it.
struct HostEntry {
  std::string Id;
  std::string FailureDomain;
  /// Listener for callers, at which other hosts pass requests on too.
  std::string Callers;
};

/// @brief The stored form.
std::string encodeHostEntry(const HostEntry &entry);

/// @brief Reads the stored form.
/// @param id identity, from the item's key
/// @param text the stored value
/// @return the entry; or why it can't be read
core::Result<HostEntry> decodeHostEntry(const std::string &id,
                                        std::string_view text);

} // namespace savorytrestle::registry

#endif
