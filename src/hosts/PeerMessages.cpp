#include "hosts/PeerMessages.h"

#include "support/BoundedJson.h"

#include <nlohmann/json.hpp>

namespace savorytrestle::hosts {

namespace {

using nlohmann::json;

std::string dump(const json &value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

template <typename T>
T valueOr(const json &parsed, const char *key, T fallback) {
  const auto it = parsed.find(key);
  if (it == parsed.end())
    return fallback;
  if constexpr (std::is_same_v<T, std::string>)
    return it->is_string() ? it->template get<T>() : fallback;
  else if constexpr (std::is_same_v<T, bool>)
    return it->is_boolean() ? it->template get<T>() : fallback;
  else
    return it->is_number_integer() && (it->is_number_unsigned() || *it >= 0)
               ? it->template get<T>()
               : fallback;
}

const char *topicName(Topic kind) {
  return kind == Topic::Settings ? "settings" : "hosts";
}

// A malformed delta is left empty, so the checksum does not match when it is
// applied.
core::BlobDelta parseDelta(json &parsed, const core::VersionedBlob &blob) {
  core::BlobDelta delta;
  delta.Base = valueOr<std::uint64_t>(parsed, "base", 0);
  delta.Revision = blob.Revision;
  delta.Checksum = blob.Checksum;
  if (const auto it = parsed.find("changed"); it != parsed.end())
    delta.Changed = std::move(*it);
  if (const auto it = parsed.find("removed"); it != parsed.end())
    for (const auto &name : *it)
      if (name.is_string())
        delta.Removed.push_back(name.get<std::string>());
  return delta;
}

std::optional<Topic> parseTopic(const std::string &text) {
  if (text == topicName(Topic::Settings))
    return Topic::Settings;
  if (text == topicName(Topic::Hosts))
    return Topic::Hosts;
  return std::nullopt;
}

} // namespace

std::string serializeState(const PeerState &state) {
  return dump({{"host", state.HostId},
               {"settings", state.SettingsRevision},
               {"checksum", state.SettingsChecksum},
               {"hosts", state.HostsRevision},
               {"records", state.RecordsDigest},
               {"age_ms", state.SettingsAge.count()},
               {"hosts_age_ms", state.HostsAge.count()},
               {"store_down", state.StoreDown}});
}

std::optional<PeerState> parseState(const std::string &text) {
  const json parsed = support::parseJsonOrDiscarded(text);
  if (!parsed.is_object() || !parsed.contains("age_ms"))
    return std::nullopt;
  PeerState state;
  state.HostId = valueOr(parsed, "host", std::string());
  state.SettingsRevision = valueOr<std::uint64_t>(parsed, "settings", 0);
  state.SettingsChecksum = valueOr<std::uint64_t>(parsed, "checksum", 0);
  state.HostsRevision = valueOr<std::uint64_t>(parsed, "hosts", 0);
  state.RecordsDigest = valueOr<std::uint64_t>(parsed, "records", 0);
  state.SettingsAge =
      std::chrono::milliseconds(valueOr<std::int64_t>(parsed, "age_ms", 0));
  state.HostsAge = std::chrono::milliseconds(
      valueOr<std::int64_t>(parsed, "hosts_age_ms", 0));
  state.StoreDown = valueOr(parsed, "store_down", false);
  return state;
}

std::string serializeMessage(const TopicMessage &message) {
  json value = {{"topic", topicName(message.Kind)},
                {"revision", message.Blob.Revision},
                {"checksum", message.Blob.Checksum}};
  if (message.Delta) {
    value["base"] = message.Delta->Base;
    value["changed"] = message.Delta->Changed;
    value["removed"] = message.Delta->Removed;
  } else {
    value["payload"] = message.Blob.Payload;
  }
  return dump(value);
}

std::optional<TopicMessage> parseMessage(const std::string &text) {
  json parsed = support::parseJsonOrDiscarded(text);
  if (!parsed.is_object())
    return std::nullopt;
  const auto kind = parseTopic(valueOr(parsed, "topic", std::string()));
  if (!kind)
    return std::nullopt;
  TopicMessage message{*kind, {}, std::nullopt};
  message.Blob.Revision = valueOr<std::uint64_t>(parsed, "revision", 0);
  message.Blob.Checksum = valueOr<std::uint64_t>(parsed, "checksum", 0);
  if (parsed.contains("base"))
    message.Delta = parseDelta(parsed, message.Blob);
  else
    message.Blob.Payload = valueOr(parsed, "payload", std::string());
  return message;
}

std::string serializeRevision(Topic kind, std::uint64_t revision) {
  return dump({{"topic", topicName(kind)}, {"revision", revision}});
}

std::string serializeRecords(const std::string &records) {
  return dump({{"records", records}});
}

std::optional<std::string> parseRecords(const std::string &text) {
  const json parsed = support::parseJsonOrDiscarded(text);
  if (!parsed.is_object() || !parsed.contains("records") ||
      !parsed.at("records").is_string())
    return std::nullopt;
  return parsed.at("records").get<std::string>();
}

} // namespace savorytrestle::hosts
