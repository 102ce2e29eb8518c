#include "EventLoop.h"
#include "entry/RequestRouter.h"
#include "platform/Headers.h"
#include "standins/RawLeaf.h"
#include "standins/ResponseHeads.h"

#include <gtest/gtest.h>

using namespace savorytrestle;
using namespace savorytrestle::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds RouteTimeout{600};

/// A host whose leaves, or whose fellow host, send responses that aren't final.
class NonFinalAnswerTest : public ::testing::Test {
protected:
  struct Result {
    unsigned Status = 0;
    std::string Body;
    std::string Missing;
    std::chrono::milliseconds Elapsed{0};
  };

  /// Adds a leaf that sends the same bytes for each request.
  RawLeaf &addLeaf(const std::string &service, RawAnswer answer) {
    Raw.push_back(std::make_unique<RawLeaf>(
        Io,
        [answer = std::move(answer)](const std::string &) { return answer; }));
    Leaves.putLeaf(entryOf(*Raw.back(), service));
    Leaves.service(service).RetryBudget.fill();
    return *Raw.back();
  }

  core::LeafEntry entryOf(const RawLeaf &leaf, const std::string &service) {
    core::LeafEntry entry;
    entry.Id = "i-" + std::to_string(leaf.address().port());
    entry.Service = service;
    entry.Address = leaf.addressText();
    entry.FailureDomain = "a";
    entry.Slots = 5;
    return entry;
  }

  /// Removes all leaves.
  void clear() {
    for (const auto &leaf : Raw)
      Leaves.removeLeaf("i-" + std::to_string(leaf->address().port()));
    Raw.clear();
  }

  core::RouteRule route(bool idempotent) {
    core::RouteRule rule;
    rule.Name = "r";
    rule.Host = "a.example";
    rule.PathPrefix = "/";
    rule.Idempotent = idempotent;
    rule.Timeout = RouteTimeout;
    rule.Objective = 200ms;
    rule.MaxLeaves = 2;
    rule.Targets = {{"s", 1}};
    return rule;
  }

  /// Sends one request on a route and waits for its answer.
  Result send(const core::RouteRule &rule) {
    auto config = std::make_shared<core::ServingConfig>();
    config->Version = 3;
    config->Routes = {rule};
    config->buildIndex();
    Router.setConfig(config);
    // Leaves that are removed count as ended by the request that they broke.
    const std::string path = "/x/" + std::to_string(++Sent);
    entry::CallerRequest request{boost::beast::http::verb::post, path, 11};
    request.set(boost::beast::http::field::host, "a.example");
    request.set(Names.RequestId, "r1");
    std::optional<entry::CallerAnswer> answer;
    const auto start = std::chrono::steady_clock::now();
    Router.handle(request,
                  [&](entry::CallerAnswer got) { answer = std::move(got); });
    EXPECT_TRUE(runUntil(
        Io, [&] { return answer.has_value(); }, 5s));
    if (!answer)
      return {};
    const auto missing = (*answer)[Names.MissingShards];
    return {answer->result_int(), answer->body(),
            std::string(missing.data(), missing.size()),
            std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::steady_clock::now() - start)};
  }

  static std::string signedAnswer(const std::string &body) {
    return leafAnswer(body, "Savorytrestle-Server-Stamp: s\r\n"
                            "Savorytrestle-Request-Id: r1\r\n");
  }

  static void expectInTime(const Result &result) {
    EXPECT_LT(result.Elapsed, RouteTimeout + 500ms);
  }

  boost::asio::io_context Io;
  leaf::LeafDirectory Leaves{
      Io, {"a", {{"a", "west"}, {"b", "west"}}}, {0.2, 54, 10s}};
  support::HeaderNames Names = platform::headerNames();
  support::Metrics Metrics;
  entry::RequestRouter Router{Io, Leaves, Metrics, Names};
  std::vector<std::unique_ptr<RawLeaf>> Raw;
  int Sent = 0;
};

/// Guards against an interim response that callers get in place of the answer.
TEST_F(NonFinalAnswerTest, ACallerGetsTheFinalAnswerOnly) {
  for (const std::string &interim : interimResponses())
    for (const int count : {1, 50}) {
      RawLeaf &leaf =
          addLeaf("s", {repeat(interim, count) + signedAnswer("whole")});
      const auto result = send(route(false));
      EXPECT_EQ(result.Status, 200U) << interim;
      EXPECT_EQ(result.Body, "whole");
      EXPECT_EQ(leaf.requests(), 1);
      clear();
    }
}

/// Guards against a request that never gets an answer, or is sent again though
/// a leaf may have run it.
TEST_F(NonFinalAnswerTest, WithoutAFinalAnswerARequestTimesOutAndIsSentOnce) {
  for (const std::string &interim : interimResponses()) {
    addLeaf("s", {interim});
    addLeaf("s", {interim});
    const auto result = send(route(false));
    EXPECT_EQ(result.Status, 504U) << interim;
    expectInTime(result);
    EXPECT_EQ(Raw[0]->requests() + Raw[1]->requests(), 1) << interim;
    clear();
  }
}

TEST_F(NonFinalAnswerTest, AnInvalidStatusFailsARequestThatIsSentOnce) {
  for (const std::string &head : invalidHeads()) {
    addLeaf("s", {head + "\r\n"});
    addLeaf("s", {head + "\r\n"});
    const auto result = send(route(false));
    EXPECT_EQ(result.Status, 502U) << head;
    EXPECT_LT(result.Elapsed, RouteTimeout);
    EXPECT_EQ(Raw[0]->requests() + Raw[1]->requests(), 1) << head;
    clear();
  }
}

