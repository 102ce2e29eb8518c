#ifndef SAVORYTRESTLE_HOSTS_SLOT_KEYS_H
#define SAVORYTRESTLE_HOSTS_SLOT_KEYS_H

/// @file
/// @brief Keys and values of the host slots in the key-value service.
///
/// hosts/slot/N is held by its holder's lease and vanishes with it;
/// hosts/record/N stays and says how the last use of the slot ended.

#include <string>
#include <vector>

#include "savorytrestle/core/Membership.h"
#include "store/KvStore.h"

namespace savorytrestle::hosts {

/// @brief Start of all keys about hosts.
inline const std::string HostsPrefix = "hosts/";

/// @brief Start of the keys of the slots.
inline const std::string SlotPrefix = "hosts/slot/";

/// @brief Start of the keys of the records.
inline const std::string RecordPrefix = "hosts/record/";

/// @brief How the last use of a slot began and ended.
struct SlotRecord {
  /// Process that claimed it last.
  std::string Nonce;
  bool Released = false;
};

/// @brief A record with its revision.
struct StoredRecord {
  SlotRecord Record;
  store::Revision Revision = store::NoItem;
};

/// @brief All slots as read in one call.
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

/// @brief Writes a record as JSON text.
/// @param record the record
/// @return its text
std::string serializeRecord(const SlotRecord &record);

/// @brief Reads the slots from the entries under HostsPrefix.
/// @param entries the entries; unknown or malformed ones are passed over
/// @param slots how many slots exist
/// @return the table; O(entries)
SlotTable parseSlots(const std::vector<store::StoredItem> &entries,
                     std::uint32_t slots);

/// @brief Reads the holders of slots.
/// @param entries the entries under SlotPrefix
/// @return the hosts; malformed entries are passed over
std::vector<core::HostInfo>
parseHolders(const std::vector<store::StoredItem> &entries);

} // namespace savorytrestle::hosts

#endif
