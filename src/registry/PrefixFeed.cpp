#include "registry/PrefixFeed.h"

#include <algorithm>

#include "platform/StoreProtocol.h"
#include "support/Log.h"

namespace savorytrestle::registry {

using std::chrono::milliseconds;

namespace {

/// How long the store holds a watch without changes; long, since each call is
/// paid for.
constexpr milliseconds WatchWait{12000};
/// Time for a reply beyond what the store holds back.
constexpr milliseconds ReplyTimeout{1500};
constexpr milliseconds FirstBackoff{50};
constexpr milliseconds LongestBackoff{400};
constexpr unsigned Ok = 200;

} // namespace

PrefixFeed::PrefixFeed(boost::asio::io_context &io,
                       const boost::asio::ip::tcp::endpoint &store,
                       std::string prefix, milliseconds gather,
                       FeedHandlers handlers)
    : Pause(io), Connection(std::make_shared<StoreConnection>(io, store)),
      Prefix(std::move(prefix)), Gather(gather), Handlers(std::move(handlers)),
      Backoff(FirstBackoff) {}

void PrefixFeed::start() { listAfresh(); }

void PrefixFeed::stop() {
  Stopped = true;
  Pause.cancel();
  Connection->close();
}

void PrefixFeed::listAfresh() {
  Listed.clear();
  ListedAt = 0;
  list("");
}

void PrefixFeed::list(const std::string &after) {
  Connection->call(platform::readRange(Prefix, after), ReplyTimeout,
                   [self = shared_from_this()](StoreReply reply) {
                     self->onPage(std::move(reply));
                   });
}

void PrefixFeed::onPage(StoreReply reply) {
  if (Stopped)
    return;
  auto page = reply.Status == Ok
                  ? platform::decodeRange(reply.Body)
                  : core::makeError(core::ErrorCode::StoreUnavailable, "");
  if (!page) {
    if (reply.Status == Ok)
      reply.Why = page.error().Message;
    onFailure(reply);
    return later(backOff(), &PrefixFeed::listAfresh);
  }
  onReached();
  // Changes made while the pages are read are heard again from the first
  // page's position on.
  if (ListedAt == 0)
    ListedAt = page->At;
  std::move(page->Items.begin(), page->Items.end(), std::back_inserter(Listed));
  if (page->HasMore && !page->Items.empty())
    return list(Listed.back().Key);
  From = ListedAt;
  Handlers.OnList(Listed);
  Listed.clear();
  watch();
}

void PrefixFeed::watch() {
  Connection->call(platform::watch(Prefix, From, WatchWait),
                   WatchWait + ReplyTimeout,
                   [self = shared_from_this()](StoreReply reply) {
                     self->onEvents(std::move(reply));
                   });
}

void PrefixFeed::onEvents(StoreReply reply) {
  if (Stopped)
    return;
  if (reply.Status == platform::HistoryGone) {
    support::LogLine("store_history_gone")
        .with("prefix", Prefix)
        .with("after", From);
    return listAfresh();
  }
  auto page = reply.Status == Ok
                  ? platform::decodeWatch(reply.Body)
                  : core::makeError(core::ErrorCode::StoreUnavailable, "");
  if (!page) {
    if (reply.Status == Ok)
      reply.Why = page.error().Message;
    onFailure(reply);
    return later(backOff(), &PrefixFeed::watch);
  }
  onReached();
  From = std::max(From, page->At);
  Handlers.OnChanges(page->Items);
  if (page->Items.empty() || Gather.count() == 0)
    return watch();
  later(Gather, &PrefixFeed::watch);
}

void PrefixFeed::onFailure(const StoreReply &reply) {
  const std::string why = std::to_string(reply.Status) + " " + reply.Why;
  // One line for each new reason; a reason that lasts isn't repeated.
  if (!Lost || why != LostFor)
    support::LogLine("store_lost")
        .with("prefix", Prefix)
        .with("status", reply.Status)
        .with("why", reply.Why)
        .with("known_at", From);
  Lost = true;
  LostFor = why;
}

void PrefixFeed::onReached() {
  Backoff = FirstBackoff;
  if (!Lost)
    return;
  Lost = false;
  support::LogLine("store_regained")
      .with("prefix", Prefix)
      .with("known_at", From);
  Handlers.OnRegained();
}

milliseconds PrefixFeed::backOff() {
  const auto pause = Backoff;
  Backoff = std::min(Backoff * 2, LongestBackoff);
  return pause;
}

void PrefixFeed::later(milliseconds pause, void (PrefixFeed::*next)()) {
  Pause.expires_after(pause);
  Pause.async_wait(
      [self = shared_from_this(), next](const boost::system::error_code &ec) {
        if (!ec && !self->Stopped)
          ((*self).*next)();
      });
}

} // namespace savorytrestle::registry
