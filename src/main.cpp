#include <algorithm>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include "bench/Bench.h"
#include "operators/ExplainCommand.h"
#include "operators/SettingsCommand.h"
#include "serve/Host.h"
#include "serve/PlatformHost.h"
#include "support/Log.h"
#include "support/StopSignals.h"
#include "support/Version.h"

ABSL_FLAG(std::string, config, "", "serve, check: the host's YAML file");
ABSL_FLAG(std::string, admin, "127.0.0.1:7080",
          "settings: administration listener of any host");
ABSL_FLAG(std::string, token_file, "",
          "settings: file whose first line is the operator's token");
ABSL_FLAG(std::string, change_id, "", "settings: id of the change to resend");
ABSL_FLAG(std::optional<std::uint64_t>, base_revision, std::nullopt,
          "settings: revision that the change is based on; a later change of "
          "the same keys is a conflict");
ABSL_FLAG(std::string, operator_name, "",
          "settings: name of the operator for the audit trail");
ABSL_FLAG(bool, json, false, "settings, explain, bench: prints JSON");
ABSL_FLAG(std::string, status, "",
          "explain: metrics listener (listen.metrics) of the host");
ABSL_FLAG(std::string, request_host, "", "explain: host name of the request");
ABSL_FLAG(std::string, request_path, "", "explain: path of the request");
ABSL_FLAG(int, deadline_ms, 0,
          "explain: time that the caller has; 0 for the route's");
ABSL_FLAG(std::string, workspace, "", "explain: workspace of the request");
ABSL_FLAG(std::string, bench_case, "all", "bench: one case, or all");
ABSL_FLAG(std::string, deployment, "all", "bench: one deployment, or all");
ABSL_FLAG(std::string, service, "all", "bench: one service, or all");
ABSL_FLAG(std::uint64_t, seed, 1, "bench: seed");
ABSL_FLAG(std::uint64_t, searches, 5000, "bench: searches of each run");

