#ifndef SAVORYTRESTLE_HOSTS_RPC_JSON_TEXT_H
#define SAVORYTRESTLE_HOSTS_RPC_JSON_TEXT_H

/// @file
/// @brief Conversion between JSON text and the RPC library's values.

#include <memory>
#include <string>

#include <json/json.h>

namespace savorytrestle {
namespace hosts {

/// @brief Parses JSON text.
/// @param text the text
/// @param value filled in on success
/// @return false when the text is malformed; may throw on deep nesting
inline bool parseJson(const std::string &text, Json::Value &value) {
  const Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  return reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
}

/// @brief Writes a value as compact JSON text.
/// @param value the value
/// @return its text
inline std::string writeJson(const Json::Value &value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

} // namespace hosts
} // namespace savorytrestle

#endif
