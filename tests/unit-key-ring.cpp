#include "entry/CallerIdentity.h"
#include "leaf/RelayHeaders.h"
#include "platform/Headers.h"
#include "platform/ServingConfigCodec.h"

#include <limits>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace savorytrestle;
using nlohmann::json;
using Status = boost::beast::http::status;

namespace {

core::ServingConfig configOf(std::vector<core::WorkspaceRule> workspaces) {
  core::ServingConfig config;
  config.Workspaces = std::move(workspaces);
  return config;
}

core::WorkspaceRule workspace(const std::string &name,
                              std::vector<std::string> keys) {
  core::WorkspaceRule rule;
  rule.Name = name;
  rule.ApiKeys = std::move(keys);
  return rule;
}

TEST(KeyRing, EachKeyFindsItsWorkspaceAndNoOtherTextFindsAny) {
  const auto config =
      configOf({workspace("w1", {"k1", "k2"}), workspace("w2", {"K1"}),
                workspace("none", {})});
  const core::KeyRing keys({1, 2, 3}, config);
  EXPECT_EQ(keys.size(), 3U);
  EXPECT_EQ(keys.find("k2")->Name, "w1");
  EXPECT_EQ(keys.find("K1")->Name, "w2");
  for (const char *text : {"", "k", "k11", "w1", "none"})
    EXPECT_EQ(keys.find(text), nullptr) << text;
  EXPECT_EQ(core::KeyRing({1}, core::ServingConfig()).find("k1"), nullptr);
}

TEST(KeyRing, ParsesTheTokenScheme) {
  for (const char *text : {"Token k1", "token k1", "TOKEN \t k1 ", " Token k1"})
    EXPECT_EQ(core::parseTokenKey(text), "k1") << text;
  const std::string longest(core::MaxKeyBytes, 'k');
  EXPECT_EQ(core::parseTokenKey("Token " + longest), longest);
  for (const std::string &text :
       {std::string(), std::string("Token"), std::string("Token  "),
        std::string("Tokenk1"), std::string("Token k1 k2"), std::string("k1"),
        std::string("Bearer k1"), std::string("Token k\x01"),
        "Token " + longest + "k"})
    EXPECT_FALSE(core::parseTokenKey(text)) << text;
}

/// Guards against a configuration in which a request could get a workspace, a
/// quota or a rank that no operator meant, and against keys in log lines.
TEST(KeyRing, InvalidWorkspacesAreNamedWithoutTheirKeys) {
  EXPECT_FALSE(core::findWorkspaceError(core::ServingConfig()));
  auto good = workspace("w", {"secret", std::string(256, 'k')});
  good.RatePerSecond = 1e6;
  good.Priority = 1000;
  EXPECT_FALSE(core::findWorkspaceError(
      configOf({good, workspace(std::string(128, 'n'), {})})));
  EXPECT_TRUE(core::findWorkspaceError(configOf({good, good})));
  std::vector<core::WorkspaceRule> bad = {
      workspace("", {}),
      workspace(std::string(129, 'n'), {}),
      workspace("a\nb", {}),
      workspace(" a", {}),
      workspace("x", {""}),
      workspace("x", {"secret", "secret"}),
      workspace("x", {std::string(257, 'k')}),
      workspace("x", {"secret key"}),
  };
  for (const double rate :
       {-1.0, 1e6 + 1, std::nan(""), std::numeric_limits<double>::infinity()}) {
    bad.push_back(workspace("x", {}));
    bad.back().RatePerSecond = rate;
    bad.push_back(workspace("x", {}));
    bad.back().Burst = rate;
  }
  for (const int priority : {-1, 1001}) {
    bad.push_back(workspace("x", {}));
    bad.back().Priority = priority;
  }
  for (const auto &rule : bad) {
    const auto error = core::findWorkspaceError(configOf({rule}));
    ASSERT_TRUE(error) << rule.Name;
    EXPECT_EQ(error->find("secret"), std::string::npos) << *error;
  }
  const auto shared = core::findWorkspaceError(
      configOf({workspace("x", {"secret"}), workspace("y", {"secret"})}));
  ASSERT_TRUE(shared);
  EXPECT_EQ(shared->find("secret"), std::string::npos) << *shared;
}

json configText(const json &workspaces) {
  return {{"version", 7},
          {"routes", json::array()},
          {"services", json::array()},
          {"tenants", workspaces}};
}

/// Guards against an entry of another type that is read as if it were missing
/// or truncated: null or an object in place of the list would mean that no key
/// is valid, and 2^32 would be the highest priority.
TEST(KeyRing, AConfigurationWithEntriesOfAnotherTypeIsRejected) {
  const json good = {{"name", "w"}, {"apiKeys", {"secret"}}, {"priority", 3}};
  const auto decoded =
      platform::decodeServingConfig(configText(json::array({good})).dump());
  ASSERT_TRUE(decoded) << decoded.error().Message;
  EXPECT_EQ(decoded->Workspaces->front().Priority, 3);
  std::vector<json> bad = {json(), json::object(), json::object({{"w", good}}),
                           "secret", 1};
  for (const json &value : {json(4294967296), json(1.5), json(true), json("1"),
                            json(), json(1e300), json(-1)}) {
    bad.push_back(json::array({good}));
    bad.back()[0]["priority"] = value;
  }
  for (const char *key :
       {"name", "apiKeys", "ratePerS", "burstSize", "allowedRegions"})
    for (const json &value : {json(), json({{"a", "secret"}}), json(true)}) {
      bad.push_back(json::array({good}));
      bad.back()[0][key] = value;
    }
  bad.push_back(json::array({good, "secret"}));
  for (const json &workspaces : bad) {
    const auto result =
        platform::decodeServingConfig(configText(workspaces).dump());
    EXPECT_FALSE(result) << workspaces;
    if (!result) {
      EXPECT_EQ(result.error().Message.find("secret"), std::string::npos)
          << result.error().Message;
    }
  }
}

class CallerIdentityTest : public ::testing::Test {
protected:
  /// @return the workspace's name, "-" for none, or the status
  std::string find(const std::vector<std::string> &authorization,
                   bool isPublic = false, bool relayed = false,
                   const std::string &relayWorkspace = "") {
    entry::CallerRequest request;
    for (const std::string &value : authorization)
      request.insert(Field::authorization, value);
    if (!relayWorkspace.empty())
      request.set(leaf::RelayWorkspaceHeader, relayWorkspace);
    core::RouteRule route;
    route.Public = isPublic;
    const auto found =
        entry::findWorkspace(request, route, Config, Keys, relayed);
    if (!found)
      return std::to_string(static_cast<unsigned>(found.error().Status));
    return *found ? (*found)->Name : "-";
  }

