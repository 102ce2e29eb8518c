#ifndef SAVORYTRESTLE_ENTRY_QUOTA_GATE_H
#define SAVORYTRESTLE_ENTRY_QUOTA_GATE_H

/// @file
/// @brief Charges callers' requests to the limits of their workspaces.

#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <utility>

#include "savorytrestle/core/ServingConfig.h"
#include "savorytrestle/core/rates/RateBook.h"
#include "support/LogRateLimiter.h"
#include "support/Metrics.h"

namespace savorytrestle::entry {

class QuotaGate;

/// @brief Credit of one request. It is returned with the end of the object,
/// unless the request may have run.
class QuotaCharge {
public:
  QuotaCharge(std::weak_ptr<QuotaGate> gate, std::string workspace)
      : Gate(std::move(gate)), Workspace(std::move(workspace)) {}
  QuotaCharge(const QuotaCharge &) = delete;
  QuotaCharge &operator=(const QuotaCharge &) = delete;
  ~QuotaCharge();

  /// @brief Records that a leaf may have run the request.
  void onRun() { MayHaveRun = true; }

private:
  std::weak_ptr<QuotaGate> Gate;
  std::string Workspace;
  bool MayHaveRun = false;
};

/// @brief Admits requests of workspaces with a limit.
class QuotaGate : public std::enable_shared_from_this<QuotaGate> {
public:
  using ChargePtr = std::shared_ptr<QuotaCharge>;

  /// @brief Creates a gate without limits.
  /// @param ownId id of this host
  /// @param bound bound that the hosts have to keep together
  QuotaGate(std::string ownId, const core::RateBound &bound)
      : Book(std::move(ownId), bound) {}

  /// @brief Takes the limits of a configuration.
  void setConfig(const core::ServingConfig &config);

  /// @brief Whether any workspace has a limit.
  bool hasLimits() const { return HasLimits; }

  /// @brief Whether requests of a workspace are limited.
  bool limited(const std::string &workspace) const {
    return HasLimits && Book.limited(workspace);
  }

  /// @brief Charges a request.
  /// @param workspace a workspace for which @ref limited holds
  /// @return the charge, or null if the request is over the limit
  ChargePtr tryCharge(const std::string &workspace);

  /// @brief Logs the refusal of a request.
  /// @return time after which its caller may come again
  std::chrono::milliseconds refuse(const std::string &workspace,
                                   const std::string &requestId);

  /// @brief The limits on this host.
  core::RateBook &book() { return Book; }

  /// @brief Writes the metrics of the largest workspaces.
  void writeMetrics(support::Metrics &metrics) const;

private:
  double draw() { return std::uniform_real_distribution<>()(Random); }

  core::RateBook Book;
  std::minstd_rand Random{std::random_device{}()};
  support::LogRateLimiter RefusalLog;
  bool HasLimits = false;
};

} // namespace savorytrestle::entry

#endif
