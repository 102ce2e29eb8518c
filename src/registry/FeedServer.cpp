#include "registry/FeedServer.h"

#include <map>

#include "entry/Answers.h"

namespace savorytrestle::registry {

namespace http = boost::beast::http;

namespace {

/// Upper bound on the wait that a host may request. Hosts request shorter waits
/// and poll again.
constexpr std::chrono::milliseconds MaxPollWait{5000};

entry::CallerAnswer answerOf(const std::optional<FeedPage> &page) {
  return page ? entry::textAnswer(http::status::ok, encodeFeedPage(*page))
              : entry::errorAnswer(http::status::service_unavailable,
                                   "copy is behind the requested revision");
}

} // namespace

FeedServer::FeedServer(boost::asio::io_context &io,
                       std::shared_ptr<StoreMirror> mirror)
    : Io(io), Mirror(std::move(mirror)) {}

void FeedServer::start() {
  const auto self = shared_from_this();
  FeedHandlers handlers;
  handlers.OnList = [self](const auto &) { self->answerPolls(); };
  handlers.OnChanges = handlers.OnList;
  handlers.OnStoreReachable = [] {};
  Mirror->subscribe("", std::move(handlers));
}

entry::CancelHandler FeedServer::handle(std::string_view target,
                                        entry::AnswerHandler respond) {
  const auto query = parseFeedTarget(target);
  if (!query) {
    respond(entry::errorAnswer(http::status::not_found, "no such path"));
    return nullptr;
  }
  const auto page = Mirror->pageAfter(query->After, query->Prefix);
  // A host without any items (revision 0) gets items of any age: old items are
  // better than none.
  const bool waitsForFirstList =
      !page && query->After.At == 0 && query->Wait.count() > 0;
  if (!waitsForFirstList &&
      (!page || (query->After.At != 0 && !Mirror->isFresh()))) {
    respond(entry::errorAnswer(http::status::service_unavailable,
                               "no up-to-date copy of the store"));
    return nullptr;
  }
  if (page &&
      (page->IsFullList || !page->Items.empty() || query->Wait.count() == 0)) {
    respond(answerOf(page));
    return nullptr;
  }
  const auto poll =
      std::make_shared<PendingPoll>(Io, query->After, std::move(respond));
  PendingPolls.push_back(poll);
  poll->Timer.expires_after(std::min(query->Wait, MaxPollWait));
  poll->Timer.async_wait(
      [self = shared_from_this(), poll](const boost::system::error_code &ec) {
        if (!ec)
          self->onPollTimeout(poll);
      });
  return [self = shared_from_this(), poll] {
    poll->Timer.cancel();
    self->PendingPolls.remove(poll);
  };
}

void FeedServer::answerPolls() {
  const auto polls = std::move(PendingPolls);
  PendingPolls.clear();
  // Nearly all polls wait for changes after the same position, so each answer
  // is encoded once per position.
  std::map<store::Position, entry::CallerAnswer> answers;
  for (const PendingPollPtr &poll : polls) {
    poll->Timer.cancel();
    const auto [it, isNew] = answers.try_emplace(poll->After);
    if (isNew)
      it->second = answerOf(Mirror->pageAfter(poll->After));
    poll->Respond(it->second);
  }
}

void FeedServer::onPollTimeout(const PendingPollPtr &poll) {
  PendingPolls.remove(poll);
  poll->Respond(answerOf(Mirror->pageAfter(poll->After)));
}

} // namespace savorytrestle::registry
