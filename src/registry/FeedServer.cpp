#include "registry/FeedServer.h"

#include <map>

#include "entry/Answers.h"

namespace savorytrestle::registry {

namespace http = boost::beast::http;

namespace {

/// Bounds what a host may ask for; each host asks again before that.
constexpr std::chrono::milliseconds LongestWait{5000};

entry::CallerAnswer answerOf(const std::optional<FeedPage> &page) {
  return page ? entry::textAnswer(http::status::ok, encodeFeedPage(*page))
              : entry::errorAnswer(http::status::service_unavailable,
                                   "this host knows less");
}

} // namespace

FeedServer::FeedServer(boost::asio::io_context &io,
                       std::shared_ptr<StoreMirror> mirror)
    : Io(io), Mirror(std::move(mirror)) {}

void FeedServer::start() {
  const auto self = shared_from_this();
  FeedHandlers handlers;
  handlers.OnList = [self](const auto &) { self->answerWaiters(); };
  handlers.OnChanges = handlers.OnList;
  handlers.OnRegained = [] {};
  Mirror->follow("", std::move(handlers));
}

entry::CancelHandler FeedServer::handle(std::string_view target,
                                        entry::AnswerHandler respond) {
  const auto query = parseFeedTarget(target);
  if (!query) {
    respond(entry::errorAnswer(http::status::not_found, "no such path"));
    return nullptr;
  }
  const auto page = Mirror->pageAfter(query->After);
  // Whoever knows nothing yet is better off with old items than with none.
  if (!page || (query->After != 0 && !Mirror->fresh())) {
    respond(entry::errorAnswer(http::status::service_unavailable,
                               "the store's state isn't known here"));
    return nullptr;
  }
  if (page->IsFullList || !page->Items.empty() || query->Wait.count() == 0) {
    respond(answerOf(page));
    return nullptr;
  }
  const auto waiter =
      std::make_shared<Waiter>(Io, query->After, std::move(respond));
  Waiters.push_back(waiter);
  waiter->Timer.expires_after(std::min(query->Wait, LongestWait));
  waiter->Timer.async_wait(
      [self = shared_from_this(), waiter](const boost::system::error_code &ec) {
        if (!ec)
          self->end(waiter);
      });
  return [self = shared_from_this(), waiter] {
    waiter->Timer.cancel();
    self->Waiters.remove(waiter);
  };
}

void FeedServer::answerWaiters() {
  const auto waiting = std::move(Waiters);
  Waiters.clear();
  // Nearly all of them know the items up to the same position.
  std::map<store::Revision, entry::CallerAnswer> answers;
  for (const WaiterPtr &waiter : waiting) {
    waiter->Timer.cancel();
    const auto [it, isNew] = answers.try_emplace(waiter->After);
    if (isNew)
      it->second = answerOf(Mirror->pageAfter(waiter->After));
    waiter->Respond(it->second);
  }
}

void FeedServer::end(const WaiterPtr &waiter) {
  Waiters.remove(waiter);
  waiter->Respond(answerOf(Mirror->pageAfter(waiter->After)));
}

} // namespace savorytrestle::registry
