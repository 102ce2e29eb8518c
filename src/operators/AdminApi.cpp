#include "operators/AdminApi.h"

#include <charconv>
#include <random>

#include "operators/AdminReplies.h"
#include "savorytrestle/core/SettingsYaml.h"
#include "support/BoundedJson.h"
#include "support/Log.h"

namespace savorytrestle::operators {

namespace {

using core::ErrorCode;
using core::makeError;
using core::SettingsPath;
using nlohmann::json;
using support::HttpRequest;
using support::HttpResponse;

constexpr std::size_t DefaultHistoryEntries = 20;
constexpr std::size_t MaxHistoryEntries = 500;
constexpr std::size_t MaxChangeIdLength = 128;
constexpr int Unauthenticated = 401;

HttpResponse makeErrorReply(ErrorCode code, const std::string &message,
                            int status = 0) {
  return errorReply(core::Error{code, message, core::RunState::NotRun, {}},
                    status);
}

std::optional<std::uint64_t>
parseNumber(const std::optional<std::string> &text) {
  std::uint64_t value = 0;
  if (!text)
    return std::nullopt;
  const char *end = text->data() + text->size();
  const auto [it, ec] = std::from_chars(text->data(), end, value);
  return ec == std::errc() && it == end ? std::optional(value) : std::nullopt;
}

std::string newChangeId() {
  std::random_device random;
  std::uint64_t value = random();
  value = (value << 32U) | random();
  return core::contentHash(std::to_string(value)).substr(0, 16);
}

bool isChangeId(const std::string &text) {
  return !text.empty() && text.size() <= MaxChangeIdLength &&
         text.find_first_not_of(
             "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
             "._:-") == std::string::npos;
}

/// Parses the query parameters common to all changes: change id, base revision
/// and whether the change may have been sent before.
core::Result<core::ChangeRequest> parseChangeRequest(const HttpRequest &http) {
  core::ChangeRequest request;
  const auto id = http.parameter("change_id");
  request.ChangeId = id.value_or(newChangeId());
  if (!isChangeId(request.ChangeId))
    return makeError(
        ErrorCode::BadRequest,
        "change_id: expected 1 to 128 letters, digits, '.', '_', ':' or '-'");
  const auto base = http.parameter("base_revision");
  request.BaseRevision = parseNumber(base);
  if (base && !request.BaseRevision)
    return makeError(ErrorCode::BadRequest,
                     "base_revision: expected a non-negative whole number");
  // A request with a change id may be a resend unless it has resend=false.
  request.MayBeResend =
      id && http.parameter("resend").value_or("true") != "false";
  return request;
}

json effectiveJson(const core::EffectiveSetting &item) {
  return {{"key", item.Key},
          {"value", core::toJson(item.Value)},
          {"source", item.Source ? item.Source->text() : "default"}};
}

} // namespace

AdminApi::AdminApi(AdminApiOptions options, SettingsBackend backend,
                   SettingsReplica &replica)
    : Options(std::move(options)), Backend(std::move(backend)),
      Replica(replica) {}

core::Result<AdminApi::Call> AdminApi::parseCall(const Request &request,
                                                 int &status) const {
  SharedSettings current = Replica.current();
  if (!current)
    current = std::make_shared<SettingsInForce>();
  auto requester = authenticate(request.header("authorization").value_or(""),
                                Options.RootTokenHash, &current->Tree);
  if (!requester) {
    status = Unauthenticated;
    return tl::unexpected(requester.error());
  }
  auto path = SettingsPath::parse(
      request.parameter("path").value_or(requester->Scope.text()));
  if (!path) {
    path.error().Code = ErrorCode::BadRequest;
    return tl::unexpected(path.error());
  }
  if (!path->isWithin(requester->Scope))
    return makeError(ErrorCode::Unauthorized,
                     path->text() + " is outside of the operator's scope " +
                         requester->Scope.text());
  return Call{request, std::move(*requester), std::move(current),
              std::move(*path), request.parameter("key").value_or("")};
}

AdminApi::Response AdminApi::handle(const Request &request) {
  int status = 0;
  const auto call = parseCall(request, status);
  if (!call) {
    support::LogLine("admin_refused")
        .with("path", request.Path)
        .with("reason", call.error().Message);
    return errorReply(call.error(), status);
  }
  return route(*call);
}

AdminApi::Response AdminApi::route(const Call &call) {
  const auto &method = call.Http.Method;
  const auto &path = call.Http.Path;
  if (path == "/v1/settings")
    return settings(call);
  if (method == "GET" && path == "/v1/explain")
    return explain(call);
  if (method == "GET" && path == "/v1/diff")
    return diff(call);
  if (method == "GET" && path == "/v1/history")
    return history(call);
  if (method == "GET" && path == "/v1/status")
    return this->status(call);
  if (method == "POST" && path == "/v1/apply")
    return apply(call);
  if (method == "POST" && path == "/v1/validate")
    return validate(call);
  return makeErrorReply(ErrorCode::NotFound,
                        "unknown method or path: " + method + " " + path);
}

AdminApi::Response AdminApi::settings(const Call &call) {
  if (call.Http.Method == "GET")
    return read(call);
  if (call.Http.Method == "PUT")
    return put(call);
  if (call.Http.Method == "DELETE")
    return remove(call);
  return makeErrorReply(ErrorCode::BadRequest,
                        "method not allowed; expected GET, PUT or DELETE", 405);
}

AdminApi::Response AdminApi::read(const Call &call) const {
  const auto &tree = call.Current->Tree;
  if (tree.nodes().count(call.Path) == 0)
    return makeErrorReply(ErrorCode::NotFound, "no node " + call.Path.text());
  const auto revision = call.Current->Blob.Revision;
  if (call.Key.empty()) {
    json nodes = json::object();
    const json all = tree.toJson();
    for (const auto &[path, overrides] : tree.nodes())
      if (path.isWithin(call.Path))
        nodes[path.text()] = all[path.text()];
    return jsonReply({{"revision", revision}, {"nodes", std::move(nodes)}});
  }
  const auto *spec = core::findSetting(call.Key);
  if (!spec)
    return makeErrorReply(ErrorCode::NotFound, "unknown key " + call.Key);
  const auto found = tree.effectiveSetting(call.Path, *spec);
  if (!found)
    return makeErrorReply(ErrorCode::NotFound,
                          call.Key + " is not set at " + call.Path.text());
  json body = effectiveJson(*found);
  body["path"] = call.Path.text();
  body["revision"] = revision;
  return jsonReply(body);
}

AdminApi::Response AdminApi::put(const Call &call) {
  auto request = parseChangeRequest(call.Http);
  if (!request)
    return errorReply(request.error());
  if (call.Key.empty()) {
    request->Edits = {{core::EditKind::AddNode, call.Path, {}, {}}};
    return commitChange(call, std::move(*request));
  }
  const json body = support::parseJsonOrDiscarded(call.Http.Body);
  const auto it = body.is_object() ? body.find("value") : body.end();
  if (!body.is_object() || it == body.end())
    return makeErrorReply(ErrorCode::BadRequest,
                          R"(request body: expected {"value": ...})");
  auto value = core::parseOverride(call.Path, call.Key, *it);
  if (!value)
    return errorReply(value.error());
  request->Edits = {
      {core::EditKind::Set, call.Path, call.Key, std::move(*value)}};
  return commitChange(call, std::move(*request));
}

AdminApi::Response AdminApi::remove(const Call &call) {
  auto request = parseChangeRequest(call.Http);
  if (!request)
    return errorReply(request.error());
  const auto kind =
      call.Key.empty() ? core::EditKind::RemoveNode : core::EditKind::Unset;
  // Removing the whole tree is most likely a mistake.
  if (call.Key.empty() && call.Path.level() == core::SettingsLevel::Root)
    return makeErrorReply(ErrorCode::BadRequest,
                          "the root node can't be removed");
  request->Edits = {{kind, call.Path, call.Key, {}}};
  return commitChange(call, std::move(*request));
}

AdminApi::Response AdminApi::commitChange(const Call &call,
                                          core::ChangeRequest request) {
  if (const auto allowed =
          authorize(call.Requester, request.Edits, call.Current->Tree);
      !allowed)
    return errorReply(allowed.error());
  request.Actor = call.Requester.Actor;
  if (const auto person = call.Http.header("x-operator"))
    request.Actor += " (" + person->substr(0, MaxChangeIdLength) + ")";
  request.RequestedAt = Options.Now();
  request.NewestKnownRevision = call.Current->Blob.Revision;
  auto result = Backend.Commit(request);
  result.ConflictingChanges =
      withinScope(result.ConflictingChanges, call.Requester.Scope);
  support::LogLine("settings_change")
      .with("change_id", request.ChangeId)
      .with("actor", request.Actor)
      .with("outcome", name(result.Outcome))
      .with("revision", result.Revision);
  // Applies the change on this host at once instead of waiting until it is
  // propagated from the store.
  if (result.Outcome == CommitOutcome::Accepted &&
      result.Revision > Replica.revision())
    if (const auto blob = Backend.Read())
      Replica.applyBlob(*blob);
  return commitReply(result, request.ChangeId);
}

AdminApi::Response AdminApi::explain(const Call &call) const {
  if (call.Current->Tree.nodes().count(call.Path) == 0)
    return makeErrorReply(ErrorCode::NotFound, "no node " + call.Path.text());
  json items = json::array();
  for (const auto &item : call.Current->Tree.effectiveSettings(call.Path))
    if (call.Key.empty() || call.Key == item.Key)
      items.push_back(effectiveJson(item));
  return jsonReply({{"revision", call.Current->Blob.Revision},
                    {"path", call.Path.text()},
                    {"settings", std::move(items)}});
}

AdminApi::Response AdminApi::diff(const Call &call) {
  const auto to = parseNumber(call.Http.parameter("to"))
                      .value_or(std::numeric_limits<std::uint64_t>::max() - 1);
  const auto from = parseNumber(call.Http.parameter("from"));
  if (!from || *from >= to)
    return makeErrorReply(ErrorCode::BadRequest,
                          "from: expected a revision below 'to'");
  const auto limit = std::min<std::uint64_t>(to - *from, MaxHistoryEntries);
  auto entries = Backend.History(to + 1, limit);
  if (!entries)
    return errorReply(entries.error());
  std::erase_if(*entries,
                [&](const auto &entry) { return entry.Revision <= *from; });
  if (!entries->empty() && entries->back().Revision != *from + 1)
    return makeErrorReply(
        ErrorCode::NotFound,
        "more than " + std::to_string(MaxHistoryEntries) +
            " revisions between 'from' and 'to', or some of their audit "
            "entries have been deleted");
  return jsonReply(
      {{"from", *from},
       {"to", entries->empty() ? *from : entries->front().Revision},
       {"changes", netChanges(withinScope(*entries, call.Path))}});
}

AdminApi::Response AdminApi::history(const Call &call) {
  const auto before = parseNumber(call.Http.parameter("before"))
                          .value_or(std::numeric_limits<std::uint64_t>::max());
  const auto limit = std::min<std::uint64_t>(
      parseNumber(call.Http.parameter("limit")).value_or(DefaultHistoryEntries),
      MaxHistoryEntries);
  const auto entries = Backend.History(before, limit);
  if (!entries)
    return errorReply(entries.error());
  json body = {{"entries", entriesJson(withinScope(*entries, call.Path))}};
  if (!entries->empty() && entries->back().Revision > 1)
    body["next_before"] = entries->back().Revision;
  return jsonReply(body);
}

AdminApi::Response AdminApi::apply(const Call &call) {
  auto request = parseChangeRequest(call.Http);
  if (!request)
    return errorReply(request.error());
  const auto file = call.Http.parameter("file").value_or("settings");
  const auto desired = core::parseSettingsYaml(call.Http.Body, file);
  if (!desired)
    return errorReply(desired.error());
  request->Edits = core::diffTrees(call.Current->Tree, *desired, call.Path);
  if (!request->BaseRevision)
    request->BaseRevision = call.Current->Blob.Revision;
  if (call.Http.parameter("dry_run"))
    return jsonReply(
        {{"revision", call.Current->Blob.Revision},
         {"changes", editsJson(request->Edits, call.Current->Tree)}});
  // A resent apply has the same file, but its edits differ once the first
  // attempt has taken effect; so the fingerprint covers the file.
  request->OriginalRequest = call.Path.text() + "\n" + call.Http.Body;
  if (request->Edits.empty() && !request->MayBeResend)
    return jsonReply(
        {{"outcome", "unchanged"}, {"revision", call.Current->Blob.Revision}});
  return commitChange(call, std::move(*request));
}

AdminApi::Response AdminApi::validate(const Call &call) const {
  const auto file = call.Http.parameter("file").value_or("settings");
  const auto tree = core::parseSettingsYaml(call.Http.Body, file);
  if (!tree)
    return errorReply(tree.error());
  return jsonReply({{"outcome", "valid"}, {"nodes", tree->nodes().size()}});
}

AdminApi::Response AdminApi::status(const Call &call) const {
  const auto ownRevision = call.Current->Blob.Revision;
  json hosts = json::array();
  hosts.push_back(
      {{"host", Options.Host}, {"revision", ownRevision}, {"age_ms", 0}});
  bool inForceEverywhere = true;
  if (Options.Hosts)
    for (const auto &host : Options.Hosts()) {
      inForceEverywhere = inForceEverywhere && host.Revision >= ownRevision;
      hosts.push_back({{"host", host.Host},
                       {"revision", host.Revision},
                       {"age_ms", host.Age.count()}});
    }
  return jsonReply({{"host", Options.Host},
                    {"revision", ownRevision},
                    {"in_force_everywhere", inForceEverywhere},
                    {"hosts", std::move(hosts)}});
}

} // namespace savorytrestle::operators
