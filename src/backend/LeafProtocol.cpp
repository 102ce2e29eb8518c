#include "backend/LeafProtocol.h"

#include "support/BoundedJson.h"

#include <tl/expected.hpp>

namespace savorytrestle::backend {

using core::AttemptFailure;
using nlohmann::json;

namespace {

constexpr int StatusOk = 200;
constexpr int StatusConflict = 409;
constexpr int StatusUnavailable = 503;

/// Reads an unsigned field; nothing when absent or of another type.
template <typename T>
std::optional<T> unsignedField(const json &object, const char *key) {
  const auto it = object.find(key);
  if (it == object.end() || !it->is_number_unsigned())
    return std::nullopt;
  return it->get<T>();
}

std::optional<core::LoadReport> readLoad(const json &object) {
  const auto it = object.find("load");
  if (it == object.end() || !it->is_object())
    return std::nullopt;
  core::LoadReport load;
  load.Busy = unsignedField<std::uint32_t>(*it, "busy").value_or(0);
  load.Queued = unsignedField<std::uint32_t>(*it, "queued").value_or(0);
  if (const auto flag = it->find("draining");
      flag != it->end() && flag->is_boolean())
    load.Draining = flag->get<bool>();
  return load;
}

} // namespace

// The caller's query was parsed once when it was received. It is inserted as
// text so that a fan-out to hundreds of leaves does not serialize it for each
// of them.
std::string encode(const SearchMessage &message) {
  return R"({"request_id":)" + json(message.RequestId).dump() +
         R"(,"attempt":)" + std::to_string(message.Attempt) +
         R"(,"index_version":)" + std::to_string(message.Version) +
         R"(,"shard":)" + std::to_string(message.Shard) + R"(,"deadline_ms":)" +
         std::to_string(message.Deadline.count()) + R"(,"query":)" +
         message.Query + "}";
}

std::string encode(const WriteMessage &message) {
  return R"({"request_id":)" + json(message.RequestId).dump() + R"(,"key":)" +
         json(message.Key).dump() + R"(,"deadline_ms":)" +
         std::to_string(message.Deadline.count()) + R"(,"body":)" +
         message.Body + "}";
}

std::string encodeCancel(const std::string &requestId,
                         core::AttemptId attempt) {
  return json{{"request_id", requestId}, {"attempt", attempt}}.dump();
}

SearchOutcome decodeSearch(int status, const std::string &body,
                           const std::string &requestId) {
  if (status != StatusOk)
    return tl::unexpected(decodeRefusal(status, body));
  json parsed = support::parseJsonOrDiscarded(body);
  if (!parsed.is_object() || !parsed.contains("request_id") ||
      parsed["request_id"] != requestId || !parsed.contains("rows") ||
      !parsed["rows"].is_array())
    return tl::unexpected(AttemptFailure::Malformed);
  const auto attempt = unsignedField<core::AttemptId>(parsed, "attempt");
  const auto shard = unsignedField<core::ShardIndex>(parsed, "shard");
  const auto version =
      unsignedField<core::IndexVersion>(parsed, "index_version");
  const auto shardCount = unsignedField<std::uint32_t>(parsed, "shard_count");
  const auto rowCount = unsignedField<std::uint32_t>(parsed, "row_count");
  if (!attempt || !shard || !version || !shardCount || !rowCount)
    return tl::unexpected(AttemptFailure::Malformed);
  core::LeafReply reply;
  reply.Id = *attempt;
  reply.Shard = *shard;
  reply.Version = *version;
  reply.ShardCount = *shardCount;
  reply.RowCount = *rowCount;
  reply.Load = readLoad(parsed);
  for (auto &row : parsed["rows"])
    reply.Rows.push_back(std::move(row));
  return reply;
}

AttemptFailure decodeRefusal(int status, const std::string &body) {
  if (status == StatusConflict)
    return AttemptFailure::WrongVersion;
  if (status != StatusUnavailable)
    return AttemptFailure::Malformed;
  const json parsed = support::parseJsonOrDiscarded(body);
  if (parsed.is_object() && parsed.contains("error") &&
      parsed["error"] == "draining")
    return AttemptFailure::Draining;
  return AttemptFailure::Shed;
}

bool statesNotRun(int status, const std::string &body) {
  if (status != StatusUnavailable)
    return false;
  const json parsed = support::parseJsonOrDiscarded(body);
  if (!parsed.is_object())
    return false;
  const auto error = parsed.find("error");
  return error != parsed.end() && (*error == "shed" || *error == "draining");
}

AttemptFailure toAttemptFailure(CallFailure failure) {
  switch (failure) {
  case CallFailure::NotSent:
    return AttemptFailure::ConnectionRefused;
  case CallFailure::ConnectionLost:
    return AttemptFailure::ConnectionLost;
  case CallFailure::Expired:
    break;
  }
  return AttemptFailure::Expired;
}

std::optional<LeafStatus> decodeStatus(const std::string &body) {
  const json parsed = support::parseJsonOrDiscarded(body);
  if (!parsed.is_object() || !parsed.contains("indexes") ||
      !parsed["indexes"].is_array())
    return std::nullopt;
  LeafStatus status;
  status.Draining = parsed.contains("state") && parsed["state"] == "draining";
  status.Incarnation = unsignedField<std::uint64_t>(parsed, "incarnation");
  status.Load = readLoad(parsed).value_or(core::LoadReport{});
  for (const auto &item : parsed["indexes"]) {
    if (!item.is_object())
      return std::nullopt;
    const auto version = unsignedField<core::IndexVersion>(item, "version");
    const auto shard = unsignedField<core::ShardIndex>(item, "shard");
    const auto count = unsignedField<std::uint32_t>(item, "shard_count");
    if (!version || !shard || !count)
      return std::nullopt;
    status.Indexes.push_back({*version, *shard, *count});
  }
  return status;
}

} // namespace savorytrestle::backend
