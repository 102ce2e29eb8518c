#ifndef SAVORYTRESTLE_ENTRY_LISTENER_H
#define SAVORYTRESTLE_ENTRY_LISTENER_H

/// @file
/// @brief Accepts callers' connections and enforces their time-outs.

#include <utility>

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "entry/CallerSession.h"
#include "savorytrestle/core/Error.h"

namespace savorytrestle::entry {

/// @brief One listening socket and the connections accepted on it.
class Listener : public std::enable_shared_from_this<Listener> {
public:
  /// @brief Creates a listener that isn't open yet.
  Listener(boost::asio::io_context &context,
           std::shared_ptr<SessionContext> sharedContext);

  /// @brief Opens the socket and starts to accept.
  /// @param address "ip:port"
  /// @return an error if listening on the address fails
  core::Result<void> open(const std::string &address);

  /// @brief Address of the open socket.
  boost::asio::ip::tcp::endpoint address() const {
    return Acceptor.local_endpoint();
  }

  /// @brief Closes the listening socket; open connections stay.
  void stopAccepting();

  /// @brief Closes the connections that carry no request.
  void closeIdleConnections();

  /// @brief Number of connections whose request is being handled or answered.
  std::size_t busyConnections() const;

  /// @brief Number of open connections. Drops the entries of closed ones.
  std::size_t connectionCount();

private:
  void accept();
  void onAccept(boost::system::error_code ec,
                boost::asio::ip::tcp::socket socket);
  void scheduleTimeoutCheck();

  boost::asio::io_context &Io;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer TimeoutCheckTimer;
  std::shared_ptr<SessionContext> SharedContext;
  std::vector<std::weak_ptr<CallerSession>> Sessions;
};

} // namespace savorytrestle::entry

#endif
