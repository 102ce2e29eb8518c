#ifndef SAVORYTRESTLE_CORE_MEMBERSHIP_H
#define SAVORYTRESTLE_CORE_MEMBERSHIP_H

/// @file
/// @brief Which hosts exist, which numbered slot a host holds, and until when.
///
/// Nothing here needs hosts to agree: a wrong view costs capacity only.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "savorytrestle/core/SearchTypes.h"
#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief Number of a host slot; each slot carries one share of every leaf.
using SlotNumber = std::uint32_t;

/// @brief What a host says about itself.
struct HostInfo {
  std::string Id;
  /// New with each start of the process.
  std::string Nonce;
  std::string FailureDomain;
  std::string Region;
  /// "ip:port" of the listener for other hosts.
  std::string PeerAddress;
  /// "ip:port" of the listener for callers.
  std::string CallerAddress;
  bool Draining = false;
};

/// @brief Writes a host as JSON text.
/// @param host the host
/// @return its text, the same for equal hosts
std::string serializeHost(const HostInfo &host);

/// @brief Reads a host from JSON text.
/// @param text the text
/// @return the host, or nothing when the text is malformed
std::optional<HostInfo> parseHost(const std::string &text);

/// @brief Times of the slot leases.
struct SlotTiming {
  /// Time to live of a slot's lease.
  std::chrono::milliseconds LeaseTime{15000};
  /// How long a holder that can't reach the store keeps its slot past the end
  /// of its lease without any peer that says the same.
  std::chrono::milliseconds OutageGrace{20000};
  /// How long a peer's word that the store is down counts.
  std::chrono::milliseconds MaxPeerReportAge{5000};
  /// How long a slot that lapsed stays unused; longer than the connections of
  /// a paused holder live.
  std::chrono::milliseconds LapseGrace{60000};

  /// @brief Time between renewals.
  /// @return a third of the lease time
  std::chrono::milliseconds renewalInterval() const { return LeaseTime / 3; }
};

/// @brief Derives the times from the size of the fleet.
/// @param hosts most hosts that hold slots at once
/// @return 15 s leases for a small fleet, longer ones once renewals would cost
///   the store more than its share
SlotTiming slotTiming(std::uint32_t hosts);

/// @brief What a host may still assume about its slot, by its own clock.
///
/// The lease counts from before its last confirmed renewal was sent, so the
/// holder's view ends no later than the store's. A holder that was paused past
/// that end holds nothing until the store confirms it again.
class SlotLease {
public:
  /// @brief Starts without a slot.
  /// @param timing times of the lease
  explicit SlotLease(const SlotTiming &timing) : Timing(timing) {}

  /// @brief The store confirmed the claim or a renewal.
  /// @param slot the slot held
  /// @param sentAt when the confirmed call was sent
  void onConfirmed(SlotNumber slot, TimePoint sentAt);

  /// @brief The store said that the lease has ended, or the slot was released.
  void onEnded();

  /// @brief The store could not be reached.
  /// @param now when the attempt ended
  void onStoreUnreachable(TimePoint now);

  /// @brief A peer said that it can't reach the store either.
  /// @param now when it said so
  void onPeerReportedOutage(TimePoint now) { PeerReportAt = now; }

  /// @brief The slot that may be used.
  /// @param now the time
  /// @return the slot; nothing when it was never claimed, has ended, or may
  ///   have been given to another host
  std::optional<SlotNumber> slot(TimePoint now) const;

private:
  bool mayKeepDuringOutage(TimePoint now) const;

  SlotTiming Timing;
  std::optional<SlotNumber> Slot;
  TimePoint LeaseEnd;
  /// First and last of an unbroken run of failed attempts.
  std::optional<TimePoint> FailingSince;
  TimePoint LastFailure;
  std::optional<TimePoint> PeerReportAt;
};

/// @brief Use of one slot as the store shows it.
struct SlotUse {
  SlotNumber Number = 0;
  bool Held = false;
  /// Whether any host ever claimed it.
  bool EverClaimed = false;
  /// Whether its last holder released it on a graceful stop.
  bool Released = false;
};

/// @brief Picks free slots, those free for longest first.
///
/// Remembers since when it has seen each lapsed slot free; the store does not
/// tell when a lease ended.
class SlotChooser {
public:
  /// @brief Takes the times to respect.
  /// @param timing times of the leases
  explicit SlotChooser(const SlotTiming &timing) : Timing(timing) {}

  /// @brief Orders the slots to try.
  /// @param slots all slots, as just read
  /// @param now the time
  /// @param rng orders equally good slots, so that hosts that start together
  ///   seldom meet
  /// @return numbers in the order to try: never used, released, lapsed longer
  ///   ago than the grace; empty when there are none of these; O(n log n)
  std::vector<SlotNumber> candidates(const std::vector<SlotUse> &slots,
                                     TimePoint now, Rng &rng);

private:
  SlotTiming Timing;
  std::map<SlotNumber, TimePoint> FreeSince;
};

/// @brief Live hosts of a failure domain.
using DomainCounts = std::map<std::string, std::uint32_t>;

/// @brief A host's own view of the fleet.
class Membership {
public:
  /// @brief Starts with an empty view.
  /// @param self identity of this host
  explicit Membership(std::string self) : Self(std::move(self)) {}

  /// @brief Replaces the hosts that hold slots.
  /// @param hosts the holders, one for each slot
  void setHosts(std::vector<HostInfo> hosts);

  /// @brief Replaces the identities that the platform's list calls leaving.
  /// @param leaving identities of hosts
  void setLeaving(std::vector<std::string> leaving);

  /// @brief A call to or from a host succeeded.
  /// @param id identity of the host
  void onReachable(const std::string &id) { FailuresByHost.erase(id); }

  /// @brief A call to a host failed.
  /// @param id identity of the host
  /// @param now when it failed
  void onUnreachable(const std::string &id, TimePoint now);

  /// @brief Hosts believed to be live, this one included if it holds a slot.
  /// @param now the time
  /// @return the hosts by rising identity
  std::vector<HostInfo> live(TimePoint now) const;

  /// @brief Counts live hosts by failure domain.
  /// @param now the time
  /// @return the counts
  DomainCounts liveByDomain(TimePoint now) const;

  /// @brief All hosts that hold slots, believed live or not.
  /// @return the hosts by rising identity
  const std::vector<HostInfo> &all() const { return Hosts; }

private:
  struct Failures {
    std::uint32_t Count = 0;
    TimePoint Last;
  };

  bool isSuspect(const std::string &id, TimePoint now) const;

  std::string Self;
  std::vector<HostInfo> Hosts;
  std::vector<std::string> Leaving;
  std::map<std::string, Failures> FailuresByHost;
};

} // namespace savorytrestle::core

#endif
