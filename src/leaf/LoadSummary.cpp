#include "leaf/LoadSummary.h"

namespace savorytrestle::leaf {

LoadSummary summarizeLoad(const LeafDirectory &leaves,
                          const core::ServingConfig &config,
                          core::TimePoint now) {
  LoadSummary summary;
  std::size_t services = 0;
  core::Duration::rep reports = 0;
  for (const core::ServiceRule &rule : config.Services) {
    const Service *const service = leaves.findService(rule.Name);
    if (service == nullptr || service->Leaves.empty())
      continue;
    ++services;
    summary.OthersPerSlot += service->OthersLoad.perSlot();
    for (const auto &leaf : service->Leaves) {
      const auto at = leaf->score().loadReportedAt();
      if (at == core::TimePoint{}) {
        ++summary.Unreported;
        continue;
      }
      ++reports;
      summary.MeanReportAge += now - at;
    }
  }
  if (services > 0)
    summary.OthersPerSlot /= static_cast<double>(services);
  if (reports > 0)
    summary.MeanReportAge /= reports;
  return summary;
}

} // namespace savorytrestle::leaf
