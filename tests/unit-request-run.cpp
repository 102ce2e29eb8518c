#include "EventLoop.h"
#include "entry/Listener.h"
#include "entry/RelayRequest.h"
#include "entry/RequestRouter.h"
#include "entry/RequestRun.h"
#include "platform/Headers.h"
#include "standins/PlatformLeaf.h"
#include "standins/RawLeaf.h"

#include <deque>

#include <gtest/gtest.h>

using namespace savorytrestle;
using namespace savorytrestle::tests;
using namespace std::chrono_literals;
using Status = boost::beast::http::status;

namespace {

/// Another host: answers relays with what the test gives it.
class HostStandIn {
public:
  HostStandIn(boost::asio::io_context &io, std::string id)
      : Id(std::move(id)), Context(std::make_shared<entry::SessionContext>()) {
    Context->OnRequest = [this](const entry::CallerRequest &,
                                const entry::AnswerHandler &respond) {
      ++Requests;
      if (Answer)
        respond(*Answer);
      return entry::CancelHandler();
    };
    Peers = std::make_shared<entry::Listener>(io, Context);
    EXPECT_TRUE(Peers->open("127.0.0.1:0").has_value());
  }

  /// Refuses relays without running them.
  void refuse() {
    Answer = entry::errorAnswer(Status::service_unavailable, "takes no relays");
  }
  /// Answers for some shards with a record of each, or for a plain route.
  void answer(const std::string &body, const std::string &signatures) {
    Answer = entry::textAnswer(Status::ok, body);
    Answer->set("Savorytrestle-Server-Stamp", "s");
    Answer->set("Savorytrestle-Part-Stamps", signatures);
  }

  core::LeafEntry entry() const {
    core::LeafEntry host;
    host.Id = Id;
    host.Address = "127.0.0.1:" + std::to_string(Peers->address().port());
    host.FailureDomain = "b";
    return host;
  }

  const std::string Id;
  int Requests = 0;
  std::optional<entry::CallerAnswer> Answer;

private:
  std::shared_ptr<entry::SessionContext> Context;
  std::shared_ptr<entry::Listener> Peers;
};

/// One run whose leaves never answer, with two other hosts.
class RequestRunTest : public ::testing::Test {
protected:
  RequestRunTest() {
    Config->Version = 3;
    Route.Name = "r";
    Route.Idempotent = true;
    Route.Timeout = 5s;
    Route.Objective = 5s;
    Route.MaxLeaves = 2;
    for (const char *service : {"s0", "s1", "s2"}) {
      Behind.push_back(std::make_unique<PlatformLeaf>(
          Io, std::string("i-") + service, service, "a"));
      Behind.back()->Behavior.NeverAnswer = true;
      core::LeafEntry leaf;
      leaf.Id = Behind.back()->Id;
      leaf.Service = service;
      leaf.Address = Behind.back()->address();
      leaf.FailureDomain = "a";
      leaf.Slots = 5;
      Leaves.putLeaf(leaf);
      Leaves.service(service).RetryBudget.fill();
    }
    First.refuse();
  }

  /// Adds a leaf at whose address nothing listens any more.
  void addEndedLeaf(const std::string &id, const std::string &service) {
    const boost::asio::ip::tcp::acceptor ended(
        Io, {boost::asio::ip::address_v4::loopback(), 0});
    core::LeafEntry leaf;
    leaf.Id = id;
    leaf.Service = service;
    leaf.Address = "127.0.0.1:" + std::to_string(ended.local_endpoint().port());
    leaf.FailureDomain = "a";
    leaf.Slots = 5;
    Leaves.putLeaf(leaf);
  }

  /// Replaces the hosts that requests may be sent to.
  void setHost(const HostStandIn &host) { Leaves.setPeers({host.entry()}, {}); }

  std::vector<leaf::Service *> services(std::size_t from, std::size_t to) {
    std::vector<leaf::Service *> all;
    for (std::size_t i = from; i < to; ++i)
      all.push_back(&Leaves.service("s" + std::to_string(i)));
    return all;
  }

  /// A relay of some services, as a forward or not.
  entry::Relay relay(const std::vector<leaf::Service *> &services,
                     bool isForward) {
    std::vector<std::size_t> shards;
    for (std::size_t i = 0; i < Route.Shards.size(); ++i)
      for (const leaf::Service *service : services)
        if (service->Name == Route.Shards[i])
          shards.push_back(i);
    return {.Context =
                entry::makeRelayContext(*Context, shards, Route.MaxLeaves),
            .Hosts = &Leaves.peersOf("b"),
            .Services = services,
            .IsForward = isForward,
            .LeavesLeft = Route.MaxLeaves,
            .Tried = {&Leaves.peersOf("b")}};
  }

