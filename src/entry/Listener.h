#ifndef SAVORYTRESTLE_ENTRY_LISTENER_H
#define SAVORYTRESTLE_ENTRY_LISTENER_H

/// @file
/// @brief Accepts connections and keeps an eye on them.

#include <utility>

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "entry/CallerSession.h"
#include "savorytrestle/core/Error.h"

namespace savorytrestle::entry {

/// @brief One listening socket and its connections.
class Listener : public std::enable_shared_from_this<Listener> {
public:
  /// @brief Makes a listener that isn't open yet.
  Listener(boost::asio::io_context &context,
           std::shared_ptr<SessionContext> sharedContext);

  /// @brief Opens it and begins to accept.
  /// @param address "ip:port"
  /// @return an error when the address can't be listened on
  core::Result<void> open(const std::string &address);

  /// @brief Address it listens on; only when open.
  boost::asio::ip::tcp::endpoint address() const {
    return Acceptor.local_endpoint();
  }

  /// @brief Accepts no further connections.
  void stopAccepting();

  /// @brief Ends connections without a request.
  void closeIdleConnections();

  /// @brief Connections with a request in hand.
  std::size_t busyConnections() const;

  /// @brief All open connections.
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
