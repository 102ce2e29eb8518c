#ifndef SAVORYTRESTLE_REGISTRY_FEED_SERVER_H
#define SAVORYTRESTLE_REGISTRY_FEED_SERVER_H

/// @file
/// @brief Serves this host's copy of the store to other hosts.

#include <utility>

#include <list>
#include <memory>
#include <string_view>

#include "entry/CallerSession.h"
#include "registry/StoreMirror.h"

namespace savorytrestle::registry {

/// @brief Answers requests of other hosts for items and changes. A request for
/// which there is nothing new is answered at the next change or when its wait
/// ends (long poll).
class FeedServer : public std::enable_shared_from_this<FeedServer> {
public:
  /// @brief Makes a server.
  /// @param io runs its timers
  /// @param mirror the copy of the store that it serves
  FeedServer(boost::asio::io_context &io, std::shared_ptr<StoreMirror> mirror);

  /// @brief Subscribes to the mirror; must be called before the mirror starts.
  void start();

  /// @brief Answers a request, immediately or later.
  /// @param target path and query of the request
  /// @param respond called once with the answer
  /// @return handler that cancels the request when its caller has disconnected;
  /// null if the request has been answered
  entry::CancelHandler handle(std::string_view target,
                              entry::AnswerHandler respond);

private:
  struct PendingPoll {
    PendingPoll(boost::asio::io_context &io, store::Position after,
                entry::AnswerHandler respond)
        : Timer(io), After(after), Respond(std::move(respond)) {}
    boost::asio::steady_timer Timer;
    store::Position After;
    entry::AnswerHandler Respond;
  };
  using PendingPollPtr = std::shared_ptr<PendingPoll>;

  void answerPolls();
  void onPollTimeout(const PendingPollPtr &poll);

  boost::asio::io_context &Io;
  std::shared_ptr<StoreMirror> Mirror;
  std::list<PendingPollPtr> PendingPolls;
};

} // namespace savorytrestle::registry

#endif
