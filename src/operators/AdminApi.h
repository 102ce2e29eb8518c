#ifndef SAVORYTRESTLE_OPERATORS_ADMIN_API_H
#define SAVORYTRESTLE_OPERATORS_ADMIN_API_H

/// @file
/// @brief The administration API that every host serves to operators.

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

/// @brief The store behind the API; its calls may come from any thread.
struct SettingsBackend {
  std::function<CommitResult(const core::ChangeRequest &)> Commit;
  std::function<core::Result<std::vector<core::AuditEntry>>(std::uint64_t,
                                                            std::size_t)>
      History;
  std::function<core::Result<core::VersionedBlob>()> Read;
};

/// @brief Puts a lock around a settings store, which is for one thread.
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
  return backend;
}

/// @brief Which settings a host serves from.
struct HostRevision {
  std::string Host;
  std::uint64_t Revision = 0;
  /// Since the host was last heard of.
  std::chrono::milliseconds Age{};
};

/// @brief What the API needs of its host.
struct AdminApiOptions {
  /// Name of this host.
  std::string Host;
  /// Hash of the root token, from the process's flags; may be empty once the
  /// root of the tree holds one.
  std::string RootTokenHash;
  /// Wall clock, for audit entries.
  std::function<core::WallTime()> Now;
  /// The hosts known here, without this one; may be empty.
  std::function<std::vector<HostRevision>()> Hosts;
};

/// @brief Answers operators' requests; safe for use by any thread.
///
/// Reads of settings are answered from what is in force on this host, so they
/// go on while the store is down; changes and history need the store.
class AdminApi {
public:
  /// @brief Prepares the API.
  /// @param options what it needs of the host
  /// @param backend the store
  /// @param replica settings in force; must outlive the API
  AdminApi(AdminApiOptions options, SettingsBackend backend,
           SettingsReplica &replica);

  /// @brief Answers one request of the administration listener.
  /// @param request the request
  /// @return JSON; errors have the same shape as on the caller's side
  support::HttpResponse handle(const support::HttpRequest &request);

private:
  using Request = support::HttpRequest;
  using Response = support::HttpResponse;
  using InForce = std::shared_ptr<const SettingsInForce>;

  struct Call {
    const Request &Http;
    Operator Requester;
    /// In force when the call came in; never null.
    InForce Current;
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
  Response change(const Call &call, core::ChangeRequest request);

  AdminApiOptions Options;
  SettingsBackend Backend;
  SettingsReplica &Replica;
};

} // namespace savorytrestle::operators

#endif
