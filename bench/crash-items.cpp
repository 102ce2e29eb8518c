// Measures what the runs and trials of requests that end leaves cost hosts.
//
//   crash-items --hosts=82 --suspects=4096
//
// Starts hosts as processes in three failure domains, with a stand-in for the
// store that holds a run and a trial of each suspect. Prints the calls to the
// store until all hosts are ready, and then for ten seconds its calls, and the
// hosts' processor time; and their resident memory at the end of these.

#include <csignal>
#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include <unistd.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>

#include "NodeDeployment.h"
#include "registry/CrashFeed.h"
#include "registry/TrialFeed.h"

ABSL_FLAG(int, hosts, 7, "host processes");
ABSL_FLAG(int, suspects, 0, "requests under which a leaf has ended");

namespace {

using namespace savorytrestle;

constexpr std::chrono::seconds ObservationTime{10};
constexpr std::chrono::seconds StartTime{120};

struct HostUsage {
  double ResidentKilobytes = 0;
  double ProcessorMs = 0;
};

HostUsage readUsage(pid_t pid) {
  HostUsage usage;
  const std::string folder = "/proc/" + std::to_string(pid);
  std::ifstream status(folder + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.starts_with("VmRSS:"))
      usage.ResidentKilobytes = std::stod(line.substr(6));
  std::string text;
  std::getline(std::ifstream(folder + "/stat"), text);
  // User and system time are the fields 14 and 15; the second one, a name in
  // parentheses, may hold spaces.
  const std::vector<std::string> fields =
      absl::StrSplit(text.substr(text.rfind(')') + 2), ' ');
  usage.ProcessorMs = (std::stod(fields[11]) + std::stod(fields[12])) * 1000 /
                      static_cast<double>(sysconf(_SC_CLK_TCK));
  return usage;
}

HostUsage readUsage(const tests::NodeDeployment &cluster) {
  HostUsage sum;
  for (const auto &node : cluster.Nodes) {
    const HostUsage usage = readUsage(node->Child.id());
    sum.ResidentKilobytes += usage.ResidentKilobytes;
    sum.ProcessorMs += usage.ProcessorMs;
  }
  return sum;
}

/// Returns the bytes of the items.
std::size_t putSuspects(tests::NodeDeployment &cluster, int suspects) {
  return cluster.runOnStandInThread([&] {
    std::size_t bytes = 0;
    const auto put = [&](const std::string &key, const std::string &value) {
      cluster.Store->put(key, value);
      bytes += key.size() + value.size();
    };
    for (int i = 0; i < suspects; ++i) {
      const core::Fingerprint fingerprint{0x9e3779b97f4a7c15ULL * (i + 1),
                                          static_cast<std::uint64_t>(i)};
      const core::FatalRun run{fingerprint, 77, 1, 1, {5}};
      put(registry::crashRunKey(run), registry::encodeCrashRun(run));
      put(registry::trialKey(fingerprint),
          registry::encodeTrial({.Number = 1,
                                 .Failed = 1,
                                 .Lifetime = std::chrono::seconds(5),
                                 .Host = "node-0"}));
    }
    return bytes;
  });
}

} // namespace

int main(int argc, char **argv) {
  absl::ParseCommandLine(argc, argv);
  const int hosts = absl::GetFlag(FLAGS_hosts);
  tests::NodeDeployment cluster;
  cluster.FleetStarts = true;
  for (const char *domain : {"a", "b", "c"})
    cluster.addLeaf(std::string("i-plain") + domain, "plain", domain);
  cluster.putConfig(tests::testConfig(3, {"plain"}));
  const auto bytes = putSuspects(cluster, absl::GetFlag(FLAGS_suspects));
  const auto calls = [&] {
    return cluster.runOnStandInThread([&] { return cluster.Store->calls(); });
  };
  for (int i = 0; i < hosts; ++i)
    cluster.addNode(false, std::string(1, "abc"[i % 3]));
  for (const auto &node : cluster.Nodes)
    if (!testing::eventually([&] { return cluster.ready(*node); }, StartTime)) {
      std::printf("%s isn't ready in time\n", node->Id.c_str());
      return 1;
    }
  const auto atStart = calls();
  // The hosts plan who reads the store.
  std::this_thread::sleep_for(ObservationTime);
  const auto before = calls();
  const HostUsage usageBefore = readUsage(cluster);
  std::this_thread::sleep_for(ObservationTime);
  const HostUsage usage = readUsage(cluster);
  std::printf("hosts=%d suspects=%d item_bytes=%zu start_calls=%zu "
              "calls_in_10_s=%zu resident_kb_a_host=%.0f "
              "processor_ms_a_host=%.1f\n",
              hosts, absl::GetFlag(FLAGS_suspects), bytes, atStart,
              calls() - before, usage.ResidentKilobytes / hosts,
              (usage.ProcessorMs - usageBefore.ProcessorMs) / hosts);
  return 0;
}
