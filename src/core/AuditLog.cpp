#include "savorytrestle/core/AuditLog.h"

namespace savorytrestle::core {

namespace {

using nlohmann::json;

/// Value of a field; a default value if it is absent or of another type.
template <typename T> T readField(const json &item, const char *key) {
  const auto it = item.find(key);
  if (it == item.end())
    return T{};
  if constexpr (std::is_same_v<T, std::string>)
    return it->is_string() ? it->get<T>() : T{};
  else
    return it->is_number_integer() ? it->get<T>() : T{};
}

json valueOrNull(const json &item, const char *key) {
  const auto it = item.find(key);
  return it == item.end() ? json() : *it;
}

} // namespace

json toJson(const AuditEntry &entry) {
  json items = json::array();
  for (const auto &item : entry.Items)
    items.push_back({{"path", item.Path},
                     {"key", item.Key},
                     {"old", item.Old},
                     {"new", item.New}});
  return {{"revision", entry.Revision},
          {"from_revision", entry.FromRevision},
          {"at_ms", entry.RequestedAt.time_since_epoch().count()},
          {"actor", entry.Actor},
          {"change_id", entry.ChangeId},
          {"items", std::move(items)}};
}

Result<AuditEntry> auditEntryFromJson(const json &item) {
  const auto items = item.is_object() ? item.find("items") : item.end();
  if (!item.is_object() || items == item.end() || !items->is_array())
    return makeError(ErrorCode::InvalidSettings,
                     "audit entry is not a JSON object with an items array");
  AuditEntry entry;
  entry.Revision = readField<std::uint64_t>(item, "revision");
  entry.FromRevision = readField<std::uint64_t>(item, "from_revision");
  entry.RequestedAt = WallTime(
      std::chrono::milliseconds(readField<std::int64_t>(item, "at_ms")));
  entry.Actor = readField<std::string>(item, "actor");
  entry.ChangeId = readField<std::string>(item, "change_id");
  for (const auto &it : *items)
    if (it.is_object())
      entry.Items.push_back({readField<std::string>(it, "path"),
                             readField<std::string>(it, "key"),
                             valueOrNull(it, "old"), valueOrNull(it, "new")});
  return entry;
}

std::string dumpJson(const json &value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace savorytrestle::core
