#include "savorytrestle/core/SettingsSchema.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>

namespace savorytrestle::core {

namespace {

using enum SettingKind;
using enum SettingsLevel;

constexpr double MaxDeadlineMs = 600.0 * 1000.0;

constexpr SettingSpec Schema[] = {
    {.Key = "kind",
     .Kind = Choice,
     .HighestLevel = Route,
     .Choices = "search|write",
     .Description = "Kind of the route; every route must set it."},
    {.Key = "policy",
     .Kind = Choice,
     .Default = "coverage_first",
     .Choices = "coverage_first|tail_first",
     .Description =
         "coverage_first waits for missing shards up to the deadline; "
         "tail_first answers at latency_target once coverage_floor is met."},
    {.Key = "max_deadline",
     .Kind = TimeSpan,
     .Default = "10 s",
     .Minimum = 1,
     .Maximum = MaxDeadlineMs,
     .Description = "Longest deadline that a caller may request."},
    {.Key = "latency_target",
     .Kind = TimeSpan,
     .Default = "100 ms",
     .Minimum = 1,
     .Maximum = MaxDeadlineMs,
     .Description = "Time after which a tail_first route answers with the "
                    "results it has."},
    {.Key = "coverage_floor",
     .Kind = Real,
     .Default = "0.9",
     .Minimum = 0,
     .Maximum = 1,
     .Unit = "fraction of shards",
     .Description =
         "Minimum coverage of a tail_first answer sent before the deadline."},
    {.Key = "extra_load_fraction",
     .Kind = Real,
     .LowestLevel = Service,
     .Default = "0.05",
     .Minimum = 0,
     .Maximum = 1,
     .Unit = "fraction of first attempts",
     .RootOperatorOnly = true,
     .Description =
         "Limit on hedges, retries and restarts of a service together."},
    {.Key = "leaf_slots",
     .Kind = Integer,
     .LowestLevel = Service,
     .Default = "5",
     .Minimum = 1,
     .Maximum = 10000,
     .Unit = "requests",
     .RootOperatorOnly = true,
     .Description = "Requests that a leaf executes concurrently."},
    {.Key = "leaf_connections",
     .Kind = Integer,
     .LowestLevel = Service,
     .Default = "40",
     .Minimum = 1,
     .Maximum = 100000,
     .Unit = "connections",
     .RootOperatorOnly = true,
     .Description = "Connections that a leaf accepts from all hosts together."},
    {.Key = "leaves",
     .Kind = LeafList,
     .HighestLevel = Service,
     .LowestLevel = Service,
     .Description = "Backend servers of the service. Leaves with the same "
                    "group hold the same shards; a leaf without a group "
                    "forms one of its own."},
    {.Key = "max_body",
     .Kind = Integer,
     .Default = "65536",
     .Minimum = 1,
     .Maximum = 1048576,
     .Unit = "bytes",
     .Description =
         "Largest request body; a larger one is refused without being read."},
    {.Key = "weight",
     .Kind = Real,
     .LowestLevel = Workspace,
     .Default = "1",
     .Minimum = 0.01,
     .Maximum = 1000,
     .Unit = "relative share",
     .RootOperatorOnly = true,
     .Description =
         "Share of the hosts' capacity relative to other workspaces."},
    {.Key = "canary",
     .Kind = Bool,
     .Default = "true",
     .Description = "Sends a search that is not known to be good to one leaf "
                    "first, so that a search that crashes leaves crashes "
                    "at most two."},
    {.Key = "operator_token_hash",
     .Kind = TokenHash,
     .HighestLevel = Root,
     .LowestLevel = Workspace,
     .Description =
         "SHA-256 of the bearer token that may change this subtree."},
};

void describeRange(std::ostream &out, const SettingSpec &spec) {
  out << " from " << spec.Minimum << " to " << spec.Maximum;
  if (!spec.Unit.empty())
    out << " (" << spec.Unit << ")";
}

std::string_view kindName(SettingKind kind) {
  constexpr std::array<std::string_view, 7> Names = {
      "true or false", "whole number", "number",    "duration",
      "one of",        "leaf list",    "token hash"};
  return Names.at(static_cast<std::size_t>(kind));
}

std::string levelsOf(const SettingSpec &spec) {
  std::string text;
  for (const auto level : {Root, Workspace, Service, Route})
    if (isAllowedAt(spec, level))
      text += (text.empty() ? "" : ", ") + std::string(name(level));
  return text;
}

} // namespace

std::span<const SettingSpec> settingsSchema() { return Schema; }

const SettingSpec *findSetting(std::string_view key) {
  const auto it =
      std::find_if(std::begin(Schema), std::end(Schema),
                   [&](const auto &spec) { return spec.Key == key; });
  return it == std::end(Schema) ? nullptr : it;
}

bool isAllowedAt(const SettingSpec &spec, SettingsLevel level) {
  return spec.HighestLevel <= level && level <= spec.LowestLevel;
}

std::string_view name(SettingsLevel level) {
  constexpr std::array<std::string_view, 4> Names = {"root", "workspace",
                                                     "service", "route"};
  return Names.at(static_cast<std::size_t>(level));
}

std::string allowedValues(const SettingSpec &spec) {
  std::ostringstream out;
  // Enough digits for the largest limit to print as a whole number.
  out << std::setprecision(12) << kindName(spec.Kind);
  const auto asText = [](double millis) {
    return formatDuration(
        std::chrono::milliseconds(static_cast<std::int64_t>(millis)));
  };
  if (spec.Kind == Choice)
    out << " " << spec.Choices;
  if (spec.Kind == Integer || spec.Kind == Real)
    describeRange(out, spec);
  if (spec.Kind == TimeSpan)
    out << " from " << asText(spec.Minimum) << " to " << asText(spec.Maximum);
  if (spec.Kind == TokenHash)
    out << ": 64 hexadecimal digits in lower case";
  if (spec.Kind == LeafList)
    out << ": items with name, address (ip:port), failure_domain and "
           "optionally group";
  return out.str();
}

std::string settingsReference() {
  std::ostringstream out;
  out << "# Settings reference\n\n"
         "Generated from the schema that validates every change; do not "
         "edit.\n\n"
         "A node inherits each key from its nearest ancestor that sets it; "
         "if none does, the default applies. Keys marked *root operator* "
         "cannot be changed with a workspace's token.\n\n"
         "| Key | Set at | Allowed | Default | Meaning |\n"
         "| --- | --- | --- | --- | --- |\n";
  for (const auto &spec : Schema) {
    std::string allowed = allowedValues(spec);
    for (auto at = allowed.find('|'); at != std::string::npos;
         at = allowed.find('|', at + 2))
      allowed.replace(at, 1, "\\|");
    out << "| `" << spec.Key << "` | " << levelsOf(spec)
        << (spec.RootOperatorOnly ? " (*root operator*)" : "") << " | "
        << allowed << " | " << (spec.Default.empty() ? "none" : spec.Default)
        << " | " << spec.Description << " |\n";
  }
  return out.str();
}

} // namespace savorytrestle::core
