#include "savorytrestle/core/DepartedLeaves.h"

namespace savorytrestle::core {

namespace {

/// Several times the leaves of a large deployment.
constexpr std::size_t MaxRuns = 16384;
/// Longest age of a copy from which the store comes back, its outage included.
constexpr std::chrono::minutes MaxCopyAge{5};
/// Within this time a leaf that shuts down as planned has updated its entry.
constexpr std::chrono::milliseconds MinNoticeDelay{1000};
/// The first notice takes about a second to reach all hosts; about twenty hosts
/// publish within it, however many there are.
constexpr std::chrono::milliseconds NoticeSpreadPerHost{50};

} // namespace

bool DepartedLeaves::add(const LeafRun &run) {
  if (!Runs.insert(run).second)
    return false;
  ByAge.push_back(run);
  if (ByAge.size() > MaxRuns) {
    Runs.erase(ByAge.front());
    ByAge.pop_front();
  }
  return true;
}

void RemovedRuns::onRemoved(const LeafRun &run, TimePoint now) {
  std::erase_if(RemovedAt,
                [now](const auto &it) { return now - it.second > MaxCopyAge; });
  RemovedAt[run] = now;
}

bool RemovedRuns::contains(const LeafRun &run, TimePoint now) const {
  const auto it = RemovedAt.find(run);
  return it != RemovedAt.end() && now - it->second <= MaxCopyAge;
}

Duration departureNoticeDelay(std::size_t hosts, double draw) {
  const Duration spread =
      NoticeSpreadPerHost * static_cast<Duration::rep>(hosts);
  return MinNoticeDelay + std::chrono::duration_cast<Duration>(spread * draw);
}

} // namespace savorytrestle::core
