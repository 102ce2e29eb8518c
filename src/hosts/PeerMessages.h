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

/// @brief Kind of data that hosts spread by revision.
enum class Topic {
  Settings, ///< the settings tree
  Hosts,    ///< the list of slot holders
};

/// @brief State of a host, exchanged with each poll.
struct PeerState {
  std::string HostId;
  std::uint64_t SettingsRevision = 0;
  std::uint64_t SettingsChecksum = 0;
  std::uint64_t HostsRevision = 0;
  /// XXH3 of the records shared among hosts.
  std::uint64_t RecordsDigest = 0;
  /// Time since SettingsRevision was last known to be the revision in the
  /// store.
  std::chrono::milliseconds SettingsAge{0};
  /// Time since the host list of HostsRevision was last known to match the
  /// slots in the store.
  std::chrono::milliseconds HostsAge{0};
  /// Whether the host recently failed to reach the store.
  bool StoreDown = false;
};

/// @brief A revision of a topic: the whole value, a delta, or only the revision
/// number.
struct TopicMessage {
  Topic Kind = Topic::Settings;
  core::VersionedBlob Blob;
  /// If set, replaces the payload.
  std::optional<core::BlobDelta> Delta;
};

/// @brief Converts a state to JSON text.
/// @param state the state
/// @return the text
std::string serializeState(const PeerState &state);

/// @brief Parses a state.
/// @param text JSON text
/// @return the state, or nothing if the text is malformed
std::optional<PeerState> parseState(const std::string &text);

/// @brief Converts a message to JSON text.
/// @param message the message; with the delta if it is set, otherwise with the
///   payload
/// @return the text
std::string serializeMessage(const TopicMessage &message);

/// @brief Parses a message.
/// @param text JSON text
/// @return the message, with its checksum not yet verified, or nothing if the
///   text is malformed
std::optional<TopicMessage> parseMessage(const std::string &text);

/// @brief Makes the JSON text of a message that holds only a topic and a
/// revision.
/// @param kind the topic
/// @param revision the revision
/// @return the text
std::string serializeRevision(Topic kind, std::uint64_t revision);

/// @brief Wraps shared records in JSON text.
/// @param records the records, as opaque text
/// @return the text
std::string serializeRecords(const std::string &records);

/// @brief Parses shared records.
/// @param text JSON text
/// @return the records, or nothing if the text is malformed
std::optional<std::string> parseRecords(const std::string &text);

} // namespace savorytrestle::hosts

#endif
