#include "savorytrestle/core/quarantine/CrashLedger.h"

#include <algorithm>

#include <xxhash.h>

namespace savorytrestle::core {

ServiceHash hashService(std::string_view name) {
  return XXH3_64bits(name.data(), name.size());
}

CrashLedger::Runs::iterator CrashLedger::surplusRun(Runs &runs,
                                                    const FatalRun &added) {
  const auto sameRounds = [](const FatalRun &a, const FatalRun &b) {
    return a.FirstRound == b.FirstRound && a.LastRound == b.LastRound;
  };
  if (std::any_of(runs.begin(), runs.end(), [&](const KnownRun &it) {
        return sameRounds(it.Run, added);
      }))
    return runs.end();
  return std::find_if(runs.begin(), runs.end(), [&](const KnownRun &it) {
    return std::count_if(runs.begin(), runs.end(), [&](const KnownRun &other) {
             return sameRounds(it.Run, other.Run);
           }) > 1;
  });
}

bool CrashLedger::add(const FatalRun &run, TimePoint now) {
  Runs &runs = Requests[run.RequestFingerprint];
  std::erase_if(
      runs, [now](const auto &it) { return it.AddedAt + RunLifetime <= now; });
  const bool known =
      std::any_of(runs.begin(), runs.end(), [&](const KnownRun &it) {
        return it.Run.Id == run.Id && it.Run.FirstRound == run.FirstRound;
      });
  if (known)
    return false;
  if (runs.size() >= MaxRunsOfRequest) {
    // Many runs that began together must not hide the rounds that follow.
    const auto surplus = surplusRun(runs, run);
    if (surplus == runs.end())
      return false;
    runs.erase(surplus);
  }
  runs.push_back({run, now});
  if (Requests.size() > MaxRequests)
    evictOldest();
  return true;
}

void CrashLedger::remove(const Fingerprint &fingerprint, std::uint64_t runId,
                         std::uint32_t firstRound) {
  const auto it = Requests.find(fingerprint);
  if (it == Requests.end())
    return;
  std::erase_if(it->second, [&](const KnownRun &known) {
    return known.Run.Id == runId && known.Run.FirstRound == firstRound;
  });
  if (it->second.empty())
    Requests.erase(it);
}

std::vector<FatalRun>
CrashLedger::clear(const Fingerprint &fingerprint,
                   const std::set<ServiceHash> &answered) {
  const auto it = Requests.find(fingerprint);
  if (it == Requests.end())
    return {};
  std::vector<FatalRun> cleared;
  std::erase_if(it->second, [&](const KnownRun &known) {
    const auto &services = known.Run.Services;
    if (!std::all_of(services.begin(), services.end(),
                     [&](ServiceHash hash) { return answered.contains(hash); }))
      return false;
    cleared.push_back(known.Run);
    return true;
  });
  if (it->second.empty())
    Requests.erase(it);
  return cleared;
}

std::uint32_t CrashLedger::nextRound(const Fingerprint &fingerprint) const {
  const auto it = Requests.find(fingerprint);
  std::uint32_t last = 0;
  if (it != Requests.end())
    for (const KnownRun &known : it->second)
      last = std::max(last, known.Run.LastRound);
  return last + 1;
}

std::optional<std::chrono::milliseconds>
CrashLedger::quarantinedFor(const Fingerprint &fingerprint, TimePoint now,
                            const std::vector<FatalRun> &unproven) {
  const auto it = Requests.find(fingerprint);
  if (it != Requests.end())
    std::erase_if(it->second, [now](const auto &known) {
      return known.AddedAt + RunLifetime <= now;
    });
  const Runs none;
  const Runs &runs = it == Requests.end() ? none : it->second;
  if (runs.size() + unproven.size() < RunsToQuarantine)
    return std::nullopt;
  std::uint32_t first = UINT32_MAX;
  std::uint32_t last = 0;
  std::size_t longRuns = 0;
  const auto include = [&](const FatalRun &run) {
    first = std::min(first, run.FirstRound);
    last = std::max(last, run.LastRound);
    longRuns += run.LastRound > run.FirstRound ? 1 : 0;
  };
  TimePoint newest{};
  for (const KnownRun &known : runs) {
    include(known.Run);
    newest = std::max(newest, known.AddedAt);
  }
  for (const FatalRun &run : unproven)
    include(run);
  const bool allLong = longRuns == runs.size() + unproven.size() &&
                       longRuns >= LongRunsToQuarantine;
  if (last - first + 1 < RoundsToQuarantine && !allLong)
    return std::nullopt;
  return std::chrono::ceil<std::chrono::milliseconds>(newest + RunLifetime -
                                                      now);
}

bool CrashLedger::knows(const Fingerprint &fingerprint,
                        std::uint64_t runId) const {
  const auto it = Requests.find(fingerprint);
  return it != Requests.end() &&
         std::any_of(
             it->second.begin(), it->second.end(),
             [runId](const auto &known) { return known.Run.Id == runId; });
}

std::size_t CrashLedger::runCount(const Fingerprint &fingerprint) const {
  const auto it = Requests.find(fingerprint);
  return it == Requests.end() ? 0 : it->second.size();
}

std::vector<CrashLedger::KnownRun>
CrashLedger::newestRuns(std::size_t most) const {
  Runs all;
  for (const auto &[fingerprint, runs] : Requests)
    all.insert(all.end(), runs.begin(), runs.end());
  std::sort(all.begin(), all.end(),
            [](const auto &a, const auto &b) { return a.AddedAt < b.AddedAt; });
  if (all.size() > most)
    all.erase(all.begin(), all.end() - static_cast<long>(most));
  return all;
}

void CrashLedger::evictOldest() {
  const auto lastAdded = [](const Runs &runs) {
    return runs.empty() ? TimePoint::min() : runs.back().AddedAt;
  };
  Requests.erase(std::min_element(
      Requests.begin(), Requests.end(), [&](const auto &a, const auto &b) {
        return lastAdded(a.second) < lastAdded(b.second);
      }));
}

} // namespace savorytrestle::core