namespace {

using namespace savorytrestle;

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

constexpr const char *Usage =
    "a query tier over many shards\n\n"
    "usage: savorytrestle COMMAND [flags]\n\n"
    "  serve --config=FILE   runs an entry host until SIGTERM or SIGINT\n"
    "  check --config=FILE   checks a host's YAML file and exits\n"
    "  node --config=FILE    runs a platform host until SIGTERM or SIGINT\n"
    "  check-node --config=FILE  checks a platform host's YAML file and exits\n"
    "  settings ARGUMENTS    reads and changes the settings; \"settings "
    "help\"\n"
    "  explain --status=HOST --request_host=NAME --request_path=PATH\n"
    "                        states where a running host would send a request "
    "now,\n"
    "                        and why, without sending it\n"
    "  bench                 compares the search policy with the baseline on "
    "a\n"
    "                        virtual clock\n"
    "  version               prints the version\n\n"
    "exit codes: 0 done, 1 failed or refused, 2 wrong usage,\n"
    "3 outcome of a settings change unknown, 4 no host reached\n";

int checkHost(const std::string &path) {
  const auto config = serve::loadHostConfig(path);
  if (!config) {
    std::fprintf(stderr, "%s\n", config.error().Message.c_str());
    return ExitFailed;
  }
  std::printf("%s: ok\n", path.c_str());
  return ExitOk;
}

int checkPlatformHost(const std::string &path) {
  const auto config = serve::loadPlatformHostConfig(path);
  if (!config) {
    std::fprintf(stderr, "%s\n", config.error().Message.c_str());
    return ExitFailed;
  }
  std::printf("%s: ok\n", path.c_str());
  return ExitOk;
}

int runPlatformHost(const std::string &path) {
  std::signal(SIGPIPE, SIG_IGN);
  const auto config = serve::loadPlatformHostConfig(path);
  if (!config) {
    std::fprintf(stderr, "%s\n", config.error().Message.c_str());
    return ExitFailed;
  }
  serve::PlatformHost host(*config, path);
  if (const auto result = host.run(); !result) {
    std::fprintf(stderr, "%s\n", result.error().Message.c_str());
    return ExitFailed;
  }
  return ExitOk;
}

/// Runs a host with its log on standard output, and ends the process.
template <typename Run> [[noreturn]] void runWithLogAndExit(Run run) {
  support::startLogging("savorytrestle");
  const int status = run();
  support::flushLog();
  // An ordinary exit would wait for the log writer, which blocks while nothing
  // reads standard output.
  std::_Exit(status);
}

int runHost(const std::string &path) {
  const support::StopSignals signals;
  std::signal(SIGPIPE, SIG_IGN);
  const auto config = serve::loadHostConfig(path);
  if (!config) {
    std::fprintf(stderr, "%s\n", config.error().Message.c_str());
    return ExitFailed;
  }
  auto host = serve::Host::start(*config);
  if (!host) {
    std::fprintf(stderr, "%s\n", host.error().Message.c_str());
    return ExitFailed;
  }
  signals.wait();
  return (*host)->drain() ? ExitOk : ExitFailed;
}

int runSettings(const std::vector<std::string> &arguments) {
  operators::SettingsCommandOptions options;
  options.Admin = absl::GetFlag(FLAGS_admin);
  options.TokenFile = absl::GetFlag(FLAGS_token_file);
  options.ChangeId = absl::GetFlag(FLAGS_change_id);
  options.BaseRevision = absl::GetFlag(FLAGS_base_revision);
  options.Operator = absl::GetFlag(FLAGS_operator_name);
  options.Json = absl::GetFlag(FLAGS_json);
  return operators::runSettings(arguments, options);
}

int runExplain() {
  operators::ExplainOptions options;
  options.Status = absl::GetFlag(FLAGS_status);
  options.Host = absl::GetFlag(FLAGS_request_host);
  options.Path = absl::GetFlag(FLAGS_request_path);
  options.DeadlineMs = absl::GetFlag(FLAGS_deadline_ms);
  options.Workspace = absl::GetFlag(FLAGS_workspace);
  options.Json = absl::GetFlag(FLAGS_json);
  return operators::runExplain(options, std::cout, std::cerr);
}

int runBench() {
  bench::BenchOptions options;
  options.Case = absl::GetFlag(FLAGS_bench_case);
  options.Deployment = absl::GetFlag(FLAGS_deployment);
  options.Service = absl::GetFlag(FLAGS_service);
  options.Seed = absl::GetFlag(FLAGS_seed);
  options.Searches = absl::GetFlag(FLAGS_searches);
  options.Json = absl::GetFlag(FLAGS_json);
  return bench::runBench(options);
}

int usageError(const std::string &message) {
  std::fprintf(stderr, "savorytrestle: %s\nTry savorytrestle --help\n",
               message.c_str());
  return ExitUsage;
}

int dispatch(const std::vector<std::string> &arguments) {
  if (arguments.empty())
    return usageError("no command");
  const std::string &command = arguments.front();
  if (command == "version") {
    std::printf("savorytrestle %s\n", support::Version.data());
    return ExitOk;
  }
  if (command == "settings")
    return runSettings({arguments.begin() + 1, arguments.end()});
  if (command == "explain")
    return runExplain();
  if (command == "bench")
    return runBench();
  const std::vector<std::string> withConfig{"serve", "check", "node",
                                            "check-node"};
  if (std::find(withConfig.begin(), withConfig.end(), command) ==
      withConfig.end())
    return usageError("unknown command '" + command + "'");
  const std::string path = absl::GetFlag(FLAGS_config);
  if (path.empty())
    return usageError(command + " needs --config=FILE");
  if (command == "node")
    runWithLogAndExit([&] { return runPlatformHost(path); });
  if (command == "check-node")
    return checkPlatformHost(path);
  if (command == "check")
    return checkHost(path);
  runWithLogAndExit([&] { return runHost(path); });
}

} // namespace

int main(int argc, char **argv) {
  absl::SetProgramUsageMessage(Usage);
  absl::FlagsUsageConfig helpConfig;
  // --help shows this program's own flags, not those of its libraries.
  helpConfig.contains_help_flags = [](absl::string_view file) {
    return file.find("src/main.cpp") != absl::string_view::npos;
  };
  absl::SetFlagsUsageConfig(helpConfig);
  const auto arguments = absl::ParseCommandLine(argc, argv);
  return dispatch({arguments.begin() + 1, arguments.end()});
}