  /// Authorization headers that leaves get.
  std::vector<std::string>
  forwarded(const std::vector<std::string> &authorization) {
    entry::CallerRequest request;
    for (const std::string &value : authorization)
      request.insert(Field::authorization, value);
    entry::setWorkspaceHeaders(request, platform::headerNames(), Config, Keys,
                               nullptr);
    std::vector<std::string> values;
    const auto all = request.equal_range(Field::authorization);
    for (auto it = all.first; it != all.second; ++it)
      values.emplace_back(it->value());
    return values;
  }

  using Field = boost::beast::http::field;
  core::ServingConfig Config =
      configOf({workspace("w1", {"k1"}), workspace("w2", {"k2"})});
  core::KeyRing Keys{{7}, Config};
};

TEST_F(CallerIdentityTest, TheKeyDecides) {
  EXPECT_EQ(find({"Token k1"}), "w1");
  EXPECT_EQ(find({}), "401");
  EXPECT_EQ(find({"Token k3"}), "401");
  EXPECT_EQ(find({"Bearer k1"}), "401");
  EXPECT_EQ(find({"Token k1", "Token k1"}), "401");
  // On a public route only a valid key has an effect.
  EXPECT_EQ(find({"Token k2"}, true), "w2");
  for (const auto &other : std::vector<std::vector<std::string>>{
           {}, {"Token k3"}, {"Bearer k1"}, {"Token k1", "Token k2"}})
    EXPECT_EQ(find(other, true), "-");
  Config.Workspaces.reset();
  EXPECT_EQ(find({"Token k3"}), "-");
}

/// Guards against a caller that names its workspace itself, and against a relay
/// that runs without the workspace that it names, also on a public route.
TEST_F(CallerIdentityTest, OnlyAHostNamesTheWorkspace) {
  EXPECT_EQ(find({"Token k1"}, false, false, "w2"), "w1");
  EXPECT_EQ(find({}, false, false, "w2"), "401");
  EXPECT_EQ(find({}, false, true, "w2"), "w2");
  EXPECT_EQ(find({}, false, true, "w3"), "503");
  EXPECT_EQ(find({}, true, true, "w3"), "503");
  // A host of an earlier version forwards the key.
  EXPECT_EQ(find({"Token k1"}, false, true), "w1");
}

/// Guards against a leaf that gets the key, whichever scheme a caller of a
/// public route names.
TEST_F(CallerIdentityTest, LeavesGetTheNameAndNeverTheKey) {
  using Values = std::vector<std::string>;
  for (const char *value : {"Token k1", "token k9", "Token", "Bearer k1", "k1",
                            "Token:k1", "Basic realm=\"k1\"", "Bearer x, k2"})
    EXPECT_EQ(forwarded({value}), Values{}) << value;
  EXPECT_EQ(forwarded({"Basic abc", "Token k1"}), Values{});
  EXPECT_EQ(forwarded({"Basic abc"}), Values{"Basic abc"});
  entry::CallerRequest request;
  const auto names = platform::headerNames();
  for (const char *name :
       {"Savorytrestle-Tenant", "savorytrestle-tenant", "SAVORYTRESTLE-TENANT"})
    request.insert(name, "w2");
  const auto &w1 = Config.Workspaces->front();
  entry::setWorkspaceHeaders(request, names, Config, Keys, &w1);
  EXPECT_EQ(request.count(names.Workspace), 1U);
  EXPECT_EQ(request[names.Workspace], "w1");
  request.insert("savorytrestle-tenant", "w2");
  entry::setWorkspaceHeaders(request, names, Config, Keys, nullptr);
  EXPECT_EQ(request.count(names.Workspace), 0U);
  // Without workspaces an Authorization header is the leaves' own matter.
  Config.Workspaces.reset();
  EXPECT_EQ(forwarded({"Token k1"}), Values{"Token k1"});
}

} // namespace
