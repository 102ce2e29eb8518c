#include "savorytrestle/core/quarantine/CrashTrials.h"

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>

#include <gtest/gtest.h>

#include "registry/TrialFeed.h"
#include "savorytrestle/core/quarantine/CrashLedger.h"

using namespace savorytrestle;
using namespace savorytrestle::core;
using namespace std::chrono_literals;

namespace {

constexpr Fingerprint Request{1, 2};
constexpr std::chrono::milliseconds TimeLimit = 1s;

TrialReply written(std::uint64_t revision) {
  return {TrialReply::Kind::Written, revision};
}
const TrialReply Changed{TrialReply::Kind::Changed, 0};
const TrialReply Unknown{};

class CrashTrialsTest : public ::testing::Test {
protected:
  CrashTrials Trials{"own"};
  TimePoint Now{1h};

  TrialWrite take() { return Trials.take(Request, TimeLimit, Now); }
  bool mayTake() { return !Trials.waitFor(Request, Now); }
};

TEST_F(CrashTrialsTest, ATrialIsRunOnceTheStoreHasGrantedIt) {
  ASSERT_TRUE(mayTake());
  const auto write = take();
  EXPECT_EQ(write.ExpectedRevision, 0U);
  EXPECT_EQ(write.Record->Number, 1U);
  EXPECT_TRUE(write.Record->Open);
  EXPECT_FALSE(mayTake());
  EXPECT_TRUE(Trials.onTakeReply(Request, written(5), Now));
  EXPECT_FALSE(mayTake());

  const auto close = Trials.close(Request, true, true, Now);
  ASSERT_TRUE(close);
  EXPECT_EQ(close->ExpectedRevision, 5U);
  EXPECT_FALSE(close->Record->Open);
  // Not before others may take one too.
  EXPECT_FALSE(mayTake());
  Trials.onCloseReply(*close, written(6), Now);
  EXPECT_TRUE(mayTake());
  const auto next = take();
  EXPECT_EQ(next.ExpectedRevision, 6U);
  EXPECT_EQ(next.Record->Number, 2U);
  EXPECT_EQ(next.Record->Lapsed, 0U);
}

TEST_F(CrashTrialsTest, AHostWaitsWhileAnotherHasATrial) {
  Trials.onRecord(Request, {1, 0, 0, true, 3s, "other"}, 5, Now);
  EXPECT_EQ(Trials.waitFor(Request, Now), CrashTrials::MaxRetryAfter);
  Now += 2900ms;
  EXPECT_EQ(Trials.waitFor(Request, Now), 100ms);
  EXPECT_EQ(Trials.lapsed(Request, Now), 0U);
  Now += 100ms;
  EXPECT_TRUE(mayTake());
  EXPECT_EQ(Trials.lapsed(Request, Now), 1U);
  EXPECT_EQ(take().Record->Lapsed, 1U);
}

TEST_F(CrashTrialsTest, WhoComesSecondWaits) {
  take();
  EXPECT_FALSE(Trials.onTakeReply(Request, Changed, Now));
  EXPECT_EQ(Trials.waitFor(Request, Now), CrashTrials::ChangedPause);
  Trials.prune(Now);
  EXPECT_FALSE(mayTake());
  Now += CrashTrials::ChangedPause;
  EXPECT_TRUE(mayTake());
  Trials.prune(Now + 1s);
  EXPECT_EQ(Trials.size(), 0U);
}

TEST_F(CrashTrialsTest, AGrantThatComesLateIsNotUsed) {
  take();
  Now += CrashTrials::MaxGrantAge + 1ms;
  EXPECT_FALSE(Trials.onTakeReply(Request, written(5), Now));
  // Its own trial that it didn't run is no lapsed one.
  EXPECT_EQ(Trials.lapsed(Request, Now + 1h), 0U);
  ASSERT_TRUE(mayTake());
  const auto next = take();
  EXPECT_EQ(next.ExpectedRevision, 5U);
  EXPECT_EQ(next.Record->Lapsed, 0U);
}

/// Guards against a harmless request that is refused for a day, since the
/// store's replies got lost and trials that never ran counted as lapsed.
TEST_F(CrashTrialsTest, ATrialThatNeverRanIsClosed) {
  take();
  EXPECT_FALSE(Trials.onTakeReply(Request, Unknown, Now));
  Now += CrashTrials::ChangedPause;
  EXPECT_TRUE(Trials.closeAbandoned(Now).empty());
  Trials.onRecord(Request, {1, 0, 0, true, 4s, "own"}, 5, Now);
  const auto writes = Trials.closeAbandoned(Now);
  ASSERT_EQ(writes.size(), 1U);
  EXPECT_EQ(writes[0].ExpectedRevision, 5U);
  EXPECT_EQ(*writes[0].Record, (TrialRecord{1, 0, 0, false, 4s, "own"}));
  Now += CrashTrials::MaxGrantAge;
  EXPECT_TRUE(Trials.closeAbandoned(Now).empty());
  Trials.onCloseReply(writes[0], written(6), Now);
  EXPECT_TRUE(Trials.closeAbandoned(Now).empty());
}

TEST_F(CrashTrialsTest, ATrialThatRunsOrIsBeingClosedIsntAbandoned) {
  take();
  Trials.onTakeReply(Request, written(5), Now);
  Now += 1min;
  EXPECT_TRUE(Trials.closeAbandoned(Now).empty());
  const auto close = Trials.close(Request, true, true, Now);
  ASSERT_TRUE(close);
  Now += 1min;
  EXPECT_TRUE(Trials.closeAbandoned(Now).empty());
  // The store hasn't replied for good.
  Trials.onCloseReply(*close, Unknown, Now);
  EXPECT_EQ(Trials.closeAbandoned(Now).size(), 1U);
}

TEST_F(CrashTrialsTest, WhatItHasWrittenIsntReplacedByOlderNews) {
  take();
  Trials.onTakeReply(Request, written(5), Now);
  Trials.onRecord(Request, {1, 0, 0, true, 3s, "other"}, 4, Now);
  Trials.onRecordRemoved(Request, 4);
  EXPECT_EQ(Trials.close(Request, true, true, Now)->ExpectedRevision, 5U);
}

TEST_F(CrashTrialsTest, ATrialThatAnotherTookForLapsedIsntClosed) {
  take();
  Trials.onTakeReply(Request, written(5), Now);
  Trials.onRecord(Request, {2, 0, 1, true, 3s, "other"}, 6, Now);
  EXPECT_FALSE(Trials.close(Request, true, true, Now));
  EXPECT_FALSE(mayTake());
}

TEST_F(CrashTrialsTest, WithoutTheStoreAHostTriesOnItsOwn) {
  take();
  EXPECT_FALSE(Trials.onTakeReply(Request, Unknown, Now));
  Now += CrashTrials::AwayAfter;
  ASSERT_TRUE(mayTake());
  take();
  EXPECT_TRUE(Trials.onTakeReply(Request, Unknown, Now));
  EXPECT_FALSE(mayTake());
  EXPECT_FALSE(Trials.close(Request, true, true, Now));
  EXPECT_TRUE(mayTake());
  // A reply ends it.
  take();
  EXPECT_TRUE(Trials.onTakeReply(Request, written(5), Now));
  Trials.close(Request, true, true, Now);
  Now += CrashTrials::MaxGrantAge;
  ASSERT_TRUE(mayTake());
  take();
  EXPECT_FALSE(Trials.onTakeReply(Request, Unknown, Now));
}

TEST_F(CrashTrialsTest, LongPausesAreNoOutage) {
  take();
  EXPECT_FALSE(Trials.onTakeReply(Request, Unknown, Now));
  Now += CrashTrials::MaxAwayPause + 1ms;
  take();
  EXPECT_FALSE(Trials.onTakeReply(Request, Unknown, Now));
}

TEST_F(CrashTrialsTest, AnOlderCopyOfTheStoreHasOtherRevisions) {
  Trials.onRecord(Request, {3, 0, 1, true, 3s, "other"}, 50, Now);
  Trials.forgetRecords();
  EXPECT_TRUE(mayTake());
  Trials.onRecord(Request, {1, 0, 0, true, 3s, "other"}, 20, Now);
  EXPECT_FALSE(mayTake());
}

TEST_F(CrashTrialsTest, AsksForFewTrialsASecond) {
  std::size_t asked = 0;
  for (std::uint64_t i = 0; i < 1000; ++i, Now += 10ms)
    if (!Trials.waitFor({i, i}, Now)) {
      Trials.take({i, i}, TimeLimit, Now);
      ++asked;
    }
  EXPECT_LE(asked, 8U + 4 * 10);
  EXPECT_GE(asked, 4U * 10);
}

TEST(TrialItem, KeyAndValueHoldTheRecord) {
  const TrialRecord record{7, 3, 2, true, 4500ms, "n1-ab\"\xff"};
  const auto key = registry::trialKey({0xabc, ~0ULL});
  EXPECT_EQ(key, "trials/0000000000000abcffffffffffffffff");
  EXPECT_EQ(registry::parseTrialKey(key), (Fingerprint{0xabc, ~0ULL}));
  const auto read = registry::decodeTrial(registry::encodeTrial(record));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->Number, 7U);
  EXPECT_EQ(read->Failed, 3U);
  EXPECT_EQ(read->Lapsed, 2U);
  EXPECT_TRUE(read->Open);
  EXPECT_EQ(read->Lifetime, 4500ms);
}

