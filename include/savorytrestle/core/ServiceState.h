#ifndef SAVORYTRESTLE_CORE_SERVICE_STATE_H
#define SAVORYTRESTLE_CORE_SERVICE_STATE_H

/// @file
/// @brief What the searches of one service share.

#include "savorytrestle/core/ExtraLoadBudget.h"
#include "savorytrestle/core/HedgeDelays.h"
#include "savorytrestle/core/LeafSelector.h"
#include "savorytrestle/core/SnapshotCatalog.h"

namespace savorytrestle::core {

/// @brief What all searches of one service on one host share; it outlives them
/// and is used from one thread.
template <LeafSelector Selector> struct ServiceState {
  /// A handle, copied into each search (PinnedLeaves).
  Selector Leaves;
  SnapshotCatalog &Catalog;
  ExtraLoadBudget &Budget;
  HedgeDelays &Hedges;
};

} // namespace savorytrestle::core

#endif
