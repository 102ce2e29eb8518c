#include "operators/SettingsReplica.h"
#include "savorytrestle/core/SettingsYaml.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace savorytrestle;
using namespace savorytrestle::core;
using namespace std::chrono_literals;
using operators::BlobOutcome;
using testing::HasSubstr;

namespace {

const std::string ExampleYaml = R"(max_deadline: 5 s
workspaces:
  aufsicht:
    coverage_floor: 0.8
    weight: 2
    services:
      portal:
        leaf_slots: 4
        leaf_range: {groups: 2, replicas: 3, address: 127.0.0.1,
                     first_port: 9101, failure_domains: [wien, graz]}
        routes:
          suche: {kind: search, latency_target: 90 ms}
          melden: {kind: write}
)";

SettingsTree exampleTree() {
  return parseSettingsYaml(ExampleYaml, "t.yaml").value();
}

SettingsPath path(const std::string &text) {
  return SettingsPath::parse(text).value();
}

std::string yamlError(const std::string &text) {
  const auto parsed = parseSettingsYaml(text, "t.yaml");
  return parsed ? "" : parsed.error().Message;
}

TEST(SettingsPath, HasUpToThreeValidNames) {
  EXPECT_EQ(path("/a/b/c").level(), SettingsLevel::Route);
  EXPECT_EQ(path("/a/b/c").workspace().text(), "/a");
  for (const auto *bad : {"", "a", "/a/", "//a", "/a/b/c/d", "/A", "/-a"})
    EXPECT_FALSE(SettingsPath::parse(bad)) << bad;
}

TEST(SettingsPath, NamePrefixIsNotAnAncestor) {
  EXPECT_TRUE(path("/a/b").isWithin(path("/a")));
  EXPECT_FALSE(path("/ab").isWithin(path("/a")));
}

TEST(SettingsTree, NearestOverrideIsInForce) {
  const auto table = buildRouteTable(exampleTree(), 3);
  const auto &route = table.Routes.at({"aufsicht", "suche"});
  EXPECT_EQ(table.Revision, 3U);
  EXPECT_EQ(route.MaxDeadline, 5s);
  EXPECT_EQ(route.LatencyTarget, 90ms);
  EXPECT_EQ(route.CoverageFloor, 0.8);
  EXPECT_EQ(route.MaxBodyBytes, 65536U);
  EXPECT_EQ(route.Service->LeafSlots, 4U);
  EXPECT_EQ(table.WorkspaceWeights.at("aufsicht"), 2.0);
  EXPECT_EQ(table.Routes.at({"aufsicht", "melden"}).Kind, RouteKind::Write);
}

TEST(SettingsTree, LeafRangeSpreadsReplicasOverFailureDomains) {
  const auto table = buildRouteTable(exampleTree(), 1);
  const auto &leaves = table.Routes.at({"aufsicht", "suche"}).Service->Leaves;
  ASSERT_EQ(leaves.size(), 6U);
  EXPECT_EQ(leaves[3].Address, "127.0.0.1:9104");
  EXPECT_EQ(leaves[3].Group, "g1");
  EXPECT_NE(leaves[0].FailureDomain, leaves[1].FailureDomain);
}

TEST(SettingsTree, EffectiveSettingNamesItsSource) {
  const auto at = path("/aufsicht/portal/suche");
  const auto sourceOf = [&](std::string_view key) {
    return exampleTree().effectiveSetting(at, *findSetting(key))->Source;
  };
  EXPECT_EQ(sourceOf("max_deadline"), path("/"));
  EXPECT_EQ(sourceOf("coverage_floor"), path("/aufsicht"));
  EXPECT_EQ(sourceOf("extra_load_fraction"), std::nullopt);
  EXPECT_GT(exampleTree().effectiveSettings(at).size(), 10U);
}

TEST(SettingsTree, RoundTripsThroughJson) {
  EXPECT_EQ(SettingsTree::fromJson(exampleTree().toJson()).value(),
            exampleTree());
}

TEST(SettingsYaml, ErrorNamesFileLinePathAndKey) {
  EXPECT_THAT(yamlError("policy: tail\n"), HasSubstr("t.yaml:1: / policy: "));
  EXPECT_THAT(yamlError("\nslots: 3\n"),
              HasSubstr("t.yaml:2: / slots: unknown"));
  EXPECT_THAT(yamlError("kind: search\n"), HasSubstr("at level root"));
  EXPECT_THAT(yamlError("a: [\n"), HasSubstr("t.yaml:"));
  EXPECT_THAT(yamlError("canary: true\ncanary: false\n"),
              HasSubstr("duplicate key"));
  EXPECT_THAT(yamlError("just text"), HasSubstr("mapping"));
}

TEST(SettingsYaml, ValidatesKeysAgainstEachOther) {
  EXPECT_THAT(yamlError(ExampleYaml + "latency_target: 6 s\n"),
              HasSubstr("/aufsicht/portal/melden latency_target: 6 s is over"));
  EXPECT_THAT(yamlError("workspaces: {a: {services: {b: {routes: "
                        "{c: {kind: search}}}}}}"),
              HasSubstr("/a/b leaves: "));
  EXPECT_THAT(yamlError("workspaces: {a: {services: {b: {routes: {c: {}}}}}}"),
              HasSubstr("/a/b/c kind: "));
}

TEST(SettingsYaml, RouteNameMustBeUniqueInItsWorkspace) {
  const std::string service = "leaf_range: {groups: 1, address: 10.0.0.1, "
                              "first_port: 1, failure_domains: [x]}, "
                              "routes: {r: {kind: search}}";
  EXPECT_THAT(yamlError("workspaces: {w: {services: {a: {" + service +
                        "}, b: {" + service + "}}}}"),
              HasSubstr("route of this name at /w/a/r"));
}

TEST(SettingsReplica, IgnoresOlderAndEqualRevisions) {
  operators::SettingsReplica replica;
  std::vector<std::uint64_t> seen;
  replica.observe([&](const auto &now) { seen.push_back(now->Blob.Revision); });
  EXPECT_EQ(replica.applyBlob(operators::toBlob(exampleTree(), 5)),
            BlobOutcome::Applied);
  EXPECT_EQ(replica.applyBlob(operators::toBlob(SettingsTree(), 4)),
            BlobOutcome::Stale);
  EXPECT_EQ(replica.applyBlob(operators::toBlob(SettingsTree(), 5)),
            BlobOutcome::Stale);
  EXPECT_EQ(replica.routes()->Routes.size(), 2U);
  EXPECT_EQ(seen, std::vector<std::uint64_t>{5});
}

TEST(SettingsReplica, RejectsABlobWithChangedPayloadOrRevision) {
  operators::SettingsReplica replica;
  auto damaged = operators::toBlob(exampleTree(), 5);
  damaged.Payload[10] ^= 1;
  EXPECT_EQ(replica.applyBlob(damaged), BlobOutcome::Damaged);
  auto renumbered = operators::toBlob(exampleTree(), 5);
  renumbered.Revision = 6;
  EXPECT_EQ(replica.applyBlob(renumbered), BlobOutcome::Unusable);
  EXPECT_EQ(replica.current(), nullptr);
}

} // namespace
