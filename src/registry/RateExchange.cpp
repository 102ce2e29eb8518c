#include "registry/RateExchange.h"

#include <cmath>

#include <nlohmann/json.hpp>

#include "entry/Answers.h"
#include "support/BootClock.h"
#include "support/BoundedJson.h"

namespace savorytrestle::registry {

using nlohmann::json;
using std::chrono::milliseconds;
namespace http = boost::beast::http;

namespace {

constexpr const char *RatesPath = "/rates";
constexpr milliseconds FlushInterval{100};
/// Some times the longest round trip; a host that needs longer is as good as
/// unreachable for a request that waits.
constexpr milliseconds ReplyTimeout{300};
constexpr unsigned StatusOk = 200;
constexpr std::size_t MaxLinksPerHost = 3;
/// Bound a message to some tens of kilobytes.
constexpr std::size_t MaxAsks = 512;
constexpr std::size_t MaxNameBytes = 128;
/// Highest rate of a configuration.
constexpr double MaxRequests = 1e6;

/// Reads a number within bounds; throws the JSON library's error otherwise.
double readNumber(const json &value, double max) {
  const double number = value.get<double>();
  if (!std::isfinite(number) || number < 0 || number > max)
    throw json::other_error::create(501, "number out of bounds", nullptr);
  return number;
}

std::string readName(const json &value) {
  auto name = value.get<std::string>();
  if (name.empty() || name.size() > MaxNameBytes)
    throw json::other_error::create(501, "name is empty or too long", nullptr);
  return name;
}

std::string encodeAsks(const core::RateAsks &asks) {
  json rows = json::array();
  for (const core::RateAsk &it : asks.Asks)
    rows.push_back({it.Workspace, it.HoldsRate, it.HoldsSize, it.Rate, it.Size,
                    it.Credit, it.Returned});
  return json{{"host", asks.Borrower},
              {"sequence", asks.Sequence},
              {"asks", std::move(rows)}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

core::Result<core::RateAsks> decodeAsks(std::string_view body) {
  return support::decodeJson<core::RateAsks>(body, [](const json &object) {
    core::RateAsks asks;
    asks.Borrower = readName(object.at("host"));
    asks.Sequence = object.at("sequence").get<std::uint64_t>();
    const json &rows = object.at("asks");
    if (!rows.is_array() || rows.size() > MaxAsks)
      throw json::other_error::create(501, "asks is no list or too long",
                                      nullptr);
    for (const json &row : rows)
      asks.Asks.push_back({readName(row.at(0)), readNumber(row.at(1), 1),
                           readNumber(row.at(2), 1),
                           readNumber(row.at(3), MaxRequests),
                           readNumber(row.at(4), 2 * MaxRequests),
                           readNumber(row.at(5), 2 * MaxRequests),
                           readNumber(row.at(6), 2 * MaxRequests)});
    return asks;
  });
}

core::Result<std::vector<core::RateGrant>> decodeGrants(std::string_view body) {
  return support::decodeJson<std::vector<core::RateGrant>>(
      body, [](const json &object) {
        std::vector<core::RateGrant> grants;
        for (const json &row : object.at("grants"))
          grants.push_back({readName(row.at(0)), readNumber(row.at(1), 1),
                            readNumber(row.at(2), 1),
                            readNumber(row.at(3), 2 * MaxRequests),
                            row.at(4).get<bool>()});
        return grants;
      });
}

} // namespace

RateExchange::RateExchange(boost::asio::io_context &io,
                           std::shared_ptr<entry::QuotaGate> gate,
                           std::function<core::TimePoint()> lendUntil)
    : Io(io), Timer(io), Gate(std::move(gate)),
      LendUntil(std::move(lendUntil)) {}

void RateExchange::start() {
  Gate->onDemand([weak = weak_from_this()] {
    if (const auto self = weak.lock())
      self->flush();
  });
  scheduleNext();
}

void RateExchange::scheduleNext() {
  Timer.expires_after(FlushInterval);
  Timer.async_wait(
      [weak = weak_from_this()](const boost::system::error_code &ec) {
        const auto self = weak.lock();
        if (ec || !self)
          return;
        self->flush();
        self->scheduleNext();
      });
}

void RateExchange::setHosts(const std::map<std::string, Endpoint> &hosts,
                            std::size_t known, core::LenderStart how) {
  Hosts = hosts;
  std::vector<std::string> ids;
  for (const auto &[id, address] : hosts)
    ids.push_back(id);
  std::erase_if(Links, [&](const auto &it) { return !Hosts.count(it.first); });
  Gate->book().setHosts(ids, known, how, support::bootTime());
}

void RateExchange::updateLendUntil() {
  Gate->book().setLendUntil(LendingStopped ? core::TimePoint{} : LendUntil());
}

void RateExchange::stopLending() { LendingStopped = true; }

bool RateExchange::isRates(std::string_view target) {
  return target == RatesPath;
}

void RateExchange::flush() {
  if (!Gate->hasLimits())
    return;
  updateLendUntil();
  for (const auto &[lender, asks] : Gate->book().takeDue(support::bootTime()))
    send(lender, asks);
}

RateExchange::LinkPtr RateExchange::freeLink(const std::string &lender) {
  auto &links = Links[lender];
  for (const LinkPtr &link : links)
    if (!link->Busy)
      return link;
  if (links.size() >= MaxLinksPerHost)
    return nullptr;
  links.push_back(std::make_shared<Link>());
  links.back()->Connection =
      std::make_shared<store::StoreConnection>(Io, Hosts.at(lender));
  return links.back();
}

void RateExchange::send(const std::string &lender, const core::RateAsks &asks) {
  const LinkPtr link = Hosts.count(lender) ? freeLink(lender) : nullptr;
  if (!link) {
    Gate->book().onReply(asks.Sequence, nullptr, support::bootTime());
    return;
  }
  link->Busy = true;
  link->Connection->call(
      {"POST", RatesPath, encodeAsks(asks)}, ReplyTimeout,
      [weak = weak_from_this(), link,
       sequence = asks.Sequence](const store::StoreReply &reply) {
        link->Busy = false;
        if (const auto self = weak.lock())
          self->onReply(sequence, reply);
      });
}

void RateExchange::onReply(std::uint64_t sequence,
                           const store::StoreReply &reply) {
  const auto grants = reply.Status == StatusOk
                          ? decodeGrants(reply.Body)
                          : core::makeError(core::ErrorCode::BadRequest, "");
  Gate->book().onReply(sequence, grants ? &*grants : nullptr,
                       support::bootTime());
  Gate->serveWaiting();
  // The next lender is asked for what this one did not grant.
  flush();
}

entry::CallerAnswer RateExchange::handle(std::string_view body) {
  const auto asks = decodeAsks(body);
  if (!asks)
    return entry::errorAnswer(http::status::bad_request, asks.error().Message);
  updateLendUntil();
  json rows = json::array();
  for (const core::RateGrant &it :
       Gate->book().lend(*asks, support::bootTime()))
    rows.push_back({it.Workspace, it.Rate, it.Size, it.Credit, it.Lends});
  return entry::textAnswer(http::status::ok,
                           json{{"grants", std::move(rows)}}.dump(
                               -1, ' ', false, json::error_handler_t::replace));
}

} // namespace savorytrestle::registry
