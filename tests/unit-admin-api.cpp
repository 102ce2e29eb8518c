#include "SettingsFixture.h"
#include "operators/AdminApi.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace savorytrestle;
using namespace savorytrestle::operators;
using nlohmann::json;
using standins::InterruptedKvStore;
using support::HttpRequest;
using support::HttpResponse;
using testing::HasSubstr;

namespace {

const std::string Yaml = R"(workspaces:
  aufsicht:
    operator_token_hash: )" +
                         hashToken("ws") + R"(
    services:
      portal:
        leaf_range: {groups: 1, address: 10.0.0.1, first_port: 1,
                     failure_domains: [wien]}
        routes: {suche: {kind: search}}
  andere: {canary: true}
)";

class AdminApiTest : public testing::Test {
protected:
  AdminApiTest() {
    AdminApiOptions options;
    options.Host = "h1";
    options.RootTokenHash = hashToken("root");
    options.Now = [] { return core::WallTime{}; };
    Api.emplace(options, makeBackend(Store), Replica);
    call("POST", "/v1/apply", "", Yaml);
  }

  HttpResponse call(const std::string &method, const std::string &path,
                    const std::string &query = "", const std::string &body = "",
                    const std::string &token = "root") {
    HttpRequest request{method, path, query, body, {}};
    request.Headers["authorization"] = "Bearer " + token;
    return Api->handle(request);
  }

  HttpResponse set(const std::string &path, const std::string &key,
                   const std::string &value, const std::string &token = "root",
                   const std::string &more = "") {
    return call("PUT", "/v1/settings", "path=" + path + "&key=" + key + more,
                json{{"value", value}}.dump(), token);
  }

  static json parsed(const HttpResponse &response) {
    return json::parse(response.Body);
  }

  InterruptedKvStore Kv;
  SettingsStore<InterruptedKvStore> Store{Kv};
  SettingsReplica Replica;
  std::optional<AdminApi> Api;
};

TEST_F(AdminApiTest, AnAcceptedChangeIsInForceOnThisHostBeforeTheReply) {
  const auto reply = set("/aufsicht", "max_deadline", "4 s");
  EXPECT_EQ(reply.Status, 200);
  EXPECT_EQ(parsed(reply)["outcome"], "accepted");
  EXPECT_EQ(Replica.revision(), parsed(reply)["revision"]);
  const auto read = parsed(call(
      "GET", "/v1/settings", "path=/aufsicht/portal/suche&key=max_deadline"));
  EXPECT_EQ(read["value"], "4 s");
  EXPECT_EQ(read["source"], "/aufsicht");
}

TEST_F(AdminApiTest, ARequestWithoutAKnownTokenIsRefused) {
  for (const auto *token : {"", "wrong", "roo", "rootx"}) {
    const auto reply = call("GET", "/v1/settings", "", "", token);
    EXPECT_EQ(reply.Status, 401) << token;
    EXPECT_EQ(parsed(reply)["error"]["code"], "unauthorized");
  }
}

TEST_F(AdminApiTest, AnEmptyRootTokenHashMatchesNoToken) {
  EXPECT_FALSE(authenticate("Bearer ", "", nullptr));
}

TEST_F(AdminApiTest, AWorkspaceTokenIsLimitedToItsSubtree) {
  EXPECT_EQ(set("/aufsicht", "canary", "true", "ws").Status, 200);
  EXPECT_EQ(set("/andere", "canary", "false", "ws").Status, 403);
  EXPECT_EQ(set("/", "canary", "false", "ws").Status, 403);
  EXPECT_EQ(call("GET", "/v1/settings", "path=/andere", "", "ws").Status, 403);
  EXPECT_EQ(call("GET", "/v1/settings", "path=/", "", "ws").Status, 403);
  EXPECT_EQ(call("POST", "/v1/apply", "path=/", Yaml, "ws").Status, 403);
  const auto history = call("GET", "/v1/history", "", "", "ws");
  EXPECT_EQ(history.Body.find("/andere"), std::string::npos);
}

TEST_F(AdminApiTest, AWorkspaceTokenCannotIncreaseItsShareOfTheLeaves) {
  EXPECT_EQ(set("/aufsicht", "weight", "9", "ws").Status, 403);
  set("/aufsicht/portal", "leaf_slots", "2");
  EXPECT_EQ(set("/aufsicht/portal", "leaf_slots", "9", "ws").Status, 403);
  EXPECT_EQ(
      call("DELETE", "/v1/settings", "path=/aufsicht/portal", "", "ws").Status,
      403);
}

