#include "registry/HostPresence.h"

#include "platform/StoreProtocol.h"
#include "registry/HostFeed.h"
#include "support/Log.h"

namespace savorytrestle::registry {

using std::chrono::milliseconds;

namespace {

/// A host that is gone counts until then; the count only sets shares of
/// budgets, which are on the safe side while it is too high.
constexpr milliseconds LeaseTime{15000};
/// Three renewals fit into a lease, so that two may be lost.
constexpr milliseconds RenewInterval{4500};
constexpr milliseconds RetryInterval{1000};
constexpr milliseconds ReplyTimeout{1500};
/// Gathers what several requests tell at once.
constexpr milliseconds TellDelay{1000};
/// Keeps the item small; requests that crash leaves are few.
constexpr std::size_t MaxQuarantineRecords = 32;

core::WallTime recordTime() {
  return core::steadyTimeAsWallTime(std::chrono::steady_clock::now());
}

} // namespace

HostPresence::HostPresence(boost::asio::io_context &io,
                           const boost::asio::ip::tcp::endpoint &store,
                           HostEntry own)
    : Timer(io),
      Connection(std::make_shared<store::StoreConnection>(io, store)),
      Own(std::move(own)) {}

void HostPresence::start() { grant(); }

void HostPresence::stop() {
  Stopped = true;
  Timer.cancel();
  Connection->close();
  if (Lease != 0)
    Connection->call(
        platform::encodeEndLease(Lease), ReplyTimeout,
        [](const store::StoreReply &) {}); // the lease ends by itself too
}

void HostPresence::tell(const std::vector<core::QuarantineRecord> &records) {
  Own.QuarantineRecords.insert(Own.QuarantineRecords.end(), records.begin(),
                               records.end());
  if (Own.QuarantineRecords.size() > MaxQuarantineRecords)
    Own.QuarantineRecords.erase(Own.QuarantineRecords.begin(),
                                Own.QuarantineRecords.end() -
                                    MaxQuarantineRecords);
  Untold = true;
  // What comes again and again mustn't keep the lease from its renewal, which
  // tells what is left.
  if (Waiting && Lease != store::NoLease &&
      std::chrono::steady_clock::now() < RenewBy)
    wait(TellDelay, &HostPresence::announce);
}

void HostPresence::grant() {
  Connection->call(
      platform::encodeGrantLease(LeaseTime), ReplyTimeout,
      [self = shared_from_this()](const store::StoreReply &reply) {
        const auto lease =
            reply.Status == platform::StatusOk
                ? platform::decodeLease(reply.Body)
                : core::makeError(core::ErrorCode::StoreUnavailable, "");
        if (!lease)
          return self->wait(RetryInterval, &HostPresence::grant);
        self->Lease = lease->Id;
        self->RenewBy = std::chrono::steady_clock::now() + RenewInterval;
        self->announce();
      });
}

void HostPresence::announce() {
  Untold = false;
  Connection->call(
      platform::encodeTransaction(
          {{},
           {{HostPrefix + Own.Id, encodeHostEntry(Own, recordTime()), Lease}},
           {}}),
      ReplyTimeout,
      [self = shared_from_this()](const store::StoreReply &reply) {
        if (reply.Status == platform::StatusOk)
          return self->wait(RenewInterval, &HostPresence::renew);
        self->wait(RetryInterval, reply.Status == platform::StatusNotFound
                                      ? &HostPresence::grant
                                      : &HostPresence::announce);
      });
}

void HostPresence::renew() {
  Connection->call(
      platform::encodeRenewLease(Lease), ReplyTimeout,
      [self = shared_from_this()](const store::StoreReply &reply) {
        if (reply.Status == platform::StatusOk) {
          self->RenewBy = std::chrono::steady_clock::now() + RenewInterval;
          return self->Untold ? self->announce()
                              : self->wait(RenewInterval, &HostPresence::renew);
        }
        if (reply.Status != platform::StatusNotFound)
          return self->wait(RetryInterval, &HostPresence::renew);
        support::LogLine("host_lease_lost").with("lease", self->Lease);
        self->grant();
      });
}

void HostPresence::wait(milliseconds span, void (HostPresence::*next)()) {
  if (Stopped)
    return;
  Waiting = true;
  Timer.expires_after(span);
  Timer.async_wait(
      [self = shared_from_this(), next](const boost::system::error_code &ec) {
        if (ec || self->Stopped)
          return;
        self->Waiting = false;
        ((*self).*next)();
      });
}

} // namespace savorytrestle::registry
