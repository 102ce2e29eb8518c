#include "registry/LeafExchange.h"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

#include "entry/Answers.h"
#include "support/BoundedJson.h"

namespace savorytrestle::registry {

using nlohmann::json;
using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;
namespace http = boost::beast::http;

namespace {

constexpr const char *ReportPath = "/leaves";
constexpr milliseconds ReportInterval{300};
constexpr milliseconds ReplyTimeout{500};
constexpr unsigned StatusOk = 200;
/// Bounds a message to some tens of kilobytes.
constexpr std::size_t MaxReports = 2048;
/// Ratios are sent as whole hundredths.
constexpr double Scale = 100;
constexpr double MaxRatio = 1000;

int encodeRatio(double ratio) {
  return static_cast<int>(
      std::lround(std::clamp(ratio, 0.0, MaxRatio) * Scale));
}

double decodeRatio(const json &value) {
  return std::clamp(value.get<double>() / Scale, 0.0, MaxRatio);
}

json encodeReport(const std::string &leaf, const core::LeafReport &report) {
  return {leaf, encodeRatio(report.Slowness),
          report.FailureRate ? json(encodeRatio(*report.FailureRate)) : json()};
}

core::LeafReport decodeReport(const json &row) {
  core::LeafReport report{decodeRatio(row.at(1))};
  if (!row.at(2).is_null())
    report.FailureRate = decodeRatio(row.at(2));
  return report;
}

} // namespace

LeafExchange::LeafExchange(boost::asio::io_context &io,
                           leaf::LeafDirectory &leaves, std::string ownId)
    : Io(io), Timer(io), Leaves(leaves), OwnId(std::move(ownId)) {}

void LeafExchange::start() { scheduleNext(); }

void LeafExchange::stop() {
  Stopped = true;
  Timer.cancel();
  if (Connection)
    Connection->close();
}

void LeafExchange::setCollectors(const std::vector<Endpoint> &collectors,
                                 bool isCollector) {
  IsCollector = isCollector;
  if (collectors == Collectors)
    return;
  Collectors = collectors;
  Current = 0;
  // A call in flight keeps the old connection until its reply.
  Connection.reset();
}

bool LeafExchange::isReport(std::string_view target) {
  return target == ReportPath;
}

void LeafExchange::scheduleNext() {
  if (Stopped)
    return;
  Timer.expires_after(ReportInterval);
  Timer.async_wait(
      [self = shared_from_this()](const boost::system::error_code &ec) {
        if (!ec)
          self->exchange();
      });
}

void LeafExchange::exchange() {
  const auto now = SteadyClock::now();
  const auto reports = Leaves.takeReports(now);
  if (IsCollector) {
    for (const auto &[leaf, report] : reports)
      Reports.add(OwnId, leaf, report, now);
    applyMerged(now);
    return scheduleNext();
  }
  if (Collectors.empty())
    return scheduleNext();
  json rows = json::array();
  for (const auto &[leaf, report] : reports)
    if (rows.size() < MaxReports)
      rows.push_back(encodeReport(leaf, report));
  if (!Connection)
    Connection =
        std::make_shared<store::StoreConnection>(Io, Collectors[Current]);
  Connection->call({"POST", ReportPath,
                    json{{"host", OwnId}, {"leaves", std::move(rows)}}.dump(
                        -1, ' ', false, json::error_handler_t::replace)},
                   ReplyTimeout,
                   [self = shared_from_this(),
                    connection = Connection](const store::StoreReply &reply) {
                     if (self->Stopped)
                       return;
                     if (connection == self->Connection)
                       self->onReply(reply);
                     self->scheduleNext();
                   });
}

void LeafExchange::onReply(const store::StoreReply &reply) {
  if (reply.Status != StatusOk) {
    Current = (Current + 1) % std::max<std::size_t>(1, Collectors.size());
    Connection.reset();
    return;
  }
  const auto now = SteadyClock::now();
  (void)support::decodeJson<bool>(reply.Body, [&](const json &object) {
    for (const json &row : object.at("leaves"))
      Leaves.applyReport(row.at(0).get<std::string>(), decodeReport(row),
                         now - milliseconds(row.at(3).get<std::int64_t>()));
    return true;
  });
}

void LeafExchange::applyMerged(core::TimePoint now) {
  for (const auto &[leaf, report] : Reports.merge(now))
    Leaves.applyReport(leaf, report.Report, now - report.Age);
}

entry::CallerAnswer LeafExchange::handle(std::string_view body) {
  const auto now = SteadyClock::now();
  const auto taken = support::decodeJson<bool>(body, [&](const json &object) {
    const auto host = object.at("host").get<std::string>();
    std::size_t n = 0;
    for (const json &row : object.at("leaves"))
      if (++n <= MaxReports)
        Reports.add(host, row.at(0).get<std::string>(), decodeReport(row), now);
    return true;
  });
  if (!taken)
    return entry::errorAnswer(http::status::bad_request, taken.error().Message);
  json rows = json::array();
  for (const auto &[leaf, report] : Reports.merge(now)) {
    json row = encodeReport(leaf, report.Report);
    row.push_back(std::chrono::floor<milliseconds>(report.Age).count());
    rows.push_back(std::move(row));
  }
  return entry::textAnswer(http::status::ok,
                           json{{"leaves", std::move(rows)}}.dump(
                               -1, ' ', false, json::error_handler_t::replace));
}

} // namespace savorytrestle::registry
