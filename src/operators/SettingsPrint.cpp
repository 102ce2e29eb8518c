#include "operators/SettingsPrint.h"

#include <ctime>

#include "savorytrestle/core/AuditLog.h"

namespace savorytrestle::operators {

namespace {

using nlohmann::json;

std::string textOf(const json &value) {
  if (value.is_null())
    return "(none)";
  return value.is_string() ? value.get<std::string>() : core::dumpJson(value);
}

std::string fieldOf(const json &object, const char *key) {
  const auto it = object.is_object() ? object.find(key) : object.end();
  return object.is_object() && it != object.end() ? textOf(*it) : "";
}

json listOf(const json &object, const char *key) {
  const auto it = object.find(key);
  return it == object.end() || !it->is_array() ? json::array() : *it;
}

void printItem(const json &item, std::ostream &out) {
  const auto key = fieldOf(item, "key");
  out << "  " << fieldOf(item, "path") << (key.empty() ? "" : " " + key) << ": "
      << fieldOf(item, "old") << " -> " << fieldOf(item, "new") << "\n";
}

std::string timeOf(const json &entry) {
  const auto it = entry.find("at_ms");
  if (it == entry.end() || !it->is_number_integer())
    return "";
  const std::time_t seconds = it->get<std::int64_t>() / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char buf[32];
  const auto n = std::strftime(buf, sizeof(buf), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return {buf, n};
}

void printEntry(const json &entry, std::ostream &out) {
  out << "revision " << fieldOf(entry, "revision") << " from "
      << fieldOf(entry, "from_revision") << " at " << timeOf(entry) << " by "
      << fieldOf(entry, "actor") << ", change " << fieldOf(entry, "change_id")
      << "\n";
  for (const auto &item : listOf(entry, "items"))
    printItem(item, out);
}

void printNodes(const json &nodes, std::ostream &out) {
  for (const auto &[path, overrides] : nodes.items()) {
    out << path << "\n";
    for (const auto &[key, value] : overrides.items())
      out << "  " << key << ": " << textOf(value) << "\n";
  }
}

void printHosts(const json &reply, std::ostream &out) {
  for (const auto &host : listOf(reply, "hosts"))
    out << fieldOf(host, "host") << " revision " << fieldOf(host, "revision")
        << ", last status " << fieldOf(host, "age_ms") << " ms ago\n";
  out << "in force everywhere: " << fieldOf(reply, "in_force_everywhere")
      << "\n";
}

} // namespace

void printReply(const json &reply, std::ostream &out) {
  if (reply.contains("hosts"))
    return printHosts(reply, out);
  if (const auto it = reply.find("nodes"); it != reply.end() && it->is_object())
    return printNodes(*it, out);
  if (reply.contains("value")) {
    out << textOf(reply["value"]) << "\n";
    return;
  }
  for (const auto &item : listOf(reply, "settings"))
    out << fieldOf(item, "key") << ": " << fieldOf(item, "value") << "  (from "
        << fieldOf(item, "source") << ")\n";
  for (const auto &item : listOf(reply, "changes"))
    printItem(item, out);
  for (const auto &entry : listOf(reply, "entries"))
    printEntry(entry, out);
  if (reply.contains("outcome"))
    out << fieldOf(reply, "outcome") << ", revision "
        << fieldOf(reply, "revision")
        << (reply.contains("change_id")
                ? ", change " + fieldOf(reply, "change_id")
                : "")
        << "\n";
}

void printError(const json &reply, std::ostream &err) {
  const auto it = reply.is_object() ? reply.find("error") : reply.end();
  if (!reply.is_object() || it == reply.end()) {
    err << "the host's reply is malformed: no error object\n";
    return;
  }
  err << fieldOf(*it, "code") << ": " << fieldOf(*it, "message") << "\n";
  for (const auto &entry : listOf(reply, "since"))
    printEntry(entry, err);
}

} // namespace savorytrestle::operators
