#include "registry/RateLimitNotices.h"

#include <algorithm>
#include <cmath>

namespace savorytrestle::registry {

namespace {

/// Relative difference up to which a published limit is left as it is.
constexpr double PublishTolerance = 0.1;

bool isClose(double published, double limit) {
  return std::abs(published - limit) <= PublishTolerance * limit;
}

} // namespace

RateLimitNotices::RateLimitNotices(boost::asio::io_context &io,
                                   leaf::LeafDirectory &leaves,
                                   PublishHandler onPublish)
    : Leaves(leaves), OnPublish(std::move(onPublish)),
      Pending(std::make_shared<PendingNotices>(
          io, [this](const auto &due) { publish(due); })) {}

void RateLimitNotices::onObserved(const core::LeafRun &run) {
  Pending->add(run, Leaves.draw());
}

std::optional<double>
RateLimitNotices::publishedByOthers(const core::LeafRun &run) const {
  for (const auto &[host, said] : ByHost)
    if (const auto it = said.Limits.find(run); it != said.Limits.end())
      return it->second;
  return std::nullopt;
}

bool RateLimitNotices::endedByOthers(const core::LeafRun &run) const {
  return std::any_of(ByHost.begin(), ByHost.end(), [&](const auto &it) {
    return it.second.Ended.contains(run);
  });
}

void RateLimitNotices::onPublished(const std::string &host,
                                   const PublishedRateLimits &said) {
  const auto before = std::exchange(ByHost[host], said);
  const PublishedRateLimits ownBefore = Own;
  for (const auto &[run, limit] : said.Limits) {
    const auto it = before.Limits.find(run);
    if (it != before.Limits.end() && it->second == limit)
      continue;
    Own.Ended.erase(run);
    Leaves.applyPublishedRateLimit(run, limit);
  }
  for (const core::LeafRun &run : said.Ended) {
    if (before.Ended.contains(run))
      continue;
    Leaves.applyPublishedRateLimit(run, std::nullopt);
    // Unless this host has read the limit in an answer since.
    if (!Leaves.observedRateLimit(run))
      Own.Limits.erase(run);
  }
  for (const auto &[run, limit] : before.Limits) {
    if (publishedByOthers(run) || endedByOthers(run))
      continue;
    // The host that published it has started again.
    if (Leaves.observedRateLimit(run))
      Pending->add(run, Leaves.draw());
    else
      Leaves.applyPublishedRateLimit(run, std::nullopt);
  }
  publishChange(ownBefore);
}

void RateLimitNotices::publish(const std::vector<core::LeafRun> &due) {
  const PublishedRateLimits before = Own;
  for (const core::LeafRun &run : due) {
    const auto limit = Leaves.observedRateLimit(run);
    const auto others = publishedByOthers(run);
    if (!limit) {
      const bool published = Own.Limits.erase(run) > 0 || others;
      if (published && !endedByOthers(run))
        Own.Ended.insert(run);
      continue;
    }
    Own.Ended.erase(run);
    const auto it = Own.Limits.find(run);
    if (it != Own.Limits.end() ? !isClose(it->second, *limit)
                               : !others || !isClose(*others, *limit))
      Own.Limits[run] = *limit;
  }
  // The runs of leaves that are gone.
  std::erase_if(Own.Limits,
                [this](const auto &it) { return !Leaves.runOf(it.first.Id); });
  std::erase_if(Own.Ended,
                [this](const auto &run) { return !Leaves.runOf(run.Id); });
  publishChange(before);
}

void RateLimitNotices::publishChange(const PublishedRateLimits &before) {
  if (Own != before)
    OnPublish(Own);
}

} // namespace savorytrestle::registry
