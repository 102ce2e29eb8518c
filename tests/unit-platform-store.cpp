#include "store/PlatformStore.h"

#include <future>
#include <thread>

#include <gtest/gtest.h>

#include "standins/MetadataStore.h"

using namespace savorytrestle;
using namespace savorytrestle::tests;
using namespace std::chrono_literals;
using core::ErrorCode;

namespace {

/// Client of a stand-in of the store, which runs on another thread.
class PlatformStoreTest : public ::testing::Test {
protected:
  void SetUp() override {
    ASSERT_TRUE(Server.open("127.0.0.1:0"));
    Client = std::make_unique<store::PlatformStore>(
        "127.0.0.1:" + std::to_string(Server.port()));
    Thread = std::thread([this] { Io.run(); });
  }
  void TearDown() override {
    Io.stop();
    if (Thread.joinable())
      Thread.join();
  }

  store::PlatformStore &client() { return *Client; }

  template <typename F> void onServer(F f) {
    std::promise<void> done;
    boost::asio::post(Io, [&] {
      f();
      done.set_value();
    });
    done.get_future().wait();
  }

  boost::asio::io_context Io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work{
      Io.get_executor()};
  MetadataStore Server{Io};
  std::unique_ptr<store::PlatformStore> Client;
  std::thread Thread;
};

TEST_F(PlatformStoreTest, WritesOnlyAtTheExpectedRevision) {
  EXPECT_TRUE(client().compareAndSet("a", "1", store::NoItem, 1s).value());
  EXPECT_FALSE(client().compareAndSet("a", "2", store::NoItem, 1s).value());
  const auto item = client().get("a", 1s).value();
  EXPECT_EQ(item->Value, "1");
  EXPECT_TRUE(client().compareAndSet("a", "2", item->ModRevision, 1s).value());
  EXPECT_FALSE(client().compareAndDelete("a", item->ModRevision, 1s).value());
  const auto newer = client().get("a", 1s).value();
  EXPECT_TRUE(client().compareAndDelete("a", newer->ModRevision, 1s).value());
  EXPECT_FALSE(client().get("a", 1s).value().has_value());
}

TEST_F(PlatformStoreTest, AnItemIsDeletedWithItsLease) {
  const auto lease = client().openLease(10s, 1s).value();
  const auto other = client().openLease(10s, 1s).value();
  EXPECT_TRUE(client().acquire("a", "1", lease, 1s).value());
  EXPECT_FALSE(client().acquire("a", "1", other, 1s).value());
  EXPECT_TRUE(client().acquire("a", "2", lease, 1s).value());
  EXPECT_TRUE(client().renewLease(lease, 1s).value());
  EXPECT_TRUE(client().endLease(lease, 1s).value());
  EXPECT_FALSE(client().renewLease(lease, 1s).value());
  EXPECT_FALSE(client().get("a", 1s).value().has_value());
  EXPECT_FALSE(client().acquire("a", "3", lease, 1s).value());
}

TEST_F(PlatformStoreTest, ListReadsAllPages) {
  constexpr std::size_t Items = 120; // more than two pages of the stand-in
  for (std::size_t i = 0; i < Items; ++i)
    ASSERT_TRUE(client().compareAndSet("k/" + std::to_string(i), "v",
                                       store::NoItem, 1s));
  EXPECT_EQ(client().list("k/", 1s).value().size(), Items);
}

TEST_F(PlatformStoreTest, KeysMayContainAnyCharacters) {
  const std::string key = "k/a b&after=c%2F\xc3\xa4";
  EXPECT_TRUE(client().compareAndSet(key, "1", store::NoItem, 1s).value());
  EXPECT_EQ(client().get(key, 1s).value()->Value, "1");
  EXPECT_EQ(client().list("k/a b&", 1s).value().front().Key, key);
}

TEST_F(PlatformStoreTest, AWatchReturnsAfterAChange) {
  const auto before = client().watch("k/", 0, 1s).value();
  EXPECT_TRUE(before.Items.empty());
  onServer([this] { Server.put("k/1", "v"); });
  const auto after = client().watch("k/", before.At, 10s).value();
  ASSERT_EQ(after.Items.size(), 1U);
  EXPECT_GT(after.At, before.At);
}

TEST_F(PlatformStoreTest, ErrorsDistinguishCallsThatMayHaveBeenExecuted) {
  onServer([this] { Server.setFault(StoreFault::Busy); });
  EXPECT_EQ(client().get("a", 1s).error().Code, ErrorCode::StoreUnavailable);
  onServer([this] { Server.setFault(StoreFault::Lost); });
  EXPECT_EQ(client().compareAndSet("a", "1", store::NoItem, 100ms).error().Code,
            ErrorCode::OutcomeUnknown);
  onServer([this] { Server.setFault(StoreFault::None); });
  EXPECT_EQ(client().get("a", 1s).value()->Value, "1");
  store::PlatformStore nobody("127.0.0.1:1");
  EXPECT_EQ(nobody.get("a", 1s).error().Code, ErrorCode::StoreUnavailable);
}

TEST_F(PlatformStoreTest, ReconnectsAfterTheStoreClosedTheConnection) {
  EXPECT_TRUE(client().compareAndSet("a", "1", store::NoItem, 1s).value());
  onServer([this] { Server.dropConnections(); });
  EXPECT_TRUE(client().compareAndSet("b", "1", store::NoItem, 1s).value());
}

} // namespace
