#ifndef SAVORYTRESTLE_TESTS_LEAF_LOAD_MODEL_H
#define SAVORYTRESTLE_TESTS_LEAF_LOAD_MODEL_H

/// @file
/// @brief Model of the leaves of one service and of the hosts that choose among
/// them, without a network. Leaves have slots and a queue, differ in speed,
/// slow down for a moment and pause; hosts learn from their own replies and
/// from the reports of their failure domain.

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "savorytrestle/core/balance/LeafScore.h"

namespace model {

using namespace savorytrestle;
using Milliseconds = std::chrono::duration<double, std::milli>;

/// @brief How hosts choose a leaf.
enum class Choice {
  Estimate,  ///< by cost, with the estimate of the other hosts' requests
  FaceValue, ///< by cost, as if there were no other hosts
  TwoRandom, ///< the cheaper of two random leaves
  Random,    ///< any leaf
  Perfect,   ///< by cost, with the present load of all leaves
};

struct Scenario {
  int Hosts = 7;
  int Leaves = 30;
  int Slots = 3;
  /// Work of one request at a leaf of usual speed.
  double WorkMs = 220;
  double Utilization = 0.5;
  /// Leaves that are eight times slower all the time.
  int SlowLeaves = 0;
  /// Whether hosts and leaves are spread over three regions, else one.
  bool Regions = false;
  double Seconds = 40;
};

struct Outcome {
  /// Mean over seconds of the largest load of a leaf over the mean load.
  double LargestOverMean = 0;
  /// Mean share of idle slots at the moments at which a request waits.
  double IdleWhileQueued = 0;
  /// Mean change of a leaf's load from second to second, of the mean load.
  double Swing = 0;
  /// Latency of callers' requests.
  double MeanMs = 0;
  double P99Ms = 0;
};

/// @brief One run of the model, with the same arrivals for each way to choose.
class Simulation {
public:
  Simulation(Choice how, const Scenario &setup, unsigned seed)
      : How(how), Config(setup), Random(seed), Leaves(setup.Leaves),
        Hosts(setup.Hosts), Reports(std::min(Domains, setup.Hosts)) {
    constexpr double Speeds[] = {0.8, 1.0, 1.3};
    constexpr double MeanNoise = 1.15;
    for (int i = 0; i < setup.Leaves; ++i) {
      Leaves[i].Speed = i < setup.SlowLeaves ? 8 : Speeds[i % 3];
      Leaves[i].Phase = uniform() * PausePeriodMs;
      Rate += setup.Utilization * setup.Slots /
              (setup.WorkMs * Leaves[i].Speed * MeanNoise);
    }
    for (int h = 0; h < setup.Hosts; ++h) {
      Hosts[h].Expected = core::ExpectedLatency(span(setup.WorkMs));
      for (int i = 0; i < setup.Leaves; ++i)
        Hosts[h].Scores.emplace_back(isRemote(h, i)
                                         ? core::LeafDistance::Remote
                                         : core::LeafDistance::SameDomain,
                                     setup.Slots);
    }
  }

  Outcome run() {
    push(0, [this](double now) { arrive(now); });
    push(0, [this](double now) { changeNoise(now); });
    push(ReportMs, [this](double now) { exchange(now); });
    push(1000, [this](double now) { sample(now); });
    while (Events.top().At < Config.Seconds * 1000) {
      const Event event = Events.top();
      Events.pop();
      event.Run(event.At);
    }
    std::sort(Latencies.begin(), Latencies.end());
    for (const double latency : Latencies)
      Result.MeanMs += latency / static_cast<double>(Latencies.size());
    Result.P99Ms = Latencies[Latencies.size() * 99 / 100];
    Result.LargestOverMean /= Samples;
    Result.Swing /= Samples;
    Result.IdleWhileQueued /= static_cast<double>(Latencies.size());
    return Result;
  }

private:
  static constexpr int Domains = 6;
  static constexpr double PausePeriodMs = 7500;
  static constexpr double PauseMs = 300;
  static constexpr double ReportMs = 300;
  static constexpr double WarmUpMs = 5000;

  struct Request {
    int Host;
    double At;
    std::uint64_t Handle;
  };
  struct LeafState {
    double Speed = 1;
    double Phase = 0;
    bool Noisy = false;
    int Running = 0;
    std::deque<Request> Queue{};
    /// Time integral of the load in this second, and of the one before.
    double Load = 0;
    double LastLoad = 0;
    double Counted = 0;
    int total() const { return Running + static_cast<int>(Queue.size()); }
  };
  struct HostState {
    std::vector<core::LeafScore> Scores{};
    core::ExpectedLatency Expected{core::Duration{1}};
    core::OtherHostsLoad Others{};
  };
  struct Event {
    double At;
    std::function<void(double)> Run;
    bool operator<(const Event &other) const { return At > other.At; }
  };

  static core::Duration span(double ms) {
    return std::chrono::duration_cast<core::Duration>(Milliseconds(ms));
  }
  static core::TimePoint time(double ms) {
    return core::TimePoint{} + std::chrono::hours(1) + span(ms);
  }
  double uniform() { return std::uniform_real_distribution<>(0, 1)(Random); }
  void push(double at, std::function<void(double)> run) {
    Events.push({at, std::move(run)});
  }
  bool isRemote(int host, int leaf) const {
    return Config.Regions && host % 3 != leaf % 3;
  }
  double oneWayMs(int host, int leaf) const {
    return isRemote(host, leaf) ? 12 : 1;
  }

