#ifndef SAVORYTRESTLE_TESTS_CRASHABLE_LEAVES_H
#define SAVORYTRESTLE_TESTS_CRASHABLE_LEAVES_H

/// @file
/// @brief Leaves that end when they begin to run certain requests, and the
/// record of which requests did so.

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "NodeDeployment.h"
#include "standins/RawLeaf.h"

namespace savorytrestle::tests {

/// @brief The leaves; all members run on the stand-ins' thread unless noted.
class CrashableLeaves {
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// @brief A request that a leaf began to run.
  struct Run {
    TimePoint At;
    std::string Path;
    std::string RequestId;
  };

  /// Part of the path of requests that end their leaves.
  static constexpr const char *Deadly = "/deadly";
  /// The same of those that end them after a while, whether or not the
  /// connection has been closed.
  static constexpr const char *DeadlyLate = "/deadly-late";
  static constexpr std::chrono::milliseconds LateAfter{150};
  /// Time after which a leaf that has ended is back, as another instance.
  static constexpr std::chrono::milliseconds RestartTime{2500};
  /// Time after which the store removes the entry of a leaf that has ended.
  static constexpr std::chrono::milliseconds EntryLifetime{3600};
  /// Time in which hosts hear of a new leaf.
  static constexpr std::chrono::milliseconds NewsTime{1000};
  /// Time that leaves work on other requests.
  static constexpr std::chrono::milliseconds Work{30};

  explicit CrashableLeaves(NodeDeployment &deployment) : Cluster(deployment) {}

  /// @brief Adds leaves in the failure domains a, b and c in turn. Callable
  /// from the test's thread.
  void add(const std::string &service, int count) {
    Cluster.runOnStandInThread([&] {
      for (int i = 0; i < count; ++i)
        start(service, std::string(1, "abc"[i % 3]));
      return 0;
    });
  }

  /// @brief Runs of deadly requests, oldest first. Callable from the test's
  /// thread.
  std::vector<Run> deadlyRuns() {
    return Cluster.runOnStandInThread([&] { return Runs; });
  }

  /// @brief Whether one leaf of a service lived, and was known, for a whole
  /// time. Callable from the test's thread.
  bool anyLived(const std::string &service, TimePoint from, TimePoint until) {
    return Cluster.runOnStandInThread([&] {
      return std::any_of(Leaves.begin(), Leaves.end(), [&](const auto &it) {
        return it->Service == service && it->StartedAt + NewsTime <= from &&
               it->EndedAt >= until;
      });
    });
  }

  /// @brief Makes leaves reset the connection in place of a part of their
  /// answers, without ending. Callable from the test's thread.
  void setResetShare(double share) {
    Cluster.runOnStandInThread([&] {
      ResetShare = share;
      return 0;
    });
  }

  /// @brief Ends all leaves of a service at once. Callable from the test's
  /// thread.
  void crashAll(const std::string &service) {
    Cluster.runOnStandInThread([&] {
      // Copied, as ended leaves are started again.
      const auto all = Leaves;
      for (const auto &leaf : all)
        if (leaf->Service == service && leaf->Alive)
          end(*leaf);
      return 0;
    });
  }

private:
  struct Leaf {
    std::string Id;
    std::string Service;
    std::string Domain;
    bool Alive = true;
    TimePoint StartedAt;
    TimePoint EndedAt = TimePoint::max();
    std::unique_ptr<RawLeaf> Listener;
  };

  void start(const std::string &service, const std::string &domain) {
    const auto leaf = std::make_shared<Leaf>();
    leaf->Id = "i-" + std::to_string(++Count);
    leaf->Service = service;
    leaf->Domain = domain;
    leaf->StartedAt = std::chrono::steady_clock::now();
    leaf->Listener = std::make_unique<RawLeaf>(
        Cluster.Io, [this, raw = leaf.get()](const std::string &head) {
          return answer(*raw, head);
        });
    Leaves.push_back(leaf);
    Cluster.Store->put(
        "servers/" + leaf->Id,
        nlohmann::json{{"service", service},
                       {"address", leaf->Listener->addressText()},
                       {"zone", domain},
                       {"version", "v1"},
                       {"maxConcurrency", 3},
                       {"state", "ready"},
                       {"warmupLeftMs", 0},
                       {"sequence", 1},
                       {"born", Count}}
            .dump());
  }

  static std::string header(const std::string &head, const std::string &name) {
    const auto at = head.find(name + ": ");
    if (at == std::string::npos)
      return "";
    const auto from = at + name.size() + 2;
    return head.substr(from, head.find("\r\n", from) - from);
  }

