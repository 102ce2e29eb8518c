#include "serve/PlatformHostConfig.h"

#include "support/YamlFile.h"

namespace savorytrestle::serve {

using std::chrono::milliseconds;
using std::chrono::minutes;

namespace {

PlatformHostConfig readPlatformHostConfig(support::YamlMap root) {
  PlatformHostConfig config;
  auto host = root.map("host");
  config.Id = host.requiredText("id");
  config.FailureDomain = host.requiredText("failure_domain");
  host.reportUnknownKeys();
  config.Regions = root.stringMap("regions");
  auto listen = root.map("listen");
  config.CallerAddress = listen.address("callers", "");
  config.ReadinessAddress = listen.address("readiness", "");
  config.PeerAddress = listen.optionalAddress("peers");
  config.MetricsAddress = listen.optionalAddress("metrics");
  listen.reportUnknownKeys();
  auto platform = root.map("platform");
  config.StoreAddress = platform.address("store", "");
  platform.reportUnknownKeys();
  config.SeedAddresses = root.addresses("seeds");
  config.FleetStarts = root.oneOf("start", {"host", "fleet"}) == "fleet";
  config.AdmitsByLoad = root.oneOf("admission", {"off", "load"}) == "load";
  auto bounds = root.map("bounds");
  config.StopGrace = bounds.duration("stop_grace", config.StopGrace,
                                     milliseconds(100), minutes(10));
  config.ConfigApplyTime = bounds.duration(
      "config_apply", config.ConfigApplyTime, milliseconds(500), minutes(10));
  config.StabilityTime = bounds.duration("stability", config.StabilityTime,
                                         milliseconds(500), minutes(10));
  config.RetryRatio = bounds.decimal("retry_ratio", config.RetryRatio, 0, 10);
  config.RetryExtraPerWindow =
      bounds.decimal("retry_extra", config.RetryExtraPerWindow, 0, 1e6);
  config.RetryWindow = bounds.duration("retry_window", config.RetryWindow,
                                       milliseconds(100), minutes(60));
  config.Quotas.Window = bounds.duration("quota_window", config.Quotas.Window,
                                         milliseconds(1000), minutes(10));
  config.Quotas.Overage =
      bounds.decimal("quota_overage", config.Quotas.Overage, 0, 10);
  config.Quotas.Slack =
      bounds.decimal("quota_slack", config.Quotas.Slack, 0, 1e6);
  config.EvacuationTime = bounds.duration("evacuation", config.EvacuationTime,
                                          milliseconds(500), minutes(10));
  config.Cold.Overage =
      bounds.decimal("warmup_overage", config.Cold.Overage, 0, 100);
  config.Cold.Slack = bounds.decimal("warmup_slack", config.Cold.Slack, 0, 1e6);
  config.Answers.MaxAnswer = static_cast<std::size_t>(bounds.integer(
      "answer_bytes", static_cast<std::int64_t>(config.Answers.MaxAnswer),
      16 << 10, 256 << 20));
  config.Answers.MaxUnfinished = static_cast<std::size_t>(
      bounds.integer("unfinished_answers_bytes",
                     static_cast<std::int64_t>(config.Answers.MaxUnfinished),
                     16 << 10, std::int64_t{4} << 30));
  bounds.reportUnknownKeys();
  root.reportUnknownKeys();
  return config;
}

} // namespace

core::Result<PlatformHostConfig>
parsePlatformHostConfig(const std::string &text, const std::string &file) {
  return support::parseYaml(text, file, readPlatformHostConfig);
}

core::Result<PlatformHostConfig>
loadPlatformHostConfig(const std::string &path) {
  const auto text = support::readFile(path);
  if (!text)
    return tl::unexpected(text.error());
  return parsePlatformHostConfig(*text, path);
}

} // namespace savorytrestle::serve
