#ifndef SAVORYTRESTLE_LEAF_LEAF_PROBER_H
#define SAVORYTRESTLE_LEAF_LEAF_PROBER_H

/// @file
/// @brief Opens connections to leaves to find out whether this host reaches
/// any.

#include <utility>

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "leaf/LeafDirectory.h"
#include "savorytrestle/core/LeafLink.h"

namespace savorytrestle::leaf {

/// @brief Probes leaves whenever @ref core::LeafLink asks for it.
class LeafProber : public std::enable_shared_from_this<LeafProber> {
public:
  using StateHandler = std::function<void(bool lost)>;

  /// @brief Makes a prober.
  /// @param io runs its handlers
  /// @param leaves the leaves, and the evidence on the links to them
  /// @param onState called when the links are lost or back, and after each
  /// round of probes while they are lost
  LeafProber(boost::asio::io_context &io, LeafDirectory &leaves,
             StateHandler onState);

  /// @brief Starts to look for evidence, several times a second.
  void start();

private:
  /// Connections of one round, and their results.
  struct Round;

  void scheduleCheck();
  void check();
  void probe();
  void onRoundEnded(const Round &round);

  boost::asio::io_context &Io;
  boost::asio::steady_timer Timer;
  LeafDirectory &Leaves;
  StateHandler OnState;
};

} // namespace savorytrestle::leaf

#endif
