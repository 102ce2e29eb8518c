#include "NodeDeployment.h"
#include "support/SocketOptions.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <gtest/gtest.h>

using namespace savorytrestle;
using namespace savorytrestle::tests;
using namespace std::chrono_literals;
using nlohmann::json;
using savorytrestle::testing::eventually;

namespace {

constexpr int Shards = 8;

/// A connection of a caller that sends requests as they are written.
class RawCaller {
public:
  explicit RawCaller(const std::string &address) : Socket(Io) {
    boost::asio::ip::tcp::endpoint endpoint;
    EXPECT_TRUE(support::parseEndpoint(address, endpoint));
    boost::system::error_code ec;
    Socket.connect(endpoint, ec);
    EXPECT_FALSE(ec) << ec.message();
  }

  /// Sends a GET request to "a.example" and waits for its answer.
  /// @param headers further header lines, each with its line end
  /// @return status of the answer; 0 if there was none
  unsigned get(const std::string &path, const std::string &headers) {
    const std::string request =
        "GET " + path + " HTTP/1.1\r\n" + "Host: a.example\r\n" +
        "Savorytrestle-Deadline-Ms: 2000\r\n" + headers + "\r\n";
    boost::system::error_code ec;
    boost::asio::write(Socket, boost::asio::buffer(request), ec);
    boost::beast::http::response<boost::beast::http::string_body> answer;
    boost::beast::http::read(Socket, Buffer, answer, ec);
    return ec ? 0 : answer.result_int();
  }

private:
  boost::asio::io_context Io;
  boost::asio::ip::tcp::socket Socket;
  boost::beast::flat_buffer Buffer;
};

/// Workspaces w1 and w2 with a key each, a public route, and a sharded one
/// whose leaves are all in failure domain b.
class KeysTest : public ::testing::Test {
protected:
  void SetUp() override {
    Cluster.addLeaf("i-plain", "plain", "a");
    for (const std::string &shard : shards())
      Cluster.addLeaf("i-" + shard, shard, "b");
  }

  void TearDown() override { Cluster.stop(); }

  static std::vector<std::string> shards() {
    std::vector<std::string> names;
    names.reserve(Shards);
    for (int i = 0; i < Shards; ++i)
      names.push_back("t" + std::to_string(i));
    return names;
  }

  static json config(int version, const json &workspaces) {
    json config = testConfig(version, shards());
    json open = config["routes"][1];
    open["name"] = "open";
    open["pathPrefix"] = "/open/";
    open["public"] = true;
    config["routes"].push_back(open);
    config["tenants"] = workspaces;
    return config;
  }

  static json workspaces(const std::vector<std::string> &w1,
                         const std::vector<std::string> &w2) {
    return {{{"name", "w1"}, {"apiKeys", w1}, {"priority", 0}},
            {{"name", "w2"}, {"apiKeys", w2}}};
  }

  /// Starts a host and waits until a version is in force there.
  NodeProcess &startHost(const std::string &domain = "a") {
    NodeProcess &host = Cluster.addNode(true, domain);
    EXPECT_TRUE(logged(host, "event=config_in_force"));
    return host;
  }

  static bool logged(const NodeProcess &node, const std::string &text) {
    return eventually(
        [&] { return node.log().find(text) != std::string::npos; });
  }

  /// Sends a request with a new id over a new connection.
  unsigned get(const NodeProcess &host, const std::string &path,
               const std::string &headers) {
    return RawCaller(host.CallerAddress).get(path, nextId() + headers);
  }

  std::string nextId() {
    LastId = "r" + std::to_string(++Requests);
    return "Savorytrestle-Request-Id: " + LastId + "\r\n";
  }

  /// Values of a header in all arrivals of the last request at leaves.
  std::vector<std::string> atLeaves(const std::string &name) {
    return Cluster.runOnStandInThread([&] {
      std::vector<std::string> values;
      for (const auto &leaf : Cluster.Leaves)
        for (const auto &arrival : leaf->Arrivals)
          for (const auto &[key, value] : arrival.Headers)
            if (arrival.RequestId == LastId && boost::beast::iequals(key, name))
              values.push_back(value);
      return values;
    });
  }

  /// Whether any leaf ever got a header with this text.
  bool everAtLeaves(const std::string &text) {
    return Cluster.runOnStandInThread([&] {
      for (const auto &leaf : Cluster.Leaves)
        for (const auto &arrival : leaf->Arrivals)
          for (const auto &[key, value] : arrival.Headers)
            if (value.find(text) != std::string::npos)
              return true;
      return false;
    });
  }

