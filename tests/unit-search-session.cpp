#include "backend/SearchSession.h"

#include <atomic>
#include <future>
#include <thread>

#include <gtest/gtest.h>

#include "support/HttpServer.h"

using namespace savorytrestle;
using namespace savorytrestle::backend;
using namespace std::chrono_literals;

namespace {

/// Enough for each search and its cancel to have one of their own.
constexpr std::uint32_t ConnectionLimit = 24;

using Actions = std::vector<core::SearchAction>;

/// Sends one attempt, and gives it up at its deadline.
struct OneAttempt {
  Actions start(core::TimePoint, core::Rng &) {
    core::SendAttempt attempt;
    attempt.Id = 1;
    attempt.Deadline = Deadline + 1h;
    return {attempt};
  }
  Actions onReply(const core::LeafReply &, core::TimePoint, core::Rng &) {
    return {};
  }
  Actions onFailure(core::AttemptId, core::AttemptFailure, core::TimePoint,
                    core::Rng &) {
    return {};
  }
  Actions onTimer(core::TimePoint now, core::Rng &) {
    if (now < Deadline || std::exchange(Ended, true))
      return {};
    return {core::CancelAttempt{1}, core::FinishSearch{}};
  }
  std::optional<core::TimePoint> nextTimer() const {
    return Ended ? std::nullopt : std::optional(Deadline);
  }
  core::SearchAnswer takeAnswer() { return {}; }

  core::TimePoint Deadline;
  bool Ended = false;
};

/// Guards against answers that arrive late at a busy host, since the loop sends
/// the cancels of some searches before the answers of others that are due.
TEST(SearchSession, TheAnswersThatAreDueGoBeforeAllCancels) {
  constexpr std::size_t Searches = 6;
  std::atomic<bool> release{false};
  support::HttpServerOptions options;
  options.Listen = "127.0.0.1:0";
  options.Threads = 2 * Searches;
  const auto leaf =
      support::HttpServer::start(options, [&](const support::HttpRequest &) {
        while (!release)
          std::this_thread::sleep_for(1ms);
        return support::HttpResponse();
      }).value();
  auto settings = std::make_shared<core::ServiceSettings>();
  settings->Leaves.resize(1);
  settings->Leaves[0].Address = "127.0.0.1:" + std::to_string(leaf->port());
  std::vector<std::size_t> callsAtAnswer;
  std::promise<void> allAnswered;
  FanOutLoop loop({}, 64, 1);
  loop.post([&] {
    const auto deadline = std::chrono::steady_clock::now() + 100ms;
    for (std::size_t i = 0; i < Searches; ++i)
      std::make_shared<SearchSession<OneAttempt>>(
          OneAttempt{deadline},
          SearchContext{"r", "{}", settings,
                        [](core::LeafIndex) { return ConnectionLimit; }},
          loop, [](const AttemptEvent &) {},
          [&](const core::SearchAnswer &) {
            callsAtAnswer.push_back(loop.transport().pendingCalls());
            if (callsAtAnswer.size() == Searches)
              allAnswered.set_value();
          })
          ->start();
  });
  EXPECT_EQ(allAnswered.get_future().wait_for(10s), std::future_status::ready);
  release = true;
  loop.stop();
  EXPECT_EQ(callsAtAnswer, std::vector<std::size_t>(Searches, Searches));
}

} // namespace
