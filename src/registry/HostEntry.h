#ifndef SAVORYTRESTLE_REGISTRY_HOST_ENTRY_H
#define SAVORYTRESTLE_REGISTRY_HOST_ENTRY_H

/// @file
/// @brief What a host tells the others of itself.

#include <string>
#include <string_view>
#include <vector>

#include "savorytrestle/core/CrashQuarantine.h"
#include "savorytrestle/core/Error.h"

namespace savorytrestle::registry {

/// @brief One host, as its item in the store names it.
struct HostEntry {
  std::string Id;
  std::string FailureDomain;
  /// Listener for callers, at which other hosts pass requests on too.
  std::string CallerAddress;
  /// Listener for other hosts; empty when it has none.
  std::string PeerAddress;
  /// What it has seen of requests that crash leaves, the newest last.
  std::vector<core::QuarantineRecord> QuarantineRecords{};
};

/// @brief The stored form, in which records bear their age.
/// @param entry the host
/// @param now the time, in the terms of the records
std::string encodeHostEntry(const HostEntry &entry, core::WallTime now);

/// @brief Reads the stored form.
/// @param id identity, from the item's key
/// @param text the stored value
/// @param now the time, in the terms of the records
/// @return the entry; or why it can't be read
core::Result<HostEntry> decodeHostEntry(const std::string &id,
                                        std::string_view text,
                                        core::WallTime now);

} // namespace savorytrestle::registry

#endif
