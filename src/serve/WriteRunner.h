#ifndef SAVORYTRESTLE_SERVE_WRITE_RUNNER_H
#define SAVORYTRESTLE_SERVE_WRITE_RUNNER_H

/// @file
/// @brief Runs a write from the caller's thread: claim of its idempotency key,
/// dispatch to a leaf, outcome.

#include "backend/LeafEngine.h"
#include "caller/CallerApi.h"
#include "store/ClaimStore.h"
#include "store/PlatformStore.h"

namespace savorytrestle::serve {

/// @brief Runs writes; thread-safe.
class WriteRunner {
public:
  /// @brief Starts the claim thread.
  /// @param engine sends the writes; must outlive the runner
  /// @param store address of the key-value service
  /// @param hostId id of this host
  /// @param maxHosts most hosts that share the store's write rate
  WriteRunner(backend::LeafEngine &engine, const std::string &store,
              const std::string &hostId, unsigned maxHosts);

  /// @brief Runs a write; blocks until its outcome.
  /// @param request the validated request
  /// @return the outcome; an error states whether the write is known to have
  /// run
  core::Result<caller::WriteAnswer> run(const caller::CallerRequest &request);

  /// @brief Stores the pending claims and stops the claim thread.
  /// @param drain longest time to store them
  void stop(std::chrono::milliseconds drain) { Claims.stop(drain); }

private:
  using Store = store::ClaimStore<store::PlatformStore>;

  core::Result<caller::WriteAnswer>
  runKeyed(const caller::CallerRequest &request);
  core::Result<caller::WriteAnswer>
  runUnkeyed(const caller::CallerRequest &request);

  backend::LeafEngine &Engine;
  Store Claims;
};

} // namespace savorytrestle::serve

#endif
