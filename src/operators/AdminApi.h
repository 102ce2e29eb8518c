#ifndef SAVORYTRESTLE_OPERATORS_ADMIN_API_H
#define SAVORYTRESTLE_OPERATORS_ADMIN_API_H

/// @file
/// @brief Administration API for operators, served by every host.

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "operators/OperatorAuth.h"
#include "operators/SettingsReplica.h"
#include "operators/SettingsStore.h"
#include "support/HttpServer.h"

namespace savorytrestle::operators {

/// @brief Settings store that the API uses; its functions may be called from
/// any thread.
struct SettingsBackend {
  std::function<CommitResult(const core::ChangeRequest &)> Commit;
  std::function<core::Result<std::vector<core::AuditEntry>>(std::uint64_t,
                                                            std::size_t)>
      History;
  std::function<core::Result<core::VersionedBlob>()> Read;
  /// See SettingsStore::restoreLost.
  std::function<core::Result<bool>(const core::SettingsTree &, std::uint64_t,
                                   core::WallTime)>
      RestoreLost;
};

/// @brief Wraps a settings store, which is not thread-safe, in a mutex.
/// @param store must outlive the backend
/// @return the backend
template <store::KvStore Kv>
SettingsBackend makeBackend(SettingsStore<Kv> &store) {
  const auto lock = std::make_shared<std::mutex>();
  SettingsBackend backend;
  backend.Commit = [&store, lock](const core::ChangeRequest &request) {
    const std::lock_guard guard(*lock);
    return store.commit(request);
  };
  backend.History = [&store, lock](std::uint64_t before, std::size_t limit) {
    const std::lock_guard guard(*lock);
    return store.history(before, limit);
  };
  backend.Read = [&store, lock] {
    const std::lock_guard guard(*lock);
    return store.read();
  };
  backend.RestoreLost = [&store, lock](const core::SettingsTree &tree,
                                       std::uint64_t revision,
                                       core::WallTime now) {
    const std::lock_guard guard(*lock);
    return store.restoreLost(tree, revision, now);
  };
  return backend;
}

/// @brief Settings revision in force on a host.
struct HostRevision {
  std::string Host;
  std::uint64_t Revision = 0;
  /// Time since the last status of this host was received; -1 ms if none was.
  std::chrono::milliseconds Age{};
};

/// @brief Options of the administration API.
struct AdminApiOptions {
  /// Name of this host.
  std::string Host;
  /// Hash of the root token, from the process's flags; may be empty if the
  /// root node of the tree sets one.
  std::string RootTokenHash;
  /// Wall clock, for audit entries.
  std::function<core::WallTime()> Now;
  /// Returns the other hosts known to this host; may be an empty function.
  std::function<std::vector<HostRevision>()> Hosts;
};

/// @brief Handles operators' requests. Thread-safe.
///
/// Reads return the settings in force on this host, so they work while the
/// store is unavailable; changes and history need the store.
class AdminApi {
public:
  /// @brief Constructs the API.
  /// @param options the options
  /// @param backend the settings store
  /// @param replica settings in force on this host; must outlive the API
  AdminApi(AdminApiOptions options, SettingsBackend backend,
           SettingsReplica &replica);

  /// @brief Handles one request of the administration listener.
  /// @param request the request
  /// @return a JSON reply; errors have the same format as in the callers' API
  support::HttpResponse handle(const support::HttpRequest &request);

private:
  using Request = support::HttpRequest;
  using Response = support::HttpResponse;
  using SharedSettings = std::shared_ptr<const SettingsInForce>;

  struct Call {
    const Request &Http;
    Operator Requester;
    /// Settings in force when the request was received; never null.
    SharedSettings Current;
    core::SettingsPath Path;
    std::string Key;
  };

  core::Result<Call> parseCall(const Request &request, int &status) const;
  Response route(const Call &call);
  Response settings(const Call &call);
  Response read(const Call &call) const;
  Response put(const Call &call);
  Response remove(const Call &call);
  Response explain(const Call &call) const;
  Response diff(const Call &call);
  Response history(const Call &call);
  Response apply(const Call &call);
  Response validate(const Call &call) const;
  Response status(const Call &call) const;
  Response commitChange(const Call &call, core::ChangeRequest request);

  AdminApiOptions Options;
  SettingsBackend Backend;
  SettingsReplica &Replica;
};

} // namespace savorytrestle::operators

#endif
