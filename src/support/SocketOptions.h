#ifndef SAVORYTRESTLE_SUPPORT_SOCKET_OPTIONS_H
#define SAVORYTRESTLE_SUPPORT_SOCKET_OPTIONS_H

/// @file
/// @brief TCP options that reduce delays and detect dead connections.

#include <utility>

#include <chrono>
#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace savorytrestle::support {

/// @brief Sends small messages immediately (TCP_NODELAY).
void setNoDelay(boost::asio::ip::tcp::socket &socket);

/// @brief Closes the connection when sent bytes stay unacknowledged.
/// @param socket an open socket
/// @param timeout longest time without an acknowledgement
void setUnackedTimeout(boost::asio::ip::tcp::socket &socket,
                       std::chrono::milliseconds timeout);

/// @brief Probes an idle connection and closes it when the peer does not
/// respond.
/// @param socket an open socket
/// @param interval time without traffic before the first probe, and between
/// probes; rounded up to whole seconds
/// @param probes number of unanswered probes after which it is closed
void setKeepAliveProbes(boost::asio::ip::tcp::socket &socket,
                        std::chrono::milliseconds interval, int probes);

/// @brief Parses "ip:port".
/// @param text the address
/// @param endpoint set to the address
/// @return false when the text isn't an address
bool parseEndpoint(const std::string &text,
                   boost::asio::ip::tcp::endpoint &endpoint);

} // namespace savorytrestle::support

#endif
