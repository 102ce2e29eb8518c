#include "leaf/LeafConnection.h"

#include <vector>

#include <gtest/gtest.h>

#include "standins/HostileBytes.h"
#include "standins/RawLeaf.h"
#include "standins/ResponseHeads.h"

using namespace savorytrestle;
using namespace std::chrono_literals;
using leaf::Delivery;
using leaf::LeafConnection;
using leaf::LeafReply;
using tests::leafAnswer;
using tests::RawAnswer;
using tests::RawLeaf;
using tests::repeat;

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
  void startLeaf(const RawAnswer &answer) {
    Leaf = std::make_unique<RawLeaf>(
        Io, [answer](const std::string &) { return answer; });
    Connection = std::make_shared<LeafConnection>(
        Io, [this] { ++CloseCalls; }, Memory);
  }

  /// Sends one request and runs until its reply, for at most 5 s.
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

  void runBriefly() {
    Io.restart();
    Io.run_for(30ms);
  }

  /// Runs until the connection can carry no further request.
  bool closesSoon() {
    const auto until = std::chrono::steady_clock::now() + 5s;
    while (Connection->ready() && std::chrono::steady_clock::now() < until)
      runBriefly();
    return !Connection->ready();
  }

  boost::asio::io_context Io;
  std::unique_ptr<RawLeaf> Leaf;
  std::shared_ptr<leaf::AnswerMemory> Memory =
      std::make_shared<leaf::AnswerMemory>(
          leaf::AnswerLimits{1 << 20, 4 << 20});
  std::shared_ptr<LeafConnection> Connection;
  int Replies = 0;
  int CloseCalls = 0;
};

TEST_F(LeafConnectionTest, ReusesTheConnection) {
  startLeaf({leafAnswer("hello", "Keep-Alive: timeout=7\r\n")});
  EXPECT_EQ(send().Answer.body(), "hello");
  EXPECT_TRUE(Connection->ready());
  EXPECT_EQ(Connection->keepAlive(), 7s);
  EXPECT_EQ(send().Answer.body(), "hello");
  EXPECT_EQ(Leaf->connections(), 1);
}

TEST_F(LeafConnectionTest, ATruncatedAnswerIsBroken) {
  std::string cut = leafAnswer("hello");
  cut.pop_back();
  startLeaf({cut, 0ms, true});
  const auto reply = send();
  EXPECT_EQ(reply.Result, Delivery::Broken);
  EXPECT_EQ(CloseCalls, 1);
}

/// Guards against an answer whose head was cut and that is passed on as whole.
TEST_F(LeafConnectionTest, AnAnswerThatIsCutAnywhereInItsHeadIsBroken) {
  for (const std::string &head :
       {std::string("HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n\r\n"),
        std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
        std::string("HTTP/1.1 204 No Content\r\nServer-Stamp: s\r\n\r\n")})
    for (std::size_t n = 0; n < head.size(); ++n) {
      startLeaf({head.substr(0, n), 0ms, true});
      EXPECT_EQ(send().Result, Delivery::Broken) << head.substr(0, n);
    }
}

TEST_F(LeafConnectionTest, AnAnswerWithoutLengthEndsAtClose) {
  startLeaf({"HTTP/1.1 200 OK\r\n\r\nhello", 0ms, true});
  const auto reply = send();
  EXPECT_EQ(reply.Result, Delivery::Answered);
  EXPECT_EQ(reply.Answer.body(), "hello");
  EXPECT_FALSE(Connection->ready());
}

TEST_F(LeafConnectionTest, AnAnswerWithoutLengthIsBrokenByAReset) {
  startLeaf({"HTTP/1.1 200 OK\r\n\r\nhello", 0ms, false, true});
  EXPECT_EQ(send().Result, Delivery::Broken);
}

TEST_F(LeafConnectionTest, ExtraBytesCloseTheConnectionAfterTheAnswer) {
  startLeaf({leafAnswer("hello") + leafAnswer("other")});
  EXPECT_EQ(send().Answer.body(), "hello");
  EXPECT_FALSE(Connection->ready());
  EXPECT_EQ(CloseCalls, 1);
}

TEST_F(LeafConnectionTest, IsNotReadyAfterTheLeafHasClosed) {
  startLeaf({leafAnswer("hello"), 0ms, true});
  EXPECT_EQ(send().Answer.body(), "hello");
  runBriefly();
  EXPECT_FALSE(Connection->ready());
  EXPECT_EQ(CloseCalls, 1);
}

