#include "leaf/LeafProber.h"

#include <list>

#include <boost/asio/ip/tcp.hpp>

#include "support/Log.h"

namespace savorytrestle::leaf {

using SteadyClock = std::chrono::steady_clock;
using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds CheckInterval{100};
constexpr std::size_t ProbesPerRound = 3;
/// Covers several round trips between any two regions.
constexpr milliseconds ProbeTimeout{150};

} // namespace

struct LeafProber::Round {
  explicit Round(boost::asio::io_context &io) : Timeout(io) {}
  std::list<tcp::socket> Sockets;
  boost::asio::steady_timer Timeout;
  std::size_t Pending = 0;
  std::size_t Connected = 0;
  std::size_t Failed = 0;
};

LeafProber::LeafProber(boost::asio::io_context &io, LeafDirectory &leaves,
                       StateHandler onState)
    : Io(io), Timer(io), Leaves(leaves), OnState(std::move(onState)) {}

void LeafProber::start() { scheduleCheck(); }

void LeafProber::scheduleCheck() {
  Timer.expires_after(CheckInterval);
  Timer.async_wait([weak = weak_from_this()](error_code ec) {
    if (const auto self = weak.lock(); self && !ec)
      self->check();
  });
}

void LeafProber::check() {
  if (const auto now = SteadyClock::now(); Leaves.link().probeDue(now)) {
    Leaves.link().onProbesStarted(now);
    probe();
  }
  scheduleCheck();
}

void LeafProber::probe() {
  const auto addresses = Leaves.sampleAddresses(ProbesPerRound);
  if (addresses.empty())
    return;
  const auto round = std::make_shared<Round>(Io);
  round->Pending = addresses.size();
  for (const tcp::endpoint &address : addresses) {
    tcp::socket &socket = round->Sockets.emplace_back(Io);
    socket.async_connect(address,
                         [weak = weak_from_this(), round](error_code ec) {
                           ++(ec ? round->Failed : round->Connected);
                           if (--round->Pending > 0)
                             return;
                           round->Timeout.cancel();
                           if (const auto self = weak.lock())
                             self->onRoundEnded(*round);
                         });
  }
  round->Timeout.expires_after(ProbeTimeout);
  round->Timeout.async_wait([round](error_code ec) {
    if (ec)
      return;
    error_code ignored; // the handler of the connection counts it as failed
    for (tcp::socket &socket : round->Sockets)
      socket.cancel(ignored);
  });
}

void LeafProber::onRoundEnded(const Round &round) {
  const bool changed =
      Leaves.link().onProbesEnded(round.Connected, round.Failed);
  const bool lost = Leaves.link().lost();
  if (changed)
    support::LogLine(lost ? "leaves_lost" : "leaves_regained")
        .with("probes", round.Connected + round.Failed)
        .with("connected", round.Connected);
  if (changed || lost)
    OnState(lost);
}

} // namespace savorytrestle::leaf
