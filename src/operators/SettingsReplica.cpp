#include "operators/SettingsReplica.h"

#include "support/BoundedJson.h"
#include "support/Log.h"

namespace savorytrestle::operators {

namespace {

using nlohmann::json;

std::string_view name(BlobOutcome outcome) {
  switch (outcome) {
  case BlobOutcome::Applied:
    return "applied";
  case BlobOutcome::Stale:
    return "stale";
  case BlobOutcome::Damaged:
    return "damaged";
  case BlobOutcome::Unusable:
    return "unusable";
  }
  return "unknown";
}

BlobOutcome rejectBlob(const core::VersionedBlob &blob, BlobOutcome outcome,
                       std::string_view reason) {
  support::LogLine("settings_refused")
      .with("revision", blob.Revision)
      .with("outcome", name(outcome))
      .with("reason", reason);
  return outcome;
}

} // namespace

core::VersionedBlob toBlob(const core::SettingsTree &tree,
                           std::uint64_t revision) {
  const json payload = {{"revision", revision}, {"nodes", tree.toJson()}};
  return core::makeBlob(
      revision, payload.dump(-1, ' ', false, json::error_handler_t::replace));
}

core::Result<core::SettingsTree> fromBlob(const core::VersionedBlob &blob) {
  const json payload = support::parseJsonOrDiscarded(blob.Payload);
  if (!payload.is_object() || !payload.contains("nodes") ||
      !payload.contains("revision"))
    return core::makeError(
        core::ErrorCode::InvalidSettings,
        "payload is not a settings tree: 'nodes' or 'revision' is missing");
  // The revision outside the payload is not covered by the checksum.
  if (payload["revision"] != blob.Revision)
    return core::makeError(
        core::ErrorCode::InvalidSettings,
        "revision in the payload differs from the blob's revision");
  return core::SettingsTree::fromJson(payload["nodes"]);
}

BlobOutcome SettingsReplica::applyBlob(const core::VersionedBlob &blob) {
  const std::lock_guard guard(ApplyLock);
  if (blob.Revision <= revision())
    return BlobOutcome::Stale;
  if (!core::isIntact(blob))
    return rejectBlob(blob, BlobOutcome::Damaged, "checksum mismatch");
  auto tree = fromBlob(blob);
  if (!tree)
    return rejectBlob(blob, BlobOutcome::Unusable, tree.error().Message);
  // The committing host has validated the tree, but its version may have
  // another schema.
  if (const auto problems = tree->findProblems(); !problems.empty())
    return rejectBlob(blob, BlobOutcome::Unusable, toError(problems).Message);
  auto next = std::make_shared<SettingsInForce>();
  next->Blob = blob;
  next->Tree = std::move(*tree);
  next->Routes = std::make_shared<core::RouteTable>(
      core::buildRouteTable(next->Tree, blob.Revision));
  const std::shared_ptr<const SettingsInForce> published = std::move(next);
  Current.store(published);
  support::LogLine("settings_applied").with("revision", blob.Revision);
  for (const auto &observer : Observers)
    observer(published);
  return BlobOutcome::Applied;
}

std::shared_ptr<const SettingsInForce> SettingsReplica::current() const {
  return Current.load();
}

std::shared_ptr<const core::RouteTable> SettingsReplica::routes() const {
  const auto now = current();
  return now ? now->Routes : nullptr;
}

std::uint64_t SettingsReplica::revision() const {
  const auto now = current();
  return now ? now->Blob.Revision : 0;
}

void SettingsReplica::observe(Observer observer) {
  const std::lock_guard guard(ApplyLock);
  if (const auto now = current())
    observer(now);
  Observers.push_back(std::move(observer));
}

} // namespace savorytrestle::operators