  void makeRun() {
    const auto now = std::chrono::steady_clock::now();
    leaf::LeafRequest request{boost::beast::http::verb::get, "/x", 11};
    request.set(Names.RequestId, "r1");
    Context = std::make_shared<const leaf::CallContext>(leaf::CallContext{
        Leaves, Names, Config, Route, nullptr, request, "r1",
        core::Fingerprint{}, Names.LeafSignature, now, now + 5s});
    Run = std::make_shared<entry::RequestRun>(
        Io, Context, Recorder, Tracker,
        [this](entry::CallerAnswer answer) { Answer = std::move(answer); });
    Run->setForwardFactory(
        [this](const auto &, const auto &all, int left,
               const auto &tried) -> std::optional<entry::Relay> {
          if (!tried.empty())
            return std::nullopt;
          entry::Relay forward = relay(all, true);
          forward.LeavesLeft = left;
          return forward;
        });
  }

  bool leafHas(std::size_t leaf) {
    return runUntil(Io, [&] { return !Behind[leaf]->Arrivals.empty(); });
  }

  boost::asio::io_context Io;
  leaf::LeafDirectory Leaves{
      Io, {"a", {{"a", "west"}, {"b", "west"}}}, {0.2, 54, 10s}};
  support::HeaderNames Names = platform::headerNames();
  support::Metrics Metrics;
  entry::RequestRecorder Recorder{Metrics};
  entry::CrashTracker Tracker;
  std::shared_ptr<core::ServingConfig> Config =
      std::make_shared<core::ServingConfig>();
  core::RouteRule Route;
  std::vector<std::unique_ptr<PlatformLeaf>> Behind;
  HostStandIn First{Io, "h-1"};
  HostStandIn Second{Io, "h-2"};
  std::shared_ptr<const leaf::CallContext> Context;
  std::shared_ptr<entry::RequestRun> Run;
  std::optional<entry::CallerAnswer> Answer;
};

/// Guards against the crash of a host whose forward was refused, whose own
/// calls followed, and which then lost its leaves: it looked for the answer at
/// the first relay only, and there were no calls left.
TEST_F(RequestRunTest, APlainRequestThatIsForwardedAgainIsAnswered) {
  makeRun();
  setHost(First);
  Run->start({}, {relay(services(0, 1), true)});
  ASSERT_TRUE(leafHas(0));
  EXPECT_EQ(First.Requests, 1);
  Second.answer("new", "");
  setHost(Second);
  Run->onLeavesLost();
  ASSERT_TRUE(runUntil(Io, [&] { return Answer.has_value(); }));
  EXPECT_EQ(Answer->result(), Status::ok);
  EXPECT_EQ(Answer->body(), "new");
}

/// Guards against a request that is refused although a leaf serves it, since
/// most leaves have ended at once and the host doesn't know of it yet.
TEST_F(RequestRunTest, TheOneLeafThatLivesAnswers) {
  Behind[0]->Behavior.NeverAnswer = false;
  for (int i = 0; i < 20; ++i)
    addEndedLeaf("i-ended" + std::to_string(i), "s0");
  makeRun();
  Run->start(services(0, 1), {});
  ASSERT_TRUE(runUntil(Io, [&] { return Answer.has_value(); }));
  EXPECT_EQ(Answer->result(), Status::ok);
  EXPECT_EQ(Behind[0]->Arrivals.size(), 1U);
}

/// Guards against a request that no leaf got and whose refusal doesn't say so,
/// since connections for it were still being opened.
TEST_F(RequestRunTest, ARequestWhoseLeavesHaveAllEndedHasNotRun) {
  Route.Shards = {"e0", "e1", "e2"};
  Route.MinShardShare = 1;
  std::vector<leaf::Service *> ended;
  for (const std::string &service : Route.Shards) {
    addEndedLeaf("i-" + service, service);
    ended.push_back(&Leaves.service(service));
  }
  makeRun();
  Run->start(ended, {});
  ASSERT_TRUE(runUntil(Io, [&] { return Answer.has_value(); }));
  EXPECT_EQ(Answer->result(), Status::service_unavailable);
}

/// Guards against shards that are counted twice or not at all, after a relay
/// was reclaimed and its shards forwarded with others.
TEST_F(RequestRunTest, ShardsOfAReclaimedRelayAreForwardedWithTheOthers) {
  Route.Shards = {"s0", "s1", "s2"};
  Route.TopRecords = 3;
  Route.MinShardShare = 1;
  makeRun();
  setHost(First);
  Run->start(services(0, 1), {relay(services(1, 3), false)});
  ASSERT_TRUE(leafHas(0) && leafHas(1) && leafHas(2));
  Second.answer("", "x, y, z");
  setHost(Second);
  Run->onLeavesLost();
  ASSERT_TRUE(runUntil(Io, [&] { return Answer.has_value(); }));
  EXPECT_EQ(Answer->result(), Status::ok);
  EXPECT_EQ((*Answer)[Names.MissingShards], "0");
  EXPECT_EQ((*Answer)[Names.PartSignatures], "x, y, z");
}

/// Guards against an answer that says that nothing is missing, since another
/// host signed for more shards than it was sent.
TEST_F(RequestRunTest, ARelayThatSignsForFurtherShardsHidesNoMissingOnes) {
  Route.Shards = {"s0", "s1", "s2"};
  Route.TopRecords = 3;
  Route.MinShardShare = 0.3;
  Route.Objective = 100ms;
  Behind[0]->Behavior.NeverAnswer = false;
  makeRun();
  Second.answer("", "x, y, z");
  setHost(Second);
  Run->start(services(0, 2), {relay(services(2, 3), false)});
  ASSERT_TRUE(runUntil(Io, [&] { return Answer.has_value(); }));
  EXPECT_EQ(Answer->result(), Status::ok);
  EXPECT_EQ((*Answer)[Names.MissingShards], "2");
}

/// Guards against a refusal that says "not run" although a leaf got the request
/// before it was forwarded, and against a run that never ends.
TEST_F(RequestRunTest, ARequestWhoseSecondForwardIsRefusedTooMayHaveRun) {
  makeRun();
  setHost(First);
  Run->start({}, {relay(services(0, 1), true)});
  ASSERT_TRUE(leafHas(0));
  // Then the call that follows the refusal can't be sent to any leaf.
  Leaves.removeLeaf("i-s0");
  Second.refuse();
  setHost(Second);
  Run->onLeavesLost();
  ASSERT_TRUE(runUntil(Io, [&] { return Answer.has_value(); }));
  EXPECT_EQ(Answer->result(), Status::bad_gateway);
}

/// Guards against "not run" in the answer to a request that a leaf has run and
/// then failed with a status of that meaning.
TEST_F(RequestRunTest, AFailureAfterTheRunNeverPromisesThatItHasNotRun) {
  Behind[0]->Behavior.NeverAnswer = false;
  for (const bool idempotent : {false, true})
    for (const bool isSigned : {false, true})
      for (const unsigned status : {408U, 429U, 503U}) {
        if (!isSigned && status != 503U)
          continue;
        Route.Idempotent = idempotent;
        Behind[0]->Behavior.FailUnsigned = !isSigned;
        Behind[0]->Behavior.FailStatus = status;
        Answer.reset();
        makeRun();
        Run->start(services(0, 1), {});
        ASSERT_TRUE(runUntil(Io, [&] { return Answer.has_value(); }));
        EXPECT_EQ(Answer->result(), Status::bad_gateway) << status;
        // It would vouch for a status that the leaf did not give.
        EXPECT_EQ(Answer->count(Names.LeafSignature), 0U) << status;
      }
}

/// Guards against a leaf's failure that turns into "not run" on its way through
/// another host.
TEST_F(RequestRunTest, ALeafsFailureThroughAnotherHostDoesntPromiseIt) {
  Route.Idempotent = false;
  makeRun();
  Second.Answer = entry::errorAnswer(Status::service_unavailable, "failed");
  Second.Answer->set(leaf::RelayLeafAnswerHeader, "1");
  setHost(Second);
  Run->start({}, {relay(services(0, 1), true)});
  ASSERT_TRUE(runUntil(Io, [&] { return Answer.has_value(); }));
  EXPECT_EQ(Answer->result(), Status::bad_gateway);
  EXPECT_TRUE(Behind[0]->Arrivals.empty());
}

/// Guards against the loss of what another host truly refuses.
TEST_F(RequestRunTest, ARefusalOfAnotherHostKeepsItsPromise) {
  Route.Idempotent = false;
  makeRun();
  Second.Answer = entry::errorAnswer(Status::too_many_requests, "wait", 2s);
  setHost(Second);
  Run->start({}, {relay(services(0, 1), true)});
  ASSERT_TRUE(runUntil(Io, [&] { return Answer.has_value(); }));
  EXPECT_EQ(Answer->result(), Status::too_many_requests);
  EXPECT_EQ((*Answer)["Retry-After"], "2.000");
}

/// Guards against a refusal of the next host that hides that a leaf got the
/// request before: at its own leaves, or through a first host that broke off.
TEST_F(RequestRunTest, ARefusalAfterAnEarlierTryDoesntPromiseThatItHasNotRun) {
  Route.MaxLeaves = 3;
  makeRun();
  Run->start(services(0, 1), {});
  ASSERT_TRUE(leafHas(0));
  Second.Answer = entry::errorAnswer(Status::too_many_requests, "wait", 2s);
  setHost(Second);
  Run->onLeavesLost();
  ASSERT_TRUE(runUntil(Io, [&] { return Answer.has_value(); }));
  EXPECT_EQ(Second.Requests, 1);
  EXPECT_EQ(Answer->result(), Status::bad_gateway);
}

/// Guards against the crash of a host that reaches no leaf, by a request of a
/// route without services: there was nothing to send when its forward was
/// refused.
TEST_F(RequestRunTest, ARouteWithoutServicesIsRefusedWhileLeavesAreLost) {
  entry::RequestRouter router(Io, Leaves, Metrics, Names);
  Route.Host = "a.example";
  Route.PathPrefix = "/";
  Config->Routes = {Route};
  Config->buildIndex();
  router.setConfig(Config);
  setHost(First);
  Leaves.link().onProbesEnded(0, 100);
  ASSERT_TRUE(Leaves.link().lost());
  entry::CallerRequest request{boost::beast::http::verb::get, "/x", 11};
  request.set(boost::beast::http::field::host, "a.example");
  request.set(Names.RequestId, "r1");
  router.handle(request, [this](entry::CallerAnswer answer) {
    Answer = std::move(answer);
  });
  ASSERT_TRUE(runUntil(Io, [&] { return Answer.has_value(); }));
  EXPECT_EQ(Answer->result(), Status::service_unavailable);
}

/// Guards against the end of the host by a request whose method the HTTP
/// library allows no body.
TEST_F(RequestRunTest, ATraceRequestWithABodyIsForwarded) {
  entry::RequestRouter router(Io, Leaves, Metrics, Names);
  Behind[0]->Behavior.NeverAnswer = false;
  Route.Host = "a.example";
  Route.PathPrefix = "/";
  Route.Targets = {{"s0", 1}};
  Config->Routes = {Route};
  Config->buildIndex();
  router.setConfig(Config);
  entry::CallerRequest request{boost::beast::http::verb::trace, "/x", 11};
  request.set(boost::beast::http::field::host, "a.example");
  request.set(Names.RequestId, "r1");
  request.body() = "body";
  router.handle(request, [this](entry::CallerAnswer answer) {
    Answer = std::move(answer);
  });
  ASSERT_TRUE(runUntil(Io, [&] { return Answer.has_value(); }));
  EXPECT_EQ(Answer->result(), Status::ok);
  EXPECT_EQ(Answer->body(), "body");
}

/// Guards against the end of the host by leaves that sign with long stamps: the
/// HTTP library throws for a field of 64 KiB.
TEST_F(RequestRunTest, LongSignaturesOfManyShardsAreNamedInSeveralHeaders) {
  constexpr int Shards = 12;
  Route.MinShardShare = 1;
  Route.TopRecords = 1;
  std::vector<std::unique_ptr<RawLeaf>> raw;
  std::vector<leaf::Service *> all;
  for (int i = 0; i < Shards; ++i) {
    const std::string shard = "long" + std::to_string(i);
    raw.push_back(std::make_unique<RawLeaf>(Io, [](const std::string &) {
      return RawAnswer{leafAnswer(
          std::string(16, 'r'),
          "Savorytrestle-Server-Stamp: " + std::string(7000, 's') + "\r\n")};
    }));
    core::LeafEntry leaf;
    leaf.Id = "i-" + shard;
    leaf.Service = shard;
    leaf.Address = raw.back()->addressText();
    leaf.FailureDomain = "a";
    leaf.Slots = 5;
    Leaves.putLeaf(leaf);
    Route.Shards.push_back(shard);
    all.push_back(&Leaves.service(shard));
  }
  makeRun();
  Run->start(all, {});
  ASSERT_TRUE(runUntil(Io, [&] { return Answer.has_value(); }));
  EXPECT_EQ(Answer->result(), Status::ok);
  EXPECT_EQ(Answer->count(Names.PartSignatures), std::size_t{Shards});
}

} // namespace
