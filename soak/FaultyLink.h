#ifndef SAVORYTRESTLE_SOAK_FAULTY_LINK_H
#define SAVORYTRESTLE_SOAK_FAULTY_LINK_H

/// @file
/// @brief A loopback proxy with injectable faults.

#include <utility>

#include <fcntl.h>

#include <array>
#include <list>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace savorytrestle::soak {

/// @brief Fault of a link.
enum class LinkFault {
  None,
  Delays,            ///< bytes arrive later
  HoldsToServer,     ///< bytes to the server are held until the fault ends
  HoldsToClient,     ///< bytes from the server are held until the fault ends
  HoldsBoth,         ///< as in a network partition
  ResetsConnections, ///< connections are reset at their first byte
  RefusesNew,        ///< new connections are refused, open ones live on
  Cut,               ///< new connections are refused, bytes are held
};

/// @brief Keeps a socket from host processes that are started later, which
/// would hold its port and connection.
template <typename S> void closeOnExec(S &socket) {
  fcntl(socket.native_handle(), F_SETFD, FD_CLOEXEC);
}

/// @brief One direction of a connection.
class LinkDirection : public std::enable_shared_from_this<LinkDirection> {
public:
  using Socket = boost::asio::ip::tcp::socket;

  LinkDirection(boost::asio::io_context &io, std::shared_ptr<Socket> from,
                std::shared_ptr<Socket> to, const LinkFault &fault,
                LinkFault holdingFault)
      : Timer(io), From(std::move(from)), To(std::move(to)), Fault(fault),
        HoldingFault(holdingFault) {}

  void readNext() {
    From->async_read_some(
        boost::asio::buffer(Buffer),
        [self = shared_from_this()](const boost::system::error_code &ec,
                                    std::size_t n) {
          if (ec)
            return self->resetBoth();
          self->forward(n);
        });
  }

private:
  static constexpr std::chrono::milliseconds AddedDelay{60};
  static constexpr std::chrono::milliseconds HoldPollInterval{20};

  void forward(std::size_t n) {
    if (Fault == LinkFault::ResetsConnections)
      return resetBoth();
    const bool held = Fault == HoldingFault || Fault == LinkFault::HoldsBoth ||
                      Fault == LinkFault::Cut;
    if (!held && Fault != LinkFault::Delays)
      return write(n);
    Timer.expires_after(held ? HoldPollInterval : AddedDelay);
    Timer.async_wait([self = shared_from_this(), n,
                      held](const boost::system::error_code &ec) {
      if (ec || !self->From->is_open())
        return self->resetBoth();
      // Held bytes are forwarded after the fault ends.
      held ? self->forward(n) : self->write(n);
    });
  }

  void write(std::size_t n) {
    boost::asio::async_write(
        *To, boost::asio::buffer(Buffer, n),
        [self = shared_from_this()](const boost::system::error_code &ec,
                                    std::size_t) {
          if (ec)
            return self->resetBoth();
          self->readNext();
        });
  }

  void resetBoth() {
    for (const auto &socket : {From, To}) {
      boost::system::error_code ignored; // the socket may be closed already
      socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }

  boost::asio::steady_timer Timer;
  std::shared_ptr<Socket> From;
  std::shared_ptr<Socket> To;
  const LinkFault &Fault;
  const LinkFault HoldingFault;
  std::array<char, 16384> Buffer{};
};

/// @brief A listener that proxies connections to a server. It must outlive
/// these connections.
class FaultyLink {
public:
  using Endpoint = boost::asio::ip::tcp::endpoint;

  /// @param port port to listen on; 0 for any. A link that refuses connections
  /// for a time needs one below the ephemeral range.
  FaultyLink(boost::asio::io_context &io, Endpoint server, int port = 0)
      : Io(io), Acceptor(io, {boost::asio::ip::address_v4::loopback(),
                              static_cast<unsigned short>(port)}),
        Own(Acceptor.local_endpoint()), Server(std::move(server)) {
    closeOnExec(Acceptor);
    accept();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Own.port());
  }

  void setFault(LinkFault fault) {
    Fault = fault;
    if (fault == LinkFault::RefusesNew || fault == LinkFault::Cut) {
      Acceptor.close();
    } else if (!Acceptor.is_open()) {
      Acceptor = boost::asio::ip::tcp::acceptor(Io, Own);
      closeOnExec(Acceptor);
      accept();
    }
  }

private:
  using SocketPtr = std::shared_ptr<boost::asio::ip::tcp::socket>;

  void accept() {
    const auto client = std::make_shared<boost::asio::ip::tcp::socket>(Io);
    Acceptor.async_accept(*client,
                          [this, client](const boost::system::error_code &ec) {
                            if (ec)
                              return;
                            closeOnExec(*client);
                            open(client);
                            accept();
                          });
  }

  void open(const SocketPtr &client) {
    const auto server = std::make_shared<boost::asio::ip::tcp::socket>(Io);
    server->async_connect(
        Server, [this, client, server](const boost::system::error_code &ec) {
          if (ec)
            return;
          closeOnExec(*server);
          std::make_shared<LinkDirection>(Io, client, server, Fault,
                                          LinkFault::HoldsToServer)
              ->readNext();
          std::make_shared<LinkDirection>(Io, server, client, Fault,
                                          LinkFault::HoldsToClient)
              ->readNext();
        });
  }

  boost::asio::io_context &Io;
  boost::asio::ip::tcp::acceptor Acceptor;
  const Endpoint Own;
  Endpoint Server;
  LinkFault Fault = LinkFault::None;
};

} // namespace savorytrestle::soak

#endif
