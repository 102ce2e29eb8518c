#ifndef SAVORYTRESTLE_BACKEND_HOST_QUARANTINE_H
#define SAVORYTRESTLE_BACKEND_HOST_QUARANTINE_H

/// @file
/// @brief The host's crash quarantine behind a lock, and its records as text
/// for other hosts.

#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include "savorytrestle/core/CrashQuarantine.h"
#include "savorytrestle/core/LeafSelector.h"

namespace savorytrestle::backend {

/// @brief Crash quarantine of one host; thread-safe.
class HostQuarantine {
public:
  /// @brief Makes an empty quarantine.
  /// @param onNewRecords told when there are new records for other hosts; runs
  /// on
  ///   the thread that found them and must not block
  explicit HostQuarantine(std::function<void()> onNewRecords);

  /// @brief Decides on a request before any leaf is asked.
  /// @param fingerprint its fingerprint
  /// @return the decision
  core::QuarantineVerdict check(const core::Fingerprint &fingerprint);

  /// @brief Whether a request may run on a leaf beside what runs there.
  /// @param leafName the leaf
  /// @param fingerprint its fingerprint
  /// @return whether it may
  bool mayRunOnLeaf(const std::string &leafName,
                    const core::Fingerprint &fingerprint);

  /// @brief Notes that an attempt was sent.
  /// @param leafName the leaf
  /// @param fingerprint the request's fingerprint
  void onStart(const std::string &leafName,
               const core::Fingerprint &fingerprint);

  /// @brief Notes how an attempt ended.
  /// @param leafName the leaf
  /// @param fingerprint the request's fingerprint
  /// @param result how it ended
  void onEnd(const std::string &leafName, const core::Fingerprint &fingerprint,
             const core::AttemptResult &result);

  /// @brief Notes that an attempt broke which can't be to blame.
  /// @param leafName the leaf
  /// @param fingerprint the request's fingerprint
  void onOtherOutcome(const std::string &leafName,
                      const core::Fingerprint &fingerprint);

  /// @brief Notes that a leaf refuses connections or came back as another
  /// process.
  /// @param leafName the leaf
  /// @param incarnation incarnation before that, 0 if unknown
  void onLeafDownOrRestarted(const std::string &leafName,
                             std::uint64_t incarnation);

  /// @brief Notes that a leaf is still the process it was.
  /// @param leafName the leaf
  void onLeafAlive(const std::string &leafName);

  /// @brief All records in force as JSON text, equal for equal records.
  /// @return the text
  std::string recordsJson();

  /// @brief Merges records of another host.
  /// @param text what its @ref recordsJson gave; broken text is ignored
  void merge(const std::string &text);

private:
  void notifyNewRecords(const std::vector<core::QuarantineRecord> &newRecords);

  const std::function<void()> OnNewRecords;
  std::mutex Lock;
  core::CrashQuarantine Quarantine;
};

} // namespace savorytrestle::backend

#endif
