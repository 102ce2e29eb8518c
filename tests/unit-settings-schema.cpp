#include "savorytrestle/core/SettingsYaml.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace savorytrestle::core;
using namespace std::chrono_literals;
using testing::HasSubstr;

namespace {

Result<SettingValue> parse(const std::string &key, const std::string &text) {
  return parseSetting(*findSetting(key), text);
}

TEST(SettingsSchema, EveryDefaultIsAnAllowedValue) {
  for (const auto &spec : settingsSchema())
    if (!spec.Default.empty()) {
      EXPECT_TRUE(parseSetting(spec, std::string(spec.Default))) << spec.Key;
    }
}

TEST(SettingsSchema, DurationsRequireAUnitAndRoundTrip) {
  EXPECT_EQ(std::get<std::chrono::milliseconds>(
                parse("max_deadline", "250 ms").value()),
            250ms);
  EXPECT_EQ(parseDuration("2s").value(), 2s);
  EXPECT_EQ(formatDuration(90s), "90 s");
  EXPECT_EQ(formatDuration(24h), "24 h");
  EXPECT_FALSE(parse("max_deadline", "250"));
  EXPECT_FALSE(parse("max_deadline", "-1 s"));
  EXPECT_FALSE(parse("max_deadline", "9999999999999999 h"));
}

TEST(SettingsSchema, ErrorNamesTheValueAndTheAllowedRange) {
  const auto text = parse("coverage_floor", "1.5").error().Message;
  EXPECT_THAT(text, HasSubstr("1.5"));
  EXPECT_THAT(text, HasSubstr("from 0 to 1"));
  EXPECT_FALSE(parse("coverage_floor", "nan"));
  EXPECT_FALSE(parse("leaf_slots", "5x"));
  EXPECT_FALSE(parse("policy", "tail"));
  EXPECT_FALSE(parse("policy", ""));
  EXPECT_FALSE(parse("policy", "coverage_first|tail_first"));
}

TEST(SettingsSchema, EachLeafIsValidated) {
  const auto leaves = [](const std::string &items) {
    return parse("leaves", "[" + items + "]");
  };
  const std::string a =
      R"({"name":"a","address":"10.0.0.1:80","failure_domain":"wien"})";
  EXPECT_TRUE(leaves(a));
  EXPECT_THAT(leaves(a + "," + a).error().Message, HasSubstr("duplicate"));
  EXPECT_FALSE(leaves(R"({"name":"a","address":"10.0.0.1:80"})"));
  EXPECT_FALSE(
      leaves(R"({"name":"a","address":"host:80","failure_domain":"wien"})"));
  EXPECT_FALSE(leaves(
      R"({"name":"a","address":"10.0.0.1:80","failure_domain":"w","x":1})"));
  EXPECT_FALSE(parse("leaves", "{"));
}

TEST(SettingsSchema, ValuesRoundTripThroughJson) {
  for (const auto &[key, text] :
       {std::pair<std::string, std::string>{"canary", "true"},
        {"leaf_slots", "7"},
        {"coverage_floor", "0.25"},
        {"latency_target", "97 ms"},
        {"policy", "tail_first"}}) {
    const auto value = parse(key, text).value();
    EXPECT_EQ(parseSetting(*findSetting(key), toJson(value)).value(), value);
  }
}

} // namespace
