#include "savorytrestle/core/BaselineSearch.h"

#include <gtest/gtest.h>

using namespace savorytrestle::core;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{};

Snapshot twoShards() { return {7, {{0, 1}, {2}}}; }

LeafReply replyTo(ShardIndex shard) {
  LeafReply reply;
  reply.Id = shard;
  reply.Shard = shard;
  reply.Version = 7;
  reply.RowCount = 1;
  reply.Rows = {{{"shard", shard}}};
  return reply;
}

TEST(BaselineSearch, SendsOneAttemptForEachShard) {
  Rng rng(1);
  BaselineSearch search(twoShards(), Start + 1s);
  EXPECT_EQ(search.start(Start, rng).size(), 2U);
}

TEST(BaselineSearch, FinishesWithFullCoverage) {
  Rng rng(1);
  BaselineSearch search(twoShards(), Start + 1s);
  search.start(Start, rng);
  EXPECT_TRUE(search.onReply(replyTo(0), Start, rng).empty());
  EXPECT_EQ(search.onReply(replyTo(1), Start, rng).size(), 1U);
  const auto answer = search.takeAnswer();
  EXPECT_EQ(answer.ShardsAnswered, 2U);
  EXPECT_TRUE(answer.MissingShards.empty());
}

TEST(BaselineSearch, DoesNotCountATruncatedReply) {
  Rng rng(1);
  BaselineSearch search(twoShards(), Start + 1s);
  search.start(Start, rng);
  auto truncated = replyTo(0);
  truncated.RowCount = 2;
  search.onReply(truncated, Start, rng);
  search.onReply(replyTo(1), Start, rng);
  const auto answer = search.takeAnswer();
  EXPECT_EQ(answer.MissingShards, std::vector<ShardIndex>{0});
}

TEST(BaselineSearch, EndsAtTheDeadlineWithTheShardsAnswered) {
  Rng rng(1);
  BaselineSearch search(twoShards(), Start + 1s);
  search.start(Start, rng);
  search.onReply(replyTo(1), Start, rng);
  EXPECT_EQ(search.onTimer(Start + 1s, rng).size(), 2U);
  EXPECT_EQ(search.takeAnswer().ShardsAnswered, 1U);
}

} // namespace
