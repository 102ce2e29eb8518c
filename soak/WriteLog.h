#ifndef SAVORYTRESTLE_SOAK_WRITE_LOG_H
#define SAVORYTRESTLE_SOAK_WRITE_LOG_H

/// @file
/// @brief What callers saw, for the checks of a soak.

#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace savorytrestle::soak {

/// @brief Collects broken promises; thread-safe.
class Violations {
public:
  /// @brief Notes one.
  void add(std::string text) {
    const std::lock_guard lock(Guard);
    Texts.push_back(std::move(text));
  }

  /// @brief All noted so far.
  std::vector<std::string> all() const {
    const std::lock_guard lock(Guard);
    return Texts;
  }

private:
  mutable std::mutex Guard;
  std::vector<std::string> Texts;
};

/// @brief When requests were sent; thread-safe.
class SendTimes {
public:
  /// @brief Notes one that is being sent now.
  void record() {
    const std::lock_guard lock(Guard);
    Times.push_back(std::chrono::steady_clock::now());
  }

  /// @brief All noted so far.
  std::vector<std::chrono::steady_clock::time_point> times() const {
    const std::lock_guard lock(Guard);
    return Times;
  }

private:
  mutable std::mutex Guard;
  std::vector<std::chrono::steady_clock::time_point> Times;
};

/// @brief Answers to requests that may run once, by the request's id.
class WriteLog {
public:
  /// @brief Notes an answer; status 0 means that none came.
  void record(const std::string &id, int status) {
    const std::lock_guard lock(Guard);
    Statuses[id] = status;
  }

  /// @brief Compares the answers with what leaves ran.
  /// @param runs times that each request ran
  /// @param violations takes what is wrong
  void check(const std::map<std::string, int> &runs,
             Violations &violations) const {
    static const std::set<int> notRun = {408, 421, 429, 503};
    const std::lock_guard lock(Guard);
    for (const auto &[id, status] : Statuses) {
      const auto it = runs.find(id);
      const int n = it == runs.end() ? 0 : it->second;
      if (n > 1)
        violations.add(id + " ran " + std::to_string(n) + " times");
      if (n > 0 && notRun.count(status) > 0)
        violations.add(id + " was refused with " + std::to_string(status) +
                       " and ran");
      if (n == 0 && status == 200)
        violations.add(id + " was answered 200 and never ran");
    }
  }

  /// @brief Number of answers of a status.
  std::size_t count(int status) const {
    const std::lock_guard lock(Guard);
    std::size_t n = 0;
    for (const auto &[id, logged] : Statuses)
      n += logged == status ? 1 : 0;
    return n;
  }

private:
  mutable std::mutex Guard;
  std::map<std::string, int> Statuses;
};

} // namespace savorytrestle::soak

#endif