TEST(TrialItem, MalformedItemsAreErrors) {
  for (const char *bad :
       {"", "trials/", "trials/0000000000000abcfffffffffffffff",
        "trials/0000000000000abcffffffffffffffff0",
        "trials/0000000000000abcfffffffffffffffg",
        "crashes/0000000000000abcffffffffffffffff"})
    EXPECT_FALSE(registry::parseTrialKey(bad)) << bad;
  const std::string good =
      R"({"number":2,"failed":1,"lapsed":1,"open":true,"lifetime_ms":9,"host":"h"})";
  EXPECT_TRUE(registry::decodeTrial(good));
  for (const auto &[from, to] : std::map<std::string, std::string>{
           {R"("number":2)", R"("number":-2)"},
           {R"("lapsed":1)", R"("lapsed":3)"},
           {R"("lapsed":1)", R"("lapsed":"1")"},
           {R"("failed":1)", R"("failed":3)"},
           {R"("open":true)", R"("open":1)"},
           {R"("lifetime_ms":9)", R"("lifetime_ms":1e12)"},
           {R"("lifetime_ms":9)", R"("lifetime_ms":600001)"},
           {R"("host":"h")", R"("host":1)"},
           {R"("host":"h")", R"("x":"h")"},
           {"{", ""},
           {good, "[]"}}) {
    std::string bad = good;
    bad.replace(bad.find(from), from.size(), to);
    EXPECT_FALSE(registry::decodeTrial(bad)) << bad;
  }
}

