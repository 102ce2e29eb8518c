#include "entry/CallerIdentity.h"

#include <algorithm>
#include <string>
#include <vector>

#include <absl/strings/str_split.h>
#include <openssl/rand.h>

#include "leaf/RelayHeaders.h"
#include "support/BeastStringView.h"

namespace savorytrestle::entry {

namespace http = boost::beast::http;
using core::WorkspaceRule;

namespace {

/// Wait for a host that doesn't know the workspace of a relay yet.
constexpr std::chrono::milliseconds UnknownWorkspaceRetryAfter{300};

/// Bounds the time of the search for keys in a header.
constexpr std::size_t MaxAuthorizationWords = 32;

tl::unexpected<Refusal> unauthorized(const char *reason) {
  return tl::unexpected(
      Refusal{http::status::unauthorized, reason, std::nullopt});
}

tl::expected<const WorkspaceRule *, Refusal>
findByName(const core::ServingConfig &config, std::string_view name) {
  const auto &all = *config.Workspaces;
  const auto it =
      std::find_if(all.begin(), all.end(), [name](const WorkspaceRule &rule) {
        return rule.Name == name;
      });
  if (it != all.end())
    return &*it;
  return tl::unexpected(Refusal{http::status::service_unavailable,
                                "workspace of the relay is not known",
                                UnknownWorkspaceRetryAfter});
}

tl::expected<const WorkspaceRule *, Refusal>
findByKey(const CallerRequest &request, const core::KeyRing &keys) {
  const auto count = request.count(http::field::authorization);
  if (count == 0)
    return unauthorized("request has no key");
  if (count > 1)
    return unauthorized("request has more than one Authorization header");
  const auto key = core::parseTokenKey(
      support::toStringView(request[http::field::authorization]));
  if (!key)
    return unauthorized("Authorization header is not \"Token KEY\"");
  if (const auto *const workspace = keys.find(*key))
    return workspace;
  return unauthorized("key is not known");
}

/// Whether an Authorization header has the callers' scheme, or a key under
/// another one or none.
bool mayHoldKey(std::string_view authorization, const core::KeyRing &keys) {
  if (core::hasTokenScheme(authorization))
    return true;
  const absl::string_view value(authorization.data(), authorization.size());
  std::vector<std::string> words =
      absl::StrSplit(value, absl::ByAnyChar(" \t"), absl::SkipEmpty());
  const std::vector<std::string> parts =
      absl::StrSplit(value, absl::ByAnyChar(" \t,;=:\""), absl::SkipEmpty());
  words.insert(words.end(), parts.begin(), parts.end());
  return words.size() > MaxAuthorizationWords ||
         std::any_of(words.begin(), words.end(), [&](const auto &word) {
           return keys.find(word) != nullptr;
         });
}

} // namespace

core::KeyRingSecret makeKeyRingSecret() {
  core::KeyRingSecret secret{};
  // Without entropy the digests are unkeyed, which only weakens the protection
  // against timing.
  (void)RAND_bytes(secret.data(), static_cast<int>(secret.size()));
  return secret;
}

tl::expected<const WorkspaceRule *, Refusal>
findWorkspace(const CallerRequest &request, const core::RouteRule &route,
              const core::ServingConfig &config, const core::KeyRing &keys,
              bool relayed) {
  if (!config.Workspaces)
    return nullptr;
  // Hosts of earlier versions forward the caller's key in place of the name.
  if (const auto it = request.find(leaf::RelayWorkspaceHeader);
      relayed && it != request.end())
    return findByName(config, support::toStringView(it->value()));
  auto identity = findByKey(request, keys);
  // A public route ignores what does not identify a workspace.
  if (!identity && route.Public)
    return nullptr;
  return identity;
}

void setWorkspaceHeaders(CallerRequest &request,
                         const support::HeaderNames &names,
                         const core::ServingConfig &config,
                         const core::KeyRing &keys,
                         const WorkspaceRule *workspace) {
  request.erase(names.Workspace);
  const auto fields = request.equal_range(http::field::authorization);
  if (config.Workspaces &&
      std::any_of(fields.first, fields.second, [&keys](const auto &field) {
        return mayHoldKey(support::toStringView(field.value()), keys);
      }))
    request.erase(http::field::authorization);
  if (workspace != nullptr)
    request.set(names.Workspace, workspace->Name);
}

} // namespace savorytrestle::entry
