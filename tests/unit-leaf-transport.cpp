#include "backend/LeafTransport.h"

#include <atomic>
#include <thread>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <gtest/gtest.h>

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
    bind(Listener, reinterpret_cast<sockaddr *>(&address), size);
    listen(Listener, 8);
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
    transport.turn(100ms);
  return outcome;
}

TEST(LeafTransport, NeverSendsARequestTwice) {
  ClosingLeaf leaf;
  LeafTransport transport(LeafTransportOptions{});
  EXPECT_EQ(run(transport, leaf.url()).Status, 200);
  // libcurl alone would open a new connection here and send it again.
  EXPECT_EQ(run(transport, leaf.url()).Failure, CallFailure::Broken);
  EXPECT_EQ(leaf.Requests, 2);
}

TEST(LeafTransport, ARefusedConnectionSentNothing) {
  LeafTransport transport(LeafTransportOptions{});
  // The discard port is closed wherever this runs.
  EXPECT_EQ(run(transport, "http://127.0.0.1:9/v1/search").Failure,
            CallFailure::NotSent);
}

} // namespace