/// Hosts, a store and a request, in virtual time and in random orders of
/// events: each host hears of the store's changes late, replies get lost, and
/// hosts pause, end and are cut off from the store.
class TrialModel {
public:
  static constexpr std::chrono::milliseconds Window = 4s;

  TrialModel(unsigned seed, std::size_t hosts, bool deadly)
      : Deadly(deadly), Random(seed) {
    for (std::size_t i = 0; i < hosts; ++i)
      Hosts.push_back(makeHost(i));
  }

  void run(std::chrono::milliseconds time) {
    const TimePoint end = Now + time;
    at(Now, [this] { volley(); });
    if (Faults)
      at(Now + 1s, [this] { fault(); });
    while (!Events.empty() && Events.begin()->first < end) {
      const auto event = Events.begin();
      Now = event->first;
      const auto f = std::move(event->second);
      Events.erase(event);
      f();
    }
  }

  /// Attempts that reached a leaf later than the window after the third end of
  /// a leaf, by hosts that were calm for the window before.
  std::size_t lateAttempts() const {
    if (Ends.size() < 3)
      return 0;
    return static_cast<std::size_t>(
        std::count_if(Attempts.begin(), Attempts.end(), [&](const auto &it) {
          return it.first > Ends[2] + Window && it.second;
        }));
  }

