#include "registry/HostPresence.h"

#include <algorithm>

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
/// Hosts that start together have announced themselves by then.
constexpr milliseconds SecondCount{1500};
/// Hosts assumed at the first count, which others of a joint start may miss.
constexpr std::size_t AssumedAtStart = 8;
constexpr milliseconds ReplyTimeout{1500};
constexpr unsigned Ok = 200;
constexpr unsigned NoSuchLease = 404;

} // namespace

HostPresence::HostPresence(boost::asio::io_context &io,
                           const boost::asio::ip::tcp::endpoint &store,
                           HostEntry own, HostsHandler onHosts)
    : Timer(io), Connection(std::make_shared<StoreConnection>(io, store)),
      Own(std::move(own)), OnHosts(std::move(onHosts)) {}

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
  Connection->call(
      platform::putLeased(HostPrefix + Own.Id, encodeHostEntry(Own), Lease),
      ReplyTimeout, [self = shared_from_this()](const StoreReply &reply) {
        if (reply.Status == Ok)
          return self->count();
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
          return self->count();
        if (reply.Status != NoSuchLease)
          return self->wait(RetryInterval, &HostPresence::renew);
        support::LogLine("host_lease_lost").with("lease", self->Lease);
        self->grant();
      });
}

void HostPresence::count() {
  // The first read is exact: what it finds sets the connections that requests
  // may use from the start.
  Connection->call(Counts == 0 ? platform::readRange(HostPrefix, "")
                               : platform::readRangeStale(HostPrefix),
                   ReplyTimeout,
                   [self = shared_from_this()](const StoreReply &reply) {
                     self->onCounted(reply);
                   });
}

void HostPresence::onCounted(const StoreReply &reply) {
  const auto page =
      reply.Status == Ok
          ? platform::decodeRange(reply.Body)
          : core::makeError(core::ErrorCode::StoreUnavailable, reply.Why);
  if (!page) {
    support::LogLine("hosts_not_counted")
        .with("status", reply.Status)
        .with("why", page.error().Message);
  } else {
    // A host that is gone still counts: one that is only cut off goes on
    // spending its part of what the hosts share.
    const HostCount hosts = countOf(*page);
    if (hosts.All != Reported)
      support::LogLine("hosts_known")
          .with("hosts", hosts.All)
          .with("own_domain", hosts.OwnDomain);
    Reported = hosts.All;
    OnHosts(hosts);
  }
  wait(Counts++ == 0 ? SecondCount : RenewInterval, &HostPresence::renew);
}

HostCount HostPresence::countOf(const StorePage &page) {
  HostCount hosts;
  for (const StoredItem &item : page.Items) {
    const std::string id = item.Key.substr(std::string(HostPrefix).size());
    auto entry = decodeHostEntry(id, item.Value);
    Seen[id] = entry ? entry->FailureDomain : "";
    if (entry)
      hosts.There.push_back(std::move(*entry));
    else
      support::LogLine("host_entry_skipped")
          .with("host", id)
          .with("why", entry.error().Message);
  }
  hosts.All = Counts == 0 ? std::max(Seen.size(), AssumedAtStart) : Seen.size();
  hosts.OwnDomain = static_cast<std::size_t>(
      std::count_if(Seen.begin(), Seen.end(), [this](const auto &it) {
        return it.second == Own.FailureDomain;
      }));
  return hosts;
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
