#include "FakeKvStore.h"

#include <gtest/gtest.h>

using namespace savorytrestle;
using namespace std::chrono_literals;

namespace {

TEST(FakeKvStore, CompareAndSetSucceedsOnlyAtTheCurrentRevision) {
  standins::FakeKvStore store;
  EXPECT_TRUE(store.compareAndSet("a", "1", store::NoItem, 1s).value());
  EXPECT_FALSE(store.compareAndSet("a", "2", store::NoItem, 1s).value());
  const auto entry = store.get("a", 1s).value();
  EXPECT_TRUE(store.compareAndSet("a", "2", entry->ModRevision, 1s).value());
}

TEST(FakeKvStore, AWriteWhoseReplyIsLostTakesEffect) {
  standins::FakeKvStore store;
  store.Faults->LoseWriteReplies = 1;
  const auto result = store.compareAndSet("a", "1", store::NoItem, 1s);
  EXPECT_EQ(result.error().Code, core::ErrorCode::OutcomeUnknown);
  EXPECT_EQ(store.get("a", 1s).value()->Value, "1");
}

TEST(FakeKvStore, TheEndOfALeaseDeletesItsItems) {
  standins::FakeKvStore store;
  const auto lease = store.openLease(10s, 1s).value();
  EXPECT_TRUE(store.acquire("a", "1", lease, 1s).value());
  EXPECT_FALSE(store.acquire("a", "1", lease + 1, 1s).value());
  store.endLease(lease, 1s);
  EXPECT_FALSE(store.get("a", 1s).value().has_value());
}

} // namespace
