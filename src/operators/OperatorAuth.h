#ifndef SAVORYTRESTLE_OPERATORS_OPERATOR_AUTH_H
#define SAVORYTRESTLE_OPERATORS_OPERATOR_AUTH_H

/// @file
/// @brief Who an operator is, and what they may change.

#include <optional>
#include <string>

#include "savorytrestle/core/SettingsChange.h"

namespace savorytrestle::operators {

/// @brief An authenticated operator.
struct Operator {
  /// Subtree that they may read and change; the root for the root operator.
  core::SettingsPath Scope;
  /// How the audit trail names them.
  std::string Actor;

  /// @brief Whether this is the root operator.
  /// @return true when the scope is the whole tree
  bool isRoot() const { return Scope.level() == core::SettingsLevel::Root; }
};

/// @brief Hash of a bearer token, as settings hold it.
/// @param token the token
/// @return SHA-256 in 64 hexadecimal digits
std::string hashToken(const std::string &token);

/// @brief Finds the operator whose token this is.
/// @param authorization value of the Authorization header
/// @param rootTokenHash hash of the root token given to the process; may be
///   empty
/// @param tree settings with further token hashes; may be null
/// @return the operator, or Unauthorized; compares in constant time
core::Result<Operator> authenticate(const std::string &authorization,
                                    const std::string &rootTokenHash,
                                    const core::SettingsTree *tree);

/// @brief Whether an operator may make a change.
/// @param requester the operator
/// @param edits the change
/// @param tree the tree it changes
/// @return nothing, or Unauthorized with the reason
core::Result<void> authorize(const Operator &requester,
                             const std::vector<core::SettingEdit> &edits,
                             const core::SettingsTree &tree);

} // namespace savorytrestle::operators

#endif
