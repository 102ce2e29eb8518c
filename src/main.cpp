#include <csignal>
#include <cstdio>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include "serve/Host.h"
#include "support/Log.h"
#include "support/Version.h"

ABSL_FLAG(std::string, config, "", "serve, check: the host's YAML file");

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
    "  version               prints the version\n\n"
    "exit codes: 0 done, 1 failed or refused, 2 wrong usage\n";

/// Blocks the stop signals in this thread and all it starts.
sigset_t blockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

int check(const std::string &path) {
  const auto config = serve::loadHostConfig(path);
  if (!config) {
    std::fprintf(stderr, "%s\n", config.error().Message.c_str());
    return ExitFailed;
  }
  std::printf("%s: ok\n", path.c_str());
  return ExitOk;
}

int runHost(const std::string &path) {
  const sigset_t signals = blockStopSignals();
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
  int received = 0;
  sigwait(&signals, &received);
  return (*host)->drain() ? ExitOk : ExitFailed;
}

int usage(const std::string &why) {
  std::fprintf(stderr, "savorytrestle: %s\nTry savorytrestle --help\n",
               why.c_str());
  return ExitUsage;
}

int dispatch(const std::vector<std::string> &words) {
  if (words.empty())
    return usage("no command");
  const std::string &command = words.front();
  if (command == "version") {
    std::printf("savorytrestle %s\n", support::Version.data());
    return ExitOk;
  }
  if (command != "serve" && command != "check")
    return usage("unknown command '" + command + "'");
  const std::string path = absl::GetFlag(FLAGS_config);
  if (path.empty())
    return usage(command + " needs --config=FILE");
  return command == "check" ? check(path) : runHost(path);
}

} // namespace

int main(int argc, char **argv) {
  absl::SetProgramUsageMessage(Usage);
  absl::FlagsUsageConfig help;
  // --help shows this program's own flags, not those of its libraries.
  help.contains_help_flags = [](absl::string_view file) {
    return file.find("src/main.cpp") != absl::string_view::npos;
  };
  absl::SetFlagsUsageConfig(help);
  const auto rest = absl::ParseCommandLine(argc, argv);
  support::startLogging(argv[0]);
  return dispatch({rest.begin() + 1, rest.end()});
}
