#include "leaf/LeafEndings.h"

#include <algorithm>

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
  const auto suspect =
      std::make_shared<SuspectedLeaf>(SuspectedLeaf{.Run = run});
  Suspects.push_back(suspect);
  if (replaced)
    suspect->Sign = LeafSign::Ended;
  else if (Tries < MaxTries)
    tryConnection(suspect, address, true);
  else
    suspect->Sign = LeafSign::Silent;
  return suspect;
}

template <typename F>
void LeafEndings::tryAfter(std::chrono::milliseconds delay,
                           const tcp::endpoint &address, F onTried) {
  ++Tries;
  const auto attempt = std::make_shared<ConnectionTry>(Io);
  attempt->Timeout.expires_after(delay);
  attempt->Timeout.async_wait([this, address, attempt, onTried](error_code ec) {
    if (ec)
      return;
    attempt->Socket.async_connect(address,
                                  [this, attempt, onTried](error_code result) {
                                    --Tries;
                                    attempt->Timeout.cancel();
                                    onTried(signOf(result));
                                  });
    attempt->Timeout.expires_after(ConnectTimeout);
    attempt->Timeout.async_wait([attempt](error_code cancelled) {
      error_code ignored; // the handler of the connection sees an error
      if (!cancelled)
        attempt->Socket.close(ignored);
    });
  });
}

void LeafEndings::tryConnection(const std::shared_ptr<SuspectedLeaf> &suspect,
                                const tcp::endpoint &address, bool isFirst) {
  tryAfter(isFirst ? FirstTryDelay : NextTryDelay, address,
           [this, suspect, address, isFirst](LeafSign sign) {
             onTried(suspect, address, sign, isFirst);
           });
}

void LeafEndings::check(const std::shared_ptr<SuspectedLeaf> &leaf,
                        const tcp::endpoint &address, core::TimePoint until) {
  leaf->TriedUntil = std::max(leaf->TriedUntil, until);
  if (leaf->BeingTried || leaf->hasEnded() || Tries >= MaxTries)
    return;
  leaf->BeingTried = true;
  checkOnce(leaf, address, 0);
}

void LeafEndings::checkOnce(const std::shared_ptr<SuspectedLeaf> &leaf,
                            const tcp::endpoint &address, int tries) {
  tryAfter(tries == 0 ? FirstTryDelay : NextTryDelay, address,
           [this, leaf, address, tries](LeafSign sign) {
             constexpr int LeastTries = 2;
             const auto now = std::chrono::steady_clock::now();
             if (sign == LeafSign::Refuses && leaf->Sign != LeafSign::Ended)
               leaf->Sign = sign;
             if (sign == LeafSign::Accepts)
               leaf->AliveAt = now;
             if (!leaf->hasEnded() &&
                 (tries + 1 < LeastTries || now < leaf->TriedUntil))
               return checkOnce(leaf, address, tries + 1);
             leaf->BeingTried = false;
           });
}

void LeafEndings::onTried(const std::shared_ptr<SuspectedLeaf> &suspect,
                          const tcp::endpoint &address, LeafSign sign,
                          bool isFirst) {
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
