#ifndef SAVORYTRESTLE_LEAF_LEAF_ENDINGS_H
#define SAVORYTRESTLE_LEAF_LEAF_ENDINGS_H

/// @file
/// @brief Finds out whether a leaf's process has ended after a connection to it
/// broke, as opposed to the connection alone, or after this host closed one
/// under a request.

#include <utility>

#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "savorytrestle/core/DepartedLeaves.h"

namespace savorytrestle::leaf {

/// @brief What is known of a leaf's process since a connection to it broke, or
/// was closed by this host.
enum class LeafSign {
  None,    ///< nothing shows that it has ended
  Pending, ///< a new connection is being tried
  Silent,  ///< the connection could not be established in time
  Accepts, ///< something listens at the leaf's address
  Refuses, ///< nothing listens at the leaf's address
  Ended,   ///< its entry is gone, or another process is at its address
};

/// @brief One run of a leaf to which a connection broke.
struct SuspectedLeaf {
  core::LeafRun Run;
  LeafSign Sign = LeafSign::Pending;
  /// When the process last answered or accepted a connection.
  core::TimePoint AliveAt{};
  /// Whether connections are being tried to find out if it has ended, and when
  /// the last try is made.
  bool BeingTried = false;
  core::TimePoint TriedUntil{};

  /// @brief Whether the process is known to have ended.
  bool hasEnded() const {
    return Sign == LeafSign::Ended || Sign == LeafSign::Refuses;
  }
};

/// @brief Tries connections to leaves and takes in changes of their entries.
/// Not thread-safe: used on the data thread only.
class LeafEndings {
public:
  /// Connections that are tried at a time; leaves beyond it count as silent
  /// until their entry changes.
  static constexpr std::size_t MaxTries = 32;

  /// @param io runs its handlers, none of which may run after its end
  explicit LeafEndings(boost::asio::io_context &io) : Io(io) {}

  /// @brief A connection to a leaf broke while it carried a request.
  /// @param run the leaf's process
  /// @param address the leaf's address
  /// @param replaced whether another run has an entry in its place
  /// @return what is known of the process; changes with time
  std::shared_ptr<const SuspectedLeaf>
  suspect(const core::LeafRun &run,
          const boost::asio::ip::tcp::endpoint &address, bool replaced);

  /// @brief Tries connections to a leaf that this host has closed some to. Its
  /// sign changes only if it has ended.
  /// @param until when the last try is made; two are made at least
  void check(const std::shared_ptr<SuspectedLeaf> &leaf,
             const boost::asio::ip::tcp::endpoint &address,
             core::TimePoint until = {});

  /// @brief The entry of a run has been removed, or a leaf in its place has
  /// answered that it is another one. O(suspects).
  void onEnded(const core::LeafRun &run);

  /// @brief A run has an entry: others of its name or address have ended.
  /// O(suspects).
  void onRunSeen(const core::LeafRun &run);

private:
  void tryConnection(const std::shared_ptr<SuspectedLeaf> &suspect,
                     const boost::asio::ip::tcp::endpoint &address,
                     bool isFirst);
  void onTried(const std::shared_ptr<SuspectedLeaf> &suspect,
               const boost::asio::ip::tcp::endpoint &address, LeafSign sign,
               bool isFirst);
  void checkOnce(const std::shared_ptr<SuspectedLeaf> &leaf,
                 const boost::asio::ip::tcp::endpoint &address, int tries);
  /// Tries a connection after a delay.
  template <typename F>
  void tryAfter(std::chrono::milliseconds delay,
                const boost::asio::ip::tcp::endpoint &address, F onTried);
  template <typename F> void forEach(F f);

  boost::asio::io_context &Io;
  /// Connections being tried.
  std::size_t Tries = 0;
  std::vector<std::weak_ptr<SuspectedLeaf>> Suspects;
};

} // namespace savorytrestle::leaf

#endif
