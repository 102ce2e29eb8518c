#include "registry/HostPresence.h"

#include "platform/StoreProtocol.h"
#include "registry/HostFeed.h"
#include "support/Log.h"

namespace savorytrestle::registry {

using std::chrono::milliseconds;

namespace {

/// A stopped host counts as live until its lease ends. The count only sets the
/// hosts' shares of budgets, and a count that is too high makes them smaller,
/// which is safe.
constexpr milliseconds LeaseTime{15000};
/// Three renewals fit into the lease time, so that two may fail.
constexpr milliseconds RenewInterval{4500};
constexpr milliseconds RetryInterval{1000};
constexpr milliseconds ReplyTimeout{1500};
/// Collects the data of several requests in one write.
constexpr milliseconds WriteDelay{1000};
/// Keeps the item small; few requests crash leaves.
constexpr std::size_t MaxQuarantineRecords = 32;
/// Leaves of a service that is replaced leave one after the other.
constexpr std::size_t MaxLeavingLeaves = 64;

/// Appends items and drops the oldest beyond a limit.
template <typename T>
void appendNewest(std::vector<T> &items, const std::vector<T> &added,
                  std::size_t limit) {
  items.insert(items.end(), added.begin(), added.end());
  if (items.size() > limit)
    items.erase(items.begin(), items.end() - static_cast<long>(limit));
}

core::WallTime recordTime() {
  return core::steadyTimeAsWallTime(std::chrono::steady_clock::now());
}

} // namespace

HostPresence::HostPresence(boost::asio::io_context &io,
                           const boost::asio::ip::tcp::endpoint &store,
                           HostEntry entry)
    : Timer(io),
      Connection(std::make_shared<store::StoreConnection>(io, store)),
      Entry(std::move(entry)) {}

void HostPresence::start() { requestLease(); }

void HostPresence::stop() {
  Stopped = true;
  Timer.cancel();
  Connection->close();
  if (Lease != 0)
    Connection->call(
        platform::encodeEndLease(Lease), ReplyTimeout,
        [](const store::StoreReply &) {}); // on failure the lease expires
}

void HostPresence::addRecords(
    const std::vector<core::QuarantineRecord> &records) {
  appendNewest(Entry.QuarantineRecords, records, MaxQuarantineRecords);
  scheduleWrite();
}

void HostPresence::addLeavingLeaves(const std::vector<core::LeafRun> &runs) {
  appendNewest(Entry.LeavingLeaves, runs, MaxLeavingLeaves);
  scheduleWrite();
}

void HostPresence::scheduleWrite() {
  HasUnsentData = true;
  // Frequent data must not postpone the renewal of the lease; after the
  // renewal the entry is written with the data that is left.
  if (CallScheduled && Lease != store::NoLease &&
      std::chrono::steady_clock::now() < RenewBy)
    scheduleCall(WriteDelay, &HostPresence::writeEntry);
}

void HostPresence::requestLease() {
  Connection->call(
      platform::encodeGrantLease(LeaseTime), ReplyTimeout,
      [self = shared_from_this()](const store::StoreReply &reply) {
        const auto lease =
            reply.Status == platform::StatusOk
                ? platform::decodeLease(reply.Body)
                : core::makeError(core::ErrorCode::StoreUnavailable, "");
        if (!lease)
          return self->scheduleCall(RetryInterval, &HostPresence::requestLease);
        self->Lease = lease->Id;
        self->RenewBy = std::chrono::steady_clock::now() + RenewInterval;
        self->writeEntry();
      });
}

void HostPresence::writeEntry() {
  HasUnsentData = false;
  Connection->call(platform::encodeTransaction(
                       {{},
                        {{HostPrefix + Entry.Id,
                          encodeHostEntry(Entry, recordTime()), Lease}},
                        {}}),
                   ReplyTimeout,
                   [self = shared_from_this()](const store::StoreReply &reply) {
                     if (reply.Status == platform::StatusOk)
                       return self->scheduleCall(RenewInterval,
                                                 &HostPresence::renewLease);
                     self->scheduleCall(RetryInterval,
                                        reply.Status == platform::StatusNotFound
                                            ? &HostPresence::requestLease
                                            : &HostPresence::writeEntry);
                   });
}

void HostPresence::renewLease() {
  Connection->call(
      platform::encodeRenewLease(Lease), ReplyTimeout,
      [self = shared_from_this()](const store::StoreReply &reply) {
        if (reply.Status == platform::StatusOk) {
          self->RenewBy = std::chrono::steady_clock::now() + RenewInterval;
          return self->HasUnsentData
                     ? self->writeEntry()
                     : self->scheduleCall(RenewInterval,
                                          &HostPresence::renewLease);
        }
        if (reply.Status != platform::StatusNotFound)
          return self->scheduleCall(RetryInterval, &HostPresence::renewLease);
        support::LogLine("host_lease_lost").with("lease", self->Lease);
        self->requestLease();
      });
}

void HostPresence::scheduleCall(milliseconds delay,
                                void (HostPresence::*next)()) {
  if (Stopped)
    return;
  CallScheduled = true;
  Timer.expires_after(delay);
  Timer.async_wait(
      [self = shared_from_this(), next](const boost::system::error_code &ec) {
        if (ec || self->Stopped)
          return;
        self->CallScheduled = false;
        ((*self).*next)();
      });
}

} // namespace savorytrestle::registry
