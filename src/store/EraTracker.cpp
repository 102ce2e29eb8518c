#include "store/EraTracker.h"

#include "support/Log.h"

namespace savorytrestle::store {

bool EraTracker::observe(std::optional<Era> era) {
  if (!era)
    return true;
  if (!Newest) {
    Oldest = Newest = era;
    return true;
  }
  if (*era <= *Newest)
    return *era == *Newest;
  support::LogLine("store_era_rose").with("era", *era).with("before", *Newest);
  Newest = era;
  for (const RiseHandler &handler : Handlers)
    handler(*era);
  return true;
}

} // namespace savorytrestle::store
