#include "savorytrestle/core/SettingsPath.h"

namespace savorytrestle::core {

namespace {

constexpr std::size_t MaxNameLength = 63;
constexpr int DeepestLevel = static_cast<int>(SettingsLevel::Route);

bool isValidName(std::string_view text) {
  return !text.empty() && text.size() <= MaxNameLength && text.front() != '-' &&
         text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") ==
             std::string_view::npos;
}

} // namespace

Result<SettingsPath> SettingsPath::parse(const std::string &text) {
  const auto invalid = [&] {
    return makeError(ErrorCode::InvalidSettings,
                     "'" + text +
                         "' is not a settings path; allowed: /, /WORKSPACE, "
                         "/WORKSPACE/SERVICE or /WORKSPACE/SERVICE/ROUTE, with "
                         "names of 1 to 63 lower-case letters, digits and '-' "
                         "that do not start with '-'");
  };
  if (text == "/")
    return SettingsPath();
  if (text.empty() || text.front() != '/')
    return invalid();
  std::string_view rest(text);
  int depth = 0;
  while (!rest.empty()) {
    rest.remove_prefix(1);
    const auto slash = std::min(rest.find('/'), rest.size());
    if (++depth > DeepestLevel || !isValidName(rest.substr(0, slash)))
      return invalid();
    rest.remove_prefix(slash);
  }
  return SettingsPath(text, static_cast<SettingsLevel>(depth));
}

SettingsPath SettingsPath::parent() const {
  if (Level == SettingsLevel::Root || Level == SettingsLevel::Workspace)
    return {};
  return {Text.substr(0, Text.rfind('/')),
          static_cast<SettingsLevel>(static_cast<int>(Level) - 1)};
}

std::string SettingsPath::lastSegment() const {
  return Text.substr(Text.rfind('/') + 1);
}

SettingsPath SettingsPath::workspace() const {
  if (Level == SettingsLevel::Root)
    return {};
  return {Text.substr(0, Text.find('/', 1)), SettingsLevel::Workspace};
}

bool SettingsPath::isWithin(const SettingsPath &ancestor) const {
  if (ancestor.Level == SettingsLevel::Root || *this == ancestor)
    return true;
  return Text.rfind(ancestor.Text + "/", 0) == 0;
}

} // namespace savorytrestle::core
