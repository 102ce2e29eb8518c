#ifndef SAVORYTRESTLE_TESTS_LOAD_MODEL_H
#define SAVORYTRESTLE_TESTS_LOAD_MODEL_H

/// @file
/// @brief Simulates callers, hosts and leaves, with the decisions of core.

#include <deque>
#include <memory>
#include <random>
#include <vector>

#include "LoadModelParts.h"
#include "savorytrestle/core/HedgePolicy.h"
#include "savorytrestle/core/admission/LoadAdmission.h"
#include "savorytrestle/core/admission/RefusalPolicy.h"
#include "savorytrestle/core/admission/WorkTimes.h"
#include "savorytrestle/core/balance/LeafScore.h"
#include "savorytrestle/core/rates/SharedRetryBudget.h"

namespace savorytrestle::load {

/// @brief The simulation.
class LoadModel : private EventQueue {
public:
  int Hosts = 12, Services = 36, LeavesPerService = 3;
  bool ByLoad = false;
  std::vector<Kind> Kinds;
  std::vector<Outcome> Outcomes;
  /// Earlier requests aren't counted, since queues have to fill first.
  Duration CountedFrom = 1s;
  int Rejections = 0, Hedges = 0;

  explicit LoadModel(std::uint64_t seed) : Random(seed) {}

  void run(Duration time) {
    setUp();
    End = Now + time;
    for (std::size_t k = 0; k < Kinds.size(); ++k)
      scheduleArrival(k);
    runEvents();
  }

private:
  static constexpr int Slots = 4, QueueLimit = 24;
  static constexpr Duration OneWay = 1ms;

  struct Caller {
    std::size_t Kind;
    TimePoint Start;
    int Attempts = 0;
    bool HeldLong = false;
  };
  struct Call;
  struct Request {
    std::size_t Host;
    Caller From;
    TimePoint Start;
    double Draw;
    core::ShardCounts Shards;
    std::vector<std::shared_ptr<Call>> Calls;
    bool Ran = false;
    bool Done = false;
  };
  struct Call {
    std::shared_ptr<Request> Owner;
    std::size_t Service;
    std::size_t Leaf = 0;
    std::uint64_t Handle = 0;
    TimePoint SentAt{};
    bool Queued = false, Running = false, Ended = false;
  };
  struct Leaf {
    double Speed;
    Duration PausePhase;
    int Running = 0;
    std::deque<std::shared_ptr<Call>> Queue{};
  };
  struct Host {
    std::vector<std::vector<core::LeafScore>> Scores;
    std::vector<core::WorkTimes> Work;
    std::vector<core::SharedRetryBudget> Budgets;
    std::vector<core::ExpectedLatency> Latencies;
    core::LoadAdmission Admission;
  };
  using RequestPtr = std::shared_ptr<Request>;
  using CallPtr = std::shared_ptr<Call>;
  Outcome &outcomeOf(const Caller &caller) {
    return caller.Start.time_since_epoch() < CountedFrom
               ? NotCounted
               : Outcomes[caller.Kind];
  }
  double draw() { return std::uniform_real_distribution<double>()(Random); }
  const core::RouteRule &route(const Request &r) const {
    return Kinds[r.From.Kind].Route;
  }

  void setUp() {
    Outcomes.assign(Kinds.size(), {});
    const double speeds[] = {0.8, 1.0, 1.3};
    for (int s = 0; s < Services; ++s)
      for (int l = 0; l < LeavesPerService; ++l)
        Leaves.push_back(
            {speeds[l % 3], Duration(7500ms) * int(draw() * 100) / 100});
    for (int h = 0; h < Hosts; ++h) {
      Host host;
      for (int s = 0; s < Services; ++s) {
        host.Scores.emplace_back(
            LeavesPerService,
            core::LeafScore(core::LeafDistance::SameDomain, Slots));
        host.Work.emplace_back();
        host.Budgets.emplace_back(core::RetryBudgetRule{0.2, 50, 10s});
        host.Budgets.back().setHostCount(Hosts);
      }
      for (const Kind &kind : Kinds)
        host.Latencies.emplace_back(Duration(kind.Route.Objective) * 15 / 100);
      AllHosts.push_back(std::move(host));
    }
  }

  static std::shared_ptr<Call> newCall(const RequestPtr &owner,
                                       std::size_t service) {
    auto call = std::make_shared<Call>();
    call->Owner = owner;
    call->Service = service;
    return call;
  }

