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
T valueOf(const json &parsed, const char *key, T otherwise) {
  const auto it = parsed.find(key);
  if (it == parsed.end())
    return otherwise;
  if constexpr (std::is_same_v<T, std::string>)
    return it->is_string() ? it->template get<T>() : otherwise;
  else if constexpr (std::is_same_v<T, bool>)
    return it->is_boolean() ? it->template get<T>() : otherwise;
  else
    return it->is_number_integer() && (it->is_number_unsigned() || *it >= 0)
               ? it->template get<T>()
               : otherwise;
}

const char *nameOf(Topic kind) {
  return kind == Topic::Settings ? "settings" : "hosts";
}

// A malformed delta stays empty and fails the checksum when it is applied.
core::BlobDelta readDelta(json &parsed, const core::VersionedBlob &blob) {
  core::BlobDelta delta;
  delta.Base = valueOf<std::uint64_t>(parsed, "base", 0);
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

std::optional<Topic> topicOf(const std::string &text) {
  if (text == nameOf(Topic::Settings))
    return Topic::Settings;
  if (text == nameOf(Topic::Hosts))
    return Topic::Hosts;
  return std::nullopt;
}

} // namespace

std::string writeState(const PeerState &state) {
  return dump({{"host", state.HostId},
               {"settings", state.SettingsRevision},
               {"checksum", state.SettingsChecksum},
               {"hosts", state.HostsRevision},
               {"records", state.RecordsDigest},
               {"age_ms", state.Age.count()},
               {"hosts_age_ms", state.HostsAge.count()},
               {"store_down", state.StoreDown}});
}

std::optional<PeerState> readState(const std::string &text) {
  const json parsed = support::parseJsonOrDiscarded(text);
  if (!parsed.is_object() || !parsed.contains("age_ms"))
    return std::nullopt;
  PeerState state;
  state.HostId = valueOf(parsed, "host", std::string());
  state.SettingsRevision = valueOf<std::uint64_t>(parsed, "settings", 0);
  state.SettingsChecksum = valueOf<std::uint64_t>(parsed, "checksum", 0);
  state.HostsRevision = valueOf<std::uint64_t>(parsed, "hosts", 0);
  state.RecordsDigest = valueOf<std::uint64_t>(parsed, "records", 0);
  state.Age =
      std::chrono::milliseconds(valueOf<std::int64_t>(parsed, "age_ms", 0));
  state.HostsAge = std::chrono::milliseconds(
      valueOf<std::int64_t>(parsed, "hosts_age_ms", 0));
  state.StoreDown = valueOf(parsed, "store_down", false);
  return state;
}

std::string writeBlob(const TopicBlob &blob) {
  json value = {{"topic", nameOf(blob.Kind)},
                {"revision", blob.Blob.Revision},
                {"checksum", blob.Blob.Checksum}};
  if (blob.Delta) {
    value["base"] = blob.Delta->Base;
    value["changed"] = blob.Delta->Changed;
    value["removed"] = blob.Delta->Removed;
  } else {
    value["payload"] = blob.Blob.Payload;
  }
  return dump(value);
}

std::optional<TopicBlob> readBlob(const std::string &text) {
  json parsed = support::parseJsonOrDiscarded(text);
  if (!parsed.is_object())
    return std::nullopt;
  const auto kind = topicOf(valueOf(parsed, "topic", std::string()));
  if (!kind)
    return std::nullopt;
  TopicBlob blob{*kind, {}, std::nullopt};
  blob.Blob.Revision = valueOf<std::uint64_t>(parsed, "revision", 0);
  blob.Blob.Checksum = valueOf<std::uint64_t>(parsed, "checksum", 0);
  if (parsed.contains("base"))
    blob.Delta = readDelta(parsed, blob.Blob);
  else
    blob.Blob.Payload = valueOf(parsed, "payload", std::string());
  return blob;
}

std::string writeMark(Topic kind, std::uint64_t revision) {
  return dump({{"topic", nameOf(kind)}, {"revision", revision}});
}

std::string writeRecords(const std::string &records) {
  return dump({{"records", records}});
}

std::optional<std::string> readRecords(const std::string &text) {
  const json parsed = support::parseJsonOrDiscarded(text);
  if (!parsed.is_object() || !parsed.contains("records") ||
      !parsed.at("records").is_string())
    return std::nullopt;
  return parsed.at("records").get<std::string>();
}

} // namespace savorytrestle::hosts
