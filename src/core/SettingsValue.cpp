#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <set>

#include "savorytrestle/core/SettingsSchema.h"

namespace savorytrestle::core {

namespace {

using std::chrono::milliseconds;

struct TimeUnit {
  std::string_view Suffix;
  std::int64_t Milliseconds;
};

// Largest first: formatDuration takes the first unit that divides exactly.
constexpr std::array<TimeUnit, 4> TimeUnits = {
    {{"h", 3600000}, {"min", 60000}, {"s", 1000}, {"ms", 1}}};

constexpr std::size_t TokenHashDigits = 64;
constexpr int MaxPort = 65535;
constexpr std::size_t MaxQuotedLength = 60;

tl::unexpected<Error> notAllowed(const SettingSpec &spec,
                                 const std::string &value,
                                 const std::string &reason = {}) {
  std::string quoted = value.substr(0, MaxQuotedLength);
  std::string text = "'" + quoted + "' is not allowed";
  if (!reason.empty())
    text += " (" + reason + ")";
  return makeError(ErrorCode::InvalidSettings,
                   text + "; allowed: " + allowedValues(spec));
}

template <typename T> std::optional<T> parseNumber(std::string_view text) {
  T value{};
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return value;
}

bool isInRange(const SettingSpec &spec, double value) {
  return std::isfinite(value) && value >= spec.Minimum && value <= spec.Maximum;
}

bool isChoice(std::string_view choices, std::string_view text) {
  while (!choices.empty()) {
    const auto bar = std::min(choices.find('|'), choices.size());
    if (choices.substr(0, bar) == text)
      return true;
    choices.remove_prefix(std::min(bar + 1, choices.size()));
  }
  return false;
}

bool isTokenHash(std::string_view text) {
  return text.size() == TokenHashDigits &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool isIpv4(std::string_view text) {
  int octets = 0;
  while (true) {
    const auto dot = std::min(text.find('.'), text.size());
    const auto octet = parseNumber<int>(text.substr(0, dot));
    if (!octet || *octet < 0 || *octet > 255)
      return false;
    ++octets;
    if (dot == text.size())
      return octets == 4;
    text.remove_prefix(dot + 1);
  }
}

bool isAddress(const std::string &text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos || !isIpv4({text.data(), colon}))
    return false;
  const auto port = parseNumber<int>(std::string_view(text).substr(colon + 1));
  return port && *port > 0 && *port <= MaxPort;
}

std::string textField(const nlohmann::json &item, const char *key) {
  const auto it = item.find(key);
  return it != item.end() && it->is_string() ? it->get<std::string>() : "";
}

std::optional<std::string> unknownField(const nlohmann::json &item) {
  static constexpr std::array<std::string_view, 4> Known = {
      "name", "address", "failure_domain", "group"};
  for (const auto &entry : item.items())
    if (std::find(Known.begin(), Known.end(), entry.key()) == Known.end())
      return entry.key();
  return std::nullopt;
}

Result<LeafSettings> parseLeaf(const SettingSpec &spec,
                               const nlohmann::json &item) {
  if (!item.is_object())
    return notAllowed(spec, item.dump(), "a leaf must be a mapping");
  if (const auto key = unknownField(item))
    return notAllowed(spec, item.dump(), "unknown field '" + *key + "'");
  LeafSettings leaf;
  leaf.Name = textField(item, "name");
  leaf.Address = textField(item, "address");
  leaf.FailureDomain = textField(item, "failure_domain");
  leaf.Group = textField(item, "group");
  if (leaf.Name.empty() || leaf.FailureDomain.empty())
    return notAllowed(spec, item.dump(),
                      "name and failure_domain are required");
  if (!isAddress(leaf.Address))
    return notAllowed(spec, leaf.Address, "address of leaf " + leaf.Name);
  if (leaf.Group.empty())
    leaf.Group = leaf.Name;
  return leaf;
}

Result<SettingValue> parseLeaves(const SettingSpec &spec,
                                 const nlohmann::json &list) {
  if (!list.is_array())
    return notAllowed(spec, list.dump());
  std::vector<LeafSettings> leaves;
  std::set<std::string> names;
  std::set<std::string> addresses;
  for (const auto &item : list) {
    auto leaf = parseLeaf(spec, item);
    if (!leaf)
      return tl::unexpected(leaf.error());
    if (!names.insert(leaf->Name).second)
      return notAllowed(spec, leaf->Name, "duplicate leaf name");
    if (!addresses.insert(leaf->Address).second)
      return notAllowed(spec, leaf->Address, "duplicate leaf address");
    leaves.push_back(std::move(*leaf));
  }
  return SettingValue(std::move(leaves));
}

Result<SettingValue> parseBool(const SettingSpec &spec,
                               const std::string &text) {
  if (text == "true" || text == "false")
    return SettingValue(text == "true");
  return notAllowed(spec, text);
}

Result<SettingValue> parseTimeSpan(const SettingSpec &spec,
                                   const std::string &text) {
  const auto span = parseDuration(text);
  if (!span || !isInRange(spec, static_cast<double>(span->count())))
    return notAllowed(spec, text);
  return SettingValue(*span);
}

template <typename T>
Result<SettingValue> parseInRange(const SettingSpec &spec,
                                  const std::string &text) {
  const auto value = parseNumber<T>(text);
  if (!value || !isInRange(spec, static_cast<double>(*value)))
    return notAllowed(spec, text);
  return SettingValue(*value);
}

nlohmann::json leafToJson(const LeafSettings &leaf) {
  nlohmann::json item = {{"name", leaf.Name},
                         {"address", leaf.Address},
                         {"failure_domain", leaf.FailureDomain}};
  if (leaf.Group != leaf.Name)
    item["group"] = leaf.Group;
  return item;
}

struct ToJsonVisitor {
  nlohmann::json operator()(milliseconds span) const {
    return formatDuration(span);
  }
  nlohmann::json operator()(const std::vector<LeafSettings> &leaves) const {
    nlohmann::json list = nlohmann::json::array();
    for (const auto &leaf : leaves)
      list.push_back(leafToJson(leaf));
    return list;
  }
  template <typename T> nlohmann::json operator()(const T &value) const {
    return value;
  }
};

} // namespace

Result<milliseconds> parseDuration(std::string_view text) {
  const auto invalid = [&] {
    return makeError(
        ErrorCode::InvalidSettings,
        "'" + std::string(text) +
            "' is not a duration; examples: 250 ms, 2 s, 5 min, 24 h");
  };
  const auto end = std::min(text.find_first_not_of("0123456789"), text.size());
  const auto number = parseNumber<std::int64_t>(text.substr(0, end));
  std::string_view suffix = text.substr(end);
  if (!suffix.empty() && suffix.front() == ' ')
    suffix.remove_prefix(1);
  const auto unit =
      std::find_if(TimeUnits.begin(), TimeUnits.end(),
                   [&](const auto &it) { return it.Suffix == suffix; });
  if (!number || unit == TimeUnits.end() ||
      *number > milliseconds::max().count() / unit->Milliseconds)
    return invalid();
  return milliseconds(*number * unit->Milliseconds);
}

std::string formatDuration(milliseconds span) {
  const auto unit =
      std::find_if(TimeUnits.begin(), TimeUnits.end() - 1, [&](const auto &it) {
        return span.count() % it.Milliseconds == 0;
      });
  return std::to_string(span.count() / unit->Milliseconds) + " " +
         std::string(unit->Suffix);
}

Result<SettingValue> parseSetting(const SettingSpec &spec,
                                  const std::string &text) {
  switch (spec.Kind) {
  case SettingKind::Bool:
    return parseBool(spec, text);
  case SettingKind::Integer:
    return parseInRange<std::int64_t>(spec, text);
  case SettingKind::Real:
    return parseInRange<double>(spec, text);
  case SettingKind::TimeSpan:
    return parseTimeSpan(spec, text);
  case SettingKind::Choice:
    if (!isChoice(spec.Choices, text))
      return notAllowed(spec, text);
    return SettingValue(text);
  case SettingKind::TokenHash:
    if (!isTokenHash(text))
      return notAllowed(spec, text);
    return SettingValue(text);
  case SettingKind::LeafList:
    break;
  }
  return parseLeaves(spec, nlohmann::json::parse(text, nullptr, false));
}

Result<SettingValue> parseSetting(const SettingSpec &spec,
                                  const nlohmann::json &value) {
  if (value.is_string())
    return parseSetting(spec, value.get<std::string>());
  if (spec.Kind == SettingKind::LeafList)
    return parseLeaves(spec, value);
  // Numbers and booleans serialize to the text form, so the text parser checks
  // them as well and rejects a type that does not fit the key.
  return parseSetting(spec, value.dump());
}

nlohmann::json toJson(const SettingValue &value) {
  return std::visit(ToJsonVisitor{}, value);
}

} // namespace savorytrestle::core