  using Values = std::vector<std::string>;
  NodeDeployment Cluster;
  /// Stands for a host of an earlier version.
  std::unique_ptr<PlatformLeaf> Earlier;
  int Requests = 0;
  std::string LastId;
};

/// Guards against a caller that runs as another workspace by naming it, and
/// against a key that reaches a leaf.
TEST_F(KeysTest, LeavesGetTheWorkspaceOfTheKeyWhateverTheCallerNames) {
  Cluster.putConfig(config(3, workspaces({"key-one"}, {"key-two"})));
  const NodeProcess &host = startHost();
  const std::string key = "Authorization: Token key-one\r\n";
  for (const std::string &forged :
       {std::string(), std::string("savorytrestle-tenant: w2\r\n"),
        std::string("SAVORYTRESTLE-TENANT: w2\r\nSavorytrestle-Tenant: w2\r\n"),
        std::string("Savorytrestle-Tenant: w2,\r\n w2\r\n"),
        std::string("Connection: savorytrestle-tenant\r\n"
                    "Savorytrestle-Tenant: w2\r\n"),
        std::string("Relay-Workspace: w2\r\nrelay-workspace: w2\r\n")}) {
    EXPECT_EQ(get(host, "/read/x", key + forged), 200U) << forged;
    EXPECT_EQ(atLeaves("Savorytrestle-Tenant"), Values{"w1"}) << forged;
    EXPECT_EQ(atLeaves("Relay-Workspace"), Values{}) << forged;
    EXPECT_EQ(atLeaves("Authorization"), Values{}) << forged;
  }
  EXPECT_EQ(get(host, "/read/x", "AUTHORIZATION: token\r\n key-two\r\n"), 200U);
  EXPECT_EQ(atLeaves("Savorytrestle-Tenant"), Values{"w2"});
  EXPECT_FALSE(everAtLeaves("key-"));
  EXPECT_EQ(host.log().find("key-"), std::string::npos);
}

/// Guards against requests that run without a key, and against a check that
/// comes after others.
TEST_F(KeysTest, RequestsWithoutOneKnownKeyAreRefused) {
  Cluster.putConfig(config(3, workspaces({"key-one"}, {"key-two"})));
  const NodeProcess &host = startHost();
  for (const std::string &headers :
       {std::string(), std::string("Relay-Workspace: w2\r\n"),
        std::string("Savorytrestle-Tenant: w1\r\n"),
        std::string("Authorization: Token key\r\n"),
        std::string("Authorization: Bearer key-one\r\n"),
        std::string("Authorization: Token key-one\r\n"
                    "authorization: Token key-one\r\n")}) {
    EXPECT_EQ(get(host, "/read/x", headers), 401U) << headers;
    EXPECT_EQ(atLeaves("Savorytrestle-Request-Id"), Values{}) << headers;
  }
  RawCaller caller(host.CallerAddress);
  EXPECT_EQ(caller.get("/read/x", ""), 401U);
  EXPECT_EQ(caller.get("/read/x", "Authorization: Token key-one\r\n"), 400U);
  EXPECT_EQ(caller.get("/nowhere/", ""), 404U);
}

TEST_F(KeysTest, OnAPublicRouteOnlyAValidKeyHasAnEffect) {
  Cluster.putConfig(config(3, workspaces({"key-one"}, {"key-two"})));
  const NodeProcess &host = startHost();
  for (const std::string &headers :
       {std::string("Savorytrestle-Tenant: w1\r\n"),
        std::string("Authorization: Token key-bad\r\n"),
        std::string("Authorization: Bearer key-one\r\n"),
        std::string("Authorization: Token key-one\r\n"
                    "Authorization: Token key-two\r\n")}) {
    EXPECT_EQ(get(host, "/open/x", headers), 200U) << headers;
    EXPECT_EQ(atLeaves("Savorytrestle-Tenant"), Values{}) << headers;
    EXPECT_EQ(atLeaves("Authorization"), Values{}) << headers;
  }
  EXPECT_EQ(get(host, "/open/x", "Authorization: Token key-two\r\n"), 200U);
  EXPECT_EQ(atLeaves("Savorytrestle-Tenant"), Values{"w2"});
}

/// Guards against a key that still works on a connection that was opened while
/// it was valid, and against the workspace that it had before.
TEST_F(KeysTest, AnOpenConnectionFollowsTheKeysInForce) {
  Cluster.putConfig(
      config(3, workspaces({"key-one", "key-moves"}, {"key-two"})));
  const NodeProcess &host = startHost();
  const std::string one = "Authorization: Token key-one\r\n";
  const std::string moves = "Authorization: Token key-moves\r\n";
  RawCaller caller(host.CallerAddress);
  EXPECT_EQ(caller.get("/read/x", nextId() + one), 200U);
  EXPECT_EQ(caller.get("/read/x", nextId() + moves), 200U);
  EXPECT_EQ(atLeaves("Savorytrestle-Tenant"), Values{"w1"});
  Cluster.putConfig(config(4, workspaces({}, {"key-two", "key-moves"})));
  ASSERT_TRUE(logged(host, "version=4"));
  EXPECT_EQ(caller.get("/read/x", nextId() + one), 401U);
  EXPECT_EQ(caller.get("/read/x", nextId() + moves), 200U);
  EXPECT_EQ(atLeaves("Savorytrestle-Tenant"), Values{"w2"});
  // A host accepts only higher versions, so the key does not come back.
  Cluster.putConfig(config(3, workspaces({"key-one"}, {"key-two"})));
  Cluster.putConfig(config(5, workspaces({}, {"key-two"})));
  ASSERT_TRUE(logged(host, "version=5"));
  EXPECT_EQ(caller.get("/read/x", nextId() + one), 401U);
}

TEST_F(KeysTest, AHostWithoutAConfigurationRefusesForNow) {
  const NodeProcess &host = Cluster.addNode(false);
  EXPECT_TRUE(eventually([&] {
    return NodeDeployment::get(host.ReadinessAddress, "/readiness", {})
               .Status == 503;
  }));
  EXPECT_EQ(get(host, "/read/x", "Authorization: Token key-one\r\n"), 503U);
}

/// Guards against a host that ends, takes over half a configuration, or logs
/// its keys, since the configuration is invalid.
TEST_F(KeysTest, AnInvalidConfigurationLeavesTheLastValidOneInForce) {
  Cluster.putConfig(config(3, workspaces({"key-one"}, {"key-two"})));
  NodeProcess &host = startHost();
  auto negative = workspaces({"key-new"}, {"key-two"});
  negative[0]["ratePerS"] = -1;
  int version = 3;
  for (const json &invalid :
       {workspaces({"key-new"}, {"key-new"}), negative, json::object()}) {
    Cluster.putConfig(config(++version, invalid));
    ASSERT_TRUE(eventually([&] {
      const std::string log = host.log();
      int lines = 0;
      for (auto at = log.find("event=config_skipped"); at != std::string::npos;
           at = log.find("event=config_skipped", at + 1))
        ++lines;
      return lines >= version - 3;
    })) << invalid;
    EXPECT_EQ(get(host, "/read/x", "Authorization: Token key-one\r\n"), 200U);
    EXPECT_EQ(get(host, "/read/x", "Authorization: Token key-new\r\n"), 401U);
  }
  EXPECT_EQ(host.log().find("key-"), std::string::npos);
  EXPECT_EQ(host.log().find("version=4"), std::string::npos);
}

/// Guards against shards that run without their workspace, or with the key,
/// since another host sends them to the leaves.
TEST_F(KeysTest, LeavesBehindARelayGetTheWorkspaceToo) {
  Cluster.putConfig(config(3, workspaces({"key-one"}, {"key-two"})));
  const NodeProcess &relayHost = startHost("b");
  const NodeProcess &host = startHost("a");
  ASSERT_TRUE(logged(host, "event=hosts_known hosts=2"));
  EXPECT_EQ(get(host, "/search/x",
                "Authorization: Token key-two\r\nRelay-Workspace: w1\r\n"),
            200U);
  EXPECT_TRUE(logged(relayHost, "request=" + LastId + " "));
  EXPECT_EQ(atLeaves("Savorytrestle-Tenant"), Values(Shards, "w2"));
  EXPECT_EQ(atLeaves("Relay-Workspace"), Values{});
  EXPECT_FALSE(everAtLeaves("key-"));
}

/// Guards against requests of a workspace that a host of an earlier version
/// serves without its quota and regions.
TEST_F(KeysTest, AHostOfAnEarlierVersionGetsNoRelaysOfWorkspaces) {
  auto plain = config(3, json::array());
  plain.erase("tenants");
  Cluster.putConfig(plain);
  const NodeProcess &host = startHost("a");
  const auto relays = [&] {
    return Cluster.runOnStandInThread([&] { return Earlier->Arrivals.size(); });
  };
  Cluster.runOnStandInThread([&] {
    Earlier =
        std::make_unique<PlatformLeaf>(Cluster.Io, "/hosts/earlier", "", "b");
    Earlier->Behavior.Shed = true;
    Cluster.Store->put("hosts/earlier", json{{"failure_domain", "b"},
                                             {"callers", Earlier->address()},
                                             {"peers", Earlier->address()}}
                                            .dump());
    return 0;
  });
  ASSERT_TRUE(logged(host, "event=hosts_known hosts=2"));
  EXPECT_EQ(get(host, "/search/x", ""), 200U);
  EXPECT_EQ(relays(), 1U);
  Cluster.putConfig(config(4, workspaces({"key-one"}, {"key-two"})));
  ASSERT_TRUE(logged(host, "version=4"));
  for (int i = 0; i < 5; ++i)
    EXPECT_EQ(get(host, "/search/x", "Authorization: Token key-one\r\n"), 200U);
  EXPECT_EQ(relays(), 1U);
}

} // namespace