  /// Leaves end until this time, also under harmless requests.
  TimePoint LeavesFailUntil{};
  bool Faults = false;
  std::size_t MostVolley = 12;
  /// Part of the store's replies that hosts don't get.
  double LostReplies = 0;
  std::chrono::milliseconds LongestPause = 6s;
  /// Trials in which leaves ended.
  std::size_t Failed = 0;
  TimePoint Now{1h};
  std::size_t StoreCalls = 0;
  std::size_t Served = 0;
  std::size_t LongestOpen = 0;
  TimePoint LastRefusal{};
  std::size_t Volleys = 0;

private:
  struct Host {
    std::string Name;
    CrashTrials Trials;
    CrashLedger Ledger;
    TimePoint DisturbedUntil{};
    TimePoint PausedUntil{};
    TimePoint CutUntil{};
    bool Alive = true;
    std::uint64_t Known = 0;
  };
  using HostPtr = std::shared_ptr<Host>;

  /// A change of the store: a trial's record or a run.
  struct Change {
    std::optional<TrialRecord> Record;
    bool IsRecord = false;
    std::optional<FatalRun> Run;
    bool ClearsRuns = false;
  };

  std::int64_t draw(std::int64_t from, std::int64_t to) {
    return std::uniform_int_distribution<std::int64_t>(from, to)(Random);
  }
  std::chrono::milliseconds time(std::int64_t from, std::int64_t to) {
    return std::chrono::milliseconds(draw(from, to));
  }
  void at(TimePoint when, std::function<void()> f) {
    Events.emplace(when, std::move(f));
  }
  /// Runs on a host, after its pause; not if its process has ended.
  void on(const HostPtr &host, TimePoint when, std::function<void()> f) {
    at(when, [this, host, f = std::move(f)] {
      if (!host->Alive)
        return;
      if (host->PausedUntil > Now)
        return on(host, host->PausedUntil, f);
      f();
    });
  }

  HostPtr makeHost(std::size_t i) {
    auto host = std::make_shared<Host>();
    host->Name = std::to_string(i) + "-" + std::to_string(++Processes);
    host->Trials.setOwnHost(host->Name);
    follow(host);
    return host;
  }

  /// Takes in the changes up to now, late, and again.
  void follow(const HostPtr &host) {
    on(host, Now + time(20, 900), [this, host] {
      if (host->CutUntil <= Now)
        for (; host->Known < Changes.size(); ++host->Known)
          apply(*host, Changes[host->Known], host->Known + 1);
      for (const TrialWrite &write : host->Trials.closeAbandoned(Now))
        sendClose(host, write, {});
      follow(host);
    });
  }

  void apply(Host &host, const Change &change, std::uint64_t revision) {
    if (change.Run)
      host.Ledger.add(*change.Run, Now);
    if (change.ClearsRuns)
      host.Ledger.clear(Request, {1});
    if (change.IsRecord && change.Record)
      host.Trials.onRecord(Request, *change.Record, revision, Now);
    else if (change.IsRecord)
      host.Trials.onRecordRemoved(Request, revision);
  }

  /// Calls the store: executed or not, the reply may get lost.
  void call(const HostPtr &host, const TrialWrite &write,
            const std::optional<FatalRun> &run,
            const std::function<void(const TrialReply &)> &onReply) {
    ++StoreCalls;
    const TimePoint sent = Now;
    const auto reply = std::make_shared<TrialReply>();
    at(Now + time(1, 40), [this, host, write, run, reply] {
      if (host->CutUntil > Now)
        return;
      if (write.ExpectedRevision != Revision) {
        reply->Result = TrialReply::Kind::Changed;
        return;
      }
      Changes.push_back({write.Record, true, run, !write.Record});
      Revision = write.Record ? Changes.size() : 0;
      *reply = written(Changes.size());
    });
    on(host, sent + time(41, 80), [this, host, reply, onReply] {
      if (host->CutUntil > Now ||
          (LostReplies > 0 &&
           std::uniform_real_distribution<>()(Random) < LostReplies))
        *reply = {};
      onReply(*reply);
    });
  }

