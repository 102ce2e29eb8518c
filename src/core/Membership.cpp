#include "savorytrestle/core/Membership.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace savorytrestle::core {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// Renewals of slots that the store is to process per second, of several
/// hundred writes per second in total.
constexpr std::uint32_t MaxRenewalsPerSecond = 80;

/// Consecutive failures after which a host is not considered live.
constexpr std::uint32_t SuspectAfterFailures = 3;

/// How long after its last failure a host is not considered live.
constexpr milliseconds SuspectDuration{10000};

std::string stringField(const json &parsed, const char *key) {
  const auto it = parsed.find(key);
  return it != parsed.end() && it->is_string() ? it->get<std::string>()
                                               : std::string();
}

bool byId(const HostInfo &a, const HostInfo &b) { return a.Id < b.Id; }

} // namespace

std::string serializeHost(const HostInfo &host) {
  const json value = {{"id", host.Id},
                      {"nonce", host.Nonce},
                      {"failure_domain", host.FailureDomain},
                      {"region", host.Region},
                      {"peer_address", host.PeerAddress},
                      {"caller_address", host.CallerAddress},
                      {"draining", host.Draining}};
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<HostInfo> parseHost(const std::string &text) {
  const json parsed = json::parse(text, nullptr, false);
  if (!parsed.is_object())
    return std::nullopt;
  HostInfo host;
  host.Id = stringField(parsed, "id");
  host.Nonce = stringField(parsed, "nonce");
  host.FailureDomain = stringField(parsed, "failure_domain");
  host.Region = stringField(parsed, "region");
  host.PeerAddress = stringField(parsed, "peer_address");
  host.CallerAddress = stringField(parsed, "caller_address");
  const auto it = parsed.find("draining");
  host.Draining = it != parsed.end() && it->is_boolean() && it->get<bool>();
  if (host.Id.empty() || host.PeerAddress.empty())
    return std::nullopt;
  return host;
}

SlotTiming slotTiming(std::uint32_t hosts) {
  SlotTiming timing;
  const milliseconds affordable(3ULL * 1000 * hosts / MaxRenewalsPerSecond);
  timing.LeaseTime = std::max(timing.LeaseTime, affordable);
  return timing;
}

void SlotLease::onConfirmed(SlotNumber slot, TimePoint sentAt) {
  Slot = slot;
  LeaseEnd = sentAt + Timing.LeaseTime;
  FailingSince.reset();
  PeerReportAt.reset();
}

void SlotLease::onEnded() {
  Slot.reset();
  FailingSince.reset();
  PeerReportAt.reset();
}

void SlotLease::onStoreUnreachable(TimePoint now) {
  // A gap between attempts means that this process was paused. Failures before
  // the gap do not show that the outage lasted through it.
  if (!FailingSince || now - LastFailure > Timing.LeaseTime)
    FailingSince = now;
  LastFailure = now;
}

std::optional<SlotNumber> SlotLease::slot(TimePoint now) const {
  if (!Slot || (now >= LeaseEnd && !mayKeepDuringOutage(now)))
    return std::nullopt;
  return Slot;
}

// While no host reaches the store, none can claim the slot either. The outage
// must have been seen before the lease ended: one that is first seen later may
// have begun after another host claimed the slot.
bool SlotLease::mayKeepDuringOutage(TimePoint now) const {
  if (!FailingSince || *FailingSince >= LeaseEnd)
    return false;
  if (now - LastFailure > Timing.LeaseTime)
    return false;
  if (now < LeaseEnd + Timing.OutageGrace)
    return true;
  return PeerReportAt && now - *PeerReportAt <= Timing.MaxPeerReportAge;
}

std::vector<SlotNumber>
SlotChooser::candidates(const std::vector<SlotUse> &slots, TimePoint now,
                        Rng &rng) {
  struct Candidate {
    int Rank;
    TimePoint FreeSince;
    std::uint64_t Tie;
    SlotNumber Number;
  };
  std::vector<Candidate> usable;
  for (const auto &use : slots) {
    if (use.Held) {
      FreeSince.erase(use.Number);
      continue;
    }
    const auto since = FreeSince.try_emplace(use.Number, now).first->second;
    const bool neverClaimed = !use.EverClaimed;
    const bool graceElapsed = now - since >= Timing.LapseGrace;
    // A paused holder's connections may still be open: having no slot costs
    // capacity, while sharing one could exceed the leaves' connection limits.
    if (neverClaimed || use.Released || graceElapsed)
      usable.push_back({neverClaimed ? 0 : (use.Released ? 1 : 2), since, rng(),
                        use.Number});
  }
  std::sort(usable.begin(), usable.end(), [](const auto &a, const auto &b) {
    return std::tie(a.Rank, a.FreeSince, a.Tie) <
           std::tie(b.Rank, b.FreeSince, b.Tie);
  });
  std::vector<SlotNumber> numbers;
  numbers.reserve(usable.size());
  for (const auto &candidate : usable)
    numbers.push_back(candidate.Number);
  return numbers;
}

void Membership::setHosts(std::vector<HostInfo> hosts) {
  std::sort(hosts.begin(), hosts.end(), byId);
  // A host that was replaced may hold two slots until its old lease ends.
  hosts.erase(
      std::unique(hosts.begin(), hosts.end(),
                  [](const auto &a, const auto &b) { return a.Id == b.Id; }),
      hosts.end());
  Hosts = std::move(hosts);
  std::erase_if(FailuresByHost, [&](const auto &item) {
    return std::none_of(Hosts.begin(), Hosts.end(), [&](const auto &host) {
      return host.Id == item.first;
    });
  });
}

void Membership::setLeaving(std::vector<std::string> leaving) {
  Leaving = std::move(leaving);
}

void Membership::onUnreachable(const std::string &id, TimePoint now) {
  auto &failures = FailuresByHost[id];
  ++failures.Count;
  failures.Last = now;
}

bool Membership::isSuspect(const std::string &id, TimePoint now) const {
  const auto it = FailuresByHost.find(id);
  return it != FailuresByHost.end() &&
         it->second.Count >= SuspectAfterFailures &&
         now - it->second.Last < SuspectDuration;
}

std::vector<HostInfo> Membership::live(TimePoint now) const {
  std::vector<HostInfo> found;
  for (const auto &host : Hosts) {
    const bool leaving =
        host.Draining ||
        std::find(Leaving.begin(), Leaving.end(), host.Id) != Leaving.end();
    if (!leaving && (host.Id == Self || !isSuspect(host.Id, now)))
      found.push_back(host);
  }
  return found;
}

DomainCounts Membership::liveByDomain(TimePoint now) const {
  DomainCounts counts;
  for (const auto &host : live(now))
    ++counts[host.FailureDomain];
  return counts;
}

} // namespace savorytrestle::core
