#ifndef SAVORYTRESTLE_SUPPORT_SOCKET_OPTIONS_H
#define SAVORYTRESTLE_SUPPORT_SOCKET_OPTIONS_H

/// @file
/// @brief TCP options that keep delays short and find dead connections.

#include <utility>

#include <chrono>
#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace savorytrestle::support {

/// @brief Sends small messages at once.
void setNoDelay(boost::asio::ip::tcp::socket &socket);

/// @brief Ends the connection when sent bytes stay unacknowledged.
/// @param socket an open socket
/// @param timeout for how long
void setUnackedTimeout(boost::asio::ip::tcp::socket &socket,
                       std::chrono::milliseconds timeout);

/// @brief Probes an idle connection, so that one that went silent is ended.
/// @param socket an open socket
/// @param interval time without traffic before the first probe, and between
/// probes; rounded up to whole seconds
/// @param probes unanswered probes after which it is ended
void setKeepAliveProbes(boost::asio::ip::tcp::socket &socket,
                        std::chrono::milliseconds interval, int probes);

/// @brief Reads "ip:port".
/// @param text the address
/// @param endpoint takes it
/// @return false when it isn't one
bool parseEndpoint(const std::string &text,
                   boost::asio::ip::tcp::endpoint &endpoint);

} // namespace savorytrestle::support

#endif