  std::size_t choose(HostState &host, double now) {
    const auto pick = [&] {
      return static_cast<std::size_t>(uniform() * Config.Leaves);
    };
    if (How == Choice::Random)
      return pick();
    std::size_t best = 0;
    double bestCost = 0;
    for (int k = 0; k < (How == Choice::TwoRandom ? 2 : Config.Leaves); ++k) {
      const std::size_t i =
          How == Choice::TwoRandom ? pick() : static_cast<std::size_t>(k);
      if (How == Choice::Perfect)
        host.Scores[i].onLoadReport(time(now), load(Leaves[i]));
      const double others =
          How == Choice::FaceValue ? 0 : host.Others.perSlot();
      const double cost =
          (1 + 0.2 * uniform()) *
          static_cast<double>(host.Scores[i]
                                  .cost(time(now), host.Expected.get(), others)
                                  .count());
      if (k == 0 || cost < bestCost) {
        best = i;
        bestCost = cost;
      }
    }
    return best;
  }

  core::ReportedLoad load(const LeafState &leaf) const {
    return {leaf.Running, static_cast<int>(leaf.Queue.size()), Config.Slots};
  }

  void arrive(double now) {
    push(now - std::log(1 - uniform()) / Rate, [this](double t) { arrive(t); });
    // Demand moves around the failure domains.
    int h = 0;
    do
      h = static_cast<int>(uniform() * Config.Hosts);
    while (uniform() * 1.55 >
           1 + 0.55 * std::sin(2 * M_PI * (now / 15000 + (h % Domains) / 6.0)));
    const auto i = static_cast<int>(choose(Hosts[h], now));
    const Request request{
        h, now, Hosts[h].Scores[i].onSend(time(now), Hosts[h].Expected.get())};
    push(now + oneWayMs(h, i), [this, i, request](double t) {
      count(Leaves[i], t);
      Leaves[i].Queue.push_back(request);
      startWork(i, t);
    });
    if (now > WarmUpMs)
      countIdle();
  }

  void startWork(int i, double now) {
    LeafState &leaf = Leaves[i];
    while (leaf.Running < Config.Slots && !leaf.Queue.empty()) {
      const Request request = leaf.Queue.front();
      leaf.Queue.pop_front();
      ++leaf.Running;
      double end = now + Config.WorkMs * leaf.Speed * (leaf.Noisy ? 2.5 : 1) *
                             (0.6 + 0.8 * uniform());
      // Work stops within pauses.
      const double phase = std::fmod(now + leaf.Phase, PausePeriodMs);
      if (phase < PauseMs)
        end += PauseMs - phase;
      else if (phase + end - now > PausePeriodMs)
        end += PauseMs;
      push(end, [this, i, request](double t) { endWork(i, request, t); });
    }
  }

  void endWork(int i, const Request &request, double now) {
    count(Leaves[i], now);
    --Leaves[i].Running;
    startWork(i, now);
    const auto reported = load(Leaves[i]);
    push(now + oneWayMs(request.Host, i),
         [this, i, request, reported](double t) {
           HostState &host = Hosts[request.Host];
           core::LeafScore &score = host.Scores[i];
           const double latency = t - request.At;
           score.onEnd(request.Handle);
           host.Others.record(reported, score.outstanding());
           score.onLoadReport(time(t), reported);
           score.onAnswer(time(t), span(latency), host.Expected.get());
           host.Expected.record(span(latency));
           if (request.At > WarmUpMs)
             Latencies.push_back(latency);
         });
  }

  void changeNoise(double now) {
    for (LeafState &leaf : Leaves)
      leaf.Noisy = uniform() < 0.15;
    push(now + 600, [this](double t) { changeNoise(t); });
  }

  void exchange(double now) {
    const int domains = static_cast<int>(Reports.size());
    for (int h = 0; h < Config.Hosts; ++h)
      for (int i = 0; i < Config.Leaves; ++i)
        if (const auto report = Hosts[h].Scores[i].takeReport(time(now)))
          Reports[h % domains].add(std::to_string(h), std::to_string(i),
                                   *report, time(now));
    for (int d = 0; d < domains; ++d)
      for (const auto &[id, merged] : Reports[d].merge(time(now)))
        for (int h = d; h < Config.Hosts; h += domains)
          Hosts[h].Scores[std::stoul(id)].onReport(merged.Report,
                                                   time(now) - merged.Age);
    push(now + ReportMs, [this](double t) { exchange(t); });
  }

  static void count(LeafState &leaf, double now) {
    leaf.Load += leaf.total() * (now - leaf.Counted);
    leaf.Counted = now;
  }

  void countIdle() {
    bool queued = false;
    int idle = 0;
    for (const LeafState &leaf : Leaves) {
      queued = queued || !leaf.Queue.empty();
      idle += Config.Slots - leaf.Running;
    }
    if (queued)
      Result.IdleWhileQueued +=
          static_cast<double>(idle) / (Config.Slots * Config.Leaves);
  }

  void sample(double now) {
    double sum = 0;
    double largest = 0;
    double change = 0;
    for (LeafState &leaf : Leaves) {
      count(leaf, now);
      sum += leaf.Load;
      largest = std::max(largest, leaf.Load);
      change += std::abs(leaf.Load - leaf.LastLoad);
      leaf.LastLoad = std::exchange(leaf.Load, 0);
    }
    if (now > WarmUpMs && sum > 0) {
      Result.LargestOverMean += largest * Config.Leaves / sum;
      Result.Swing += change / sum;
      ++Samples;
    }
    push(now + 1000, [this](double t) { sample(t); });
  }

  Choice How;
  Scenario Config;
  std::minstd_rand Random;
  std::vector<LeafState> Leaves;
  std::vector<HostState> Hosts;
  std::vector<core::LeafReports> Reports;
  std::priority_queue<Event> Events;
  double Rate = 0;
  std::vector<double> Latencies;
  int Samples = 0;
  Outcome Result;
};

} // namespace model

#endif
