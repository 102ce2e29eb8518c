#ifndef SAVORYTRESTLE_CORE_TOP_RECORDS_H
#define SAVORYTRESTLE_CORE_TOP_RECORDS_H

/// @file
/// @brief Merges the records of all shards into the answer to a caller.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace savorytrestle::core {

/// Size of one record in bytes.
inline constexpr std::size_t RecordBytes = 16;

/// @brief Returns the greatest records of several bodies in descending order.
///
/// Records are compared as unsigned bytes; duplicates are kept. Trailing bytes
/// that do not form a whole record are ignored. O(n log maxRecords).
/// @param parts bodies, each a sequence of records
/// @param maxRecords most records to return
/// @return the concatenated records
std::string greatestRecords(const std::vector<std::string_view> &parts,
                            std::size_t maxRecords);

} // namespace savorytrestle::core

#endif
