#include "hosts/PeerMessages.h"

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
               {"store_down", state.StoreDown}});
}

std::optional<PeerState> readState(const std::string &text) {
  const json parsed = json::parse(text, nullptr, false);
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
  state.StoreDown = valueOf(parsed, "store_down", false);
  return state;
}

std::string writeBlob(const TopicBlob &blob) {
  return dump({{"topic", nameOf(blob.Kind)},
               {"revision", blob.Blob.Revision},
               {"checksum", blob.Blob.Checksum},
               {"payload", blob.Blob.Payload}});
}

std::optional<TopicBlob> readBlob(const std::string &text) {
  const json parsed = json::parse(text, nullptr, false);
  if (!parsed.is_object())
    return std::nullopt;
  const auto kind = topicOf(valueOf(parsed, "topic", std::string()));
  if (!kind)
    return std::nullopt;
  TopicBlob blob{*kind, {}};
  blob.Blob.Revision = valueOf<std::uint64_t>(parsed, "revision", 0);
  blob.Blob.Checksum = valueOf<std::uint64_t>(parsed, "checksum", 0);
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
  const json parsed = json::parse(text, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("records") ||
      !parsed.at("records").is_string())
    return std::nullopt;
  return parsed.at("records").get<std::string>();
}

} // namespace savorytrestle::hosts
