#ifndef SAVORYTRESTLE_TESTS_RATE_FLEET_H
#define SAVORYTRESTLE_TESTS_RATE_FLEET_H

/// @file
/// @brief A fleet of hosts that share rate limits, in virtual time, with links,
/// a host list and a store that fail.

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "savorytrestle/core/rates/RateBook.h"

namespace savorytrestle::tests {

using std::chrono::milliseconds;

/// @brief Hosts with one @ref core::RateBook each.
class RateFleet {
public:
  static constexpr milliseconds Step{10};
  static constexpr milliseconds MaxWait{60};

  struct Workspace {
    core::RateQuota Limit;
    /// Requests a second at each host that gets any.
    std::map<std::size_t, double> Demand;
    std::vector<core::TimePoint> Sent;
    std::size_t Offered = 0;
    std::size_t Admitted = 0;
    std::size_t AdmittedAtOnce = 0;
  };

  struct Host {
    std::string Id;
    std::unique_ptr<core::RateBook> Book;
    /// Side of the partition; hosts of different sides exchange nothing, and
    /// only side 0 reaches the store.
    int Side = 0;
    bool Alive = true;
    core::TimePoint PausedUntil{};
    core::TimePoint ConfirmedAt{};
    core::TimePoint ListReadAt{};
    /// Times at which its waiting requests came, by workspace.
    std::map<std::string, std::deque<core::TimePoint>> Waiting;
  };

  RateFleet(std::size_t hosts, std::uint64_t seed) : Random(seed) {
    for (std::size_t i = 0; i < hosts; ++i)
      add(core::LenderStart::Fleet);
  }

  std::size_t add(core::LenderStart start) {
    const std::string id = "h" + std::to_string(Hosts.size());
    Hosts.emplace_back().Id = id;
    Known.insert(Hosts.back().Id);
    restart(Hosts.size() - 1, start);
    return Hosts.size() - 1;
  }

  void restart(std::size_t i, core::LenderStart start) {
    Host &host = Hosts[i];
    host.Book = std::make_unique<core::RateBook>(host.Id, Bound, Now);
    host.Alive = true;
    host.Waiting.clear();
    host.ListReadAt = {};
    host.ConfirmedAt = Now;
    Start[i] = start;
    applyLimits(i);
  }

  void kill(std::size_t i) {
    Hosts[i].Alive = false;
    Hosts[i].Waiting.clear();
  }

  void setLimit(const std::string &name, const core::RateQuota &limit) {
    Workspaces[name].Limit = limit;
    for (std::size_t i = 0; i < Hosts.size(); ++i)
      applyLimits(i);
  }

  void run(milliseconds time) {
    for (const auto end = Now + time; Now < end; Now += Step)
      step();
  }

  double chance() { return std::uniform_real_distribution<>()(Random); }

  std::size_t pick(std::size_t n) {
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(Random);
  }

  /// @brief Largest ratio of the requests in a window to the bound.
  double worst(const Workspace &workspace) const {
    const double bound =
        (workspace.Limit.Rate * 5 + workspace.Limit.Size) * 1.1 + 20;
    std::size_t first = 0;
    std::size_t most = 0;
    for (std::size_t i = 0; i < workspace.Sent.size(); ++i) {
      while (workspace.Sent[i] - workspace.Sent[first] > Bound.Window)
        ++first;
      most = std::max(most, i - first + 1);
    }
    return static_cast<double>(most) / bound;
  }

  core::RateBound Bound{milliseconds(5000), 0.1, 20};
  core::TimePoint Now{std::chrono::hours(1)};
  std::vector<Host> Hosts;
  std::map<std::string, Workspace> Workspaces;
  std::size_t Messages = 0;
  /// Whether each host reads a list of its own, at its own time.
  milliseconds MaxListDelay{300};

private:
  struct Message {
    std::size_t From, To;
    core::RateAsks Asks;
    std::vector<core::RateGrant> Grants;
    bool IsReply = false;
    bool Lost = false;
    core::RateBook *Sender = nullptr;
  };

  void applyLimits(std::size_t i) {
    std::map<std::string, core::RateQuota> limits;
    for (const auto &[name, workspace] : Workspaces)
      limits[name] = workspace.Limit;
    Hosts[i].Book->setLimits(limits, Now);
  }

  bool runs(const Host &host) const {
    return host.Alive && host.PausedUntil <= Now;
  }

