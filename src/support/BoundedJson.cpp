#include "support/BoundedJson.h"

namespace savorytrestle::support {

using nlohmann::json;

json parseJsonOrDiscarded(std::string_view text) {
  bool tooDeep = false;
  // Values nested deeper than the bound are dropped during parsing, so that no
  // deep value is ever built.
  const auto withinBound = [&tooDeep](int depth, json::parse_event_t, json &) {
    if (depth > MaxJsonDepth)
      tooDeep = true;
    return depth <= MaxJsonDepth;
  };
  json value = json::parse(text.begin(), text.end(), withinBound, false);
  return tooDeep ? json(json::value_t::discarded) : value;
}

core::Result<json> parseBoundedJson(std::string_view text) {
  json value = parseJsonOrDiscarded(text);
  if (value.is_discarded())
    return core::makeError(core::ErrorCode::BadRequest,
                           "not valid JSON, or nested deeper than " +
                               std::to_string(MaxJsonDepth) + " levels");
  return value;
}

} // namespace savorytrestle::support
