#ifndef SAVORYTRESTLE_TESTS_PLATFORM_LEAF_H
#define SAVORYTRESTLE_TESTS_PLATFORM_LEAF_H

/// @file
/// @brief Stand-in for a leaf on the platform: signs its answers, refuses
/// requests addressed to another instance, and counts executions.

#include <utility>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "entry/Answers.h"
#include "entry/Listener.h"

namespace savorytrestle::tests {

/// @brief How a leaf treats requests.
struct LeafBehavior {
  std::chrono::milliseconds ExecutionTime{2};
  /// Refuses requests without executing them, as when overloaded.
  bool Shed = false;
  /// Executes requests without answering them.
  bool NeverAnswer = false;
  /// Answers 500 after the execution.
  bool Fail = false;
  /// Answers 503 after the execution, without a signature.
  bool FailUnsigned = false;
  /// Answers with this status and a signature after the execution, unless 0.
  unsigned FailStatus = 0;
  /// Says in all answers that it is leaving.
  bool Leaving = false;
  /// Turns requests away with 503 and this Retry-After, unless empty.
  std::string RetryAfter{};
  /// Names this limit of requests a second in all answers, unless empty.
  std::string RateLimit{};
  /// Load that all answers state; if empty, only those of executed requests do.
  std::string Load{};
};

/// @brief The leaf; runs on one thread.
class PlatformLeaf {
public:
  PlatformLeaf(boost::asio::io_context &io, std::string id, std::string service,
               std::string failureDomain)
      : Id(std::move(id)), Service(std::move(service)),
        FailureDomain(std::move(failureDomain)), Io(io),
        Context(std::make_shared<entry::SessionContext>()) {
    Context->Limits.IdleTimeout = std::chrono::seconds(30);
    Context->OnRequest = [this](const entry::CallerRequest &request,
                                const entry::AnswerHandler &respond) {
      return handle(request, respond);
    };
    CallerListener = std::make_shared<entry::Listener>(Io, Context);
    Listening = CallerListener->open("127.0.0.1:0").has_value();
  }

  /// @brief Its entry in the store, as a leaf writes it.
  std::string entry(bool draining = false) const {
    return nlohmann::json{
        {"service", Service},
        {"address", AdvertisedAddress.empty() ? address() : AdvertisedAddress},
        {"zone", FailureDomain},
        {"version", "v1"},
        {"maxConcurrency", 5},
        {"state", draining ? "draining" : "ready"},
        {"warmupLeftMs", 0},
        {"sequence", 1}}
        .dump();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(CallerListener->address().port());
  }
  std::string key() const { return "servers/" + Id; }

  /// A request as it arrived.
  struct Arrival {
    std::chrono::steady_clock::time_point At;
    std::string RequestId;
    /// In the order in which they came, names as sent.
    std::vector<std::pair<std::string, std::string>> Headers;
  };

  LeafBehavior Behavior;
  /// Address that its entry contains instead of its own, unless empty.
  std::string AdvertisedAddress;
  const std::string Id;
  const std::string Service;
  const std::string FailureDomain;
  /// Number of executions by request id.
  std::map<std::string, int> RunsByRequest;
  std::vector<Arrival> Arrivals;
  /// Requests whose connection was closed during execution.
  int AbortedRequests = 0;
  bool Listening = false;

private:
  static std::string text(boost::beast::string_view view) {
    return {view.data(), view.size()};
  }

  entry::CancelHandler handle(const entry::CallerRequest &request,
                              const entry::AnswerHandler &respond) {
    const std::string id = text(request["Savorytrestle-Request-Id"]);
    const std::string expected =
        text(request["Savorytrestle-Expected-Instance"]);
    Arrivals.push_back({std::chrono::steady_clock::now(), id, {}});
    for (const auto &field : request)
      Arrivals.back().Headers.emplace_back(text(field.name_string()),
                                           text(field.value()));
    if (!expected.empty() && expected != Id)
      return refuse(421, respond);
    if (Behavior.Shed || !Behavior.RetryAfter.empty())
      return refuse(503, respond);
    ++RunsByRequest[id];
    if (Behavior.NeverAnswer)
      return [this] { ++AbortedRequests; };
    const auto timer = std::make_shared<boost::asio::steady_timer>(Io);
    timer->expires_after(Behavior.ExecutionTime);
    timer->async_wait([this, timer, id, respond,
                       echo = request.body()](boost::system::error_code ec) {
      if (!ec)
        respond(answer(id, echo));
    });
    return [this, timer] {
      ++AbortedRequests;
      timer->cancel();
    };
  }

  entry::CancelHandler refuse(unsigned status,
                              const entry::AnswerHandler &respond) {
    auto refusal =
        entry::textAnswer(static_cast<boost::beast::http::status>(status), "");
    refusal.set("Savorytrestle-Not-Executed", "1");
    if (!Behavior.RetryAfter.empty())
      refusal.set("Retry-After", Behavior.RetryAfter);
    if (Behavior.Leaving)
      refusal.set("Server-Leaving", "1");
    if (!Behavior.RateLimit.empty())
      refusal.set("Server-Limit", Behavior.RateLimit);
    if (!Behavior.Load.empty())
      refusal.set("Savorytrestle-Instance-Load", Behavior.Load);
    respond(std::move(refusal));
    return nullptr;
  }

  entry::CallerAnswer answer(const std::string &id,
                             const std::string &echo) const {
    if (Behavior.FailUnsigned)
      return entry::textAnswer(boost::beast::http::status::service_unavailable,
                               "");
    auto answer =
        entry::textAnswer(static_cast<boost::beast::http::status>(
                              Behavior.FailStatus != 0 ? Behavior.FailStatus
                              : Behavior.Fail          ? 500
                                                       : 200),
                          echo.empty() ? records() : echo);
    answer.set("Savorytrestle-Request-Id", id);
    answer.set("Savorytrestle-Server-Stamp", "stamp-" + Id + "-" + id);
    answer.set("Savorytrestle-Instance-Load",
               Behavior.Load.empty() ? "1,0,5" : Behavior.Load);
    if (Behavior.Leaving)
      answer.set("Server-Leaving", "1");
    if (!Behavior.RateLimit.empty())
      answer.set("Server-Limit", Behavior.RateLimit);
    return answer;
  }

  /// Three records that start with their rank and service name.
  std::string records() const {
    std::string body;
    for (const char rank : {'1', '3', '2'}) {
      std::string record = std::string(1, rank) + Service;
      record.resize(16, '.');
      body += record;
    }
    return body;
  }

  boost::asio::io_context &Io;
  std::shared_ptr<entry::SessionContext> Context;
  std::shared_ptr<entry::Listener> CallerListener;
};

} // namespace savorytrestle::tests

#endif
