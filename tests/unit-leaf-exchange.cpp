#include "registry/LeafExchange.h"

#include <gtest/gtest.h>

#include "EventLoop.h"
#include "entry/Listener.h"
#include "support/BeastStringView.h"

using namespace savorytrestle;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

constexpr core::Duration UsualLatency = 28ms;

/// One host with its leaf directory and exchange.
class ExchangeHost {
public:
  ExchangeHost(boost::asio::io_context &io, const std::string &id)
      : Leaves(io, {"a", {{"a", "w"}}}, {0.2, 54, 10s}),
        Exchange(std::make_shared<registry::LeafExchange>(io, Leaves, id)),
        Context(std::make_shared<entry::SessionContext>()),
        HostListener(std::make_shared<entry::Listener>(io, Context)) {
    Context->OnRequest = [this](const entry::CallerRequest &request,
                                const entry::AnswerHandler &respond) {
      EXPECT_TRUE(registry::LeafExchange::isReport(
          support::toStringView(request.target())));
      respond(Exchange->handle(request.body()));
      return entry::CancelHandler();
    };
    EXPECT_TRUE(HostListener->open("127.0.0.1:0"));
    core::LeafEntry leaf;
    leaf.Id = "i-1";
    leaf.Service = "s";
    leaf.Address = "127.0.0.1:1";
    leaf.FailureDomain = "a";
    leaf.Slots = 3;
    Leaves.putLeaf(leaf);
  }

  core::LeafScore &score() {
    return Leaves.service("s").Leaves.front()->score();
  }
  core::Duration cost() {
    return score().cost(std::chrono::steady_clock::now(), UsualLatency);
  }
  void seeSlowLeaf() {
    score().onAnswer(std::chrono::steady_clock::now(), 10 * UsualLatency,
                     UsualLatency);
  }
  tcp::endpoint address() const { return HostListener->address(); }

  leaf::LeafDirectory Leaves;
  std::shared_ptr<registry::LeafExchange> Exchange;

private:
  std::shared_ptr<entry::SessionContext> Context;
  std::shared_ptr<entry::Listener> HostListener;
};

class LeafExchangeTest : public ::testing::Test {
protected:
  void SetUp() override {
    Collector.Exchange->setCollectors({}, true);
    for (ExchangeHost *host : {&First, &Second, &Third})
      host->Exchange->setCollectors({Collector.address()}, false);
    for (ExchangeHost *host : {&Collector, &First, &Second, &Third})
      host->Exchange->start();
  }

  boost::asio::io_context Io;
  ExchangeHost Collector{Io, "h-1"};
  ExchangeHost First{Io, "h-2"};
  ExchangeHost Second{Io, "h-3"};
  ExchangeHost Third{Io, "h-4"};
};

TEST_F(LeafExchangeTest, AHostLearnsOfASlowLeafFromTwoOthers) {
  const auto calm = Third.cost();
  First.seeSlowLeaf();
  Second.seeSlowLeaf();
  EXPECT_TRUE(tests::runUntil(
      Io, [&] { return Third.cost() > 4 * calm; }, 3s));
  EXPECT_TRUE(tests::runUntil(
      Io, [&] { return Collector.cost() > 4 * calm; }, 3s));
}

TEST_F(LeafExchangeTest, OneHostAloneTakesNoLeafOut) {
  const auto calm = Third.cost();
  First.seeSlowLeaf();
  EXPECT_FALSE(tests::runUntil(
      Io, [&] { return Third.cost() > 2 * calm; }, 1s));
}

TEST_F(LeafExchangeTest, TheNextCollectorIsUsedWhenOneDoesNotAnswer) {
  const tcp::endpoint closed(boost::asio::ip::address_v4::loopback(), 1);
  for (ExchangeHost *host : {&First, &Second, &Third})
    host->Exchange->setCollectors({closed, Collector.address()}, false);
  const auto calm = Third.cost();
  EXPECT_TRUE(tests::runUntil(
      Io,
      [&] {
        First.seeSlowLeaf();
        Second.seeSlowLeaf();
        return Third.cost() > 4 * calm;
      },
      5s));
}

TEST_F(LeafExchangeTest, MalformedReportsAreRefused) {
  for (const char *body :
       {"", "{", "[]", R"({"host":1,"leaves":[]})", R"({"host":"h"})",
        R"({"host":"h","leaves":[["i-1"]]})",
        R"({"host":"h","leaves":[[1,2,3]]})",
        R"({"host":"h","leaves":[["i-1","x",0]]})"})
    EXPECT_EQ(Collector.Exchange->handle(body).result_int(), 400U) << body;
  EXPECT_EQ(
      Collector.Exchange->handle(R"({"host":"h","leaves":[["i-1",1e99,-5]]})")
          .result_int(),
      200U);
}

} // namespace
