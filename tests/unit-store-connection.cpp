#include "store/StoreConnection.h"

#include <functional>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

using namespace savorytrestle;
using boost::asio::ip::tcp;

namespace {

/// Listener that never accepts a connection. Once its queue is full, the first
/// packets of further handshakes are dropped, as in a network partition.
class SilentListener {
public:
  explicit SilentListener(boost::asio::io_context &io) : Acceptor(io) {
    const tcp::endpoint any(boost::asio::ip::address_v4::loopback(), 0);
    Acceptor.open(any.protocol());
    Acceptor.bind(any);
    Acceptor.listen(0);
    for (int i = 0; i < 4; ++i) {
      Fillers.emplace_back(io);
      Fillers.back().async_connect(Acceptor.local_endpoint(),
                                   [](const boost::system::error_code &) {});
    }
  }

  tcp::endpoint address() const { return Acceptor.local_endpoint(); }

private:
  tcp::acceptor Acceptor;
  std::vector<tcp::socket> Fillers;
};

TEST(StoreConnection, AWatchFailsSoonIfItCannotConnect) {
  boost::asio::io_context io;
  SilentListener store(io);
  io.run_for(std::chrono::milliseconds(50));
  const auto connection =
      std::make_shared<store::StoreConnection>(io, store.address());
  std::vector<store::StoreReply> replies;
  connection->call({"GET", "/", ""}, std::chrono::hours(1),
                   [&](store::StoreReply reply) {
                     replies.push_back(std::move(reply));
                     io.stop();
                   });
  io.restart();
  io.run_for(std::chrono::seconds(20));
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].Status, 0U);
  EXPECT_EQ(replies[0].Error, "not connected in time");
}

/// A call may be cancelled while its request is still being sent. The next call
/// must not modify the buffer of that write.
TEST(StoreConnection, ACallMayBeCancelledWhileItsRequestIsBeingSent) {
  boost::asio::io_context io;
  const tcp::endpoint any(boost::asio::ip::address_v4::loopback(), 0);
  tcp::acceptor acceptor(io, any);
  std::vector<tcp::socket> silent;
  const std::function<void()> accept = [&] {
    acceptor.async_accept(
        [&](const boost::system::error_code &ec, tcp::socket socket) {
          if (ec)
            return;
          silent.push_back(std::move(socket));
          accept();
        });
  };
  accept();
  const auto connection =
      std::make_shared<store::StoreConnection>(io, acceptor.local_endpoint());
  // Larger than the socket's buffers, so that its write doesn't complete.
  const std::string large(16 << 20, 'x');
  int replies = 0;
  for (int i = 0; i < 20; ++i) {
    connection->call({"POST", "/large", large}, std::chrono::hours(1),
                     [&](const store::StoreReply &) { ++replies; });
    io.run_for(std::chrono::milliseconds(5));
    connection->close();
    connection->call({"GET", "/small", ""}, std::chrono::hours(1),
                     [&](const store::StoreReply &) { ++replies; });
    io.run_for(std::chrono::milliseconds(5));
    connection->close();
  }
  EXPECT_EQ(replies, 0);
}

} // namespace
