#include "savorytrestle/core/Error.h"

namespace savorytrestle::core {

std::string_view name(ErrorCode code) {
  switch (code) {
  case ErrorCode::BadRequest:
    return "bad_request";
  case ErrorCode::UnknownWorkspace:
    return "unknown_workspace";
  case ErrorCode::UnknownRoute:
    return "unknown_route";
  case ErrorCode::DeadlineInvalid:
    return "deadline_invalid";
  case ErrorCode::Unauthorized:
    return "unauthorized";
  case ErrorCode::Conflict:
    return "conflict";
  case ErrorCode::InvalidSettings:
    return "invalid_settings";
  case ErrorCode::Overloaded:
    return "overloaded";
  case ErrorCode::Quarantined:
    return "quarantined";
  case ErrorCode::Draining:
    return "draining";
  case ErrorCode::StoreUnavailable:
    return "store_unavailable";
  case ErrorCode::OutcomeUnknown:
    return "outcome_unknown";
  case ErrorCode::BackendFailed:
    return "backend_failed";
  case ErrorCode::DeadlineExceeded:
    return "deadline_exceeded";
  case ErrorCode::NotFound:
    return "not_found";
  case ErrorCode::Internal:
    return "internal";
  }
  return "internal";
}

std::string_view name(RunState state) {
  switch (state) {
  case RunState::NotRun:
    return "not_run";
  case RunState::Ran:
    return "ran";
  case RunState::Unknown:
    return "unknown";
  }
  return "unknown";
}

} // namespace savorytrestle::core
