// Stand-in for a backend server (leaf): implements the interface of
// backend/LeafProtocol.h with a few slots; POST /control sets faults.

#include <thread>

#include <unistd.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include "standins/LeafModel.h"
#include "standins/Serve.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address to listen on");
ABSL_FLAG(std::string, name, "leaf",
          "name reported as filed_by in write results");
ABSL_FLAG(std::string, indexes, "1:0:1",
          "served indexes, version:shard:shard_count, comma-separated");
ABSL_FLAG(int, slots, 5, "maximum number of concurrent executions");
ABSL_FLAG(int, connections, 40, "maximum number of concurrent connections");
ABSL_FLAG(int, service_ms, 8, "execution time in milliseconds");
ABSL_FLAG(double, straggle_percent, 0, "share of slow executions in percent");
ABSL_FLAG(int, straggle_ms, 400, "time of a slow execution in milliseconds");
ABSL_FLAG(int, seed, 1, "seed for the choice of slow executions");

namespace {

using namespace savorytrestle;
using nlohmann::json;
using standins::ExecutionOutcome;
using standins::LeafCounters;
using standins::StandInLeafSettings;
using std::chrono::milliseconds;
using support::HttpRequest;
using support::HttpResponse;
using Indexes = std::vector<backend::LeafIndexStatus>;

constexpr int CrashExitCode = 9;

Indexes parseIndexes(const std::string &text) {
  Indexes indexes;
  for (const absl::string_view item :
       absl::StrSplit(text, ',', absl::SkipEmpty())) {
    const std::vector<std::string> parts = absl::StrSplit(item, ':');
    backend::LeafIndexStatus index;
    if (parts.size() == 3 && absl::SimpleAtoi(parts[0], &index.Version) &&
        absl::SimpleAtoi(parts[1], &index.Shard) &&
        absl::SimpleAtoi(parts[2], &index.ShardCount))
      indexes.push_back(index);
  }
  return indexes;
}

json loadJson(const core::LoadReport &load) {
  return {{"busy", load.Busy},
          {"queued", load.Queued},
          {"draining", load.Draining}};
}

class Leaf {
public:
  Leaf(std::string name, unsigned slots, std::uint64_t seed)
      : Name(std::move(name)), Model(slots, seed) {}

  standins::LeafModel &model() { return Model; }

  HttpResponse handle(const HttpRequest &request) {
    if (request.Path == "/control")
      return control(json::parse(request.Body, nullptr, false));
    if (request.Path == "/v1/status")
      return status();
    const json body = json::parse(request.Body, nullptr, false);
    if (!body.is_object())
      return reply(400, {{"error", "malformed"}});
    if (request.Path == "/v1/cancel") {
      Model.cancel({body.value("request_id", ""), body.value("attempt", 0U)});
      return reply(200, json::object());
    }
    if (request.Path == "/v1/search")
      return search(body);
    if (request.Path == "/v1/write")
      return write(body);
    return reply(404, {{"error", "unknown path"}});
  }

  /// Whether there are more open connections than the limit. The caller closes
  /// the excess ones without an answer.
  bool exceedsConnectionLimit(unsigned connectionLimit) {
    return Model.withState([&](auto &, LeafCounters &counters, auto &) {
      return counters.Connections > connectionLimit;
    });
  }

private:
  static HttpResponse reply(int status, const json &body) {
    return {status, body.dump(), "application/json", {}, false};
  }

  HttpResponse refuse(const char *why) {
    return reply(503, {{"error", why}, {"load", loadJson(Model.load())}});
  }

  HttpResponse status() {
    return Model.withState([&](StandInLeafSettings &settings, auto &,
                               Indexes &indexes) {
      json list = json::array();
      for (const auto &index : indexes)
        list.push_back({{"version", index.Version},
                        {"shard", index.Shard},
                        {"shard_count", index.ShardCount}});
      const bool draining = settings.Draining && !settings.AlwaysReportReady;
      return reply(
          200, {{"state", draining ? "draining" : "ready"}, {"indexes", list}});
    });
  }

  static void crashIfRequested(const json &payload) {
    if (payload.is_object() && payload.value("crash", false))
      _exit(CrashExitCode);
  }

  HttpResponse search(const json &body) {
    const auto version = body.value("index_version", 0ULL);
    const auto shard = body.value("shard", 0U);
    const auto attempt = body.value("attempt", 0U);
    std::uint32_t shardCount = 0;
    StandInLeafSettings settings;
    Model.withState([&](StandInLeafSettings &now, LeafCounters &counters,
                        Indexes &indexes) {
      ++counters.Searches;
      settings = now;
      for (const auto &index : indexes)
        if (index.Version == version && index.Shard == shard)
          shardCount = index.ShardCount;
    });
    if (settings.Draining)
      return refuse("draining");
    if (shardCount == 0)
      return reply(409, {{"error", "wrong_version"}});
    crashIfRequested(body.value("query", json::object()));
    const auto run = Model.execute({body.value("request_id", ""), attempt},
                                   milliseconds(body.value("deadline_ms", 0)));
    if (run == ExecutionOutcome::Shed)
      return refuse("shed");
    if (run != ExecutionOutcome::Done)
      return reply(504, {{"error", "given up"}});
    json answer = {{"request_id", body.value("request_id", "")},
                   {"attempt", attempt},
                   {"index_version", version},
                   {"shard", shard},
                   {"shard_count", shardCount},
                   {"row_count", 2},
                   {"load", loadJson(Model.load())}};
    answer["rows"] = {{{"shard", shard}, {"version", version}, {"row", 0}},
                      {{"shard", shard}, {"version", version}, {"row", 1}}};
    return applyReplyFault(std::move(answer), settings.ReplyFault);
  }

