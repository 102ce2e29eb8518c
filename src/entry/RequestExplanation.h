#ifndef SAVORYTRESTLE_ENTRY_REQUEST_EXPLANATION_H
#define SAVORYTRESTLE_ENTRY_REQUEST_EXPLANATION_H

/// @file
/// @brief States where a request would be sent now, and why, without sending it
/// and without a change of any state.

#include <chrono>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "entry/CallerSession.h"
#include "leaf/LeafDirectory.h"
#include "savorytrestle/core/Error.h"

namespace savorytrestle::entry {

/// @brief The request that is asked for.
struct ExplainQuery {
  /// Host name and path of the request.
  std::string Host;
  std::string Path;
  /// Time that the caller has; 0 for the route's.
  std::chrono::milliseconds Deadline{0};
  /// Its workspace; empty for none.
  std::string Workspace;
};

/// @brief Whether a request's target is that of an explanation.
bool isExplain(std::string_view target);

/// @brief Reads the query of `/explain?host=..&path=..&deadline_ms=..
/// &workspace=..`.
/// @return InvalidSettings if host or path is missing or the deadline isn't a
/// positive number
core::Result<ExplainQuery> parseExplainQuery(std::string_view target);

/// @brief Explains a request: its route, regions and, for each service that it
/// may be sent to, the leaves in the order of their cost. O(leaves of the
/// services).
/// @param config the configuration in force; null if there is none
/// @param leaves all services and their leaves
/// @param query the request
/// @return the explanation; its `refusal` states why the request isn't served
nlohmann::json explainRequest(const core::ServingConfig *config,
                              const leaf::LeafDirectory &leaves,
                              const ExplainQuery &query);

/// @brief Answers a request on the status listener for which @ref isExplain
/// holds: 200 with JSON, or 400.
CallerAnswer answerExplain(const core::ServingConfig *config,
                           const leaf::LeafDirectory &leaves,
                           std::string_view target);

} // namespace savorytrestle::entry

#endif
