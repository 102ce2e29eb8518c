#ifndef SAVORYTRESTLE_SUPPORT_LOG_H
#define SAVORYTRESTLE_SUPPORT_LOG_H

/// @file
/// @brief Writes one line of key=value pairs per event to standard output, on a
/// separate thread.

#include <chrono>
#include <concepts>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace savorytrestle::support {

/// @brief Starts the writer thread.
/// @param program name of the process, usually argv[0]
void startLogging(const char *program);

/// @brief Waits a bounded time until the queued lines are written. When
/// standard output is not read, the process must exit without joining the
/// writer thread.
void flushLog();

/// @brief Number of lines dropped because standard output was read too slowly.
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
  /// @param value its value; quoted when it has blanks, quotes, equals signs or
  /// line breaks
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

  /// @brief Adds a duration in milliseconds; the key gets "_ms" appended.
  /// @param key field name, snake case
  /// @param value the duration
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
