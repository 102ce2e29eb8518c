#ifndef SAVORYTRESTLE_HOSTS_SLOT_KEYS_H
#define SAVORYTRESTLE_HOSTS_SLOT_KEYS_H

/// @file
/// @brief Keys and values of the host slots in the key-value store.
///
/// hosts/slot/N is attached to the lease of the slot's holder and deleted when
/// the lease ends. hosts/record/N is permanent: it names the last holder and
/// whether it released the slot.

#include <string>
#include <vector>

#include "savorytrestle/core/Membership.h"
#include "store/KvStore.h"

namespace savorytrestle::hosts {

/// @brief Prefix of all keys of hosts.
inline const std::string HostsPrefix = "hosts/";

/// @brief Prefix of the keys of slots.
inline const std::string SlotPrefix = "hosts/slot/";

/// @brief Prefix of the keys of slot records.
inline const std::string RecordPrefix = "hosts/record/";

/// @brief Last holder of a slot and whether it released the slot.
struct SlotRecord {
  /// Nonce of the process that claimed the slot last.
  std::string Nonce;
  bool Released = false;
};

/// @brief A slot record with its revision in the store.
struct StoredRecord {
  SlotRecord Record;
  store::Revision Revision = store::NoItem;
};

/// @brief States and records of all slots, read in one call.
struct SlotTable {
  std::vector<core::SlotUse> Slots;
  /// By slot number.
  std::vector<StoredRecord> Records;
};

/// @brief Key of a slot.
/// @param number the slot
/// @return its key
std::string slotKey(core::SlotNumber number);

/// @brief Key of a slot's record.
/// @param number the slot
/// @return its key
std::string recordKey(core::SlotNumber number);

/// @brief Converts a slot record to JSON text.
/// @param record the record
/// @return the text
std::string serializeRecord(const SlotRecord &record);

/// @brief Parses the entries under HostsPrefix.
/// @param entries the entries; those with other keys, or with the number of a
///   slot that does not exist, are ignored
/// @param slotCount number of slots
/// @return the table; a malformed record counts as one without a nonce that was
///   not released; O(entries)
SlotTable parseSlots(const std::vector<store::StoredItem> &entries,
                     std::uint32_t slotCount);

/// @brief Parses the holders of slots.
/// @param entries the entries under SlotPrefix
/// @return the hosts; malformed entries are ignored
std::vector<core::HostInfo>
parseHolders(const std::vector<store::StoredItem> &entries);

} // namespace savorytrestle::hosts

#endif
