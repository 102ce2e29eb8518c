#ifndef SAVORYTRESTLE_OPERATORS_SETTINGS_PRINT_H
#define SAVORYTRESTLE_OPERATORS_SETTINGS_PRINT_H

/// @file
/// @brief Prints replies of the administration API as text.

#include <ostream>

#include <nlohmann/json.hpp>

namespace savorytrestle::operators {

/// @brief Prints a successful reply as text.
/// @param reply JSON body of a successful call
/// @param out stream to print to
void printReply(const nlohmann::json &reply, std::ostream &out);

/// @brief Prints an error reply and the conflicting changes that it lists.
/// @param reply JSON body of a failed call
/// @param err stream to print to
void printError(const nlohmann::json &reply, std::ostream &err);

} // namespace savorytrestle::operators

#endif
