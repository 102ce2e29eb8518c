#include "operators/ExplainCommand.h"

#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <nlohmann/json.hpp>

#include "support/BoundedJson.h"
#include "support/HttpClient.h"
#include "support/UrlEncode.h"

namespace savorytrestle::operators {

namespace {

using nlohmann::json;

constexpr int StatusOk = 200;

std::string urlOf(const ExplainOptions &options) {
  std::string url = "http://" + options.Status +
                    "/explain?host=" + support::urlEncoded(options.Host) +
                    "&path=" + support::urlEncoded(options.Path);
  if (options.DeadlineMs != 0)
    url += "&deadline_ms=" + std::to_string(options.DeadlineMs);
  if (!options.Workspace.empty())
    url += "&workspace=" + support::urlEncoded(options.Workspace);
  return url;
}

std::string listText(const json &list) {
  return list.is_array()
             ? absl::StrJoin(list.get<std::vector<std::string>>(), ",")
             : list.get<std::string>();
}

void printLeaf(const json &leaf, bool chosen, std::ostream &out) {
  out << absl::StrFormat(
      "  %c %-24s %-12s %-10s cost %7.1f ms  requests %5.1f of %d  own %d",
      chosen ? '*' : ' ', leaf.at("leaf").get<std::string>(),
      leaf.at("failure_domain").get<std::string>(),
      leaf.at("region").get<std::string>(), leaf.at("cost_ms").get<double>(),
      leaf.at("requests_expected").get<double>(), leaf.at("slots").get<int>(),
      leaf.at("own_requests").get<int>());
  if (leaf.contains("report_age_ms"))
    out << absl::StrFormat("  report %.0f ms old",
                           leaf["report_age_ms"].get<double>());
  else
    out << "  no report";
  if (leaf.contains("limit_per_s"))
    out << absl::StrFormat("  limit %.1f/s", leaf["limit_per_s"].get<double>());
  if (const double chance = leaf.at("send_chance").get<double>(); chance < 1)
    out << absl::StrFormat("  chance %.2f", chance);
  if (!leaf.at("excluded").empty())
    out << "  excluded: " << listText(leaf["excluded"]);
  out << '\n';
}

void printService(const json &service, std::ostream &out) {
  out << "service " << service.at("service").get<std::string>();
  if (service.contains("weight"))
    out << absl::StrFormat("  weight %g", service["weight"].get<double>());
  if (service.contains("expected_ms"))
    out << absl::StrFormat("  expected %.1f ms, other hosts %.2f per slot",
                           service["expected_ms"].get<double>(),
                           service.at("others_per_slot").get<double>());
  out << '\n';
  const auto chosen = service.value("chosen", std::string());
  for (const json &leaf : service.at("leaves"))
    printLeaf(leaf, leaf.at("leaf") == chosen, out);
}

void printText(const json &reply, std::ostream &out) {
  if (reply.contains("config_version"))
    out << "configuration " << reply["config_version"] << '\n';
  if (reply.contains("route")) {
    const json &route = reply["route"];
    out << "route " << route.at("name").get<std::string>() << "  limit "
        << route.at("time_limit_ms") << " ms, objective "
        << route.at("objective_ms") << " ms, priority " << route.at("priority")
        << ", regions " << listText(route.at("allowed_regions")) << '\n';
  }
  if (!reply.at("workspace").is_null())
    out << "workspace " << reply["workspace"].get<std::string>();
  if (reply.contains("workspace_regions"))
    out << "  regions " << listText(reply["workspace_regions"]);
  if (!reply.at("workspace").is_null())
    out << '\n';
  out << "host in " << reply.at("failure_domain").get<std::string>()
      << (reply.at("leaves_lost").get<bool>() ? ", reaches no leaf\n" : "\n");
  if (reply.contains("services"))
    for (const json &service : reply["services"])
      printService(service, out);
  if (reply.contains("relays"))
    for (const auto &[domain, services] : reply["relays"].items())
      out << "through a host of " << domain << ": " << listText(services)
          << '\n';
  if (reply.contains("refusal"))
    out << "refused: " << reply["refusal"].get<std::string>() << '\n';
}

int code(ExplainExitCode exitCode) { return static_cast<int>(exitCode); }

} // namespace

int runExplain(const ExplainOptions &options, std::ostream &out,
               std::ostream &err) {
  if (options.Status.empty() || options.Host.empty() || options.Path.empty() ||
      options.DeadlineMs < 0) {
    err << "explain needs --status, --request_host and --request_path, and no "
           "negative --deadline_ms\n";
    return code(ExplainExitCode::Usage);
  }
  support::HttpCall call;
  call.Url = urlOf(options);
  call.Timeout = options.Timeout;
  const auto reply = support::HttpClient().send(call);
  if (!reply) {
    err << options.Status << ": " << reply.error().Message << '\n';
    return code(ExplainExitCode::Unreachable);
  }
  if (reply->Status != StatusOk) {
    err << options.Status << ": status " << reply->Status << ' ' << reply->Body
        << '\n';
    return code(ExplainExitCode::Refused);
  }
  const auto refused =
      support::decodeJson<bool>(reply->Body, [&](const json &object) {
        if (options.Json)
          out << object.dump(2) << '\n';
        else
          printText(object, out);
        return object.contains("refusal");
      });
  if (!refused) {
    err << options.Status << ": the reply is not an explanation\n";
    return code(ExplainExitCode::Refused);
  }
  return code(*refused ? ExplainExitCode::Refused : ExplainExitCode::Ok);
}

} // namespace savorytrestle::operators
