#ifndef SAVORYTRESTLE_TESTS_SETTINGS_FIXTURE_H
#define SAVORYTRESTLE_TESTS_SETTINGS_FIXTURE_H

/// @file
/// @brief Helpers for settings tests: a store in which writes of the manifest
/// can be interrupted, and functions that make edits and changes.

#include <functional>
#include <utility>

#include "FakeKvStore.h"
#include "operators/SettingsStore.h"

namespace savorytrestle::standins {

/// @brief A fake store in which the next compare-and-swap of the manifest can
/// be preceded by a callback, lost, or followed by an outage.
class InterruptedKvStore : public FakeKvStore {
public:
  InterruptedKvStore() = default;
  explicit InterruptedKvStore(const FakeKvStore &other) : FakeKvStore(other) {}

  Result<bool> compareAndSet(const std::string &key, const std::string &value,
                             store::Revision revision, Millis timeout) {
    if (key == operators::ManifestKey && BeforeNextSwap)
      std::exchange(BeforeNextSwap, nullptr)();
    const bool isManifestSwap = key == operators::ManifestKey;
    const int lostReplies =
        isManifestSwap ? std::exchange(SwapRepliesToLose, 0) : 0;
    const int lostSwaps = isManifestSwap ? std::exchange(SwapsToLose, 0) : 0;
    Faults->LoseWriteReplies += lostReplies;
    Faults->LoseWrites += lostSwaps;
    auto result = FakeKvStore::compareAndSet(key, value, revision, timeout);
    if (isManifestSwap && std::exchange(OutageAfterNextSwap, false))
      Faults->Outage = true;
    return result;
  }

  /// Called once, before the next swap.
  std::function<void()> BeforeNextSwap;
  /// Number of replies to lose after the next swap has taken effect.
  int SwapRepliesToLose = 0;
  /// Number of swap requests to lose before they take effect.
  int SwapsToLose = 0;
  /// Whether an outage begins after the next swap has taken effect.
  bool OutageAfterNextSwap = false;
};

static_assert(store::KvStore<InterruptedKvStore>);

/// @brief Parses a path that is known to be valid.
inline core::SettingsPath path(const std::string &text) {
  return core::SettingsPath::parse(text).value();
}

/// @brief Makes an edit that sets a key.
inline core::SettingEdit setEdit(const std::string &nodePath,
                                 const std::string &key,
                                 const std::string &value) {
  const auto parsed =
      core::parseOverride(path(nodePath), key, nlohmann::json(value));
  return {core::EditKind::Set, path(nodePath), key, parsed.value()};
}

/// @brief Makes a change that consists of one edit.
inline core::ChangeRequest makeChange(const std::string &id,
                                      core::SettingEdit edit) {
  core::ChangeRequest request;
  request.ChangeId = id;
  request.Actor = "anna";
  request.Edits = {std::move(edit)};
  return request;
}

} // namespace savorytrestle::standins

#endif