  void scheduleArrival(std::size_t k) {
    const double gap =
        std::exponential_distribution<double>(Kinds[k].PerSecond)(Random);
    at(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap)),
       [this, k] {
         if (Now > End)
           return;
         ++outcomeOf({k, Now, 0, false}).Sent;
         arrive({k, Now, 0, false});
         scheduleArrival(k);
       });
  }

  void arrive(Caller caller) {
    auto request = std::make_shared<Request>();
    request->Host = Random() % AllHosts.size();
    request->From = caller;
    request->Start = Now;
    request->Draw = draw();
    if (ByLoad)
      AllHosts[request->Host].Admission.onArrival(kindOf(*request), Now);
    admit(request);
  }

  core::RequestKind kindOf(const Request &r) const {
    return {"s",
            route(r).Name,
            "",
            route(r).Priority,
            route(r).Objective,
            AllHosts[r.Host].Work[0].of(route(r).Name)};
  }

  core::Room roomAt(const Request &r, std::size_t service) const {
    const Host &host = AllHosts[r.Host];
    std::vector<core::Room> rooms;
    for (const auto &score : host.Scores[service])
      rooms.push_back(core::roomOf(score.load(Now), host.Work[service].mean()));
    return core::roomOfAny(rooms);
  }

  TimePoint deadline(const Request &r) const {
    return r.From.Start + route(r).Timeout;
  }

  void admit(const RequestPtr &r) {
    core::AdmissionVerdict verdict;
    if (ByLoad) {
      std::vector<core::Room> rooms;
      rooms.reserve(Services);
      for (int s = 0; s < Services; ++s)
        rooms.push_back(roomAt(*r, std::size_t(s)));
      const auto needed = route(*r).sharded() ? core::minShards(route(*r)) : 1;
      verdict = AllHosts[r->Host].Admission.decide(
          kindOf(*r), core::roomOfSome(rooms, needed), deadline(*r) - Now,
          Now - r->Start, r->Draw, Now);
    }
    if (verdict.Step == core::AdmissionStep::Hold)
      return at(verdict.Wait, [this, r] { admit(r); });
    if (verdict.Step == core::AdmissionStep::Refuse)
      return refuse(*r, core::retryAfter(route(*r), Now, Now + verdict.Wait,
                                         deadline(*r), draw()));
    r->Shards.Total = std::size_t(Services);
    for (int s = 0; s < Services; ++s) {
      r->Calls.push_back(newCall(r, std::size_t(s)));
      AllHosts[r->Host].Budgets[std::size_t(s)].onRequest();
      send(r->Calls.back(), 0);
    }
    const auto plan = core::planHedge(
        route(*r), AllHosts[r->Host].Latencies[r->From.Kind].get());
    at(plan.HedgeDelay, [this, r] { hedge(r); });
    if (route(*r).sharded())
      at(core::partialAnswerDelay(route(*r)), [this, r] { advance(r); });
    at(deadline(*r) - Now, [this, r] {
      if (!r->Done)
        finish(*r, false);
    });
  }

  /// Sends a call to the leaf of least cost, another than the one tried.
  void send(const CallPtr &call, int excluded) {
    Request &r = *call->Owner;
    auto &scores = AllHosts[r.Host].Scores[call->Service];
    const auto expected = AllHosts[r.Host].Latencies[r.From.Kind].get();
    double least = 0;
    for (std::size_t l = 0; l < scores.size(); ++l) {
      const double cost =
          (1 + 0.2 * draw()) * double(scores[l].cost(Now, expected).count());
      if (int(l) + 1 != excluded && (least == 0 || cost < least)) {
        least = cost;
        call->Leaf = l;
      }
    }
    call->SentAt = Now;
    call->Handle = scores[call->Leaf].onSend(Now, expected);
    at(OneWay, [this, call] { reachLeaf(call); });
  }

  Leaf &leafOf(const Call &call) {
    return Leaves[call.Service * std::size_t(LeavesPerService) + call.Leaf];
  }

  void reachLeaf(const CallPtr &call) {
    if (call->Ended)
      return;
    Leaf &leaf = leafOf(*call);
    if (leaf.Running < Slots)
      return execute(leaf, call);
    const core::ReportedLoad load{leaf.Running, int(leaf.Queue.size()), Slots};
    if (leaf.Queue.size() < QueueLimit) {
      call->Queued = true;
      return leaf.Queue.push_back(call);
    }
    ++Rejections;
    at(OneWay, [this, call, load] { onRejected(call, load); });
  }

  void execute(Leaf &leaf, const CallPtr &call) {
    ++leaf.Running;
    call->Running = true;
    call->Owner->Ran = true;
    const double mean =
        double(Kinds[call->Owner->From.Kind].Work.count()) * leaf.Speed;
    // Work varies between half and one and a half of its mean.
    Duration work(Duration::rep(mean * (0.5 + draw())));
    at(withPause(work, Now, leaf.PausePhase), [this, call] {
      if (call->Ended)
        return;
      release(call);
      Leaf &from = leafOf(*call);
      const core::ReportedLoad load{from.Running, int(from.Queue.size()),
                                    Slots};
      at(OneWay, [this, call, load] { onAnswered(call, load); });
    });
  }

  /// Frees the slot or place of a call that is executed or queued.
  void release(const CallPtr &call) {
    Leaf &leaf = leafOf(*call);
    if (std::exchange(call->Queued, false))
      std::erase(leaf.Queue, call);
    if (!std::exchange(call->Running, false))
      return;
    --leaf.Running;
    if (leaf.Queue.empty())
      return;
    const CallPtr next = leaf.Queue.front();
    leaf.Queue.pop_front();
    next->Queued = false;
    execute(leaf, next);
  }

  void end(const CallPtr &call) {
    if (std::exchange(call->Ended, true))
      return;
    AllHosts[call->Owner->Host].Scores[call->Service][call->Leaf].onEnd(
        call->Handle);
    release(call);
  }

  void onRejected(const CallPtr &call, const core::ReportedLoad &load) {
    if (call->Ended)
      return;
    end(call);
    const RequestPtr r = call->Owner;
    auto &score = AllHosts[r->Host].Scores[call->Service][call->Leaf];
    score.onLoadReport(Now, load);
    score.onFailure(Now);
    if (ByLoad)
      score.onQueueFull(load);
    if (resend(*call))
      return;
    ++r->Shards.Failed;
    advance(r);
  }

  /// Sends a call again, or a hedge of it, if budget and room allow.
  bool resend(const Call &call) {
    const RequestPtr r = call.Owner;
    auto &budget = AllHosts[r->Host].Budgets[call.Service];
    if (ByLoad && roomAt(*r, call.Service).Full)
      return false;
    int sent = 0;
    for (const auto &other : r->Calls)
      sent += other->Service == call.Service ? 1 : 0;
    if (sent >= route(*r).MaxLeaves || !budget.trySpend(Now))
      return false;
    r->Calls.push_back(newCall(r, call.Service));
    send(r->Calls.back(), int(call.Leaf) + 1);
    return true;
  }

  void hedge(const RequestPtr &r) {
    if (r->Done)
      return;
    const auto calls = r->Calls;
    for (const auto &call : calls)
      if (!call->Ended && resend(*call))
        ++Hedges;
  }

  void onAnswered(const CallPtr &call, const core::ReportedLoad &load) {
    if (call->Ended)
      return;
    end(call);
    const RequestPtr r = call->Owner;
    Host &host = AllHosts[r->Host];
    auto &score = host.Scores[call->Service][call->Leaf];
    auto &latency = host.Latencies[r->From.Kind];
    score.onLoadReport(Now, load);
    score.onAnswer(Now, Now - call->SentAt, latency.get());
    latency.record(Now - call->SentAt);
    host.Work[call->Service].record(route(*r).Name, Now - call->SentAt,
                                    load.Waiting, load.Slots);
    for (const auto &other : r->Calls)
      if (other->Service == call->Service && !other->Ended)
        end(other);
    ++r->Shards.Answered;
    advance(r);
  }

  void advance(const RequestPtr &r) {
    if (r->Done || r->Shards.Total == 0)
      return;
    auto decision = core::CompletionDecision::Wait;
    if (route(*r).sharded())
      decision = core::decideCompletion(route(*r), r->Shards, Now - r->Start);
    else if (r->Shards.Answered + r->Shards.Failed > 0)
      decision = r->Shards.Answered > 0 ? core::CompletionDecision::Answer
                                        : core::CompletionDecision::Fail;
    if (decision != core::CompletionDecision::Wait)
      finish(*r, decision == core::CompletionDecision::Answer);
  }

  void finish(Request &r, bool answered) {
    r.Done = true;
    const auto calls = r.Calls;
    for (const auto &call : calls)
      end(call);
    Outcome &outcome = outcomeOf(r.From);
    if (!answered) {
      if (!r.Ran)
        return refuse(r, core::retryAfter(route(r), Now, TimePoint::max(),
                                          deadline(r), draw()));
      ++outcome.Failed;
      return;
    }
    if (Now - r.Start <= route(r).Objective)
      ++(r.From.Attempts == 0 ? outcome.InTime : outcome.RetriedInTime);
    else
      ++outcome.Late;
  }

  void refuse(const Request &r, Duration wait) {
    Outcome &outcome = outcomeOf(r.From);
    Caller caller = r.From;
    caller.HeldLong |= Now - r.Start > route(r).Objective / 4;
    if (++caller.Attempts < 4 && wait <= (deadline(r) - Now) / 3 + 1ms)
      return at(wait + 2 * OneWay, [this, caller] { arrive(caller); });
    ++outcome.Refused;
    outcome.HeldLong += caller.HeldLong ? 1 : 0;
  }

  std::mt19937_64 Random;
  TimePoint End{};
  std::vector<Leaf> Leaves;
  std::vector<Host> AllHosts;
  Outcome NotCounted;
};

} // namespace savorytrestle::load

#endif
