#ifndef SAVORYTRESTLE_ENTRY_CALLER_IDENTITY_H
#define SAVORYTRESTLE_ENTRY_CALLER_IDENTITY_H

/// @file
/// @brief Finds the workspace of a request, and names it to leaves.

#include <tl/expected.hpp>

#include "entry/CallerSession.h"
#include "entry/Refusal.h"
#include "savorytrestle/core/keys/KeyRing.h"
#include "support/HeaderNames.h"

namespace savorytrestle::entry {

/// @brief Makes a random secret for this process's key rings.
core::KeyRingSecret makeKeyRingSecret();

/// @brief Finds the workspace of a request by its key, or by the name that the
/// relaying host states.
/// @param request the request, with the headers that came with it
/// @param route its route
/// @param config the configuration in force
/// @param keys the keys of that configuration
/// @param relayed whether a host sent it
/// @return the workspace; null if the configuration has none; for a key that is
/// missing, malformed or unknown null on a public route, else 401; 503 for a
/// workspace of a relay that this host doesn't know
tl::expected<const core::WorkspaceRule *, Refusal>
findWorkspace(const CallerRequest &request, const core::RouteRule &route,
              const core::ServingConfig &config, const core::KeyRing &keys,
              bool relayed);

/// @brief Replaces what a request says of its workspace: leaves get the name of
/// the workspace in place of the key. Authorization headers of other schemes
/// are kept unless they hold a key.
/// @param keys the keys of the configuration
/// @param workspace the request's workspace, or null
void setWorkspaceHeaders(CallerRequest &request,
                         const support::HeaderNames &names,
                         const core::ServingConfig &config,
                         const core::KeyRing &keys,
                         const core::WorkspaceRule *workspace);

} // namespace savorytrestle::entry

#endif
