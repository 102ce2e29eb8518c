#include "hosts/SlotKeys.h"

#include "support/BoundedJson.h"

#include <charconv>
#include <optional>

#include <nlohmann/json.hpp>

namespace savorytrestle::hosts {

namespace {

using nlohmann::json;

/// Parses the slot number that follows the prefix of a key.
std::optional<core::SlotNumber> numberAfter(const std::string &prefix,
                                            const std::string &key) {
  if (key.rfind(prefix, 0) != 0)
    return std::nullopt;
  core::SlotNumber number = 0;
  const char *end = key.data() + key.size();
  const auto [last, ec] =
      std::from_chars(key.data() + prefix.size(), end, number);
  if (ec != std::errc() || last != end)
    return std::nullopt;
  return number;
}

SlotRecord parseRecord(const std::string &text) {
  const json parsed = support::parseJsonOrDiscarded(text);
  SlotRecord record;
  if (!parsed.is_object())
    return record;
  if (const auto it = parsed.find("nonce");
      it != parsed.end() && it->is_string())
    record.Nonce = it->get<std::string>();
  if (const auto it = parsed.find("released");
      it != parsed.end() && it->is_boolean())
    record.Released = it->get<bool>();
  return record;
}

} // namespace

std::string slotKey(core::SlotNumber number) {
  return SlotPrefix + std::to_string(number);
}

std::string recordKey(core::SlotNumber number) {
  return RecordPrefix + std::to_string(number);
}

std::string serializeRecord(const SlotRecord &record) {
  const json value = {{"nonce", record.Nonce}, {"released", record.Released}};
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

SlotTable parseSlots(const std::vector<store::StoredItem> &entries,
                     std::uint32_t slotCount) {
  SlotTable table;
  table.Records.resize(slotCount);
  table.Slots.resize(slotCount);
  for (core::SlotNumber n = 0; n < slotCount; ++n)
    table.Slots[n].Number = n;
  for (const auto &entry : entries) {
    if (const auto n = numberAfter(SlotPrefix, entry.Key); n && *n < slotCount)
      table.Slots[*n].Held = true;
    if (const auto n = numberAfter(RecordPrefix, entry.Key);
        n && *n < slotCount) {
      const SlotRecord record = parseRecord(entry.Value);
      table.Records[*n] = {record, entry.ModRevision};
      table.Slots[*n].EverClaimed = true;
      table.Slots[*n].Released = record.Released;
    }
  }
  return table;
}

std::vector<core::HostInfo>
parseHolders(const std::vector<store::StoredItem> &entries) {
  std::vector<core::HostInfo> holders;
  for (const auto &entry : entries)
    if (numberAfter(SlotPrefix, entry.Key))
      if (auto host = core::parseHost(entry.Value))
        holders.push_back(std::move(*host));
  return holders;
}

} // namespace savorytrestle::hosts
