#ifndef SAVORYTRESTLE_OPERATORS_OPERATOR_AUTH_H
#define SAVORYTRESTLE_OPERATORS_OPERATOR_AUTH_H

/// @file
/// @brief Authentication and authorization of operators.

#include <optional>
#include <string>

#include "savorytrestle/core/SettingsChange.h"

namespace savorytrestle::operators {

/// @brief An authenticated operator.
struct Operator {
  /// Root of the subtree that they may read and change; the root of the tree
  /// for the root operator.
  core::SettingsPath Scope;
  /// Name in the audit log.
  std::string Actor;

  /// @brief Whether this is the root operator.
  /// @return true when the scope is the whole tree
  bool isRoot() const { return Scope.level() == core::SettingsLevel::Root; }
};

/// @brief Hashes a bearer token as the settings store it.
/// @param token the token
/// @return SHA-256 in 64 hexadecimal digits
std::string hashToken(const std::string &token);

/// @brief Finds the operator with the given bearer token; compares hashes in
/// constant time.
/// @param authorization value of the Authorization header
/// @param rootTokenHash hash of the root token from the process's flags; may
///   be empty
/// @param tree settings with further token hashes; may be null
/// @return the operator, or Unauthorized
core::Result<Operator> authenticate(const std::string &authorization,
                                    const std::string &rootTokenHash,
                                    const core::SettingsTree *tree);

/// @brief Checks whether an operator may make a change.
/// @param requester the operator
/// @param edits the change
/// @param tree the tree before the change
/// @return nothing, or Unauthorized with the reason
core::Result<void> authorize(const Operator &requester,
                             const std::vector<core::SettingEdit> &edits,
                             const core::SettingsTree &tree);

} // namespace savorytrestle::operators

#endif