TEST_F(LeafConnectionTest, AMalformedAnswerIsBroken) {
  startLeaf({"garbage\r\n\r\n"});
  EXPECT_EQ(send().Result, Delivery::Broken);
}

TEST_F(LeafConnectionTest, ARefusedConnectionIsNotSent) {
  startLeaf({""});
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

TEST_F(LeafConnectionTest, CloseDropsThePendingReply) {
  startLeaf({leafAnswer("late"), 1h});
  int replies = 0;
  Connection->send(Leaf->address(), request(),
                   [&](const LeafReply &) { ++replies; });
  runBriefly();
  Connection->close();
  runBriefly();
  EXPECT_EQ(replies, 0);
  EXPECT_EQ(Leaf->requests(), 1);
}

/// Guards against an interim response that is taken for the answer, in one
/// piece with the final one or before it.
TEST_F(LeafConnectionTest, InterimResponsesBeforeTheAnswerAreSkipped) {
  for (const std::string &interim : tests::interimResponses())
    for (const int count : {1, 3, 200}) {
      const std::string before = repeat(interim, count);
      for (const RawAnswer &answer :
           {RawAnswer{before + leafAnswer("hello")},
            RawAnswer{.Bytes = before, .Rest = leafAnswer("hello")}}) {
        startLeaf(answer);
        for (int i = 0; i < 2; ++i) {
          const auto reply = send();
          EXPECT_EQ(reply.Result, Delivery::Answered) << interim;
          EXPECT_EQ(reply.Answer.result_int(), 200U) << interim;
          EXPECT_EQ(reply.Answer.body(), "hello") << interim;
        }
        EXPECT_EQ(Leaf->connections(), 1) << interim;
        EXPECT_EQ(Memory->held(), 0U);
      }
    }
}

/// Guards against a request that ends without a final answer, and against one
/// that a connection which ends never ends.
TEST_F(LeafConnectionTest, InterimResponsesAloneAreNoAnswer) {
  for (const std::string &interim : tests::interimResponses()) {
    startLeaf({interim});
    int replies = 0;
    Connection->send(Leaf->address(), request(),
                     [&](const LeafReply &) { ++replies; });
    runBriefly();
    EXPECT_EQ(replies, 0) << interim;
    Connection->close();
    startLeaf({interim, 0ms, true});
    EXPECT_EQ(send().Result, Delivery::Broken) << interim;
  }
}

/// Guards against a late interim response that counts for the next request.
TEST_F(LeafConnectionTest, AnInterimResponseAfterTheAnswerCloses) {
  for (const std::string &interim : tests::interimResponses())
    for (const RawAnswer &answer :
         {RawAnswer{leafAnswer("hello") + interim},
          RawAnswer{.Bytes = leafAnswer("hello"), .Rest = interim}}) {
      startLeaf(answer);
      EXPECT_EQ(send().Answer.body(), "hello");
      EXPECT_TRUE(closesSoon()) << interim;
    }
}

TEST_F(LeafConnectionTest, AnAnswerToHeadMayFollowAnInterimResponse) {
  startLeaf({"HTTP/1.1 103 Early Hints\r\n\r\n"
             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"});
  leaf::LeafRequest head = request();
  head.method(boost::beast::http::verb::head);
  LeafReply got;
  Connection->send(Leaf->address(), head, [&](LeafReply reply) {
    got = std::move(reply);
    Io.stop();
  });
  Io.restart();
  Io.run_for(5s);
  EXPECT_EQ(got.Result, Delivery::Answered);
  EXPECT_EQ(got.Answer.result_int(), 200U);
}

/// Guards against a status that no answer may have and that callers would get,
/// and against waiting for the end of its body.
TEST_F(LeafConnectionTest, AnInvalidStatusIsBrokenAtOnce) {
  for (const std::string &head : tests::invalidHeads())
    for (const std::string &rest :
         {std::string("\r\n"), "\r\n" + leafAnswer("hello"),
          std::string("Content-Length: 9\r\n\r\nhello"),
          std::string("Content-Length: 5\r\n\r\nhello")}) {
      startLeaf({head + rest});
      EXPECT_EQ(send().Result, Delivery::Broken) << head;
      EXPECT_FALSE(Connection->ready());
      startLeaf({absl::StrCat("HTTP/1.1 100 Continue\r\n\r\n", head, rest)});
      EXPECT_EQ(send().Result, Delivery::Broken) << head;
      EXPECT_EQ(Memory->held(), 0U);
    }
}

TEST_F(LeafConnectionTest, AllFinalStatusesAreAnswers) {
  for (const char *status : {"200 OK", "204 No Content", "206 Partial", "304 X",
                             "404 Not Found", "499 X", "500 X", "599 X"}) {
    startLeaf({leafAnswer("", "", status)});
    EXPECT_EQ(send().Result, Delivery::Answered) << status;
  }
}

/// Guards against a leaf that keeps a host reading with interim responses.
TEST_F(LeafConnectionTest, InterimResponsesWithoutAnEndAreBroken) {
  const std::string small = "HTTP/1.1 100 \r\n\r\n";
  const std::string large =
      "HTTP/1.1 103 X\r\nA: " + std::string(4000, 'x') + "\r\n\r\n";
  for (const std::string &bytes : {repeat(small, 1 << 20), repeat(large, 40)}) {
    startLeaf({bytes});
    EXPECT_EQ(send().Result, Delivery::Broken) << bytes.substr(0, 20);
    EXPECT_FALSE(Connection->ready());
    EXPECT_EQ(Memory->held(), 0U);
  }
}

/// Bytes that are no answer and never end must neither be kept nor waited for.
TEST_F(LeafConnectionTest, AnswersWithoutAnEndAreBroken) {
  const std::string endless(8 << 20, 'x');
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::string> answers = {
      endless,
      "HTTP/1.1 200 OK\r\nA: " + endless,
      "HTTP/1.1 200 OK\r\n\r\n" + endless,
      chunked + "1;" + endless,
      chunked + "7fffff\r\n" + endless,
      chunked + "0\r\nA: " + endless,
      "HTTP/1.1 200 OK\r\nContent-Length: 8388608\r\n\r\n" + endless};
  for (const std::string &bytes : answers) {
    startLeaf({bytes});
    EXPECT_EQ(send().Result, Delivery::Broken) << bytes.substr(0, 60);
    EXPECT_FALSE(Connection->ready());
    EXPECT_EQ(Memory->held(), 0U);
  }
  EXPECT_LE(Memory->peak(), (1U << 20) + (128U << 10));
}

/// Guards against the end of the host that reads them, by an exception of the
/// HTTP library or by memory that is reserved for what a leaf claims.
TEST_F(LeafConnectionTest, HostileAnswersAreBroken) {
  for (const auto &[name, bytes] : tests::hostileMessages("HTTP/1.1 200 OK")) {
    startLeaf({bytes});
    LeafReply reply;
    EXPECT_NO_THROW(reply = send()) << name;
    EXPECT_TRUE(reply.Result == Delivery::Broken ||
                name == "trailer of many fields")
        << name;
    Connection->close();
    EXPECT_EQ(Memory->held(), 0U) << name;
  }
}

/// Fifty leaves do so at once: together they stay under the bound, and other
/// answers arrive once they are closed.
TEST_F(LeafConnectionTest, UnfinishedAnswersOfManyLeavesAreBounded) {
  const std::string endless =
      "HTTP/1.1 200 OK\r\n\r\n" + std::string(900 << 10, 'x');
  RawLeaf leaf(Io, [&](const std::string &) { return RawAnswer{endless}; });
  std::vector<std::shared_ptr<LeafConnection>> connections;
  int broken = 0;
  for (int i = 0; i < 50; ++i) {
    connections.push_back(std::make_shared<LeafConnection>(
        Io, [] {}, Memory));
    connections.back()->send(
        leaf.address(), request(), [&](const LeafReply &reply) {
          broken += reply.Result == Delivery::Broken ? 1 : 0;
        });
  }
  // 45 MB are copied, which takes seconds beside other work.
  const auto end = std::chrono::steady_clock::now() + 20s;
  while (broken < 46 && std::chrono::steady_clock::now() < end) {
    Io.restart();
    Io.run_for(20ms);
  }
  EXPECT_GE(broken, 46);
  EXPECT_LE(Memory->peak(), 4U << 20);
  for (const auto &connection : connections)
    connection->close();
  EXPECT_EQ(Memory->held(), 0U);
  startLeaf({leafAnswer("hello")});
  EXPECT_EQ(send().Answer.body(), "hello");
}

} // namespace
