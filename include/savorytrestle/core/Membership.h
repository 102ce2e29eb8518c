#ifndef SAVORYTRESTLE_CORE_MEMBERSHIP_H
#define SAVORYTRESTLE_CORE_MEMBERSHIP_H

/// @file
/// @brief Which hosts exist, which numbered slot each one holds, and until
/// when.
///
/// Hosts need not have the same view of this: a wrong one only costs capacity.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "savorytrestle/core/SearchTypes.h"
#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief Number of a host slot; its holder has one share of every leaf.
using SlotNumber = std::uint32_t;

/// @brief Identity, location and addresses of a host, as it publishes them.
struct HostInfo {
  std::string Id;
  /// Differs between two starts of the process.
  std::string Nonce;
  std::string FailureDomain;
  std::string Region;
  /// "ip:port" of the listener for other hosts.
  std::string PeerAddress;
  /// "ip:port" of the listener for callers.
  std::string CallerAddress;
  bool Draining = false;
};

/// @brief Converts a host to JSON text.
/// @param host the host
/// @return the text, equal for equal hosts
std::string serializeHost(const HostInfo &host);

/// @brief Parses a host from JSON text.
/// @param text the text
/// @return the host, or nothing if the text is malformed
std::optional<HostInfo> parseHost(const std::string &text);

/// @brief Times of the slot leases.
struct SlotTiming {
  /// Time to live of a slot's lease.
  std::chrono::milliseconds LeaseTime{15000};
  /// How long a holder that cannot reach the store keeps its slot past the end
  /// of its lease while no peer reports the same outage.
  std::chrono::milliseconds OutageGrace{20000};
  /// Age up to which a peer's report of an outage counts.
  std::chrono::milliseconds MaxPeerReportAge{5000};
  /// How long a slot whose lease lapsed stays unused; longer than the
  /// connections of a paused holder stay open.
  std::chrono::milliseconds LapseGrace{60000};

  /// @brief Time between renewals.
  /// @return a third of the lease time
  std::chrono::milliseconds renewalInterval() const { return LeaseTime / 3; }
};

/// @brief Derives the times from the size of the fleet.
/// @param hosts most hosts that hold slots at once
/// @return leases of 15 s for a small fleet, longer ones once renewals would
///   exceed their share of the store's writes
SlotTiming slotTiming(std::uint32_t hosts);

/// @brief Decides by the holder's own clock whether it may still use its slot.
///
/// The lease time runs from before the last confirmed renewal was sent, so the
/// lease ends for the holder no later than for the store. A holder that was
/// paused past that end has no slot until the store confirms it again.
class SlotLease {
public:
  /// @brief Starts without a slot.
  /// @param timing times of the lease
  explicit SlotLease(const SlotTiming &timing) : Timing(timing) {}

  /// @brief The store confirmed the claim or a renewal.
  /// @param slot the slot held
  /// @param sentAt when the confirmed call was sent
  void onConfirmed(SlotNumber slot, TimePoint sentAt);

  /// @brief The store reported the end of the lease, or the slot was released.
  void onEnded();

  /// @brief The store could not be reached.
  /// @param now when the attempt ended
  void onStoreUnreachable(TimePoint now);

  /// @brief A peer reported that it cannot reach the store either.
  /// @param now when it reported so
  void onPeerReportedOutage(TimePoint now) { PeerReportAt = now; }

  /// @brief The slot that the host may use.
  /// @param now the time
  /// @return the slot; nothing if none was claimed, the lease has ended, or
  ///   another host may have claimed the slot since
  std::optional<SlotNumber> slot(TimePoint now) const;

private:
  bool mayKeepDuringOutage(TimePoint now) const;

  SlotTiming Timing;
  std::optional<SlotNumber> Slot;
  TimePoint LeaseEnd;
  /// First and last of a run of failed attempts without a success or a pause in
  /// between.
  std::optional<TimePoint> FailingSince;
  TimePoint LastFailure;
  std::optional<TimePoint> PeerReportAt;
};

/// @brief State of one slot in the store.
struct SlotUse {
  SlotNumber Number = 0;
  bool Held = false;
  /// Whether any host ever claimed it.
  bool EverClaimed = false;
  /// Whether its last holder released it on a graceful stop.
  bool Released = false;
};

/// @brief Selects the free slots that a host may claim.
///
/// Records since when each slot has been seen free, as the store does not state
/// when a lease ended.
class SlotChooser {
public:
  /// @brief Creates a chooser that has seen no slot yet.
  /// @param timing times of the leases
  explicit SlotChooser(const SlotTiming &timing) : Timing(timing) {}

  /// @brief Lists the slots to claim, best first.
  /// @param slots all slots, as just read
  /// @param now the time
  /// @param rng orders equally good slots, so that hosts that start together
  ///   rarely claim the same one
  /// @return numbers of the slots that were never claimed, were released, or
  ///   lapsed at least the grace ago, in this order and within each group those
  ///   free for longest first; O(n log n)
  std::vector<SlotNumber> candidates(const std::vector<SlotUse> &slots,
                                     TimePoint now, Rng &rng);

private:
  SlotTiming Timing;
  std::map<SlotNumber, TimePoint> FreeSince;
};

/// @brief Number of live hosts of each failure domain.
using DomainCounts = std::map<std::string, std::uint32_t>;

/// @brief The fleet as this host sees it.
class Membership {
public:
  /// @brief Starts with an empty view.
  /// @param self identity of this host
  explicit Membership(std::string self) : Self(std::move(self)) {}

  /// @brief Replaces the hosts that hold slots.
  /// @param hosts the holders, one for each slot
  void setHosts(std::vector<HostInfo> hosts);

  /// @brief Replaces the hosts that the platform's list marks as leaving.
  /// @param leaving identities of hosts
  void setLeaving(std::vector<std::string> leaving);

  /// @brief A call to or from a host succeeded.
  /// @param id identity of the host
  void onReachable(const std::string &id) { FailuresByHost.erase(id); }

  /// @brief A call to a host failed.
  /// @param id identity of the host
  /// @param now when it failed
  void onUnreachable(const std::string &id, TimePoint now);

  /// @brief Hosts considered live, including this one if it holds a slot.
  /// @param now the time
  /// @return the hosts by rising identity
  std::vector<HostInfo> live(TimePoint now) const;

  /// @brief Counts live hosts by failure domain.
  /// @param now the time
  /// @return the counts
  DomainCounts liveByDomain(TimePoint now) const;

  /// @brief All hosts that hold slots, whether considered live or not.
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
