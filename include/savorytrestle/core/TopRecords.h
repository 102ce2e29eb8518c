#ifndef SAVORYTRESTLE_CORE_TOP_RECORDS_H
#define SAVORYTRESTLE_CORE_TOP_RECORDS_H

/// @file
/// @brief Merge of the shards' records into a caller's answer.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace savorytrestle::core {

/// Bytes of one record.
inline constexpr std::size_t RecordBytes = 16;

/// @brief The greatest records of several parts, greatest first, compared byte
/// by byte; equal records all count. A remainder shorter than a record is
/// ignored. O(n log most).
/// @param parts bodies of the parts
/// @param maxRecords records wanted at the most
/// @return the records, one after the other
std::string greatestRecords(const std::vector<std::string_view> &parts,
                            std::size_t maxRecords);

} // namespace savorytrestle::core

#endif