TEST_F(AdminApiTest, AnErrorReportsPathKeyAndAllowedValues) {
  const auto reply = set("/aufsicht", "policy", "fast");
  EXPECT_EQ(reply.Status, 422);
  const std::string message = parsed(reply)["error"]["message"];
  EXPECT_THAT(message, HasSubstr("/aufsicht policy: 'fast'"));
  EXPECT_THAT(message, HasSubstr("coverage_first|tail_first"));
  EXPECT_EQ(call("PUT", "/v1/settings", "path=/x&key=canary", "{").Status, 400);
  EXPECT_EQ(call("GET", "/v1/nothing").Status, 404);
}

TEST_F(AdminApiTest, AConflictReplyListsTheConflictingChanges) {
  set("/aufsicht", "max_deadline", "4 s");
  const auto reply =
      set("/aufsicht", "max_deadline", "3 s", "root", "&base_revision=1");
  EXPECT_EQ(reply.Status, 409);
  EXPECT_EQ(parsed(reply)["since"][0]["items"][0]["new"], "4 s");
}

TEST_F(AdminApiTest, DuringAnOutageChangesGetRetryAfterAndReadsSucceed) {
  Kv.Faults->Outage = true;
  const auto reply =
      set("/aufsicht", "canary", "true", "root", "&change_id=c1&resend=false");
  EXPECT_EQ(reply.Status, 503);
  EXPECT_EQ(parsed(reply)["outcome"], "not_made");
  EXPECT_EQ(parsed(reply)["error"]["run"], "not_run");
  EXPECT_EQ(reply.Headers.at("Retry-After"), "2");
  EXPECT_EQ(call("GET", "/v1/explain", "path=/aufsicht").Status, 200);
  EXPECT_EQ(call("GET", "/v1/history").Status, 503);
}

TEST_F(AdminApiTest, AnUnknownOutcomeIsResolvedByResending) {
  Kv.SwapRepliesToLose = 1;
  Kv.OutageAfterNextSwap = true;
  const auto send = [&] {
    return set("/aufsicht", "canary", "true", "root", "&change_id=c1");
  };
  const auto lost = send();
  EXPECT_EQ(lost.Status, 504);
  EXPECT_EQ(parsed(lost)["error"]["run"], "unknown");
  Kv.Faults->Outage = false;
  EXPECT_EQ(parsed(send())["revision"], 2);
  EXPECT_EQ(Store.read()->Revision, 2U);
}

TEST_F(AdminApiTest, ApplyingAFileAgainChangesNothing) {
  EXPECT_EQ(parsed(call("POST", "/v1/apply", "", Yaml))["outcome"],
            "unchanged");
  const auto query = "change_id=c1&resend=true";
  const std::string other = "canary: true\n" + Yaml;
  EXPECT_EQ(parsed(call("POST", "/v1/apply", query, other))["revision"], 2);
  EXPECT_EQ(parsed(call("POST", "/v1/apply", query, other))["revision"], 2);
}

TEST_F(AdminApiTest, ApplyDoesNotRevertChangesAfterItsBaseRevision) {
  set("/andere", "max_deadline", "2 s");
  const auto stale = call("POST", "/v1/apply", "base_revision=1", Yaml);
  EXPECT_EQ(stale.Status, 409);
  EXPECT_NE(
      Replica.current()->Tree.find(standins::path("/andere"), "max_deadline"),
      nullptr);
}

TEST_F(AdminApiTest, DiffReturnsTheNetChange) {
  set("/", "canary", "true");
  set("/", "canary", "false");
  const auto reply = parsed(call("GET", "/v1/diff", "from=1"));
  ASSERT_EQ(reply["changes"].size(), 1U);
  EXPECT_EQ(reply["changes"][0]["old"], nullptr);
  EXPECT_EQ(reply["changes"][0]["new"], false);
}

TEST_F(AdminApiTest, StatusReportsWhetherTheRevisionIsInForceOnAllHosts) {
  const auto reply = parsed(call("GET", "/v1/status"));
  EXPECT_EQ(reply["revision"], 1);
  EXPECT_EQ(reply["hosts"][0]["host"], "h1");
  EXPECT_EQ(reply["in_force_everywhere"], true);
}

} // namespace
