#ifndef SAVORYTRESTLE_BACKEND_HOST_QUARANTINE_H
#define SAVORYTRESTLE_BACKEND_HOST_QUARANTINE_H

/// @file
/// @brief Thread-safe crash quarantine of a host, and its records as JSON text
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
  /// @brief Creates an empty quarantine.
  /// @param onNewRecords called when there are new records for other
  ///   hosts; runs on the thread that added them and must not block
  explicit HostQuarantine(std::function<void()> onNewRecords);

  /// @brief Decides how a request may run, before it is sent to any leaf.
  /// @param fingerprint its fingerprint
  /// @return the decision
  core::QuarantineVerdict check(const core::Fingerprint &fingerprint);

  /// @brief Whether a request may run on a leaf beside the unproven requests
  /// that this host already runs there.
  /// @param leafName the leaf
  /// @param fingerprint its fingerprint
  /// @return whether it may
  bool mayRunOnLeaf(const std::string &leafName,
                    const core::Fingerprint &fingerprint);

  /// @brief Records that an attempt was sent.
  /// @param leafName the leaf
  /// @param fingerprint the request's fingerprint
  void onStart(const std::string &leafName,
               const core::Fingerprint &fingerprint);

  /// @brief Records how an attempt ended.
  /// @param leafName the leaf
  /// @param fingerprint the request's fingerprint
  /// @param result how it ended
  void onEnd(const std::string &leafName, const core::Fingerprint &fingerprint,
             const core::AttemptResult &result);

  /// @brief Records the end of an attempt that cannot have crashed the leaf.
  /// @param leafName the leaf
  /// @param fingerprint the request's fingerprint
  void onOtherOutcome(const std::string &leafName,
                      const core::Fingerprint &fingerprint);

  /// @brief Records that a leaf refuses connections or has restarted.
  /// @param leafName the leaf
  /// @param incarnation its incarnation before that, 0 if unknown
  /// @param wasDraining whether it was about to end anyway
  void onLeafDownOrRestarted(const std::string &leafName,
                             std::uint64_t incarnation, bool wasDraining);

  /// @brief Records that a leaf answers with the same incarnation, so it did
  /// not crash.
  /// @param leafName the leaf
  void onLeafAlive(const std::string &leafName);

  /// @brief All unexpired records as JSON text; equal records give equal text.
  /// @return the text
  std::string recordsJson();

  /// @brief Merges records of another host.
  /// @param text result of its @ref recordsJson; malformed text and malformed
  ///   records in it are ignored
  void merge(const std::string &text);

private:
  void notifyNewRecords(const std::vector<core::QuarantineRecord> &newRecords);

  const std::function<void()> OnNewRecords;
  std::mutex Lock;
  core::CrashQuarantine Quarantine;
};

} // namespace savorytrestle::backend

#endif
