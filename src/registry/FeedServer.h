#ifndef SAVORYTRESTLE_REGISTRY_FEED_SERVER_H
#define SAVORYTRESTLE_REGISTRY_FEED_SERVER_H

/// @file
/// @brief Passes this host's copy of the store on to other hosts.

#include <utility>

#include <list>
#include <memory>
#include <string_view>

#include "entry/CallerSession.h"
#include "registry/StoreMirror.h"

namespace savorytrestle::registry {

/// @brief Answers calls of other hosts for items and changes; holds those for
/// which there is nothing new until there is, or their wait is over.
class FeedServer : public std::enable_shared_from_this<FeedServer> {
public:
  /// @brief Makes a door.
  /// @param io runs its timers
  /// @param mirror what it passes on
  FeedServer(boost::asio::io_context &io, std::shared_ptr<StoreMirror> mirror);

  /// @brief Follows the mirror; to be called before the mirror starts.
  void start();

  /// @brief Answers a call, at once or later.
  /// @param target its path and query
  /// @param respond takes the answer
  /// @return ends a call whose caller has left
  entry::CancelHandler handle(std::string_view target,
                              entry::AnswerHandler respond);

private:
  struct PendingPoll {
    PendingPoll(boost::asio::io_context &io, store::Revision after,
                entry::AnswerHandler respond)
        : Timer(io), After(after), Respond(std::move(respond)) {}
    boost::asio::steady_timer Timer;
    store::Revision After;
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
