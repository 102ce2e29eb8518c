#include "serve/NodeConfig.h"

#include "support/YamlFile.h"

namespace savorytrestle::serve {

using std::chrono::milliseconds;
using std::chrono::minutes;

namespace {

NodeConfig readNode(support::YamlMap root) {
  NodeConfig config;
  auto host = root.map("host");
  config.Id = host.requiredText("id");
  config.FailureDomain = host.requiredText("failure_domain");
  host.refuseOthers();
  config.Regions = root.texts("regions");
  auto listen = root.map("listen");
  config.Callers = listen.address("callers", "");
  config.Readiness = listen.address("readiness", "");
  config.Peers = listen.optionalAddress("peers");
  config.Metrics = listen.optionalAddress("metrics");
  listen.refuseOthers();
  auto platform = root.map("platform");
  config.Store = platform.address("store", "");
  platform.refuseOthers();
  config.Seeds = root.addresses("seeds");
  auto bounds = root.map("bounds");
  config.StopGrace = bounds.duration("stop_grace", config.StopGrace,
                                     milliseconds(100), minutes(10));
  config.ConfigApply = bounds.duration("config_apply", config.ConfigApply,
                                       milliseconds(500), minutes(10));
  config.RetryRatio = bounds.fraction("retry_ratio", config.RetryRatio, 0, 10);
  config.RetryExtra = bounds.fraction("retry_extra", config.RetryExtra, 0, 1e6);
  config.RetryWindow = bounds.duration("retry_window", config.RetryWindow,
                                       milliseconds(100), minutes(60));
  bounds.refuseOthers();
  root.refuseOthers();
  return config;
}

} // namespace

core::Result<NodeConfig> parseNodeConfig(const std::string &text,
                                         const std::string &file) {
  return support::parseYaml(text, file, readNode);
}

core::Result<NodeConfig> loadNodeConfig(const std::string &path) {
  const auto text = support::readFile(path);
  if (!text)
    return tl::unexpected(text.error());
  return parseNodeConfig(*text, path);
}

} // namespace savorytrestle::serve
