#include "operators/OperatorAuth.h"

#include <array>

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace savorytrestle::operators {

namespace {

using core::SettingsLevel;
using core::SettingsPath;

constexpr std::string_view BearerPrefix = "Bearer ";

bool equalInConstantTime(const std::string &a, const std::string &b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

tl::unexpected<core::Error> unauthorized(const std::string &reason) {
  return core::makeError(core::ErrorCode::Unauthorized, reason);
}

bool isRootOnlySetting(const std::string &key) {
  const auto *spec = core::findSetting(key);
  return spec && spec->RootOperatorOnly;
}

/// Whether the subtree sets keys that only the root operator may change;
/// removing it would unset them.
bool holdsRootOnlySetting(const core::SettingsTree &tree,
                          const SettingsPath &path) {
  for (const auto &[node, overrides] : tree.nodes())
    if (node.isWithin(path))
      for (const auto &[key, value] : overrides)
        if (isRootOnlySetting(key))
          return true;
  return false;
}

} // namespace

std::string hashToken(const std::string &token) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char *>(token.data()), token.size(),
         digest.data());
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string text;
  for (const unsigned char byte : digest) {
    text += Digits[byte >> 4U];
    text += Digits[byte & 0xFU];
  }
  return text;
}

core::Result<Operator> authenticate(const std::string &authorization,
                                    const std::string &rootTokenHash,
                                    const core::SettingsTree *tree) {
  if (authorization.rfind(BearerPrefix, 0) != 0)
    return unauthorized("the Authorization header has no bearer token");
  const auto hash = hashToken(authorization.substr(BearerPrefix.size()));
  if (equalInConstantTime(hash, rootTokenHash))
    return Operator{SettingsPath(), "root"};
  std::optional<Operator> found;
  if (tree)
    for (const auto &[path, overrides] : tree->nodes()) {
      const auto *value = tree->find(path, "operator_token_hash");
      const auto *known = value ? std::get_if<std::string>(value) : nullptr;
      if (known && equalInConstantTime(hash, *known) && !found)
        found = Operator{path, path.level() == SettingsLevel::Root
                                   ? "root"
                                   : "workspace " + path.lastSegment()};
    }
  if (!found)
    return unauthorized("unknown bearer token");
  return *found;
}

core::Result<void> authorize(const Operator &requester,
                             const std::vector<core::SettingEdit> &edits,
                             const core::SettingsTree &tree) {
  if (requester.isRoot())
    return {};
  for (const auto &edit : edits) {
    const auto where = edit.Path.text() + " " + edit.Key;
    if (!edit.Path.isWithin(requester.Scope))
      return unauthorized(where + ": outside of the operator's scope " +
                          requester.Scope.text());
    if (isRootOnlySetting(edit.Key))
      return unauthorized(where + ": only the root operator may change it");
    if (edit.Kind == core::EditKind::RemoveNode &&
        (edit.Path == requester.Scope || holdsRootOnlySetting(tree, edit.Path)))
      return unauthorized(where + ": only the root operator may remove it");
  }
  return {};
}

} // namespace savorytrestle::operators