  void volley() {
    ++Volleys;
    const std::size_t first = static_cast<std::size_t>(draw(0, 1000));
    const auto size = static_cast<std::size_t>(
        draw(1, static_cast<std::int64_t>(MostVolley)));
    for (std::size_t i = 0; i < size; ++i) {
      const HostPtr host = Hosts[(first + i) % Hosts.size()];
      on(host, Now + time(0, 30), [this, host] { arrive(host); });
    }
    at(Now + time(500, LongestPause.count()), [this] { volley(); });
  }

  void arrive(const HostPtr &host) {
    const auto lapsed = host->Trials.lapsed(Request, Now);
    if (host->Trials.exhausted(Request, Now) ||
        host->Ledger.quarantinedFor(Request, Now, {}, lapsed))
      return refused();
    if (host->Ledger.runCount(Request) == 0 && !host->Trials.contains(Request))
      return runRequest(host, false);
    if (host->Trials.waitFor(Request, Now))
      return refused();
    call(host, host->Trials.take(Request, TimeLimit, Now), {},
         [this, host](const TrialReply &reply) {
           if (host->Trials.onTakeReply(Request, reply, Now))
             runRequest(host, true);
           else
             refused();
         });
  }

  void refused() { LastRefusal = Now; }

  void runRequest(const HostPtr &host, bool trial) {
    Attempts.emplace_back(Now, host->DisturbedUntil + Window <= Now);
    const auto round = host->Ledger.nextRound(Request);
    const bool ends = Deadly || Now < LeavesFailUntil;
    if (ends)
      Ends.push_back(Now);
    const auto id = ++Runs;
    if (Faults && trial && draw(0, 1) == 0)
      at(Now + time(1, 200), [this, host] { replaceProcess(host); });
    // Proof of the end, or the answer.
    on(host, Now + (ends ? time(500, 700) : time(10, 300)),
       [this, host, trial, ends, round, id] {
         if (ends) {
           const FatalRun run{Request, id, round, round, {1}};
           host->Ledger.add(run, Now);
           publish(host, run);
           Failed += trial ? 1 : 0;
           if (trial)
             close(host, run);
           return;
         }
         ++Served;
         host->Ledger.clear(Request, {1});
         clearRuns(host);
         if (trial)
           close(host, {});
       });
  }

  void publish(const HostPtr &host, const FatalRun &run) {
    on(host, Now + time(100, 150), [this, host, run] {
      if (host->CutUntil > Now)
        return publish(host, run);
      Changes.push_back({{}, false, run, false});
    });
  }
  void clearRuns(const HostPtr &host) {
    on(host, Now + time(100, 150), [this, host] {
      if (host->CutUntil > Now)
        return clearRuns(host);
      Changes.push_back({{}, false, {}, true});
    });
  }

  void close(const HostPtr &host, const std::optional<FatalRun> &run) {
    const auto write = host->Trials.close(
        Request, run.has_value(), host->Ledger.runCount(Request) > 0, Now);
    if (write)
      sendClose(host, *write, run);
  }
  void sendClose(const HostPtr &host, const TrialWrite &write,
                 const std::optional<FatalRun> &run) {
    call(host, write, run, [this, host, write, run](const TrialReply &reply) {
      if (reply.Result == TrialReply::Kind::Unknown)
        return on(host, Now + 500ms,
                  [this, host, write, run] { sendClose(host, write, run); });
      host->Trials.onCloseReply(write, reply, Now);
    });
  }

  void replaceProcess(const HostPtr &host) {
    const auto it = std::find(Hosts.begin(), Hosts.end(), host);
    if (it == Hosts.end())
      return;
    host->Alive = false;
    *it = makeHost(static_cast<std::size_t>(it - Hosts.begin()));
    (*it)->DisturbedUntil = Now;
    // It reads the store before it is ready.
    for (; (*it)->Known < Changes.size(); ++(*it)->Known)
      apply(**it, Changes[(*it)->Known], (*it)->Known + 1);
  }

