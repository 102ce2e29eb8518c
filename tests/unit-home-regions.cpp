#include "savorytrestle/core/placement/HomeRegions.h"

#include <gtest/gtest.h>

#include "leaf/LeafChoice.h"
#include "leaf/LeafDirectory.h"

using namespace savorytrestle;
using namespace std::chrono_literals;
using core::HomeRegions;

namespace {

HomeRegions homesOf(const std::vector<std::string> &route,
                    const std::vector<std::string> &workspace) {
  core::RouteRule rule;
  rule.AllowedRegions = route;
  core::WorkspaceRule holder;
  holder.AllowedRegions = workspace;
  return {rule, &holder};
}

TEST(HomeRegions, RouteAndWorkspaceBothBind) {
  EXPECT_FALSE(homesOf({}, {}).restricted());
  EXPECT_TRUE(homesOf({}, {}).allows(""));
  EXPECT_TRUE(homesOf({"w"}, {}).allows("w"));
  EXPECT_FALSE(homesOf({"w"}, {}).allows("e"));
  EXPECT_FALSE(homesOf({}, {"e"}).allows("w"));
  EXPECT_TRUE(homesOf({"w", "e"}, {"e", "n"}).allows("e"));
  EXPECT_FALSE(homesOf({"w", "e"}, {"e", "n"}).allows("w"));
  EXPECT_FALSE(homesOf({"w", "e"}, {"e", "n"}).allows("n"));
  // Nothing is left: that isn't the same as no restriction.
  EXPECT_FALSE(homesOf({"w"}, {"e"}).allows("w"));
  EXPECT_FALSE(homesOf({"w"}, {}).allows("")) << "a domain without a region";
}

class HomeLeavesTest : public ::testing::Test {
protected:
  static core::LeafEntry entry(const std::string &id,
                               const std::string &domain) {
    core::LeafEntry leaf;
    leaf.Id = id;
    leaf.Service = "s";
    leaf.Address = "127.0.0.1:1";
    leaf.FailureDomain = domain;
    return leaf;
  }

  boost::asio::io_context Io;
  leaf::LeafDirectory Leaves{
      Io, {"a", {{"a", "w"}, {"b", "w"}, {"c", "e"}}}, {0.2, 54, 10s}};
  leaf::Service &Service = Leaves.service("s");
  const HomeRegions East = homesOf({"e"}, {});
};

/// Guards against a hedge or retry that leaves the home regions once all leaves
/// there have been tried, and against leaves elsewhere that count as capacity.
TEST_F(HomeLeavesTest, LeavesElsewhereAreNeverChosen) {
  Leaves.putLeaf(entry("i-a", "a"));
  Leaves.putLeaf(entry("i-unknown", "x"));
  EXPECT_FALSE(leaf::reachable(Service, 0, East));
  EXPECT_EQ(leaf::availableAt(Service, std::chrono::steady_clock::now(), East),
            core::TimePoint::max());
  Leaves.putLeaf(entry("i-c", "c"));
  EXPECT_TRUE(leaf::reachable(Service, 0, East));
  const auto first =
      leaf::chooseLeaf(Service, 10ms, {}, 0, Leaves.random(), East);
  ASSERT_TRUE(first);
  EXPECT_EQ(first->entry().Id, "i-c");
  EXPECT_FALSE(
      leaf::chooseLeaf(Service, 10ms, {first}, 0, Leaves.random(), East));
}

/// Guards against an entry of the same run that names another failure domain.
TEST_F(HomeLeavesTest, ALeafThatChangesItsDomainChangesItsRegion) {
  Leaves.putLeaf(entry("i-1", "c"));
  EXPECT_TRUE(leaf::reachable(Service, 0, East));
  Leaves.putLeaf(entry("i-1", "a"));
  EXPECT_FALSE(leaf::reachable(Service, 0, East));
}

/// Guards against forwards to another region, or to a host of an earlier
/// version that would not keep the request at home.
TEST_F(HomeLeavesTest, ForwardsGoOnlyToHostsAtHomeThatKeepIt) {
  Leaves.setPeers({entry("h-a", "a"), entry("h-c", "c")}, {}, {});
  EXPECT_EQ(Leaves.reachablePeers()->Name, "/hosts/a");
  ASSERT_NE(Leaves.reachablePeers(East), nullptr);
  EXPECT_EQ(Leaves.reachablePeers(East)->Name, "/hosts/c");
  Leaves.setPeers({entry("h-a", "a"), entry("h-c", "c")}, {}, {"h-c"});
  EXPECT_EQ(Leaves.reachablePeers(East), nullptr);
  EXPECT_FALSE(leaf::chooseLeaf(Leaves.peersOf("c"), 10ms, {}, 0,
                                Leaves.random(), East));
}

} // namespace
