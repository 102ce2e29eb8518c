#include "operators/AdminReplies.h"

#include <algorithm>
#include <cmath>

namespace savorytrestle::operators {

namespace {

using core::dumpJson;
using core::ErrorCode;
using nlohmann::json;
using support::HttpResponse;

constexpr std::chrono::milliseconds StoreRetryAfter{2000};

int statusFor(ErrorCode code) {
  switch (code) {
  case ErrorCode::BadRequest:
    return 400;
  case ErrorCode::Unauthorized:
    return 403;
  case ErrorCode::NotFound:
    return 404;
  case ErrorCode::Conflict:
    return 409;
  case ErrorCode::InvalidSettings:
    return 422;
  case ErrorCode::StoreUnavailable:
    return 503;
  case ErrorCode::OutcomeUnknown:
    return 504;
  default:
    return 500;
  }
}

ErrorCode codeFor(CommitOutcome outcome) {
  switch (outcome) {
  case CommitOutcome::Conflict:
    return ErrorCode::Conflict;
  case CommitOutcome::Invalid:
    return ErrorCode::InvalidSettings;
  case CommitOutcome::NotMade:
    return ErrorCode::StoreUnavailable;
  case CommitOutcome::Unknown:
    return ErrorCode::OutcomeUnknown;
  case CommitOutcome::Accepted:
    break;
  }
  return ErrorCode::Internal;
}

json errorJson(const core::Error &error) {
  json body = {{"code", core::name(error.Code)},
               {"message", error.Message},
               {"run", core::name(error.Run)}};
  if (error.RetryAfter)
    body["retry_after_ms"] = error.RetryAfter->count();
  return body;
}

HttpResponse replyWith(int status, const json &body,
                       std::optional<std::chrono::milliseconds> retryAfter) {
  HttpResponse response;
  response.Status = status;
  response.Body = dumpJson(body);
  if (retryAfter)
    response.Headers["Retry-After"] = std::to_string(
        std::chrono::ceil<std::chrono::seconds>(*retryAfter).count());
  return response;
}

} // namespace

HttpResponse jsonReply(const json &body) { return replyWith(200, body, {}); }

HttpResponse errorReply(const core::Error &error, int status) {
  core::Error shown = error;
  if (shown.Code == ErrorCode::StoreUnavailable && !shown.RetryAfter)
    shown.RetryAfter = StoreRetryAfter;
  return replyWith(status ? status : statusFor(shown.Code),
                   {{"error", errorJson(shown)}}, shown.RetryAfter);
}

HttpResponse commitReply(const CommitResult &result,
                         const std::string &changeId) {
  json body = {{"outcome", name(result.Outcome)},
               {"revision", result.Revision},
               {"change_id", changeId}};
  if (result.Outcome == CommitOutcome::Accepted)
    return jsonReply(body);
  core::Error error{
      codeFor(result.Outcome), result.Message, core::RunState::NotRun, {}};
  if (result.Outcome == CommitOutcome::Unknown)
    error.Run = core::RunState::Unknown;
  if (result.Outcome == CommitOutcome::Unknown ||
      result.Outcome == CommitOutcome::NotMade)
    error.RetryAfter = StoreRetryAfter;
  body["error"] = errorJson(error);
  if (!result.ConflictingChanges.empty())
    body["since"] = entriesJson(result.ConflictingChanges);
  return replyWith(statusFor(error.Code), body, error.RetryAfter);
}

std::vector<core::AuditEntry>
withinScope(const std::vector<core::AuditEntry> &entries,
            const core::SettingsPath &scope) {
  std::vector<core::AuditEntry> found;
  for (auto entry : entries) {
    std::erase_if(entry.Items, [&](const auto &item) {
      const auto path = core::SettingsPath::parse(item.Path);
      return !path || !path->isWithin(scope);
    });
    if (!entry.Items.empty() || scope.level() == core::SettingsLevel::Root)
      found.push_back(std::move(entry));
  }
  return found;
}

json entriesJson(const std::vector<core::AuditEntry> &entries) {
  json list = json::array();
  for (const auto &entry : entries)
    list.push_back(core::toJson(entry));
  return list;
}

json editsJson(const std::vector<core::SettingEdit> &edits,
               const core::SettingsTree &before) {
  auto changed = before;
  const auto items = core::applyEdits(changed, edits);
  if (!items)
    return json::array();
  core::AuditEntry entry;
  entry.Items = *items;
  return netChanges({entry});
}

json netChanges(const std::vector<core::AuditEntry> &entries) {
  std::map<std::pair<std::string, std::string>, std::pair<json, json>> net;
  for (auto entry = entries.rbegin(); entry != entries.rend(); ++entry)
    for (const auto &item : entry->Items) {
      const auto [it, isNew] = net.emplace(std::pair(item.Path, item.Key),
                                           std::pair(item.Old, item.New));
      if (!isNew)
        it->second.second = item.New;
    }
  json list = json::array();
  for (const auto &[where, values] : net)
    if (values.first != values.second)
      list.push_back({{"path", where.first},
                      {"key", where.second},
                      {"old", values.first},
                      {"new", values.second}});
  return list;
}

} // namespace savorytrestle::operators
