#include "backend/LeafTransport.h"

#include <atomic>
#include <thread>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <gtest/gtest.h>

#include "support/HttpServer.h"

using namespace savorytrestle::backend;
using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;

namespace {

/// A leaf that answers the first request of each connection, and reads the
/// second one but closes the connection instead of answering it.
class ClosingLeaf {
public:
  ClosingLeaf() : Listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    EXPECT_EQ(bind(Listener, reinterpret_cast<sockaddr *>(&address), size), 0);
    EXPECT_EQ(listen(Listener, 8), 0);
    getsockname(Listener, reinterpret_cast<sockaddr *>(&address), &size);
    Port = ntohs(address.sin_port);
    Server = std::thread([this] { serve(); });
  }

  ~ClosingLeaf() {
    shutdown(Listener, SHUT_RDWR);
    close(Listener);
    Server.join();
  }

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(Port) + "/v1/search";
  }

  std::atomic<int> Requests{0};

private:
  // The body "{}" ends each request.
  static bool readRequest(int fd) {
    std::string text;
    char c = 0;
    while (read(fd, &c, 1) == 1) {
      text.push_back(c);
      if (text.size() >= 2 && text.compare(text.size() - 2, 2, "{}") == 0)
        return true;
    }
    return false;
  }

  void serve() {
    int fd = -1;
    while ((fd = accept(Listener, nullptr, nullptr)) >= 0) {
      if (readRequest(fd)) {
        ++Requests;
        constexpr std::string_view Reply =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
        if (write(fd, Reply.data(), Reply.size()) > 0 && readRequest(fd))
          ++Requests;
      }
      close(fd);
    }
  }

  int Listener;
  int Port = 0;
  std::thread Server;
};

/// A leaf that counts its connections; "/hang" is answered only after
/// AnswerHanging is set.
class CountingLeaf {
public:
  CountingLeaf() {
    savorytrestle::support::HttpServerOptions options;
    options.Listen = "127.0.0.1:0";
    options.Threads = 16;
    options.OnConnection = [this](int change) {
      const int now = Connections += change;
      int peak = PeakConnections;
      while (now > peak && !PeakConnections.compare_exchange_weak(peak, now)) {
      }
    };
    Server = savorytrestle::support::HttpServer::start(
                 options,
                 [this](const savorytrestle::support::HttpRequest &request) {
                   while (request.Path == "/hang" && !AnswerHanging)
                     std::this_thread::sleep_for(1ms);
                   savorytrestle::support::HttpResponse response;
                   response.Body = "{}";
                   return response;
                 })
                 .value();
  }
  ~CountingLeaf() { AnswerHanging = true; }

  LeafCall call(const std::string &path, std::uint32_t limit) const {
    LeafCall call;
    call.Url = "http://127.0.0.1:" + std::to_string(Server->port()) + path;
    call.Body = "{}";
    call.Deadline = SteadyClock::now() + 20s;
    call.MaxConnections = limit;
    return call;
  }

  std::atomic<int> Connections{0};
  std::atomic<int> PeakConnections{0};
  std::atomic<bool> AnswerHanging{false};

private:
  std::unique_ptr<savorytrestle::support::HttpServer> Server;
};

/// Sends a call and counts it in `answered` when the reply has status 200.
void send(LeafTransport &transport, LeafCall call, int &answered) {
  transport.send(std::move(call), SteadyClock::now(),
                 [&answered](const LeafCallResult &result) {
                   answered += result.Status == 200;
                 });
}

void finishAll(LeafTransport &transport) {
  while (transport.pendingCalls() > 0)
    transport.processEvents(10ms);
}

LeafCallResult run(LeafTransport &transport, const std::string &url) {
  LeafCallResult outcome;
  bool done = false;
  LeafCall call;
  call.Url = url;
  call.Body = "{}";
  call.Deadline = SteadyClock::now() + 2s;
  transport.send(std::move(call), SteadyClock::now(),
                 [&](LeafCallResult result) {
                   outcome = std::move(result);
                   done = true;
                 });
  while (!done)
    transport.processEvents(100ms);
  return outcome;
}

TEST(LeafTransport, NeverSendsARequestTwice) {
  ClosingLeaf leaf;
  LeafTransport transport(LeafTransportOptions{});
  EXPECT_EQ(run(transport, leaf.url()).Status, 200);
  // By default libcurl opens a new connection here and resends the request.
  EXPECT_EQ(run(transport, leaf.url()).Failure, CallFailure::ConnectionLost);
  EXPECT_EQ(leaf.Requests, 2);
}

TEST(LeafTransport, ARefusedConnectionIsReportedAsNotSent) {
  LeafTransport transport(LeafTransportOptions{});
  // Requires that nothing listens on the discard port.
  EXPECT_EQ(run(transport, "http://127.0.0.1:9/v1/search").Failure,
            CallFailure::NotSent);
}

