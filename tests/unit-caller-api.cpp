#include "caller/CallerApi.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace savorytrestle;
using namespace std::chrono_literals;
using nlohmann::json;
using support::HttpRequest;

namespace {

/// A CallerApi with one search route and one write route.
class CallerApiTest : public ::testing::Test {
protected:
  CallerApiTest() {
    auto service = std::make_shared<core::ServiceSettings>();
    core::RouteSettings route;
    route.Service = service;
    route.Name = "r";
    route.MaxBodyBytes = 100;
    route.MaxDeadline = 1s;
    Table->Routes[{"w", "r"}] = route;
    route.Kind = core::RouteKind::Write;
    Table->Routes[{"w", "write"}] = route;
    Table->WorkspaceWeights["w"] = 1;
    Backend.Routes = [this] { return Table; };
    Backend.Ready = [] { return true; };
    Backend.Draining = [this] { return Draining; };
    Backend.Search = [this](const caller::CallerRequest &) {
      ++RunCount;
      return core::SearchAnswer{};
    };
    Backend.Write = [this](const caller::CallerRequest &) {
      ++RunCount;
      return caller::WriteAnswer{};
    };
  }

  json send(const std::string &path, const std::string &body,
            std::map<std::string, std::string> headers) {
    HttpRequest request;
    request.Method = "POST";
    request.Path = path;
    request.Body = body;
    request.Headers = std::move(headers);
    caller::CallerApi api(Backend, Metrics);
    const auto response = api.handle(request);
    Status = response.Status;
    return json::parse(response.Body);
  }

  std::string errorCode(const std::string &path, const std::string &body,
                        std::map<std::string, std::string> headers) {
    return send(path, body, std::move(headers))["error"]["code"];
  }

  std::shared_ptr<core::RouteTable> Table =
      std::make_shared<core::RouteTable>();
  support::Metrics Metrics;
  caller::CallerBackend Backend;
  bool Draining = false;
  int RunCount = 0;
  int Status = 0;
};

TEST_F(CallerApiTest, RunsAValidRequest) {
  send("/v1/w/r", "{}", {{"deadline-ms", "500"}});
  EXPECT_EQ(Status, 200);
  EXPECT_EQ(RunCount, 1);
}

TEST_F(CallerApiTest, InvalidInputGetsAnErrorCodeAndIsNotRun) {
  const std::map<std::string, std::string> good = {{"deadline-ms", "500"}};
  EXPECT_EQ(errorCode("/v1/w/r", "{}", {}), "deadline_invalid");
  EXPECT_EQ(errorCode("/v1/w/r", "{}", {{"deadline-ms", "-1"}}),
            "deadline_invalid");
  EXPECT_EQ(errorCode("/v1/w/r", "{}", {{"deadline-ms", "1001"}}),
            "deadline_invalid");
  EXPECT_EQ(errorCode("/v1/w/r", "[]", good), "bad_request");
  EXPECT_EQ(
      errorCode("/v1/w/r", json{{"x", std::string(200, 'x')}}.dump(), good),
      "bad_request");
  EXPECT_EQ(errorCode("/v1/nobody/r", "{}", good), "unknown_workspace");
  EXPECT_EQ(errorCode("/v1/w/none", "{}", good), "unknown_route");
  EXPECT_EQ(errorCode("/v1/w", "{}", good), "not_found");
  EXPECT_EQ(RunCount, 0);
}

TEST_F(CallerApiTest, ADrainingHostRefusesWithARetryDelay) {
  Draining = true;
  const auto reply = send("/v1/w/r", "{}", {{"deadline-ms", "500"}});
  EXPECT_EQ(Status, 503);
  EXPECT_EQ(reply["error"]["run"], "not_run");
  EXPECT_TRUE(reply["error"].contains("retry_after_ms"));
}

TEST_F(CallerApiTest, ARefusedResendOfAKeyHasAnUnknownRunState) {
  Draining = true;
  const auto runState = [&](std::map<std::string, std::string> headers) {
    headers["deadline-ms"] = "500";
    return send("/v1/w/write", "{}", std::move(headers))["error"]["run"];
  };
  EXPECT_EQ(runState({}), "not_run");
  EXPECT_EQ(runState({{"idempotency-key", "k"}, {"send-number", "1"}}),
            "not_run");
  EXPECT_EQ(runState({{"idempotency-key", "k"}}), "unknown");
  EXPECT_EQ(runState({{"idempotency-key", "k"}, {"send-number", "2"}}),
            "unknown");
}

/// Guards against a resend with a cut body that is told "not run" though an
/// earlier send of its key has run.
TEST_F(CallerApiTest, AResendWhoseBodyIsRefusedHasAnUnknownRunState) {
  const auto runState = [&](std::map<std::string, std::string> headers) {
    HttpRequest request;
    request.Headers = std::move(headers);
    caller::CallerApi api(Backend, Metrics);
    return json::parse(api.refuseBody(request).Body)["error"]["run"];
  };
  EXPECT_EQ(runState({}), "not_run");
  EXPECT_EQ(runState({{"idempotency-key", "k"}, {"send-number", "1"}}),
            "not_run");
  EXPECT_EQ(runState({{"idempotency-key", "k"}, {"send-number", "2"}}),
            "unknown");
}

TEST_F(CallerApiTest, RejectsABodyThatIsNestedTooDeeply) {
  Table->Routes[{"w", "r"}].MaxBodyBytes = 1 << 20;
  std::string body;
  for (int i = 0; i < 2000; ++i)
    body += "{\"a\":";
  body += "1" + std::string(2000, '}');
  EXPECT_EQ(errorCode("/v1/w/r", body, {{"deadline-ms", "500"}}),
            "bad_request");
  EXPECT_EQ(RunCount, 0);
}

} // namespace
