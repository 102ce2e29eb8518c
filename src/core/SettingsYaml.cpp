#include "savorytrestle/core/SettingsYaml.h"

#include <array>
#include <set>

#include <yaml-cpp/yaml.h>

namespace savorytrestle::core {

namespace {

using nlohmann::json;

constexpr std::size_t MaxReportedProblems = 20;
constexpr int MaxLeaves = 10000;
constexpr int MaxNestingDepth = 16;

/// Key that holds the children of a node of the level.
std::string_view childrenKey(SettingsLevel level) {
  constexpr std::array<std::string_view, 4> Keys = {"workspaces", "services",
                                                    "routes", ""};
  return Keys.at(static_cast<std::size_t>(level));
}

json toJson(const YAML::Node &node, int depth = 0) {
  if (depth > MaxNestingDepth)
    return nullptr;
  if (node.IsScalar())
    return node.Scalar();
  json value;
  if (node.IsSequence()) {
    value = json::array();
    for (const auto &item : node)
      value.push_back(toJson(item, depth + 1));
  }
  if (node.IsMap()) {
    value = json::object();
    for (const auto &item : node)
      value[item.first.Scalar()] = toJson(item.second, depth + 1);
  }
  return value;
}

/// Shorthand for a list of similar leaves; it is expanded into the list.
struct LeafRange {
  int Groups = 0;
  int Replicas = 1;
  int FirstPort = 0;
  std::string Address;
  std::vector<std::string> FailureDomains;
};

class SettingsYamlReader {
public:
  explicit SettingsYamlReader(std::string file) : File(std::move(file)) {}

  Result<SettingsTree> read(const YAML::Node &document) {
    readNode(SettingsPath(), document);
    if (Problems.empty())
      for (const auto &problem : Tree.findProblems())
        addProblem(lineOfProblem(problem), problem.Path, problem.Key,
                   problem.Reason);
    if (Problems.empty())
      return std::move(Tree);
    return makeError(ErrorCode::InvalidSettings, problemText());
  }

private:
  void addProblem(int line, const std::string &path, const std::string &key,
                  const std::string &reason) {
    Problems.push_back(File + ":" + std::to_string(line) + ": " + path +
                       (key.empty() ? "" : " " + key) + ": " + reason);
  }

  std::string problemText() const {
    std::string text;
    for (std::size_t n = 0; n < std::min(Problems.size(), MaxReportedProblems);
         ++n)
      text += (n ? "\n" : "") + Problems[n];
    if (Problems.size() > MaxReportedProblems)
      text += "\n... and " +
              std::to_string(Problems.size() - MaxReportedProblems) + " more";
    return text;
  }

  static int lineNumber(const YAML::Node &node) { return node.Mark().line + 1; }

  int lineOfProblem(const SettingsProblem &problem) const {
    if (const auto it = LineNumbers.find({problem.Path, problem.Key});
        it != LineNumbers.end())
      return it->second;
    const auto it = LineNumbers.find({problem.Path, ""});
    return it == LineNumbers.end() ? 1 : it->second;
  }

  void readNode(const SettingsPath &path, const YAML::Node &node) {
    if (node.IsNull())
      return;
    if (!node.IsMap()) {
      addProblem(lineNumber(node), path.text(), "",
                 "a node must be a mapping of keys to values");
      return;
    }
    LineNumbers[{path.text(), ""}] = lineNumber(node);
    std::set<std::string> seenKeys;
    for (const auto &item : node) {
      const auto key = item.first.Scalar();
      if (!seenKeys.insert(key).second)
        addProblem(lineNumber(item.first), path.text(), key, "duplicate key");
      else if (!key.empty() && key == childrenKey(path.level()))
        readChildren(path, item.second);
      else
        readKey(path, item.first, item.second);
    }
  }

  void readChildren(const SettingsPath &parent, const YAML::Node &children) {
    if (!children.IsMap()) {
      addProblem(lineNumber(children), parent.text(),
                 std::string(childrenKey(parent.level())),
                 "must be a mapping of names to nodes");
      return;
    }
    for (const auto &child : children) {
      const std::string prefix =
          parent.level() == SettingsLevel::Root ? "" : parent.text();
      const auto path =
          SettingsPath::parse(prefix + "/" + child.first.Scalar());
      if (!path) {
        addProblem(lineNumber(child.first), parent.text(), child.first.Scalar(),
                   path.error().Message);
        continue;
      }
      if (LineNumbers.count({path->text(), ""}))
        addProblem(lineNumber(child.first), path->text(), "", "duplicate node");
      LineNumbers[{path->text(), ""}] = lineNumber(child.first);
      (void)Tree.addNode(*path);
      readNode(*path, child.second);
    }
  }