  RawAnswer answer(Leaf &leaf, const std::string &head) {
    const auto from = head.find(' ') + 1;
    const std::string path = head.substr(from, head.find(' ', from) - from);
    const std::string id = header(head, "Savorytrestle-Request-Id");
    const std::string expected =
        header(head, "Savorytrestle-Expected-Instance");
    if (!expected.empty() && expected != leaf.Id)
      return {leafAnswer("", "Savorytrestle-Not-Executed: 1\r\n",
                         "421 Misdirected Request")};
    if (path.find(Deadly) != std::string::npos) {
      Runs.push_back({std::chrono::steady_clock::now(), path, id});
      if (path.find(DeadlyLate) != std::string::npos) {
        after(LateAfter, [this, &leaf] {
          if (leaf.Alive)
            end(leaf);
        });
        return {.Bytes = "", .Delay = std::chrono::hours(1)};
      }
      end(leaf);
      return {.Bytes = "", .Reset = true};
    }
    if (std::uniform_real_distribution<double>()(Random) < ResetShare)
      return {.Bytes = "", .Reset = true};
    return {leafAnswer(std::string(16, 'r'),
                       "Savorytrestle-Request-Id: " + id +
                           "\r\nSavorytrestle-Server-Stamp: stamp-" + leaf.Id +
                           "-" + id + "\r\n"),
            Work};
  }

  void end(Leaf &leaf) {
    leaf.Alive = false;
    leaf.EndedAt = std::chrono::steady_clock::now();
    after(std::chrono::milliseconds(0), [&leaf] { leaf.Listener->crash(); });
    after(EntryLifetime,
          [this, id = leaf.Id] { Cluster.Store->remove("servers/" + id); });
    after(RestartTime, [this, service = leaf.Service, domain = leaf.Domain] {
      start(service, domain);
    });
  }

  template <typename F> void after(std::chrono::milliseconds time, F f) {
    const auto timer =
        std::make_shared<boost::asio::steady_timer>(Cluster.Io, time);
    timer->async_wait([timer, f](const boost::system::error_code &) { f(); });
  }

  NodeDeployment &Cluster;
  std::vector<std::shared_ptr<Leaf>> Leaves;
  std::vector<Run> Runs;
  int Count = 0;
  double ResetShare = 0;
  std::minstd_rand Random{1};
};

/// @brief Requests of callers, sent to any host, and when they were sent.
class DeadlyCallers {
public:
  using TimePoint = CrashableLeaves::TimePoint;

  /// Bounds of laurentides-trestle.
  static constexpr std::chrono::milliseconds StabilityWindow{4000};
  static constexpr std::size_t AllowedRetries = 3;

  /// @brief Sends a request to a host.
  /// @param deadline the request's deadline
  /// @param leaveAfter time after which the caller closes its connection
  /// @return the status; 0 if there was no answer
  int send(const NodeProcess &host, std::size_t index, const std::string &path,
           std::chrono::milliseconds deadline = std::chrono::milliseconds(1000),
           std::chrono::milliseconds leaveAfter = std::chrono::seconds(10)) {
    std::string id;
    {
      const std::lock_guard lock(Mutex);
      id = "d" + std::to_string(++Count);
      Sent[id] = {std::chrono::steady_clock::now(), index};
    }
    return NodeDeployment::get(host.CallerAddress, path,
                               {{"Host", "a.example"},
                                {"Savorytrestle-Request-Id", id},
                                {"Savorytrestle-Deadline-Ms",
                                 std::to_string(deadline.count())}},
                               leaveAfter)
        .Status;
  }

  /// @brief A host is disturbed from now on; it counts as calm once a window
  /// has passed after @ref endDisturbance.
  void startDisturbance(std::size_t host) {
    const std::lock_guard lock(Mutex);
    Disturbances[host].push_back(
        {std::chrono::steady_clock::now(), TimePoint::max()});
  }
  void endDisturbance(std::size_t host) {
    const std::lock_guard lock(Mutex);
    Disturbances[host].back().second = std::chrono::steady_clock::now();
  }

  /// @brief Requests on a path, sent by calm hosts later than the window after
  /// it has ended the third leaf, that reached a leaf.
  std::size_t lateRetries(const std::vector<CrashableLeaves::Run> &runs,
                          const std::string &path) const {
    std::vector<CrashableLeaves::Run> own;
    for (const auto &run : runs)
      if (run.Path == path)
        own.push_back(run);
    if (own.size() < 3)
      return 0;
    const auto from = own[2].At + StabilityWindow;
    std::set<std::string> late;
    for (const auto &run : own)
      if (const auto &sent = Sent.at(run.RequestId);
          sent.first > from && isCalm(sent.second, sent.first))
        late.insert(run.RequestId);
    return late.size();
  }

private:
  bool isCalm(std::size_t host, TimePoint at) const {
    const auto it = Disturbances.find(host);
    return it == Disturbances.end() ||
           std::none_of(it->second.begin(), it->second.end(),
                        [at](const auto &span) {
                          return at >= span.first &&
                                 (span.second == TimePoint::max() ||
                                  at <= span.second + StabilityWindow);
                        });
  }

  mutable std::mutex Mutex;
  std::map<std::string, std::pair<TimePoint, std::size_t>> Sent;
  std::map<std::size_t, std::vector<std::pair<TimePoint, TimePoint>>>
      Disturbances;
  int Count = 0;
};

} // namespace savorytrestle::tests

#endif
