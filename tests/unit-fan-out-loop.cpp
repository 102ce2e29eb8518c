#include "backend/LeafEngine.h"

#include <atomic>
#include <chrono>
#include <future>
#include <stdexcept>
#include <thread>

#include <gtest/gtest.h>

using namespace savorytrestle;
using namespace savorytrestle::backend;
using namespace std::chrono_literals;

namespace {

/// Guards against the end of the process by one search.
TEST(FanOutLoop, ATaskThatThrowsEndsAlone) {
  FanOutLoop loop({}, 64, 1);
  std::promise<void> done;
  loop.post([] { throw std::length_error("too long"); });
  loop.post([&] {
    loop.scheduleAt(std::chrono::steady_clock::now(),
                    [] { throw std::length_error("too long"); });
    loop.scheduleAt(std::chrono::steady_clock::now() + 1ms,
                    [&] { done.set_value(); });
  });
  EXPECT_EQ(done.get_future().wait_for(5s), std::future_status::ready);
}

/// Guards against searches that get no answer long after their deadline: a
/// burst of new searches kept the loop from its timers and from the leaves'
/// replies until all of them had been started.
TEST(FanOutLoop, TimersRunWhileTasksKeepComing) {
  FanOutLoop loop({}, 64, 1);
  std::atomic<bool> stop{false};
  std::atomic<bool> timerRan{false};
  const FanOutLoop::Task startNext = [&] {
    std::this_thread::sleep_for(1ms);
    if (!stop)
      loop.post(startNext);
  };
  loop.post([&] {
    loop.scheduleAt(std::chrono::steady_clock::now() + 20ms,
                    [&] { timerRan = true; });
  });
  loop.post(startNext);
  const auto end = std::chrono::steady_clock::now() + 5s;
  while (!timerRan && std::chrono::steady_clock::now() < end)
    std::this_thread::sleep_for(1ms);
  EXPECT_TRUE(timerRan);
  stop = true;
}

/// Guards against a search that is sent to leaves although its caller has given
/// up while it waited for its start.
TEST(LeafEngine, ASearchThatIsPastItsDeadlineIsRefusedAsNotRun) {
  support::Metrics metrics;
  FanOutLoop loop({}, 64, 1);
  LeafEngine engine(loop, metrics, std::make_shared<HostQuarantine>([] {}), {});
  std::promise<core::Result<core::SearchAnswer>> done;
  SearchJob job;
  job.Deadline = std::chrono::steady_clock::now() - 1ms;
  ASSERT_TRUE(
      engine.search(job, [&](const auto &answer) { done.set_value(answer); }));
  const auto answer = done.get_future().get();
  ASSERT_FALSE(answer);
  EXPECT_EQ(answer.error().Code, core::ErrorCode::Overloaded);
  EXPECT_EQ(answer.error().Run, core::RunState::NotRun);
  EXPECT_TRUE(answer.error().RetryAfter);
}

} // namespace
