#include "operators/SettingsCommand.h"

#include <fstream>
#include <sstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "operators/SettingsStore.h"
#include "savorytrestle/core/SettingsSchema.h"
#include "savorytrestle/core/SettingsYaml.h"
#include "support/HttpServer.h"

using namespace savorytrestle;
using namespace savorytrestle::operators;
using namespace std::chrono_literals;
using testing::HasSubstr;

namespace {

std::string fileText(const std::string &name) {
  std::ifstream file(std::string(SOURCE_DIR) + "/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Runs the command against a server that returns the given statuses and
/// records the queries it receives.
class SettingsCommandTest : public testing::Test {
protected:
  int run(const std::vector<std::string> &words) {
    return runSettings(words, Options, Out, Err);
  }

  void serve(std::vector<int> statuses) {
    Statuses = std::move(statuses);
    Queries.clear();
    if (Server)
      return;
    support::HttpServerOptions options;
    options.Listen = "127.0.0.1:0";
    options.Threads = 1;
    options.KeepAlive = 10ms;
    Server = support::HttpServer::start(options, [this](const auto &request) {
               Queries.push_back(request.Query);
               support::HttpResponse response;
               response.Status =
                   Statuses.at(std::min(Queries.size(), Statuses.size()) - 1);
               response.Body = R"({"outcome":"accepted","revision":7,)"
                               R"("error":{"code":"x","message":"reason"}})";
               return response;
             }).value();
    Options.Admin = "127.0.0.1:" + std::to_string(Server->port());
    Options.RetryWait = 0ms;
  }

  SettingsCommandOptions Options;
  std::ostringstream Out;
  std::ostringstream Err;
  std::vector<int> Statuses;
  std::vector<std::string> Queries;
  std::unique_ptr<support::HttpServer> Server;
};

TEST_F(SettingsCommandTest, InvalidArgumentsPrintTheUsage) {
  for (const auto &words : std::vector<std::vector<std::string>>{
           {}, {"nothing"}, {"set", "/a"}, {"status", "x"}, {"get"}})
    EXPECT_EQ(run(words), 2);
  EXPECT_THAT(Err.str(), HasSubstr("exit codes"));
  EXPECT_EQ(run({"help"}), 0);
  EXPECT_EQ(run({"reference"}), 0);
}

TEST_F(SettingsCommandTest, ExitCodesMatchTheReplyStatus) {
  for (const auto &[status, code] :
       {std::pair{200, 0}, {409, 1}, {422, 1}, {401, 1}, {503, 4}, {504, 3}}) {
    serve({status});
    EXPECT_EQ(run({"set", "/a", "canary", "true"}), code) << status;
  }
}

TEST_F(SettingsCommandTest, AChangeWithUnknownOutcomeIsResentWithTheSameId) {
  serve({504, 200});
  EXPECT_EQ(run({"set", "/a", "canary", "true"}), 0);
  ASSERT_EQ(Queries.size(), 2U);
  const auto idOf = [](const std::string &query) {
    const auto at = query.find("change_id=");
    return query.substr(at, query.find('&', at) - at);
  };
  EXPECT_EQ(idOf(Queries[0]), idOf(Queries[1]));
  EXPECT_THAT(Queries[0], HasSubstr("resend=false"));
  EXPECT_THAT(Queries[1], HasSubstr("resend=true"));
}

TEST_F(SettingsCommandTest,
       WithoutAHostAFirstAttemptIsUnreachableAndAResendUnknown) {
  Options.Admin = "127.0.0.1:1";
  Options.RetryWait = 0ms;
  EXPECT_EQ(run({"set", "/a", "canary", "true"}), 4);
  Options.ChangeId = "c1";
  EXPECT_EQ(run({"set", "/a", "canary", "true"}), 3);
}

TEST_F(SettingsCommandTest, ValidateReportsTheFile) {
  EXPECT_EQ(run({"validate", std::string(SOURCE_DIR) + "/examples/demo.yaml"}),
            0);
  EXPECT_EQ(run({"validate", std::string(SOURCE_DIR) + "/CMakeLists.txt"}), 1);
  EXPECT_THAT(Err.str(), HasSubstr("CMakeLists.txt:"));
}

TEST(SettingsReference, TheReferencePageMatchesTheSchema) {
  EXPECT_EQ(fileText("docs/SETTINGS.md"), core::settingsReference());
}

TEST(SettingsExamples, BothDeploymentsAndTheDemoAreValid) {
  for (const auto *name : {"nagelpreis", "laurentides", "demo"}) {
    const auto file = std::string("examples/") + name + ".yaml";
    const auto tree = core::parseSettingsYaml(fileText(file), file);
    ASSERT_TRUE(tree) << tree.error().Message;
    EXPECT_FALSE(core::buildRouteTable(*tree, 1).Routes.empty()) << file;
  }
}

} // namespace
