#include "savorytrestle/core/SettingsTree.h"

namespace savorytrestle::core {

namespace {

using std::chrono::milliseconds;

/// Typed access to the values in force at one node.
class EffectiveNodeSettings {
public:
  EffectiveNodeSettings(const SettingsTree &tree, const SettingsPath &path)
      : Tree(tree), Path(path) {}

  template <typename T> std::optional<T> read(std::string_view key) const {
    const auto *spec = findSetting(key);
    if (!spec)
      return std::nullopt;
    const auto found = Tree.effectiveSetting(Path, *spec);
    if (!found)
      return std::nullopt;
    const auto *value = std::get_if<T>(&found->Value);
    return value ? std::optional(*value) : std::nullopt;
  }

  template <typename T, typename Target>
  void readInto(std::string_view key, Target &target) const {
    if (const auto value = read<T>(key))
      target = static_cast<Target>(*value);
  }

private:
  const SettingsTree &Tree;
  const SettingsPath &Path;
};

bool hasLeaves(const SettingsTree &tree, const SettingsPath &service) {
  const auto *value = tree.find(service, "leaves");
  const auto *leaves =
      value ? std::get_if<std::vector<LeafSettings>>(value) : nullptr;
  return leaves && !leaves->empty();
}

void checkAgainstMaxDeadline(const EffectiveNodeSettings &settings,
                             const SettingsPath &path, const char *key,
                             std::vector<SettingsProblem> &problems) {
  const auto limit = settings.read<milliseconds>("max_deadline");
  const auto value = settings.read<milliseconds>(key);
  if (limit && value && *value > *limit)
    problems.push_back({path.text(), key,
                        formatDuration(*value) +
                            " is over max_deadline, which is " +
                            formatDuration(*limit)});
}

void checkRoute(const SettingsTree &tree, const SettingsPath &path,
                std::vector<SettingsProblem> &problems) {
  const EffectiveNodeSettings settings(tree, path);
  if (!settings.read<std::string>("kind"))
    problems.push_back(
        {path.text(), "kind",
         "must be set by every route; allowed: search or write"});
  if (!hasLeaves(tree, path.parent()))
    problems.push_back({path.parent().text(), "leaves",
                        "a service with routes must have at least one leaf"});
  checkAgainstMaxDeadline(settings, path, "latency_target", problems);
}

std::shared_ptr<const ServiceSettings>
resolveService(const SettingsTree &tree, const SettingsPath &path) {
  const EffectiveNodeSettings settings(tree, path);
  auto service = std::make_shared<ServiceSettings>();
  service->Workspace = path.workspace().lastSegment();
  service->Name = path.lastSegment();
  settings.readInto<std::vector<LeafSettings>>("leaves", service->Leaves);
  settings.readInto<std::int64_t>("leaf_slots", service->LeafSlots);
  settings.readInto<std::int64_t>("leaf_connections", service->LeafConnections);
  settings.readInto<double>("extra_load_fraction", service->ExtraLoadFraction);
  return service;
}

RouteSettings resolveRoute(const SettingsTree &tree, const SettingsPath &path) {
  const EffectiveNodeSettings settings(tree, path);
  RouteSettings route;
  route.Name = path.lastSegment();
  if (settings.read<std::string>("kind") == "write")
    route.Kind = RouteKind::Write;
  if (settings.read<std::string>("policy") == "tail_first")
    route.Policy = AnswerPolicy::TailFirst;
  settings.readInto<milliseconds>("max_deadline", route.MaxDeadline);
  settings.readInto<milliseconds>("latency_target", route.LatencyTarget);
  settings.readInto<double>("coverage_floor", route.CoverageFloor);
  settings.readInto<std::int64_t>("max_body", route.MaxBodyBytes);
  settings.readInto<double>("weight", route.Weight);
  settings.readInto<bool>("canary", route.Canary);
  return route;
}

} // namespace

std::vector<SettingsProblem> SettingsTree::findProblems() const {
  std::vector<SettingsProblem> problems;
  // Callers address a route by workspace and route name, without the service.
  std::map<std::pair<SettingsPath, std::string>, SettingsPath> routes;
  for (const auto &[path, overrides] : Nodes) {
    if (path.level() != SettingsLevel::Route)
      continue;
    checkRoute(*this, path, problems);
    const auto [it, isNew] =
        routes.emplace(std::pair(path.workspace(), path.lastSegment()), path);
    if (!isNew)
      problems.push_back({path.text(), "",
                          "the workspace already has a route of this name at " +
                              it->second.text()});
  }
  return problems;
}

RouteTable buildRouteTable(const SettingsTree &tree, std::uint64_t revision) {
  RouteTable table;
  table.Revision = revision;
  std::map<SettingsPath, std::shared_ptr<const ServiceSettings>> services;
  for (const auto &[path, overrides] : tree.nodes()) {
    const auto workspace = path.workspace().lastSegment();
    if (path.level() == SettingsLevel::Workspace)
      EffectiveNodeSettings(tree, path)
          .readInto<double>("weight", table.WorkspaceWeights[workspace]);
    if (path.level() == SettingsLevel::Service)
      services[path] = resolveService(tree, path);
    if (path.level() != SettingsLevel::Route)
      continue;
    auto route = resolveRoute(tree, path);
    route.Service = services[path.parent()];
    table.Routes[{workspace, route.Name}] = std::move(route);
  }
  return table;
}

} // namespace savorytrestle::core
