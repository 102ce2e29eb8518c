#ifndef SAVORYTRESTLE_OPERATORS_ADMIN_REPLIES_H
#define SAVORYTRESTLE_OPERATORS_ADMIN_REPLIES_H

/// @file
/// @brief JSON replies of the administration API.

#include <string>
#include <vector>

#include "operators/SettingsStore.h"
#include "support/HttpServer.h"

namespace savorytrestle::operators {

/// @brief Makes a reply with status 200 and a JSON body.
/// @param body the body
/// @return the reply
support::HttpResponse jsonReply(const nlohmann::json &body);

/// @brief Makes an error reply.
/// @param error the error
/// @param status HTTP status; 0 derives it from the error's code
/// @return the reply, with Retry-After if the error has a retry delay
support::HttpResponse errorReply(const core::Error &error, int status = 0);

/// @brief Makes the reply to a change.
/// @param result result of the change
/// @param changeId id of the change
/// @return a reply with status 200, 409, 422, 503 (change was not made) or 504
///   (outcome unknown)
support::HttpResponse commitReply(const CommitResult &result,
                                  const std::string &changeId);

/// @brief Restricts audit entries to a subtree.
/// @param entries the entries
/// @param scope root of the subtree
/// @return the entries that change the subtree, with only the items in it; all
///   entries if the scope is the root
std::vector<core::AuditEntry>
withinScope(const std::vector<core::AuditEntry> &entries,
            const core::SettingsPath &scope);

/// @brief Converts audit entries to JSON.
/// @param entries the entries
/// @return a JSON array
nlohmann::json entriesJson(const std::vector<core::AuditEntry> &entries);

/// @brief Converts edits to JSON.
/// @param edits the edits
/// @param before the tree before the edits
/// @return an array of objects with path, key, old and new; empty if the edits
///   can't be applied
nlohmann::json editsJson(const std::vector<core::SettingEdit> &edits,
                         const core::SettingsTree &before);

/// @brief Computes the net effect of several changes.
/// @param entries the changes, newest first
/// @return an array of objects with path, key, old and new; values that are the
///   same before and after all changes are left out
nlohmann::json netChanges(const std::vector<core::AuditEntry> &entries);

} // namespace savorytrestle::operators

#endif
