#include "store/HostList.h"

#include "support/BoundedJson.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace savorytrestle::store {

namespace {

using nlohmann::json;

constexpr int StatusOk = 200;

} // namespace

core::Result<ListedHosts> readHostList(const std::string &text) {
  const json parsed = support::parseJsonOrDiscarded(text);
  if (!parsed.is_array())
    return core::makeError(core::ErrorCode::BadRequest,
                           "the host list is not a JSON array");
  ListedHosts hosts;
  for (const auto &item : parsed) {
    auto host = core::parseHost(item.dump());
    if (!host)
      continue;
    if (const auto it = item.find("state");
        it != item.end() && *it == "leaving")
      hosts.Leaving.push_back(std::move(host->Id));
    else
      hosts.Live.push_back(std::move(*host));
  }
  return hosts;
}

HostList::HostList(const std::string &address)
    : Url("http://" + address + "/v1/hosts") {}

core::Result<ListedHosts> HostList::read(std::chrono::milliseconds timeout) {
  support::HttpCall call;
  call.Url = Url;
  call.Timeout = timeout;
  const auto reply = Http.send(call);
  if (!reply || reply->Status != StatusOk)
    return core::makeError(
        core::ErrorCode::StoreUnavailable,
        "no answer with status 200 from the platform's host list");
  return readHostList(reply->Body);
}

} // namespace savorytrestle::store
