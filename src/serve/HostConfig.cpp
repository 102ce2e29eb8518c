#include "serve/HostConfig.h"

#include "support/YamlFile.h"

namespace savorytrestle::serve {

using std::chrono::milliseconds;
using std::chrono::minutes;

namespace {

HostConfig readHostConfig(support::YamlMap root) {
  HostConfig config;
  auto host = root.map("host");
  config.Id = host.requiredText("id");
  config.FailureDomain = host.requiredText("failure_domain");
  config.Region = host.requiredText("region");
  host.reportUnknownKeys();
  auto listen = root.map("listen");
  config.CallerAddress = listen.address("callers", "");
  config.OperatorAddress = listen.address("operators", "");
  config.PeerAddress = listen.address("peers", "");
  listen.reportUnknownKeys();
  auto platform = root.map("platform");
  config.StoreAddress = platform.address("store", "");
  config.HostListAddress = platform.optionalAddress("host_list");
  platform.reportUnknownKeys();
  auto limits = root.map("limits");
  config.CallerThreads =
      static_cast<unsigned>(limits.integer("caller_threads", 64, 1, 4096));
  config.FanOutQueueSize = static_cast<std::size_t>(
      limits.integer("fan_out_ring", 1024, 1, 1 << 20));
  config.MaxSearches =
      static_cast<unsigned>(limits.integer("max_searches", 64, 1, 4096));
  config.DrainTime = limits.duration("drain_time", config.DrainTime,
                                     milliseconds(0), minutes(5));
  limits.reportUnknownKeys();
  auto slots = root.map("host_slots");
  config.MaxHosts = static_cast<unsigned>(slots.integer("hosts", 7, 1, 2000));
  config.SpareHosts = static_cast<unsigned>(slots.integer("spare", 1, 0, 200));
  slots.reportUnknownKeys();
  auto operators = root.map("operators");
  config.RootTokenHash = operators.text("root_token_hash", "");
  operators.reportUnknownKeys();
  config.SeedAddresses = root.addresses("seed_peers");
  const auto policy = root.oneOf("search_policy", {"tail_aware", "baseline"});
  config.Policy = policy == "baseline" ? SearchPolicyKind::Baseline
                                       : SearchPolicyKind::TailAware;
  root.reportUnknownKeys();
  return config;
}

} // namespace

core::Result<HostConfig> parseHostConfig(const std::string &text,
                                         const std::string &file) {
  return support::parseYaml(text, file, readHostConfig);
}

core::Result<HostConfig> loadHostConfig(const std::string &path) {
  const auto text = support::readFile(path);
  if (!text)
    return tl::unexpected(text.error());
  return parseHostConfig(*text, path);
}

} // namespace savorytrestle::serve
