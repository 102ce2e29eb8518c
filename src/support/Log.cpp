#include "support/Log.h"

#include <thread>

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace savorytrestle::support {

namespace {

/// Lines queued while standard output is read slowly; beyond that the oldest
/// lines are dropped.
constexpr std::size_t MaxQueuedLines = 4096;
constexpr std::size_t WriterThreads = 1;
/// Longest wait for queued lines when the process exits.
constexpr std::chrono::milliseconds FlushTimeout{200};
constexpr std::chrono::milliseconds FlushPollInterval{5};

} // namespace

void startLogging(const char *program) {
  spdlog::init_thread_pool(MaxQueuedLines, WriterThreads);
  // A separate thread writes the lines, so that a slow reader of standard
  // output blocks no other thread.
  auto logger = spdlog::create_async_nb<spdlog::sinks::stdout_sink_st>(program);
  logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e%z %v");
  spdlog::set_default_logger(std::move(logger));
}

void flushLog() {
  const auto pool = spdlog::thread_pool();
  if (!pool)
    return;
  const auto until = std::chrono::steady_clock::now() + FlushTimeout;
  while (pool->queue_size() > 0 && std::chrono::steady_clock::now() < until)
    std::this_thread::sleep_for(FlushPollInterval);
  // The last line may have left the queue but not be written yet.
  std::this_thread::sleep_for(FlushPollInterval);
}

std::size_t droppedLogLines() {
  const auto pool = spdlog::thread_pool();
  return pool ? pool->overrun_counter() : 0;
}

LogLine::LogLine(std::string_view event) {
  Text = "event=";
  Text += event;
}

LogLine::~LogLine() { spdlog::default_logger_raw()->info(Text); }

void LogLine::append(std::string_view key, std::string_view value) {
  Text += ' ';
  Text += key;
  Text += '=';
  // Values with blanks, quotes, equals signs or line breaks are quoted, so that
  // an event stays on one line and can be split unambiguously.
  if (value.find_first_of(" \"=\n\r\t") == std::string_view::npos) {
    Text += value;
    return;
  }
  Text += nlohmann::json(value).dump(-1, ' ', false,
                                     nlohmann::json::error_handler_t::replace);
}

} // namespace savorytrestle::support
