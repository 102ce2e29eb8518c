#ifndef SAVORYTRESTLE_STORE_ERA_RECORD_H
#define SAVORYTRESTLE_STORE_ERA_RECORD_H

/// @file
/// @brief The store's own record of its era, written by the first host that
/// notices a rise.

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "savorytrestle/core/Time.h"
#include "store/KvStore.h"
#include "support/BoundedJson.h"
#include "support/Log.h"

namespace savorytrestle::store {

/// @brief Key of the record.
inline const std::string EraRecordKey = "store/era";

/// @brief The era as the store records it.
struct RecordedEra {
  /// Nothing if the store knows no eras.
  std::optional<Era> StoreEra{};
  /// When a host first noticed the era; the epoch if the store has never come
  /// back from a copy. What was written before it may be lost.
  core::WallTime NoticedAt{};
  /// Revision of the record. A write that expects it can't take effect in a
  /// later era once that era is recorded.
  Revision At = NoItem;
};

/// @brief Reads the record of the present era; writes it if there is none.
/// @param store client of the store
/// @param now the wall clock
/// @param timeout bound on each call
/// @return the record, or the error of a call
template <KvStore Store>
core::Result<RecordedEra> confirmEra(Store &store, core::WallTime now,
                                     std::chrono::milliseconds timeout) {
  constexpr Era FirstEra = 1;
  constexpr int MaxAttempts = 4;
  for (int n = 0; n < MaxAttempts; ++n) {
    const auto item = store.get(EraRecordKey, timeout);
    if (!item)
      return tl::unexpected(item.error());
    const auto era = store.era();
    RecordedEra recorded{era, {}, *item ? (*item)->ModRevision : NoItem};
    if (!era || (!*item && *era <= FirstEra))
      return recorded;
    using Stated = std::pair<Era, std::int64_t>;
    const auto stated =
        *item ? support::decodeJson<Stated>(
                    (*item)->Value,
                    [](const nlohmann::json &object) {
                      return Stated(
                          object.at("era").get<Era>(),
                          object.at("noticed_ms").template get<std::int64_t>());
                    })
              : core::Result<Stated>(Stated(0, 0));
    if (stated && stated->first == *era) {
      recorded.NoticedAt =
          core::WallTime(std::chrono::milliseconds(stated->second));
      return recorded;
    }
    const auto written = store.compareAndSet(
        EraRecordKey,
        nlohmann::json{{"era", *era},
                       {"noticed_ms", now.time_since_epoch().count()}}
            .dump(),
        recorded.At, timeout);
    if (!written && written.error().Code != core::ErrorCode::OutcomeUnknown)
      return tl::unexpected(written.error());
    support::LogLine("store_era_recorded").with("era", *era);
  }
  return core::makeError(core::ErrorCode::StoreUnavailable,
                         "the record of the store's era can't be written");
}

} // namespace savorytrestle::store

#endif
