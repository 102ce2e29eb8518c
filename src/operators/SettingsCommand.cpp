#include "operators/SettingsCommand.h"

#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>
#include <thread>

#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include "operators/SettingsPrint.h"
#include "savorytrestle/core/SettingsYaml.h"
#include "support/BoundedJson.h"
#include "support/HttpClient.h"
#include "support/UrlEncode.h"

namespace savorytrestle::operators {

namespace {

using nlohmann::json;
using Arguments = std::vector<std::string>;

constexpr int MaxSendAttempts = 4;
constexpr int OutcomeUnknownStatus = 504;
constexpr int StoreUnavailableStatus = 503;

std::optional<std::string> readFile(const std::string &name) {
  std::ifstream file(name);
  if (!file)
    return std::nullopt;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string firstLine(const std::string &text) {
  return text.substr(0, text.find_first_of("\r\n"));
}

std::string newChangeId() {
  std::random_device random;
  std::ostringstream id;
  id << "cli-" << std::hex << random() << random();
  return id.str();
}

bool isNumber(const std::string &text) {
  return !text.empty() &&
         text.find_first_not_of("0123456789") == std::string::npos;
}

/// One call to the administration API.
struct ApiCall {
  std::string Method = "GET";
  std::string Path;
  /// Query parameters, each with a leading '&'.
  std::string Query;
  std::string Body;
  /// Whether the call changes settings and therefore has a change id.
  bool IsChange = false;
};

class Command {
public:
  Command(const SettingsCommandOptions &options, std::ostream &out,
          std::ostream &err)
      : Options(options), Out(out), Err(err) {}

  SettingsExitCode run(const Arguments &arguments) {
    if (arguments.empty() || arguments[0] == "help")
      return usage(arguments.empty() ? SettingsExitCode::Usage
                                     : SettingsExitCode::Ok);
    if (arguments[0] == "validate" && arguments.size() == 2)
      return validate(arguments[1]);
    if (arguments[0] == "reference" && arguments.size() == 1) {
      Out << core::settingsReference();
      return SettingsExitCode::Ok;
    }
    const auto call = parse(arguments);
    if (!call)
      return ParseFailure.value_or(SettingsExitCode::Usage) ==
                     SettingsExitCode::Usage
                 ? usage(SettingsExitCode::Usage)
                 : *ParseFailure;
    return call->IsChange ? sendChange(*call) : sendQuery(*call);
  }

private:
  SettingsExitCode usage(SettingsExitCode code) {
    (code == SettingsExitCode::Ok ? Out : Err) << settingsUsage();
    return code;
  }

  static std::string queryItem(const char *key, const std::string &value) {
    return std::string("&") + key + "=" + support::urlEncoded(value);
  }

  std::optional<ApiCall> parse(const Arguments &arguments) {
    const auto n = arguments.size();
    const auto &verb = arguments[0];
    const auto pathAndKey = [&](std::size_t maxItems) {
      std::string query;
      if (n > 1 && maxItems > 0)
        query += queryItem("path", arguments[1]);
      if (n > 2 && maxItems > 1)
        query += queryItem("key", arguments[2]);
      return query;
    };
    if (verb == "get" && (n == 2 || n == 3))
      return ApiCall{"GET", "/v1/settings", pathAndKey(2), "", false};
    if (verb == "set" && n == 4)
      return ApiCall{"PUT", "/v1/settings", pathAndKey(2),
                     json{{"value", arguments[3]}}.dump(
                         -1, ' ', false, json::error_handler_t::replace),
                     true};
    if (verb == "unset" && (n == 2 || n == 3))
      return ApiCall{"DELETE", "/v1/settings", pathAndKey(2), "", true};
    if (verb == "explain" && (n == 2 || n == 3))
      return ApiCall{"GET", "/v1/explain", pathAndKey(2), "", false};
    if (verb == "history" && n <= 2)
      return ApiCall{"GET", "/v1/history", pathAndKey(1), "", false};
    if (verb == "status" && n == 1)
      return ApiCall{"GET", "/v1/status", "", "", false};
    if (verb == "apply" && n == 2)
      return makeApplyCall(arguments[1], "", true);
    if (verb == "diff" && (n == 2 || n == 3))
      return diff(arguments);
    return std::nullopt;
  }

  std::optional<ApiCall> diff(const Arguments &arguments) {
    if (!isNumber(arguments[1]))
      return arguments.size() == 2
                 ? makeApplyCall(arguments[1], "&dry_run=1", false)
                 : std::nullopt;
    std::string query = queryItem("from", arguments[1]);
    if (arguments.size() == 3)
      query += queryItem("to", arguments[2]);
    return ApiCall{"GET", "/v1/diff", query, "", false};
  }

  std::optional<ApiCall> makeApplyCall(const std::string &name,
                                       const std::string &query,
                                       bool isChange) {
    auto text = readFile(name);
    if (!text) {
      Err << "can't read " << name << "\n";
      ParseFailure = SettingsExitCode::Refused;
      return std::nullopt;
    }
    return ApiCall{"POST", "/v1/apply", queryItem("file", name) + query,
                   std::move(*text), isChange};
  }

  SettingsExitCode validate(const std::string &name) {
    const auto text = readFile(name);
    if (!text) {
      Err << "can't read " << name << "\n";
      return SettingsExitCode::Refused;
    }
    const auto tree = core::parseSettingsYaml(*text, name);
    if (!tree) {
      Err << tree.error().Message << "\n";
      return SettingsExitCode::Refused;
    }
    Out << name << ": valid, " << tree->nodes().size() << " nodes\n";
    return SettingsExitCode::Ok;
  }

  core::Result<support::HttpReply> send(const ApiCall &call,
                                        const std::string &extraQuery) {
    support::HttpCall http;
    http.Method = call.Method;
    std::string query = call.Query + extraQuery;
    if (!query.empty())
      query.front() = '?';
    http.Url = "http://" + Options.Admin + call.Path + query;
    http.Body = call.Body;
    http.Timeout = Options.Timeout;
    const auto token = readFile(Options.TokenFile);
    http.Headers["Authorization"] = "Bearer " + firstLine(token.value_or(""));
    if (!Options.Operator.empty())
      http.Headers["X-Operator"] = firstLine(Options.Operator);
    return Http.send(http);
  }

  SettingsExitCode sendQuery(const ApiCall &call) {
    const auto reply = send(call, "");
    if (reply)
      return printResult(*reply);
    Err << reply.error().Message << "\n";
    return SettingsExitCode::Unreachable;
  }

  SettingsExitCode sendChange(const ApiCall &call) {
    bool isResend = !Options.ChangeId.empty();
    const auto id = isResend ? Options.ChangeId : newChangeId();
    std::string changeQuery = queryItem("change_id", id);
    if (Options.BaseRevision)
      changeQuery +=
          queryItem("base_revision", std::to_string(*Options.BaseRevision));
    for (int n = 0; n < MaxSendAttempts; ++n) {
      if (n > 0)
        std::this_thread::sleep_for(Options.RetryWait);
      const auto reply = send(
          call, changeQuery + (isResend ? "&resend=true" : "&resend=false"));
      if (reply && reply->Status != OutcomeUnknownStatus)
        return printResult(*reply);
      // A first attempt that failed to connect can't have changed anything.
      if (!reply && !isResend &&
          reply.error().Code == core::ErrorCode::StoreUnavailable) {
        Err << reply.error().Message << "\n";
        return SettingsExitCode::Unreachable;
      }
      isResend = true;
    }
    Err << "outcome unknown: the change may have been made; resend it with "
        << "--change-id=" << id << "\n";
    return SettingsExitCode::Unknown;
  }

  SettingsExitCode printResult(const support::HttpReply &reply) {
    const json body = support::parseJsonOrDiscarded(reply.Body);
    if (Options.Json)
      Out << reply.Body << "\n";
    else if (reply.Status < 300 && body.is_object())
      printReply(body, Out);
    else
      printError(body, Err);
    if (reply.Status < 300)
      return SettingsExitCode::Ok;
    return reply.Status == StoreUnavailableStatus
               ? SettingsExitCode::Unreachable
               : SettingsExitCode::Refused;
  }

  const SettingsCommandOptions &Options;
  std::ostream &Out;
  std::ostream &Err;
  support::HttpClient Http;
  /// Exit code if parsing failed for another reason than invalid arguments.
  std::optional<SettingsExitCode> ParseFailure;
};

} // namespace

std::string settingsUsage() {
  return R"(usage: savorytrestle settings COMMAND [flags]

  get PATH [KEY]        keys set in a subtree, or the value of KEY in force
  set PATH KEY VALUE    set a key; add the node if its parent exists
  unset PATH [KEY]      inherit a key again, or remove a node and its subtree
  explain PATH [KEY]    values in force and the node that sets each of them
  diff FILE             changes that applying FILE would make
  diff FROM [TO]        net change between two revisions
  history [PATH]        the newest changes: who, when, old and new values
  apply FILE            make the tree equal to a YAML file, in one change
  validate FILE         check a YAML file without contacting a host
  status                the revision in force on each host
  reference             all keys with their types, ranges and defaults

PATH is /, /WORKSPACE, /WORKSPACE/SERVICE or /WORKSPACE/SERVICE/ROUTE.

flags: --admin=IP:PORT   administration listener of any host
       --token-file=FILE bearer token
       --change-id=ID    resends a change; it takes effect at most once
       --base-revision=N refuses the change if its keys changed after
                         revision N
       --json            prints the reply as JSON

exit codes: 0 done, 1 refused, 2 usage, 3 outcome unknown, 4 unreachable
)";
}

int runSettings(const Arguments &arguments,
                const SettingsCommandOptions &options, std::ostream &out,
                std::ostream &err) {
  return static_cast<int>(Command(options, out, err).run(arguments));
}

int runSettings(const Arguments &arguments,
                const SettingsCommandOptions &options) {
  return runSettings(arguments, options, std::cout, std::cerr);
}

} // namespace savorytrestle::operators