/// Guards against a part of an answer that callers get for the whole, a request
/// that is sent again though a leaf may have run it, and one that is held until
/// its deadline.
TEST_F(NonFinalAnswerTest, AMalformedAnswerFailsARequestThatIsSentOnce) {
  for (const std::string &bytes : malformedAnswers()) {
    addLeaf("s", {bytes});
    addLeaf("s", {bytes});
    const auto result = send(route(false));
    EXPECT_EQ(result.Status, 502U) << bytes;
    EXPECT_LT(result.Elapsed, RouteTimeout) << bytes;
    EXPECT_EQ(Raw[0]->requests() + Raw[1]->requests(), 1) << bytes;
    clear();
  }
}

/// A hedge after interim responses, a second leaf after an invalid status.
TEST_F(NonFinalAnswerTest, ARequestThatMayBeRepeatedIsAnsweredByAnotherLeaf) {
  std::vector<std::string> bytes = interimResponses();
  for (const std::string &head : invalidHeads())
    bytes.push_back(head + "\r\n");
  for (const std::string &answer : malformedAnswers())
    bytes.push_back(answer);
  for (const std::string &first : bytes) {
    int requests = 0;
    const auto answer = [&](const std::string &) {
      return RawAnswer{++requests == 1 ? first : signedAnswer("whole")};
    };
    for (int i = 0; i < 2; ++i) {
      Raw.push_back(std::make_unique<RawLeaf>(Io, answer));
      Leaves.putLeaf(entryOf(*Raw.back(), "s"));
    }
    Leaves.service("s").RetryBudget.fill();
    const auto result = send(route(true));
    EXPECT_EQ(result.Status, 200U) << first;
    EXPECT_EQ(requests, 2) << first;
    expectInTime(result);
    clear();
  }
}

/// Guards against a part that is counted as failed, or an answer without a
/// signature that is counted as a part.
TEST_F(NonFinalAnswerTest, PartsOfASearchFollowInterimResponses) {
  auto rule = route(true);
  rule.Targets.clear();
  rule.Shards = {"s0", "s1", "s2"};
  rule.TopRecords = 3;
  rule.MinShardShare = 0.5;
  const std::string record(16, 'x');
  for (const std::string &interim : interimResponses()) {
    addLeaf("s0", {signedAnswer(record)});
    addLeaf("s1", {.Bytes = interim, .Rest = interim + signedAnswer(record)});
    addLeaf("s2", {interim + interim + signedAnswer(record)});
    auto result = send(rule);
    EXPECT_EQ(result.Status, 200U) << interim;
    EXPECT_EQ(result.Missing, "0") << interim;
    EXPECT_EQ(result.Body.size(), 48U);
    clear();
    addLeaf("s0", {signedAnswer(record)});
    addLeaf("s1", {signedAnswer(record)});
    addLeaf("s2", {interim});
    result = send(rule);
    EXPECT_EQ(result.Status, 200U) << interim;
    EXPECT_EQ(result.Missing, "1") << interim;
    expectInTime(result);
    clear();
  }
}

/// Guards against a forward that is taken back, or answered with an interim
/// response which a host of an earlier version passes on.
TEST_F(NonFinalAnswerTest, AForwardWaitsForTheFinalAnswerOfTheOtherHost) {
  RawLeaf &own = addLeaf("s", {signedAnswer("own")});
  Leaves.link().onProbesEnded(0, 100);
  ASSERT_TRUE(Leaves.link().lost());
  std::vector<std::pair<std::string, unsigned>> cases;
  for (const std::string &interim : interimResponses()) {
    cases.emplace_back(interim + signedAnswer("whole"), 200);
    cases.emplace_back(interim, 504);
  }
  for (const std::string &head : invalidHeads())
    cases.emplace_back(head + "\r\n", 502);
  for (const auto &[bytes, status] : cases) {
    RawAnswer answer{bytes};
    RawLeaf host(Io, [&](const std::string &) { return answer; });
    Leaves.setPeers({entryOf(host, "")}, {});
    const auto result = send(route(false));
    EXPECT_EQ(result.Status, status) << bytes;
    expectInTime(result);
    EXPECT_EQ(host.requests(), 1) << bytes;
    EXPECT_EQ(own.requests(), 0) << bytes;
  }
}

/// Guards against shards that count as missing, or as searched, when the host
/// that searches them sends responses that aren't final.
TEST_F(NonFinalAnswerTest, ASearchOfAnotherHostIsMergedByItsFinalAnswer) {
  auto rule = route(true);
  rule.Targets.clear();
  rule.Shards = {"s0", "s1"};
  rule.TopRecords = 2;
  rule.MinShardShare = 0.5;
  for (const std::string &shard : rule.Shards)
    addLeaf(shard, {signedAnswer(std::string(16, 'x'))});
  Leaves.link().onProbesEnded(0, 100);
  const std::string merged =
      leafAnswer(std::string(32, 'x'), "Savorytrestle-Part-Stamps: x, y\r\n"
                                       "Savorytrestle-Request-Id: r1\r\n");
  for (const std::string &interim : interimResponses()) {
    for (const auto &[bytes, status] :
         {std::pair(interim + merged, 200U), std::pair(interim, 504U)}) {
      RawAnswer answer{bytes};
      RawLeaf host(Io, [&](const std::string &) { return answer; });
      Leaves.setPeers({entryOf(host, "")}, {});
      const auto result = send(rule);
      EXPECT_EQ(result.Status, status) << bytes;
      EXPECT_EQ(result.Missing, status == 200 ? "0" : "") << bytes;
      expectInTime(result);
      EXPECT_EQ(host.requests(), 1) << bytes;
    }
  }
  for (const auto &leaf : Raw)
    EXPECT_EQ(leaf->requests(), 0);
}

} // namespace
