#ifndef SAVORYTRESTLE_OPERATORS_SETTINGS_STORE_H
#define SAVORYTRESTLE_OPERATORS_SETTINGS_STORE_H

/// @file
/// @brief Reads and changes the settings tree in the key-value service.
///
/// A change writes immutable, content-addressed entries first and then swaps
/// the manifest that names them, so that it takes effect whole or not at all.

#include "operators/SettingsReader.h"

namespace savorytrestle::operators {

/// @brief How a change ended.
enum class CommitOutcome {
  Accepted, ///< in the store; hosts will have it
  Conflict, ///< not made: someone changed the same since the base revision
  Invalid,  ///< not made: a check refused it
  NotMade,  ///< not made: the store can't take it now
  Unknown,  ///< may or may not be made; ask again with the same change id
};

/// @brief Wire name of an outcome, for example "not_made".
/// @param outcome the outcome
/// @return a static string
std::string_view name(CommitOutcome outcome);

/// @brief How a change ended, and what its operator needs to know.
struct CommitResult {
  CommitOutcome Outcome = CommitOutcome::NotMade;
  /// Revision that holds the change, or the newest seen when it was not made.
  std::uint64_t Revision = 0;
  std::string Message;
  /// What others changed in its place; conflicts only.
  std::vector<core::AuditEntry> ConflictingChanges;
};

/// @brief The settings tree in the store; one thread at a time.
template <store::KvStore Kv> class SettingsStore {
public:
  /// @brief Uses a store client, which must outlive this object.
  /// @param store the client
  /// @param options bounds
  explicit SettingsStore(Kv &store, SettingsStoreOptions options = {})
      : Store(store), Options(options), Reader(store, options) {}

  /// @brief Reads the whole tree, fetching only parts that changed.
  /// @return the blob (revision 0 when nothing was ever set), or
  ///   StoreUnavailable
  core::Result<core::VersionedBlob> read();

  /// @brief Makes a change, rebasing it over changes of other keys.
  /// @param request the change; sending it again with its id is idempotent
  ///   while its id is among the MaxRecentChanges newest
  /// @return how it ended; a store outage ends as NotMade or Unknown
  CommitResult commit(const core::ChangeRequest &request);

  /// @brief Audit entries, newest first.
  /// @param before only revisions below this one
  /// @param limit most entries returned
  /// @return the entries, fewer when older ones are gone, or StoreUnavailable
  core::Result<std::vector<core::AuditEntry>> history(std::uint64_t before,
                                                      std::size_t limit);

private:
  template <typename T> using Outcome = tl::expected<T, CommitResult>;

  Outcome<PreparedManifest> prepare(const LoadedSettings &loaded,
                                    const core::ChangeRequest &request);
  std::optional<CommitResult> findConflict(const LoadedSettings &loaded,
                                           const core::ChangeRequest &request);
  std::optional<CommitResult>
  outcomeOfResend(const SettingsManifest &manifest,
                  const core::ChangeRequest &request) const;
  /// Records in the store that a change is refused, so that no earlier attempt
  /// of it can take effect; nothing when the manifest moved meanwhile.
  std::optional<CommitResult> recordRefusal(const LoadedSettings &loaded,
                                            const core::ChangeRequest &request,
                                            CommitResult refusal);
  CommitResult finishCommit(const LoadedSettings &before,
                            const PreparedManifest &next);
  core::Result<void> writeEntries(const std::vector<ImmutableEntry> &entries);
  void deleteEntry(const std::string &key);
  void deleteOldPage(const AuditPageLink &last);
  CommitResult makeFailure(bool uncertain, const std::string &reason) const;

  Kv &Store;
  SettingsStoreOptions Options;
  SettingsReader<Kv> Reader;
};

template <store::KvStore Kv>
core::Result<core::VersionedBlob> SettingsStore<Kv>::read() {
  auto loaded = Reader.load();
  if (!loaded)
    return tl::unexpected(loaded.error());
  return toBlob(loaded->Tree, loaded->Manifest.Revision);
}

template <store::KvStore Kv>
core::Result<std::vector<core::AuditEntry>>
SettingsStore<Kv>::history(std::uint64_t before, std::size_t limit) {
  const auto loaded = Reader.loadManifest();
  if (!loaded)
    return tl::unexpected(loaded.error());
  std::vector<core::AuditEntry> found;
  const auto walked = Reader.visitAuditEntries(
      loaded->Manifest, [&](const core::AuditEntry &entry) {
        if (entry.Revision < before && found.size() < limit)
          found.push_back(entry);
        return found.size() < limit;
      });
  if (!walked)
    return tl::unexpected(walked.error());
  return found;
}

template <store::KvStore Kv>
std::optional<CommitResult>
SettingsStore<Kv>::findConflict(const LoadedSettings &loaded,
                                const core::ChangeRequest &request) {
  const auto newest = loaded.Manifest.Revision;
  const auto base = request.BaseRevision.value_or(newest);
  if (base >= newest)
    return std::nullopt;
  CommitResult conflict{CommitOutcome::Conflict, newest, "", {}};
  auto oldest = newest + 1;
  const auto walked = Reader.visitAuditEntries(
      loaded.Manifest, [&](const core::AuditEntry &entry) {
        if (entry.Revision <= base)
          return false;
        oldest = entry.Revision;
        const auto touches = [&](const core::AuditItem &item) {
          return std::any_of(request.Edits.begin(), request.Edits.end(),
                             [&](const auto &edit) {
                               return core::conflictsWith(edit, item);
                             });
        };
        if (std::any_of(entry.Items.begin(), entry.Items.end(), touches))
          conflict.ConflictingChanges.push_back(entry);
        return true;
      });
  if (!walked)
    return CommitResult{
        CommitOutcome::NotMade, newest, walked.error().Message, {}};
  if (oldest != base + 1)
    conflict.Message = "revision " + std::to_string(base) +
                       " is too old to tell what changed since";
  else if (!conflict.ConflictingChanges.empty())
    conflict.Message =
        "changed since revision " + std::to_string(base) + " by " +
        conflict.ConflictingChanges.front().Actor + ", in revision " +
        std::to_string(conflict.ConflictingChanges.front().Revision);
  return conflict.Message.empty() ? std::nullopt
                                  : std::optional(std::move(conflict));
}

template <store::KvStore Kv>
typename SettingsStore<Kv>::template Outcome<PreparedManifest>
SettingsStore<Kv>::prepare(const LoadedSettings &loaded,
                           const core::ChangeRequest &request) {
  const auto revision = loaded.Manifest.Revision;
  if (auto conflict = findConflict(loaded, request))
    return tl::unexpected(std::move(*conflict));
  const auto invalid = [&](const core::Error &error) {
    return tl::unexpected(
        CommitResult{CommitOutcome::Invalid, revision, error.Message, {}});
  };
  auto tree = loaded.Tree;
  auto items = core::applyEdits(tree, request.Edits);
  if (!items)
    return invalid(items.error());
  // Each edit may be sound alone and still break a check together with a
  // change that landed after the base revision.
  if (const auto problems = tree.findProblems(); !problems.empty())
    return invalid(core::toError(problems));
  core::AuditEntry entry{0,
                         request.BaseRevision.value_or(revision),
                         request.RequestedAt,
                         request.Actor,
                         request.ChangeId,
                         std::move(*items)};
  auto next = makeNextManifest(loaded.Manifest, tree, std::move(entry),
                               core::changeFingerprint(request));
  if (!next)
    return invalid(next.error());
  return std::move(*next);
}

template <store::KvStore Kv>
std::optional<CommitResult>
SettingsStore<Kv>::outcomeOfResend(const SettingsManifest &manifest,
                                   const core::ChangeRequest &request) const {
  const auto *known = findRecentChange(manifest, request.ChangeId);
  if (!known)
    return std::nullopt;
  if (known->Fingerprint != core::changeFingerprint(request))
    return CommitResult{CommitOutcome::Invalid,
                        manifest.Revision,
                        "the change id belongs to another change",
                        {}};
  if (known->Revision == RefusedRevision)
    return CommitResult{CommitOutcome::Conflict,
                        manifest.Revision,
                        "a change with this id was refused; use a new id",
                        {}};
  return CommitResult{CommitOutcome::Accepted, known->Revision, "", {}};
}

template <store::KvStore Kv>
core::Result<void>
SettingsStore<Kv>::writeEntries(const std::vector<ImmutableEntry> &entries) {
  // False means that the same content is there already; a lost reply is
  // settled by writing it again.
  constexpr int MaxWrites = 3;
  for (const auto &[key, value] : entries) {
    core::Result<bool> written = false;
    for (int n = 0; n < MaxWrites; ++n) {
      written =
          Store.compareAndSet(key, value, store::NoItem, Options.CallTimeout);
      if (written || written.error().Code != core::ErrorCode::OutcomeUnknown)
        break;
    }
    if (!written)
      return tl::unexpected(written.error());
  }
  return {};
}

template <store::KvStore Kv>
void SettingsStore<Kv>::deleteEntry(const std::string &key) {
  // The change is made; an entry that stays costs only room.
  const auto entry = Store.get(key, Options.CallTimeout);
  if (entry && *entry)
    (void)Store.compareAndDelete(key, (*entry)->Changed, Options.CallTimeout);
}

template <store::KvStore Kv>
void SettingsStore<Kv>::deleteOldPage(const AuditPageLink &last) {
  if (last.Number <= MaxAuditPages)
    return;
  const auto prefix =
      "settings/audit/" + std::to_string(last.Number - MaxAuditPages) + "-";
  if (const auto pages = Store.list(prefix, Options.CallTimeout))
    for (const auto &page : *pages)
      (void)Store.compareAndDelete(page.Key, page.Changed, Options.CallTimeout);
}

template <store::KvStore Kv>
CommitResult SettingsStore<Kv>::makeFailure(bool uncertain,
                                            const std::string &reason) const {
  if (uncertain)
    return {CommitOutcome::Unknown,
            Reader.newestKnownRevision(),
            "the change may have been made (" + reason +
                "); ask again with the same change id",
            {}};
  return {CommitOutcome::NotMade,
          Reader.newestKnownRevision(),
          "the change was not made: " + reason,
          {}};
}

template <store::KvStore Kv>
std::optional<CommitResult>
SettingsStore<Kv>::recordRefusal(const LoadedSettings &loaded,
                                 const core::ChangeRequest &request,
                                 CommitResult refusal) {
  auto manifest = loaded.Manifest;
  addRecentChange(manifest, {request.ChangeId, RefusedRevision,
                             core::changeFingerprint(request)});
  const auto swapped =
      Store.compareAndSet(ManifestKey, serialize(manifest),
                          loaded.StoreRevision, Options.CallTimeout);
  if (!swapped)
    return makeFailure(true, swapped.error().Message);
  return *swapped ? std::optional(std::move(refusal)) : std::nullopt;
}

template <store::KvStore Kv>
CommitResult SettingsStore<Kv>::commit(const core::ChangeRequest &request) {
  std::optional<store::Revision> lostAt;
  Reader.raiseNewestKnownRevision(request.NewestKnownRevision);
  // An earlier attempt of a resent change may be on its way from another host.
  bool uncertain = request.MayBeResend;
  for (int n = 0; n < Options.MaxAttempts; ++n) {
    const auto loaded = Reader.load();
    if (!loaded)
      return makeFailure(uncertain, loaded.error().Message);
    if (auto known = outcomeOfResend(loaded->Manifest, request))
      return *known;
    // A swap that named an older manifest can't take effect any more. One that
    // named this manifest still can, until the manifest moves on.
    uncertain =
        request.MayBeResend || (lostAt && loaded->StoreRevision <= *lostAt);
    auto next = prepare(*loaded, request);
    if (!next && next.error().Outcome == CommitOutcome::NotMade)
      return makeFailure(uncertain, next.error().Message);
    if (!next && !uncertain)
      return next.error();
    if (!next) {
      // A swap on its way could still make what is refused here.
      if (auto settled = recordRefusal(*loaded, request, next.error()))
        return *settled;
      continue;
    }
    if (const auto done = writeEntries(next->Entries); !done)
      return makeFailure(uncertain, done.error().Message);
    const auto swapped =
        Store.compareAndSet(ManifestKey, serialize(next->Manifest),
                            loaded->StoreRevision, Options.CallTimeout);
    if (swapped && *swapped)
      return finishCommit(*loaded, *next);
    if (!swapped && swapped.error().Code != core::ErrorCode::OutcomeUnknown)
      return makeFailure(uncertain, swapped.error().Message);
    if (!swapped) {
      uncertain = true;
      lostAt = std::max(lostAt.value_or(0), loaded->StoreRevision);
    }
  }
  return makeFailure(uncertain, "too many changes at once");
}

template <store::KvStore Kv>
CommitResult SettingsStore<Kv>::finishCommit(const LoadedSettings &before,
                                             const PreparedManifest &next) {
  const auto &now = next.Manifest;
  Reader.raiseNewestKnownRevision(now.Revision);
  if (now.NewestPage.Number != before.Manifest.NewestPage.Number)
    deleteOldPage(now.NewestPage);
  for (const auto &key : next.ExpiredKeys)
    deleteEntry(key);
  return {CommitOutcome::Accepted, Reader.newestKnownRevision(), "", {}};
}

} // namespace savorytrestle::operators

#endif
