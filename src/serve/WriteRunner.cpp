#include "serve/WriteRunner.h"

#include <algorithm>

#include <absl/strings/numbers.h>

#include "backend/WriteSession.h"
#include "serve/PendingAnswer.h"

namespace savorytrestle::serve {

using core::ErrorCode;
using core::RunState;

namespace {

/// Store writes a second for claims, over all hosts; the rest of the store's
/// write rate is left for leases and settings.
constexpr double ClaimWritesPerSecond = 200;

store::ClaimStoreOptions claimOptions(unsigned maxHosts) {
  store::ClaimStoreOptions options;
  options.WritesPerSecond = ClaimWritesPerSecond / std::max(1U, maxHosts);
  return options;
}

backend::WriteJob makeJob(const caller::CallerRequest &request) {
  return {request.RequestId, request.Route, request.Key.value_or(""),
          request.Body, request.Deadline};
}

core::Result<core::SendNumber>
readSendNumber(const caller::CallerRequest &request) {
  if (!request.SendNumber)
    return core::UnknownSend;
  core::SendNumber send = 0;
  if (!absl::SimpleAtoi(*request.SendNumber, &send) || send == 0)
    // An earlier send of the key may have run.
    return tl::unexpected<core::Error>(
        core::Error{ErrorCode::BadRequest,
                    "header Send-Number must be a whole number of at least 1",
                    RunState::Unknown,
                    {}});
  return send;
}

} // namespace

WriteRunner::WriteRunner(backend::LeafEngine &engine, const std::string &store,
                         const std::string &hostId, unsigned maxHosts)
    : Engine(engine),
      Claims(store::PlatformStore(store), hostId, claimOptions(maxHosts)) {}

core::Result<caller::WriteAnswer>
WriteRunner::run(const caller::CallerRequest &request) {
  return request.Key ? runKeyed(request) : runUnkeyed(request);
}

core::Result<caller::WriteAnswer>
WriteRunner::runUnkeyed(const caller::CallerRequest &request) {
  auto pending = std::make_shared<PendingAnswer<std::string>>();
  const auto posted = Engine.write(makeJob(request), [pending](auto outcome) {
    pending->set(std::move(outcome));
  });
  if (!posted)
    return tl::unexpected(posted.error());
  return pending->wait(request.Deadline, RunState::Unknown)
      .map([](std::string result) {
        return caller::WriteAnswer{RunState::Ran, std::move(result), false};
      });
}

core::Result<caller::WriteAnswer>
WriteRunner::runKeyed(const caller::CallerRequest &request) {
  auto key = core::parseWriteKey(request.Workspace, *request.Key);
  if (!key)
    return tl::unexpected(key.error());
  const auto send = readSendNumber(request);
  if (!send)
    return tl::unexpected(send.error());
  auto claim = Claims.makeRequest(
      std::move(*key), core::requestDigest(request.Route.Name, request.Body),
      *send);
  auto dispatch = [&engine = Engine,
                   job = makeJob(request)](const backend::DispatchDone &done) {
    if (const auto posted = engine.write(job, done); !posted)
      done(tl::unexpected(posted.error()));
  };
  auto pending = std::make_shared<PendingAnswer<backend::KeyedWriteAnswer>>();
  using Session = backend::WriteSession<Store, decltype(dispatch)>;
  Session::start(Claims, std::move(claim), request.Deadline,
                 std::move(dispatch),
                 [pending](auto answer) { pending->set(std::move(answer)); });
  return pending->wait(request.Deadline, RunState::Unknown)
      .map([](backend::KeyedWriteAnswer answer) {
        return caller::WriteAnswer{RunState::Ran, std::move(answer.Result),
                                   answer.Replayed, answer.ResultKept};
      });
}

} // namespace savorytrestle::serve
