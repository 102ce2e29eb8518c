#include "savorytrestle/core/TopRecords.h"

#include <algorithm>
#include <functional>

namespace savorytrestle::core {

std::string greatestRecords(const std::vector<std::string_view> &parts,
                            std::size_t most) {
  std::vector<std::string_view> records;
  for (const std::string_view part : parts)
    for (std::size_t at = 0; at + RecordBytes <= part.size(); at += RecordBytes)
      records.push_back(part.substr(at, RecordBytes));
  const std::size_t n = std::min(most, records.size());
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
