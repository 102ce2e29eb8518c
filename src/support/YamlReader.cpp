#include "support/YamlReader.h"

#include <algorithm>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <arpa/inet.h>

namespace savorytrestle::support {

using std::chrono::milliseconds;

namespace {

constexpr int HighestPort = 65535;

std::string quotedValue(const YAML::Node &node) {
  return node.IsScalar() ? "'" + node.Scalar() + "'" : "this value";
}

} // namespace

std::optional<milliseconds> parseDuration(const std::string &text) {
  using Count = std::chrono::duration<double, std::milli>;
  const auto end = text.find_first_not_of("0123456789.");
  double count = 0;
  if (end == std::string::npos || end == 0 ||
      !absl::SimpleAtod(text.substr(0, end), &count))
    return std::nullopt;
  const std::string rest = text.substr(end);
  const auto unit = absl::StripAsciiWhitespace(rest);
  if (unit == "ms")
    return std::chrono::round<milliseconds>(Count(count));
  if (unit == "s")
    return std::chrono::round<milliseconds>(Count(count * 1000));
  if (unit == "min")
    return std::chrono::round<milliseconds>(Count(count * 60000));
  return std::nullopt;
}

bool isAddress(const std::string &text) {
  const auto colon = text.rfind(':');
  int port = 0;
  if (colon == std::string::npos ||
      !absl::SimpleAtoi(text.substr(colon + 1), &port) || port < 0 ||
      port > HighestPort)
    return false;
  std::string host = text.substr(0, colon);
  unsigned char buf[sizeof(in6_addr)];
  if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), buf) ==
           1;
  return inet_pton(AF_INET, host.c_str(), buf) == 1;
}

YamlMap::YamlMap(const YAML::Node &node, std::string path, YamlErrors &errors)
    : Node(node), Path(std::move(path)), Errors(errors) {
  if (!Node.IsMap() && !Node.IsNull())
    addError(Node, "", "a mapping of keys to values");
}

YAML::Node YamlMap::find(const std::string &key) {
  KnownKeys.push_back(key);
  // operator[] on a mutable node would create the key.
  const YAML::Node &view = Node;
  if (!view.IsMap())
    return YAML::Node(YAML::NodeType::Undefined);
  return view[key];
}

void YamlMap::addError(const YAML::Node &node, const std::string &key,
                       const std::string &allowed) {
  const int line = node.IsDefined() ? node.Mark().line : Node.Mark().line;
  std::string path = Path;
  if (!key.empty())
    path += (path.empty() ? "" : ".") + key;
  const std::string what =
      node.IsDefined() ? quotedValue(node) + " is not allowed" : "is missing";
  Errors.Messages.push_back(Errors.File + ":" + std::to_string(line + 1) +
                            ": " + path + ": " + what + "; expected " +
                            allowed);
}

std::string YamlMap::text(const std::string &key, const std::string &fallback) {
  const auto node = find(key);
  if (!node.IsDefined())
    return fallback;
  if (!node.IsScalar()) {
    addError(node, key, "text");
    return fallback;
  }
  return node.Scalar();
}

std::string YamlMap::requiredText(const std::string &key) {
  const auto node = find(key);
  if (!node.IsDefined() || !node.IsScalar() || node.Scalar().empty()) {
    addError(node, key, "text");
    return {};
  }
  return node.Scalar();
}

std::string YamlMap::address(const std::string &key,
                             const std::string &fallback) {
  const auto node = find(key);
  if (!node.IsDefined() && !fallback.empty())
    return fallback;
  if (!node.IsDefined() || !node.IsScalar() || !isAddress(node.Scalar())) {
    addError(node, key, "an address such as 127.0.0.1:8080");
    return fallback;
  }
  return node.Scalar();
}

std::string YamlMap::optionalAddress(const std::string &key) {
  const YAML::Node &view = Node;
  if (view.IsMap() && view[key].IsDefined())
    return address(key, "");
  KnownKeys.push_back(key);
  return {};
}

