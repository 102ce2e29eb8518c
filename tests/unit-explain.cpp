#include "entry/RequestExplanation.h"

#include <sstream>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "leaf/LeafChoice.h"
#include "operators/ExplainCommand.h"
#include "support/HttpServer.h"

using namespace savorytrestle;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

core::LeafEntry entry(const std::string &id, const std::string &domain) {
  core::LeafEntry leaf;
  leaf.Id = id;
  leaf.Service = "s";
  leaf.Address = "127.0.0.1:1";
  leaf.FailureDomain = domain;
  leaf.Slots = 4;
  return leaf;
}

class ExplainTest : public testing::Test {
protected:
  ExplainTest() {
    core::RouteRule route;
    route.Name = "r";
    route.Host = "h";
    route.PathPrefix = "/v1/";
    route.Timeout = 1000ms;
    route.Objective = 300ms;
    route.Shards = {"s"};
    Config.Version = 7;
    Config.Routes.push_back(route);
    core::WorkspaceRule workspace;
    workspace.Name = "w";
    workspace.ApiKeys = {"secret-key"};
    workspace.AllowedRegions = {"west"};
    Config.Workspaces = {workspace};
    Config.buildIndex();
    for (const auto &[id, domain] :
         {std::pair{"near", "a"}, {"beside", "b"}, {"far", "c"}})
      Leaves.putLeaf(entry(id, domain));
  }

  json explain(const std::string &query) {
    return json::parse(
        entry::answerExplain(&Config, Leaves, "/explain?" + query).body());
  }

  boost::asio::io_context Io;
  leaf::LeafDirectory Leaves{
      Io, {"a", {{"a", "west"}, {"b", "west"}, {"c", "east"}}}, {0.2, 54, 10s}};
  core::ServingConfig Config;
};

// Guards against an explanation that differs from where requests really go.
TEST_F(ExplainTest, NamesTheLeafThatIsChosenAndWhyOthersAreNot) {
  auto &near = *Leaves.service("s").Leaves[0];
  near.retire();
  const json reply = explain("host=h&path=%2Fv1%2Fx&workspace=w");
  EXPECT_EQ(reply["config_version"], 7);
  EXPECT_FALSE(reply.contains("refusal")) << reply;
  const json &service = reply["services"].at(0);
  std::minstd_rand random;
  const auto chosen =
      leaf::chooseLeaf(Leaves.service("s"), 45ms, {}, 0, random,
                       {Config.Routes[0], &(*Config.Workspaces)[0]});
  EXPECT_EQ(service["chosen"], chosen->entry().Id);
  EXPECT_EQ(service["chosen"], "beside");
  std::map<std::string, json> excluded;
  for (const json &row : service["leaves"])
    excluded[row["leaf"]] = row["excluded"];
  EXPECT_EQ(excluded["near"], json({"leaving"}));
  EXPECT_EQ(excluded["far"], json({"region"}));
  EXPECT_EQ(reply.dump().find("secret-key"), std::string::npos);
}

// Guards against an explanation that spends a share of a limit, creates a
// service, or counts as a request.
TEST_F(ExplainTest, ChangesNothing) {
  leaf::Service &service = Leaves.service("s");
  Leaves.applyRateLimit(*service.Leaves[0], 1);
  Config.Routes[0].Shards.push_back("not-yet-known");
  const auto now = std::chrono::steady_clock::now() + 1min;
  const double chance = service.Leaves[0]->rateLimit().sendChance(now);
  const bool budget = service.RetryBudget.canSpend(now);
  const std::minstd_rand random = Leaves.random();
  for (int i = 0; i < 100; ++i)
    (void)explain("host=h&path=/v1/x&workspace=w");
  EXPECT_EQ(Leaves.findService("not-yet-known"), nullptr);
  EXPECT_EQ(Leaves.random(), random);
  EXPECT_EQ(service.Leaves[0]->rateLimit().sendChance(now), chance);
  EXPECT_EQ(service.RetryBudget.canSpend(now), budget);
  EXPECT_TRUE(service.Latencies.empty());
  for (const auto &leaf : service.Leaves) {
    EXPECT_EQ(leaf->score().outstanding(), 0);
    EXPECT_FALSE(leaf->score().takeReport(now));
  }
  EXPECT_EQ(Io.poll(), 0U);
}

TEST_F(ExplainTest, MalformedQueriesAndRefusedRequestsAreStated) {
  for (const char *query :
       {"", "host=h", "host=h&path=/v1/x&deadline_ms=0",
        "host=h&path=/v1/x&deadline_ms=9999999999999999999", "&&=%zz"})
    EXPECT_EQ(
        entry::answerExplain(&Config, Leaves, std::string("/explain?") + query)
            .result_int(),
        400U)
        << query;
  EXPECT_EQ(explain("host=h&path=/none")["refusal"],
            "no route matches the host and path");
  EXPECT_EQ(explain("host=h&path=/v1/x")["refusal"], "the route needs a key");
  EXPECT_EQ(explain("host=h&path=/v1/x&workspace=v")["refusal"],
            "no such workspace");
}

TEST_F(ExplainTest, TheCommandPrintsTextAndReportsRefusals) {
  support::HttpServerOptions listener;
  listener.Listen = "127.0.0.1:0";
  listener.Threads = 1;
  listener.KeepAlive = 10ms;
  const auto server =
      support::HttpServer::start(listener, [this](const auto &request) {
        support::HttpResponse response;
        const auto answer = entry::answerExplain(
            &Config, Leaves, request.Path + "?" + request.Query);
        response.Status = static_cast<int>(answer.result_int());
        response.Body = answer.body();
        return response;
      }).value();
  operators::ExplainOptions options;
  options.Status = "127.0.0.1:" + std::to_string(server->port());
  options.Host = "h";
  options.Path = "/v1/x y";
  options.Workspace = "w";
  std::ostringstream out;
  std::ostringstream err;
  EXPECT_EQ(operators::runExplain(options, out, err), 0) << err.str();
  EXPECT_NE(out.str().find("* near"), std::string::npos) << out.str();
  options.Workspace.clear();
  EXPECT_EQ(operators::runExplain(options, out, err), 1);
  EXPECT_NE(out.str().find("refused: the route needs a key"),
            std::string::npos);
}

} // namespace