  void readList(std::size_t i) {
    Host &host = Hosts[i];
    if (host.Side != 0 || Now < host.ListReadAt)
      return;
    host.ListReadAt =
        Now + milliseconds(50 + pick(std::size_t(MaxListDelay.count())));
    std::vector<std::string> live;
    for (const Host &other : Hosts)
      if (Now - other.ConfirmedAt < core::RateBook::MaxConfirmationAge)
        live.push_back(other.Id);
    host.Book->setHosts(live, Known.size(), Start[i], Now);
  }

  void step() {
    for (std::size_t i = 0; i < Hosts.size(); ++i) {
      Host &host = Hosts[i];
      if (!runs(host))
        continue;
      if (host.Side == 0)
        host.ConfirmedAt = Now;
      host.Book->setLendUntil(host.ConfirmedAt +
                              core::RateBook::MaxConfirmationAge);
      readList(i);
    }
    deliver();
    for (std::size_t i = 0; i < Hosts.size(); ++i)
      if (Hosts[i].Alive)
        runHost(i);
  }

  void runHost(std::size_t i) {
    Host &host = Hosts[i];
    for (auto &[name, workspace] : Workspaces) {
      const auto demand = workspace.Demand.find(i);
      if (demand == workspace.Demand.end())
        continue;
      const double mean =
          demand->second * std::chrono::duration<double>(Step).count();
      for (int n = std::poisson_distribution<int>(mean)(Random); n > 0; --n) {
        ++workspace.Offered;
        if (!runs(host))
          continue;
        if (host.Book->charge(name, chance(), Now) !=
            core::CreditSource::None) {
          ++workspace.AdmittedAtOnce;
          admit(workspace);
        } else {
          host.Waiting[name].push_back(Now);
        }
      }
    }
    if (!runs(host))
      return;
    for (auto &[name, queue] : host.Waiting)
      host.Book->setWaiting(name, queue.size());
    for (auto &[lender, asks] : host.Book->takeDue(Now))
      send(i, lender, std::move(asks));
    serveWaiting(host);
  }

  void serveWaiting(Host &host) {
    for (auto &[name, queue] : host.Waiting) {
      while (!queue.empty() && host.Book->chargeWaiting(name, chance(), Now) !=
                                   core::CreditSource::None) {
        admit(Workspaces[name]);
        queue.pop_front();
      }
      while (!queue.empty() && (Now - queue.front() >= MaxWait ||
                                !host.Book->expectsGrant(name))) {
        host.Book->refuse(name, Now);
        queue.pop_front();
      }
      host.Book->setWaiting(name, queue.size());
    }
  }

  void admit(Workspace &workspace) {
    ++workspace.Admitted;
    workspace.Sent.push_back(Now);
  }

  void send(std::size_t from, const std::string &lender, core::RateAsks asks) {
    ++Messages;
    const auto to = static_cast<std::size_t>(std::stoul(lender.substr(1)));
    InFlight.emplace(Now + milliseconds(2 + pick(20)),
                     Message{from,
                             to,
                             std::move(asks),
                             {},
                             false,
                             false,
                             Hosts[from].Book.get()});
  }

  bool linked(const Host &a, const Host &b) const { return a.Side == b.Side; }

  void deliver() {
    while (!InFlight.empty() && InFlight.begin()->first <= Now) {
      Message message = std::move(InFlight.begin()->second);
      InFlight.erase(InFlight.begin());
      Host &to = Hosts[message.IsReply ? message.From : message.To];
      if (message.IsReply) {
        if (to.Book.get() != message.Sender || !to.Alive)
          continue;
        if (!runs(to)) {
          InFlight.emplace(to.PausedUntil, std::move(message));
          continue;
        }
        to.Book->onReply(message.Asks.Sequence,
                         message.Lost ? nullptr : &message.Grants, Now);
        continue;
      }
      message.IsReply = true;
      const bool arrives = runs(to) && linked(Hosts[message.From], to);
      if (arrives)
        message.Grants = to.Book->lend(message.Asks, Now);
      // A reply may be lost although the lender has counted the grant.
      message.Lost = !arrives || chance() < 0.01;
      InFlight.emplace(Now + milliseconds(message.Lost ? 300 : 2 + pick(20)),
                       std::move(message));
    }
  }

  std::mt19937_64 Random;
  std::set<std::string> Known;
  std::map<std::size_t, core::LenderStart> Start;
  std::multimap<core::TimePoint, Message> InFlight;
};

} // namespace savorytrestle::tests

#endif