std::vector<std::string> YamlMap::addresses(const std::string &key) {
  const auto node = find(key);
  std::vector<std::string> list;
  if (!node.IsDefined())
    return list;
  if (!node.IsSequence()) {
    addError(node, key, "a list of addresses");
    return list;
  }
  for (const auto &item : node) {
    if (item.IsScalar() && isAddress(item.Scalar()))
      list.push_back(item.Scalar());
    else
      addError(item, key, "addresses such as 127.0.0.1:8080");
  }
  return list;
}

std::int64_t YamlMap::integer(const std::string &key, std::int64_t fallback,
                              std::int64_t min, std::int64_t max) {
  const auto node = find(key);
  if (!node.IsDefined())
    return fallback;
  std::int64_t value = 0;
  if (!node.IsScalar() || !absl::SimpleAtoi(node.Scalar(), &value) ||
      value < min || value > max) {
    addError(node, key,
             "a whole number from " + std::to_string(min) + " to " +
                 std::to_string(max));
    return fallback;
  }
  return value;
}

double YamlMap::decimal(const std::string &key, double fallback, double min,
                        double max) {
  const auto node = find(key);
  if (!node.IsDefined())
    return fallback;
  double value = 0;
  if (!node.IsScalar() || !absl::SimpleAtod(node.Scalar(), &value) ||
      !(value >= min && value <= max)) {
    addError(node, key,
             "a number from " + absl::StrCat(min) + " to " + absl::StrCat(max));
    return fallback;
  }
  return value;
}

std::map<std::string, std::string> YamlMap::stringMap(const std::string &key) {
  const auto node = find(key);
  std::map<std::string, std::string> entries;
  if (!node.IsDefined())
    return entries;
  if (!node.IsMap()) {
    addError(node, key, "a mapping of strings to strings");
    return entries;
  }
  for (const auto &item : node) {
    if (item.second.IsScalar())
      entries.emplace(item.first.Scalar(), item.second.Scalar());
    else
      addError(item.second, key, "a string");
  }
  return entries;
}

milliseconds YamlMap::duration(const std::string &key, milliseconds fallback,
                               milliseconds min, milliseconds max) {
  const auto node = find(key);
  if (!node.IsDefined())
    return fallback;
  const auto value = node.IsScalar() ? parseDuration(node.Scalar())
                                     : std::optional<milliseconds>();
  if (!value || *value < min || *value > max) {
    addError(node, key,
             "a duration from " + std::to_string(min.count()) + " ms to " +
                 std::to_string(max.count()) +
                 " ms, such as '250 ms' or '2 s'");
    return fallback;
  }
  return *value;
}

std::string YamlMap::oneOf(const std::string &key,
                           const std::vector<std::string> &allowed) {
  const auto node = find(key);
  if (!node.IsDefined())
    return allowed.front();
  if (!node.IsScalar() || std::find(allowed.begin(), allowed.end(),
                                    node.Scalar()) == allowed.end()) {
    addError(node, key, "one of " + absl::StrJoin(allowed, ", "));
    return allowed.front();
  }
  return node.Scalar();
}

YamlMap YamlMap::map(const std::string &key) {
  const auto node = find(key);
  const std::string path = Path.empty() ? key : Path + "." + key;
  if (!node.IsDefined())
    return {YAML::Node(YAML::NodeType::Null), path, Errors};
  return {node, path, Errors};
}

void YamlMap::reportUnknownKeys() {
  if (!Node.IsMap())
    return;
  for (const auto &item : Node) {
    const std::string key = item.first.Scalar();
    if (std::find(KnownKeys.begin(), KnownKeys.end(), key) == KnownKeys.end())
      Errors.Messages.push_back(
          Errors.File + ":" + std::to_string(item.first.Mark().line + 1) +
          ": " + (Path.empty() ? key : Path + "." + key) +
          ": unknown key; expected one of " + absl::StrJoin(KnownKeys, ", "));
  }
}

} // namespace savorytrestle::support
