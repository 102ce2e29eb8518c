#include "operators/SettingsStore.h"

namespace savorytrestle::operators {

std::string_view name(CommitOutcome outcome) {
  switch (outcome) {
  case CommitOutcome::Accepted:
    return "accepted";
  case CommitOutcome::Conflict:
    return "conflict";
  case CommitOutcome::Invalid:
    return "invalid";
  case CommitOutcome::NotMade:
    return "not_made";
  case CommitOutcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

} // namespace savorytrestle::operators
