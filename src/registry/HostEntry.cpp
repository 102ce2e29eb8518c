#include "registry/HostEntry.h"

#include <nlohmann/json.hpp>

#include "support/BoundedJson.h"

namespace savorytrestle::registry {

using nlohmann::json;

std::string encodeHostEntry(const HostEntry &entry) {
  return json{{"failure_domain", entry.FailureDomain},
              {"callers", entry.Callers}}
      .dump();
}

core::Result<HostEntry> decodeHostEntry(const std::string &id,
                                        std::string_view text) {
  const auto object = support::parseBoundedJson(text);
  if (!object)
    return tl::unexpected(object.error());
  try {
    return HostEntry{id, object->at("failure_domain").get<std::string>(),
                     object->at("callers").get<std::string>()};
  } catch (const json::exception &ex) {
    return core::makeError(core::ErrorCode::BadRequest, ex.what());
  }
}

} // namespace savorytrestle::registry
