#ifndef SAVORYTRESTLE_HOSTS_PEER_MESSAGES_H
#define SAVORYTRESTLE_HOSTS_PEER_MESSAGES_H

/// @file
/// @brief Messages between hosts, and their JSON form.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "savorytrestle/core/BlobDelta.h"
#include "savorytrestle/core/VersionedBlob.h"

namespace savorytrestle::hosts {

/// @brief What a revisioned value holds.
enum class Topic {
  Settings, ///< the settings tree
  Hosts,    ///< the hosts that hold slots
};

/// @brief A host's state, exchanged with each ask.
struct PeerState {
  std::string HostId;
  std::uint64_t SettingsRevision = 0;
  std::uint64_t SettingsChecksum = 0;
  std::uint64_t HostsRevision = 0;
  /// XXH3 of the shared records.
  std::uint64_t RecordsDigest = 0;
  /// How long ago the store's state was known to be no newer than
  /// SettingsRevision.
  std::chrono::milliseconds SettingsAge{0};
  /// How long ago the store's slots were known to be no newer than
  /// HostsRevision.
  std::chrono::milliseconds HostsAge{0};
  /// Whether the host failed to reach the store of late.
  bool StoreDown = false;
};

/// @brief A revisioned value, or a request for it.
struct TopicMessage {
  Topic Kind = Topic::Settings;
  core::VersionedBlob Blob;
  /// When set it stands in for the payload.
  std::optional<core::BlobDelta> Delta;
};

/// @brief Writes a state as JSON text.
/// @param state the state
/// @return its text
std::string serializeState(const PeerState &state);

/// @brief Reads a state.
/// @param text JSON text
/// @return the state, or nothing when malformed
std::optional<PeerState> parseState(const std::string &text);

/// @brief Writes a value as JSON text.
/// @param blob the value and its topic
/// @return its text
std::string serializeMessage(const TopicMessage &blob);

/// @brief Reads a value.
/// @param text JSON text
/// @return the value, not yet checked against its checksum, or nothing when
///   malformed
std::optional<TopicMessage> parseMessage(const std::string &text);

/// @brief Writes a message that only names a topic and a revision.
/// @param kind the topic
/// @param revision the revision
/// @return its text
std::string serializeRevision(Topic kind, std::uint64_t revision);

/// @brief Writes shared records.
/// @param records the records, opaque here
/// @return its text
std::string serializeRecords(const std::string &records);

/// @brief Reads shared records.
/// @param text JSON text
/// @return the records, or nothing when malformed
std::optional<std::string> parseRecords(const std::string &text);

} // namespace savorytrestle::hosts

#endif
