#include "support/SocketOptions.h"

#include <absl/strings/numbers.h>
#include <netinet/tcp.h>

namespace savorytrestle::support {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

namespace {

/// Errors are ignored: without one of these options a connection still works,
/// but detects later that its peer is gone.
template <int Name> void setTcp(tcp::socket &socket, int value) {
  using Option = boost::asio::detail::socket_option::integer<IPPROTO_TCP, Name>;
  error_code ec;
  socket.set_option(Option(value), ec);
}

} // namespace

void setNoDelay(tcp::socket &socket) {
  error_code ec; // ignored, as in setTcp
  socket.set_option(tcp::no_delay(true), ec);
}

void setUnackedTimeout(tcp::socket &socket, milliseconds timeout) {
  setTcp<TCP_USER_TIMEOUT>(socket, static_cast<int>(timeout.count()));
}

void setKeepAliveProbes(tcp::socket &socket, milliseconds interval,
                        int probes) {
  error_code ec; // ignored, as in setTcp
  socket.set_option(boost::asio::socket_base::keep_alive(true), ec);
  const int seconds = static_cast<int>(
      std::chrono::ceil<std::chrono::seconds>(interval).count());
  setTcp<TCP_KEEPIDLE>(socket, seconds);
  setTcp<TCP_KEEPINTVL>(socket, seconds);
  setTcp<TCP_KEEPCNT>(socket, probes);
}

bool parseEndpoint(const std::string &text, tcp::endpoint &endpoint) {
  const auto colon = text.rfind(':');
  int port = 0;
  error_code ec;
  if (colon == std::string::npos ||
      !absl::SimpleAtoi(text.substr(colon + 1), &port) || port < 0 ||
      port > 65535)
    return false;
  const auto ip = boost::asio::ip::make_address(text.substr(0, colon), ec);
  if (ec)
    return false;
  endpoint = {ip, static_cast<unsigned short>(port)};
  return true;
}

} // namespace savorytrestle::support
