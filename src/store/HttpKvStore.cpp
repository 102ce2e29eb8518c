#include "store/HttpKvStore.h"

#include "support/BoundedJson.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

namespace savorytrestle::store {

using core::ErrorCode;
using core::makeError;
using core::Result;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusTooMany = 429;
constexpr int StatusServerError = 500;

Result<std::vector<KvEntry>> parseEntries(const std::string &body) {
  const json parsed = support::parseJson(body);
  if (!parsed.is_array())
    return makeError(ErrorCode::OutcomeUnknown, "the store's reply is no list");
  std::vector<KvEntry> entries;
  for (const auto &item : parsed) {
    if (!item.is_object() || !item.contains("Key") ||
        !item.at("Key").is_string() || !item.contains("ModifyIndex") ||
        !item.at("ModifyIndex").is_number_unsigned())
      return makeError(ErrorCode::OutcomeUnknown,
                       "the store's entry is broken");
    KvEntry entry;
    entry.Key = item.at("Key").get<std::string>();
    entry.ModifyRevision = item.at("ModifyIndex").get<Revision>();
    if (item.contains("Value") && item.at("Value").is_string())
      absl::Base64Unescape(item.at("Value").get<std::string>(), &entry.Value);
    if (item.contains("Session") && item.at("Session").is_string())
      entry.Lease = item.at("Session").get<std::string>();
    entries.push_back(std::move(entry));
  }
  return entries;
}

} // namespace

HttpKvStore::HttpKvStore(std::string address)
    : Base("http://" + std::move(address)) {}

Result<support::HttpReply> HttpKvStore::call(const std::string &method,
                                             const std::string &pathAndQuery,
                                             const std::string &body,
                                             milliseconds timeout) {
  support::HttpCall request;
  request.Method = method;
  request.Url = Base + pathAndQuery;
  request.Body = body;
  request.Timeout = timeout;
  auto reply = Http.send(request);
  if (!reply)
    return reply;
  // The service refuses with 429 before it acts; a 500 leaves it open.
  if (reply->Status == StatusTooMany)
    return makeError(ErrorCode::StoreUnavailable, "the store is over its rate");
  if (reply->Status >= StatusServerError)
    return makeError(ErrorCode::OutcomeUnknown,
                     "the store failed: " + reply->Body);
  return reply;
}

Result<bool> HttpKvStore::callForFlag(const std::string &method,
                                      const std::string &pathAndQuery,
                                      const std::string &body,
                                      milliseconds timeout) {
  auto reply = call(method, pathAndQuery, body, timeout);
  if (!reply)
    return tl::unexpected(reply.error());
  if (reply->Status != StatusOk)
    return false;
  return reply->Body.rfind("true", 0) == 0;
}

Result<std::optional<KvEntry>> HttpKvStore::get(const std::string &key,
                                                milliseconds timeout) {
  auto reply = call("GET", "/v1/kv/" + key, "", timeout);
  if (!reply)
    return tl::unexpected(reply.error());
  if (reply->Status == StatusNotFound)
    return std::optional<KvEntry>();
  auto entries = parseEntries(reply->Body);
  if (!entries)
    return tl::unexpected(entries.error());
  if (entries->empty())
    return std::optional<KvEntry>();
  return std::optional<KvEntry>(std::move(entries->front()));
}

Result<std::vector<KvEntry>> HttpKvStore::list(const std::string &prefix,
                                               milliseconds timeout) {
  auto reply = call("GET", "/v1/kv/" + prefix + "?recurse", "", timeout);
  if (!reply)
    return tl::unexpected(reply.error());
  if (reply->Status == StatusNotFound)
    return std::vector<KvEntry>();
  return parseEntries(reply->Body);
}

Result<bool> HttpKvStore::compareAndSet(const std::string &key,
                                        const std::string &value,
                                        Revision revision,
                                        milliseconds timeout) {
  return callForFlag("PUT",
                     "/v1/kv/" + key + "?cas=" + std::to_string(revision),
                     value, timeout);
}

Result<bool> HttpKvStore::compareAndDelete(const std::string &key,
                                           Revision revision,
                                           milliseconds timeout) {
  return callForFlag("DELETE",
                     "/v1/kv/" + key + "?cas=" + std::to_string(revision), "",
                     timeout);
}

Result<WatchResult> HttpKvStore::watch(const std::string &prefix,
                                       Revision after, milliseconds wait) {
  const std::string query = "?recurse&index=" + std::to_string(after) +
                            "&wait=" + std::to_string(wait.count()) + "ms";
  auto reply = call("GET", "/v1/kv/" + prefix + query, "",
                    2 * wait + milliseconds(1000));
  if (!reply)
    return tl::unexpected(reply.error());
  WatchResult result;
  if (const auto it = reply->Headers.find("x-consul-index");
      it != reply->Headers.end())
    result.Index = std::strtoull(it->second.c_str(), nullptr, 10);
  if (reply->Status == StatusNotFound)
    return result;
  auto entries = parseEntries(reply->Body);
  if (!entries)
    return tl::unexpected(entries.error());
  result.Entries = std::move(*entries);
  return result;
}

Result<LeaseId> HttpKvStore::openLease(milliseconds timeToLive,
                                       milliseconds timeout) {
  const json body = {{"TTL", std::to_string(timeToLive.count()) + "ms"},
                     {"Behavior", "delete"},
                     {"LockDelay", "0s"}};
  auto reply = call("PUT", "/v1/session/create", body.dump(), timeout);
  if (!reply)
    return tl::unexpected(reply.error());
  const json parsed = support::parseJson(reply->Body);
  if (!parsed.is_object() || !parsed.contains("ID") ||
      !parsed.at("ID").is_string())
    return makeError(ErrorCode::OutcomeUnknown, "the store gave no lease");
  return parsed.at("ID").get<std::string>();
}

Result<bool> HttpKvStore::renewLease(const LeaseId &lease,
                                     milliseconds timeout) {
  auto reply = call("PUT", "/v1/session/renew/" + lease, "", timeout);
  if (!reply)
    return tl::unexpected(reply.error());
  return reply->Status == StatusOk;
}

Result<bool> HttpKvStore::endLease(const LeaseId &lease, milliseconds timeout) {
  return callForFlag("PUT", "/v1/session/destroy/" + lease, "", timeout);
}

Result<bool> HttpKvStore::acquire(const std::string &key,
                                  const std::string &value,
                                  const LeaseId &lease, milliseconds timeout) {
  return callForFlag("PUT", "/v1/kv/" + key + "?acquire=" + lease, value,
                     timeout);
}

} // namespace savorytrestle::store