  void readKey(const SettingsPath &path, const YAML::Node &keyNode,
               const YAML::Node &valueNode) {
    std::string key = keyNode.Scalar();
    const int line = lineNumber(keyNode);
    json value;
    if (key == "leaf_range" && path.level() == SettingsLevel::Service) {
      const auto leaves = expandLeafRange(readLeafRange(path, valueNode));
      if (!leaves) {
        addProblem(line, path.text(), key, leaves.error().Message);
        return;
      }
      key = "leaves";
      value = *leaves;
    } else {
      value = toJson(valueNode);
    }
    LineNumbers[{path.text(), key}] = line;
    if (Tree.find(path, key)) {
      addProblem(line, path.text(), key,
                 "leaves and leaf_range cannot be used together");
      return;
    }
    auto parsed = parseOverride(path, key, value);
    if (!parsed) {
      Problems.push_back(File + ":" + std::to_string(line) + ": " +
                         parsed.error().Message);
      return;
    }
    (void)Tree.set(path, key, std::move(*parsed));
  }

  LeafRange readLeafRange(const SettingsPath &path, const YAML::Node &node) {
    LeafRange range;
    if (!node.IsMap())
      return range;
    for (const auto &item : node) {
      const auto key = item.first.Scalar();
      if (key == "groups")
        range.Groups = item.second.as<int>();
      else if (key == "replicas")
        range.Replicas = item.second.as<int>();
      else if (key == "first_port")
        range.FirstPort = item.second.as<int>();
      else if (key == "address")
        range.Address = item.second.as<std::string>();
      else if (key == "failure_domains")
        range.FailureDomains = item.second.as<std::vector<std::string>>();
      else
        addProblem(lineNumber(item.first), path.text(), "leaf_range",
                   "unknown key '" + key +
                       "'; allowed: groups, replicas, address, first_port, "
                       "failure_domains");
    }
    return range;
  }

  static Result<json> expandLeafRange(const LeafRange &range) {
    if (range.Groups < 1 || range.Replicas < 1 || range.FirstPort < 1 ||
        range.Address.empty() || range.FailureDomains.empty() ||
        range.Groups > MaxLeaves / range.Replicas)
      return makeError(ErrorCode::InvalidSettings,
                       "must set groups, address, first_port and "
                       "failure_domains (replicas is optional), for 1 to " +
                           std::to_string(MaxLeaves) + " leaves");
    json leaves = json::array();
    // Replicas of a group get different failure domains if there are enough.
    // The domain of the first replica advances with each group, so that groups
    // of one leaf are spread over the domains as well.
    for (int group = 0; group < range.Groups; ++group)
      for (int replica = 0; replica < range.Replicas; ++replica)
        leaves.push_back(makeLeaf(range, group, replica));
    return leaves;
  }

  static json makeLeaf(const LeafRange &range, int group, int replica) {
    const std::string groupName = "g" + std::to_string(group);
    const int n = group * range.Replicas + replica;
    const auto domain =
        static_cast<std::size_t>(group + replica) % range.FailureDomains.size();
    return {
        {"name", groupName + "r" + std::to_string(replica)},
        {"address", range.Address + ":" + std::to_string(range.FirstPort + n)},
        {"failure_domain", range.FailureDomains[domain]},
        {"group", groupName}};
  }

  std::string File;
  SettingsTree Tree;
  std::vector<std::string> Problems;
  /// Line of each node and key by path and key; the key is empty for a node.
  std::map<std::pair<std::string, std::string>, int> LineNumbers;
};

} // namespace

Result<SettingsTree> parseSettingsYaml(const std::string &text,
                                       const std::string &file) {
  // yaml-cpp throws on syntax errors and failed conversions.
  try {
    return SettingsYamlReader(file).read(YAML::Load(text));
  } catch (const YAML::Exception &ex) {
    return makeError(ErrorCode::InvalidSettings,
                     file + ":" + std::to_string(ex.mark.line + 1) + ": " +
                         ex.msg);
  }
}

} // namespace savorytrestle::core