TEST(LeafTransport, AllKindsOfCallsStayWithinTheConnectionLimit) {
  CountingLeaf leaf;
  LeafTransport transport(LeafTransportOptions{});
  leaf.AnswerHanging = true;
  int answered = 0;
  for (int round = 0; round < 20; ++round) {
    for (int n = 0; n < 9; ++n) {
      auto call = leaf.call("/hang", 3);
      call.IsControl = n % 3 == 1;
      // A write must replace an idle connection if the limit is reached.
      call.FreshConnection = n % 3 == 2 && round % 2 == 1;
      send(transport, std::move(call), answered);
    }
    finishAll(transport);
    // The leaf detects a closed connection slightly after the transport closed
    // it.
    std::this_thread::sleep_for(5ms);
  }
  EXPECT_EQ(answered, 180);
  EXPECT_GE(leaf.PeakConnections, 2);
  EXPECT_LE(leaf.Connections, 3);
}

TEST(LeafTransport, AFreshConnectionReplacesAnIdleOneAtTheLimit) {
  CountingLeaf leaf;
  LeafTransport transport(LeafTransportOptions{});
  int answered = 0;
  for (int n = 0; n < 20; ++n) {
    send(transport, leaf.call("/poll", 1), answered);
    finishAll(transport);
    auto write = leaf.call("/write", 1);
    write.FreshConnection = true;
    send(transport, std::move(write), answered);
    EXPECT_EQ(transport.openConnections(leaf.call("/", 1).Url), 1U);
    finishAll(transport);
  }
  EXPECT_EQ(answered, 40);
}

TEST(LeafTransport, HangingRequestsDoNotBlockAStatusPoll) {
  CountingLeaf leaf;
  LeafTransport transport(LeafTransportOptions{});
  int hangsAnswered = 0;
  int pollsAnswered = 0;
  for (int n = 0; n < 5; ++n)
    send(transport, leaf.call("/hang", 3), hangsAnswered);
  auto poll = leaf.call("/poll", 3);
  poll.IsControl = true;
  send(transport, std::move(poll), pollsAnswered);
  while (pollsAnswered == 0 && transport.pendingCalls() == 6)
    transport.processEvents(10ms);
  EXPECT_EQ(pollsAnswered, 1);
  EXPECT_EQ(hangsAnswered, 0);
  EXPECT_LE(leaf.PeakConnections, 3);
  leaf.AnswerHanging = true;
  finishAll(transport);
  EXPECT_EQ(hangsAnswered, 5);
}

TEST(LeafTransport, WithALimitOfOneAPollWaitsForTheRunningRequest) {
  CountingLeaf leaf;
  LeafTransport transport(LeafTransportOptions{});
  int hangsAnswered = 0;
  int pollsAnswered = 0;
  send(transport, leaf.call("/hang", 1), hangsAnswered);
  send(transport, leaf.call("/hang", 1), hangsAnswered);
  auto poll = leaf.call("/poll", 1);
  poll.IsControl = true;
  send(transport, std::move(poll), pollsAnswered);
  for (int n = 0; n < 20; ++n)
    transport.processEvents(1ms);
  EXPECT_EQ(pollsAnswered, 0);
  leaf.AnswerHanging = true;
  finishAll(transport);
  EXPECT_EQ(pollsAnswered, 1);
  EXPECT_EQ(hangsAnswered, 2);
  EXPECT_EQ(leaf.PeakConnections, 1);
}

TEST(LeafTransport, ReportsACallThatExpiredBeforeItStarted) {
  CountingLeaf leaf;
  LeafTransport transport(LeafTransportOptions{});
  auto call = leaf.call("/poll", 0);
  call.Deadline = SteadyClock::now() + 5ms;
  LeafCallResult result;
  transport.send(std::move(call), SteadyClock::now(),
                 [&](LeafCallResult outcome) { result = std::move(outcome); });
  finishAll(transport);
  EXPECT_EQ(result.Failure, CallFailure::Expired);
  EXPECT_TRUE(result.ExpiredBeforeStart);
  EXPECT_EQ(leaf.PeakConnections, 0);
}

TEST(LeafTransport, ADroppedCallIsNotSent) {
  CountingLeaf leaf;
  LeafTransport transport(LeafTransportOptions{});
  int answered = 0;
  const auto id =
      transport.send(leaf.call("/poll", 0), SteadyClock::now(),
                     [&](const LeafCallResult & /*result*/) { ++answered; });
  EXPECT_TRUE(transport.dropWaitingCall(id));
  EXPECT_FALSE(transport.dropWaitingCall(id));
  EXPECT_EQ(transport.pendingCalls(), 0U);
  EXPECT_EQ(answered, 0);
}

TEST(LeafTransport, ALoweredLimitClosesOneConnectionWithEachCall) {
  CountingLeaf leaf;
  LeafTransport transport(LeafTransportOptions{});
  int answered = 0;
  for (int n = 0; n < 4; ++n)
    send(transport, leaf.call("/hang", 5), answered);
  while (leaf.Connections < 4)
    transport.processEvents(1ms);
  leaf.AnswerHanging = true;
  finishAll(transport);
  const std::string url = leaf.call("/", 1).Url;
  EXPECT_EQ(transport.openConnections(url), 4U);
  for (int n = 0; n < 4; ++n) {
    send(transport, leaf.call("/poll", 1), answered);
    finishAll(transport);
  }
  EXPECT_EQ(transport.openConnections(url), 1U);
  EXPECT_EQ(answered, 8);
}

} // namespace
