#include "savorytrestle/core/balance/LeafReports.h"

#include <algorithm>
#include <numeric>

namespace savorytrestle::core {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds MaxReportAge{3000};
/// Reports that are older than the newest one on the leaf by more than this
/// don't tell its present state.
constexpr milliseconds MergeSpan{700};
constexpr std::size_t MinHosts = 2;

/// Returns the lower median; reorders the values.
double lowerMedian(std::vector<double> &values) {
  const auto middle =
      values.begin() + static_cast<long>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

/// Returns the mean without the highest value; nothing for fewer than two.
std::optional<double> meanWithoutHighest(const std::vector<double> &values) {
  if (values.size() < MinHosts)
    return std::nullopt;
  const double highest = *std::max_element(values.begin(), values.end());
  const double sum = std::accumulate(values.begin(), values.end(), 0.0);
  return (sum - highest) / static_cast<double>(values.size() - 1);
}

} // namespace

void LeafReports::add(const std::string &host, const std::string &leaf,
                      const LeafReport &report, TimePoint now) {
  ByLeaf[leaf][host] = {report, now};
}

std::map<std::string, AgedLeafReport> LeafReports::merge(TimePoint now) {
  std::map<std::string, AgedLeafReport> merged;
  for (auto it = ByLeaf.begin(); it != ByLeaf.end();) {
    auto &byHost = it->second;
    std::erase_if(byHost, [now](const auto &entry) {
      return now - entry.second.At > MaxReportAge;
    });
    if (byHost.empty()) {
      it = ByLeaf.erase(it);
      continue;
    }
    TimePoint newest{};
    for (const auto &[host, report] : byHost)
      newest = std::max(newest, report.At);
    std::vector<double> slowness;
    std::vector<double> failures;
    for (const auto &[host, report] : byHost) {
      if (newest - report.At > MergeSpan)
        continue;
      slowness.push_back(report.Report.Slowness);
      if (report.Report.FailureRate)
        failures.push_back(*report.Report.FailureRate);
    }
    if (slowness.size() >= MinHosts)
      merged[it->first] = {
          {lowerMedian(slowness), meanWithoutHighest(failures)}, now - newest};
    ++it;
  }
  return merged;
}

} // namespace savorytrestle::core
