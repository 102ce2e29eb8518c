#include "savorytrestle/core/SettingsTree.h"

namespace savorytrestle::core {

namespace {

using std::chrono::milliseconds;

/// Reads typed effective values of one node.
class NodeView {
public:
  NodeView(const SettingsTree &tree, const SettingsPath &path)
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

  template <typename T, typename Field>
  void into(std::string_view key, Field &field) const {
    if (const auto value = read<T>(key))
      field = static_cast<Field>(*value);
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

void checkOrder(const NodeView &view, const SettingsPath &path,
                const char *lesser, std::vector<SettingsProblem> &problems) {
  const auto limit = view.read<milliseconds>("max_deadline");
  const auto value = view.read<milliseconds>(lesser);
  if (limit && value && *value > *limit)
    problems.push_back({path.text(), lesser,
                        formatDuration(*value) + " is over max_deadline, " +
                            formatDuration(*limit)});
}

void checkRoute(const SettingsTree &tree, const SettingsPath &path,
                std::vector<SettingsProblem> &problems) {
  const NodeView view(tree, path);
  if (!view.read<std::string>("kind"))
    problems.push_back(
        {path.text(), "kind", "a route sets it; allowed: search or write"});
  if (!hasLeaves(tree, path.parent()))
    problems.push_back({path.parent().text(), "leaves",
                        "a service with routes needs at least one leaf"});
  checkOrder(view, path, "latency_target", problems);
}

std::shared_ptr<const ServiceSettings>
resolveService(const SettingsTree &tree, const SettingsPath &path) {
  const NodeView view(tree, path);
  auto service = std::make_shared<ServiceSettings>();
  service->Workspace = path.workspace().lastSegment();
  service->Name = path.lastSegment();
  view.into<std::vector<LeafSettings>>("leaves", service->Leaves);
  view.into<std::int64_t>("leaf_slots", service->LeafSlots);
  view.into<std::int64_t>("leaf_connections", service->LeafConnections);
  view.into<double>("extra_load_fraction", service->ExtraLoadFraction);
  return service;
}

RouteSettings resolveRoute(const SettingsTree &tree, const SettingsPath &path) {
  const NodeView view(tree, path);
  RouteSettings route;
  route.Name = path.lastSegment();
  if (view.read<std::string>("kind") == "write")
    route.Kind = RouteKind::Write;
  if (view.read<std::string>("policy") == "tail_first")
    route.Policy = AnswerPolicy::TailFirst;
  view.into<milliseconds>("max_deadline", route.MaxDeadline);
  view.into<milliseconds>("latency_target", route.LatencyTarget);
  view.into<double>("coverage_floor", route.CoverageFloor);
  view.into<std::int64_t>("max_body", route.MaxBodyBytes);
  view.into<double>("weight", route.Weight);
  view.into<bool>("canary", route.Canary);
  return route;
}

} // namespace

std::vector<SettingsProblem> SettingsTree::findProblems() const {
  std::vector<SettingsProblem> problems;
  // Callers name a route by workspace and route alone.
  std::map<std::pair<SettingsPath, std::string>, SettingsPath> routes;
  for (const auto &[path, overrides] : Nodes) {
    if (path.level() != SettingsLevel::Route)
      continue;
    checkRoute(*this, path, problems);
    const auto [it, isNew] =
        routes.emplace(std::pair(path.workspace(), path.lastSegment()), path);
    if (!isNew)
      problems.push_back(
          {path.text(), "",
           "the workspace has a route of this name at " + it->second.text()});
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
      NodeView(tree, path)
          .into<double>("weight", table.WorkspaceWeights[workspace]);
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
