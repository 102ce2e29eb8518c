#include "savorytrestle/core/keys/KeyRing.h"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <set>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace savorytrestle::core {

namespace {

constexpr std::string_view TokenScheme = "token";
constexpr std::size_t MaxNameBytes = 128;
constexpr double MaxRate = 1e6;
constexpr int MaxPriority = 1000;

bool isBlank(char c) { return c == ' ' || c == '\t'; }

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && isBlank(text.front()))
    text.remove_prefix(1);
  while (!text.empty() && isBlank(text.back()))
    text.remove_suffix(1);
  return text;
}

char lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

/// Whether each byte is a visible ASCII character, as in a header's token.
bool isVisibleAscii(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c < '\x7f'; });
}

bool isRate(double value) {
  return std::isfinite(value) && value >= 0 && value <= MaxRate;
}

/// Names may have spaces between visible characters.
bool isName(std::string_view name) {
  return !name.empty() && name.size() <= MaxNameBytes &&
         trimmed(name) == name &&
         std::all_of(name.begin(), name.end(),
                     [](char c) { return c >= ' ' && c < '\x7f'; });
}

} // namespace

KeyRing::KeyRing(const KeyRingSecret &secret, const ServingConfig &config)
    : Secret(secret) {
  if (!config.Workspaces)
    return;
  for (const WorkspaceRule &workspace : *config.Workspaces)
    for (const std::string &key : workspace.ApiKeys)
      ByDigest.emplace(digestOf(key), &workspace);
}

KeyRing::Digest KeyRing::digestOf(std::string_view key) const {
  Digest digest{};
  unsigned n = digest.size();
  HMAC(EVP_sha256(), Secret.data(), static_cast<int>(Secret.size()),
       reinterpret_cast<const unsigned char *>(key.data()), key.size(),
       digest.data(), &n);
  return digest;
}

const WorkspaceRule *KeyRing::find(std::string_view key) const {
  const auto it = ByDigest.find(digestOf(key));
  return it == ByDigest.end() ? nullptr : it->second;
}

std::size_t KeyRing::DigestHash::operator()(const Digest &digest) const {
  std::size_t value = 0;
  std::memcpy(&value, digest.data(), sizeof value);
  return value;
}

bool KeyRing::DigestEqual::operator()(const Digest &a, const Digest &b) const {
  return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

bool hasTokenScheme(std::string_view authorization) {
  authorization = trimmed(authorization);
  const auto scheme = authorization.substr(
      0, static_cast<std::size_t>(
             std::find_if(authorization.begin(), authorization.end(), isBlank) -
             authorization.begin()));
  return std::equal(scheme.begin(), scheme.end(), TokenScheme.begin(),
                    TokenScheme.end(),
                    [](char a, char b) { return lower(a) == b; });
}

std::optional<std::string_view> parseTokenKey(std::string_view authorization) {
  if (!hasTokenScheme(authorization))
    return std::nullopt;
  const auto key = trimmed(trimmed(authorization).substr(TokenScheme.size()));
  if (key.empty() || key.size() > MaxKeyBytes || !isVisibleAscii(key))
    return std::nullopt;
  return key;
}

std::optional<std::string> findWorkspaceError(const ServingConfig &config) {
  if (!config.Workspaces)
    return std::nullopt;
  std::set<std::string_view> names;
  std::set<std::string_view> keys;
  for (const WorkspaceRule &it : *config.Workspaces) {
    if (!isName(it.Name))
      return "a workspace's name is empty, over 128 bytes or has a byte that a "
             "header can't hold";
    const std::string subject = "workspace " + it.Name + ": ";
    if (!names.insert(it.Name).second)
      return subject + "its name is listed twice";
    if (!isRate(it.RatePerSecond) || !isRate(it.Burst))
      return subject + "its rate or burst is not between 0 and 1e6";
    if (it.Priority && (*it.Priority < 0 || *it.Priority > MaxPriority))
      return subject + "its priority is not between 0 and 1000";
    for (const std::string &key : it.ApiKeys) {
      if (key.empty() || key.size() > MaxKeyBytes || !isVisibleAscii(key))
        return subject + "a key is empty, over 256 bytes or not visible ASCII";
      if (!keys.insert(key).second)
        return subject + "one of its keys is listed twice";
    }
  }
  return std::nullopt;
}

} // namespace savorytrestle::core
