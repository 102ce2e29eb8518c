#include "leaf/LeafConnection.h"

#include <gtest/gtest.h>

#include "standins/RawLeaf.h"

using namespace savorytrestle;
using namespace std::chrono_literals;
using leaf::Delivery;
using leaf::LeafConnection;
using leaf::LeafReply;
using tests::leafAnswer;
using tests::RawAnswer;
using tests::RawLeaf;

namespace {

leaf::LeafRequest request(const std::string &body = "") {
  leaf::LeafRequest request{boost::beast::http::verb::get, "/a/", 11};
  request.set("Host", "a.example");
  request.body() = body;
  request.prepare_payload();
  return request;
}

class LeafConnectionTest : public ::testing::Test {
protected:
  void answerWith(const RawAnswer &answer) {
    Leaf = std::make_unique<RawLeaf>(
        Io, [answer](const std::string &) { return answer; });
    Connection =
        std::make_shared<LeafConnection>(Io, [this] { ++ClosedCalls; });
  }

  /// Sends one request and runs until its reply, or for a while.
  LeafReply send() {
    LeafReply got;
    Replies = 0;
    Connection->send(Leaf->address(), request(), [&](LeafReply reply) {
      ++Replies;
      got = std::move(reply);
      Io.stop();
    });
    Io.restart();
    Io.run_for(5s);
    return got;
  }

  void settle() {
    Io.restart();
    Io.run_for(30ms);
  }

  boost::asio::io_context Io;
  std::unique_ptr<RawLeaf> Leaf;
  std::shared_ptr<LeafConnection> Connection;
  int Replies = 0;
  int ClosedCalls = 0;
};

TEST_F(LeafConnectionTest, CarriesRequestsOneAfterTheOther) {
  answerWith({leafAnswer("hello", "Keep-Alive: timeout=7\r\n")});
  EXPECT_EQ(send().Answer.body(), "hello");
  EXPECT_TRUE(Connection->ready());
  EXPECT_EQ(Connection->keepAlive(), 7s);
  EXPECT_EQ(send().Answer.body(), "hello");
  EXPECT_EQ(Leaf->connections(), 1);
}

TEST_F(LeafConnectionTest, AnAnswerCutShortIsNoAnswer) {
  std::string cut = leafAnswer("hello");
  cut.pop_back();
  answerWith({cut, 0ms, true});
  const auto reply = send();
  EXPECT_EQ(reply.Result, Delivery::Broken);
  EXPECT_EQ(ClosedCalls, 1);
}

TEST_F(LeafConnectionTest, AnAnswerWithoutLengthEndsWithItsConnection) {
  answerWith({"HTTP/1.1 200 OK\r\n\r\nhello", 0ms, true});
  const auto reply = send();
  EXPECT_EQ(reply.Result, Delivery::Answered);
  EXPECT_EQ(reply.Answer.body(), "hello");
  EXPECT_FALSE(Connection->ready());
}

TEST_F(LeafConnectionTest, AnAnswerWithoutLengthThatIsResetIsNoAnswer) {
  answerWith({"HTTP/1.1 200 OK\r\n\r\nhello", 0ms, false, true});
  EXPECT_EQ(send().Result, Delivery::Broken);
}

TEST_F(LeafConnectionTest, ExtraBytesSpoilTheConnectionNotTheAnswer) {
  answerWith({leafAnswer("hello") + leafAnswer("other")});
  EXPECT_EQ(send().Answer.body(), "hello");
  EXPECT_FALSE(Connection->ready());
  EXPECT_EQ(ClosedCalls, 1);
}

TEST_F(LeafConnectionTest, AnIdleConnectionThatTheLeafClosesIsNotReady) {
  answerWith({leafAnswer("hello"), 0ms, true});
  EXPECT_EQ(send().Answer.body(), "hello");
  settle();
  EXPECT_FALSE(Connection->ready());
  EXPECT_EQ(ClosedCalls, 1);
}

TEST_F(LeafConnectionTest, BytesThatAreNoAnswerAreBroken) {
  answerWith({"garbage\r\n\r\n"});
  EXPECT_EQ(send().Result, Delivery::Broken);
}

TEST_F(LeafConnectionTest, ARefusedConnectionHasSentNothing) {
  answerWith({""});
  const auto address = Leaf->address();
  Leaf.reset();
  LeafReply got{Delivery::Answered, {}, ""};
  Connection->send(address, request(), [&](LeafReply reply) {
    got = std::move(reply);
    Io.stop();
  });
  Io.restart();
  Io.run_for(5s);
  EXPECT_EQ(got.Result, Delivery::NotSent);
}

TEST_F(LeafConnectionTest, ClosingEndsTheLeafsWorkAndCallsNobody) {
  answerWith({leafAnswer("late"), 1h});
  int replies = 0;
  Connection->send(Leaf->address(), request(),
                   [&](const LeafReply &) { ++replies; });
  settle();
  Connection->close();
  settle();
  EXPECT_EQ(replies, 0);
  EXPECT_EQ(Leaf->requests(), 1);
}

} // namespace
