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
/// After a rise of the store's era all hosts write their entries again: 200 a
/// second.
constexpr milliseconds RelistSpreadPerHost{5};
constexpr milliseconds ReplyTimeout{1500};
/// Collects the data of several requests in one write.
constexpr milliseconds WriteDelay{1000};
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
                           HostEntry entry,
                           std::shared_ptr<store::EraTracker> eras)
    : Timer(io),
      Connection(std::make_shared<store::StoreConnection>(io, store, eras)),
      Entry(std::move(entry)), Eras(std::move(eras)) {}

void HostPresence::start() {
  Eras->onRise([weak = weak_from_this()](store::Era) {
    if (const auto self = weak.lock())
      self->onEraRise();
  });
  requestLease();
}

void HostPresence::onEraRise() {
  // A call in flight ends first; its handler asks for the lease.
  if (CallScheduled)
    replacedLostLease();
}

bool HostPresence::replacedLostLease() {
  if (Lease == store::NoLease || LeaseEra == Eras->current())
    return false;
  support::LogLine("host_lease_lost")
      .with("lease", Lease)
      .with("why", "store era");
  // The store may have given the id to another host.
  Lease = store::NoLease;
  const auto spread = RelistSpreadPerHost * HostCount;
  scheduleCall(milliseconds(std::uniform_int_distribution<std::int64_t>(
                   0, spread.count())(Random)),
               &HostPresence::requestLease);
  return true;
}

void HostPresence::stop() {
  Stopped = true;
  Timer.cancel();
  Connection->close();
  if (Lease != 0)
    Connection->call(
        platform::encodeEndLease(Lease), ReplyTimeout,
        [](const store::StoreReply &) {}); // on failure the lease expires
}

void HostPresence::setRecords(
    const std::vector<core::QuarantineRecord> &records) {
  if (Entry.QuarantineRecords == records)
    return;
  Entry.QuarantineRecords = records;
  scheduleWrite();
}

void HostPresence::addLeavingLeaves(const std::vector<core::LeafRun> &runs) {
  appendNewest(Entry.LeavingLeaves, runs, MaxLeavingLeaves);
  scheduleWrite();
}

void HostPresence::setRateLimits(const std::map<core::LeafRun, double> &limits,
                                 const std::set<core::LeafRun> &ended) {
  Entry.RateLimits = limits;
  Entry.EndedRateLimits = ended;
  scheduleWrite();
}

void HostPresence::setLeavesLost(bool lost) {
  if (Entry.LeavesLost == lost)
    return;
  Entry.LeavesLost = lost;
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
  LeaseEra = Eras->current();
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
        // The first answer of all tells the era.
        if (!self->LeaseEra)
          self->LeaseEra = self->Eras->current();
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
                     if (self->replacedLostLease())
                       return;
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
        if (self->replacedLostLease())
          return;
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
