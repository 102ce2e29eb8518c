#include "savorytrestle/core/rates/RateController.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <xxhash.h>

namespace savorytrestle::core {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr std::size_t MaxControllers = 3;
/// Time over which the demand is averaged.
constexpr Seconds DemandTime{0.5};
/// Time in which the requests saved up may be spent, and a debt is repaid.
constexpr Seconds SpendTime{1};
/// Part of the burst that is kept for requests admitted before their host
/// learns that the limit is reached.
constexpr double Reserve = 0.35;
/// Part of the slack with which a controller starts.
constexpr double InitialSlackPart = 0.5;
/// Relative fall of the share, and time while it is below 1, after which all
/// hosts are told.
constexpr double NoticeStep = 0.25;
constexpr std::chrono::milliseconds NoticeInterval{1000};
/// Longest debt, in seconds of the rate.
constexpr Seconds MaxDebt{5};

} // namespace

std::vector<std::string>
chooseControllers(std::string_view workspace,
                  const std::vector<std::string> &hosts) {
  std::vector<std::pair<XXH64_hash_t, const std::string *>> scores;
  scores.reserve(hosts.size());
  for (const std::string &host : hosts)
    scores.emplace_back(
        XXH3_64bits_withSeed(workspace.data(), workspace.size(),
                             XXH3_64bits(host.data(), host.size())),
        &host);
  const std::size_t n = std::min(MaxControllers, scores.size());
  std::partial_sort(scores.begin(), scores.begin() + static_cast<long>(n),
                    scores.end(), [](const auto &a, const auto &b) {
                      return a.first != b.first ? a.first > b.first
                                                : *a.second < *b.second;
                    });
  std::vector<std::string> controllers;
  for (std::size_t i = 0; i < n; ++i)
    controllers.push_back(*scores[i].second);
  return controllers;
}

void RateController::setQuota(const RateQuota &quota, double slack,
                              TimePoint now) {
  Slack = slack;
  advance(now);
  Quota = quota;
  Saved = std::min(Saved, capacity());
}

void RateController::setShare(double share, TimePoint now) {
  advance(now);
  Share = share;
  Saved = std::min(Saved, capacity());
}

void RateController::advance(TimePoint now) {
  // The slack covers the requests of a workspace with a small limit, whose
  // demand is above its rate at each request.
  if (At == TimePoint{}) {
    At = now;
    Saved = std::max(Saved, InitialSlackPart * Slack);
  }
  const Seconds passed = std::max(now - At, Duration::zero());
  At = std::max(At, now);
  Saved = std::min(capacity(), Saved + Share * Quota.Rate * passed.count());
  Demand *= std::exp(-passed.count() / DemandTime.count());
}

RateVerdict RateController::record(const RateReport &report, TimePoint now) {
  advance(now);
  const double rate = Share * Quota.Rate;
  Saved = std::max(Saved - report.Admitted, -MaxDebt.count() * rate - Slack);
  Demand += report.Arrived / DemandTime.count();
  const double spendable = std::max(0.0, Saved - Reserve * Share * Quota.Burst);
  RateVerdict verdict{report.Workspace};
  if (Saved < 0)
    verdict.AdmitShare = 0;
  else if (const double allowed = rate + spendable / SpendTime.count();
           Demand > allowed)
    verdict.AdmitShare = allowed / Demand;
  if (Saved < 1 && rate > 0)
    verdict.Wait = std::chrono::ceil<std::chrono::milliseconds>(
        Seconds((1 - Saved) / rate));
  Last = verdict;
  return verdict;
}

std::optional<RateVerdict> RateController::takeNotice(TimePoint now) {
  const bool lower = Last.AdmitShare < NoticedShare * (1 - NoticeStep);
  const bool due = Last.AdmitShare < 1 && now - NoticedAt >= NoticeInterval;
  if (NoticedShare < 1 && now - NoticedAt > NoticeInterval)
    NoticedShare = 1;
  if (!lower && !due)
    return std::nullopt;
  NoticedShare = Last.AdmitShare;
  NoticedAt = now;
  return Last;
}

} // namespace savorytrestle::core
