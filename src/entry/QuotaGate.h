#ifndef SAVORYTRESTLE_ENTRY_QUOTA_GATE_H
#define SAVORYTRESTLE_ENTRY_QUOTA_GATE_H

/// @file
/// @brief Charges callers' requests to the limits of their workspaces.

#include <utility>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "entry/CallerSession.h"
#include "savorytrestle/core/rates/RateBook.h"
#include "support/LogRateLimiter.h"
#include "support/Metrics.h"

namespace savorytrestle::entry {

class QuotaGate;

/// @brief Credit of one request. It is returned with the end of the object,
/// unless the request may have run.
class QuotaCharge {
public:
  QuotaCharge(std::weak_ptr<QuotaGate> gate, std::string workspace,
              core::CreditSource source)
      : Gate(std::move(gate)), Workspace(std::move(workspace)), Source(source) {
  }
  QuotaCharge(const QuotaCharge &) = delete;
  QuotaCharge &operator=(const QuotaCharge &) = delete;
  ~QuotaCharge();

  /// @brief Records that a leaf may have run the request.
  void onRun() { MayHaveRun = true; }

  /// @brief The workspace that was charged.
  const std::string &workspace() const { return Workspace; }

private:
  std::weak_ptr<QuotaGate> Gate;
  std::string Workspace;
  core::CreditSource Source;
  bool MayHaveRun = false;
};

/// @brief Admits requests of workspaces with a limit, and lets them wait
/// shortly for a grant.
class QuotaGate : public std::enable_shared_from_this<QuotaGate> {
public:
  using ChargePtr = std::shared_ptr<QuotaCharge>;
  /// Receives the charge, or null if the request is refused.
  using WaitHandler = std::function<void(ChargePtr)>;

  /// @brief Creates a gate without limits.
  /// @param io runs its timer
  /// @param ownId id of this host
  /// @param bound bound that the hosts have to keep together
  QuotaGate(boost::asio::io_context &io, std::string ownId,
            const core::RateBound &bound);

  /// @brief Takes the limits of a configuration.
  void setConfig(const core::ServingConfig &config);

  /// @brief Sets what is called when a request finds no credit; it may send
  /// requests for grants.
  void onDemand(std::function<void()> handler) { Demand = std::move(handler); }

  /// @brief Whether any workspace has a limit.
  bool hasLimits() const { return HasLimits; }

  /// @brief Whether requests of a workspace are limited.
  bool limited(const std::string &workspace) const {
    return HasLimits && Book.limited(workspace);
  }

  /// @brief Charges a new request if there is credit for it now; asks for
  /// grants otherwise.
  /// @param workspace a workspace for which @ref limited holds
  /// @return the charge, or null
  ChargePtr tryCharge(const std::string &workspace);

  /// @brief Waits for the credit of a request that @ref tryCharge didn't admit.
  /// @param workspace its workspace
  /// @param maxWait longest wait
  /// @param onEnd called once, unless the request is cancelled; within this
  /// call if no grant can be expected
  /// @return cancels the request while it waits; null if it doesn't
  CancelHandler wait(const std::string &workspace,
                     std::chrono::milliseconds maxWait, WaitHandler onEnd);

  /// @brief Records and logs the refusal of a request.
  /// @return time after which its caller may come again
  std::chrono::milliseconds refuse(const std::string &workspace,
                                   const std::string &requestId);

  /// @brief Admits the requests for which there is credit now, and refuses
  /// those that waited for too long.
  void serveWaiting();

  /// @brief What this host lends and borrows.
  core::RateBook &book() { return Book; }

  /// @brief Writes the metrics of the largest workspaces.
  void writeMetrics(support::Metrics &metrics);

private:
  struct Waiter {
    std::uint64_t Number = 0;
    std::chrono::steady_clock::time_point Deadline{};
    WaitHandler OnEnd;
  };

  ChargePtr makeCharge(const std::string &workspace, core::CreditSource source);
  double draw() { return std::uniform_real_distribution<>()(Random); }
  void cancel(const std::string &workspace, std::uint64_t number);
  void scheduleServe();

  boost::asio::steady_timer Timer;
  core::RateBook Book;
  std::function<void()> Demand;
  std::map<std::string, std::deque<Waiter>> Waiting;
  std::uint64_t LastWaiter = 0;
  std::minstd_rand Random{std::random_device{}()};
  support::LogRateLimiter RefusalLog;
  bool HasLimits = false;
  bool TimerRunning = false;
};

} // namespace savorytrestle::entry

#endif
