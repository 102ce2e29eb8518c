#ifndef SAVORYTRESTLE_CORE_ADMISSION_LOAD_ADMISSION_H
#define SAVORYTRESTLE_CORE_ADMISSION_LOAD_ADMISSION_H

/// @file
/// @brief Decides by load whether a host sends a request to leaves now, holds
/// it for a short time, or refuses it.

#include <map>
#include <string>
#include <utility>

#include "savorytrestle/core/Time.h"
#include "savorytrestle/core/admission/LeafRoom.h"

namespace savorytrestle::core {

/// @brief A kind of requests: those of one route and rank.
struct RequestKind {
  /// Service, or first shard, that all requests compared have in common.
  std::string Service;
  std::string Route;
  /// The caller's workspace; empty if it has none.
  std::string Workspace;
  /// 0 is the most urgent.
  int Rank = 0;
  Duration Objective{};
  /// Time for which a leaf executes such a request; zero if unknown.
  Duration Work{};
};

/// @brief What to do with a request.
enum class AdmissionStep {
  Admit,  ///< send it
  Hold,   ///< decide again after @ref AdmissionVerdict::Wait
  Refuse, ///< answer 503
};

/// @brief A decision and the reason for it.
struct AdmissionVerdict {
  AdmissionStep Step = AdmissionStep::Admit;
  /// Hold: time until the next decision. Refuse: time until room is expected.
  Duration Wait{};
  /// "" if admitted; else "full", "late" or "rank".
  const char *Why = "";
};

/// @brief Admission of one host; not thread-safe.
///
/// While the wait at the leaves exceeds what the most urgent objective allows,
/// fewer requests are admitted, of the least urgent rank first; the next rank
/// follows when that one is down to its least share. Each host follows the
/// waits that it sees itself, so that no messages are needed and a host with
/// few requests reacts like one with many.
class LoadAdmission {
public:
  /// @brief Records that a request arrived. O(log kinds).
  void onArrival(const RequestKind &kind, TimePoint now);

  /// @brief Decides about a request. O(kinds of the service).
  /// @param kind its kind
  /// @param room room of the services that it needs
  /// @param timeLeft time until its deadline
  /// @param held time for which it has been held
  /// @param draw uniform random number in [0, 1), the same at each decision
  /// about one request
  /// @param now current time
  AdmissionVerdict decide(const RequestKind &kind, const Room &room,
                          Duration timeLeft, Duration held, double draw,
                          TimePoint now);

private:
  struct Seen {
    Duration Objective{};
    TimePoint LastArrival{};
    TimePoint LastAdmitted{};
  };
  /// Rank, and whether the kind is patient: patient kinds give way to others of
  /// their rank.
  using Order = std::pair<int, bool>;
  struct ServiceState {
    /// Kinds by order and route.
    std::map<std::pair<Order, std::string>, Seen> Kinds;
    /// Number of ranks that are held back, least urgent first; a fraction holds
    /// back a part of the next rank's requests. Never all ranks.
    double RanksHeldBack = 0;
    TimePoint Updated{};
  };

  /// Adapts the ranks held back to a wait that was seen.
  static void adapt(ServiceState &service, Duration wait, TimePoint now);
  /// Part of the requests of an order that is admitted.
  static double admittedShare(const ServiceState &service, const Order &order,
                              TimePoint now);
  static Order orderOf(const RequestKind &kind);
  /// Whether few of a workspace's requests were admitted, compared with all.
  bool isStarved(const std::string &workspace, TimePoint now);

  /// Recent requests, decayed with time.
  struct Counts {
    double Arrived = 0;
    double Admitted = 0;
    TimePoint Updated{};

    void decay(TimePoint now);
  };

  std::map<std::string, ServiceState> Services;
  std::map<std::string, Counts> Workspaces;
  Counts All;
};

} // namespace savorytrestle::core

#endif
