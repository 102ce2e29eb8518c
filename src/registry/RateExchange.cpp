#include "registry/RateExchange.h"

#include <cmath>
#include <utility>

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
/// Some times the longest round trip between hosts.
constexpr milliseconds ReplyTimeout{300};
constexpr unsigned StatusOk = 200;
constexpr std::size_t MaxLinksPerHost = 3;
/// Bound a message to some tens of kilobytes.
constexpr std::size_t MaxRows = 512;
constexpr std::size_t MaxNameBytes = 128;
constexpr double MaxRequests = 1e6;
constexpr double MaxWaitMilliseconds = 600000;

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

/// Reads the rows of a message.
template <typename T, typename Read>
core::Result<std::vector<T>> decodeRows(std::string_view body, const char *key,
                                        Read read) {
  return support::decodeJson<std::vector<T>>(body, [&](const json &object) {
    const json &rows = object.at(key);
    if (!rows.is_array() || rows.size() > MaxRows)
      throw json::other_error::create(501, "no list, or a list too long",
                                      nullptr);
    std::vector<T> all;
    for (const json &row : rows)
      all.push_back(read(row));
    return all;
  });
}

/// @param controller the sender of verdicts that no report asked for
std::string encodeRows(const char *key, json rows,
                       const std::string &controller = "") {
  json object{{key, std::move(rows)}};
  if (!controller.empty())
    object["controller"] = controller;
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

json encodeVerdicts(const std::vector<core::RateVerdict> &verdicts) {
  json rows = json::array();
  for (const core::RateVerdict &it : verdicts)
    rows.push_back({it.Workspace, it.AdmitShare, it.Wait.count()});
  return rows;
}

std::string encodeReports(const std::vector<core::RateReport> &reports) {
  json rows = json::array();
  for (const core::RateReport &it : reports)
    rows.push_back({it.Workspace, it.Arrived, it.Admitted});
  return encodeRows("reports", std::move(rows));
}

core::RateReport readReport(const json &row) {
  return {readName(row.at(0)), readNumber(row.at(1), MaxRequests),
          readNumber(row.at(2), MaxRequests)};
}

core::RateVerdict readVerdict(const json &row) {
  return {readName(row.at(0)), readNumber(row.at(1), 1),
          milliseconds(static_cast<std::int64_t>(
              readNumber(row.at(2), MaxWaitMilliseconds)))};
}

using Notice = std::pair<std::string, std::vector<core::RateVerdict>>;

/// Reads verdicts that no report asked for; an error if the message is none.
core::Result<Notice> decodeNotice(std::string_view body) {
  auto verdicts = decodeRows<core::RateVerdict>(body, "verdicts", readVerdict);
  if (!verdicts)
    return tl::unexpected(verdicts.error());
  return support::decodeJson<Notice>(body, [&](const json &object) {
    return Notice{readName(object.at("controller")), std::move(*verdicts)};
  });
}

} // namespace

RateExchange::RateExchange(boost::asio::io_context &io, std::string ownId,
                           std::shared_ptr<entry::QuotaGate> gate)
    : Io(io), Timer(io), OwnId(std::move(ownId)), Gate(std::move(gate)) {}

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
                            bool isFleetStart) {
  Hosts = hosts;
  std::vector<std::string> ids;
  ids.reserve(hosts.size());
  for (const auto &[id, address] : hosts)
    ids.push_back(id);
  std::erase_if(Links, [&](const auto &it) { return !Hosts.count(it.first); });
  Gate->book().setHosts(ids, isFleetStart, support::bootTime());
}

bool RateExchange::isRates(std::string_view target) {
  return target == RatesPath;
}

void RateExchange::flush() {
  if (!Gate->hasLimits())
    return;
  for (const core::RateReports &it :
       Gate->book().takeReports(support::bootTime()))
    send(it);
  sendNotices();
}

void RateExchange::sendNotices() {
  const auto notices = Gate->book().takeNotices(support::bootTime());
  if (notices.empty())
    return;
  const std::string body =
      encodeRows("verdicts", encodeVerdicts(notices), OwnId);
  for (const auto &[id, address] : Hosts)
    if (const LinkPtr link = id == OwnId ? nullptr : freeLink(id)) {
      link->Busy = true;
      // A host that misses it learns the verdict with its next report.
      link->Connection->call(
          {"POST", RatesPath, body}, ReplyTimeout,
          [link](const store::StoreReply &) { link->Busy = false; });
    }
}

RateExchange::LinkPtr RateExchange::freeLink(const std::string &host) {
  auto &links = Links[host];
  for (const LinkPtr &link : links)
    if (!link->Busy)
      return link;
  if (links.size() >= MaxLinksPerHost)
    return nullptr;
  links.push_back(std::make_shared<Link>());
  links.back()->Connection =
      std::make_shared<store::StoreConnection>(Io, Hosts.at(host));
  return links.back();
}

void RateExchange::send(const core::RateReports &reports) {
  const LinkPtr link =
      Hosts.count(reports.Controller) ? freeLink(reports.Controller) : nullptr;
  if (!link) {
    Gate->book().onReply(reports, nullptr, support::bootTime());
    return;
  }
  link->Busy = true;
  link->Connection->call(
      {"POST", RatesPath, encodeReports(reports.Reports)}, ReplyTimeout,
      [weak = weak_from_this(), link, reports](const store::StoreReply &reply) {
        link->Busy = false;
        const auto self = weak.lock();
        if (!self)
          return;
        const auto verdicts =
            reply.Status == StatusOk
                ? decodeRows<core::RateVerdict>(reply.Body, "verdicts",
                                                readVerdict)
                : core::makeError(core::ErrorCode::BadRequest, "");
        self->Gate->book().onReply(reports, verdicts ? &*verdicts : nullptr,
                                   support::bootTime());
      });
}

entry::CallerAnswer RateExchange::handle(std::string_view body) {
  if (const auto notice = decodeNotice(body)) {
    Gate->book().onNotices(notice->first, notice->second, support::bootTime());
    return entry::textAnswer(http::status::ok, "{}");
  }
  const auto reports =
      decodeRows<core::RateReport>(body, "reports", readReport);
  if (!reports)
    return entry::errorAnswer(http::status::bad_request,
                              reports.error().Message);
  return entry::textAnswer(
      http::status::ok,
      encodeRows("verdicts", encodeVerdicts(Gate->book().record(
                                 *reports, support::bootTime()))));
}

} // namespace savorytrestle::registry
