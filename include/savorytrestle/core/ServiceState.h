#ifndef SAVORYTRESTLE_CORE_SERVICE_STATE_H
#define SAVORYTRESTLE_CORE_SERVICE_STATE_H

/// @file
/// @brief State shared by the searches of one service.

#include "savorytrestle/core/ExtraLoadBudget.h"
#include "savorytrestle/core/HedgeDelays.h"
#include "savorytrestle/core/LeafSelector.h"
#include "savorytrestle/core/SnapshotCatalog.h"

namespace savorytrestle::core {

/// @brief State shared by all searches of one service on one host. The
/// referenced objects outlive the searches; all are used from one thread.
template <LeafSelector Selector> struct ServiceState {
  /// Handle such as PinnedLeaves, copied into each search.
  Selector Leaves;
  SnapshotCatalog &Catalog;
  ExtraLoadBudget &Budget;
  HedgeDelays &Hedges;
};

} // namespace savorytrestle::core

#endif
