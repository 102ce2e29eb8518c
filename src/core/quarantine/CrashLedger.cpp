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
  if (isOver(runs, now))
    runs.clear();
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
                            const std::vector<FatalRun> &unproven,
                            std::uint32_t lapsed) {
  const auto it = Requests.find(fingerprint);
  if (it != Requests.end() && isOver(it->second, now))
    it->second.clear();
  const Runs none;
  const Runs &runs = it == Requests.end() ? none : it->second;
  if (runs.size() + unproven.size() + lapsed < RunsToQuarantine)
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
  const std::uint32_t rounds = last == 0 ? 0 : last - first + 1;
  if (rounds + lapsed < RoundsToQuarantine && !allLong)
    return std::nullopt;
  if (runs.empty())
    return std::chrono::milliseconds(0);
  // Later ones run on probation.
  if (unproven.empty() && newest + QuarantineTime <= now)
    return std::nullopt;
  return std::max(std::chrono::milliseconds(0),
                  std::chrono::ceil<std::chrono::milliseconds>(
                      newest + QuarantineTime - now));
}

std::chrono::milliseconds CrashLedger::lifetimeOf(const Runs &runs) {
  std::size_t leaves = 0;
  for (const KnownRun &known : runs)
    leaves +=
        std::max<std::size_t>(known.Run.LastRound - known.Run.FirstRound + 1,
                              known.Run.Services.size());
  return leaves < RunsToQuarantine ? RunLifetime : LongRunLifetime;
}

bool CrashLedger::isOver(const Runs &runs, TimePoint now) {
  return !runs.empty() && runs.back().AddedAt + lifetimeOf(runs) <= now;
}

void CrashLedger::prune(TimePoint now) {
  std::erase_if(Requests, [now](const auto &it) {
    return it.second.empty() || isOver(it.second, now);
  });
}

bool CrashLedger::knows(const Fingerprint &fingerprint,
                        std::uint64_t runId) const {
  const auto it = Requests.find(fingerprint);
  return it != Requests.end() &&
         std::any_of(
             it->second.begin(), it->second.end(),
             [runId](const auto &known) { return known.Run.Id == runId; });
}

std::optional<FatalRun> CrashLedger::find(const Fingerprint &fingerprint,
                                          std::uint64_t runId,
                                          std::uint32_t leastRound) const {
  const auto it = Requests.find(fingerprint);
  if (it == Requests.end())
    return std::nullopt;
  const auto run = std::find_if(
      it->second.begin(), it->second.end(), [&](const KnownRun &known) {
        return known.Run.Id == runId && known.Run.LastRound >= leastRound;
      });
  return run == it->second.end() ? std::nullopt : std::optional(run->Run);
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
  // Requests that are to be remembered for long go last.
  const auto rank = [](const Runs &runs) {
    return runs.empty()
               ? std::pair(std::chrono::milliseconds(0), TimePoint::min())
               : std::pair(lifetimeOf(runs), runs.back().AddedAt);
  };
  Requests.erase(std::min_element(Requests.begin(), Requests.end(),
                                  [&](const auto &a, const auto &b) {
                                    return rank(a.second) < rank(b.second);
                                  }));
}

} // namespace savorytrestle::core
