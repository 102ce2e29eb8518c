#ifndef SAVORYTRESTLE_TESTS_PATH_FIXTURE_H
#define SAVORYTRESTLE_TESTS_PATH_FIXTURE_H

/// @file
/// @brief A small deployment: one search service of three groups with three
/// replicas, one write service, and as many hosts as a test starts.

#include <fstream>

#include <gtest/gtest.h>

#include "ProcessHarness.h"

namespace savorytrestle::testing {

/// @brief Fixture of the process tests that send requests through hosts to
/// leaves.
class PathTest : public ::testing::Test {
protected:
  static constexpr int Groups = 3;
  static constexpr int Replicas = 3;
  static constexpr int SearchLeaves = Groups * Replicas;

  /// @brief Starts all leaves.
  /// @param searchArguments further flags of the search leaves
  void startLeaves(const std::vector<std::string> &searchArguments = {}) {
    for (int n = 0; n < SearchLeaves; ++n) {
      std::vector<std::string> arguments = {
          "--indexes=7:" + std::to_string(n / Replicas) + ":3"};
      arguments.insert(arguments.end(), searchArguments.begin(),
                       searchArguments.end());
      Cluster.addLeaf("search-" + std::to_string(n), arguments);
    }
    Cluster.addLeaf("write-0", {});
  }

  /// @brief Starts a host and waits until it serves searches; the first one
  /// puts the settings into the store.
  /// @param serviceSettings further settings of the search service
  /// @param furtherRoutes further routes of the search service
  HostProcess &startHost(const std::string &serviceSettings = "",
                         const std::string &furtherRoutes = "") {
    auto &host = Cluster.addHost("wien", HostSettings);
    if (Cluster.Hosts.size() == 1) {
      EXPECT_TRUE(eventually([&] {
        return apply(host, settingsText(serviceSettings, furtherRoutes));
      }));
    }
    EXPECT_TRUE(eventually([&] { return host.ready(); }));
    EXPECT_TRUE(
        eventually([&] { return shardsAnswered(search(host)) == Groups; }));
    return host;
  }

  /// @brief Replaces the settings tree, as the root operator.
  static bool apply(const HostProcess &host, const std::string &yaml) {
    return sendAsOperator(host, "POST", "/v1/apply", yaml).Status == 200;
  }

  /// @brief Sends an administration request as the root operator.
  static JsonReply sendAsOperator(const HostProcess &host,
                                  const std::string &method,
                                  const std::string &path,
                                  const nlohmann::json &body = nullptr) {
    return sendJson(method, "http://" + host.OperatorAddress + path, body,
                    {{"Authorization", std::string("Bearer ") + RootToken}});
  }

  /// @brief Sends one search.
  static JsonReply
  search(const HostProcess &host,
         const nlohmann::json &query = {{"text", "gel"}},
         std::chrono::milliseconds deadline = std::chrono::milliseconds(1000)) {
    return host.call("/v1/preisaufsicht/suche", query, deadline);
  }

  /// @brief Number of shards answered; -1 if the status is not 200.
  static int shardsAnswered(const JsonReply &reply) {
    if (reply.Status != 200)
      return -1;
    return reply.Body["coverage"]["shards_answered"].get<int>();
  }

  LeafProcess &leaf(int n) {
    return *Cluster.Leaves[static_cast<std::size_t>(n)];
  }
  LeafProcess &writeLeaf() { return *Cluster.Leaves.back(); }

  Deployment Cluster;
  /// Further settings of the hosts that are started next.
  std::string HostSettings;

private:
  std::string settingsText(const std::string &serviceSettings,
                           const std::string &furtherRoutes) {
    std::string text = "workspaces:\n  preisaufsicht:\n    services:\n"
                       "      preisportal:\n" +
                       serviceSettings + "        leaves:\n";
    for (int n = 0; n < SearchLeaves; ++n)
      text += leafLine(leaf(n), "g" + std::to_string(n / Replicas));
    text += "        routes:\n          suche: {kind: search}\n" +
            furtherRoutes + "      meldestelle:\n        leaves:\n" +
            leafLine(writeLeaf(), "w") +
            "        routes:\n          melden: {kind: write}\n";
    return text;
  }

  static std::string leafLine(const LeafProcess &leaf,
                              const std::string &group) {
    return "          - {name: " + leaf.Name + ", address: \"" + leaf.Address +
           "\", failure_domain: wien, group: " + group + "}\n";
  }
};

} // namespace savorytrestle::testing

#endif
