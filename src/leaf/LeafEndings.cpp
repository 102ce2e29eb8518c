#include "leaf/LeafEndings.h"

#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>

namespace savorytrestle::leaf {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Covers a round trip between any two regions.
constexpr std::chrono::milliseconds ConnectTimeout{150};
/// Times from a break, or from the end of the previous try, to a try. A process
/// that ends may close its listening socket last, and after some time.
constexpr std::chrono::milliseconds FirstTryDelay{50};
constexpr std::chrono::milliseconds NextTryDelay{200};

/// A connection that is being tried, and its timeout.
struct ConnectionTry {
  explicit ConnectionTry(boost::asio::io_context &io)
      : Socket(io), Timeout(io) {}
  tcp::socket Socket;
  boost::asio::steady_timer Timeout;
};

LeafSign signOf(const error_code &ec) {
  if (!ec)
    return LeafSign::Accepts;
  return ec == boost::asio::error::connection_refused ? LeafSign::Refuses
                                                      : LeafSign::Silent;
}

} // namespace

template <typename F> void LeafEndings::forEach(F f) {
  std::erase_if(Suspects, [](const auto &it) { return it.expired(); });
  for (const auto &weak : Suspects)
    if (const auto suspect = weak.lock())
      f(*suspect);
}

std::shared_ptr<const SuspectedLeaf>
LeafEndings::suspect(const core::LeafRun &run, const tcp::endpoint &address,
                     bool replaced) {
  std::erase_if(Suspects, [](const auto &it) { return it.expired(); });
  for (const auto &weak : Suspects)
    if (auto known = weak.lock(); known && known->Run == run &&
                                  known->Sign != LeafSign::Accepts &&
                                  known->Sign != LeafSign::Silent)
      return known;
  const auto suspect = std::make_shared<SuspectedLeaf>(SuspectedLeaf{run});
  Suspects.push_back(suspect);
  if (replaced)
    suspect->Sign = LeafSign::Ended;
  else if (Tries < MaxTries)
    tryConnection(suspect, address, true);
  else
    suspect->Sign = LeafSign::Silent;
  return suspect;
}

void LeafEndings::tryConnection(const std::shared_ptr<SuspectedLeaf> &suspect,
                                const tcp::endpoint &address, bool isFirst) {
  ++Tries;
  const auto attempt = std::make_shared<ConnectionTry>(Io);
  attempt->Timeout.expires_after(isFirst ? FirstTryDelay : NextTryDelay);
  attempt->Timeout.async_wait(
      [this, suspect, address, attempt, isFirst](error_code ec) {
        if (ec)
          return;
        attempt->Socket.async_connect(address, [this, suspect, address, attempt,
                                                isFirst](error_code result) {
          attempt->Timeout.cancel();
          onTried(suspect, address, signOf(result), isFirst);
        });
        attempt->Timeout.expires_after(ConnectTimeout);
        attempt->Timeout.async_wait([attempt](error_code cancelled) {
          error_code ignored; // the handler of the connection sees an error
          if (!cancelled)
            attempt->Socket.close(ignored);
        });
      });
}

void LeafEndings::onTried(const std::shared_ptr<SuspectedLeaf> &suspect,
                          const tcp::endpoint &address, LeafSign sign,
                          bool isFirst) {
  --Tries;
  if (suspect->Sign != LeafSign::Ended)
    suspect->Sign = sign;
  if (isFirst && sign != LeafSign::Refuses)
    tryConnection(suspect, address, false);
}

void LeafEndings::onEnded(const core::LeafRun &run) {
  forEach([&](SuspectedLeaf &it) {
    if (it.Run == run)
      it.Sign = LeafSign::Ended;
  });
}

void LeafEndings::onRunSeen(const core::LeafRun &run) {
  forEach([&](SuspectedLeaf &it) {
    if (it.Run != run && (it.Run.Id == run.Id || it.Run.Address == run.Address))
      it.Sign = LeafSign::Ended;
  });
}

} // namespace savorytrestle::leaf