  static HttpResponse applyReplyFault(json answer, const std::string &fault) {
    if (fault == "truncated")
      answer["rows"].erase(1);
    else if (fault == "crossed")
      answer["request_id"] = "another-request";
    else if (fault == "wrong_version")
      answer["index_version"] = answer["index_version"].get<unsigned>() + 1;
    else if (fault == "empty")
      answer = json::object();
    else if (fault == "garbage")
      return {200, "<html>", "text/html", {}, false};
    return reply(200, answer);
  }

  HttpResponse write(const json &body) {
    const std::string id = body.value("request_id", "");
    const std::string key = body.value("key", "");
    crashIfRequested(body.value("body", json::object()));
    if (Model.load().Draining)
      return refuse("draining");
    const auto run =
        Model.execute({id, 0}, milliseconds(body.value("deadline_ms", 0)));
    if (run == ExecutionOutcome::Shed)
      return refuse("shed");
    if (run != ExecutionOutcome::Done)
      return reply(504, {{"error", "given up"}});
    const bool lost = Model.withState(
        [&](StandInLeafSettings &settings, LeafCounters &counters, auto &) {
          ++counters.Writes[key.empty() ? id : key];
          return settings.LoseWriteReplies;
        });
    if (Model.withState([](StandInLeafSettings &settings, auto &, auto &) {
          return settings.FailWrites;
        }))
      return reply(503, {{"error", "backend failed"}});
    HttpResponse response =
        reply(200, {{"request_id", id}, {"result", {{"filed_by", Name}}}});
    response.Abort = lost;
    return response;
  }

  HttpResponse control(const json &change) {
    return Model.withState([&](StandInLeafSettings &settings,
                               LeafCounters &counters, Indexes &indexes) {
      if (change.is_object())
        apply(change, settings, indexes);
      return reply(200, {{"connections", counters.Connections},
                         {"most_connections", counters.PeakConnections},
                         {"most_busy", counters.PeakBusySlots},
                         {"searches", counters.Searches},
                         {"sheds", counters.ShedRequests},
                         {"cancelled", counters.Cancelled},
                         {"writes", counters.Writes}});
    });
  }

  static void apply(const json &change, StandInLeafSettings &settings,
                    Indexes &indexes) {
    settings.Service = milliseconds(
        change.value("service_ms", static_cast<int>(settings.Service.count())));
    settings.SlowPercent =
        change.value("straggle_percent", settings.SlowPercent);
    settings.SlowServiceTime = milliseconds(change.value(
        "straggle_ms", static_cast<int>(settings.SlowServiceTime.count())));
    settings.Draining = change.value("draining", settings.Draining);
    settings.Shedding = change.value("shedding", settings.Shedding);
    settings.AlwaysReportReady =
        change.value("health_lies", settings.AlwaysReportReady);
    settings.ReplyFault = change.value("reply_fault", settings.ReplyFault);
    settings.LoseWriteReplies =
        change.value("lose_write_replies", settings.LoseWriteReplies);
    settings.FailWrites = change.value("fail_writes", settings.FailWrites);
    if (change.contains("indexes"))
      indexes = parseIndexes(change.value("indexes", ""));
  }

  const std::string Name;
  standins::LeafModel Model;
};

} // namespace

int main(int argc, char **argv) {
  absl::ParseCommandLine(argc, argv);
  const support::StopSignals signals;
  Leaf leaf(absl::GetFlag(FLAGS_name),
            static_cast<unsigned>(absl::GetFlag(FLAGS_slots)),
            static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed)));
  leaf.model().withState([](StandInLeafSettings &settings, auto &,
                            Indexes &indexes) {
    settings.Service = milliseconds(absl::GetFlag(FLAGS_service_ms));
    settings.SlowPercent = absl::GetFlag(FLAGS_straggle_percent);
    settings.SlowServiceTime = milliseconds(absl::GetFlag(FLAGS_straggle_ms));
    indexes = parseIndexes(absl::GetFlag(FLAGS_indexes));
  });
  const auto connectionLimit =
      static_cast<unsigned>(absl::GetFlag(FLAGS_connections));
  support::HttpServerOptions options;
  options.Listen = absl::GetFlag(FLAGS_listen);
  // The 8 threads beyond the limit serve the harness and close excess
  // connections.
  options.Threads = connectionLimit + 8;
  options.OnConnection = [&](int change) {
    leaf.model().withState([&](auto &, LeafCounters &counters, auto &) {
      counters.Connections += static_cast<unsigned>(change);
      counters.PeakConnections =
          std::max(counters.PeakConnections, counters.Connections);
    });
  };
  return standins::serve(
      signals, options, [&](const HttpRequest &request) -> HttpResponse {
        if (request.Path != "/control" &&
            leaf.exceedsConnectionLimit(connectionLimit + 1)) {
          HttpResponse closed;
          closed.Abort = true;
          return closed;
        }
        return leaf.handle(request);
      });
}
