#include "serve/HostConfig.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using savorytrestle::serve::parseHostConfig;
using testing::HasSubstr;

namespace {

constexpr const char *ValidYaml =
    R"(host: {id: a, failure_domain: wien, region: at}
listen:
  callers: 127.0.0.1:1
  operators: 127.0.0.1:2
  peers: 127.0.0.1:3
platform: {store: "127.0.0.1:4"}
)";

TEST(HostConfig, ReadsAValidFile) {
  const auto config = parseHostConfig(ValidYaml, "h.yaml");
  ASSERT_TRUE(config) << config.error().Message;
  EXPECT_EQ(config->FailureDomain, "wien");
  EXPECT_EQ(config->MaxHosts, 7U);
}

TEST(HostConfig, ReportsAnUnknownKeyWithItsLine) {
  const auto config =
      parseHostConfig(std::string(ValidYaml) + "colour: red\n", "h.yaml");
  ASSERT_FALSE(config);
  EXPECT_THAT(config.error().Message, HasSubstr("h.yaml:7: colour: unknown"));
}

TEST(HostConfig, ReportsTheAllowedRange) {
  const auto config = parseHostConfig(
      std::string(ValidYaml) + "limits: {drain_time: 9 h}\n", "h.yaml");
  ASSERT_FALSE(config);
  EXPECT_THAT(config.error().Message, HasSubstr("'9 h' is not allowed"));
  EXPECT_THAT(config.error().Message, HasSubstr("300000 ms"));
}

TEST(HostConfig, ReportsEveryMissingKey) {
  const auto config = parseHostConfig("host: {id: a}\n", "h.yaml");
  ASSERT_FALSE(config);
  EXPECT_THAT(config.error().Message, HasSubstr("failure_domain: is missing"));
  EXPECT_THAT(config.error().Message, HasSubstr("listen.callers: is missing"));
}

TEST(HostConfig, ReportsMalformedYaml) {
  EXPECT_FALSE(parseHostConfig("host: [", "h.yaml"));
}

} // namespace
