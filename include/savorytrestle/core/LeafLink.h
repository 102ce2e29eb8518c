#ifndef SAVORYTRESTLE_CORE_LEAF_LINK_H
#define SAVORYTRESTLE_CORE_LEAF_LINK_H

/// @file
/// @brief Decides whether this host has lost its links to all leaves, as
/// opposed to some leaves being down.

#include <cstddef>
#include <map>
#include <string>

#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief Evidence from requests and probes.
///
/// Requests only raise a suspicion: several leaves may be down at once. Probes
/// of leaves chosen at random decide, since they fail all only if nearly all
/// leaves can't be reached.
class LeafLink {
public:
  /// @brief A connection to a leaf was established. O(leaves under suspicion).
  void onConnected();

  /// @brief A leaf answered, maybe on an old connection. O(leaves under
  /// suspicion).
  void onAnswer(TimePoint now);

  /// @brief A connection to a leaf could not be established. O(log leaves).
  void onConnectFailed(const std::string &leaf, TimePoint now);

  /// @brief A leaf has not answered a request for much longer than expected.
  /// Counts only if no leaf has answered since. O(log leaves).
  /// @param sentAt when the request was sent
  void onSilence(const std::string &leaf, TimePoint sentAt, TimePoint now);

  /// @brief Whether leaves should be probed now: there is a suspicion, or the
  /// links are lost and may be back. O(leaves under suspicion).
  bool probeDue(TimePoint now);

  /// @brief Probes were started.
  void onProbesStarted(TimePoint now);

  /// @brief Probes of distinct leaves ended.
  /// @param connected number of those that were established
  /// @param failed number of the others
  /// @return whether @ref lost has changed. O(1)
  bool onProbesEnded(std::size_t connected, std::size_t failed);

  /// @brief Whether the links to all leaves are lost.
  bool lost() const { return Lost; }

  /// @brief Whether a leaf has answered just now. Open connections may live on
  /// while no new one can be established.
  bool answersArrive(TimePoint now) const;

  /// @brief When a leaf answered last; TimePoint{} if none has.
  TimePoint lastAnswer() const { return LastAnswer; }

private:
  using Suspects = std::map<std::string, TimePoint>;

  static std::size_t countRecent(Suspects &suspects, TimePoint now);

  /// Leaves with failed connections since one was established, by time.
  Suspects Unreachable;
  /// Leaves that owe an answer since one came.
  Suspects Silent;
  TimePoint LastAnswer{};
  TimePoint NextProbe{};
  bool Lost = false;
};

} // namespace savorytrestle::core

#endif