  void fault() {
    const auto i = static_cast<std::size_t>(
        draw(0, static_cast<std::int64_t>(Hosts.size()) - 1));
    const HostPtr host = Hosts[i];
    const TimePoint until = Now + time(100, 5000);
    host->DisturbedUntil = until;
    switch (draw(0, 2)) {
    case 0:
      host->PausedUntil = until;
      break;
    case 1:
      host->CutUntil = until;
      break;
    default:
      replaceProcess(host);
    }
    at(Now + time(200, 5000), [this] { fault(); });
  }

  bool Deadly;
  std::mt19937 Random;
  std::multimap<TimePoint, std::function<void()>> Events;
  std::vector<HostPtr> Hosts;
  std::vector<Change> Changes;
  /// Revision of the record in the store; 0 if there is none.
  std::uint64_t Revision = 0;
  std::vector<std::pair<TimePoint, bool>> Attempts;
  std::vector<TimePoint> Ends;
  std::uint64_t Runs = 0;
  std::size_t Processes = 0;
};

TEST(CrashTrialsModel, VolleysReachLeavesInAtMostThreeLateAttempts) {
  std::size_t most = 0;
  for (unsigned seed = 0; seed < 300; ++seed) {
    TrialModel model(seed, 2 + seed % 20, true);
    model.run(3min);
    EXPECT_LE(model.lateAttempts(), 3U) << "seed " << seed;
    most = std::max(most, model.lateAttempts());
  }
  EXPECT_GE(most, 1U);
}

TEST(CrashTrialsModel, AlsoWhileHostsFail) {
  for (unsigned seed = 0; seed < 300; ++seed) {
    TrialModel model(seed, 2 + seed % 20, true);
    model.Faults = true;
    model.run(3min);
    EXPECT_LE(model.lateAttempts(), 3U) << "seed " << seed;
  }
}

/// Guards against a request that may end leaves again each time it has been
/// quarantined for long enough.
TEST(CrashTrialsModel, AlsoOverHours) {
  for (unsigned seed = 0; seed < 40; ++seed) {
    TrialModel model(seed, 7, true);
    model.LongestPause = 15min;
    model.run(10h);
    EXPECT_LE(model.lateAttempts(), 3U) << "seed " << seed;
    EXPECT_EQ(model.Failed, 3U);
  }
}

TEST(CrashTrialsModel, AHarmlessRequestIsServedOnceLeavesAreThere) {
  for (unsigned seed = 0; seed < 300; ++seed) {
    TrialModel model(seed, 2 + seed % 20, false);
    // Shorter than three trials: see GUARANTEES for longer ones.
    model.LeavesFailUntil = model.Now + 400ms;
    model.run(3min);
    // The probation of one attempt, and the news of its result.
    EXPECT_LE(model.LastRefusal, model.LeavesFailUntil + 9s) << "seed " << seed;
    EXPECT_GT(model.Served, model.Volleys);
  }
}

/// The same while half of the store's replies get lost.
TEST(CrashTrialsModel, AHarmlessRequestIsServedThoughRepliesGetLost) {
  for (unsigned seed = 0; seed < 300; ++seed) {
    TrialModel model(seed, 2 + seed % 20, false);
    model.LeavesFailUntil = model.Now + 400ms;
    model.LostReplies = 0.5;
    model.run(3min);
    EXPECT_LE(model.LastRefusal, model.LeavesFailUntil + 60s) << seed;
    EXPECT_GT(model.Served, model.Volleys) << seed;
  }
}

/// A request that comes to all hosts at once, again and again.
TEST(CrashTrialsModel, CallsToTheStoreAreBounded) {
  for (const std::size_t hosts : {7U, 82U, 195U}) {
    std::size_t most = 0;
    for (unsigned seed = 0; seed < 10; ++seed) {
      TrialModel model(seed, hosts, true);
      model.MostVolley = hosts;
      model.run(9min);
      most = std::max(most, model.StoreCalls);
    }
    std::cout << hosts << " hosts: at most " << most
              << " calls for the trials of a request\n";
    // Two for each of its trials, and those of hosts that come second, which
    // ask once for each record that they haven't heard of.
    EXPECT_LE(most, std::size_t{2} * CrashTrials::MaxFailures + 3 * hosts);
  }
}

} // namespace
