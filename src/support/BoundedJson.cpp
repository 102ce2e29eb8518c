#include "support/BoundedJson.h"

namespace savorytrestle::support {

using nlohmann::json;

core::Result<json> parseBoundedJson(std::string_view text) {
  bool tooDeep = false;
  // Values below the bound are dropped while they are read, so that no deep
  // value is ever built.
  const auto keep = [&tooDeep](int depth, json::parse_event_t, json &) {
    if (depth > MaxJsonDepth)
      tooDeep = true;
    return depth <= MaxJsonDepth;
  };
  json value = json::parse(text.begin(), text.end(), keep, false);
  if (tooDeep)
    return core::makeError(core::ErrorCode::BadRequest,
                           "JSON nested deeper than " +
                               std::to_string(MaxJsonDepth) + " levels");
  if (value.is_discarded())
    return core::makeError(core::ErrorCode::BadRequest, "not valid JSON");
  return value;
}

} // namespace savorytrestle::support
