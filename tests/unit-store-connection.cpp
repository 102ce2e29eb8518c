#include "store/StoreConnection.h"

#include <functional>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include "standins/HostileBytes.h"
#include "standins/RawLeaf.h"
#include "standins/ResponseHeads.h"

using namespace savorytrestle;
using namespace std::chrono_literals;
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

/// A store that sends the same bytes for each call.
class RawStoreTest : public ::testing::Test {
protected:
  void startStore(tests::RawAnswer answer) {
    Store = std::make_unique<tests::RawLeaf>(
        Io,
        [answer = std::move(answer)](const std::string &) { return answer; });
    Connection = std::make_shared<store::StoreConnection>(Io, Store->address());
  }

  store::StoreReply call(std::chrono::milliseconds timeout) {
    store::StoreReply got;
    Connection->call({"GET", "/kv-watch", ""}, timeout,
                     [&](store::StoreReply reply) {
                       got = std::move(reply);
                       Io.stop();
                     });
    Io.restart();
    Io.run_for(10s);
    return got;
  }

  boost::asio::io_context Io;
  std::unique_ptr<tests::RawLeaf> Store;
  std::shared_ptr<store::StoreConnection> Connection;
};

/// Guards against an interim response that is taken for the reply: the reply
/// itself would then be that of the next call.
TEST_F(RawStoreTest, InterimResponsesBeforeTheReplyAreSkipped) {
  for (const std::string &interim : tests::interimResponses())
    for (const int count : {1, 200}) {
      startStore({.Bytes = tests::repeat(interim, count),
                  .Rest = interim + tests::leafAnswer("hello")});
      for (int i = 0; i < 2; ++i) {
        const auto reply = call(5s);
        EXPECT_EQ(reply.Status, 200U) << interim;
        EXPECT_EQ(reply.Body, "hello") << interim;
      }
      EXPECT_EQ(Store->connections(), 1) << interim;
    }
}

TEST_F(RawStoreTest, ACallWithoutAFinalReplyFailsInTimeAndMayHaveRun) {
  for (const std::string &interim : tests::interimResponses()) {
    startStore({interim});
    const auto start = std::chrono::steady_clock::now();
    const auto reply = call(100ms);
    EXPECT_EQ(reply.Status, 0U) << interim;
    EXPECT_EQ(reply.Error, "no reply in time");
    EXPECT_TRUE(reply.MayHaveExecuted);
    EXPECT_LT(std::chrono::steady_clock::now() - start, 2s);
  }
}

/// Guards against a status that no reply may have, and against waiting for the
/// end of its body, for as long as a watch waits.
TEST_F(RawStoreTest, AnInvalidStatusFailsTheCallAtOnce) {
  for (const std::string &head : tests::invalidHeads())
    for (const char *rest :
         {"\r\n", "\r\nendless", "Content-Length: 9\r\n\r\nhello"}) {
      startStore({head + rest});
      const auto reply = call(1h);
      EXPECT_EQ(reply.Status, 0U) << head;
      EXPECT_NE(reply.Error.find("status"), std::string::npos) << reply.Error;
      EXPECT_TRUE(reply.MayHaveExecuted);
    }
}

/// Guards against the end of the host by a reply of the store, or of another
/// host whose feed it reads.
TEST_F(RawStoreTest, HostileRepliesFailTheCall) {
  for (const auto &[name, bytes] : tests::hostileMessages("HTTP/1.1 200 OK")) {
    startStore({bytes});
    store::StoreReply reply;
    EXPECT_NO_THROW(reply = call(1h)) << name;
    EXPECT_TRUE(reply.Status == 0U || name == "trailer of many fields") << name;
    EXPECT_TRUE(reply.MayHaveExecuted) << name;
  }
}

/// Guards against replies that fill the host's memory, and against the loss of
/// what large configurations in a row take.
TEST_F(RawStoreTest, LargeRepliesAreReadWithinABound) {
  const std::string body(17 << 20, 'x');
  startStore({tests::leafAnswer(body)});
  EXPECT_EQ(call(1h).Body.size(), body.size());
  const std::string endless(40 << 20, 'x');
  startStore({"HTTP/1.1 200 OK\r\n\r\n" + endless});
  EXPECT_EQ(call(1h).Status, 0U);
}

TEST_F(RawStoreTest, InterimResponsesWithoutAnEndFailTheCall) {
  startStore({tests::repeat("HTTP/1.1 100 \r\n\r\n", 100000)});
  EXPECT_EQ(call(1h).Error, "too many interim responses");
}

} // namespace
