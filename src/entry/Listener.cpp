#include "entry/Listener.h"

#include <algorithm>

#include "support/Log.h"
#include "support/SocketOptions.h"

namespace savorytrestle::entry {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::chrono::seconds TimeoutCheckInterval{1};
/// Pause after a failed accept, mostly caused by a lack of file descriptors.
constexpr std::chrono::milliseconds AcceptRetryDelay{50};
constexpr int Backlog = 1024;

} // namespace

Listener::Listener(boost::asio::io_context &context,
                   std::shared_ptr<SessionContext> sharedContext)
    : Io(context), Acceptor(context), TimeoutCheckTimer(context),
      SharedContext(std::move(sharedContext)) {}

core::Result<void> Listener::open(const std::string &address) {
  tcp::endpoint endpoint;
  if (!support::parseEndpoint(address, endpoint))
    return core::makeError(core::ErrorCode::InvalidSettings,
                           address + ": not an ip:port address");
  error_code ec;
  Acceptor.open(endpoint.protocol(), ec);
  if (!ec)
    Acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec)
    Acceptor.bind(endpoint, ec);
  if (!ec)
    Acceptor.listen(Backlog, ec);
  if (ec)
    return core::makeError(core::ErrorCode::Internal,
                           "listen on " + address + ": " + ec.message());
  accept();
  scheduleTimeoutCheck();
  return {};
}

void Listener::accept() {
  Acceptor.async_accept(
      [self = shared_from_this()](error_code ec, tcp::socket socket) {
        self->onAccept(ec, std::move(socket));
      });
}

void Listener::onAccept(error_code ec, tcp::socket socket) {
  if (!Acceptor.is_open())
    return;
  if (ec) {
    support::LogLine("accept_failed").with("why", ec.message());
    auto timer =
        std::make_shared<boost::asio::steady_timer>(Io, AcceptRetryDelay);
    timer->async_wait(
        [self = shared_from_this(), timer](error_code) { self->accept(); });
    return;
  }
  auto session =
      std::make_shared<CallerSession>(std::move(socket), SharedContext);
  Sessions.push_back(session);
  session->start();
  accept();
}

void Listener::scheduleTimeoutCheck() {
  TimeoutCheckTimer.expires_after(TimeoutCheckInterval);
  TimeoutCheckTimer.async_wait([self = shared_from_this()](error_code ec) {
    if (ec)
      return;
    const auto now = std::chrono::steady_clock::now();
    self->connectionCount();
    for (const auto &weak : self->Sessions)
      if (const auto session = weak.lock())
        session->enforceTimeouts(now);
    self->scheduleTimeoutCheck();
  });
}

void Listener::stopAccepting() {
  error_code ignored; // the socket is closed even if this fails
  Acceptor.close(ignored);
}

void Listener::closeIdleConnections() {
  for (const auto &weak : Sessions)
    if (const auto session = weak.lock())
      session->closeIfIdle();
}

std::size_t Listener::busyConnections() const {
  return static_cast<std::size_t>(
      std::count_if(Sessions.begin(), Sessions.end(), [](const auto &weak) {
        const auto session = weak.lock();
        return session && session->busy();
      }));
}

std::size_t Listener::connectionCount() {
  Sessions.erase(
      std::remove_if(Sessions.begin(), Sessions.end(),
                     [](const auto &weak) { return weak.expired(); }),
      Sessions.end());
  return Sessions.size();
}

} // namespace savorytrestle::entry
