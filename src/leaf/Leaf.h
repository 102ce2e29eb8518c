#ifndef SAVORYTRESTLE_LEAF_LEAF_H
#define SAVORYTRESTLE_LEAF_LEAF_H

/// @file
/// @brief One start of a leaf as this host knows it: its entry, what was seen
/// of it, and the connections to it.

#include <utility>

#include <memory>
#include <vector>

#include "leaf/LeafConnection.h"
#include "savorytrestle/core/LeafEntry.h"
#include "savorytrestle/core/LeafScore.h"

namespace savorytrestle::leaf {

/// @brief One start of a leaf.
class Leaf : public std::enable_shared_from_this<Leaf> {
public:
  /// @brief Makes a leaf without connections.
  /// @param io runs the handlers of its connections
  /// @param entry what it says of itself
  /// @param address its address, decoded
  /// @param distance how far it is from this host
  Leaf(boost::asio::io_context &io, core::LeafEntry entry,
       const boost::asio::ip::tcp::endpoint &address,
       core::LeafDistance distance);

  const core::LeafEntry &entry() const { return Entry; }
  const boost::asio::ip::tcp::endpoint &address() const { return Address; }

  /// @brief Takes a newer entry of the same start.
  void update(core::LeafEntry entry);

  /// @brief The leaf is leaving: no new requests, idle connections close.
  void retire();

  /// @brief Whether it takes new requests.
  bool acceptsRequests() const { return !Retired; }

  /// @brief Takes this host's part of the connections that the leaf accepts.
  void setMaxConnections(std::size_t maxConnections) {
    MaxConnections = maxConnections;
  }

  /// @brief Whether a connection can be had now.
  bool hasFreeConnection() const;

  /// @brief Takes an idle connection, the one used last, or a new one.
  /// @return the connection, or null when there is no room
  std::shared_ptr<LeafConnection> acquireConnection();

  /// @brief Gives a connection back that can carry further requests.
  void releaseConnection(std::shared_ptr<LeafConnection> connection);

  /// @brief What this host has seen of the leaf.
  core::LeafScore &score() { return Score; }
  const core::LeafScore &score() const { return Score; }

private:
  boost::asio::io_context &Io;
  core::LeafEntry Entry;
  boost::asio::ip::tcp::endpoint Address;
  core::LeafScore Score;
  std::vector<std::shared_ptr<LeafConnection>> Idle;
  std::size_t ConnectionCount = 0;
  std::size_t MaxConnections = 4;
  bool Retired = false;
};

} // namespace savorytrestle::leaf

#endif
