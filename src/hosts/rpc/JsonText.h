#ifndef SAVORYTRESTLE_HOSTS_RPC_JSON_TEXT_H
#define SAVORYTRESTLE_HOSTS_RPC_JSON_TEXT_H

/// @file
/// @brief Conversion between JSON text and jsoncpp values, which the RPC
/// library uses.

#include <memory>
#include <string>

#include <json/json.h>

namespace savorytrestle {
namespace hosts {

/// @brief Parses JSON text.
/// @param text the text
/// @param value set if the text is well-formed
/// @return false if the text is malformed
/// @throws Json::Exception if the text is nested too deeply
inline bool parseJson(const std::string &text, Json::Value &value) {
  const Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  return reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
}

/// @brief Converts a value to compact JSON text.
/// @param value the value
/// @return the text
inline std::string writeJson(const Json::Value &value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

} // namespace hosts
} // namespace savorytrestle

#endif
