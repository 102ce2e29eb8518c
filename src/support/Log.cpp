#include "support/Log.h"

#include <glog/logging.h>

namespace savorytrestle::support {

void startLogging(const char *program) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
}

LogLine::LogLine(std::string_view event) {
  Text = "event=";
  Text += event;
}

LogLine::~LogLine() { LOG(INFO) << Text; }

void LogLine::append(std::string_view key, std::string_view value) {
  Text += ' ';
  Text += key;
  Text += '=';
  // Values with blanks, quotes or line ends are quoted, so that one event
  // stays one line and splits unambiguously.
  if (value.find_first_of(" \"=\n\r\t") == std::string_view::npos) {
    Text += value;
    return;
  }
  Text += nlohmann::json(value).dump(-1, ' ', false,
                                     nlohmann::json::error_handler_t::replace);
}

} // namespace savorytrestle::support
