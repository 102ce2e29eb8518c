#ifndef SAVORYTRESTLE_SOAK_WRITE_LOG_H
#define SAVORYTRESTLE_SOAK_WRITE_LOG_H

/// @file
/// @brief Records of callers and of violations, for the checks of a soak run.

#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace savorytrestle::soak {

/// @brief Collects violated guarantees; thread-safe.
class Violations {
public:
  /// @brief Adds a violation.
  void add(std::string text) {
    const std::lock_guard lock(Guard);
    Texts.push_back(std::move(text));
  }

  /// @brief All violations so far.
  std::vector<std::string> all() const {
    const std::lock_guard lock(Guard);
    return Texts;
  }

private:
  mutable std::mutex Guard;
  std::vector<std::string> Texts;
};

/// @brief Send times of requests; thread-safe.
class SendTimes {
public:
  /// @brief Records that a request is sent now.
  void record() {
    const std::lock_guard lock(Guard);
    Times.push_back(std::chrono::steady_clock::now());
  }

  /// @brief All send times so far.
  std::vector<std::chrono::steady_clock::time_point> times() const {
    const std::lock_guard lock(Guard);
    return Times;
  }

private:
  mutable std::mutex Guard;
  std::vector<std::chrono::steady_clock::time_point> Times;
};

/// @brief Answer statuses of at-most-once writes by request id; thread-safe.
class WriteLog {
public:
  /// @brief Records an answer; status 0 means that none came.
  void record(const std::string &id, int status) {
    const std::lock_guard lock(Guard);
    Statuses[id] = status;
  }

  /// @brief Compares the answers with the runs at leaves.
  /// @param runs number of runs by request id
  /// @param violations receives the mismatches
  void check(const std::map<std::string, int> &runs,
             Violations &violations) const {
    static const std::set<int> notRun = {408, 421, 429, 503};
    const std::lock_guard lock(Guard);
    for (const auto &[id, status] : Statuses) {
      const auto it = runs.find(id);
      const int n = it == runs.end() ? 0 : it->second;
      if (n > 1)
        violations.add(id + " ran " + std::to_string(n) +
                       " times instead of at most once");
      if (n > 0 && notRun.count(status) > 0)
        violations.add(id + " was refused with " + std::to_string(status) +
                       " but ran");
      if (n == 0 && status == 200)
        violations.add(id + " was answered with 200 but did not run");
    }
  }

  /// @brief Number of answers with a status.
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
