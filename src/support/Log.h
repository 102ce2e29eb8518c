#ifndef SAVORYTRESTLE_SUPPORT_LOG_H
#define SAVORYTRESTLE_SUPPORT_LOG_H

/// @file
/// @brief One key=value line per event, written to standard output by a thread
/// of its own.

#include <chrono>
#include <concepts>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace savorytrestle::support {

/// @brief Starts the writer thread.
/// @param program name of the process, usually argv[0]
void startLogging(const char *program);

/// @brief Waits until the lines so far are written, but not for a reader who
/// doesn't read: the process must end all the same, without joining the writer.
void flushLog();

/// @brief Lines dropped because the reader of the output was too slow.
std::size_t droppedLogLines();

/// @brief Builds one log line and writes it when it goes out of scope.
///
/// @code
/// LogLine("search_done").with("request", id).with("shards", 10);
/// @endcode
class LogLine {
public:
  /// @brief Starts the line.
  /// @param event name of the event, snake case
  explicit LogLine(std::string_view event);
  LogLine(const LogLine &) = delete;
  LogLine &operator=(const LogLine &) = delete;
  ~LogLine();

  /// @brief Adds a text field.
  /// @param key field name, snake case
  /// @param value its value; quoted when it holds blanks
  /// @return this line
  LogLine &with(std::string_view key, std::string_view value) {
    append(key, value);
    return *this;
  }

  /// @brief Adds a number.
  /// @param key field name, snake case
  /// @param value its value
  /// @return this line
  template <typename T>
  requires std::integral<T> || std::floating_point<T> LogLine &
  with(std::string_view key, T value) {
    append(key, std::to_string(value));
    return *this;
  }

  /// @brief Adds a span of time in milliseconds; the key gets "_ms" appended.
  /// @param key field name, snake case
  /// @param value the span
  /// @return this line
  template <typename Rep, typename Period>
  LogLine &with(std::string_view key,
                std::chrono::duration<Rep, Period> value) {
    using Millis = std::chrono::duration<double, std::milli>;
    append(std::string(key) + "_ms", std::to_string(Millis(value).count()));
    return *this;
  }

private:
  void append(std::string_view key, std::string_view value);

  std::string Text;
};

} // namespace savorytrestle::support

#endif
