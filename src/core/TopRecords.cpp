#include "savorytrestle/core/TopRecords.h"

#include <algorithm>
#include <functional>

namespace savorytrestle::core {

std::string greatestRecords(const std::vector<std::string_view> &parts,
                            std::size_t maxRecords) {
  std::vector<std::string_view> records;
  for (const std::string_view part : parts)
    for (std::size_t offset = 0; offset + RecordBytes <= part.size();
         offset += RecordBytes)
      records.push_back(part.substr(offset, RecordBytes));
  const std::size_t n = std::min(maxRecords, records.size());
  // string_view compares as unsigned bytes.
  std::partial_sort(records.begin(),
                    records.begin() + static_cast<std::ptrdiff_t>(n),
                    records.end(), std::greater<>());
  std::string merged;
  merged.reserve(n * RecordBytes);
  for (std::size_t i = 0; i < n; ++i)
    merged += records[i];
  return merged;
}

} // namespace savorytrestle::core
