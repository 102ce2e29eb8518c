#ifndef SAVORYTRESTLE_OPERATORS_SETTINGS_STORE_H
#define SAVORYTRESTLE_OPERATORS_SETTINGS_STORE_H

/// @file
/// @brief Reads and changes the settings tree in the key-value store.
///
/// A change first writes immutable, content-addressed entries and then replaces
/// the manifest that refers to them by compare-and-swap, so that it is atomic.

#include "operators/SettingsReader.h"
#include "support/Log.h"

namespace savorytrestle::operators {

/// @brief Outcome of a change.
enum class CommitOutcome {
  Accepted, ///< stored; will be propagated to all hosts
  Conflict, ///< not made: the same keys changed after the base revision
  Invalid,  ///< not made: it failed validation
  NotMade,  ///< not made: store unavailable or too many concurrent changes
  Unknown,  ///< may have been made; resend it with the same change id
};

/// @brief Wire name of an outcome, for example "not_made".
/// @param outcome the outcome
/// @return a static string
std::string_view name(CommitOutcome outcome);

/// @brief Outcome of a change, with details for the operator.
struct CommitResult {
  CommitOutcome Outcome = CommitOutcome::NotMade;
  /// Revision that the change created, or the newest known one if the change
  /// was not made.
  std::uint64_t Revision = 0;
  std::string Message;
  /// Changes that it conflicts with, newest first; empty for other outcomes.
  std::vector<core::AuditEntry> ConflictingChanges;
};

/// @brief The settings tree in the store. Not thread-safe.
template <store::KvStore Kv> class SettingsStore {
public:
  /// @brief Constructs a settings store.
  /// @param store store client; must outlive this object
  /// @param options limits on calls
  explicit SettingsStore(Kv &store, SettingsStoreOptions options = {})
      : Store(store), Options(options), Reader(store, options) {}

  /// @brief Reads the whole tree; fetches only parts that changed since the
  /// last read.
  /// @return the blob (revision 0 if no change was ever made), or an error such
  ///   as StoreUnavailable
  core::Result<core::VersionedBlob> read();

  /// @brief Makes a change; rebases it onto later changes of other keys.
  /// @param request the change; resending it with its id is idempotent while
  ///   its id is among the MaxRecentChanges newest
  /// @return the result; NotMade or Unknown if the store is unavailable
  CommitResult commit(const core::ChangeRequest &request);

  /// @brief Writes settings again that the store has lost by its return from an
  /// older copy. An audit entry names what was restored.
  /// @param tree the settings in force
  /// @param revision their revision
  /// @param now the wall clock
  /// @return whether they were lost and are restored, or the error of a call
  core::Result<bool> restoreLost(const core::SettingsTree &tree,
                                 std::uint64_t revision, core::WallTime now);

  /// @brief Returns audit entries, newest first.
  /// @param before only entries of revisions below this one are returned
  /// @param limit maximum number of entries
  /// @return the entries (fewer if older ones have been deleted), or an error
  ///   such as StoreUnavailable
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
  /// Records in the manifest that a change is refused, so that no earlier
  /// attempt of it can take effect. Returns nothing if the manifest has been
  /// replaced in the meantime.
  std::optional<CommitResult> recordRefusal(const LoadedSettings &loaded,
                                            const core::ChangeRequest &request,
                                            CommitResult refusal);
  CommitResult finishCommit(const LoadedSettings &before,
                            const PreparedManifest &next);
  core::Result<void> writeEntries(const std::vector<ImmutableEntry> &entries);
  void deleteEntry(const std::string &key);
  void deleteOldPage(const AuditPageLink &newestPage);
  CommitResult makeFailure(bool outcomeUnknown,
                           const std::string &reason) const;

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
  const auto visited = Reader.visitAuditEntries(
      loaded->Manifest, [&](const core::AuditEntry &entry) {
        if (entry.Revision < before && found.size() < limit)
          found.push_back(entry);
        return found.size() < limit;
      });
  if (!visited)
    return tl::unexpected(visited.error());
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
  const auto visited = Reader.visitAuditEntries(
      loaded.Manifest, [&](const core::AuditEntry &entry) {
        if (entry.Revision <= base)
          return false;
        oldest = entry.Revision;
        const auto conflicts = [&](const core::AuditItem &item) {
          return std::any_of(request.Edits.begin(), request.Edits.end(),
                             [&](const auto &edit) {
                               return core::conflictsWith(edit, item);
                             });
        };
        if (std::any_of(entry.Items.begin(), entry.Items.end(), conflicts))
          conflict.ConflictingChanges.push_back(entry);
        return true;
      });
  if (!visited)
    return CommitResult{
        CommitOutcome::NotMade, newest, visited.error().Message, {}};
  if (oldest != base + 1)
    conflict.Message =
        "revision " + std::to_string(base) +
        " is too old: the audit entries since then have been deleted";
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
  // Valid edits can still fail validation in combination with a change that
  // was accepted after the base revision.
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
                        "the change id was already used for another change",
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
  // A result of false means that the entry already exists with the same
  // content, so a write whose reply was lost can be repeated.
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
  // Errors are ignored: the change has taken effect, and an entry that is not
  // deleted only takes up space.
  const auto entry = Store.get(key, Options.CallTimeout);
  if (entry && *entry)
    (void)Store.compareAndDelete(key, (*entry)->ModRevision,
                                 Options.CallTimeout);
}

template <store::KvStore Kv>
void SettingsStore<Kv>::deleteOldPage(const AuditPageLink &newestPage) {
  if (newestPage.Number <= MaxAuditPages)
    return;
  const auto prefix = "settings/audit/" +
                      std::to_string(newestPage.Number - MaxAuditPages) + "-";
  if (const auto pages = Store.list(prefix, Options.CallTimeout))
    for (const auto &page : *pages)
      (void)Store.compareAndDelete(page.Key, page.ModRevision,
                                   Options.CallTimeout);
}

template <store::KvStore Kv>
CommitResult SettingsStore<Kv>::makeFailure(bool outcomeUnknown,
                                            const std::string &reason) const {
  if (outcomeUnknown)
    return {CommitOutcome::Unknown,
            Reader.newestKnownRevision(),
            "the change may have been made (" + reason +
                "); resend it with the same change id",
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
  std::optional<store::Revision> lostSwapRevision;
  Reader.raiseNewestKnownRevision(request.NewestKnownRevision);
  // If this is a resend, an earlier attempt by another host may still be in
  // progress.
  bool outcomeUnknown = request.MayBeResend;
  for (int n = 0; n < Options.MaxAttempts; ++n) {
    const auto loaded = Reader.load();
    if (!loaded)
      return makeFailure(outcomeUnknown, loaded.error().Message);
    if (auto known = outcomeOfResend(loaded->Manifest, request))
      return *known;
    // An earlier swap that expected an older manifest can no longer take
    // effect. One that expected this manifest still can until the manifest is
    // replaced.
    outcomeUnknown =
        request.MayBeResend ||
        (lostSwapRevision && loaded->StoreRevision <= *lostSwapRevision);
    auto next = prepare(*loaded, request);
    if (!next && next.error().Outcome == CommitOutcome::NotMade)
      return makeFailure(outcomeUnknown, next.error().Message);
    if (!next && !outcomeUnknown)
      return next.error();
    if (!next) {
      // An earlier swap in progress could still make the change refused here.
      if (auto refused = recordRefusal(*loaded, request, next.error()))
        return *refused;
      continue;
    }
    if (const auto done = writeEntries(next->Entries); !done)
      return makeFailure(outcomeUnknown, done.error().Message);
    const auto swapped =
        Store.compareAndSet(ManifestKey, serialize(next->Manifest),
                            loaded->StoreRevision, Options.CallTimeout);
    if (swapped && *swapped)
      return finishCommit(*loaded, *next);
    if (!swapped && swapped.error().Code != core::ErrorCode::OutcomeUnknown)
      return makeFailure(outcomeUnknown, swapped.error().Message);
    if (!swapped) {
      outcomeUnknown = true;
      lostSwapRevision =
          std::max(lostSwapRevision.value_or(0), loaded->StoreRevision);
    }
  }
  return makeFailure(outcomeUnknown,
                     "too many concurrent changes of the settings");
}

template <store::KvStore Kv>
core::Result<bool>
SettingsStore<Kv>::restoreLost(const core::SettingsTree &tree,
                               std::uint64_t revision, core::WallTime now) {
  const auto loaded = Reader.loadAnyRevision();
  if (!loaded)
    return tl::unexpected(loaded.error());
  if (loaded->Manifest.Revision >= revision)
    return false;
  auto before = loaded->Manifest;
  before.Revision = revision - 1;
  auto next = makeNextManifest(before, tree,
                               {0, loaded->Manifest.Revision, now, "system",
                                "restore-" + std::to_string(revision),
                                changedNodes(loaded->Tree, tree)},
                               "");
  if (!next)
    return tl::unexpected(next.error());
  if (const auto done = writeEntries(next->Entries); !done)
    return tl::unexpected(done.error());
  auto swapped =
      Store.compareAndSet(ManifestKey, serialize(next->Manifest),
                          loaded->StoreRevision, Options.CallTimeout);
  if (!swapped || !*swapped)
    return swapped;
  Reader.raiseNewestKnownRevision(revision);
  support::LogLine("settings_restored")
      .with("revision", revision)
      .with("store_had", loaded->Manifest.Revision);
  return true;
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
