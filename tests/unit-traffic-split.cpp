#include "entry/RequestRouter.h"

#include <gtest/gtest.h>

#include "EventLoop.h"
#include "leaf/RelayHeaders.h"
#include "platform/Headers.h"
#include "standins/PlatformLeaf.h"

using namespace savorytrestle;
using namespace savorytrestle::tests;
using namespace std::chrono_literals;

namespace {

/// A route with two parts of the same weight, of which only the first has a
/// leaf.
class TrafficSplitTest : public ::testing::Test {
protected:
  void SetUp() override {
    auto config = std::make_shared<core::ServingConfig>();
    config->Version = 3;
    core::RouteRule route;
    route.Name = "split";
    route.Host = "a.example";
    route.PathPrefix = "/";
    route.Timeout = 2s;
    route.Objective = 400ms;
    route.Targets = {{"full", 1}, {"empty", 1}};
    config->Routes.push_back(route);
    config->buildIndex();
    core::LeafEntry entry;
    entry.Id = Leaf.Id;
    entry.Service = Leaf.Service;
    entry.Address = Leaf.address();
    entry.FailureDomain = "a";
    entry.Slots = 5;
    Leaves.putLeaf(entry);
    Router.setConfig(config);
  }

  /// Sends a request and waits for its status.
  /// @param part part that the host of the caller names; none for a caller
  unsigned send(const std::string &part = "") {
    entry::CallerRequest request{boost::beast::http::verb::get, "/x", 11};
    request.set(boost::beast::http::field::host, "a.example");
    request.set("Savorytrestle-Request-Id", "r" + std::to_string(++Last));
    unsigned status = 0;
    const auto respond = [&status](const entry::CallerAnswer &answer) {
      status = answer.result_int();
    };
    if (part.empty()) {
      Router.handle(std::move(request), respond);
    } else {
      request.set(leaf::RelayVersionHeader, "3");
      request.set(leaf::RelayPartHeader, part);
      Router.handleRelay(std::move(request), respond);
    }
    runUntil(
        Io, [&] { return status != 0; }, 5s);
    return status;
  }

  boost::asio::io_context Io;
  PlatformLeaf Leaf{Io, "i-1", "full", "a"};
  leaf::LeafDirectory Leaves{Io, {"a", {{"a", "w"}}}, {0.2, 54, 10s}};
  support::Metrics Metrics;
  entry::RequestRouter Router{Io, Leaves, Metrics, platform::headerNames()};
  int Last = 0;
};

/// Guards against requests that are moved to the other part, which then gets
/// more than its share.
TEST_F(TrafficSplitTest, APartWithoutCapacityRefusesItsShare) {
  int served = 0;
  int refused = 0;
  for (int i = 0; i < 100; ++i)
    ++(send() == 200 ? served : refused);
  EXPECT_EQ(served, 50);
  EXPECT_EQ(refused, 50);
  EXPECT_EQ(Leaf.Arrivals.size(), 50U);
}

/// Guards against a host that assigns a forwarded request to another part than
/// the caller's host did.
TEST_F(TrafficSplitTest, AForwardedRequestKeepsItsPart) {
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(send("0"), 200U);
    EXPECT_EQ(send("1"), 503U);
  }
  EXPECT_EQ(Leaf.Arrivals.size(), 4U);
}

} // namespace
