#ifndef SAVORYTRESTLE_OPERATORS_ADMIN_REPLIES_H
#define SAVORYTRESTLE_OPERATORS_ADMIN_REPLIES_H

/// @file
/// @brief JSON replies of the administration API.

#include <string>
#include <vector>

#include "operators/SettingsStore.h"
#include "support/HttpServer.h"

namespace savorytrestle::operators {

/// @brief A reply with a JSON body.
/// @param body the body
/// @return status 200
support::HttpResponse jsonReply(const nlohmann::json &body);

/// @brief A typed error.
/// @param error the error
/// @param status HTTP status; 0 picks the one that fits the error's code
/// @return the reply, with Retry-After when the error names a time
support::HttpResponse errorReply(const core::Error &error, int status = 0);

/// @brief How a change ended.
/// @param result the end
/// @param changeId id of the change
/// @return 200, 409, 422, 503 (not made) or 504 (unknown)
support::HttpResponse commitReply(const CommitResult &result,
                                  const std::string &changeId);

/// @brief Audit entries cut down to a subtree.
/// @param entries the entries
/// @param scope the subtree
/// @return those that touch the subtree, with the items in it
std::vector<core::AuditEntry>
withinScope(const std::vector<core::AuditEntry> &entries,
            const core::SettingsPath &scope);

/// @brief Audit entries as JSON.
/// @param entries the entries
/// @return an array
nlohmann::json entriesJson(const std::vector<core::AuditEntry> &entries);

/// @brief Edits as JSON.
/// @param edits the edits
/// @param before the tree that they change
/// @return an array of path, key, old and new
nlohmann::json editsJson(const std::vector<core::SettingEdit> &edits,
                         const core::SettingsTree &before);

/// @brief Net effect of several changes.
/// @param entries the changes, newest first
/// @return an array of path, key, old and new, without what ended as it began
nlohmann::json netChanges(const std::vector<core::AuditEntry> &entries);

} // namespace savorytrestle::operators

#endif
