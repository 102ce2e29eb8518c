#include "LoadModel.h"

#include <gtest/gtest.h>

using namespace savorytrestle;
using namespace savorytrestle::core;
using namespace savorytrestle::load;

namespace {

LeafLoad fullLeaf(Duration age) { return {4, 4, 24, age, 0, 0, 24}; }

/// Guards against refusals from old reports or from leaves without any.
TEST(LeafRoom, OnlyFreshReportsOfAllLeavesMakeAServiceFull) {
  const Room fresh = roomOf(fullLeaf(50ms), 30ms);
  EXPECT_TRUE(fresh.Full);
  EXPECT_EQ(fresh.LeastWait, 187500us - 50ms);
  EXPECT_TRUE(roomOfAny({fresh, fresh}).Full);
  const Room old = roomOf(fullLeaf(500ms), 30ms);
  const Room unknown = roomOf({}, 30ms);
  for (const Room &other : {old, unknown}) {
    const Room any = roomOfAny({fresh, other});
    EXPECT_FALSE(any.Full);
    EXPECT_EQ(any.LeastWait, Duration::zero());
    EXPECT_EQ(any.LikelyWait, fresh.LikelyWait);
  }
}

/// Guards against refusals for a few full shards that the answer may miss, and
/// against answers that can't reach the least share.
TEST(LeafRoom, ARequestIsFullWhenTooFewOfItsShardsHaveRoom) {
  const Room full = roomOf(fullLeaf(50ms), 30ms);
  EXPECT_FALSE(roomOfSome({full, {}, {}}, 2).Full);
  EXPECT_EQ(roomOfSome({full, {}, {}}, 2).LeastWait, Duration::zero());
  EXPECT_TRUE(roomOfSome({full, full, {}}, 2).Full);
  EXPECT_GT(roomOfSome({full, full, {}}, 2).LeastWait, Duration::zero());
}

/// Guards against refusals of requests that can still be answered.
TEST(LoadAdmission, ARequestIsRefusedIfItsLeastWaitExceedsItsTime) {
  LoadAdmission admission;
  const RequestKind kind{"s", "r", "", 0, 120ms, 10ms};
  const TimePoint now{1h};
  admission.onArrival(kind, now);
  const Room room{false, 300ms, 300ms};
  const auto step = [&](Duration timeLeft) {
    return admission.decide(kind, room, timeLeft, {}, 0.99, now).Step;
  };
  EXPECT_EQ(step(311ms), AdmissionStep::Admit);
  EXPECT_EQ(step(309ms), AdmissionStep::Refuse);
}

/// Guards against kinds that are starved, and requests held for long.
TEST(LoadAdmission, LessUrgentKindsGiveWayForABoundedTime) {
  LoadAdmission admission;
  const RequestKind urgent{"s", "fast", "", 0, 120ms, 9ms};
  const RequestKind patient{"s", "slow", "", 2, 1500ms, 220ms};
  const Room busy{false, {}, 200ms};
  int refused = 0;
  int served = 0;
  TimePoint now{1h};
  TimePoint lastServed = now;
  for (int i = 0; i < 2000; ++i, now += 10ms) {
    admission.onArrival(urgent, now);
    EXPECT_EQ(admission.decide(urgent, busy, 1s, {}, 0.999, now).Step,
              AdmissionStep::Admit);
    admission.onArrival(patient, now);
    const auto step = [&](Duration held) {
      return admission.decide(patient, busy, 6s, held, 0.999, now).Step;
    };
    if (step({}) == AdmissionStep::Admit) {
      ++served;
      EXPECT_LE(now - lastServed, 5 * 1500ms + 10ms);
      lastServed = now;
    } else {
      EXPECT_EQ(step(1500ms / 4), AdmissionStep::Refuse);
      ++refused;
    }
  }
  EXPECT_GT(refused, 1800);
  EXPECT_GE(served, 2);
}

/// Guards against workspaces of a low rank that get far less than others.
TEST(LoadAdmission, AWorkspaceOfALowRankGetsItsLeastShare) {
  LoadAdmission admission;
  const RequestKind urgent{"s", "r", "large", 0, 120ms, 9ms};
  const RequestKind low{"s", "r", "small", 5, 120ms, 9ms};
  const Room busy{false, {}, 200ms};
  int served = 0;
  TimePoint now{1h};
  for (int i = 0; i < 1000; ++i, now += 10ms) {
    admission.onArrival(urgent, now);
    admission.decide(urgent, busy, 1s, {}, 0.999, now);
    admission.onArrival(low, now);
    const auto verdict = admission.decide(low, busy, 1s, 40ms, 0.999, now);
    served += verdict.Step == AdmissionStep::Admit ? 1 : 0;
  }
  // The platform asks for a quarter of the share of all requests.
  EXPECT_GT(served / 1000.0, 0.3 * (1000 + served) / 2000);
  EXPECT_LT(served, 400);
}

/// Requests of three ranks, with a number of times what the leaves bear.
LoadModel makeModel(bool sharded, double load) {
  LoadModel model(7);
  model.Services = sharded ? 36 : 1;
  model.LeavesPerService = sharded ? 3 : 12;
  const double mix[] = {0.45, 0.4, 0.15};
  const int workMs[] = {9, 28, 220};
  const int objectiveMs[] = {120, 400, 1500};
  const int timeoutMs[] = {1000, 2000, 6000};
  // Mean work of the mix at leaves of mean speed.
  const double meanSeconds = 0.0483 * 1.033;
  for (int rank = 0; rank < 3; ++rank) {
    Kind kind;
    kind.Route.Name = "rank" + std::to_string(rank);
    kind.Route.Priority = rank;
    kind.Route.Objective = std::chrono::milliseconds(objectiveMs[rank]);
    kind.Route.Timeout = std::chrono::milliseconds(timeoutMs[rank]);
    kind.Route.Idempotent = true;
    kind.Route.MaxLeaves = 2;
    kind.Route.MinShardShare = 0.9;
    if (sharded)
      for (int i = 0; i < model.Services; ++i)
        kind.Route.Shards.push_back("s" + std::to_string(i));
    kind.Work = std::chrono::milliseconds(workMs[rank]);
    kind.PerSecond =
        load * mix[rank] * model.LeavesPerService * 4 / meanSeconds;
    model.Kinds.push_back(kind);
  }
  return model;
}

struct Overload {
  const char *Name;
  bool Sharded;
  double Load;
};

class LoadAdmissionUnderOverload : public ::testing::TestWithParam<Overload> {};

/// Guards against urgent requests that are late or refused behind others, and
/// against patient ones that get nothing.
TEST_P(LoadAdmissionUnderOverload, UrgentKindsAreServedInTimeAndNoneStarves) {
  LoadModel off = makeModel(GetParam().Sharded, GetParam().Load);
  off.run(6s);
  LoadModel model = makeModel(GetParam().Sharded, GetParam().Load);
  model.ByLoad = true;
  model.run(6s);
  double inTime = 0;
  double inTimeOff = 0;
  for (std::size_t rank = 0; rank < 3; ++rank) {
    const Outcome &got = model.Outcomes[rank];
    inTime += got.InTime + got.RetriedInTime;
    inTimeOff += off.Outcomes[rank].InTime + off.Outcomes[rank].RetriedInTime;
    EXPECT_LT(got.share(got.HeldLong), 0.01) << rank;
    EXPECT_LT(got.share(got.Failed), 0.02) << rank;
    EXPECT_GT(got.served(), 0.05) << rank;
    const std::size_t urgent = rank > 0 ? rank - 1 : 0;
    EXPECT_LE(got.served(), model.Outcomes[urgent].served() + 0.05);
  }
  const Outcome &urgent = model.Outcomes[0];
  EXPECT_GT(urgent.share(urgent.InTime), 0.8);
  EXPECT_GT(inTime, 1.5 * inTimeOff);
}

INSTANTIATE_TEST_SUITE_P(Services, LoadAdmissionUnderOverload,
                         ::testing::Values(Overload{"sharded_1_7", true, 1.7},
                                           Overload{"sharded_2", true, 2},
                                           Overload{"plain_1_7", false, 1.7},
                                           Overload{"plain_2", false, 2}),
                         [](const auto &param) {
                           return std::string(param.param.Name);
                         });

/// Guards against refusals without a shortage.
TEST(LoadAdmission, NearlyNothingIsRefusedBelowTheCapacity) {
  LoadModel model = makeModel(true, 0.5);
  model.ByLoad = true;
  model.run(6s);
  for (const Outcome &got : model.Outcomes)
    EXPECT_GT(got.share(got.InTime + got.Late), 0.95);
}

} // namespace
