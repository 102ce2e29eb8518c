#include "registry/HostPresence.h"

#include "platform/StoreProtocol.h"
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
constexpr unsigned Ok = 200;
constexpr unsigned NoSuchLease = 404;

} // namespace

HostPresence::HostPresence(boost::asio::io_context &io,
                           const boost::asio::ip::tcp::endpoint &store,
                           std::string name)
    : Timer(io), Connection(std::make_shared<StoreConnection>(io, store)),
      Name(std::move(name)) {}

void HostPresence::start() { grant(); }

void HostPresence::stop() {
  Stopped = true;
  Timer.cancel();
  Connection->close();
  if (Lease != 0)
    Connection->call(platform::endLease(Lease), ReplyTimeout,
                     [](const StoreReply &) {}); // the lease ends by itself too
}

void HostPresence::grant() {
  Connection->call(platform::grantLease(LeaseTime), ReplyTimeout,
                   [self = shared_from_this()](const StoreReply &reply) {
                     const auto lease =
                         reply.Status == Ok
                             ? platform::decodeLease(reply.Body)
                             : core::makeError(
                                   core::ErrorCode::StoreUnavailable, "");
                     if (!lease)
                       return self->wait(RetryInterval, &HostPresence::grant);
                     self->Lease = lease->Id;
                     self->announce();
                   });
}

void HostPresence::announce() {
  Connection->call(platform::putLeased(HostPrefix + Name, "", Lease),
                   ReplyTimeout,
                   [self = shared_from_this()](const StoreReply &reply) {
                     if (reply.Status == Ok)
                       return self->wait(RenewInterval, &HostPresence::renew);
                     self->wait(RetryInterval, reply.Status == NoSuchLease
                                                   ? &HostPresence::grant
                                                   : &HostPresence::announce);
                   });
}

void HostPresence::renew() {
  Connection->call(
      platform::renewLease(Lease), ReplyTimeout,
      [self = shared_from_this()](const StoreReply &reply) {
        if (reply.Status == Ok)
          return self->wait(RenewInterval, &HostPresence::renew);
        if (reply.Status != NoSuchLease)
          return self->wait(RetryInterval, &HostPresence::renew);
        support::LogLine("host_lease_lost").with("lease", self->Lease);
        self->grant();
      });
}

void HostPresence::wait(milliseconds span, void (HostPresence::*next)()) {
  if (Stopped)
    return;
  Timer.expires_after(span);
  Timer.async_wait(
      [self = shared_from_this(), next](const boost::system::error_code &ec) {
        if (!ec && !self->Stopped)
          ((*self).*next)();
      });
}

} // namespace savorytrestle::registry
