#include "savorytrestle/core/BlobDelta.h"

#include <utility>

namespace savorytrestle::core {

namespace {

using nlohmann::json;

/// Most removed parts in the history; beyond it the history restarts, and
/// receivers with an older revision get the whole payload.
constexpr std::size_t MaxRemovedParts = 4096;

/// Separates the names of a member and of its inner member in a part's name.
/// Names of settings and slots contain no line breaks.
constexpr char NamePathSeparator = '\n';

/// Parts by name; null when the payload has none.
json splitParts(const std::string &payload) {
  const json whole = json::parse(payload, nullptr, false);
  if (!whole.is_object())
    return nullptr;
  json parts = json::object();
  for (const auto &[name, member] : whole.items()) {
    if (!member.is_object() || member.empty()) {
      parts[name] = member;
      continue;
    }
    for (const auto &[inner, part] : member.items()) {
      std::string key = name;
      key += NamePathSeparator;
      key += inner;
      parts[key] = part;
    }
  }
  return parts;
}

std::string joinParts(const json &parts) {
  json whole = json::object();
  for (const auto &[name, part] : parts.items()) {
    const auto end = name.find(NamePathSeparator);
    if (end == std::string::npos)
      whole[name] = part;
    else if (auto &member = whole[name.substr(0, end)];
             member.is_object() || member.is_null())
      member[name.substr(end + 1)] = part;
  }
  return whole.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::optional<VersionedBlob> applyDelta(const VersionedBlob &base,
                                        const BlobDelta &delta) {
  if (base.Revision != delta.Base || !delta.Changed.is_object())
    return std::nullopt;
  json parts = splitParts(base.Payload);
  if (!parts.is_object())
    return std::nullopt;
  for (const auto &name : delta.Removed)
    parts.erase(name);
  for (const auto &[name, part] : delta.Changed.items())
    parts[name] = part;
  auto result = makeBlob(delta.Revision, joinParts(parts));
  if (result.Checksum != delta.Checksum)
    return std::nullopt;
  return result;
}

void PartHistory::restartAt(const VersionedBlob &blob) {
  OldestBase = blob.Revision;
  ChangedAt.clear();
  RemovedAt.clear();
}

// If revisions were skipped, their changes count as made in the recorded one,
// so a delta may hold more parts than necessary but never too few.
void PartHistory::record(const VersionedBlob &blob) {
  if (blob.Revision <= Revision)
    return;
  json parts = splitParts(blob.Payload);
  if (!parts.is_object() || !Parts.is_object() ||
      RemovedAt.size() > MaxRemovedParts) {
    restartAt(blob);
  } else {
    for (const auto &[name, part] : parts.items()) {
      const auto it = Parts.find(name);
      if (it == Parts.end() || *it != part)
        ChangedAt[name] = blob.Revision;
      RemovedAt.erase(name);
    }
    for (const auto &[name, part] : Parts.items())
      if (!parts.contains(name)) {
        ChangedAt.erase(name);
        RemovedAt[name] = blob.Revision;
      }
  }
  Parts = std::move(parts);
  Revision = blob.Revision;
  Checksum = blob.Checksum;
}

std::optional<BlobDelta> PartHistory::deltaSince(std::uint64_t base) const {
  if (!Parts.is_object() || base < OldestBase || base == 0 || base > Revision)
    return std::nullopt;
  BlobDelta delta{base, Revision, Checksum, json::object(), {}};
  for (const auto &[name, at] : ChangedAt)
    if (at > base)
      delta.Changed[name] = Parts.at(name);
  for (const auto &[name, at] : RemovedAt)
    if (at > base)
      delta.Removed.push_back(name);
  return delta;
}

} // namespace savorytrestle::core
